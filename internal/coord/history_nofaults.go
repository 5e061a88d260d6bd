//go:build !faults

package coord

// HistoryLimit is how many changes of the agreed configuration are kept.
func HistoryLimit() int { return MaxHistoryChanges }
