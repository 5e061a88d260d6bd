package rollout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Limits of State.EjectionQuorum. The reports of one router alone never eject a server, because the
// fault may be in that router or its network link.
const (
	MinEjectionQuorum = 2
	MaxEjectionQuorum = 16
)

// Constants of shared ejection. Durations are agreed time.
const (
	// failingReportMaxAge is how long after a router began to find a server failing this counts
	// towards the quorum.
	failingReportMaxAge = 10 * time.Second
	// firstEjectionDuration is how long a first ejection lasts; each consecutive one lasts twice as
	// long.
	firstEjectionDuration = 3 * time.Second
	// maxEjectionDuration limits the doubling.
	maxEjectionDuration = 30 * time.Second
	// maxEjectionDoublings prevents the shift from overflowing. It is larger than the number of
	// doublings that reach maxEjectionDuration.
	maxEjectionDoublings = 10
	// ejectionMemory is how long after the end of an ejection the next one counts as consecutive.
	ejectionMemory = 2 * maxEjectionDuration
	// maxFailingDivisor limits what a credible router reports. If it finds more than one server,
	// and more than one in maxFailingDivisor of its servers, failing, the fault is probably its own
	// and its reports are ignored.
	maxFailingDivisor = 4
	// maxEjectedDivisor limits ejections: at most one in maxEjectedDivisor of all servers is
	// ejected at once, but one server always may be.
	maxEjectedDivisor = 5
	// maxNamedReporters is how many of the routers that reported a server are stored.
	maxNamedReporters = 8
)

// Ejection makes all routers leave a server out because a quorum of them found it failing. It ends
// after a fixed time, even if the server still fails. The latest ejection stays in the state after
// its end.
type Ejection struct {
	// EndsAt is when the ejection ends or has ended.
	EndsAt time.Duration `json:"until"`
	// ConsecutiveCount is the number of consecutive ejections of the server, including this one.
	ConsecutiveCount int `json:"times"`
	// ReportedBy are the alphabetically first routers that found the server failing.
	ReportedBy []string `json:"by"`
	// Incarnation is the server's incarnation when the ejection began. A restart ends the ejection.
	Incarnation string `json:"run"`
	// IsOver reports that the ejection has ended.
	IsOver bool `json:"over,omitempty"`
}

// EjectedServer is an ejection as it is sent to routers.
type EjectedServer struct {
	// Name is the server's name.
	Name string `json:"name"`
	// Remaining is the agreed time until the ejection ends. Routers measure it on their own clocks.
	Remaining time.Duration `json:"left"`
}

// isEjected reports whether an ejection of the server is in force.
func (t *Target) isEjected() bool { return t.Ejection != nil && !t.Ejection.IsOver }

// EjectedServers returns the servers under shared ejection at the agreed time now, ordered by name.
func (s *State) EjectedServers(now time.Duration) (ejected []EjectedServer) {
	for name, server := range s.Servers { // sort only the ejected servers, which are few of thousands
		if server.isEjected() && server.Ejection.EndsAt > now {
			ejected = append(ejected, EjectedServer{Name: name, Remaining: server.Ejection.EndsAt - now})
		}
	}
	slices.SortFunc(ejected, func(a, b EjectedServer) int { return strings.Compare(a.Name, b.Name) })
	return ejected
}

// credibleRouters returns the routers whose reports count towards the quorum. A router that finds
// many servers failing is probably disconnected or faulty itself.
func (s *State) credibleRouters() map[string]bool {
	credible := map[string]bool{}
	for router, n := range s.observationsByRouter {
		credible[router] = n.failing <= max(1, n.total/maxFailingDivisor) || failpoint.IsInjected("liar-believed")
	}
	return credible
}

// updateEjections ends expired ejections and ejects the servers that a quorum finds failing.
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

// endEjections ends expired ejections and those of restarted servers; without a quorum it ends all.
// It returns how many remain in force.
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

// failingReporters returns the sorted names of the credible routers that began to find the server
// failing within failingReportMaxAge, and not before the end of its last ejection: earlier reports
// have already caused that ejection.
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

// eject puts an ejection of a server in force. It lasts longer if the previous one ended within
// ejectionMemory.
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
