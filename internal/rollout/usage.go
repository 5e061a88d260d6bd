package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// usageKey identifies one budget, or one zone of a budget per zone.
type usageKey struct {
	budget string
	zone   string
}

// budgetUsage is how much of a budget is used, over the fleet or in one zone.
type budgetUsage struct {
	// budget is the budget.
	budget *Budget
	// zone is the zone of a budget per zone; "" for one over the fleet.
	zone string
	// targets is how many targets the budget covers.
	targets int
	// allowed is how many of these may be out at once.
	allowed int
	// outTargets are the targets that count against the budget.
	outTargets map[targetRef]bool
	// outTexts names the targets in outTargets with their reasons, for operators, in the order in
	// which they were added.
	outTexts []string
}

// description returns the budget's name and zone for operators.
func (u *budgetUsage) description() string {
	if u.budget.Per == scopeZone {
		return fmt.Sprintf("budget %s (zone %s)", u.budget.Name, u.zone)
	}
	return "budget " + u.budget.Name
}

// zoneKey identifies the targets of a kind in a zone.
type zoneKey struct {
	kind Kind
	zone string
}

// legacyTotalZone is the one zone name for which the count of targets in service starts at the
// number of all targets of the kind. The first program version kept the total under this key, and
// replicas of all versions must make the same decisions.
const legacyTotalZone = "all"

// fleetUsage is which targets of the fleet are out, and how much of each budget they use.
type fleetUsage struct {
	// budgets is the usage of each budget that covers a target.
	budgets map[usageKey]*budgetUsage
	// reasons has the reason for which each target is out, or NotOut.
	reasons map[targetRef]OutageReason
	// inService counts the targets in service by kind.
	inService map[Kind]int
	// inServiceByZone counts the targets in service by kind and zone.
	inServiceByZone map[zoneKey]int
	// totalByZone counts all targets by kind and zone.
	totalByZone map[zoneKey]int
}

// computeUsage evaluates all targets and computes the usage of all budgets.
func (s *State) computeUsage(now time.Duration) *fleetUsage {
	usage := &fleetUsage{
		budgets:         map[usageKey]*budgetUsage{},
		reasons:         map[targetRef]OutageReason{},
		inService:       map[Kind]int{},
		inServiceByZone: map[zoneKey]int{},
		totalByZone:     map[zoneKey]int{},
	}
	planned := s.plannedOutages()
	for _, kind := range kinds {
		targets := s.targets(kind)
		usage.inServiceByZone[zoneKey{kind, legacyTotalZone}] = len(targets)
		for _, name := range slices.Sorted(maps.Keys(targets)) {
			ref := targetRef{kind, name}
			t := targets[name]
			reason, until := s.outageReason(ref, t, planned, now)
			if until > 0 {
				s.reconcileAt(until)
			}
			usage.reasons[ref] = reason
			usage.totalByZone[zoneKey{kind, t.Zone}]++
			if reason == NotOut {
				usage.inService[kind]++
				usage.inServiceByZone[zoneKey{kind, t.Zone}]++
			}
			for _, u := range s.coveringUsages(usage, ref, t) {
				u.targets++
				if reason != NotOut {
					u.outTargets[ref] = true
					// The text does not say how long the target has been out: it is stored, and
					// would change without an event.
					u.outTexts = append(u.outTexts, fmt.Sprintf("%s (%s)", name, reason))
				}
			}
		}
	}
	for _, u := range usage.budgets {
		u.allowed = u.budget.allowed(u.targets)
	}
	return usage
}

// coveringUsages returns the usages of the budgets that cover a target. It adds missing ones to
// usage.
func (s *State) coveringUsages(usage *fleetUsage, ref targetRef, t *Target) (covering []*budgetUsage) {
	for i := range s.Budgets {
		b := &s.Budgets[i]
		if !b.covers(ref) {
			continue
		}
		key := usageKey{budget: b.Name}
		if b.Per == scopeZone {
			key.zone = t.Zone
		}
		if usage.budgets[key] == nil {
			usage.budgets[key] = &budgetUsage{budget: b, zone: key.zone, outTargets: map[targetRef]bool{}}
		}
		covering = append(covering, usage.budgets[key])
	}
	return covering
}

// reserve counts the target of a permit as out, so that permits evaluated later get only what is
// left of the budgets.
func (s *State) reserve(usage *fleetUsage, ref targetRef, t *Target) {
	if usage.reasons[ref] == NotOut {
		usage.inService[ref.kind]--
		usage.inServiceByZone[zoneKey{ref.kind, t.Zone}]--
	}
	for _, u := range s.coveringUsages(usage, ref, t) {
		if u.outTargets[ref] {
			continue
		}
		u.outTargets[ref] = true
		u.outTexts = append(u.outTexts, fmt.Sprintf("%s (permit before this one)", ref.name))
	}
}
