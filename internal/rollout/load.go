package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Bounds of what the fleet's load is found out by.
const (
	loadCountInterval     = 2 * time.Second  // of agreed time, over which requests are counted
	loadMinRequests       = 50               // requests in it: fewer say nothing
	countsUntilOverloaded = 2                // so many in a row over the bound, and the fleet is over its limit;
	countsUntilRecovered  = 3                // so many under half of it, and it is not any more
	loadMaxAge            = 10 * time.Second // without figures nothing is known of it
)

// Load is how the fleet as a whole is loaded, by what all routers tell they answered. Over has two bounds, so that it doesn't flap.
type Load struct {
	IsOverloaded      bool          `json:"over,omitempty"`
	ChangedAt         time.Duration `json:"since,omitempty"`
	FailedShare       float64       `json:"share"` // refused or failed, in the last whole count
	CountBeganAt      time.Duration `json:"open"`  // when the count began
	Served            int64         `json:"good"`
	Failed            int64         `json:"bad"`
	ConsecutiveCounts int           `json:"row"` // counts in a row that speak against what Over is
}

// countRequests books what a router has answered since it told last.
func (s *State) countRequests(good, wrong int64, clock time.Duration) {
	l := &s.Load
	if s.OverloadShare == 0 || good < 0 || wrong < 0 {
		return
	}
	if clock >= l.CountBeganAt+loadCountInterval {
		s.closeLoadCount(clock)
	}
	l.Served, l.Failed = l.Served+good, l.Failed+wrong
}

// closeLoadCount ends a count and begins another.
func (s *State) closeLoadCount(clock time.Duration) {
	l := &s.Load
	all := l.Served + l.Failed
	if all >= loadMinRequests {
		l.FailedShare = ratio(float64(l.Failed), float64(all))
		speaks, wanted := l.FailedShare > s.OverloadShare, countsUntilOverloaded
		if l.IsOverloaded {
			speaks, wanted = l.FailedShare < s.OverloadShare/2, countsUntilRecovered
			if failpoint.Is("busy-flaps") {
				speaks, wanted = l.FailedShare <= s.OverloadShare, 1
			}
		}
		if l.ConsecutiveCounts++; !speaks {
			l.ConsecutiveCounts = 0
		}
		if l.ConsecutiveCounts >= wanted {
			s.setOverloaded(!l.IsOverloaded, clock)
		}
	}
	l.Served, l.Failed, l.CountBeganAt = 0, 0, clock
}

func (s *State) setOverloaded(over bool, clock time.Duration) {
	s.Load.IsOverloaded, s.Load.ChangedAt, s.Load.ConsecutiveCounts = over, clock, 0
	s.Version++
}

// updateOverload tells whether the fleet is over its limit, as far as figures tell; it forgets where none have come for long.
func (s *State) updateOverload(clock time.Duration) {
	if !s.Load.IsOverloaded {
		return
	}
	if at := s.Load.CountBeganAt + loadMaxAge; s.OverloadShare > 0 && at > clock {
		s.reconcileAt(at)
		return
	}
	s.setOverloaded(false, clock)
}

// overloadReason tells in words why nothing new goes out; "" where the load doesn't forbid it.
func (s *State) overloadReason(p *Permit) string {
	if !s.Load.IsOverloaded || p.Priority >= PriorityEmergency || failpoint.Is("busy-ignored") {
		return ""
	}
	return fmt.Sprintf("the fleet refuses or fails over %.3g%% of requests: nothing new goes out until it is under %.3g%%", 100*s.OverloadShare, 50*s.OverloadShare)
}
