//go:build !faults

package coord

// HistoryLimit returns how many changes of the agreed documents are kept.
func HistoryLimit() int { return MaxHistoryChanges }
