//go:build faults

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// A build with the tag faults lets the laboratory set the clock's rate (DOCKHINGE_CLOCK_RATE, as 1.01) and a step of the wall
// clock so long after the start (DOCKHINGE_WALL_STEP, as -1h@5s).
var (
	rate       = 1.0
	start      = Boot()
	step, from time.Duration
)

func init() {
	if r, err := strconv.ParseFloat(os.Getenv("DOCKHINGE_CLOCK_RATE"), 64); err == nil && r > 0 {
		rate = r
	}
	by, at, _ := strings.Cut(os.Getenv("DOCKHINGE_WALL_STEP"), "@")
	step, _ = time.ParseDuration(by)
	from, _ = time.ParseDuration(at)
}

// Now is the time on the clock, at the rate that was set.
func Now() time.Duration { return start + time.Duration(float64(Boot()-start)*rate) }

// Wall is the wall clock with its step.
func Wall() time.Time {
	t := time.Now().Round(0)
	if Boot()-start >= from {
		t = t.Add(step)
	}
	return t
}
