package decide

const (
	// retriesPerArrival is the number of retries that each request adds to the budget: one per five
	// requests, which prevents retry storms.
	retriesPerArrival = 0.2
	// maxRetryBudget is the largest budget that can accumulate.
	maxRetryBudget = 20
	// idempotencyMarginMillis is the time before the end of an idempotency window from which a
	// repeat counts as unsafe, as it still has to reach the server.
	idempotencyMarginMillis = 1

	// latencyWeight is the EWMA weight of an answer of mean work in its server's latency: about
	// five answers. It is scaled by the work, and maxLatencyWeight bounds it.
	latencyWeight    = 0.2
	maxLatencyWeight = 0.5
	// fleetLatencyWeight is the EWMA weight in the latency over all servers: about ten answers.
	fleetLatencyWeight = 0.1
)

// refillRetryBudget adds to the retry budget for an arrival.
func (b *Balancer) refillRetryBudget() {
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retriesPerArrival)
}

// mayAttempt reports whether a further attempt of a request may run on a server: whether the effect
// of its class allows the repeat, and whether attempts are left. An attempt may have run from its
// send on, until its outcome proves the contrary.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	if r.class.Effect != Idempotent {
		for i := range r.attempts {
			if r.attempts[i].mayHaveRun && !b.dropsRepeat(r.class, &r.attempts[i], s) {
				return false
			}
		}
	}
	return len(r.attempts) < r.maxAttempts && (r.inFlight == 0 || b.cfg.HedgingAllowed)
}

// dropsRepeat reports whether a server will drop a repeat of an attempt that may have run.
func (b *Balancer) dropsRepeat(c *Class, a *attempt, s *server) bool {
	origin := b.membership.origin
	if c.Effect == NotIdempotent || a.server == origin || s == origin {
		return false
	}
	isSameGroup := a.server.idempotencyGroup(c.IdempotencyScope) == s.idempotencyGroup(c.IdempotencyScope)
	return isSameGroup && a.isWithinWindow(c, b.now)
}

// isWithinWindow reports whether servers drop a repeat of the attempt at a given time.
func (a *attempt) isWithinWindow(c *Class, at float64) bool {
	return at < a.sentAt+c.IdempotencyWindowMillis-idempotencyMarginMillis
}

// endKind classifies the end of an attempt.
type endKind int

// The kinds of ends.
const (
	// endServed: the server answered.
	endServed endKind = iota
	// endMissing: the server has no value for the key.
	endMissing
	// endRejected: the server's queue was full.
	endRejected
	// endTimeout: no answer arrived in time.
	endTimeout
	// endDisconnected: the connection could not be established, or broke.
	endDisconnected
	// endMalformed: the answer can't be parsed.
	endMalformed
	// endNotRun: this router canceled the attempt or never sent it.
	endNotRun
	// endFailed: the server returned an error.
	endFailed
	// endOriginFailed: the server works, but its own fetch from the origin failed.
	endOriginFailed
)

// attemptEnd is the end of an attempt, with the input of the decisions about it.
type attemptEnd struct {
	Outcome
	// kind is the class of the outcome.
	kind endKind
	// server is the server of the attempt.
	server *server
	// isFromOrigin says that the server is the origin.
	isFromOrigin bool
	// wasServerFetch says that the server was expected to fetch from the origin by itself.
	wasServerFetch bool
}

// classify returns an attempt's outcome with its classification.
func (b *Balancer) classify(r *request, a *attempt, o Outcome) attemptEnd {
	return attemptEnd{
		Outcome:        o,
		kind:           endKindOf(o, b.cfg.CacheAside),
		server:         a.server,
		isFromOrigin:   a.server == b.membership.origin,
		wasServerFetch: r.isServerFetch,
	}
}

func endKindOf(o Outcome, isCacheAside bool) endKind {
	switch o.Status {
	case OK:
		return endServed
	case Miss:
		return endMissing
	case QueueFull:
		return endRejected
	case Timeout:
		return endTimeout
	case ConnectError, Reset:
		return endDisconnected
	case MalformedResponse:
		return endMalformed
	case Canceled, Unprocessed:
		return endNotRun
	}
	if o.CacheResult == CacheMiss && !isCacheAside {
		return endOriginFailed
	}
	return endFailed
}

// attemptEnded updates all records from the end of an attempt, and then acts on its request.
func (b *Balancer) attemptEnded(r *request, a *attempt, o Outcome) {
	end := b.classify(r, a, o)
	b.expectNoFetchAtServer(r)
	if r.waitingSinceAt > 0 {
		b.originFetches.waiting.mustWalk = true
	}
	if end.reflectsServerHealth() {
		b.recordOutcome(end.server, end.Status, a.sentAt)
	}
	b.recordLongQueue(r, &end)
	if a.wasOvertaken && end.Status.isAnswer() {
		b.recordOvertakenAnswer()
	}
	if end.wasFetch() {
		b.fetchEnded(r, end.Status, end.LatencyMillis)
	}
	if end.kind == endOriginFailed {
		r.key.storedAt = 0 // the key's next request must wait for a fetch slot
	}
	if end.kind == endServed && !end.isFromOrigin {
		b.recordServed(r, &end)
	}
	b.performNextStep(r, &end)
	b.resumeWaiting()
}

// reflectsServerHealth reports whether an end is evidence of the server's health. An attempt that
// waited for the origin or failed there is not.
func (e *attemptEnd) reflectsServerHealth() bool {
	if e.kind == endOriginFailed || e.wasServerFetch && e.kind == endTimeout {
		return false
	}
	return e.Status.reflectsServer()
}

// wasFetch reports whether the origin was asked. A server that was expected to fetch reports a hit
// if it had the value after all.
func (e *attemptEnd) wasFetch() bool {
	return e.isFromOrigin || e.wasServerFetch && e.CacheResult != CacheHit
}

// recordLongQueue records a long queue at a server after a timeout or a rejection by a full queue.
func (b *Balancer) recordLongQueue(r *request, end *attemptEnd) {
	isTimeout := end.kind == endTimeout && !end.wasServerFetch
	if end.isFromOrigin || !isTimeout && end.kind != endRejected {
		return
	}
	b.recordWait(end.server, r.class.LatencyObjectiveMillis)
	latency := &end.server.load.latencyPerWork
	perWork := end.LatencyMillis / r.work
	if isTimeout && perWork > latency.value { // the server is overloaded, even if it answers some attempts
		latency.update(b.now, perWork, answerWeight(r.work))
	}
}

// answerWeight returns the EWMA weight of an answer in its server's latency.
func answerWeight(work float64) float64 { return min(maxLatencyWeight, latencyWeight*work) }

// recordServed records the latency of a cache server's answer, and that the key is stored there.
// The latency of an answer that waited for a fetch is not used.
func (b *Balancer) recordServed(r *request, end *attemptEnd) {
	if end.CacheResult != CacheMiss {
		b.adaptToleratedWait(b.now > r.objectiveAt)
		b.recordLatency(r, end)
	}
	b.recordStored(r.key, end.server)
}

// recordLatency records the latency of an answer.
func (b *Balancer) recordLatency(r *request, end *attemptEnd) {
	latency := &end.server.load.latencyPerWork
	perWork := end.LatencyMillis / r.work
	b.serviceTime.add(end.LatencyMillis)
	b.latencyPerWork.update(b.now, perWork, fleetLatencyWeight)
	b.recordWait(end.server, perWork-max(b.latencyPerWork.floor, latency.floor))
	if latency.value == 0 {
		// A light request gives little evidence: the mean over all servers supplies the rest.
		mean := b.serviceTime.mean
		latency.update(b.now, mean+min(1, r.work)*(perWork-mean), 1)
	}
	latency.update(b.now, perWork, answerWeight(r.work))
}

// step is what is done with a request after the end of an attempt.
type step int

// The steps.
const (
	// stepFinish: the request has its final answer.
	stepFinish step = iota
	// stepFetchAgain: the request waits for the origin again, for another attempt there.
	stepFetchAgain
	// stepFetch: the request waits for the origin, as the key is missing.
	stepFetch
	// stepRetry: the request is sent to a server again.
	stepRetry
	// stepFreeRetry: the same, without using the retry budget.
	stepFreeRetry
	// stepAnswer: the request is rejected or fails, as no further attempt would help.
	stepAnswer
	// stepAnswerWithoutRetry: the same, though a retry might help: it is not allowed.
	stepAnswerWithoutRetry
)

// performNextStep carries out the next step of a request after the end of an attempt.
func (b *Balancer) performNextStep(r *request, end *attemptEnd) {
	mayRetrySame := b.mayRetrySameServer(r, end)
	b.releaseFetch(r, end, mayRetrySame)
	switch b.nextStep(r, end, mayRetrySame) {
	case stepFinish:
		b.finishRequest(r)
	case stepFetchAgain:
		b.retryBudget--
		b.waitForOrigin(r)
	case stepFetch:
		r.preferredServer = end.server
		b.waitForOrigin(r)
	case stepRetry:
		b.retryBudget--
		b.forward(r)
	case stepFreeRetry:
		b.forward(r)
	case stepAnswer:
		b.rejectOrFail(r, causeAttempt)
	case stepAnswerWithoutRetry:
		b.rejectOrFail(r, causeNoRetry)
	}
}

// mayRetrySameServer reports whether a read should be repeated at the same server, which has the
// value: its answer was malformed, or its connection broke and the server is not suspected of a
// fault. That saves a fetch. If the server is dead, it costs a second attempt, which the retry
// budget bounds.
func (b *Balancer) mayRetrySameServer(r *request, end *attemptEnd) bool {
	if r.IsWrite {
		return false
	}
	isServerHealthy := !end.isFromOrigin && end.server.health.evidence < reinstatedEvidence
	return end.kind == endMalformed || end.kind == endDisconnected && isServerHealthy
}

// isLostFetch reports whether a fetch ended without an answer and without evidence that the origin
// is faulty.
func (e *attemptEnd) isLostFetch() bool {
	return e.isFromOrigin && (e.kind == endDisconnected || e.Status == Canceled)
}

// releaseFetch lets other requests fetch a key whose fetch was lost, or makes a read prefer the
// server that has the value.
func (b *Balancer) releaseFetch(r *request, end *attemptEnd, mayRetrySame bool) {
	switch {
	case mayRetrySame && !end.isFromOrigin:
		r.preferredServer = end.server
	case (mayRetrySame || end.isLostFetch()) && r.key.fetch == r:
		r.key.fetch = nil
	}
}

// nextStep decides what follows for a request after the end of an attempt.
func (b *Balancer) nextStep(r *request, end *attemptEnd, mayRetrySame bool) step {
	isUncharged := end.Status == ConnectError // no server has spent time on it
	switch {
	case r.isAnswered || end.IsFinal:
		return stepFinish
	case end.isLostFetch() && b.retryBudget >= 1 && b.mayAttempt(r, end.server):
		return stepFetchAgain
	case b.now >= r.usefulUntil()-minRemainingMillis:
		return stepAnswer
	case end.isFromOrigin && !mayRetrySame:
		return stepAnswer
	case end.kind == endOriginFailed:
		return stepAnswer
	case end.kind == endMissing && b.cfg.CacheAside:
		return stepFetch
	case r.inFlight > 0:
		return stepAnswerWithoutRetry
	case isUncharged:
		return stepFreeRetry
	case b.retryBudget < 1:
		return stepAnswerWithoutRetry
	}
	return stepRetry
}
