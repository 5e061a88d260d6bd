package router

// Attempts: a request is sent to one server at a time, or to two where the settings allow a hedge. The Balancer decides on
// each by Send and Cancel; here it is written, timed out and cancelled, and its outcome goes back to the Balancer once.

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
type attempt struct {
	request       *request
	index         int
	server        uint32
	startedAt     float64
	isDone        bool                 // has its outcome; what comes later is nobody's
	mayHaveRun    bool                 // may have run, until its outcome proves the contrary
	isCancelled   bool                 // after it was written: its outcome, once its connection is closed,
	cancelStatus  decide.AttemptStatus // is this, unless it was served just then
	cancelContext context.CancelFunc
	timeoutTimer  *timer
	phase         atomic.Int32
}

// The phases of an attempt. It leaves phaseOpening once, either way.
const (
	phaseOpening = iota // nothing is written
	phaseWriting        // may have run from here on
	phaseOff            // and will never be written
)

// cancelUnsentTo ends the attempts at a server that are not written yet, as nothing new may go there: another may take them. An
// attempt whose connection takes as long to come up as a drain's grace would else be sent after it.
func (l *loop) cancelUnsentTo(server uint32) {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.server == server && a.cancelUnsent() {
				l.deferred = append(l.deferred, func() { l.outcome(a, replyWithoutAnswer(decide.Unprocessed)) })
			}
		}
	}
}

// outcome ends an attempt, once: what comes after that is a late result, which reaches neither client nor Balancer.
func (l *loop) outcome(a *attempt, got reply) {
	if a.isDone {
		return
	}
	if a.isCancelled && got.status != decide.OK {
		got = replyWithoutAnswer(a.cancelStatus)
	}
	a.isDone, a.mayHaveRun = true, !got.status.NeverRan()
	a.cancelContext()
	l.timers.stop(a.timeoutTimer)
	r := a.request
	r.attemptsOut--
	now := l.now()
	if r.attemptMillis += now - a.startedAt; l.trace.Enabled() {
		l.trace.Event(now, "got", "r=%d n=%d s=%08x status=%d note=%d ms=%.1f", r.id, a.index, a.server, got.status, got.cacheNote, now-a.startedAt)
	}
	switch {
	case got.status == decide.OK && failpoint.Is("fails-some") && r.id%20 == 0: // a version that is bad, for the laboratory
		l.finish(r, failedAnswer(), metrics.Error)
	case got.status == decide.OK:
		l.finish(r, servedAnswer(&r.command, got.body), metrics.Success)
	}
	l.forget(r)
	if len(l.ejectedOnlyByPeers) > 0 {
		l.recordOwnEvidence(a.server, got.status)
	}
	l.balancer.AttemptEnded(now, decide.Outcome{RequestID: r.id, Attempt: a.index, ServerID: a.server, Status: got.status, LatencyMillis: now - a.startedAt,
		IsFinal: r.isDone, CacheResult: decide.CacheResult(got.cacheNote), Load: got.load})
}

// replyWithoutAnswer returns an attempt's outcome without a reply.
func replyWithoutAnswer(st decide.AttemptStatus) reply {
	return reply{status: st, load: decide.NoLoadReport}
}

// timeOut ends an attempt that is waited for no longer.
func (l *loop) timeOut(a *attempt) {
	if a.cancelUnsent() {
		l.outcome(a, replyWithoutAnswer(decide.ConnectError)) // the connection never came up, and now nothing will be written
	} else {
		a.cancelSent(decide.Timeout)
	}
}

// cancel ends an attempt by closing its connection.
func (a *attempt) cancel(l *loop) {
	if a.cancelUnsent() {
		l.deferred = append(l.deferred, func() { l.outcome(a, replyWithoutAnswer(decide.Cancelled)) })
	} else {
		a.cancelSent(decide.Cancelled)
	}
}

// cancelUnsent ends an attempt of which nothing is written, and tells whether it could: now nothing will be.
func (a *attempt) cancelUnsent() bool {
	if a.isDone || !a.phase.CompareAndSwap(phaseOpening, phaseOff) {
		return false
	}
	a.cancelContext()
	return true
}

// cancelSent ends the wait for an attempt that is written, as told. Its outcome comes once its connection is closed: a further
// attempt that was written before that would be a second copy.
func (a *attempt) cancelSent(as decide.AttemptStatus) {
	if !a.isDone && !a.isCancelled && a.phase.Load() == phaseWriting {
		a.isCancelled, a.cancelStatus = true, as
		a.cancelContext()
	}
}

// repeatWindowEnd is when no further attempt of a request may be written: the window of its effect runs from the send of the first
// that may have run, and the connection of a later one may take long to come up.
func (r *request) repeatWindowEnd() float64 {
	if r.rule.Effect == decide.IdempotentByKey {
		for _, a := range r.attempts {
			if a.mayHaveRun {
				return a.startedAt + r.rule.IdempotencyWindowMillis - 1
			}
		}
	}
	return math.Inf(1)
}

// Send starts an attempt. A time-out of 0, and any later than the client's, ends with the client's wait.
func (l *loop) Send(id, server uint32, timeout float64) {
	r := l.requests[id]
	if r == nil { // it is done and nothing is out: the Balancer has no record of it either
		return
	}
	now := l.now()
	remaining := min(r.deadline, l.answerBy.load()) - now
	if timeout != 0 {
		remaining = min(remaining, timeout)
	}
	a := &attempt{request: r, index: len(r.attempts), server: server, startedAt: now, mayHaveRun: true}
	limits := sendLimits{deadline: now + remaining, windowEnd: r.repeatWindowEnd()}
	ctx, cancel := context.WithCancel(l.ctx)
	a.cancelContext = cancel
	r.attempts = append(r.attempts, a)
	r.attemptsOut++
	t := l.targets[server]
	forbidden := a.index >= r.maxAttempts || r.attemptsOut > 1 && !r.allowsHedge
	if r.isDone || t == nil || remaining <= 0 || forbidden {
		l.deferred = append(l.deferred, func() { l.outcome(a, replyWithoutAnswer(decide.Unprocessed)) })
		return
	}
	a.timeoutTimer = l.after(remaining, func() { l.timeOut(a) })
	if l.trace.Enabled() {
		l.trace.Event(now, "send", "r=%d n=%d s=%08x origin=%t started=%.0f key=%x", r.id, a.index, server, t.isOrigin, t.startedAt, keyID(r.command.key))
	}
	client := r.response
	l.background.Go(func() {
		defer cancel()
		l.perform(ctx, a, t, client, limits)
	})
}

// sendLimits are the times after which nothing of an attempt may be written any more.
type sendLimits struct {
	deadline  float64 // the attempt's own, the client's and the process's: whichever comes first
	windowEnd float64 // of the effect that it may repeat
}

// perform carries an attempt out, on a goroutine of its own, and tells the loop how it ended.
func (l *loop) perform(ctx context.Context, a *attempt, t *target, client *response, limits sendLimits) {
	var value *valueStream // of a value that is passed through
	on := attemptHooks{
		isNotRepeatable: a.request.rule.Effect != decide.Idempotent,
		beforeWrite:     func() timeoutHint { return l.startWriting(a, client, limits) },
		afterWrite:      func() { l.metrics.Dispatches.Add(1) },
		openStream:      func(got reply) *valueStream { value = l.openValueStream(ctx, a, got); return value },
	}
	cmd := &a.request.command
	var got reply
	if cmd.upload != nil {
		got = l.upstreams.finishUpload(ctx, a.server, cmd, on)
	} else {
		got = l.upstreams.roundTrip(ctx, t, cmd, on)
	}
	if failpoint.Is("slower") { // a version that is slow, for the laboratory
		time.Sleep(ms((l.now() - a.startedAt) / 10))
	}
	if value == nil {
		l.post(func() { l.outcome(a, got) })
		return
	}
	isWhole := got.status == decide.OK
	l.post(func() { l.endStream(a, isWhole) })
	value.finish(isWhole)
}

// Cancel cancels an attempt.
func (l *loop) Cancel(id uint32, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.attempts[n].cancel(l)
	}
}
