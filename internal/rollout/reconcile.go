package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// reconcile derives all that depends on several targets or on time, in passes: who serves, which
// permits are over, whether the fleet is overloaded, what is drained, how far the release is, and
// who may go out. The outcome follows from the state and the agreed time alone, so that a second
// call changes nothing.
//
// Each pass names the instants at which time alone may change its outcome by reconcileAt.
func (s *State) reconcile(now time.Duration, nextToken func() uint64) {
	s.nextReconcileAt = math.MaxInt64
	// A permit that is over may let a server be removed, whose removal may end further permits:
	// until neither changes anything.
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

// reconcileAt has Advance reconcile at an instant at the latest.
func (s *State) reconcileAt(at time.Duration) { s.nextReconcileAt = min(s.nextReconcileAt, at) }

// serverChangesAt has updateAvailability weigh all servers at an instant at the latest.
func (s *State) serverChangesAt(at time.Duration) {
	s.nextServerChangeAt = min(s.nextServerChangeAt, at)
}

// updateAvailability is the pass that finds out who serves. Hundreds of routers observe hundreds of
// servers, so servers are weighed only where observations or time may have changed something.
func (s *State) updateAvailability(now time.Duration) {
	for _, router := range s.changedRouters {
		s.setUp(router, router.Session != "" && router.IsReady, now)
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
		s.setUp(server, server.servesByObservations() && !server.isEjected(), now)
		server.updateDelisted(now)
		s.removeDelistedServer(name, server, now)
	}
	s.reconcileAt(s.nextServerChangeAt)
}

// setUp records whether a target serves.
func (s *State) setUp(t *Target, isUp bool, now time.Duration) {
	if t.IsUp == isUp {
		return
	}
	t.IsUp = isUp
	t.ChangedAt = now
	s.Version++
}

// servesByObservations tells whether at least half of the routers that observe the server find it
// serving. One router with a bad link then neither takes a server out nor hides that it is out.
func (t *Target) servesByObservations() bool {
	if failpoint.IsInjected("evidence-of-one") {
		return t.counts.notServing() == 0
	}
	return t.counts.total > 0 && 2*t.counts.notServing() <= t.counts.total
}

// updateDelisted records since when a router finds the server draining or missing in the endpoint
// list.
func (t *Target) updateDelisted(now time.Duration) {
	isDelisted := t.counts.removed+t.counts.draining > 0
	switch {
	case !isDelisted:
		t.DelistedAt = notDelisted
	case t.DelistedAt < 0:
		t.DelistedAt = now
	}
}

// removeDelistedServer removes a server that no endpoint list has had for long. It may have
// crashed, or be back with the list late, so it counts as down for some graces first; and a server
// that has a permit stays.
func (s *State) removeDelistedServer(name string, server *Target, now time.Duration) {
	if server.counts.total == 0 || server.counts.removed < server.counts.total {
		return
	}
	removeAt := max(server.ChangedAt, server.DelistedAt) + ForgetAfterGraces*s.Grace
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

// removeFinishedPermits is the pass that removes the permits which nobody wants any more, and those
// whose holder's session has ended and whose target is back.
func (s *State) removeFinishedPermits(now time.Duration) {
	count := len(s.Permits)
	s.removePermits(func(p *Permit) bool {
		if p.Stage != StageBegun {
			return s.isRequestOver(p, now)
		}
		return p.Session == "" && s.endOrphanedOutage(p, now)
	})
	if len(s.Permits) != count {
		s.Version++
	}
}

// isRequestOver tells whether a permit that has not begun has lost its holder, its target or its
// time.
func (s *State) isRequestOver(p *Permit, now time.Duration) bool {
	if p.ExpiresAt > 0 {
		s.reconcileAt(p.ExpiresAt)
	}
	isExpired := p.ExpiresAt > 0 && p.ExpiresAt <= now
	return p.Session == "" || s.target(p.target()) == nil || isExpired
}

// endOrphanedOutage ends an outage whose holder's session has ended once its target serves in a new
// incarnation, and tells whether it has.
//
// The holder is not there to tell what became of the outage, so only a restart after its beginning
// proves that it is over. What is observed within the grace may be from before the beginning: an
// incarnation seen then is taken for the old one.
func (s *State) endOrphanedOutage(p *Permit, now time.Duration) bool {
	t := s.target(p.target())
	settledAt := p.BegunAt + s.Grace
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

// completeDrains is the pass that finds out to which servers no router sends any more.
func (s *State) completeDrains(now time.Duration) {
	for _, p := range s.Permits {
		if p.Kind != KindServer || p.Stage != StageBegun || p.IsDrained {
			continue
		}
		senders := s.possibleSenders(p, now)
		switch {
		case senders.total == 0:
			p.IsDrained = true
			p.WaitReason = ""
			s.Version++
		case p.Session != "":
			p.WaitReason = fmt.Sprintf("until nothing more is sent to it by %s", senders.text())
		}
	}
}

// possibleSenders are the routers that may still send to the server of a begun permit. A router
// with a session acknowledges the drain. One without a session can't receive it: it stops by the
// endpoint list, which must say that the server is draining, and which it has read within the
// grace.
func (s *State) possibleSenders(p *Permit, now time.Duration) (senders firstNames) {
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
			stoppedAt := max(router.SessionEndedAt, server.DelistedAt, p.BegunAt) + s.Grace
			if stoppedAt > now {
				s.reconcileAt(stoppedAt)
				senders.add(name + " (no session)")
			}
		}
	}
	return senders
}
