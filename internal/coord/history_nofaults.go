//go:build !faults

package coord

// HistoryLimit is how many changes of the agreed documents are kept.
func HistoryLimit() int { return MaxHistoryChanges }
