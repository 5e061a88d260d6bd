package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Limits of State.EjectionQuorum. One router alone is never believed: its own link or process may
// be at fault.
const (
	MinEjectionQuorum = 2
	MaxEjectionQuorum = 16
)

// Constants of shared ejection. Durations are agreed time.
const (
	// failingReportMaxAge is how long it counts that a router began to find a server failing.
	failingReportMaxAge = 10 * time.Second
	// firstEjectionDuration is how long a first ejection lasts; each further one in a row lasts
	// twice as long.
	firstEjectionDuration = 3 * time.Second
	// maxEjectionDuration bounds the doubling.
	maxEjectionDuration = 30 * time.Second
	// maxEjectionDoublings bounds the shift; far more than maxEjectionDuration needs.
	maxEjectionDoublings = 10
	// ejectionMemory is how long after an ejection the next one still counts as in a row with it.
	ejectionMemory = 2 * maxEjectionDuration
	// maxFailingDivisor: a router that finds more than one in so many servers failing, and more
	// than one, has a fault of its own and is not believed.
	maxFailingDivisor = 4
	// maxEjectedDivisor: at most one in so many servers, but always one, is ejected at once.
	maxEjectedDivisor = 5
	// maxNamedReporters is how many of the routers that reported a server are kept.
	maxNamedReporters = 8
)

// Ejection has all routers leave a server out, because a quorum of them found it failing. It ends
// by time, whatever becomes of the server; the newest one stays in the state after its end.
type Ejection struct {
	// EndsAt is when the ejection ends or has ended.
	EndsAt time.Duration `json:"until"`
	// ConsecutiveCount is how many ejections of the server were in a row, with this one.
	ConsecutiveCount int `json:"times"`
	// ReportedBy are the first routers that found the server failing, sorted.
	ReportedBy []string `json:"by"`
	// Incarnation is the server's when the ejection began: a restarted server is not ejected.
	Incarnation string `json:"run"`
	// IsOver tells that the ejection has ended.
	IsOver bool `json:"over,omitempty"`
}

// EjectedServer is an ejection as it is sent to routers.
type EjectedServer struct {
	// Name is the server's.
	Name string `json:"name"`
	// Remaining is agreed time until the ejection ends. The router measures it on its own clock.
	Remaining time.Duration `json:"left"`
}

// isEjected tells whether an ejection of the server is in force.
func (t *Target) isEjected() bool { return t.Ejection != nil && !t.Ejection.IsOver }

// EjectedServers are the servers that routers leave out by a quorum's reports, by name.
func (s *State) EjectedServers(now time.Duration) (ejected []EjectedServer) {
	for name, server := range s.Servers { // few of thousands are ejected: only these are sorted
		if server.isEjected() && server.Ejection.EndsAt > now {
			ejected = append(ejected, EjectedServer{Name: name, Remaining: server.Ejection.EndsAt - now})
		}
	}
	slices.SortFunc(ejected, func(a, b EjectedServer) int { return strings.Compare(a.Name, b.Name) })
	return ejected
}

// credibleRouters are the routers whose reports count. One that finds many servers failing is cut
// off or broken itself.
func (s *State) credibleRouters() map[string]bool {
	credible := map[string]bool{}
	for router, n := range s.observationsByRouter {
		credible[router] = n.failing <= max(1, n.total/maxFailingDivisor) || failpoint.IsInjected("liar-believed")
	}
	return credible
}

// updateEjections ends the ejections whose time is over and ejects the servers that a quorum finds
// failing.
func (s *State) updateEjections(now time.Duration) {
	ejectedCount := s.endEjections(now)
	if s.EjectionQuorum == 0 {
		return
	}
	quorum := s.EjectionQuorum
	if failpoint.IsInjected("quorum-of-one") {
		quorum = 1
	}
	names := slices.Sorted(maps.Keys(s.Servers))
	maxEjected := max(1, len(names)/maxEjectedDivisor)
	credible := s.credibleRouters()
	for _, name := range names {
		server := s.Servers[name]
		if server.isEjected() || ejectedCount >= maxEjected && !failpoint.IsInjected("suspects-unbounded") {
			continue
		}
		reporters := server.failingReporters(credible, now)
		if len(reporters) < quorum {
			continue
		}
		s.eject(server, reporters, now)
		ejectedCount++
	}
}

// endEjections ends the ejections whose time is over, and those of restarted servers. It returns
// how many stay in force.
func (s *State) endEjections(now time.Duration) (ejectedCount int) {
	for _, server := range s.Servers {
		if !server.isEjected() {
			continue
		}
		ejection := server.Ejection
		isTimeOver := ejection.EndsAt <= now && !failpoint.IsInjected("suspicion-forever")
		if isTimeOver || server.Incarnation != ejection.Incarnation || s.EjectionQuorum == 0 {
			ejection.IsOver = true
			ejection.EndsAt = min(ejection.EndsAt, now)
			s.Version++
			s.DrainVersion++
			continue
		}
		ejectedCount++
		s.serverChangesAt(ejection.EndsAt)
	}
	return ejectedCount
}

// failingReporters are the credible routers that began to find the server failing lately, and after
// its last ejection: what they found before has had its effect.
func (t *Target) failingReporters(credible map[string]bool, now time.Duration) (reporters []string) {
	since := now - failingReportMaxAge + 1
	if t.Ejection != nil {
		since = max(since, t.Ejection.EndsAt)
	}
	for router, at := range t.FailingSince {
		if credible[router] && at >= since {
			reporters = append(reporters, router)
		}
	}
	slices.Sort(reporters)
	return reporters
}

// eject puts an ejection in force, longer than the one before it where that was short ago.
func (s *State) eject(server *Target, reporters []string, now time.Duration) {
	count := 1
	if server.Ejection != nil && now-server.Ejection.EndsAt < ejectionMemory {
		count = server.Ejection.ConsecutiveCount + 1
	}
	doublings := min(count-1, maxEjectionDoublings)
	server.Ejection = &Ejection{
		EndsAt:           now + min(maxEjectionDuration, firstEjectionDuration<<doublings),
		ConsecutiveCount: count,
		ReportedBy:       reporters[:min(len(reporters), maxNamedReporters)],
		Incarnation:      server.Incarnation,
	}
	s.serverChangesAt(server.Ejection.EndsAt)
	s.Version++
	s.DrainVersion++
}
