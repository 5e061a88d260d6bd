package decide

import (
	"math"
	"slices"
)

// rejectionCause is why a request was answered without being served. The words stand in the logs.
type rejectionCause string

// The causes of rejections and failures.
const (
	causeLate     rejectionCause = "late"      // nothing can be in time any more
	causeNoServer rejectionCause = "no server" // no server may be asked
	causeQueue    rejectionCause = "queue"     // all queues are too long
	causeWaited   rejectionCause = "held"      // it waited for the origin, and its time was over
	causeOrigin   rejectionCause = "origin"    // the origin may not be asked, or a fetch would be late
	causeAttempt  rejectionCause = "attempt"   // the last attempt ended it
	causeNoRetry  rejectionCause = "no retry"  // the retry budget is used up
)

const (
	// maxToleratedWaitShare bounds the least share of the remaining time that a queue may take.
	maxToleratedWaitShare = 0.25
	// inTimeGrowth and lateCut hold that share level where one answer in twenty is late: fixed, idle
	// servers would reject, or overloaded ones answer late.
	inTimeGrowth = 0.0005
	lateCut      = 0.01
	// priorityWaitShare is the share by which the highest priority may wait longer.
	priorityWaitShare = 0.55
	// minPriorityDivisor keeps a division finite.
	minPriorityDivisor = 1e-9
	// serviceShare is the share of a server's floor latency that counts as the request's own time.
	serviceShare = 0.7
	// floorSeenMillis is the time constant by which a floor fades that was seen in an overload.
	floorSeenMillis = 10000

	// minRetryAfterMillis is the shortest Retry-After: less is no relief.
	minRetryAfterMillis = 25
	// retryAfterDivisor is the part of the latency objective that a Retry-After takes at most, as the
	// answer has to be in time after that.
	retryAfterDivisor = 8
)

// toleratedWaitMillis is the longest queue that a request accepts. It falls with the priority: the
// least is shed first, and early rather than late.
func (b *Balancer) toleratedWaitMillis(r *request) float64 {
	byPriority := priorityWaitShare * math.Sqrt(r.priority/max(b.maxPriority, minPriorityDivisor))
	return (b.toleratedWaitShare + byPriority) * (r.objectiveAt - b.now)
}

// fitsInQueue says whether a request that tolerates some wait fits in a server's queue: the wait
// and the time for the request itself.
func (b *Balancer) fitsInQueue(r *request, s *server, waitMillis, toleratedMillis float64) bool {
	latency := &s.load.latencyPerWork
	faded := math.Exp((latency.updatedAt - b.now) / floorSeenMillis)
	return waitMillis <= toleratedMillis-serviceShare*latency.floor*faded*r.work
}

// adaptToleratedWait takes whether an answer came in time.
func (b *Balancer) adaptToleratedWait(isLate bool) {
	b.toleratedWaitShare = min(maxToleratedWaitShare, b.toleratedWaitShare+inTimeGrowth)
	if isLate {
		b.toleratedWaitShare = max(0, b.toleratedWaitShare-lateCut)
	}
}

// mayReject says whether a request may be rejected rather than failed. A rejection invites the client
// to send it again to any router, after the Retry-After, so no attempt of it may have run, unless a
// repeat is harmless then.
func (b *Balancer) mayReject(r *request, retryAfterMillis float64) bool {
	if r.class.Effect == Idempotent {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.mayHaveRun && !b.dropsResend(r.class, &a, retryAfterMillis)
	})
}

// dropsResend says whether whichever server a client's resend reaches will drop it, where an attempt
// may have run.
func (b *Balancer) dropsResend(c *Class, a *attempt, retryAfterMillis float64) bool {
	isByAnyServer := c.Effect == IdempotentByKey && c.IdempotencyScope == scopeAll
	return isByAnyServer && a.server != b.membership.origin && a.isWithinWindow(c, b.now+retryAfterMillis)
}

// answer gives the final answer to a request that was not served, unless an attempt is in flight
// that may give a better one.
func (b *Balancer) answer(r *request, cause rejectionCause) {
	if r.isAnswered || r.inFlight > 0 && b.now < r.deadlineAt-minRemainingMillis {
		return
	}
	b.cause = cause
	retryAfterMillis := b.retryAfterMillis(r)
	if b.mayReject(r, retryAfterMillis) {
		b.host.Reject(r.ID, retryAfterMillis)
	} else {
		b.host.Fail(r.ID)
	}
	b.close(r)
}

// close cancels what is in flight of a request that needs no answer any more, and forgets it once
// nothing is.
func (b *Balancer) close(r *request) {
	r.isAnswered = true
	for i, a := range r.attempts {
		if !a.hasEnded && b.cfg.CancelAllowed {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.key.fetch == r {
		r.key.fetch = nil
	}
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// retryAfterMillis is the Retry-After of a rejected client: once the shortest queue among its
// servers is gone, but early enough for the answer to be in time; 0 = none is sent.
func (b *Balancer) retryAfterMillis(r *request) float64 {
	if !b.cfg.SendRetryAfter {
		return 0
	}
	wait := math.Inf(1)
	for _, s := range r.key.hashList {
		if s.isInUse() {
			wait = min(wait, b.expectedWaitMillis(s))
		}
	}
	if math.IsInf(wait, 1) { // no server is in use: probes come after the shortest pause
		wait = minEjectionMillis
	}
	longest := min(wait, r.class.LatencyObjectiveMillis/retryAfterDivisor, b.cfg.MaxRetryAfterMillis)
	return max(b.cfg.MinRetryAfterMillis(), longest)
}

// MinRetryAfterMillis is the Retry-After of a client that is rejected before its request gets here,
// as where there is no capacity for its value; 0 = none is sent.
func (c *Config) MinRetryAfterMillis() float64 {
	if !c.SendRetryAfter {
		return 0
	}
	return min(minRetryAfterMillis, c.MaxRetryAfterMillis)
}
