package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Kind is the kind of a target: a router or a cache server.
type Kind string

// The kinds of targets.
const (
	KindRouter Kind = "router"
	KindServer Kind = "server"
)

// kinds lists all kinds in the order of reports.
var kinds = [...]Kind{KindRouter, KindServer}

// Target is a router or cache server of the fleet. All times are agreed time.
type Target struct {
	// Zone is the failure domain.
	Zone string `json:"zone,omitempty"`
	// Version is the program version of a router.
	Version string `json:"version,omitempty"`
	// IsUp reports whether the target serves requests.
	IsUp bool `json:"up"`
	// ChangedAt is when IsUp changed, or when a permit of the target was returned or cleared.
	ChangedAt time.Duration `json:"since"`
	// Incarnation identifies one run of the target's process: it changes with each restart.
	Incarnation string `json:"run,omitempty"`

	// Session is the session of a router; "" while it has none.
	Session string `json:"session,omitempty"`
	// SessionOrder is the position of Session among all sessions; later sessions have larger
	// values.
	SessionOrder uint64 `json:"opened,omitempty"`
	// IsReady is whether a router reports that it accepts clients.
	IsReady bool `json:"ready,omitempty"`
	// SessionEndedAt is when the last session of a router ended.
	SessionEndedAt time.Duration `json:"ended,omitempty"`
	// AcknowledgedDrains is the latest drain version that a router has acknowledged.
	AcknowledgedDrains uint64 `json:"acked,omitempty"`
	// Served is the number of served requests in a router's latest report.
	Served int64 `json:"good,omitempty"`
	// Failed is the number of rejected and failed requests in a router's latest report.
	Failed int64 `json:"bad,omitempty"`
	// LatencyCounts are the numbers of served requests by LatencyBucket in a router's latest
	// report.
	LatencyCounts []int64 `json:"speed,omitempty"`

	// Observations are the statuses of a server by the name of the router that reports them, while
	// that router's session lasts. Only State.recordObservation and State.dropObservation may
	// change them, because they keep counts consistent.
	Observations map[string]ServerStatus `json:"saw,omitempty"`
	// DelistedAt is since when at least one router reports a server as draining or missing in the
	// endpoint list; notDelisted if no router does.
	DelistedAt time.Duration `json:"listed,omitempty"`
	// FailingSince maps each router whose own requests to the server fail to the time since when
	// they do.
	FailingSince map[string]time.Duration `json:"found,omitempty"`
	// Ejection is the latest shared ejection of a server, in force or ended; nil before the first
	// one.
	Ejection *Ejection `json:"suspect,omitempty"`

	// counts counts Observations by status.
	counts observationCounts
}

// notDelisted is the DelistedAt of a server that no router reports as draining or missing in the
// endpoint list.
const notDelisted time.Duration = -1

// targetRef identifies a target.
type targetRef struct {
	kind Kind
	name string
}

// String returns KIND/NAME, the form that operators use.
func (r targetRef) String() string { return string(r.kind) + "/" + r.name }

// targets returns the targets of a kind by name.
func (s *State) targets(kind Kind) map[string]*Target {
	if kind == KindRouter {
		return s.Routers
	}
	return s.Servers
}

// target returns a target; nil if the fleet has no such target.
func (s *State) target(ref targetRef) *Target { return s.targets(ref.kind)[ref.name] }

// maxKnownNames is how many known names an error about an unknown name lists.
const maxKnownNames = 5

// knownNames lists some names of targets of a kind, for the error about an unknown name.
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

// The reasons. If several apply, the first in this order is used.
const (
	// NotOut is for a target in service.
	NotOut OutageReason = ""
	// OutPlanned is for a target whose permit has begun.
	OutPlanned OutageReason = "by plan"
	// OutUnobserved is for a server that no router with a session observes.
	OutUnobserved OutageReason = "unknown"
	// OutDown is for a target that does not serve requests.
	OutDown OutageReason = "down"
	// OutSlowStart is for a target that has come back and is still in slow start.
	OutSlowStart OutageReason = "cold"
)

// outageReason returns why a target is out, and for OutSlowStart the time at which slow start ends.
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

// slowStart returns how long a target that has come back still counts as out: the longest SlowStart
// of the budgets that cover it.
func (s *State) slowStart(ref targetRef) (longest time.Duration) {
	for i := range s.Budgets {
		if s.Budgets[i].covers(ref) {
			longest = max(longest, s.Budgets[i].SlowStart)
		}
	}
	return longest
}

// plannedOutages returns the set of targets whose permit has begun.
func (s *State) plannedOutages() map[targetRef]bool {
	planned := map[targetRef]bool{}
	for _, p := range s.Permits {
		if p.Stage == StageBegun {
			planned[p.target()] = true
		}
	}
	return planned
}
