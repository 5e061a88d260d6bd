//go:build faults

package node

import (
	"os"
	"time"
)

// A build with the tag faults lets the laboratory make each sync take longer (DOCKHINGE_SLOW_SYNC, as 50ms) and the disk's epoch
// grow more often (DOCKHINGE_EPOCH_EVERY).
var (
	syncTakes  = duration("DOCKHINGE_SLOW_SYNC", 0)
	epochEvery = duration("DOCKHINGE_EPOCH_EVERY", defaultEpochEvery)
)

func duration(name string, otherwise time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv(name)); err == nil && d > 0 {
		return d
	}
	return otherwise
}

func slowSync() { time.Sleep(syncTakes) }
