package router

// Attempts: a request is sent to one server at a time, or to two where the settings allow a hedge. The
// Balancer decides on each by Send and Cancel; here it is written, timed out and cancelled, and its
// outcome goes back to the Balancer once.

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/failpoint"
	"dockhinge.example/dockhinge/internal/metrics"
)

// attempt is one attempt of a request.
//
//	           startWriting                answer, reset, or the close of the
//	           (first byte)                connection after a cancel or time-out
//	┌─────────┐ ─────────▶ ┌─────────┐ ─────────────────────────────────────▶ ┌──────┐
//	│ opening │            │ writing │                                        │ done │
//	└─────────┘            └─────────┘                                        └──────┘
//	     │                                                                        ▲
//	     │ cancelUnsent: cancel, time-out, client disconnected, server draining   │
//	     ▼                                                                        │
//	┌───────────┐   deferred to the end of the loop's present event               │
//	│ abandoned │ ────────────────────────────────────────────────────────────────┘
//	└───────────┘
//
// Opening, writing and abandoned are its phase. An attempt in opening may wait for a connection; it
// leaves that phase once, either by its own goroutine (startWriting) or by the loop (cancelUnsent),
// which is why phase is atomic. An attempt that may be written has a goroutine (perform), which ends
// with its outcome. All other fields belong to the loop; those set by Send are not changed later.
type attempt struct {
	request *request
	// index counts the attempts of the request from 0.
	index int
	// server is the server's id for the Balancer.
	server uint32
	// startedAt is the time of Send, in milliseconds on the loop's clock.
	startedAt float64
	// isDone is set once the attempt has its outcome. What comes later is dropped.
	isDone bool
	// mayHaveRun is set until the outcome proves that the attempt has not run.
	mayHaveRun bool
	// isCancelled is set when a written attempt is cancelled or times out.
	isCancelled bool
	// cancelStatus is then its outcome, unless it was served just then.
	cancelStatus decide.AttemptStatus
	// cancelContext closes the attempt's connection.
	cancelContext context.CancelFunc
	// timeoutTimer calls timeOut.
	timeoutTimer *timer
	phase        atomic.Int32
}

// The phases of an attempt.
const (
	// phaseOpening: nothing is written.
	phaseOpening = iota
	// phaseWriting: it may have run from here on.
	phaseWriting
	// phaseAbandoned: nothing is written, and never will be.
	phaseAbandoned
)

// sendLimits are the times after which nothing of an attempt may be written, in milliseconds on the
// loop's clock.
type sendLimits struct {
	// deadline is the first of the attempt's own, the client's and the process's.
	deadline float64
	// idempotencyWindowEnd is when the servers may have forgotten the request's idempotency key.
	idempotencyWindowEnd float64
}

// Send starts an attempt. A time-out of 0, and any later than the client's deadline, means until that.
func (l *loop) Send(id, server uint32, timeoutMillis float64) {
	r := l.requests[id]
	if r == nil { // it is done and has no attempt out: the Balancer has no record of it either
		return
	}
	now := l.now()
	remaining := min(r.deadline, l.answerBy.load()) - now
	if timeoutMillis != 0 {
		remaining = min(remaining, timeoutMillis)
	}
	a := &attempt{request: r, index: len(r.attempts), server: server, startedAt: now, mayHaveRun: true}
	limits := sendLimits{deadline: now + remaining, idempotencyWindowEnd: r.idempotencyWindowEnd()}
	ctx, cancel := context.WithCancel(l.ctx)
	a.cancelContext = cancel
	r.attempts = append(r.attempts, a)
	r.attemptsOut++
	t := l.targets[server]
	isForbidden := a.index >= r.maxAttempts || r.attemptsOut > 1 && !r.allowsHedge
	if r.isDone || t == nil || remaining <= 0 || isForbidden {
		l.deferOutcome(a, decide.Unprocessed)
		return
	}
	a.timeoutTimer = l.after(remaining, func() { l.timeOut(a) })
	if l.trace.Enabled() {
		l.trace.Event(now, "send", "r=%d n=%d s=%08x origin=%t started=%.0f key=%x",
			r.id, a.index, server, t.isOrigin, t.startedAt, keyID(r.command.key))
	}
	client := r.response
	l.background.Go(func() {
		defer cancel()
		l.perform(ctx, a, t, client, limits)
	})
}

// idempotencyWindowEnd is when no further attempt of a request may be written. The servers' memory of
// its idempotency key runs from the send of the first attempt that may have run, and the connection
// of a later attempt may take long to come up.
func (r *request) idempotencyWindowEnd() float64 {
	if r.rule.Effect != decide.IdempotentByKey {
		return math.Inf(1)
	}
	for _, a := range r.attempts {
		if a.mayHaveRun {
			return a.startedAt + r.rule.IdempotencyWindowMillis - 1
		}
	}
	return math.Inf(1)
}

// perform carries an attempt out, on its own goroutine, and tells the loop how it ended.
func (l *loop) perform(ctx context.Context, a *attempt, t *target, client *response, limits sendLimits) {
	var stream *valueStream
	hooks := attemptHooks{
		isNotRepeatable: a.request.rule.Effect != decide.Idempotent,
		beforeWrite:     func() timeoutHint { return l.startWriting(a, client, limits) },
		afterWrite:      func() { l.metrics.Dispatches.Add(1) },
		openStream: func(got reply) *valueStream {
			stream = l.openValueStream(ctx, a, got)
			return stream
		},
	}
	cmd := &a.request.command
	var got reply
	if cmd.upload != nil {
		got = l.upstreams.finishUpload(ctx, a.server, cmd, hooks)
	} else {
		got = l.upstreams.roundTrip(ctx, t, cmd, hooks)
	}
	if failpoint.IsInjected("slower") { // a slow version of the program, for the laboratory
		time.Sleep(ms((l.now() - a.startedAt) / 10))
	}
	if stream == nil {
		l.post(func() { l.endAttempt(a, got) })
		return
	}
	isComplete := got.status == decide.OK
	l.post(func() { l.endStream(a, isComplete) })
	stream.finish(isComplete)
}

// startWriting moves an attempt from opening to writing, on its own goroutine before its first byte,
// and returns the timeout hint for it. It returns 0 where nothing may be written any more: the client
// has disconnected, the time is up, or the attempt was cancelled.
func (l *loop) startWriting(a *attempt, client *response, limits sendLimits) timeoutHint {
	if client.conn.disconnected() { // the loop may not know of it yet
		l.post(func() { l.clientDisconnected(client) })
		return 0
	}
	now := l.now()
	if now >= limits.idempotencyWindowEnd {
		return 0
	}
	hint := hintFor(min(limits.deadline, l.answerBy.load()) - now)
	if hint == 0 || !a.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		return 0
	}
	return hint
}

// endAttempt takes an attempt's outcome, once. What comes after that reaches neither the client nor
// the Balancer.
func (l *loop) endAttempt(a *attempt, got reply) {
	if a.isDone {
		return
	}
	if a.isCancelled && got.status != decide.OK {
		got = replyWithoutAnswer(a.cancelStatus)
	}
	a.isDone = true
	a.mayHaveRun = !got.status.NeverRan()
	a.cancelContext()
	l.timers.stop(a.timeoutTimer)
	r := a.request
	r.attemptsOut--
	now := l.now()
	latencyMillis := now - a.startedAt
	r.attemptMillis += latencyMillis
	if l.trace.Enabled() {
		l.trace.Event(now, "got", "r=%d n=%d s=%08x status=%d note=%d ms=%.1f",
			r.id, a.index, a.server, got.status, got.cacheResult, latencyMillis)
	}
	switch {
	case got.status == decide.OK && failpoint.IsInjected("fails-some") && r.id%20 == 0: // a bad version, for the laboratory
		l.finish(r, failedAnswer(), metrics.Error)
	case got.status == decide.OK:
		l.finish(r, servedAnswer(&r.command, got.body), metrics.Success)
	}
	l.forget(r)
	if len(l.ejectedOnlyByPeers) > 0 {
		l.recordOwnEvidence(a.server, got.status)
	}
	l.balancer.AttemptEnded(now, decide.Outcome{
		RequestID:     r.id,
		Attempt:       a.index,
		ServerID:      a.server,
		Status:        got.status,
		LatencyMillis: latencyMillis,
		IsFinal:       r.isDone,
		CacheResult:   got.cacheResult,
		Load:          got.load,
	})
}

// deferOutcome ends an attempt that is not written, after the call that has caused it: the Balancer
// must not be called from within its own call.
func (l *loop) deferOutcome(a *attempt, status decide.AttemptStatus) {
	l.deferred = append(l.deferred, func() { l.endAttempt(a, replyWithoutAnswer(status)) })
}

// timeOut ends an attempt at its deadline. One whose connection has not come up has never run.
func (l *loop) timeOut(a *attempt) {
	if a.cancelUnsent() {
		l.endAttempt(a, replyWithoutAnswer(decide.ConnectError))
	} else {
		a.cancelSent(decide.Timeout)
	}
}

// Cancel cancels an attempt.
func (l *loop) Cancel(id uint32, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		l.cancel(r.attempts[n])
	}
}

// cancel cancels an attempt, by closing its connection if it has one.
func (l *loop) cancel(a *attempt) {
	if a.cancelUnsent() {
		l.deferOutcome(a, decide.Canceled)
	} else {
		a.cancelSent(decide.Canceled)
	}
}

// cancelUnsentTo ends the attempts at a server that are not written yet, as nothing new may be sent to
// it; the Balancer may send them elsewhere. Without this an attempt whose connection takes as long to
// come up as a drain's grace would be written after the grace.
func (l *loop) cancelUnsentTo(server uint32) {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.server == server && a.cancelUnsent() {
				l.deferOutcome(a, decide.Unprocessed)
			}
		}
	}
}

// cancelUnsent makes sure that nothing of an attempt will be written, and reports whether it could:
// false means that it is written or done.
func (a *attempt) cancelUnsent() bool {
	if a.isDone || !a.phase.CompareAndSwap(phaseOpening, phaseAbandoned) {
		return false
	}
	a.cancelContext()
	return true
}

// cancelSent cancels an attempt that is written. Its outcome comes only once its connection is closed:
// a retry that is written before would run beside it.
func (a *attempt) cancelSent(status decide.AttemptStatus) {
	if a.isDone || a.isCancelled || a.phase.Load() != phaseWriting {
		return
	}
	a.isCancelled = true
	a.cancelStatus = status
	a.cancelContext()
}
