package decide

const (
	// retriesPerArrival is the number of further attempts that each request pays for: one in five,
	// so that retries can't become a storm.
	retriesPerArrival = 0.2
	// maxRetryBudget is the number that can be saved up.
	maxRetryBudget = 20
	// idempotencyMarginMillis is the time before the end of a class's window at which a repeat is
	// no longer safe, as it has a way to go.
	idempotencyMarginMillis = 1

	// latencyWeight is the weight of an answer of mean work in its server's latency: over five
	// answers. A light one counts for less, maxLatencyWeight bounds a heavy one.
	latencyWeight    = 0.2
	maxLatencyWeight = 0.5
	// fleetLatencyWeight is the weight in the latency of the fleet: over ten answers.
	fleetLatencyWeight = 0.1
)

// earnRetries adds what an arrival pays for.
func (b *Balancer) earnRetries() {
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retriesPerArrival)
}

// mayAttempt says whether a further attempt of a request may run on a server: whether its effect
// allows it, and the number of attempts. An attempt may have run from its send on, until its
// outcome proves the contrary.
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

// dropsRepeat says whether a server will drop a repeat of an attempt that may have run.
func (b *Balancer) dropsRepeat(c *Class, a *attempt, s *server) bool {
	origin := b.membership.origin
	if c.Effect == NotIdempotent || a.server == origin || s == origin {
		return false
	}
	isSameGroup := a.server.idempotencyGroup(c.IdempotencyScope) == s.idempotencyGroup(c.IdempotencyScope)
	return isSameGroup && a.isWithinWindow(c, b.now)
}

// isWithinWindow says whether servers drop a repeat of an attempt at a time.
func (a *attempt) isWithinWindow(c *Class, at float64) bool {
	return at < a.sentAt+c.IdempotencyWindowMillis-idempotencyMarginMillis
}

// endKind classifies the end of an attempt.
type endKind int

// The kinds of ends.
const (
	// endServed: it was answered.
	endServed endKind = iota
	// endMissing: the server has no value for the key.
	endMissing
	// endRejected: the server's queue is full.
	endRejected
	// endTimeout: the client's time is over.
	endTimeout
	// endDisconnected: the connection did not come up, or broke.
	endDisconnected
	// endMalformed: the answer can't be used.
	endMalformed
	// endNotRun: this router cancelled it or never sent it.
	endNotRun
	// endFailed: the server failed.
	endFailed
	// endOriginFailed: the server is well, but its own fetch from the origin failed.
	endOriginFailed
)

// attemptEnd is the end of an attempt as the decisions see it.
type attemptEnd struct {
	Outcome
	// kind is how it ended.
	kind endKind
	// server is where it ran.
	server *server
	// isFromOrigin says that the server is the origin.
	isFromOrigin bool
	// wasServerFetch says that the server was expected to fetch from the origin by itself.
	wasServerFetch bool
}

// classify gives the kind of an attempt's end.
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
	case Cancelled, Unprocessed:
		return endNotRun
	}
	if o.CacheResult == CacheMiss && !isCacheAside {
		return endOriginFailed
	}
	return endFailed
}

// attemptEnded learns from the end of an attempt, and then does what follows for its request.
func (b *Balancer) attemptEnded(r *request, a *attempt, o Outcome) {
	end := b.classify(r, a, o)
	r.isServerFetch = false
	if end.tellsOfServer() {
		b.observe(end.server, end.Status, a.sentAt)
	}
	b.learnQueue(r, &end)
	if a.wasOvertaken && end.Status.isAnswer() {
		b.overtakenAnswered()
	}
	if end.wasFetch() {
		b.fetchEnded(r, end.Status, end.LatencyMillis)
	}
	if end.kind == endOriginFailed {
		r.key.storedAt = 0 // the key's next request waits for a place too
	}
	if end.kind == endServed && !end.isFromOrigin {
		b.learnServed(r, &end)
	}
	b.follow(r, &end)
	b.serveWaiting()
}

// tellsOfServer says whether an end tells something of the server's health. What waited for the
// origin, or failed there, does not.
func (e *attemptEnd) tellsOfServer() bool {
	if e.kind == endOriginFailed || e.wasServerFetch && e.kind == endTimeout {
		return false
	}
	return e.Status.isOfServer()
}

// wasFetch says whether the origin was asked. Where the server was expected to, it says by a hit
// that the value was there after all.
func (e *attemptEnd) wasFetch() bool {
	return e.isFromOrigin || e.wasServerFetch && e.CacheResult != CacheHit
}

// learnQueue takes from a timeout or a full queue that a server has a long one.
func (b *Balancer) learnQueue(r *request, end *attemptEnd) {
	isTimeout := end.kind == endTimeout && !end.wasServerFetch
	if end.isFromOrigin || !isTimeout && end.kind != endRejected {
		return
	}
	b.recordWait(end.server, r.class.LatencyObjectiveMillis)
	latency := &end.server.load.latencyPerWork
	perWork := end.LatencyMillis / r.work
	if isTimeout && perWork > latency.value { // an overload, though some are answered
		latency.update(b.now, perWork, answerWeight(r.work))
	}
}

// answerWeight is the weight of an answer in its server's latency.
func answerWeight(work float64) float64 { return min(maxLatencyWeight, latencyWeight*work) }

// learnServed takes an answer of a cache server: its latency, and that the key is stored there. An
// answer that waited for a fetch says nothing of the server's latency.
func (b *Balancer) learnServed(r *request, end *attemptEnd) {
	if end.CacheResult != CacheMiss {
		b.adaptToleratedWait(b.now > r.objectiveAt)
		b.learnLatency(r, end)
	}
	r.key.storedAt = b.now
	r.key.storedOn = end.server
}

// learnLatency takes the latency of an answer.
func (b *Balancer) learnLatency(r *request, end *attemptEnd) {
	latency := &end.server.load.latencyPerWork
	perWork := end.LatencyMillis / r.work
	b.serviceTime.add(end.LatencyMillis)
	b.latencyPerWork.update(b.now, perWork, fleetLatencyWeight)
	b.recordWait(end.server, perWork-max(b.latencyPerWork.floor, latency.floor))
	if latency.value == 0 {
		// A light request tells little: the fleet's mean stands in for the rest.
		mean := b.serviceTime.mean
		latency.update(b.now, mean+min(1, r.work)*(perWork-mean), 1)
	}
	latency.update(b.now, perWork, answerWeight(r.work))
}

// step is what follows for a request after the end of an attempt.
type step int

// The steps.
const (
	// stepClose: it has its final answer.
	stepClose step = iota
	// stepFetchAgain: it waits for the origin once more, for a further attempt.
	stepFetchAgain
	// stepFetch: it waits for the origin, as the key is missing.
	stepFetch
	// stepRetry: it is sent to a server once more.
	stepRetry
	// stepFreeRetry: the same, without a charge to the retry budget.
	stepFreeRetry
	// stepAnswer: nothing more can help it.
	stepAnswer
	// stepAnswerWithoutRetry: a retry could help it, but is not allowed.
	stepAnswerWithoutRetry
)

// follow does what follows for a request.
func (b *Balancer) follow(r *request, end *attemptEnd) {
	mayAskSame := b.mayAskSameAgain(r, end)
	b.releaseFetch(r, end, mayAskSame)
	switch b.nextStep(r, end, mayAskSame) {
	case stepClose:
		b.close(r)
	case stepFetchAgain:
		b.retryBudget--
		b.waitForOrigin(r)
	case stepFetch:
		r.askAgain = end.server
		b.waitForOrigin(r)
	case stepRetry:
		b.retryBudget--
		b.forward(r)
	case stepFreeRetry:
		b.forward(r)
	case stepAnswer:
		b.answer(r, causeAttempt)
	case stepAnswerWithoutRetry:
		b.answer(r, causeNoRetry)
	}
}

// mayAskSameAgain says whether a read is best asked for again where its value is: its answer was
// damaged, or its connection broke at a server that is not thought to be faulty. That takes no
// fetch. A dead server costs a second attempt, which the retry budget bounds.
func (b *Balancer) mayAskSameAgain(r *request, end *attemptEnd) bool {
	if r.IsWrite {
		return false
	}
	isServerWell := !end.isFromOrigin && end.server.health.evidence < returnEvidence
	return end.kind == endMalformed || end.kind == endDisconnected && isServerWell
}

// isLostFetch says whether the origin was asked without an answer, and is not thought to be faulty.
func (e *attemptEnd) isLostFetch() bool {
	return e.isFromOrigin && (e.kind == endDisconnected || e.Status == Cancelled)
}

// releaseFetch lets others fetch a key whose fetch was lost, or sends a read back to the server
// that has the value.
func (b *Balancer) releaseFetch(r *request, end *attemptEnd, mayAskSame bool) {
	switch {
	case mayAskSame && !end.isFromOrigin:
		r.askAgain = end.server
	case (mayAskSame || end.isLostFetch()) && r.key.fetch == r:
		r.key.fetch = nil
	}
}

// nextStep decides what follows for a request after the end of an attempt.
func (b *Balancer) nextStep(r *request, end *attemptEnd, mayAskSame bool) step {
	isFree := end.Status == ConnectError // it took nobody's time
	switch {
	case r.isAnswered || end.IsFinal:
		return stepClose
	case end.isLostFetch() && b.retryBudget >= 1 && b.mayAttempt(r, end.server):
		return stepFetchAgain
	case b.now >= r.usefulUntil()-minRemainingMillis:
		return stepAnswer
	case end.isFromOrigin && !mayAskSame:
		return stepAnswer
	case end.kind == endOriginFailed:
		return stepAnswer
	case end.kind == endMissing && b.cfg.CacheAside:
		return stepFetch
	case r.inFlight > 0:
		return stepAnswerWithoutRetry
	case isFree:
		return stepFreeRetry
	case b.retryBudget < 1:
		return stepAnswerWithoutRetry
	}
	return stepRetry
}
