package router

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/healthcheck"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/internal/trace"
)

// clock is a monotonic clock in milliseconds since 1970. Steps of the system clock don't affect it.
// The start times of servers are on the same scale. Because it counts from 1970, no real start time
// is 0; 0 stands for "long ago".
type clock struct{ start time.Time }

func (c clock) now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start).Microseconds())/1000
}

// loop owns the Balancer, the requests, the timers and the endpoint list, and implements
// decide.Host. Unless stated otherwise, its methods run only on the goroutine of run and never
// block.
//
// Other goroutines post events to the loop. Attempts and health checks run on goroutines of their
// own, which background counts and which end soon after ctx.
type loop struct {
	clock
	balancer  *decide.Balancer
	upstreams *upstreams
	metrics   *metrics.Router
	trace     *trace.Trace
	// rules are the rules for requests that arrive from now on. Any goroutine may read it.
	rules atomic.Pointer[rules]

	// onStart, if set, is called by run before anything else.
	onStart func()
	// events run in the order in which they were posted.
	events chan func()
	// priorityEvents run before events. They are calls of operators and of other processes.
	priorityEvents chan func()
	// done is closed when the loop has ended; later events are dropped.
	done chan struct{}
	// ctx is the context that run was called with.
	ctx        context.Context
	background sync.WaitGroup
	timers     timerHeap
	turns      turnMonitor
	// deferred holds actions that Host methods have scheduled. They run after the Balancer's
	// current call has returned, because the Balancer is not reentrant.
	deferred []func()

	// requests holds each request, by id, until it is answered and its attempts have ended.
	requests map[uint32]*request
	lastID   uint32
	// attempts are the attempts of these requests by server.
	attempts attemptIndex
	// unanswered holds, by client-assigned id, the requests that have no answer yet and those whose
	// value is being streamed.
	unanswered map[string]*request
	// endedInFlight holds, by client-assigned id, the requests that have ended while an attempt was in
	// flight, until that ends.
	endedInFlight map[string]*request
	// pastRequests are the requests that may have run and must not run twice.
	pastRequests pastRequests
	// peerRequests are the requests of other processes of this router that must not run twice and have
	// not ended.
	peerRequests pastRequests
	// notices tells the other processes of such requests of this one.
	notices *noticeQueue
	// hasPeers is set while this router has other processes.
	hasPeers atomic.Bool
	// memoryBytes is the memory limit of the router, shared by all its processes.
	memoryBytes int64
	// requestBytes is the memory budget for the heads and values of requests. Any goroutine may use
	// it.
	requestBytes byteBudget
	// answers is the memory for answers, until they are written to their clients. Any goroutine may
	// use it.
	answers *answerBudgets
	// answerDeadline is the time by which all requests must be answered before the process exits.
	// Any goroutine may read it.
	answerDeadline instant

	// discovery is the current discovery client; answers of its predecessors are dropped.
	discovery *discovery
	membership
	// hasEndpoints is set once the list has an endpoint. Any goroutine may read it.
	hasEndpoints atomic.Bool

	// admission is nil if requests go straight to the Balancer.
	admission *admissionControl
	// healthReports caches results of other routers' health checks; nil if health checks are not
	// shared.
	healthReports *healthcheck.ReportCache
	peerEjections
	// latencies is nil if the router takes no part in releases, which read it.
	latencies *latencyHistogram
}

// latencyHistogram counts served requests by the ratio of latency to latency objective.
type latencyHistogram [rollout.LatencyBuckets]atomic.Int64

// Limits of the event queues. When events is full, post blocks. When priorityEvents is full, an
// operator's call waits and fails with errLoopBusy when its context ends.
const (
	maxEvents         = 1024
	maxPriorityEvents = 32
)

// requestMemoryDivisor is a divisor: the heads and values of requests may use the router's memory
// limit divided by it. A value can be in memory up to three times, counting the copies received and
// sent.
const requestMemoryDivisor = 16

// errLoopBusy is returned if the loop did not run a call in time.
var errLoopBusy = errors.New("the router was too busy to run the call in time")

func newLoop(cfg *Config, up *upstreams, m *metrics.Router) (*loop, error) {
	s := cfg.settings.Config
	l := &loop{
		clock:          clock{time.Now()},
		upstreams:      up,
		answers:        &up.answers,
		metrics:        m,
		trace:          cfg.Trace,
		events:         make(chan func(), maxEvents),
		priorityEvents: make(chan func(), maxPriorityEvents),
		done:           make(chan struct{}),
		notices:        newNoticeQueue(),
		requests:       map[uint32]*request{},
		attempts:       attemptIndex{},
		unanswered:     map[string]*request{},
		endedInFlight:  map[string]*request{},
		memoryBytes:    cfg.Limits.MemoryMB << 20,
		membership:     newMembership(s.OriginKind),
		peerEjections:  peerEjections{ejectedOnlyByPeers: map[uint32]bool{}},
	}
	l.rules.Store(newRules(s, m))
	l.setProcessCount(1)
	var err error
	l.balancer, err = decide.New(s, cfg.seed, l)
	if err == nil && cfg.Admission != nil {
		l.admission, err = newAdmission(l, cfg)
	}
	return l, err
}

// setProcessCount sets the memory budgets to this process's share while several processes form one
// router. Any goroutine may call it.
func (l *loop) setProcessCount(processes int) {
	part := l.memoryBytes / int64(processes)
	l.requestBytes.limit.Store(part / requestMemoryDivisor)
	l.answers.setMemory(part)
}

// post queues an event for the loop, or drops it if the loop has ended. Any goroutine may call it
// except the loop's own, which could block itself.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// call runs an event ahead of the queued ones and returns its error, or errLoopBusy if ctx ends
// first. Any goroutine may call it except the loop's own.
func (l *loop) call(ctx context.Context, event func() error) error {
	result := make(chan error, 1)
	select {
	case l.priorityEvents <- func() { result <- event() }:
	case <-ctx.Done():
		return errLoopBusy
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errLoopBusy
	}
}

// run processes events and timers until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer l.updates.yield.close()
	l.ctx = ctx
	nextTimer := time.NewTimer(0)
	defer nextTimer.Stop()
	if l.onStart != nil {
		l.onStart()
	}
	l.measure(turnTimer, l.reportPeriodically)
	for l.runTurn(ctx, nextTimer) {
	}
}

// runTurn runs an event or a step of a list update, and then the timers that are due. It reports false
// once ctx has ended.
func (l *loop) runTurn(ctx context.Context, nextTimer *time.Timer) bool {
	select {
	case event := <-l.priorityEvents:
		l.measure(turnCall, event)
	default:
	}
	switch {
	case l.isUpdateOverdue():
		l.measure(turnListStep, l.runUpdateStep)
	case l.hasUpdate():
		l.updates.yield.pause()
		if !l.runEvent(ctx) {
			l.measure(turnListStep, l.runUpdateStep)
		}
	default:
		l.awaitEvent(ctx, nextTimer)
	}
	for len(l.timers) > 0 && l.timers[0].at <= l.now() {
		l.measure(turnTimer, heap.Pop(&l.timers).(*timer).do)
	}
	return ctx.Err() == nil
}

// awaitEvent waits for an event and runs it, or until a timer is due or ctx has ended.
func (l *loop) awaitEvent(ctx context.Context, nextTimer *time.Timer) {
	if len(l.timers) > 0 {
		nextTimer.Reset(time.Duration(max(0, l.timers[0].at-l.now()) * float64(time.Millisecond)))
	}
	select {
	case <-ctx.Done():
	case event := <-l.priorityEvents:
		l.measure(turnCall, event)
	case event := <-l.events:
		l.measure(turnEvent, event)
	case <-nextTimer.C:
	}
}

// runEvent runs an event that waits, and reports whether there was one.
func (l *loop) runEvent(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case event := <-l.priorityEvents:
		l.measure(turnCall, event)
	case event := <-l.events:
		l.measure(turnEvent, event)
	default:
		return false
	}
	return true
}

// runDeferred runs the actions that Host methods have scheduled.
func (l *loop) runDeferred() {
	for len(l.deferred) > 0 {
		do := l.deferred[0]
		l.deferred = l.deferred[1:]
		do()
	}
}
