// Package clock is the clock of leases: it neither steps with the wall clock nor stops while the machine is suspended. It
// starts anywhere; only differences mean something.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the machine's time since its start, suspends counted (Linux CLOCK_BOOTTIME).
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // in Linux since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Sleep waits, and reports whether ctx has not ended. It may sleep longer where the machine is suspended: what may be done after it
// is for Now to tell.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
