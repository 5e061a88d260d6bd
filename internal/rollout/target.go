package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Kind tells routers from cache servers.
type Kind string

// The kinds of targets.
const (
	KindRouter Kind = "router"
	KindServer Kind = "server"
)

// kinds are all kinds, in the order in which reports list them.
var kinds = [...]Kind{KindRouter, KindServer}

// Target is a router or cache server of the fleet. All instants are agreed time.
type Target struct {
	// Zone is the failure domain.
	Zone string `json:"zone,omitempty"`
	// Version is the program version of a router.
	Version string `json:"version,omitempty"`
	// IsUp tells whether the target serves.
	IsUp bool `json:"up"`
	// ChangedAt is when IsUp changed, or when a permit of the target was given back.
	ChangedAt time.Duration `json:"since"`
	// Incarnation tells one start of the target's process from another.
	Incarnation string `json:"run,omitempty"`

	// Session is a router's session; "" while it has none.
	Session string `json:"session,omitempty"`
	// SessionOrder is the position of Session among all sessions; the larger, the later.
	SessionOrder uint64 `json:"opened,omitempty"`
	// IsReady is whether a router takes clients, as it reports itself.
	IsReady bool `json:"ready,omitempty"`
	// SessionEndedAt is when a router's last session ended.
	SessionEndedAt time.Duration `json:"ended,omitempty"`
	// AcknowledgedDrains is the newest drain version that a router has in force.
	AcknowledgedDrains uint64 `json:"acked,omitempty"`
	// Served is a router's count of served requests, by its newest report.
	Served int64 `json:"good,omitempty"`
	// Failed is a router's count of rejected and failed requests, by its newest report.
	Failed int64 `json:"bad,omitempty"`
	// LatencyCounts are a router's counts of served requests by LatencyBucket, by its newest
	// report.
	LatencyCounts []int64 `json:"speed,omitempty"`

	// Observations are the statuses of a server by the router that reports them, while that
	// router's session lasts. Only State.recordObservation and State.dropObservation change them,
	// as counts follows from them.
	Observations map[string]ServerStatus `json:"saw,omitempty"`
	// DelistedAt is since when a router finds a server draining or missing in the endpoint list;
	// notDelisted if none does.
	DelistedAt time.Duration `json:"listed,omitempty"`
	// FailingSince is, for each router that finds a server failing by its own requests, since when.
	FailingSince map[string]time.Duration `json:"found,omitempty"`
	// Ejection is the newest shared ejection of a server, in force or over; nil before the first
	// one.
	Ejection *Ejection `json:"suspect,omitempty"`

	// counts counts Observations by status.
	counts observationCounts
}

// notDelisted is the DelistedAt of a server that no router finds draining or missing in the
// endpoint list.
const notDelisted time.Duration = -1

// targetRef names a target.
type targetRef struct {
	kind Kind
	name string
}

// String returns the reference as operators write it.
func (r targetRef) String() string { return string(r.kind) + "/" + r.name }

// targets returns the targets of a kind by name.
func (s *State) targets(kind Kind) map[string]*Target {
	if kind == KindRouter {
		return s.Routers
	}
	return s.Servers
}

// target returns a target, or nil.
func (s *State) target(ref targetRef) *Target { return s.targets(ref.kind)[ref.name] }

// maxKnownNames is how many names an error about an unknown name lists.
const maxKnownNames = 5

// knownNames lists some of the names of a kind, for the error about a name that is not among them.
func (s *State) knownNames(kind Kind) string {
	names := slices.Sorted(maps.Keys(s.targets(kind)))
	switch {
	case len(names) == 0:
		return "no router has told of any yet"
	case len(names) > maxKnownNames:
		return fmt.Sprintf("it has %s and %d more", strings.Join(names[:maxKnownNames], ", "), len(names)-maxKnownNames)
	}
	return "it has " + strings.Join(names, ", ")
}

// OutageReason is why a target counts as out of service. The values are shown to operators and
// stored in permits.
type OutageReason string

// The reasons, in the order in which they are checked: the first that holds counts.
const (
	// NotOut is the reason of a target in service.
	NotOut OutageReason = ""
	// OutPlanned is that of a target whose permit has begun.
	OutPlanned OutageReason = "by plan"
	// OutUnobserved is that of a server which no router with a session observes.
	OutUnobserved OutageReason = "unknown"
	// OutDown is that of a target which does not serve.
	OutDown OutageReason = "down"
	// OutSlowStart is that of a target which has come back and is still in slow start.
	OutSlowStart OutageReason = "cold"
)

// outageReason returns why a target is out, and for OutSlowStart until when.
func (s *State) outageReason(
	ref targetRef, t *Target, planned map[targetRef]bool, now time.Duration,
) (OutageReason, time.Duration) {
	warmAt := t.ChangedAt + s.slowStart(ref)
	switch {
	case planned[ref]:
		return OutPlanned, 0
	case !t.IsUp && ref.kind == KindServer && len(t.Observations) == 0:
		return OutUnobserved, 0
	case !t.IsUp:
		return OutDown, 0
	case warmAt > now && !failpoint.IsInjected("cold-counts-as-in"):
		return OutSlowStart, warmAt
	}
	return NotOut, 0
}

// slowStart is how long a target that has come back counts as out: the longest of the budgets that
// cover it.
func (s *State) slowStart(ref targetRef) (longest time.Duration) {
	for i := range s.Budgets {
		if s.Budgets[i].covers(ref) {
			longest = max(longest, s.Budgets[i].SlowStart)
		}
	}
	return longest
}

// plannedOutages are the targets whose permit has begun.
func (s *State) plannedOutages() map[targetRef]bool {
	planned := map[targetRef]bool{}
	for _, p := range s.Permits {
		if p.Stage == StageBegun {
			planned[p.target()] = true
		}
	}
	return planned
}
