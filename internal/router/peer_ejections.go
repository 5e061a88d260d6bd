package router

// Servers that other routers have ejected: gossip by way of the agreement.

import (
	"context"
	"maps"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/rollout"
)

// peerEjections are the servers that other routers have ejected. It belongs to the loop.
type peerEjections struct {
	// ejectedByPeers holds these servers, and until when that counts, in milliseconds on the loop's
	// clock.
	ejectedByPeers map[uint32]float64
	// ejectedOnlyByPeers holds the servers that the Balancer avoids for no other reason: this router
	// has no evidence of its own, and must not report them as failing. Else a server that one router
	// once ejected would stay ejected by routers that repeat each other.
	ejectedOnlyByPeers map[uint32]bool
	// isRefreshingPeerEjections is set while a timer for applyPeerEjections is set.
	isRefreshingPeerEjections bool
}

const (
	// peerEjectionRefreshMillis is how often ejectedByPeers is reported to the Balancer again: well
	// below its shortest time until the trial of an ejected server.
	peerEjectionRefreshMillis = 100
	// maxPeerEjectionMillis bounds how long one report of others keeps a server ejected.
	maxPeerEjectionMillis = 30000
	// maxFailedChecks is how many failed health checks have the Balancer eject a server, unless it
	// has ejected half of them already.
	maxFailedChecks = 3
)

// setPeerEjections takes the servers that others have ejected, in place of those before. Each ends
// by its time on this router's clock, whatever becomes of the agreement. Any goroutine may call it
// but the loop's.
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

// applyPeerEjections has the Balancer eject the servers that others have ejected, by failed health
// checks, and puts off their trial; it does so again until the last one's time is over.
func (l *loop) applyPeerEjections() {
	for id, end := range l.ejectedByPeers {
		switch {
		case end <= l.now():
			delete(l.ejectedByPeers, id)
		case l.balancer.IsEjected(id):
			l.failHealthCheck(id)
		default:
			l.ejectedOnlyByPeers[id] = true
			for range maxFailedChecks { // fewer do where it has had some of its own
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

// failHealthCheck reports a failed health check to the Balancer, which is its only way to learn that
// a server is to be avoided.
func (l *loop) failHealthCheck(id uint32) {
	l.balancer.HealthCheckEnded(l.now(), id, decide.ConnectError, decide.NoLoadReport)
}

// recordOwnEvidence records that an attempt of this router has failed at a server that it knew of
// only by others, once these no longer have it ejected.
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

// forgetUnlistedEjections forgets servers that have left the list.
func (l *loop) forgetUnlistedEjections() {
	maps.DeleteFunc(l.ejectedOnlyByPeers, func(id uint32, _ bool) bool { return l.targets[id] == nil })
}
