package rollout

import (
	"fmt"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// grantPermits is the pass that grants permits whose outage has not begun. It evaluates them by
// priority, then by age. A permit that must wait still reserves its place in the budgets that cover
// its target, so that later permits can't overtake it. A granted permit that no longer fits is
// revoked.
func (s *State) grantPermits(now time.Duration, nextToken func() uint64) {
	pending := slices.DeleteFunc(slices.Clone(s.Permits), func(p *Permit) bool { return p.Stage == StageBegun })
	if len(pending) == 0 {
		return
	}
	slices.SortFunc(pending, comparePermits)
	usage := s.computeUsage(now)
	targetsWithPermit := s.plannedOutages()
	for _, p := range pending {
		ref := p.target()
		t := s.target(ref)
		reason := s.waitReason(p, t, usage, targetsWithPermit[ref], now)
		targetsWithPermit[ref] = true
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

// waitReason returns why a permit whose outage has not begun can't be granted now; "" if it can. No
// other function decides this. Operators see the first reason found.
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
		// The target already counts against the budgets and serves no requests. If it is marked as
		// down only because its session ended, it comes back within the grace period.
		confirmedAt := t.ChangedAt + s.GracePeriod
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

// fleetWaitReason returns why no target, or none of this kind or priority, may be taken out now; ""
// if there is no such reason.
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
	// Routers that have not registered would continue to send to a drained server.
	if p.Kind == KindServer && len(s.Routers) < s.ExpectedRouters {
		return fmt.Sprintf("%d routers are expected, and %d take part", s.ExpectedRouters, len(s.Routers))
	}
	return ""
}

// lastInServiceReason returns the reason to wait if the target is the last of its kind in service,
// or the last in service of a zone with several targets; "" otherwise. It applies even if the
// budgets would allow the outage.
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

// exhaustedBudgetReason names the first budget that is exhausted; "" if the outage fits into all of
// them. A target that is already out is already counted, but the budgets must not be exceeded
// either: a target in slow start or an unobserved one may well serve requests.
func exhaustedBudgetReason(covering []*budgetUsage, ref targetRef, outage OutageReason) string {
	needed := 1
	if outage != NotOut {
		needed = 0
	}
	for _, u := range covering {
		if u.allowed == 0 {
			return fmt.Sprintf("%s: a share of %v of %d is none: raise it, or say a number",
				u.description(), u.budget.MaxOutShare, u.targets)
		}
		isFree := failpoint.IsInjected("out-is-free") && u.outTargets[ref]
		if len(u.outTargets)+needed > u.allowed && !isFree {
			return fmt.Sprintf("%s: %d of at most %d out: %s",
				u.description(), len(u.outTargets), u.allowed, SummarizeNames(u.outTexts))
		}
	}
	return ""
}
