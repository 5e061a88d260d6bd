package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is an overview of the state for operators and tools. Coordinators send it as JSON.
type Report struct {
	// Version is State.Version.
	Version uint64 `json:"version"`
	// DrainVersion is State.DrainVersion.
	DrainVersion uint64 `json:"drains"`
	// Drained are the servers to which routers must send no new requests.
	Drained []string `json:"drained"`
	// Routers is how many routers the fleet has.
	Routers int `json:"routers"`
	// Servers is how many cache servers the fleet has.
	Servers int `json:"servers"`
	// Budgets are the usages of all budgets, ordered by name, then by zone.
	Budgets []BudgetUsage `json:"budgets"`
	// Unavailable are the targets that are out.
	Unavailable []UnavailableTarget `json:"out"`
	// Members are all routers, ordered by zone, then by name.
	Members []Member `json:"all"`
	// Permits are all permits.
	Permits []*Permit `json:"permits"`
	// Halt is the halt in force; nil if there is none.
	Halt *HaltRecord `json:"halted,omitempty"`
	// Load is the fleet's load.
	Load Load `json:"load,omitzero"`
	// Release is the latest release; nil before the first one.
	Release *ReleaseProgress `json:"release,omitempty"`
	// Pending are the routers that the release is to update now.
	Pending []string `json:"do,omitempty"`
	// Updated are the routers of the release that are up with its goal version.
	Updated []string `json:"at,omitempty"`
}

// BudgetUsage is how much of a budget is used, over the fleet or in one zone.
type BudgetUsage struct {
	// Budget is the name of the budget.
	Budget string `json:"budget"`
	// Kind is the kind of the covered targets.
	Kind Kind `json:"kind"`
	// Zone is the zone of a budget per zone; "" for one over the fleet.
	Zone string `json:"zone,omitempty"`
	// Targets is how many targets the budget covers.
	Targets int `json:"things"`
	// Allowed is how many of them may be out at once.
	Allowed int `json:"allowed"`
	// Out is how many of them count as out.
	Out int `json:"out"`
	// SlowStart is Budget.SlowStart.
	SlowStart time.Duration `json:"warm"`
}

// UnavailableTarget is a target that is out.
type UnavailableTarget struct {
	// Kind is the target's kind.
	Kind Kind `json:"kind"`
	// Name is the target's name.
	Name string `json:"name"`
	// Zone is the target's failure domain.
	Zone string `json:"zone,omitempty"`
	// Reason is why the target is out.
	Reason OutageReason `json:"reason"`
	// Duration is how long the target has been out, in agreed time.
	Duration time.Duration `json:"for"`
	// ReportedBy are routers whose reports caused the shared ejection of the target.
	ReportedBy []string `json:"by,omitempty"`
}

// Member is one router of the fleet.
type Member struct {
	// Name is the router's name.
	Name string `json:"name"`
	// Zone is the router's failure domain.
	Zone string `json:"zone,omitempty"`
	// Version is the router's program version.
	Version string `json:"version,omitempty"`
}

// MatchingMembers returns the names of the members that match a path.Match pattern, in the order of
// members; "" matches all.
func MatchingMembers(members []Member, pattern string) (names []string) {
	for _, m := range members {
		if matches(pattern, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// DrainSet is what the coordinators instruct all routers to do. They send it as JSON.
type DrainSet struct {
	// Version is State.DrainVersion: it increases with each change.
	Version uint64 `json:"version"`
	// Servers are the sorted names of the servers to which routers must send no new requests.
	Servers []string `json:"servers"`
	// NeedsCounts tells routers to report how many requests they served and failed.
	NeedsCounts bool `json:"figures,omitempty"`
	// NeedsLatency tells routers to report their latencies too.
	NeedsLatency bool `json:"speed,omitempty"`
	// EjectionQuorum is State.EjectionQuorum. Unless it is 0, routers report failing servers
	// immediately.
	EjectionQuorum int `json:"quorum,omitempty"`
	// Ejected are the servers that all routers must leave out because of a quorum's reports.
	Ejected []EjectedServer `json:"suspects,omitempty"`
	// MaxReportedServers is how many servers one report may contain; 0 means
	// LegacyMaxReportedServers.
	MaxReportedServers int `json:"max_seen,omitempty"`
}

// DrainSet returns the current drain set. canReadLatency reports whether all coordinators support
// reports with latencies.
func (s *State) DrainSet(now time.Duration, canReadLatency bool) DrainSet {
	isReleasing := s.Release != nil && s.Release.State == ReleaseRunning
	return DrainSet{
		Version:        s.DrainVersion,
		Servers:        s.DrainedServers(),
		NeedsCounts:    isReleasing || s.OverloadShare > 0,
		NeedsLatency:   isReleasing && canReadLatency,
		EjectionQuorum: s.EjectionQuorum,
		Ejected:        s.EjectedServers(now),
	}
}

// Report returns an overview of the state at the agreed time now. It does not change the state.
func (s *State) Report(now time.Duration) Report {
	c := s.Clone() // computing the usage sets nextReconcileAt
	usage := c.computeUsage(now)
	return Report{
		Version:      c.Version,
		DrainVersion: c.DrainVersion,
		Drained:      c.DrainedServers(),
		Routers:      len(c.Routers),
		Servers:      len(c.Servers),
		Budgets:      usage.report(),
		Unavailable:  c.unavailableTargets(usage, now),
		Members:      c.members(),
		Permits:      c.Permits,
		Halt:         c.Halt,
		Load:         c.Load,
		Release:      c.Release,
		Pending:      c.PendingRouters(),
		Updated:      c.UpdatedRouters(),
	}
}

func (s *State) members() (members []Member) {
	for _, name := range s.matchingRouters("") {
		router := s.Routers[name]
		members = append(members, Member{Name: name, Zone: router.Zone, Version: router.Version})
	}
	return members
}

// report returns the usage of all budgets, ordered by name, then by zone.
func (u *fleetUsage) report() (budgets []BudgetUsage) {
	byNameAndZone := func(a, b usageKey) int {
		return cmp.Or(cmp.Compare(a.budget, b.budget), cmp.Compare(a.zone, b.zone))
	}
	for _, key := range slices.SortedFunc(maps.Keys(u.budgets), byNameAndZone) {
		usage := u.budgets[key]
		budgets = append(budgets, BudgetUsage{
			Budget:    usage.budget.Name,
			Kind:      usage.budget.Kind,
			Zone:      usage.zone,
			Targets:   usage.targets,
			Allowed:   usage.allowed,
			Out:       len(usage.outTargets),
			SlowStart: usage.budget.SlowStart,
		})
	}
	return budgets
}

// unavailableTargets returns the targets that are out: routers first, then servers, each ordered by
// name.
func (s *State) unavailableTargets(usage *fleetUsage, now time.Duration) (unavailable []UnavailableTarget) {
	for _, kind := range kinds {
		targets := s.targets(kind)
		for _, name := range slices.Sorted(maps.Keys(targets)) {
			reason := usage.reasons[targetRef{kind, name}]
			if reason == NotOut {
				continue
			}
			t := targets[name]
			entry := UnavailableTarget{
				Kind:     kind,
				Name:     name,
				Zone:     t.Zone,
				Reason:   reason,
				Duration: max(0, now-t.ChangedAt),
			}
			if t.isEjected() {
				entry.ReportedBy = t.Ejection.ReportedBy
			}
			unavailable = append(unavailable, entry)
		}
	}
	return unavailable
}
