package decide

import "math"

const (
	// minEjectionMillis is the time from the first ejection of a server to its probe. The time
	// doubles with each ejection.
	minEjectionMillis = 500
	// maxEjectionMillis is the longest such time.
	maxEjectionMillis = 8 * minEjectionMillis
	// ejectionJitterFrom and ejectionJitterRange multiply that time by a random factor from 0.75 to
	// 1.25, as many routers eject a server at the same time and should not probe it together.
	ejectionJitterFrom  = 0.75
	ejectionJitterRange = 0.5
	// unresponsiveProbeDelayMillis delays the forced probe of a server that was ejected for not
	// responding, as the probe costs a request all its time.
	unresponsiveProbeDelayMillis = 8000
	// ejectionDecay is the factor by which an answer shortens the next ejection.
	ejectionDecay = 0.8

	// maxUnanswered is the number of unanswered attempts that leads to an ejection.
	maxUnanswered = 3
	// maxEvidence is the evidence that leads to an ejection: two consecutive failures if failures
	// are rare, six if one attempt in eight fails.
	maxEvidence = 7.5
	// reinstatedEvidence and reinstatedAcceptedShare are the values of a server after a successful
	// probe: half of the evidence for the next ejection, and about half of its channels.
	reinstatedEvidence      = maxEvidence / 2
	reinstatedAcceptedShare = 0.75

	// outlierFailureShare is the failure share of the faulty server that the CUSUM test looks for.
	outlierFailureShare = 0.5
	// minUsualFailureShare and maxUsualFailureShare bound the usual failure share that it is
	// compared with.
	minUsualFailureShare = 0.01
	maxUsualFailureShare = 0.3
	// failureShareOutcomes is the number of outcomes that the EWMA of a failure share covers.
	failureShareOutcomes = 30

	// acceptedWeight is the EWMA weight of an outcome in the accepted share: about eight outcomes,
	// so that a server that fails fast soon gets fewer requests.
	acceptedWeight = 0.12
	// malformedAcceptedFactor reduces the effect of a malformed answer, as the network may have
	// damaged it.
	malformedAcceptedFactor = 1.07
	// stalledAcceptedFactor multiplies the accepted share when a soft timeout expires, so that the
	// keys of an overloaded server move at once.
	stalledAcceptedFactor = 0.5
	// recentReplyMillis is how long after a reply a server that refuses connections is assumed to
	// be at its connection limit rather than dead.
	recentReplyMillis = 1000
)

// recordOutcome updates a server's health from the end of an attempt.
//
// Failures count in relation to those of all servers. Broken connections, damaged answers or
// overload at every server are not a fault of one server.
func (b *Balancer) recordOutcome(s *server, status AttemptStatus, sentAt float64) {
	if !b.recordReply(s, status, sentAt) {
		return
	}
	hasFailed := !status.isAnswer()
	if hasFailed {
		b.usualFailureShare = b.membership.medianFailureShare()
	}
	if status != Timeout {
		b.membership.setFailureShare(s, s.health.nextFailureShare(hasFailed))
		s.health.addEvidence(hasFailed, b.usualFailureShare)
	}
	if hasFailed {
		b.recordFailure(s, status)
		return
	}
	b.recordSuccess(s)
}

// recordReply updates the time of the last reply, and reports whether the outcome is evidence
// of the server's health. A timeout is not, if the server has replied to anything since the attempt
// was sent: the attempt waited in the queue or for a fetch, and moving the server's keys would only
// add fetches.
func (b *Balancer) recordReply(s *server, status AttemptStatus, sentAt float64) bool {
	h := &s.health
	switch status {
	case OK, Miss, Failed, QueueFull, MalformedResponse:
		h.lastReplyAt = b.now
		h.unanswered = 0
		h.latestAnsweredSentAt = max(h.latestAnsweredSentAt, sentAt)
	case ConnectError:
		// The server is at its connection limit, or dead if it has not replied recently.
		s.connection.refusedAt = b.now
		if b.now-h.lastReplyAt > recentReplyMillis {
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

// recordFailure reduces a server's accepted share, and ejects the server if the evidence suffices.
func (b *Balancer) recordFailure(s *server, status AttemptStatus) {
	s.health.acceptedShare *= 1 - acceptedWeight
	if status == MalformedResponse {
		s.health.acceptedShare *= malformedAcceptedFactor
	}
	if s.health.isEjected || s.health.evidence >= maxEvidence || s.health.unanswered >= maxUnanswered {
		b.eject(s, status == Timeout)
	}
}

// recordSuccess raises a server's accepted share. An ejected server returns, as its probe was
// answered.
func (b *Balancer) recordSuccess(s *server) {
	b.adaptIdleTimeout(s)
	h := &s.health
	h.acceptedShare += acceptedWeight * (1 - h.acceptedShare)
	h.ejectionMillis *= ejectionDecay
	if h.isEjected {
		b.membership.setEjected(s, false)
		h.acceptedShare = reinstatedAcceptedShare
		h.evidence = reinstatedEvidence
		b.placement.isStale = true
	}
}

// nextFailureShare returns the failure share after another outcome.
func (h *serverHealth) nextFailureShare(hasFailed bool) float64 {
	if hasFailed {
		return h.failureShare + (1-h.failureShare)/failureShareOutcomes
	}
	return h.failureShare - h.failureShare/failureShareOutcomes
}

// addEvidence adds an outcome to the evidence. The evidence is the
// statistic of Page's test (CUSUM) for a server that fails every second attempt, compared with one
// that fails at the usual rate. No other test detects such a change faster at the same rate of
// false alarms.
func (h *serverHealth) addEvidence(hasFailed bool, usualShare float64) {
	usualShare = min(maxUsualFailureShare, max(minUsualFailureShare, usualShare))
	if hasFailed {
		h.evidence += math.Log(outlierFailureShare / usualShare)
		return
	}
	h.evidence = max(0, h.evidence+math.Log(outlierFailureShare/(1-usualShare)))
}

// eject ejects a server, or schedules the next probe after one that failed.
func (b *Balancer) eject(s *server, isUnresponsive bool) {
	h := &s.health
	if !h.isEjected && isUnresponsive && (h.unanswered < maxUnanswered || b.isFleetUnresponsive()) {
		return
	}
	if h.isEjected && b.now < h.probeAt {
		return // the attempt was sent before the ejection: it was not a probe
	}
	h.ejectionMillis = min(maxEjectionMillis, max(minEjectionMillis, 2*h.ejectionMillis))
	h.probeAt = b.now + h.ejectionMillis*(ejectionJitterFrom+ejectionJitterRange*b.rng.Float64())
	h.forcedProbeAt = h.probeAt
	if isUnresponsive {
		h.forcedProbeAt += unresponsiveProbeDelayMillis
	}
	if !h.isEjected {
		b.placement.isStale = true
	}
	b.membership.setEjected(s, true)
}

// isFleetUnresponsive reports whether another ejection would remove half of the servers or more
// from use. If so many servers do not respond, this router's network or the origin is at fault.
func (b *Balancer) isFleetUnresponsive() bool {
	return 2*b.membership.counts.ejectedCaches+2 > len(b.membership.caches)
}

// isInUse reports whether the solver may use a server.
func (s *server) isInUse() bool {
	return s.isListed && s.acceptsNewWork() && !s.health.isEjected
}

// isUsableFor reports whether a request may be sent to a server: one in use, or an ejected one as
// its probe. The server needs slow-start budget.
func (b *Balancer) isUsableFor(s *server, r *request) bool {
	if !s.isListed || !s.acceptsNewWork() {
		return false
	}
	if s.health.isEjected && !b.mayProbe(s, r) {
		return false
	}
	return b.hasSlowStartBudget(s, r.work)
}

// mayProbe reports whether an ejected server is half-open for a request. After its ejection time it
// gets one request at a time, which must be idempotent.
func (b *Balancer) mayProbe(s *server, r *request) bool {
	return b.now >= s.health.probeAt && s.attempts.inFlight == 0 && r.class.Effect == Idempotent
}

// mustProbe reports whether a request must be sent as a probe to its ejected home. Otherwise the
// server would not be probed as long as short queues elsewhere keep requests from trying it.
func (b *Balancer) mustProbe(home *server, r *request) bool {
	return home.health.isEjected && b.now >= home.health.forcedProbeAt && len(r.attempts) == 0 && b.isUsableFor(home, r)
}

// IsEjected reports whether outlier detection has ejected a server.
func (b *Balancer) IsEjected(serverID uint32) bool {
	s := b.membership.servers[serverID]
	return s != nil && s.health.isEjected
}
