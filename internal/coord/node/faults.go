//go:build faults

package node

import (
	"os"
	"syscall"
	"time"
)

// A build with the tag faults lets the laboratory make each sync take longer (DOCKHINGE_SLOW_SYNC, as 50ms), the disk's epoch
// grow more often (DOCKHINGE_EPOCH_EVERY), and the process die at a step (DOCKHINGE_KILL_AT).
var (
	syncTakes     = duration("DOCKHINGE_SLOW_SYNC", 0)
	epochInterval = duration("DOCKHINGE_EPOCH_EVERY", defaultEpochInterval)
)

func duration(name string, otherwise time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv(name)); err == nil && d > 0 {
		return d
	}
	return otherwise
}

// crashPoint kills the process, as SIGKILL from outside does, where this is the step to die at.
func crashPoint(name string) {
	if os.Getenv("DOCKHINGE_KILL_AT") == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until it has come
	}
}

func slowSync() { time.Sleep(syncTakes) }
