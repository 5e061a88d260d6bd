// Package clock is the clock of leases. It neither steps with the wall clock nor stops while the
// machine is suspended: a holder that counted without the suspend would act on a lease that another
// holds by then. The clock starts anywhere; only differences mean something.
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

// Sleep waits for d, and reports whether ctx has not ended. It may take longer where the machine is
// suspended; what may be done after it must be asked of Now.
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
