//go:build faults

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// In a build with the tag faults, tests can set the clock's rate (DOCKHINGE_CLOCK_RATE, such as
// 1.01) and a step of the wall clock at some time after the start (DOCKHINGE_WALL_STEP, such as
// -1h@5s).
var (
	rate      = 1.0
	start     = SinceBoot()
	wallStep  time.Duration
	stepAfter time.Duration // since start
)

func init() {
	value, err := strconv.ParseFloat(os.Getenv("DOCKHINGE_CLOCK_RATE"), 64)
	if err == nil && value > 0 {
		rate = value
	}
	step, after, _ := strings.Cut(os.Getenv("DOCKHINGE_WALL_STEP"), "@")
	wallStep, _ = time.ParseDuration(step) // 0 if none is set
	stepAfter, _ = time.ParseDuration(after)
}

// Now returns the time on the clock for leases, at the configured rate.
func Now() time.Duration { return start + time.Duration(float64(SinceBoot()-start)*rate) }

// WallTime returns the wall clock's time with the configured step.
func WallTime() time.Time {
	t := time.Now().Round(0)
	if SinceBoot()-start >= stepAfter {
		t = t.Add(wallStep)
	}
	return t
}
