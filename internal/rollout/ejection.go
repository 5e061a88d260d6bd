package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Bounds of what routers find out for one another.
const (
	MinEjectionQuorum = 2 // one router is never believed
	MaxEjectionQuorum = 16

	failingReportMaxAge   = 10 * time.Second // what a router found out counts for so long
	firstEjectionDuration = 3 * time.Second  // a server is left out by all for so long at first, twice as long each further time
	maxEjectionDuration   = 30 * time.Second
	ejectionMemory        = 2 * maxEjectionDuration // after so long without a suspicion the next one is a first one
	maxFailingDivisor     = 4                       // a router that finds more than one of so many servers bad, and more than one, has a fault of its own
	maxEjectedDivisor     = 5                       // at most one of so many servers, and one, is left out by the word of others
	maxNamedReporters     = 8                       // routers that are named
)

// Ejection has all routers leave a server out, as a quorum of them found it bad. It ends by its time, whatever becomes of it.
type Ejection struct {
	EndsAt           time.Duration `json:"until"`
	ConsecutiveCount int           `json:"times"` // in a row
	ReportedBy       []string      `json:"by"`
	Incarnation      string        `json:"run"` // the server's, when it began: one that is started anew is not suspected
	IsOver           bool          `json:"over,omitempty"`
}

// EjectedServer is one for a router.
type EjectedServer struct {
	Name      string        `json:"name"`
	Remaining time.Duration `json:"left"` // by the agreed clock; the router ends it by its own
}

// EjectedServers are the servers that are left out as others found them bad, by name.
func (s *State) EjectedServers(clock time.Duration) (all []EjectedServer) {
	for name, t := range s.Servers { // few of thousands are suspected: only these are sorted
		if x := t.Ejection; x != nil && !x.IsOver && x.EndsAt > clock {
			all = append(all, EjectedServer{name, x.EndsAt - clock})
		}
	}
	slices.SortFunc(all, func(a, b EjectedServer) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// recordFailing books whether a router finds a server bad by itself.
func (t *Target) recordFailing(router string, is ServerStatus, clock time.Duration) {
	if is != StatusFailing {
		delete(t.FailingSince, router)
		return
	}
	if _, known := t.FailingSince[router]; !known {
		if t.FailingSince == nil {
			t.FailingSince = map[string]time.Duration{}
		}
		t.FailingSince[router] = clock
	}
}

// credibleRouters tells which routers' evidence counts: one that finds many servers bad is cut off or broken itself.
func (s *State) credibleRouters() map[string]bool {
	ok := map[string]bool{}
	for r, n := range s.observationsByRouter {
		ok[r] = n.failing <= max(1, n.total/maxFailingDivisor) || failpoint.Is("liar-believed")
	}
	return ok
}

// updateEjections weighs what routers found. It is a function of the state and the clock.
func (s *State) updateEjections(clock time.Duration) {
	held := 0
	for _, t := range s.Servers {
		x := t.Ejection
		if x == nil || x.IsOver {
			continue
		}
		if (x.EndsAt <= clock && !failpoint.Is("suspicion-forever")) || t.Incarnation != x.Incarnation || s.EjectionQuorum == 0 {
			x.IsOver, x.EndsAt = true, min(x.EndsAt, clock)
			s.Version++
			s.DrainVersion++
			continue
		}
		held++
		s.nextServerChangeAt = min(s.nextServerChangeAt, x.EndsAt)
	}
	if s.EjectionQuorum == 0 {
		return
	}
	names := slices.Sorted(maps.Keys(s.Servers))
	quorum, most := s.EjectionQuorum, max(1, len(names)/maxEjectedDivisor)
	if failpoint.Is("quorum-of-one") {
		quorum = 1
	}
	credible := s.credibleRouters()
	for _, name := range names {
		t := s.Servers[name]
		if t.Ejection != nil && !t.Ejection.IsOver || held >= most && !failpoint.Is("suspects-unbounded") {
			continue
		}
		since := clock - failingReportMaxAge + 1
		if t.Ejection != nil { // what was found before it was over has had its effect
			since = max(since, t.Ejection.EndsAt)
		}
		var by []string
		for r, at := range t.FailingSince {
			if credible[r] && at >= since {
				by = append(by, r)
			}
		}
		if len(by) < quorum {
			continue
		}
		slices.Sort(by)
		x := &Ejection{ConsecutiveCount: 1, ReportedBy: by[:min(len(by), maxNamedReporters)], Incarnation: t.Incarnation}
		if t.Ejection != nil && clock-t.Ejection.EndsAt < ejectionMemory {
			x.ConsecutiveCount = t.Ejection.ConsecutiveCount + 1
		}
		x.EndsAt = clock + min(maxEjectionDuration, firstEjectionDuration<<min(x.ConsecutiveCount-1, 10))
		t.Ejection = x
		held++
		s.nextServerChangeAt = min(s.nextServerChangeAt, x.EndsAt)
		s.Version++
		s.DrainVersion++
	}
}
