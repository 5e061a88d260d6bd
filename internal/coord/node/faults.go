//go:build faults

package node

import (
	"os"
	"syscall"
	"time"
)

// In a build with the tag faults, tests can slow down each sync (DOCKHINGE_SLOW_SYNC, such as
// 50ms), shorten the interval of the directory's epoch (DOCKHINGE_EPOCH_EVERY) and kill the process
// at a crash point (DOCKHINGE_KILL_AT).
var (
	syncDelay     = durationFromEnvironment("DOCKHINGE_SLOW_SYNC", 0)
	epochInterval = durationFromEnvironment("DOCKHINGE_EPOCH_EVERY", defaultEpochInterval)
)

func durationFromEnvironment(name string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv(name)); err == nil && d > 0 {
		return d
	}
	return fallback
}

// crashPoint kills the process with SIGKILL if this is the configured crash point.
func crashPoint(name string) {
	if os.Getenv("DOCKHINGE_KILL_AT") == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until the signal arrives
	}
}

func slowSync() { time.Sleep(syncDelay) }
