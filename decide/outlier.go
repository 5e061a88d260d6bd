package decide

import (
	"math"
	"slices"
)

const (
	// minEjectionMillis is the first pause of an ejected server; it doubles with each ejection.
	minEjectionMillis = 500
	// maxEjectionMillis is the longest.
	maxEjectionMillis = 8 * minEjectionMillis
	// ejectionJitterFrom and ejectionJitterRange spread the probes of routers, which eject a server
	// together: the pause is multiplied by a random factor from 0.75 to 1.25.
	ejectionJitterFrom  = 0.75
	ejectionJitterRange = 0.5
	// silentProbeDelayMillis delays the forced probe of a server ejected for silence, as that costs
	// a request its time.
	silentProbeDelayMillis = 8000
	// ejectionDecay is the factor by which an answer shortens the next pause.
	ejectionDecay = 0.8

	// maxUnanswered is the number of signs of silence that eject.
	maxUnanswered = 3
	// maxEvidence is the evidence that ejects: two failures in a row where they are rare, six at
	// one in eight.
	maxEvidence = 7.5
	// returnEvidence and returnAcceptedShare are what a server comes back with after a probe: half
	// way to the next ejection, and about half of its channels.
	returnEvidence      = maxEvidence / 2
	returnAcceptedShare = 0.75

	// outlierFailureShare is the share of failures that the evidence test looks for.
	outlierFailureShare = 0.5
	// minUsualShare and maxUsualShare bound the usual share of failures that it is compared with.
	minUsualShare = 0.01
	maxUsualShare = 0.3
	// failureShareOutcomes is the number of outcomes that a failure share remembers.
	failureShareOutcomes = 30

	// acceptedWeight is the weight of an outcome in the accepted share: over eight outcomes, as a
	// server that fails fast must soon look expensive.
	acceptedWeight = 0.12
	// malformedRelief softens the weight of a malformed answer, which the network may have damaged.
	malformedRelief = 1.07
	// stalledAcceptedFactor is what an attempt past its patience leaves of the accepted share, so
	// that the keys of an overloaded server move at once.
	stalledAcceptedFactor = 0.5
	// aliveMillis is how long after a reply a server that lets no connection come up is thought
	// full rather than dead.
	aliveMillis = 1000
)

// observe draws from the end of an attempt what it tells of the server's health.
//
// Failures count as far as they stand out from the fleet's: what breaks connections, damages
// answers or overloads servers everywhere is no server's own fault.
func (b *Balancer) observe(s *server, status AttemptStatus, sentAt float64) {
	if !b.recordSignOfLife(s, status, sentAt) {
		return
	}
	hasFailed := !status.isAnswer()
	if hasFailed {
		b.usualFailureShare = medianFailureShare(b.membership.caches)
	}
	if status != Timeout {
		s.health.weigh(hasFailed, b.usualFailureShare)
	}
	if hasFailed {
		b.observeFailure(s, status)
		return
	}
	b.observeAnswer(s)
}

// recordSignOfLife records whether the server showed a sign of life, and reports whether the outcome is
// evidence of its health. A timeout while others are answered does not: the attempt waited in the queue or
// for a fetch, and moving the server's keys would only add fetches.
func (b *Balancer) recordSignOfLife(s *server, status AttemptStatus, sentAt float64) bool {
	h := &s.health
	switch status {
	case OK, Miss, Failed, QueueFull, MalformedResponse:
		h.lastReplyAt = b.now
		h.unanswered = 0
		h.latestAnsweredSentAt = max(h.latestAnsweredSentAt, sentAt)
	case ConnectError:
		// Its table of connections is full, or, where it has not answered lately, it is dead.
		s.connection.rejectedAt = b.now
		if b.now-h.lastReplyAt > aliveMillis {
			h.evidence = maxEvidence
		}
	case Reset:
	default:
		if h.lastReplyAt >= sentAt {
			return false
		}
		h.unanswered++
	}
	return true
}

// observeFailure lowers what a server is sent, and ejects it if there is evidence enough.
func (b *Balancer) observeFailure(s *server, status AttemptStatus) {
	s.health.acceptedShare *= 1 - acceptedWeight
	if status == MalformedResponse {
		s.health.acceptedShare *= malformedRelief
	}
	if s.health.isEjected || s.health.evidence >= maxEvidence || s.health.unanswered >= maxUnanswered {
		b.eject(s, status == Timeout)
	}
}

// observeAnswer raises what a server is sent. An ejected one comes back into use: its probe was
// answered.
func (b *Balancer) observeAnswer(s *server) {
	b.adaptIdleTimeout(s)
	h := &s.health
	h.acceptedShare += acceptedWeight * (1 - h.acceptedShare)
	h.ejectionMillis *= ejectionDecay
	if h.isEjected {
		h.isEjected = false
		h.acceptedShare = returnAcceptedShare
		h.evidence = returnEvidence
		b.placement.isStale = true
	}
}

// weigh adds an outcome to the evidence for a server that fails every second attempt, against one
// that fails no more than is usual: Page's test (CUSUM), the quickest to find a change for its rate
// of false alarms.
func (h *serverHealth) weigh(hasFailed bool, usualShare float64) {
	usualShare = min(maxUsualShare, max(minUsualShare, usualShare))
	if hasFailed {
		h.failureShare += (1 - h.failureShare) / failureShareOutcomes
		h.evidence += math.Log(outlierFailureShare / usualShare)
		return
	}
	h.failureShare -= h.failureShare / failureShareOutcomes
	h.evidence = max(0, h.evidence+math.Log(outlierFailureShare/(1-usualShare)))
}

// medianFailureShare is the share of attempts that fail at the median server: a few outliers leave
// it where it is.
func medianFailureShare(servers []*server) float64 {
	if len(servers) == 0 {
		return 0
	}
	shares := make([]float64, 0, len(servers))
	for _, s := range servers {
		shares = append(shares, s.health.failureShare)
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// eject takes a server out of use, or puts off its next probe after one that failed.
func (b *Balancer) eject(s *server, isSilent bool) {
	h := &s.health
	if !h.isEjected && isSilent && (h.unanswered < maxUnanswered || b.isFleetSilent()) {
		return
	}
	if h.isEjected && b.now < h.probeAt {
		return // it was sent before the ejection: no probe has failed
	}
	h.ejectionMillis = min(maxEjectionMillis, max(minEjectionMillis, 2*h.ejectionMillis))
	h.probeAt = b.now + h.ejectionMillis*(ejectionJitterFrom+ejectionJitterRange*b.rng.Float64())
	h.forcedProbeAt = h.probeAt
	if isSilent {
		h.forcedProbeAt += silentProbeDelayMillis
	}
	if !h.isEjected {
		b.placement.isStale = true
	}
	h.isEjected = true
}

// isFleetSilent says whether another ejection would leave out half of the servers or more: their silence is
// a fault of this router's network, or of the origin, and no server's.
func (b *Balancer) isFleetSilent() bool {
	return 2*countEjected(b.membership.caches)+2 > len(b.membership.caches)
}

// countEjected counts the ejected servers.
func countEjected(servers []*server) (n int) {
	for _, s := range servers {
		if s.health.isEjected {
			n++
		}
	}
	return n
}

// isInUse says whether the solver may use a server.
func (s *server) isInUse() bool {
	return s.isListed && s.acceptsNewWork() && !s.health.isEjected
}

// isUsableFor says whether a request may use a server: one in use, or an ejected one as its probe.
func (b *Balancer) isUsableFor(s *server, r *request) bool {
	if !s.isListed || !s.acceptsNewWork() {
		return false
	}
	if s.health.isEjected && !b.mayProbe(s, r) {
		return false
	}
	return b.hasSlowStartBudget(s, r.work)
}

// mayProbe says whether an ejected server is half-open for a request: after its pause it gets one
// at a time, which must be safe to repeat.
func (b *Balancer) mayProbe(s *server, r *request) bool {
	return b.now >= s.health.probeAt && s.attempts.inFlight == 0 && r.class.Effect == Idempotent
}

// mustProbe says whether a request whose home is ejected has to be its probe: where no queue makes
// a request look further along its list, the server would never be probed.
func (b *Balancer) mustProbe(home *server, r *request) bool {
	return home.health.isEjected && b.now >= home.health.forcedProbeAt && len(r.attempts) == 0 && b.isUsableFor(home, r)
}

// IsEjected tells whether the router leaves out a server because of how it answered.
func (b *Balancer) IsEjected(serverID uint32) bool {
	s := b.membership.servers[serverID]
	return s != nil && s.health.isEjected
}
