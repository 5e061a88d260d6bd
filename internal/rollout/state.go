// Package rollout decides which routers and cache servers may be taken out of service, when a
// target that was out counts as back in service, and how a release proceeds through the fleet in
// waves.
//
// It is a replicated state machine without I/O and without a clock. Every coordinator applies the
// same commands, session ends and agreed times in the same order. State.Apply, State.SessionEnded
// and State.Advance are its only inputs. After each of them, State.reconcile derives everything
// that depends on several targets or on time.
//
// Replicas of several program versions run side by side, so the same inputs must give the same
// state, byte for byte. The tags of stored fields, the operations' names and all texts of results,
// permits and halts are part of that state and must not change. docs/rollout.md uses these words
// too.
//
// docs/rollout-design.md gives the reasons for the rules; docs/rollout.md is for operators.
package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

// DefaultGracePeriod is the grace period of a new state.
const DefaultGracePeriod = 15 * time.Second

// State is the replicated state. All times are agreed time, counted from the start of the group of
// coordinators. Its methods must not be called concurrently.
type State struct {
	// Version increases with each change that clients waiting for a new state must be notified of.
	Version uint64 `json:"version"`
	// DrainVersion increases with each change of the DrainSet.
	DrainVersion uint64 `json:"drains"`
	// GracePeriod is longer than a router's session lasts. A router without a session is assumed to
	// read the endpoint list within this period.
	GracePeriod time.Duration `json:"grace"`
	// ExpectedRouters is how many routers must be registered before a server may be drained; 0
	// means no minimum.
	ExpectedRouters int `json:"expect,omitempty"`
	// EjectionQuorum is how many routers must find a server failing before all routers eject it; 0
	// turns shared ejection off.
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
	// Permits are all permits in any stage, ordered by ID.
	Permits []*Permit `json:"permits,omitempty"`
	// Halt stops all new outages except emergencies; nil while there is no halt.
	Halt *HaltRecord `json:"halted,omitempty"`
	// Release is the latest release; nil before the first one.
	Release *ReleaseProgress `json:"release,omitempty"`
	// LastPermitID is the ID of the latest permit.
	LastPermitID uint64 `json:"ids"`

	// The fields below are derived and not stored. RebuildDerived sets them after a snapshot has
	// been read.

	// nextReconcileAt is the earliest time at which the passing of time alone may change the state.
	nextReconcileAt time.Duration
	// serversChanged is set when observations of servers may have changed since updateAvailability
	// last evaluated them.
	serversChanged bool
	// nextServerChangeAt is the earliest time at which the passing of time alone may change a
	// server.
	nextServerChangeAt time.Duration
	// changedRouters are the routers whose availability may have changed in this command.
	changedRouters []*Target
	// observationCount is the number of observations of all servers.
	observationCount int
	// observationsByRouter counts, for each router, its observations of all servers.
	observationsByRouter map[string]*observationCounts
}

// HaltRecord is a halt of all new outages except emergencies.
type HaltRecord struct {
	// By is the client or the release that requested the halt.
	By string `json:"by"`
	// Reason is shown to operators.
	Reason string `json:"why"`
	// Time is when the halt began.
	Time time.Duration `json:"at"`
}

// New returns an empty state.
func New() *State {
	return &State{
		GracePeriod:          DefaultGracePeriod,
		Routers:              map[string]*Target{},
		Servers:              map[string]*Target{},
		nextReconcileAt:      math.MaxInt64,
		nextServerChangeAt:   math.MaxInt64,
		observationsByRouter: map[string]*observationCounts{},
	}
}

// RebuildDerived sets all derived fields of a state that was decoded from a snapshot. It must be
// called before any other method.
func (s *State) RebuildDerived() {
	s.nextReconcileAt = 0
	s.serversChanged = true
	for _, router := range s.Routers {
		s.changedRouters = append(s.changedRouters, router)
	}
	s.recountObservations()
}

// Clone returns a deep copy of the state.
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
