// Package rollout decides which routers and cache servers may be taken out of service, when one
// that was out counts as back, and how a release goes through the fleet in waves.
//
// It is a replicated state machine without I/O and without a clock: the coordinators feed it
// commands, ends of sessions and the agreed time, in the same order on each of them. State.Apply,
// State.SessionEnded and State.Advance are the only ways in. After each of them State.reconcile
// derives all that depends on several targets or on time.
//
// Replicas of several program versions run side by side, so the same inputs must give the same
// state, byte for byte. The tags of stored fields, the operations' names and all texts of results,
// permits and halts are part of that state and stay as the first version wrote them;
// docs/rollout.md uses these words too.
//
// docs/rollout-design.md has the reasons for the rules, docs/rollout.md is for operators.
package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// DefaultGrace is the grace of a new state.
const DefaultGrace = 15 * time.Second

// State is the replicated state. All instants are agreed time, counted from the start of the group
// of coordinators.
type State struct {
	// Version grows with each change that an observer of the state may want to know.
	Version uint64 `json:"version"`
	// DrainVersion grows with each change of the DrainSet.
	DrainVersion uint64 `json:"drains"`
	// Grace is longer than a router's session lasts: a router without a session has read the
	// endpoint list within it.
	Grace time.Duration `json:"grace"`
	// ExpectedRouters must take part before a server is drained; 0 sets no such condition.
	ExpectedRouters int `json:"expect,omitempty"`
	// EjectionQuorum is how many routers must find a server failing before all eject it; 0 turns
	// shared ejection off.
	EjectionQuorum int `json:"quorum,omitempty"`
	// OverloadShare is the share of rejected or failed requests above which the fleet is
	// overloaded; 0 turns the check off.
	OverloadShare float64 `json:"busy,omitempty"`
	// Load is the load of the fleet as a whole.
	Load Load `json:"load,omitzero"`
	// Budgets are the disruption budgets in force.
	Budgets []Budget `json:"budgets,omitempty"`
	// Routers are the routers of the fleet by name.
	Routers map[string]*Target `json:"routers"`
	// Servers are the cache servers of the fleet by name.
	Servers map[string]*Target `json:"servers"`
	// Permits are all permits that wait, are granted or have begun, ordered by ID.
	Permits []*Permit `json:"permits,omitempty"`
	// Halt stops all new outages but emergencies; nil while there is none.
	Halt *HaltRecord `json:"halted,omitempty"`
	// Release is the newest release; nil before the first one.
	Release *ReleaseProgress `json:"release,omitempty"`
	// LastPermitID is the ID of the newest permit.
	LastPermitID uint64 `json:"ids"`

	// The fields below are derived. They are not stored: RebuildDerived sets them after a snapshot
	// was read.

	// nextReconcileAt is the first instant at which time alone may change something.
	nextReconcileAt time.Duration
	// serversChanged tells that observations of servers may have changed since updateAvailability
	// weighed them.
	serversChanged bool
	// nextServerChangeAt is the first instant at which time alone may change a server.
	nextServerChangeAt time.Duration
	// changedRouters are routers that may have come into service or gone out of it in this command.
	changedRouters []*Target
	// observationCount is the number of observations of all servers.
	observationCount int
	// observationsByRouter counts, for each router, its observations of all servers.
	observationsByRouter map[string]*observationCounts
}

// HaltRecord is a halt of all new outages but emergencies.
type HaltRecord struct {
	// By is the client, or the release, that halted.
	By string `json:"by"`
	// Reason is shown to operators.
	Reason string `json:"why"`
	// Time is when the halt began.
	Time time.Duration `json:"at"`
}

// New returns an empty state.
func New() *State {
	return &State{
		Grace:                DefaultGrace,
		Routers:              map[string]*Target{},
		Servers:              map[string]*Target{},
		nextReconcileAt:      math.MaxInt64,
		nextServerChangeAt:   math.MaxInt64,
		observationsByRouter: map[string]*observationCounts{},
	}
}

// RebuildDerived sets all derived fields of a state that was decoded from a snapshot. It is called
// before any other method.
func (s *State) RebuildDerived() {
	s.nextReconcileAt = 0
	s.serversChanged = true
	for _, router := range s.Routers {
		s.changedRouters = append(s.changedRouters, router)
	}
	s.recountObservations()
}

// Clone returns a copy that shares nothing with the state.
func (s *State) Clone() *State {
	clone := *s
	clone.changedRouters = nil // empty between commands: reconcile clears it
	clone.Budgets = slices.Clone(s.Budgets)
	clone.Permits = make([]*Permit, len(s.Permits))
	for i, p := range s.Permits {
		permit := *p
		clone.Permits[i] = &permit
	}
	clone.Release = s.Release.clone()
	clone.Routers = cloneTargets(s.Routers)
	clone.Servers = cloneTargets(s.Servers)
	clone.observationsByRouter = make(map[string]*observationCounts, len(s.observationsByRouter))
	for name, n := range s.observationsByRouter {
		counts := *n
		clone.observationsByRouter[name] = &counts
	}
	if s.Halt != nil {
		halt := *s.Halt
		clone.Halt = &halt
	}
	return &clone
}

func cloneTargets(targets map[string]*Target) map[string]*Target {
	clones := make(map[string]*Target, len(targets))
	for name, t := range targets {
		clone := *t
		clone.Observations = maps.Clone(t.Observations)
		clone.LatencyCounts = slices.Clone(t.LatencyCounts)
		clone.FailingSince = maps.Clone(t.FailingSince)
		if t.Ejection != nil {
			ejection := *t.Ejection
			ejection.ReportedBy = slices.Clone(ejection.ReportedBy)
			clone.Ejection = &ejection
		}
		clones[name] = &clone
	}
	return clones
}
