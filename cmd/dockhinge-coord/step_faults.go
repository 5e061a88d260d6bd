//go:build faults

package main

import (
	"os"
	"syscall"
)

// step kills the program, as SIGKILL from outside does, where this is the step to die at.
func step(name string) {
	if os.Getenv("DOCKHINGE_KILL_AT") == name {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // until it has come
	}
}
