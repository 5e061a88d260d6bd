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

// clock is a monotonic clock in milliseconds since 1970, which is not stepped with the system's. The
// starts of servers are on it too; as it counts from 1970, no real start is 0, which stands for long
// ago.
type clock struct{ start time.Time }

func (c clock) now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start).Microseconds())/1000
}

// loop owns the Balancer, the requests, the timers and the endpoint list. All of its methods run on
// its one goroutine (run) unless they say otherwise, and none blocks. It is the Balancer's Host.
//
// What other goroutines do for it they post as events. What it has others do, attempts and health
// checks, runs on goroutines counted in background, which end soon after ctx.
type loop struct {
	clock
	balancer  *decide.Balancer
	upstreams *upstreams
	metrics   *metrics.Router
	trace     *trace.Trace
	// rules is what requests that arrive now come under. Any goroutine may read it.
	rules atomic.Pointer[rules]

	// onStart, if set, is called by run before anything else.
	onStart func()
	// events are carried out in order.
	events chan func()
	// priorityEvents are carried out before events: the calls of operators and of other processes.
	priorityEvents chan func()
	// done is closed when the loop has ended and events are dropped.
	done chan struct{}
	// ctx is that of run.
	ctx        context.Context
	background sync.WaitGroup
	timers     timerHeap
	// deferred is what Host methods have caused: the Balancer must not be called from within its
	// call.
	deferred []func()

	// requests holds each request until it is answered and its attempts have ended.
	requests map[uint32]*request
	lastID   uint32
	// unanswered holds the requests without an answer, and those whose value is being streamed, by
	// their client's id.
	unanswered map[string]*request
	// memoryBytes is the memory that the router may use, all its processes together.
	memoryBytes int64
	// valueBytes is for the values of requests. Any goroutine may use it.
	valueBytes byteBudget
	// answerBytes is for answers that no client has taken yet. Any goroutine may use it.
	answerBytes byteBudget
	// answerBy is when all requests must be answered, once the process is to end. Any goroutine may
	// read it.
	answerBy instant

	// discovery is the one that is followed; answers of any before it are dropped.
	discovery *discovery
	membership
	// hasEndpoints is set once there is an endpoint. Any goroutine may read it.
	hasEndpoints atomic.Bool

	// admission is nil where every request goes straight to the Balancer.
	admission *admissionControl
	// healthReports are the outcomes of other routers' health checks; nil where each makes its own.
	healthReports *healthcheck.ReportCache
	peerEjections
	// latencies is nil where no release asks for it.
	latencies *latencyHistogram
}

// latencyHistogram counts the requests served by how much of their latency objective they took.
type latencyHistogram [rollout.LatencyBuckets]atomic.Int64

// Bounds of what waits for the loop. Who posts an event beyond them waits; an operator's call fails
// with errLoopBusy.
const (
	maxEvents         = 1024
	maxPriorityEvents = 32
)

// Parts of the memory that a router may use. A value is in memory up to three times, as it came and
// as it goes out.
const (
	valueMemoryPart   = 16 // one in so many bytes is for values
	answerMemoryPart  = 8  // for answers
	unsizedMemoryPart = 16 // for values of unknown length from the origin
)

// errLoopBusy is the error of a call that the loop had no time for.
var errLoopBusy = errors.New("the router was too busy to do it in time")

func newLoop(cfg *Config, up *upstreams, m *metrics.Router) (*loop, error) {
	s := cfg.settings.Config
	l := &loop{
		clock:          clock{time.Now()},
		upstreams:      up,
		metrics:        m,
		trace:          cfg.Trace,
		events:         make(chan func(), maxEvents),
		priorityEvents: make(chan func(), maxPriorityEvents),
		done:           make(chan struct{}),
		requests:       map[uint32]*request{},
		unanswered:     map[string]*request{},
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

// setProcessCount leaves this process its part of the memory, while several processes are one router.
// Any goroutine may call it.
func (l *loop) setProcessCount(processes int) {
	part := l.memoryBytes / int64(processes)
	l.valueBytes.limit.Store(part / valueMemoryPart)
	l.answerBytes.limit.Store(part / answerMemoryPart)
}

// post hands an event to the loop, or drops it where the loop has ended. Any goroutine may call it
// but the loop's own, which might wait for itself.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// call has the loop carry out an event that can't wait behind others, and returns its error, or
// errLoopBusy when ctx ends first. Any goroutine may call it but the loop's own.
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

// run carries out events and timers until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	if l.onStart != nil {
		l.onStart()
	}
	l.reportPeriodically()
	for {
		select {
		case event := <-l.priorityEvents:
			event()
			l.runDeferred()
		default:
		}
		if len(l.timers) > 0 {
			alarm.Reset(time.Duration(max(0, l.timers[0].at-l.now()) * float64(time.Millisecond)))
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.priorityEvents:
			event()
		case event := <-l.events:
			event()
		case <-alarm.C:
		}
		l.runDeferred()
		for len(l.timers) > 0 && l.timers[0].at <= l.now() {
			heap.Pop(&l.timers).(*timer).do()
			l.runDeferred()
		}
	}
}

// runDeferred carries out what Host methods have caused.
func (l *loop) runDeferred() {
	for len(l.deferred) > 0 {
		do := l.deferred[0]
		l.deferred = l.deferred[1:]
		do()
	}
}
