//go:build !faults

package clock

import "time"

// Now returns the time on the clock for leases.
func Now() time.Duration { return SinceBoot() }

// WallTime returns the wall clock's time. It is for display only.
func WallTime() time.Time { return time.Now() }
