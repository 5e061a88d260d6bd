package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is how all stands, for operators and tools. It is encoded as JSON in answers of the
// coordinators.
type Report struct {
	// Version is State.Version.
	Version uint64 `json:"version"`
	// DrainVersion is State.DrainVersion.
	DrainVersion uint64 `json:"drains"`
	// Drained are the servers to which routers send nothing new.
	Drained []string `json:"drained"`
	// Routers is how many routers the fleet has.
	Routers int `json:"routers"`
	// Servers is how many cache servers the fleet has.
	Servers int `json:"servers"`
	// Budgets are the budgets as they stand.
	Budgets []BudgetUsage `json:"budgets"`
	// Unavailable are the targets that are out.
	Unavailable []UnavailableTarget `json:"out"`
	// Members are all routers, ordered by zone, then by name.
	Members []Member `json:"all"`
	// Permits are all permits.
	Permits []*Permit `json:"permits"`
	// Halt is the halt in force.
	Halt *HaltRecord `json:"halted,omitempty"`
	// Load is the fleet's load.
	Load Load `json:"load,omitzero"`
	// Release is the newest release.
	Release *ReleaseProgress `json:"release,omitempty"`
	// Pending are the routers that the release is to change now.
	Pending []string `json:"do,omitempty"`
	// Updated are the routers of the release that are up with its goal version.
	Updated []string `json:"at,omitempty"`
}

// BudgetUsage is one budget as it stands, in one zone for a budget per zone.
type BudgetUsage struct {
	// Budget is its name.
	Budget string `json:"budget"`
	// Kind is that of the targets covered.
	Kind Kind `json:"kind"`
	// Zone is the zone of a budget per zone.
	Zone string `json:"zone,omitempty"`
	// Targets is how many targets it covers.
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
	// Kind is the target's.
	Kind Kind `json:"kind"`
	// Name is the target's.
	Name string `json:"name"`
	// Zone is the target's.
	Zone string `json:"zone,omitempty"`
	// Reason is why it is out.
	Reason OutageReason `json:"reason"`
	// Duration is for how long, by the agreed time.
	Duration time.Duration `json:"for"`
	// ReportedBy are the routers by whose reports all eject it.
	ReportedBy []string `json:"by,omitempty"`
}

// Member is one router of the fleet.
type Member struct {
	// Name is the router's.
	Name string `json:"name"`
	// Zone is the router's failure domain.
	Zone string `json:"zone,omitempty"`
	// Version is the router's program version.
	Version string `json:"version,omitempty"`
}

// MatchingMembers are the names of the routers that match a pattern of path.Match, in their order;
// "" matches all.
func MatchingMembers(members []Member, pattern string) (names []string) {
	for _, m := range members {
		if matches(pattern, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// DrainSet is what routers act by. It is encoded as JSON in answers of the coordinators.
type DrainSet struct {
	// Version is State.DrainVersion: it grows with each change.
	Version uint64 `json:"version"`
	// Servers are those to which nothing new is sent, sorted.
	Servers []string `json:"servers"`
	// WantsCounts requests routers to report how many requests they served and failed.
	WantsCounts bool `json:"figures,omitempty"`
	// WantsLatency requests routers to report their latencies too.
	WantsLatency bool `json:"speed,omitempty"`
	// EjectionQuorum is State.EjectionQuorum. Unless it is 0, routers report failing servers at
	// once.
	EjectionQuorum int `json:"quorum,omitempty"`
	// Ejected are the servers that are left out by a quorum's reports.
	Ejected []EjectedServer `json:"suspects,omitempty"`
	// MaxReportedServers is how many servers one report may have; 0 stands for
	// EarlierMaxReportedServers.
	MaxReportedServers int `json:"max_seen,omitempty"`
}

// DrainSet returns what routers act by. canReadLatency tells whether all coordinators understand
// reports of latencies.
func (s *State) DrainSet(now time.Duration, canReadLatency bool) DrainSet {
	isReleasing := s.Release != nil && s.Release.State == ReleaseRunning
	return DrainSet{
		Version:        s.DrainVersion,
		Servers:        s.DrainedServers(),
		WantsCounts:    isReleasing || s.OverloadShare > 0,
		WantsLatency:   isReleasing && canReadLatency,
		EjectionQuorum: s.EjectionQuorum,
		Ejected:        s.EjectedServers(now),
	}
}

// Report tells how all stands at an instant. It does not change the state.
func (s *State) Report(now time.Duration) Report {
	c := s.Clone() // usage names instants to reconcile at
	usage := c.usage(now)
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

// report lists the budgets by name, then by zone.
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
			Out:       len(usage.taken),
			SlowStart: usage.budget.SlowStart,
		})
	}
	return budgets
}

// unavailableTargets lists the targets that are out, routers first, by name.
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
