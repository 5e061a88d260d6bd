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
	var all, first unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	for processor := 0; first.Count() < min(processors, all.Count()); processor++ {
		if all.IsSet(processor) {
			first.Set(processor)
		}
	}
	return onProcessors(first, start)
}

// OnLastProcessor calls start, so that the processes that it starts run on one processor only: the last one
// of the machine, or, with an offset, one before it.
func OnLastProcessor(offset int, start func() error) error {
	var all, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	var available []int
	for processor := 0; len(available) < all.Count(); processor++ {
		if all.IsSet(processor) {
			available = append(available, processor)
		}
	}
	only.Set(available[len(available)-1-offset%len(available)])
	return onProcessors(only, start)
}

// onProcessors calls start, so that the processes that it starts run on some processors only.
func onProcessors(processors unix.CPUSet, start func() error) error {
	runtime.LockOSThread() // a process inherits the processors of the thread that starts it
	defer runtime.UnlockOSThread()
	var before unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	if err := unix.SchedSetaffinity(0, &processors); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	startErr := start()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		return fmt.Errorf("processors: %w", err)
	}
	return startErr
}
