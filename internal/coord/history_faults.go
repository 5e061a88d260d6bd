//go:build faults

package coord

import (
	"os"
	"strconv"
)

// HistoryLimit returns how many changes of the agreed documents are kept: DOCKHINGE_MAX_HISTORY, so
// that tests can trigger compaction. It must be the same at all coordinators.
func HistoryLimit() int {
	limit, err := strconv.Atoi(os.Getenv("DOCKHINGE_MAX_HISTORY"))
	if err != nil || limit < 1 {
		return MaxHistoryChanges
	}
	return limit
}
