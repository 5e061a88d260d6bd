package decide

import (
	"math"
	"slices"
)

// rejectionCause is why a request was answered by the router itself. It appears in the logs.
type rejectionCause string

// The causes of rejections and failures.
const (
	causeLate     rejectionCause = "late"      // no answer can be in time
	causeNoServer rejectionCause = "no server" // no server may be tried
	causeQueue    rejectionCause = "queue"     // all queues are too long
	causeWaited   rejectionCause = "held"      // it waited for the origin until its time was over
	causeOrigin   rejectionCause = "origin"    // the origin may not be asked, or its answer would be late
	causeAttempt  rejectionCause = "attempt"   // its last attempt ended without an answer
	causeNoRetry  rejectionCause = "no retry"  // the retry budget is empty
)

const (
	// maxToleratedWaitShare bounds toleratedWaitShare.
	maxToleratedWaitShare = 0.25
	// inTimeIncrease and lateDecrease keep toleratedWaitShare where one answer in twenty is late.
	// A fixed share would reject requests while servers are idle, or lead to late answers while
	// they are overloaded.
	inTimeIncrease = 0.0005
	lateDecrease   = 0.01
	// priorityWaitShare is the additional share of the remaining time that a queue may take for a
	// request of the highest priority.
	priorityWaitShare = 0.55
	// minPriorityDivisor keeps a division finite.
	minPriorityDivisor = 1e-9
	// serviceShare is the share of a server's floor latency that counts as the request's service
	// time.
	serviceShare = 0.7
	// floorDecayMillis is the time constant with which a floor latency observed in an overload
	// decays.
	floorDecayMillis = 10000

	// minRetryAfterMillis is the shortest Retry-After: a shorter one would not reduce the load.
	minRetryAfterMillis = 25
	// retryAfterDivisor divides the latency objective to get the longest Retry-After, as the answer
	// should still be in time after it.
	retryAfterDivisor = 8
)

// toleratedWaitMillis returns the longest wait that a request accepts. It increases with the
// priority, so that the lowest priority is rejected first, and before its time is used up.
func (b *Balancer) toleratedWaitMillis(r *request) float64 {
	priorityShare := priorityWaitShare * math.Sqrt(r.priority/max(b.maxPriority, minPriorityDivisor))
	return (b.toleratedWaitShare + priorityShare) * (r.objectiveAt - b.now)
}

// fitsInQueue reports whether a request that tolerates a certain wait can be sent to a server with
// the given wait: the time must suffice for both the wait and the service.
func (b *Balancer) fitsInQueue(r *request, s *server, waitMillis, toleratedMillis float64) bool {
	latency := &s.load.latencyPerWork
	decay := math.Exp((latency.updatedAt - b.now) / floorDecayMillis)
	return waitMillis <= toleratedMillis-serviceShare*latency.floor*decay*r.work
}

// adaptToleratedWait adapts toleratedWaitShare to whether an answer was late.
func (b *Balancer) adaptToleratedWait(isLate bool) {
	b.toleratedWaitShare = min(maxToleratedWaitShare, b.toleratedWaitShare+inTimeIncrease)
	if isLate {
		b.toleratedWaitShare = max(0, b.toleratedWaitShare-lateDecrease)
	}
}

// mayReject reports whether a request may be rejected rather than failed. A rejection invites the
// client to send the request again to any router, after the Retry-After. So no attempt of it may
// have run, unless a repeat at that time is safe.
func (b *Balancer) mayReject(r *request, retryAfterMillis float64) bool {
	if r.class.Effect == Idempotent {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.mayHaveRun && !b.dropsClientRepeat(r.class, &a, retryAfterMillis)
	})
}

// dropsClientRepeat reports whether any server that a client's repeat can reach will drop it, given
// an attempt that may have run.
func (b *Balancer) dropsClientRepeat(c *Class, a *attempt, retryAfterMillis float64) bool {
	isDroppedAnywhere := c.Effect == IdempotentByKey && c.IdempotencyScope == scopeAll
	return isDroppedAnywhere && a.server != b.membership.origin && a.isWithinWindow(c, b.now+retryAfterMillis)
}

// rejectOrFail rejects or fails a request that was not served, unless an attempt is still in flight
// that may be answered.
func (b *Balancer) rejectOrFail(r *request, cause rejectionCause) {
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
	b.finishRequest(r)
}

// finishRequest marks a request as answered, cancels its attempts in flight, and removes it once
// there are none.
func (b *Balancer) finishRequest(r *request) {
	b.originFetches.waiting.mustWalk = b.originFetches.waiting.mustWalk || r.waitingSinceAt > 0
	if r.isServerFetch && !r.isAnswered {
		b.originFetches.expectedAtServers--
	}
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

// retryAfterMillis returns the Retry-After of a rejected request: the time until the shortest queue
// of its key's servers should be processed, but short enough for the answer to be in time; 0 = none
// is sent.
func (b *Balancer) retryAfterMillis(r *request) float64 {
	if !b.cfg.SendRetryAfter {
		return 0
	}
	wait := math.Inf(1)
	for _, s := range b.membership.hashList(r.key) {
		if s.isInUse() {
			wait = min(wait, b.expectedWaitMillis(s))
		}
	}
	if math.IsInf(wait, 1) { // no server is in use: the first probe follows the shortest ejection
		wait = minEjectionMillis
	}
	retryAfter := min(wait, r.class.LatencyObjectiveMillis/retryAfterDivisor, b.cfg.MaxRetryAfterMillis)
	return max(b.cfg.MinRetryAfterMillis(), retryAfter)
}

// MinRetryAfterMillis returns the Retry-After of a request that is rejected before it reaches the
// Balancer, for example if there is no capacity for its value; 0 = none is sent.
func (c *Config) MinRetryAfterMillis() float64 {
	if !c.SendRetryAfter {
		return 0
	}
	return min(minRetryAfterMillis, c.MaxRetryAfterMillis)
}
