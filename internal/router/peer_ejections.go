package router

// Servers ejected by other routers, as shared through the coordinators.

import (
	"context"
	"maps"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/rollout"
)

// peerEjections holds the servers ejected by other routers. It belongs to the loop.
type peerEjections struct {
	// ejectedByPeers holds, for each such server, when its ejection expires, in milliseconds on the
	// loop's clock.
	ejectedByPeers map[uint32]float64
	// ejectedOnlyByPeers holds the servers that the Balancer avoids only because of other routers'
	// ejections. This router has no evidence of its own and must not report them as failing.
	// Otherwise routers repeating each other's reports would keep a server ejected forever.
	ejectedOnlyByPeers map[uint32]bool
	// isRefreshingPeerEjections is set while a timer for applyPeerEjections is running.
	isRefreshingPeerEjections bool
}

const (
	// peerEjectionRefreshMillis is how often ejectedByPeers is reported to the Balancer again. It
	// is well below the Balancer's shortest time until it probes an ejected server.
	peerEjectionRefreshMillis = 100
	// maxPeerEjectionMillis limits how long one report of other routers keeps a server ejected.
	maxPeerEjectionMillis = 30000
	// maxFailedChecks is the number of failed health checks after which the Balancer ejects a
	// server, unless it has already ejected half of the servers.
	maxFailedChecks = 3
)

// setPeerEjections replaces the servers ejected by other routers. Each ejection expires by this
// router's clock, even if the coordinators become unreachable. Any goroutine except the loop's may
// call it.
func (l *loop) setPeerEjections(ctx context.Context, ejected []rollout.EjectedServer) error {
	return l.call(ctx, func() error {
		ends := map[uint32]float64{}
		for _, server := range ejected {
			if id, ok := l.serverIDs.IDs[server.Name]; ok {
				ends[id] = l.now() + min(float64(server.Remaining.Milliseconds()), maxPeerEjectionMillis)
			}
		}
		l.ejectedByPeers = ends
		if !l.isRefreshingPeerEjections {
			l.applyPeerEjections()
		}
		return nil
	})
}

// applyPeerEjections makes the Balancer eject the servers that other routers have ejected, by
// reporting failed health checks, and postpones their probes. It repeats this until the last
// ejection has expired.
func (l *loop) applyPeerEjections() {
	for id, end := range l.ejectedByPeers {
		switch {
		case end <= l.now():
			delete(l.ejectedByPeers, id)
		case l.balancer.IsEjected(id):
			l.failHealthCheck(id)
		default:
			l.ejectedOnlyByPeers[id] = true
			for range maxFailedChecks { // fewer suffice if some of its own have failed
				l.failHealthCheck(id)
				if l.balancer.IsEjected(id) {
					break
				}
			}
		}
	}
	l.isRefreshingPeerEjections = len(l.ejectedByPeers) > 0
	if l.isRefreshingPeerEjections {
		l.after(peerEjectionRefreshMillis, l.applyPeerEjections)
	}
}

// failHealthCheck reports a failed health check to the Balancer, which has no other input for
// ejecting a server.
func (l *loop) failHealthCheck(id uint32) {
	l.balancer.HealthCheckEnded(l.now(), id, decide.ConnectError, decide.NoLoadReport)
}

// recordOwnEvidence records that an attempt of this router has failed at a server ejected only by
// others, if their ejection has expired.
func (l *loop) recordOwnEvidence(server uint32, status decide.AttemptStatus) {
	_, isEjectedByPeers := l.ejectedByPeers[server]
	if !l.ejectedOnlyByPeers[server] || isEjectedByPeers {
		return
	}
	switch status {
	case decide.Timeout, decide.ConnectError, decide.Reset, decide.Failed:
		delete(l.ejectedOnlyByPeers, server)
	}
}

// forgetUnlistedEjections deletes the entries of servers that are no longer listed.
func (l *loop) forgetUnlistedEjections() {
	maps.DeleteFunc(l.ejectedOnlyByPeers, func(id uint32, _ bool) bool { return l.targets[id] == nil })
}
