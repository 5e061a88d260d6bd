package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// usageKey names one budget, in one zone for a budget per zone.
type usageKey struct {
	budget string
	zone   string
}

// budgetUsage is one budget, in one zone or over the fleet, with what counts against it.
type budgetUsage struct {
	// budget is the budget.
	budget *Budget
	// zone is that of a budget per zone; "" for one over the fleet.
	zone string
	// targets is how many targets it covers.
	targets int
	// allowed is how many of these may be out at once.
	allowed int
	// taken are the targets that count against it.
	taken map[targetRef]bool
	// out are the targets in taken with their reasons, for operators, in the order in which they
	// were found.
	out []string
}

// text names the budget for operators.
func (u *budgetUsage) text() string {
	if u.budget.Per == scopeZone {
		return fmt.Sprintf("budget %s (zone %s)", u.budget.Name, u.zone)
	}
	return "budget " + u.budget.Name
}

// zoneKey names the targets of a kind in a zone.
type zoneKey struct {
	kind Kind
	zone string
}

// zoneOfAll is a zone name whose count of targets in service also includes all targets of the kind.
// The first program kept both counts under one key, and replicas of all versions must decide alike.
const zoneOfAll = "all"

// fleetUsage is which targets are out, and how much of each budget they use.
type fleetUsage struct {
	// budgets is the usage of each budget that covers a target.
	budgets map[usageKey]*budgetUsage
	// reasons is why each target is out, or NotOut.
	reasons map[targetRef]OutageReason
	// inService counts the targets in service by kind.
	inService map[Kind]int
	// inServiceByZone counts the targets in service by kind and zone.
	inServiceByZone map[zoneKey]int
	// totalByZone counts all targets by kind and zone.
	totalByZone map[zoneKey]int
}

// usage weighs all targets against all budgets.
func (s *State) usage(now time.Duration) *fleetUsage {
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
		usage.inServiceByZone[zoneKey{kind, zoneOfAll}] = len(targets)
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
					u.taken[ref] = true
					// Without how long it has been out: the text is stored, and would change with
					// no event.
					u.out = append(u.out, fmt.Sprintf("%s (%s)", name, reason))
				}
			}
		}
	}
	for _, u := range usage.budgets {
		u.allowed = u.budget.allowed(u.targets)
	}
	return usage
}

// coveringUsages are the usages of the budgets that cover a target. It adds those that are not
// there yet.
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
			usage.budgets[key] = &budgetUsage{budget: b, zone: key.zone, taken: map[targetRef]bool{}}
		}
		covering = append(covering, usage.budgets[key])
	}
	return covering
}

// reserve counts a target whose permit was weighed as out, so that later permits get only what is
// left beside it.
func (s *State) reserve(usage *fleetUsage, ref targetRef, t *Target) {
	if usage.reasons[ref] == NotOut {
		usage.inService[ref.kind]--
		usage.inServiceByZone[zoneKey{ref.kind, t.Zone}]--
	}
	for _, u := range s.coveringUsages(usage, ref, t) {
		if u.taken[ref] {
			continue
		}
		u.taken[ref] = true
		u.out = append(u.out, fmt.Sprintf("%s (permit before this one)", ref.name))
	}
}
