//go:build !faults

package clock

import "time"

// Now is the time on the clock of leases.
func Now() time.Duration { return Boot() }

// Wall is the wall clock, for what people read only.
func Wall() time.Time { return time.Now() }
