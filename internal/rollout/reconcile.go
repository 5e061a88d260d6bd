package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// reconcile derives everything that depends on several targets or on time, in passes: which targets
// serve, which permits are finished, whether the fleet is overloaded, which servers are drained,
// how far the release is, and which permits are granted. The outcome depends only on the state and
// the agreed time, and reconcile is idempotent: a second call at the same time changes nothing.
//
// Each pass calls reconcileAt with the times at which the passing of time alone may change its
// outcome.
func (s *State) reconcile(now time.Duration, nextToken func() uint64) {
	s.nextReconcileAt = math.MaxInt64
	// Removing a finished permit may allow a server to be removed, which may finish further
	// permits. Repeat both passes until neither changes anything.
	for {
		before := s.Version
		s.updateAvailability(now)
		s.removeFinishedPermits(now)
		if s.Version == before {
			break
		}
	}
	s.updateOverload(now)
	s.completeDrains(now)
	s.advanceRelease(now)
	s.grantPermits(now, nextToken)
}

// reconcileAt makes Advance call reconcile no later than at a given time.
func (s *State) reconcileAt(at time.Duration) { s.nextReconcileAt = min(s.nextReconcileAt, at) }

// serverChangesAt makes updateAvailability evaluate all servers no later than at a given time.
func (s *State) serverChangesAt(at time.Duration) {
	s.nextServerChangeAt = min(s.nextServerChangeAt, at)
}

// updateAvailability is the pass that determines which targets serve. Hundreds of routers observe
// hundreds of servers, so it evaluates servers only if new observations or the time may have
// changed one of them.
func (s *State) updateAvailability(now time.Duration) {
	for _, router := range s.changedRouters {
		s.setIsUp(router, router.Session != "" && router.IsReady, now)
	}
	s.changedRouters = nil
	if !s.serversChanged && now < s.nextServerChangeAt {
		s.reconcileAt(s.nextServerChangeAt)
		return
	}
	s.serversChanged = false
	s.nextServerChangeAt = math.MaxInt64
	s.updateEjections(now)
	for name, server := range s.Servers {
		s.setIsUp(server, server.isObservedServing() && !server.isEjected(), now)
		server.updateDelisted(now)
		s.removeDelistedServer(name, server, now)
	}
	s.reconcileAt(s.nextServerChangeAt)
}

// setIsUp records whether a target serves, and since when.
func (s *State) setIsUp(t *Target, isUp bool, now time.Duration) {
	if t.IsUp == isUp {
		return
	}
	t.IsUp = isUp
	t.ChangedAt = now
	s.Version++
}

// isObservedServing reports whether at least half of the routers that observe the server find it
// serving. A single router with a bad network link then can neither take a server out of service
// nor hide that it is out.
func (t *Target) isObservedServing() bool {
	if failpoint.IsInjected("evidence-of-one") {
		return t.counts.notServing() == 0
	}
	return t.counts.total > 0 && 2*t.counts.notServing() <= t.counts.total
}

// updateDelisted records since when at least one router finds the server draining or missing in the
// endpoint list.
func (t *Target) updateDelisted(now time.Duration) {
	isDelisted := t.counts.removed+t.counts.draining > 0
	switch {
	case !isDelisted:
		t.DelistedAt = notDelisted
	case t.DelistedAt < 0:
		t.DelistedAt = now
	}
}

// removeDelistedServer removes a server that all routers find missing in the endpoint list, once it
// has been down and delisted for RemoveAfterGracePeriods grace periods. Until then it counts as
// down, because it may have crashed, or it may come back before the list does. A server that has a
// permit is kept.
func (s *State) removeDelistedServer(name string, server *Target, now time.Duration) {
	if server.counts.total == 0 || server.counts.removed < server.counts.total {
		return
	}
	removeAt := max(server.ChangedAt, server.DelistedAt) + RemoveAfterGracePeriods*s.GracePeriod
	if removeAt > now && !failpoint.IsInjected("gone-is-forgotten") {
		s.serverChangesAt(removeAt)
		return
	}
	hasPermit := slices.ContainsFunc(s.Permits, func(p *Permit) bool { return p.Kind == KindServer && p.Name == name })
	if hasPermit {
		return
	}
	s.removeServer(name)
	s.Version++
}

// removeFinishedPermits is the pass that removes obsolete requests, and begun permits without a
// holder whose target is back in service.
func (s *State) removeFinishedPermits(now time.Duration) {
	count := len(s.Permits)
	s.removePermits(func(p *Permit) bool {
		if p.Stage != StageBegun {
			return s.isRequestObsolete(p, now)
		}
		return p.Session == "" && s.endOrphanedOutage(p, now)
	})
	if len(s.Permits) != count {
		s.Version++
	}
}

// isRequestObsolete reports whether a permit that has not begun is obsolete: it has expired, its
// holder's session has ended, or its target has been removed.
func (s *State) isRequestObsolete(p *Permit, now time.Duration) bool {
	if p.ExpiresAt > 0 {
		s.reconcileAt(p.ExpiresAt)
	}
	isExpired := p.ExpiresAt > 0 && p.ExpiresAt <= now
	return p.Session == "" || s.target(p.target()) == nil || isExpired
}

// endOrphanedOutage reports whether the outage of a permit without a holder is over, which is so
// once the target serves in a new incarnation. If the outage is over, the target's slow start
// begins; otherwise the permit gets a WaitReason.
//
// The holder can no longer report the end of the outage, so only a restart after its beginning
// proves that it is over. An observation made within the grace period may date from before the
// outage, so an incarnation observed then is treated as the old one.
func (s *State) endOrphanedOutage(p *Permit, now time.Duration) bool {
	t := s.target(p.target())
	settledAt := p.BegunAt + s.GracePeriod
	if t != nil && settledAt > now && !failpoint.IsInjected("late-news-believed") {
		s.reconcileAt(settledAt)
		p.Incarnation = t.Incarnation
	}
	if t != nil && t.IsUp && t.Incarnation != p.Incarnation {
		t.ChangedAt = now
		return true
	}
	p.WaitReason = fmt.Sprintf(
		"its holder %s is gone: it counts as out until it is seen started anew, or until 'permit clear %s'",
		p.Client, p.target())
	return false
}

// completeDrains is the pass that determines which drained servers get no more requests from any
// router.
func (s *State) completeDrains(now time.Duration) {
	for _, p := range s.Permits {
		if p.Kind != KindServer || p.Stage != StageBegun || p.IsDrained {
			continue
		}
		senders := s.possibleSenders(p, now)
		switch {
		case senders.total == 0:
			p.IsDrained = true
			if p.Session != "" { // without a holder it waits for a restart, whose reason stays
				p.WaitReason = ""
			}
			s.Version++
		case p.Session != "":
			p.WaitReason = fmt.Sprintf("until nothing more is sent to it by %s", senders.text())
		}
	}
}

// possibleSenders returns the routers that may still send to the server of a begun permit. A router
// with a session may do so until it acknowledges the drain. A router without a session does not
// receive the drain set. It stops sending because of the endpoint list, which must mark the server
// as draining, and which the router reads within the grace period.
func (s *State) possibleSenders(p *Permit, now time.Duration) (senders nameSummary) {
	if failpoint.IsInjected("drain-unacknowledged") {
		return senders
	}
	server := s.target(p.target())
	for name, router := range s.Routers {
		switch {
		case router.Session != "":
			if router.AcknowledgedDrains < p.DrainVersion {
				senders.add(name)
			}
		case server == nil || server.DelistedAt < 0:
			senders.add(name + " (no session, and discovery's list doesn't say that the server leaves)")
		default:
			stoppedAt := max(router.SessionEndedAt, server.DelistedAt, p.BegunAt) + s.GracePeriod
			if stoppedAt > now {
				s.reconcileAt(stoppedAt)
				senders.add(name + " (no session)")
			}
		}
	}
	return senders
}
