package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Constants of the fleet's load. Durations are agreed time.
const (
	// loadCountInterval is the length of a measurement window.
	loadCountInterval = 2 * time.Second
	// loadMinRequests is how many requests a window needs; windows with fewer are ignored.
	loadMinRequests = 50
	// countsUntilOverloaded is how many consecutive windows above the threshold begin an overload.
	countsUntilOverloaded = 2
	// countsUntilRecovered is how many consecutive windows below half of the threshold end an
	// overload.
	countsUntilRecovered = 3
	// loadMaxAge is how long an overload lasts once routers report no more requests.
	loadMaxAge = 10 * time.Second
)

// Load is the load of the whole fleet, measured from the requests that all routers report. An
// overload begins above State.OverloadShare and ends below half of it, so that it does not flap.
type Load struct {
	// IsOverloaded reports that no new outages except emergencies may begin.
	IsOverloaded bool `json:"over,omitempty"`
	// ChangedAt is when IsOverloaded changed.
	ChangedAt time.Duration `json:"since,omitempty"`
	// FailedShare is the share of rejected or failed requests in the last complete window.
	FailedShare float64 `json:"share"`
	// CountBeganAt is when the current window began.
	CountBeganAt time.Duration `json:"open"`
	// Served is the number of served requests in the current window.
	Served int64 `json:"good"`
	// Failed is the number of rejected or failed requests in the current window.
	Failed int64 `json:"bad"`
	// ConsecutiveCounts is how many of the last complete windows in a row contradict IsOverloaded.
	ConsecutiveCounts int `json:"row"`
}

// countRequests adds the requests that a router has answered since its last report to the current
// window.
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

// closeLoadCount evaluates the current window and begins the next one.
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

// contradictsLoad reports whether the last complete window contradicts IsOverloaded, and how many
// such windows in a row change it.
func (s *State) contradictsLoad() (contradicts bool, countsNeeded int) {
	switch {
	case !s.Load.IsOverloaded:
		return s.Load.FailedShare > s.OverloadShare, countsUntilOverloaded
	case failpoint.Is("busy-flaps"):
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

// updateOverload is the pass that ends an overload if no requests were reported for loadMaxAge, or
// if the overload check was turned off. Without it, a fleet whose routers stop reporting would stay
// overloaded forever.
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

// overloadReason returns the reason to wait if an overload forbids the outage; "" otherwise.
func (s *State) overloadReason(p *Permit) string {
	if !s.Load.IsOverloaded || p.Priority >= PriorityEmergency || failpoint.Is("busy-ignored") {
		return ""
	}
	return fmt.Sprintf(
		"the fleet refuses or fails over %.3g%% of requests: nothing new goes out until it is under %.3g%%",
		100*s.OverloadShare, 50*s.OverloadShare)
}
