//go:build faults

package main

import (
	"os"
	"syscall"
	"time"
)

// pausePollInterval is between two looks at whether a paused program may go on.
const pausePollInterval = 5 * time.Millisecond

// step is a named point of this program at which the laboratory injects a crash or a pause. At the
// step in DOCKHINGE_KILL_AT the program is killed as by SIGKILL from outside. At the one in
// DOCKHINGE_PAUSE_AT it waits, once, until the laboratory has made the file
// DOCKHINGE_PAUSE_FILE.go.
func step(name string) {
	if file := os.Getenv("DOCKHINGE_PAUSE_FILE"); file != "" && os.Getenv("DOCKHINGE_PAUSE_AT") == name {
		pauseOnce(file)
	}
	if os.Getenv("DOCKHINGE_KILL_AT") == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until the signal has come
	}
}

// pauseOnce makes the file, and waits for the one that lets the program go on. Where the file was
// there, it has waited before.
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
