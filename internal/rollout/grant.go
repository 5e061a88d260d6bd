package rollout

import (
	"fmt"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// grantPermits is the pass that weighs the permits which have not begun, in their order. One that
// must wait keeps its place in all of its budgets: a later one gets only what is left beside it.
// One that was granted and does not fit any more is revoked.
func (s *State) grantPermits(now time.Duration, nextToken func() uint64) {
	pending := slices.DeleteFunc(slices.Clone(s.Permits), func(p *Permit) bool { return p.Stage == StageBegun })
	if len(pending) == 0 {
		return
	}
	slices.SortFunc(pending, comparePermits)
	usage := s.usage(now)
	hasEarlierPermit := s.plannedOutages()
	for _, p := range pending {
		ref := p.target()
		t := s.target(ref)
		reason := s.waitReason(p, t, usage, hasEarlierPermit[ref], now)
		hasEarlierPermit[ref] = true
		s.reserve(usage, ref, t)
		switch {
		case reason == "" && p.Stage == StageWaiting:
			p.Stage = StageGranted
			p.Token = nextToken()
			s.Version++
		case reason != "" && p.Stage == StageGranted:
			p.Stage = StageWaiting
			p.Token = 0
			s.Version++
		}
		p.WaitReason = reason
	}
}

// waitReason tells why a permit that has not begun can't be granted now; "" where it can. It is the
// one place that decides this. The first reason found is the one that operators see.
func (s *State) waitReason(p *Permit, t *Target, usage *fleetUsage, hasEarlierPermit bool, now time.Duration) string {
	ref := p.target()
	if reason := s.fleetWaitReason(p, hasEarlierPermit); reason != "" {
		return reason
	}
	covering := s.coveringUsages(usage, ref, t)
	if len(covering) == 0 {
		return fmt.Sprintf("no budget covers %s: nothing goes out without one", ref)
	}
	outage := usage.reasons[ref]
	if outage == OutDown && p.Priority >= PriorityEmergency {
		// It counts against the budgets already, and serves nobody. One that only its session's end
		// has marked as down is back within the grace.
		confirmedAt := t.ChangedAt + s.Grace
		if confirmedAt <= now {
			return ""
		}
		s.reconcileAt(confirmedAt)
	}
	if failpoint.IsInjected("budget-unchecked") {
		return ""
	}
	if outage == NotOut {
		if reason := usage.lastInServiceReason(ref, t.Zone); reason != "" {
			return reason
		}
	}
	return exhaustedBudgetReason(covering, ref, outage)
}

// fleetWaitReason tells why nothing, or nothing of this priority or kind, may go out now; "" where
// something may.
func (s *State) fleetWaitReason(p *Permit, hasEarlierPermit bool) string {
	if hasEarlierPermit {
		return "another permit of it is given or comes first"
	}
	if s.Halt != nil && p.Priority < PriorityEmergency {
		return fmt.Sprintf("halted by %s: %s", s.Halt.By, s.Halt.Reason)
	}
	if reason := s.overloadReason(p); reason != "" {
		return reason
	}
	// Routers that do not take part would go on sending to a drained server.
	if p.Kind == KindServer && len(s.Routers) < s.ExpectedRouters {
		return fmt.Sprintf("%d routers are expected, and %d take part", s.ExpectedRouters, len(s.Routers))
	}
	return ""
}

// lastInServiceReason keeps the last target of a kind in service, and the last of a zone that has
// several, whatever the budgets say; "" where others are left.
func (u *fleetUsage) lastInServiceReason(ref targetRef, zone string) string {
	if u.inService[ref.kind] <= 1 {
		return fmt.Sprintf("it is the last %s that is in", ref.kind)
	}
	key := zoneKey{ref.kind, zone}
	if u.inServiceByZone[key] <= 1 && u.totalByZone[key] > 1 {
		return fmt.Sprintf("it is the last %s of zone %s that is in", ref.kind, zone)
	}
	return ""
}

// exhaustedBudgetReason names the first budget that has no place for the target; "" if all have
// one. A target that is out already takes no further place, but the budget must hold all the same:
// one in slow start or unobserved may well serve.
func exhaustedBudgetReason(covering []*budgetUsage, ref targetRef, outage OutageReason) string {
	needed := 1
	if outage != NotOut {
		needed = 0
	}
	for _, u := range covering {
		if u.allowed == 0 {
			return fmt.Sprintf("%s: a share of %v of %d is none: raise it, or say a number",
				u.text(), u.budget.MaxOutShare, u.targets)
		}
		isFree := failpoint.IsInjected("out-is-free") && u.taken[ref]
		if len(u.taken)+needed > u.allowed && !isFree {
			return fmt.Sprintf("%s: %d of at most %d out: %s", u.text(), len(u.taken), u.allowed, FirstNames(u.out))
		}
	}
	return ""
}
