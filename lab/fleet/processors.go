package fleet

import (
	"fmt"
	"runtime"

	"golang.org/x/sys/unix"
)

// onFirstProcessors calls start, so that the processes that it starts run on the first few processors of the
// machine only. 0 processors stand for all.
func onFirstProcessors(processors int, start func() error) error {
	if processors == 0 {
		return start()
	}
	runtime.LockOSThread() // a process inherits the processors of the thread that starts it
	defer runtime.UnlockOSThread()
	var before, first unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	for processor := 0; first.Count() < min(processors, before.Count()); processor++ {
		if before.IsSet(processor) {
			first.Set(processor)
		}
	}
	if err := unix.SchedSetaffinity(0, &first); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	startErr := start()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	return startErr
}
