package router

// Requests: from their arrival to the one final answer, which finish or startStream alone gives.

import (
	"log/slog"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/rollout"
)

// request is a request from its arrival until it is answered and its attempts have ended. It belongs
// to the loop; an attempt's goroutine reads command and rule, which don't change.
type request struct {
	// id is the request's number for the Balancer.
	id      uint32
	command command
	// response is where the answer goes; nil once it is answered.
	response *response

	// arrivedAt is in milliseconds on the loop's clock, as are the other times.
	arrivedAt float64
	// deadline is when the client stops waiting.
	deadline float64
	// deadlineTimer calls overdue.
	deadlineTimer *timer

	// rule, maxAttempts and allowsHedge are what the settings said at its arrival.
	rule *rule
	// maxAttempts bounds its attempts, all together.
	maxAttempts int
	// allowsHedge is set where two attempts may be out at once.
	allowsHedge bool

	attempts []*attempt
	// attemptsOut counts the attempts without an outcome.
	attemptsOut int
	// attemptMillis is how long its attempts took, all together.
	attemptMillis float64
	// isDone is set once it has its final answer, or its client has disconnected.
	isDone bool

	// admissionStage is how far admission has taken it.
	admissionStage admissionStage
	// admittedAt is when admission let it through.
	admittedAt float64
}

// answerGraceMillis is the time after a client's deadline within which the answer to an attempt that
// timed out at the deadline still comes.
const answerGraceMillis = 15

// reserveValue reserves the bytes that a request's value needs, and reports whether there is capacity
// for them and for an answer. Any goroutine may call it.
func (l *loop) reserveValue(cmd *command) bool {
	cmd.reservedBytes = cmd.valueBytes
	if cmd.valueBytes > maxBufferedValue {
		cmd.reservedBytes = lastChunkBytes
	}
	return !l.answerBytes.isExhausted() && l.valueBytes.tryReserve(cmd.reservedBytes)
}

// releaseValue releases what is reserved for a request's value. Any goroutine may call it.
func (l *loop) releaseValue(cmd *command) {
	l.valueBytes.release(cmd.reservedBytes)
	cmd.upload.abandon()
}

// rejectCommand answers a request that can't be taken.
func (l *loop) rejectCommand(cmd *command, r *response, reason string) {
	l.releaseValue(cmd)
	r.answer([]byte("CLIENT_ERROR " + reason + "\r\n"))
}

// arrive takes a request that was read at the given time, in milliseconds on the loop's clock.
func (l *loop) arrive(cmd command, readAt float64, client *response) {
	if l.unanswered[cmd.id] != nil { // cache servers would take the one for the other
		l.rejectCommand(&cmd, client, "the id of an open request")
		return
	}
	rules := l.rules.Load()
	rule := rules.classes[cmd.class]
	// The command has passed checkCommand, but the settings may have changed since.
	if rule == nil || rule.Effect == decide.IdempotentByKey && cmd.idempotencyKey == "" {
		l.rejectCommand(&cmd, client, "the class has changed")
		return
	}
	now := l.now()
	// No client waits longer than its class allows, so nor does the record of one that says so.
	remaining := max(0, min(cmd.remainingMillis, rule.DeadlineMillis)-(now-readAt))
	remaining = max(0, min(remaining, l.answerBy.load()-answerGraceMillis-now))
	r := &request{
		id:          l.nextRequestID(),
		command:     cmd,
		response:    client,
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
	r.deadlineTimer = l.after(remaining+answerGraceMillis, func() { l.overdue(r) })
	if l.admission != nil {
		l.admission.arrive(r, remaining)
		return
	}
	l.decide(now, r)
}

// nextRequestID returns a number that no request has. Numbers are used again after 2^32 requests.
func (l *loop) nextRequestID() uint32 {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	return l.lastID
}

// overdue answers a request that has no answer at its deadline. The Balancer answers each in time, so
// this shows a fault of it; the client is answered all the same.
func (l *loop) overdue(r *request) {
	slog.Warn("no answer by its deadline", "request", r.command.id)
	l.Fail(r.id)
	l.balancer.ClientDisconnected(l.now(), r.id)
}

// answerAllBy has all requests, open ones and later ones, answered by a time in milliseconds on the
// loop's clock: the process ends then, and what it has not answered is lost.
func (l *loop) answerAllBy(at float64) {
	l.answerBy.set(at)
	for _, r := range l.requests {
		if !r.isDone && r.deadlineTimer.at > at {
			l.timers.stop(r.deadlineTimer)
			r.deadlineTimer = l.after(at-l.now(), func() { l.overdue(r) })
		}
	}
}

// decide hands a request to the Balancer, with the settings of its arrival: it may have waited for
// admission for longer than these have held.
func (l *loop) decide(now float64, r *request) {
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
		IsRetry:              cmd.isRetry,
		IsWrite:              cmd.isWrite(),
		ClassAtArrival:       &r.rule.Class,
		MaxAttemptsAtArrival: r.maxAttempts,
	})
}

// clientDisconnected ends a request whose client has closed or reset its connection. An attempt
// that is not written never is; one that is written is cancelled where the settings allow it, which
// the Balancer knows.
func (l *loop) clientDisconnected(client *response) {
	r := client.request
	if r == nil || r.isDone {
		return
	}
	l.finish(r, nil, endDisconnected)
	l.balancer.ClientDisconnected(l.now(), r.id)
	for _, a := range r.attempts {
		if a.cancelUnsent() {
			l.deferOutcome(a, decide.Canceled)
		}
	}
}

// endDisconnected is the end of a request whose client has disconnected: it counts as none.
const endDisconnected metrics.Outcome = -1

// finish ends a request and gives it its answer. This is the only place where a request is answered,
// but for a value that is streamed (startStream); isDone keeps it from being answered twice.
func (l *loop) finish(r *request, answer []byte, end metrics.Outcome) {
	if r.isDone {
		return
	}
	r.isDone = true
	l.metrics.Concurrent.Add(-1)
	if end != endDisconnected {
		r.rule.count.CountOutcome(end)
	}
	if end == metrics.Success && l.latencies != nil {
		l.latencies[rollout.LatencyBucket((l.now()-r.arrivedAt)/r.rule.LatencyObjectiveMillis)].Add(1)
	}
	if l.trace.Enabled() {
		l.traceEnd(r, end)
	}
	l.admission.ended(r, end == metrics.Success, end == metrics.Overload, len(answer))
	r.response.answer(answer)
	r.detachResponse()
	l.timers.stop(r.deadlineTimer)
	delete(l.unanswered, r.command.id)
	l.forget(r)
}

// detachResponse parts a request from its client, as it has its answer.
func (r *request) detachResponse() {
	r.response.request = nil
	r.response = nil
}

// startStream ends the decisions on a request whose value is streamed from now on: the server has
// done its work, and no deadline applies any more. It returns where the value goes, or nil where
// nobody waits for it.
func (l *loop) startStream(a *attempt, got reply) *response {
	r := a.request
	if a.isDone || a.isCancelled || r.isDone {
		return nil
	}
	a.isDone = true
	r.isDone = true
	l.timers.stop(a.timeoutTimer)
	l.timers.stop(r.deadlineTimer)
	r.attemptsOut--
	client := r.response
	r.detachResponse()
	now := l.now()
	latencyMillis := now - a.startedAt
	r.attemptMillis += latencyMillis
	l.admission.ended(r, true, false, got.streamedBytes)
	l.forget(r)
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

// endStream counts the end of a request whose value was streamed.
func (l *loop) endStream(a *attempt, isComplete bool) {
	l.metrics.Concurrent.Add(-1)
	delete(l.unanswered, a.request.command.id)
	if isComplete {
		a.request.rule.count.CountOutcome(metrics.Success)
	} else {
		a.request.rule.count.CountOutcome(metrics.Error)
	}
}

// forget drops the record of a request that is done and has no attempt out.
func (l *loop) forget(r *request) {
	if r.isDone && r.attemptsOut == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.releaseValue(&r.command)
	}
}

// traceEnd traces how a request ended.
func (l *loop) traceEnd(r *request, end metrics.Outcome) {
	cause := "-"
	if end == metrics.Overload || end == metrics.Error {
		cause = strings.ReplaceAll(l.balancer.Cause(), " ", "-")
	}
	l.trace.Event(l.now(), "end", "r=%d how=%d why=%s left=%.0f tries=%d",
		r.id, end, cause, r.deadline-l.now(), len(r.attempts))
}
