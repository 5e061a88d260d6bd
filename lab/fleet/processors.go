package fleet

import (
	"fmt"
	"runtime"

	"golang.org/x/sys/unix"
)

// onLastProcessors calls start, so that the processes that it starts run on the last few processors of the
// machine only. 0 processors stand for all.
func onLastProcessors(processors int, start func() error) error {
	if processors == 0 {
		return start()
	}
	runtime.LockOSThread() // a process inherits the processors of the thread that starts it
	defer runtime.UnlockOSThread()
	var before, last unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	for processor := runtime.NumCPU() - 1; processor >= 0 && last.Count() < processors; processor-- {
		if before.IsSet(processor) {
			last.Set(processor)
		}
	}
	if err := unix.SchedSetaffinity(0, &last); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	startErr := start()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	return startErr
}
