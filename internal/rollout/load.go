package rollout

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Constants of the fleet's load. Durations are agreed time.
const (
	// loadWindow is the length of a measurement window.
	loadWindow = 2 * time.Second
	// loadWindowMinRequests is how many requests a window needs; windows with fewer are ignored.
	loadWindowMinRequests = 50
	// windowsUntilOverloaded is how many consecutive windows above the threshold begin an overload.
	windowsUntilOverloaded = 2
	// windowsUntilRecovered is how many consecutive windows below half of the threshold end an
	// overload.
	windowsUntilRecovered = 3
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
	// WindowBeganAt is when the current window began.
	WindowBeganAt time.Duration `json:"open"`
	// Served is the number of served requests in the current window.
	Served int64 `json:"good"`
	// Failed is the number of rejected or failed requests in the current window.
	Failed int64 `json:"bad"`
	// ConsecutiveWindows is how many of the last complete windows in a row contradict IsOverloaded.
	ConsecutiveWindows int `json:"row"`
}

// countRequests adds the requests that a router has answered since its last report to the current
// window.
func (s *State) countRequests(served, failed int64, now time.Duration) {
	if s.OverloadShare == 0 || served < 0 || failed < 0 {
		return
	}
	if now >= s.Load.WindowBeganAt+loadWindow {
		s.closeLoadWindow(now)
	}
	s.Load.Served += served
	s.Load.Failed += failed
}

// closeLoadWindow evaluates the current window and begins the next one.
func (s *State) closeLoadWindow(now time.Duration) {
	load := &s.Load
	total := load.Served + load.Failed
	if total >= loadWindowMinRequests {
		load.FailedShare = ratio(float64(load.Failed), float64(total))
		contradicts, windowsNeeded := s.contradictsOverloadState()
		if contradicts {
			load.ConsecutiveWindows++
		} else {
			load.ConsecutiveWindows = 0
		}
		if load.ConsecutiveWindows >= windowsNeeded {
			s.setOverloaded(!load.IsOverloaded, now)
		}
	}
	load.Served = 0
	load.Failed = 0
	load.WindowBeganAt = now
}

// contradictsOverloadState reports whether the last complete window contradicts IsOverloaded, and
// how many such windows in a row change it.
func (s *State) contradictsOverloadState() (contradicts bool, windowsNeeded int) {
	switch {
	case !s.Load.IsOverloaded:
		return s.Load.FailedShare > s.OverloadShare, windowsUntilOverloaded
	case failpoint.IsInjected("busy-flaps"):
		return s.Load.FailedShare <= s.OverloadShare, 1
	}
	return s.Load.FailedShare < s.OverloadShare/2, windowsUntilRecovered
}

func (s *State) setOverloaded(isOverloaded bool, now time.Duration) {
	s.Load.IsOverloaded = isOverloaded
	s.Load.ChangedAt = now
	s.Load.ConsecutiveWindows = 0
	s.Version++
}

// updateOverload is the pass that ends an overload if no requests were reported for loadMaxAge, or
// if the overload check was turned off. Without it, a fleet whose routers stop reporting would stay
// overloaded forever.
func (s *State) updateOverload(now time.Duration) {
	if !s.Load.IsOverloaded {
		return
	}
	expiresAt := s.Load.WindowBeganAt + loadMaxAge
	if s.OverloadShare > 0 && expiresAt > now {
		s.reconcileAt(expiresAt)
		return
	}
	s.setOverloaded(false, now)
}

// overloadReason returns the reason to wait if an overload forbids the outage; "" otherwise.
func (s *State) overloadReason(p *Permit) string {
	if !s.Load.IsOverloaded || p.Priority >= PriorityEmergency || failpoint.IsInjected("busy-ignored") {
		return ""
	}
	return fmt.Sprintf(
		"the fleet refuses or fails over %.3g%% of requests: nothing new goes out until it is under %.3g%%",
		100*s.OverloadShare, 50*s.OverloadShare)
}
