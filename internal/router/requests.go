package router

// Requests: from their arrival to the one final answer, which finish alone gives.

import (
	"log/slog"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/rollout"
)

// request is a request from its arrival until it is answered and its attempts are back.
type request struct {
	id             uint32
	command        command
	deadline       float64
	response       *response
	deadlineTimer  *timer // the last moment for an answer
	isDone         bool   // has its final answer, or its client has disconnected
	attempts       []*attempt
	rule           *rule // the rule, maxAttempts and allowsHedge are as the settings were on arrival
	maxAttempts    int   // all together
	allowsHedge    bool  // two may be out at once
	admissionStage admissionStage
	arrivedAt      float64 // on the loop's clock, as the other times
	admittedAt     float64
	attemptMillis  float64 // that its attempts have taken
	attemptsOut    int     // without an outcome so far
}

// answerGraceMillis after a client's deadline within which the answer to a time-out at the deadline comes.
const answerGraceMillis = 15

// reserveValue takes the bytes that a request's value needs, and tells whether there are any. It may be called from any
// goroutine.
func (l *loop) reserveValue(cmd *command) bool {
	if cmd.reservedBytes = cmd.valueBytes; cmd.valueBytes > maxBufferedValue {
		cmd.reservedBytes = lastChunkBytes
	}
	return l.answerBytes.used.Load() < l.answerBytes.limit.Load() && l.valueBytes.tryReserve(cmd.reservedBytes)
}

// releaseValue gives up what is held of a request's value. It may be called from any goroutine.
func (l *loop) releaseValue(cmd *command) {
	l.valueBytes.release(cmd.reservedBytes)
	cmd.upload.abandon()
}

// arrive takes a request of a client that was read at the given time.
func (l *loop) arrive(cmd command, read float64, s *response) {
	if l.unanswered[cmd.id] != nil { // cache servers would take the one for the other
		l.releaseValue(&cmd)
		s.answer([]byte("CLIENT_ERROR the id of an open request\r\n"))
		return
	}
	rules := l.rules.Load()
	rule := rules.classes[cmd.class]
	if rule == nil || rule.Effect == decide.IdempotentByKey && cmd.idempotencyKey == "" { // the settings have just changed
		l.releaseValue(&cmd)
		s.answer([]byte("CLIENT_ERROR the class has changed\r\n"))
		return
	}
	for l.lastID++; l.requests[l.lastID] != nil; l.lastID++ { // ids are reused after 2^32 requests
	}
	now := l.now()
	// No client waits longer than its class allows: nor does the record of one that says so.
	left := max(0, min(cmd.remainingMillis, rule.DeadlineMillis)-(now-read))
	left = max(0, min(left, l.answerBy.load()-answerGraceMillis-now))
	r := &request{id: l.lastID, command: cmd, arrivedAt: now, deadline: now + left, response: s, rule: rule, maxAttempts: rules.maxAttempts, allowsHedge: rules.allowsHedges}
	l.metrics.Concurrent.Add(1)
	l.requests[r.id], l.unanswered[cmd.id], s.request = r, r, r
	if l.trace.Enabled() {
		l.trace.Event(now, "ask", "r=%d class=%s key=%x retry=%t left=%.0f", r.id, cmd.class, keyID(cmd.key), cmd.isRetry, left)
	}
	r.deadlineTimer = l.after(left+answerGraceMillis, func() { l.overdue(r) })
	if l.admission != nil {
		l.admission.arrive(r, left)
		return
	}
	l.decide(now, r)
}

// overdue answers a request for which the Balancer owes an answer even at its deadline: the client still gets one in time.
func (l *loop) overdue(r *request) {
	slog.Warn("no answer by its deadline", "request", r.command.id)
	l.Fail(r.id)
	l.balancer.ClientDisconnected(l.now(), r.id)
}

// answerAllBy has all that is open, and all that comes, answered by then: the process ends, and what it has not answered is lost.
func (l *loop) answerAllBy(at float64) {
	l.answerBy.set(at)
	for _, r := range l.requests {
		if !r.isDone && r.deadlineTimer.at > at {
			l.timers.stop(r.deadlineTimer)
			r.deadlineTimer = l.after(at-l.now(), func() { l.overdue(r) })
		}
	}
}

// decide hands a request to the Balancer.
func (l *loop) decide(now float64, r *request) {
	cmd := &r.command
	l.balancer.Request(now, decide.Request{ID: r.id, Class: cmd.class, Tenant: cmd.tenant, Key: keyID(cmd.key), HasKey: true,
		RemainingMillis: max(0, r.deadline-now), WorkHint: cmd.workHintMillis, SizeBytes: cmd.sizeBytes, IsRetry: cmd.isRetry, IsWrite: cmd.verb == "ms",
		ClassAtArrival: &r.rule.Class, MaxAttemptsAtArrival: r.maxAttempts}) // it may have waited at the door for longer than the settings have held
}

// clientDisconnected ends a request whose client has closed or reset its connection. What is not written yet never is. What is
// written is cancelled where the settings allow it, which the Balancer knows.
func (l *loop) clientDisconnected(s *response) {
	r := s.request
	if r == nil || r.isDone {
		return
	}
	l.finish(r, nil, endDisconnected)
	l.balancer.ClientDisconnected(l.now(), r.id)
	for _, a := range r.attempts {
		if a.cancelUnsent() {
			l.deferred = append(l.deferred, func() { l.outcome(a, replyWithoutAnswer(decide.Cancelled)) })
		}
	}
}

// endDisconnected is the end of a request whose client has disconnected: it counts as none.
const endDisconnected metrics.Outcome = -1

// finish ends a request: the only place where one is answered, so none is answered twice.
func (l *loop) finish(r *request, answer []byte, how metrics.Outcome) {
	if r.isDone {
		return
	}
	r.isDone = true
	l.metrics.Concurrent.Add(-1)
	if how != endDisconnected {
		r.rule.count.Ended(how)
	}
	if how == metrics.Success && l.latencies != nil {
		l.latencies[rollout.LatencyBucket((l.now()-r.arrivedAt)/r.rule.LatencyObjectiveMillis)].Add(1)
	}
	if l.trace.Enabled() {
		l.traceEnd(r, how)
	}
	l.admission.ended(r, how == metrics.Success, how == metrics.Overload, len(answer))
	r.response.answer(answer)
	r.response.request, r.response = nil, nil
	l.timers.stop(r.deadlineTimer)
	delete(l.unanswered, r.command.id)
	l.forget(r)
}

// startStream ends the decisions on a request whose value is passed through from now on: the server has done its work, and no
// deadline applies any more. It returns the slot for the value, or nil where nobody waits for it.
func (l *loop) startStream(a *attempt, got reply) *response {
	r := a.request
	if a.isDone || a.isCancelled || r.isDone {
		return nil
	}
	a.isDone, r.isDone = true, true
	l.timers.stop(a.timeoutTimer)
	l.timers.stop(r.deadlineTimer)
	r.attemptsOut--
	sl := r.response
	r.response.request, r.response = nil, nil
	now := l.now()
	r.attemptMillis += now - a.startedAt
	l.admission.ended(r, true, false, got.streamedBytes)
	l.forget(r)
	l.balancer.AttemptEnded(now, decide.Outcome{RequestID: r.id, Attempt: a.index, ServerID: a.server, Status: decide.OK, LatencyMillis: now - a.startedAt,
		IsFinal: true, CacheResult: decide.CacheResult(got.cacheNote), Load: got.load})
	return sl
}

// endStream books the end of a request whose value was passed through.
func (l *loop) endStream(a *attempt, whole bool) {
	l.metrics.Concurrent.Add(-1)
	delete(l.unanswered, a.request.command.id)
	if whole {
		a.request.rule.count.Ended(metrics.Success)
	} else {
		a.request.rule.count.Ended(metrics.Error)
	}
}

// forget drops the record of a request that is over and has no attempt out.
func (l *loop) forget(r *request) {
	if r.isDone && r.attemptsOut == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.releaseValue(&r.command)
	}
}

// traceEnd keeps how a request ended.
func (l *loop) traceEnd(r *request, how metrics.Outcome) {
	why := "-"
	if how == metrics.Overload || how == metrics.Error {
		why = strings.ReplaceAll(l.balancer.Cause(), " ", "-")
	}
	l.trace.Event(l.now(), "end", "r=%d how=%d why=%s left=%.0f tries=%d", r.id, how, why, r.deadline-l.now(), len(r.attempts))
}
