//go:build !faults

package clock

import "time"

// Now returns the time on the clock for leases.
func Now() time.Duration { return SinceBoot() }

// Wall returns the wall clock's time. It is for display only.
func Wall() time.Time { return time.Now() }
