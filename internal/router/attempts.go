package router

// Attempts: each sends a request to one server. A request has one attempt in flight, or two if the
// settings allow a hedge. The Balancer starts and cancels attempts with Send and Cancel; this file
// writes them, enforces their timeouts, and reports each outcome to the Balancer exactly once.

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
//	           (first byte)                connection after a cancel or timeout
//	┌─────────┐ ─────────▶ ┌─────────┐ ─────────────────────────────────────▶ ┌──────┐
//	│ opening │            │ writing │                                        │ done │
//	└─────────┘            └─────────┘                                        └──────┘
//	     │                                                                        ▲
//	     │ cancelUnsent: cancel, timeout, client disconnected, server draining    │
//	     ▼                                                                        │
//	┌───────────┐   deferred to the end of the loop's current event               │
//	│ abandoned │ ────────────────────────────────────────────────────────────────┘
//	└───────────┘
//
// Opening, writing and abandoned are the values of phase. An attempt in opening may be waiting for
// a connection. It leaves that phase once, either on its own goroutine (startWriting) or on the
// loop (cancelUnsent), so phase is atomic. Unless Send rejects it at once, an attempt runs on a
// goroutine (perform) that ends with its outcome. All other fields belong to the loop; those that
// Send sets don't change afterwards.
type attempt struct {
	request *request
	// index is the number of this attempt within the request, from 0.
	index int
	// server is the server's id for the Balancer.
	server uint32
	// startedAt is the time of Send, in milliseconds on the loop's clock.
	startedAt float64
	// isDone is set once the attempt has its outcome. Later results are dropped.
	isDone bool
	// mayHaveRun is set until the outcome proves that the server has not run the request.
	mayHaveRun bool
	// isCanceled is set when a written attempt is canceled or times out.
	isCanceled bool
	// cancelStatus is the outcome if isCanceled is set, unless the attempt succeeded just before.
	cancelStatus decide.AttemptStatus
	// cancelContext closes the attempt's connection.
	cancelContext context.CancelFunc
	// timeoutTimer calls timeOut.
	timeoutTimer *timer
	phase        atomic.Int32
	// isAnswering is set, on the attempt's goroutine, once the head of a long answer was received.
	// Then only the end of the request or of its time cancels the attempt: its server is not slow to
	// accept it, and the connection would be cut off in the middle of a sound answer.
	isAnswering atomic.Bool
}

// The phases of an attempt.
const (
	// phaseOpening: nothing has been written yet.
	phaseOpening = iota
	// phaseWriting: writing has started, so the server may have run the request.
	phaseWriting
	// phaseAbandoned: nothing has been written and nothing will be.
	phaseAbandoned
)

// sendLimits are the times, in milliseconds on the loop's clock, after which no byte of an attempt
// may be written.
type sendLimits struct {
	// deadline is the earliest of the attempt's, the client's and the process's deadlines.
	deadline float64
	// idempotencyWindowEnd is when servers may discard the request's idempotency key.
	idempotencyWindowEnd float64
}

// Send starts an attempt. A timeout of 0, or one past the client's deadline, means the client's
// deadline.
func (l *loop) Send(id, server uint32, timeoutMillis float64) {
	r := l.requests[id]
	if r == nil { // done and without attempts in flight; the Balancer has no record of it either
		return
	}
	now := l.now()
	remaining := min(r.deadline, l.answerDeadline.load()) - now
	if timeoutMillis != 0 {
		remaining = min(remaining, timeoutMillis)
	}
	a := &attempt{request: r, index: len(r.attempts), server: server, startedAt: now, mayHaveRun: true}
	limits := sendLimits{deadline: now + remaining, idempotencyWindowEnd: r.idempotencyWindowEnd()}
	ctx, cancel := context.WithCancel(l.ctx)
	a.cancelContext = cancel
	r.attempts = append(r.attempts, a)
	r.pendingAttempts++
	l.attempts.add(a)
	t := l.targets[server]
	isForbidden := a.index >= r.maxAttempts || r.pendingAttempts > 1 && !r.allowsHedge
	if r.isDone || t == nil || remaining <= 0 || isForbidden {
		l.deferOutcome(a, decide.Unprocessed)
		return
	}
	a.timeoutTimer = l.after(remaining, func() { l.timeOut(a) })
	if l.trace.Enabled() {
		l.trace.Event(now, "send", "r=%d n=%d s=%08x origin=%t started=%.0f key=%x",
			r.id, a.index, server, t.isOrigin, t.startedAt, keyID(r.command.key))
	}
	if a.index == 0 {
		l.notify(r, requestBegun)
	}
	client := r.response
	l.background.Go(func() {
		defer cancel()
		l.perform(ctx, a, t, client, limits)
	})
}

// idempotencyWindowEnd returns the time after which no further attempt of a request may be written.
// Servers remember its idempotency key from the send of the first attempt that may have run. The
// limit is checked just before writing, as a later attempt may wait long for its connection.
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

// perform carries out an attempt on its own goroutine and posts the outcome to the loop.
func (l *loop) perform(ctx context.Context, a *attempt, t *target, client *response, limits sendLimits) {
	var stream *valueStream
	hooks := attemptHooks{
		isNotRepeatable: a.request.rule.Effect != decide.Idempotent,
		beforeWrite:     func() timeoutHint { return l.startWriting(a, client, limits) },
		afterWrite:      func() { l.metrics.Dispatches.Add(1) },
		beforeValue:     func() { a.isAnswering.Store(true) },
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
	if failpoint.IsInjected("slower") { // slow, for lab tests
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

// startWriting moves an attempt from opening to writing, on the attempt's goroutine just before the
// first byte, and returns the timeout hint for the server. It returns 0 if nothing may be written:
// the client has disconnected or may have, the time is up, or the attempt was canceled.
func (l *loop) startWriting(a *attempt, client *response, limits sendLimits) timeoutHint {
	if client.mayHaveBeenLeft(ms(l.now() - a.request.readAt)) { // before the next check, which sees a failed write
		return 0
	}
	if client.conn.disconnected() { // the loop may not have been notified yet
		l.post(func() { l.handleDisconnect(client) })
		return 0
	}
	now := l.now()
	if now >= limits.idempotencyWindowEnd {
		return 0
	}
	hint := hintFor(min(limits.deadline, l.answerDeadline.load()) - now)
	if hint == 0 || !a.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		return 0
	}
	return hint
}

// endAttempt records an attempt's outcome, once. Later results reach neither the client nor the
// Balancer.
func (l *loop) endAttempt(a *attempt, got reply) {
	l.turns.kind = turnAttemptEnd
	if a.isDone {
		got.memory.release()
		return
	}
	if a.isCanceled && got.status != decide.OK {
		got.memory.release()
		got = replyWithoutAnswer(a.cancelStatus)
	}
	a.isDone = true
	l.attempts.remove(a)
	a.mayHaveRun = !got.status.NeverRan()
	a.cancelContext()
	l.timers.stop(a.timeoutTimer)
	r := a.request
	r.pendingAttempts--
	now := l.now()
	latencyMillis := now - a.startedAt
	r.attemptMillis += latencyMillis
	if l.trace.Enabled() {
		l.trace.Event(now, "got", "r=%d n=%d s=%08x status=%d note=%d ms=%.1f",
			r.id, a.index, a.server, got.status, got.cacheResult, latencyMillis)
	}
	switch {
	case got.status == decide.OK && failpoint.IsInjected("fails-some") && r.id%20 == 0: // faulty, for lab tests
		got.memory.release()
		l.finish(r, failedAnswer(), metrics.Error)
	case got.isOverMemory:
		l.finishWithoutMemory(r)
	case got.status == decide.OK:
		l.finishWith(r, servedAnswer(&r.command, got), metrics.Success)
	default:
		got.memory.release()
	}
	l.deleteIfFinished(r)
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

// finishWithoutMemory ends a request whose answer can't be kept in memory. Only a request without
// effect may be rejected, as a server has run it.
func (l *loop) finishWithoutMemory(r *request) {
	if r.rule.Effect == decide.Idempotent {
		l.finish(r, rejectedAnswer(l.rules.Load().retryAfterMillis), metrics.Overload)
		return
	}
	l.finish(r, failedAnswer(), metrics.Error)
}

// deferOutcome ends an attempt that is not written. The outcome is reported after the Balancer's
// current call, because the Balancer is not reentrant.
func (l *loop) deferOutcome(a *attempt, status decide.AttemptStatus) {
	l.deferred = append(l.deferred, func() { l.endAttempt(a, replyWithoutAnswer(status)) })
}

// timeOut ends an attempt at its deadline. If its connection was not established, it never ran.
func (l *loop) timeOut(a *attempt) {
	if a.cancelUnsent() {
		l.endAttempt(a, replyWithoutAnswer(decide.ConnectError))
	} else {
		a.cancelSent(decide.Timeout)
	}
}

// Cancel cancels attempt n of a request, unless its server is giving a long answer that the request
// still waits for.
func (l *loop) Cancel(id uint32, n int) {
	r := l.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) {
		return
	}
	a := r.attempts[n]
	if r.isDone || !a.isAnswering.Load() {
		l.cancel(a)
	}
}

// cancel cancels an attempt; if it has a connection, that is closed.
func (l *loop) cancel(a *attempt) {
	if a.cancelUnsent() {
		l.deferOutcome(a, decide.Canceled)
	} else {
		a.cancelSent(decide.Canceled)
	}
}

// cancelUnsentTo ends the attempts to a server that are not written yet, as nothing new may be sent
// to it; the Balancer may choose another server for them. Otherwise an attempt that waits for its
// connection for longer than a drain's grace period would be written after the drain.
func (l *loop) cancelUnsentTo(server uint32) {
	for a := range l.attempts[server] {
		if a.cancelUnsent() {
			l.deferOutcome(a, decide.Unprocessed)
		}
	}
}

// cancelUnsent abandons an attempt that is not written yet, and reports whether it did: false means
// that the attempt is already written or done.
func (a *attempt) cancelUnsent() bool {
	if a.isDone || !a.phase.CompareAndSwap(phaseOpening, phaseAbandoned) {
		return false
	}
	a.cancelContext()
	return true
}

// cancelSent cancels a written attempt. The outcome is reported only after its connection is
// closed: a retry written earlier could run concurrently with it.
func (a *attempt) cancelSent(status decide.AttemptStatus) {
	if a.isDone || a.isCanceled || a.phase.Load() != phaseWriting {
		return
	}
	a.isCanceled = true
	a.cancelStatus = status
	a.cancelContext()
}
