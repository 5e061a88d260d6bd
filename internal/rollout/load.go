package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Bounds of what the fleet's load is found out by.
const (
	loadEvery = 2 * time.Second  // of agreed time, over which requests are counted
	loadLeast = 50               // requests in it: fewer say nothing
	loadUp    = 2                // so many in a row over the bound, and the fleet is over its limit;
	loadDown  = 3                // so many under half of it, and it is not any more
	loadLost  = 10 * time.Second // without figures nothing is known of it
)

// Load is how the fleet as a whole is loaded, by what all routers tell they answered. Over has two bounds, so that it doesn't flap.
type Load struct {
	Over  bool          `json:"over,omitempty"`
	Since time.Duration `json:"since,omitempty"`
	Share float64       `json:"share"` // refused or failed, in the last whole count
	Open  time.Duration `json:"open"`  // when the count began
	Good  int64         `json:"good"`
	Bad   int64         `json:"bad"`
	Row   int           `json:"row"` // counts in a row that speak against what Over is
}

// count books what a router has answered since it told last.
func (s *State) count(good, wrong int64, clock time.Duration) {
	l := &s.Load
	if s.Busy == 0 || good < 0 || wrong < 0 {
		return
	}
	if clock >= l.Open+loadEvery {
		s.weigh(clock)
	}
	l.Good, l.Bad = l.Good+good, l.Bad+wrong
}

// weigh ends a count and begins another.
func (s *State) weigh(clock time.Duration) {
	l := &s.Load
	all := l.Good + l.Bad
	if all >= loadLeast {
		l.Share = share(float64(l.Bad), float64(all))
		speaks, wanted := l.Share > s.Busy, loadUp
		if l.Over {
			speaks, wanted = l.Share < s.Busy/2, loadDown
			if failpoint.Is("busy-flaps") {
				speaks, wanted = l.Share <= s.Busy, 1
			}
		}
		if l.Row++; !speaks {
			l.Row = 0
		}
		if l.Row >= wanted {
			s.overload(!l.Over, clock)
		}
	}
	l.Good, l.Bad, l.Open = 0, 0, clock
}

func (s *State) overload(over bool, clock time.Duration) {
	s.Load.Over, s.Load.Since, s.Load.Row = over, clock, 0
	s.Version++
}

// loaded tells whether the fleet is over its limit, as far as figures tell; it forgets where none have come for long.
func (s *State) loaded(clock time.Duration) {
	if !s.Load.Over {
		return
	}
	if at := s.Load.Open + loadLost; s.Busy > 0 && at > clock {
		s.wake(at)
		return
	}
	s.overload(false, clock)
}

// tooBusy tells in words why nothing new goes out; "" where the load doesn't forbid it.
func (s *State) tooBusy(p *Permit) string {
	if !s.Load.Over || p.Priority >= Emergency || failpoint.Is("busy-ignored") {
		return ""
	}
	return fmt.Sprintf("the fleet refuses or fails over %.3g%% of requests: nothing new goes out until it is under %.3g%%", 100*s.Busy, 50*s.Busy)
}
