//go:build faults

package main

import (
	"os"
	"syscall"
	"time"
)

// pausePollInterval is the interval at which a paused program checks whether it may continue.
const pausePollInterval = 5 * time.Millisecond

// injectFaultAt is called at the named points of this program at which tests may inject a crash or
// a pause. At the point in DOCKHINGE_KILL_AT the program is killed with SIGKILL. At the point in
// DOCKHINGE_PAUSE_AT it waits, once, until the test has created the file DOCKHINGE_PAUSE_FILE.go.
func injectFaultAt(name string) {
	if file := os.Getenv("DOCKHINGE_PAUSE_FILE"); file != "" && os.Getenv("DOCKHINGE_PAUSE_AT") == name {
		pauseOnce(file)
	}
	if os.Getenv("DOCKHINGE_KILL_AT") == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // wait for the signal
	}
}

// pauseOnce creates the file at path, and waits until path.go exists. If the file already exists,
// it returns at once, because the program has already paused.
func pauseOnce(path string) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	_ = file.Close()
	for {
		if _, err := os.Stat(path + ".go"); err == nil {
			return
		}
		time.Sleep(pausePollInterval)
	}
}
