// Package clock provides the clock for leases. It neither steps with the wall clock nor stops while
// the machine is suspended: a holder whose clock excluded the suspended time would act on a lease
// that another client holds by then. The clock's origin is arbitrary; only differences are
// meaningful.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including suspended time (Linux
// CLOCK_BOOTTIME).
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // Linux has it since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d and returns true, or returns false if ctx ends first. It may take longer if the
// machine is suspended, so callers must compare Now with their deadline afterwards.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
