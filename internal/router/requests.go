package router

// Requests, from arrival to the single final answer, which only finish or startStream gives.

import (
	"log/slog"
	"slices"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/rollout"
)

// request is a request from its arrival until it is answered and its attempts have ended. It
// belongs to the loop; an attempt's goroutine only reads command and rule, which don't change.
type request struct {
	// id identifies the request to the Balancer.
	id      uint32
	command command
	// response receives the answer; nil once the request is answered.
	response *response
	// client is what the Balancer knows of the connection.
	client *decide.Client

	// readAt is when it was read, in milliseconds on the loop's clock, as are the other times below.
	readAt float64
	// arrivedAt is when the loop got it, after its turn had come.
	arrivedAt float64
	// deadline is when the client stops waiting for the answer.
	deadline float64
	// deadlineTimer calls failOverdue.
	deadlineTimer *timer

	// rule, maxAttempts and allowsHedge are from the settings in force when the request arrived.
	rule *rule
	// maxAttempts limits the total number of attempts, hedges included.
	maxAttempts int
	// allowsHedge is set if two attempts may be in flight at once.
	allowsHedge bool

	attempts []*attempt
	// pendingAttempts counts the attempts that have no outcome yet.
	pendingAttempts int
	// attemptMillis is the total duration of all attempts.
	attemptMillis float64
	// isDone is set once the request has its final answer or its client has disconnected.
	isDone bool

	// admissionStage is the request's state in admission.
	admissionStage admissionStage
	// admittedAt is when admission admitted the request.
	admittedAt float64
}

// answerGraceMillis is how long after a client's deadline the answer may still be sent for an
// attempt that timed out at the deadline.
const answerGraceMillis = 15

// reserveRequest reserves memory for a request's head and value. It reports false if there is no
// capacity for them or for an answer. Any goroutine may call it.
func (l *loop) reserveRequest(cmd *command) bool {
	cmd.reservedBytes = cmd.headBytes + cmd.valueBytes
	if cmd.valueBytes > maxBufferedValue {
		cmd.reservedBytes = cmd.headBytes + lastChunkBytes
	}
	return !l.answers.buffered.isExhausted() && l.requestBytes.tryReserve(cmd.reservedBytes)
}

// releaseRequest releases the memory reserved for a request's head and value. Any goroutine may
// call it.
func (l *loop) releaseRequest(cmd *command) {
	l.requestBytes.release(cmd.reservedBytes)
	cmd.upload.abandon()
}

// rejectCommand answers an invalid request with CLIENT_ERROR.
func (l *loop) rejectCommand(cmd *command, r *response, reason string) {
	l.releaseRequest(cmd)
	r.answer([]byte("CLIENT_ERROR " + reason + "\r\n"))
}

// handleArrival accepts a request that was read at readAt, in milliseconds on the loop's clock.
func (l *loop) handleArrival(cmd command, readAt float64, client *response) {
	l.turns.kind = turnRequest
	if l.unanswered[cmd.id] != nil || l.endedInFlight[cmd.id] != nil { // cache servers could not distinguish the two
		l.rejectCommand(&cmd, client, "the id of an open request")
		return
	}
	if l.pastRequests.contains(cmd.id, l.now()) {
		l.rejectCommand(&cmd, client, "the id of a request that may have run")
		return
	}
	if l.peerRequests.contains(cmd.id, l.now()) { // if it has not run after all, its client may send it again
		l.releaseRequest(&cmd)
		l.metrics.Class(cmd.class).CountOutcome(metrics.Overload)
		client.answer(rejectedAnswer(l.rules.Load().retryAfterMillis))
		return
	}
	rules := l.rules.Load()
	rule := rules.classes[cmd.class]
	// checkCommand has accepted the command, but the settings may have changed since.
	if rule == nil || rule.Effect == decide.IdempotentByKey && cmd.idempotencyKey == "" {
		l.rejectCommand(&cmd, client, "the class has changed")
		return
	}
	now := l.now()
	// A client's time is limited to the deadline of its class, so that its record is not kept
	// longer.
	remaining := max(0, min(cmd.remainingMillis, rule.DeadlineMillis)-(now-readAt))
	remaining = max(0, min(remaining, l.answerDeadline.load()-answerGraceMillis-now))
	r := &request{
		id:          l.nextRequestID(),
		command:     cmd,
		response:    client,
		client:      &client.conn.balancerClient,
		readAt:      readAt,
		arrivedAt:   now,
		deadline:    now + remaining,
		rule:        rule,
		maxAttempts: rules.maxAttempts,
		allowsHedge: rules.allowsHedges,
	}
	client.request = r
	l.requests[r.id] = r
	l.unanswered[cmd.id] = r
	l.metrics.Concurrent.Add(1)
	if l.trace.Enabled() {
		l.trace.Event(now, "ask", "r=%d class=%s key=%x retry=%t left=%.0f",
			r.id, cmd.class, keyID(cmd.key), cmd.isRetry, remaining)
	}
	r.deadlineTimer = l.after(remaining+answerGraceMillis, func() { l.failOverdue(r) })
	if l.admission != nil {
		l.admission.handleArrival(r, remaining)
		return
	}
	l.passToBalancer(now, r)
}

// nextRequestID returns an id that no current request has. Ids are reused after 2^32 requests.
func (l *loop) nextRequestID() uint32 {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	return l.lastID
}

// failOverdue answers a request that has no answer at its deadline. The Balancer should have
// answered it in time, so this means that the Balancer has a bug.
func (l *loop) failOverdue(r *request) {
	slog.Warn("no answer by its deadline", "request", r.command.id, "late", ms(l.now()-r.deadline),
		"turn", ms(r.arrivedAt-r.readAt), "attempts", len(r.attempts))
	l.Fail(r.id)
	l.balancer.ClientDisconnected(l.now(), r.id)
}

// answerAllBy makes sure that all open and future requests are answered by the given time, in
// milliseconds on the loop's clock. The process exits then and drops what is still unanswered.
func (l *loop) answerAllBy(at float64) {
	l.answerDeadline.set(at)
	for _, r := range l.requests {
		if !r.isDone && r.deadlineTimer.at > at {
			l.timers.stop(r.deadlineTimer)
			r.deadlineTimer = l.after(at-l.now(), func() { l.failOverdue(r) })
		}
	}
}

// passToBalancer passes a request to the Balancer with the settings of its arrival: they may have
// been reloaded while the request waited for admission.
func (l *loop) passToBalancer(now float64, r *request) {
	cmd := &r.command
	l.balancer.Request(now, decide.Request{
		ID:                   r.id,
		Class:                cmd.class,
		Tenant:               cmd.tenant,
		Key:                  keyID(cmd.key),
		HasKey:               true,
		RemainingMillis:      max(0, r.deadline-now),
		WorkHint:             cmd.workHintMillis,
		SizeBytes:            cmd.sizeBytes,
		Client:               r.client,
		IsRetry:              cmd.isRetry,
		IsWrite:              cmd.isWrite(),
		ClassAtArrival:       &r.rule.Class,
		MaxAttemptsAtArrival: r.maxAttempts,
	})
}

// handleDisconnect ends a request whose client has closed or reset its connection. Attempts not
// written yet are abandoned; the Balancer decides whether the settings allow canceling the others.
func (l *loop) handleDisconnect(client *response) {
	r := client.request
	if r == nil || r.isDone {
		return
	}
	l.finish(r, nil, outcomeDisconnected)
	l.balancer.ClientDisconnected(l.now(), r.id)
	for _, a := range r.attempts {
		if a.cancelUnsent() {
			l.deferOutcome(a, decide.Canceled)
		}
	}
}

// outcomeDisconnected is the outcome of a request whose client has disconnected. It is not counted.
const outcomeDisconnected metrics.Outcome = -1

// finish ends a request and sends an answer in the router's own words.
func (l *loop) finish(r *request, answer []byte, outcome metrics.Outcome) {
	if !r.isDone {
		l.finishWith(r, answerParts{text: answer, memory: l.answers.newText(len(answer))}, outcome)
	}
}

// finishWith ends a request and sends its answer. Only startStream, for streamed values, answers
// requests elsewhere. isDone prevents a second answer, whose memory is released.
func (l *loop) finishWith(r *request, answer answerParts, outcome metrics.Outcome) {
	if r.isDone {
		answer.memory.release()
		return
	}
	r.isDone = true
	l.metrics.Concurrent.Add(-1)
	if outcome != outcomeDisconnected {
		r.rule.count.CountOutcome(outcome)
	}
	if outcome == metrics.Success && l.latencies != nil {
		l.latencies[rollout.LatencyBucket((l.now()-r.arrivedAt)/r.rule.LatencyObjectiveMillis)].Add(1)
	}
	if l.trace.Enabled() {
		l.traceEnd(r, outcome)
	}
	l.admission.handleEnd(r, outcome == metrics.Success, outcome == metrics.Overload, answer.size())
	r.response.answerWith(answer)
	r.detachResponse()
	l.timers.stop(r.deadlineTimer)
	delete(l.unanswered, r.command.id)
	if r.pendingAttempts > 0 {
		l.endedInFlight[r.command.id] = r
	}
	l.deleteIfFinished(r)
}

// detachResponse separates an answered request from its response.
func (r *request) detachResponse() {
	r.response.request = nil
	r.response = nil
}

// startStream marks a request as done whose value is about to be streamed: the server has completed
// its work, so no deadline applies any more. It returns the response to stream to, or nil if the
// request has ended in the meantime.
func (l *loop) startStream(a *attempt, got reply) *response {
	r := a.request
	if a.isDone || a.isCanceled || r.isDone {
		return nil
	}
	a.isDone = true
	r.isDone = true
	l.timers.stop(a.timeoutTimer)
	l.timers.stop(r.deadlineTimer)
	r.pendingAttempts--
	client := r.response
	r.detachResponse()
	now := l.now()
	latencyMillis := now - a.startedAt
	r.attemptMillis += latencyMillis
	l.admission.handleEnd(r, true, false, got.streamedBytes)
	l.deleteIfFinished(r)
	l.balancer.AttemptEnded(now, decide.Outcome{
		RequestID:     r.id,
		Attempt:       a.index,
		ServerID:      a.server,
		Status:        decide.OK,
		LatencyMillis: latencyMillis,
		IsFinal:       true,
		CacheResult:   got.cacheResult,
		Load:          got.load,
	})
	return client
}

// endStream records the end of a request whose value was streamed.
func (l *loop) endStream(a *attempt, isComplete bool) {
	l.metrics.Concurrent.Add(-1)
	l.attempts.remove(a)
	delete(l.unanswered, a.request.command.id)
	l.rememberIfRun(a.request)
	if isComplete {
		a.request.rule.count.CountOutcome(metrics.Success)
	} else {
		a.request.rule.count.CountOutcome(metrics.Error)
	}
}

// deleteIfFinished deletes a request that is done and has no attempt in flight.
func (l *loop) deleteIfFinished(r *request) {
	if r.isDone && r.pendingAttempts == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.releaseRequest(&r.command)
		if l.endedInFlight[r.command.id] == r {
			delete(l.endedInFlight, r.command.id)
		}
		l.rememberIfRun(r)
	}
}

// rememberIfRun remembers a request that may have run and must not run twice.
func (l *loop) rememberIfRun(r *request) {
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
	switch {
	case mayHaveRun && r.rule.Effect != decide.Idempotent:
		l.pastRequests.add(r.command.id, l.now())
		l.notify(r, requestMayHaveRun)
	case len(r.attempts) > 0:
		l.notify(r, requestNeverRan)
	}
}

// traceEnd writes the end of a request to the trace.
func (l *loop) traceEnd(r *request, outcome metrics.Outcome) {
	cause := "-"
	if outcome == metrics.Overload || outcome == metrics.Error {
		cause = strings.ReplaceAll(l.balancer.Cause(), " ", "-")
	}
	l.trace.Event(l.now(), "end", "r=%d how=%d why=%s left=%.0f tries=%d",
		r.id, outcome, cause, r.deadline-l.now(), len(r.attempts))
}
