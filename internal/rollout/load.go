package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Constants of the fleet's load. Durations are agreed time.
const (
	// loadCountInterval is over which requests are counted.
	loadCountInterval = 2 * time.Second
	// loadMinRequests is how many requests a count needs: fewer say nothing.
	loadMinRequests = 50
	// countsUntilOverloaded is how many counts in a row above the bound make the fleet overloaded.
	countsUntilOverloaded = 2
	// countsUntilRecovered is how many counts in a row below half of the bound end the overload.
	countsUntilRecovered = 3
	// loadMaxAge is how long an overload holds when no counts are reported any more.
	loadMaxAge = 10 * time.Second
)

// Load is how the fleet as a whole is loaded, by the counts that all routers report. Overload
// begins above State.OverloadShare and ends below half of it, so that it does not flap.
type Load struct {
	// IsOverloaded tells that nothing new may go out but emergencies.
	IsOverloaded bool `json:"over,omitempty"`
	// ChangedAt is when IsOverloaded changed.
	ChangedAt time.Duration `json:"since,omitempty"`
	// FailedShare is the share of rejected or failed requests in the last complete count.
	FailedShare float64 `json:"share"`
	// CountBeganAt is when the present count began.
	CountBeganAt time.Duration `json:"open"`
	// Served is the present count of served requests.
	Served int64 `json:"good"`
	// Failed is the present count of rejected or failed requests.
	Failed int64 `json:"bad"`
	// ConsecutiveCounts is how many complete counts in a row spoke against IsOverloaded.
	ConsecutiveCounts int `json:"row"`
}

// countRequests adds what a router has answered since its last report to the present count.
func (s *State) countRequests(served, failed int64, now time.Duration) {
	if s.OverloadShare == 0 || served < 0 || failed < 0 {
		return
	}
	if now >= s.Load.CountBeganAt+loadCountInterval {
		s.closeLoadCount(now)
	}
	s.Load.Served += served
	s.Load.Failed += failed
}

// closeLoadCount weighs the present count and begins another.
func (s *State) closeLoadCount(now time.Duration) {
	load := &s.Load
	total := load.Served + load.Failed
	if total >= loadMinRequests {
		load.FailedShare = ratio(float64(load.Failed), float64(total))
		contradicts, countsNeeded := s.contradictsLoad()
		if contradicts {
			load.ConsecutiveCounts++
		} else {
			load.ConsecutiveCounts = 0
		}
		if load.ConsecutiveCounts >= countsNeeded {
			s.setOverloaded(!load.IsOverloaded, now)
		}
	}
	load.Served = 0
	load.Failed = 0
	load.CountBeganAt = now
}

// contradictsLoad tells whether the last complete count speaks against IsOverloaded, and how many
// such counts in a row change it.
func (s *State) contradictsLoad() (contradicts bool, countsNeeded int) {
	switch {
	case !s.Load.IsOverloaded:
		return s.Load.FailedShare > s.OverloadShare, countsUntilOverloaded
	case failpoint.IsInjected("busy-flaps"):
		return s.Load.FailedShare <= s.OverloadShare, 1
	}
	return s.Load.FailedShare < s.OverloadShare/2, countsUntilRecovered
}

func (s *State) setOverloaded(isOverloaded bool, now time.Duration) {
	s.Load.IsOverloaded = isOverloaded
	s.Load.ChangedAt = now
	s.Load.ConsecutiveCounts = 0
	s.Version++
}

// updateOverload ends an overload that no counts have confirmed for loadMaxAge, or that is not
// enabled any more. Without it a fleet whose routers stop reporting would stay overloaded for
// ever.
func (s *State) updateOverload(now time.Duration) {
	if !s.Load.IsOverloaded {
		return
	}
	expiresAt := s.Load.CountBeganAt + loadMaxAge
	if s.OverloadShare > 0 && expiresAt > now {
		s.reconcileAt(expiresAt)
		return
	}
	s.setOverloaded(false, now)
}

// overloadReason tells why the load lets nothing new out; "" where it does.
func (s *State) overloadReason(p *Permit) string {
	if !s.Load.IsOverloaded || p.Priority >= PriorityEmergency || failpoint.IsInjected("busy-ignored") {
		return ""
	}
	return fmt.Sprintf(
		"the fleet refuses or fails over %.3g%% of requests: nothing new goes out until it is under %.3g%%",
		100*s.OverloadShare, 50*s.OverloadShare)
}
