package router

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/healthcheck"
	"dockhinge.example/dockhinge/internal/metrics"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/internal/trace"
)

// clock is one monotonic clock in milliseconds on which the starts of servers lie too: it counts from 1970 but steps
// with no one. So no real start is 0, which means long ago, or below it.
type clock struct{ start time.Time }

func (c clock) now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start).Microseconds())/1000
}

// loop owns the Balancer, the requests and the timers: everything here runs on its one goroutine but post. It is the
// Balancer's Host, and no method of it blocks.
type loop struct {
	clock
	balancer                  *decide.Balancer
	upstreams                 *upstreams
	discovery                 *discovery // the one that is heard
	metrics                   *metrics.Router
	originKind                string
	rules                     atomic.Pointer[rules] // what requests that arrive now come under
	onStart                   func()                // goes before all else
	events                    chan func()
	priorityEvents            chan func()   // goes before events: what operators ask for
	done                      chan struct{} // closed when the loop has ended: events no longer count
	ctx                       context.Context
	background                sync.WaitGroup // attempts and probes, which end soon after ctx
	timers                    timerHeap
	deferred                  []func() // what a Host method has caused: the Balancer must not be called from within its call
	requests                  map[uint32]*request
	lastID                    uint32
	unanswered                map[string]*request // those that are not answered, by their client's id
	valueBytes                byteBudget          // bytes of the values of requests in hand
	answerBytes               byteBudget          // bytes of answers that no client has taken yet
	targets                   map[uint32]*target
	entries                   map[string]listEntry // the list as it is held,
	listVersion               int64                // and its version
	staleGuard                staleGuard
	serverIDs                 serverIDs
	disabledByOperator        map[string]bool // servers that are left out by hand,
	disabledByFleet           map[string]bool // and by what the fleet agrees on; both bounded by maxNames
	memoryBytes               int64           // bytes that the router may take
	hasEndpoints              atomic.Bool     // a list is held
	answerBy                  instant         // when all that is open has to have its answer, as the process is told to end
	trace                     *trace.Trace
	healthReports             *healthcheck.ReportCache // what other routers' probes told; nil = each probes by itself
	admission                 *admissionControl        // nil = every request goes to the Balancer
	ejectedByPeers            map[uint32]float64       // servers that others found bad, and until when that counts,
	ejectedOnlyByPeers        map[uint32]bool          // and those of which this router knows nothing else
	isRefreshingPeerEjections bool                     // the Balancer is told of the former again
	latencies                 *latencyHistogram        // nil = nobody wants it
}

// latencyHistogram counts the requests served by how much of their aim they took.
type latencyHistogram [rollout.LatencyBuckets]atomic.Int64

// Bounds of what waits for the loop. Who posts beyond them waits, and operators are told that the router was too busy.
const (
	maxEvents         = 1024
	maxPriorityEvents = 32
)

func newLoop(cfg *Config, up *upstreams, m *metrics.Router) (*loop, error) {
	s := cfg.settings.Config
	l := &loop{
		clock:              clock{time.Now()},
		upstreams:          up,
		metrics:            m,
		originKind:         s.OriginKind,
		events:             make(chan func(), maxEvents),
		priorityEvents:     make(chan func(), maxPriorityEvents),
		done:               make(chan struct{}),
		requests:           map[uint32]*request{},
		unanswered:         map[string]*request{},
		targets:            map[uint32]*target{},
		disabledByOperator: map[string]bool{},
		disabledByFleet:    map[string]bool{},
		ejectedOnlyByPeers: map[uint32]bool{},
		trace:              cfg.Trace,
	}
	l.rules.Store(newRules(s, m))
	l.memoryBytes = cfg.Limits.MemoryMB << 20
	l.setProcessCount(1)
	var err error
	if l.balancer, err = decide.New(s, cfg.seed, l); err == nil && cfg.Admission != nil {
		l.admission, err = newAdmission(l, cfg)
	}
	return l, err
}

// setProcessCount leaves this process an equal part of the memory, while several processes are one router. A value is in memory
// up to three times, as it came and as it goes out.
func (l *loop) setProcessCount(processes int) {
	part := l.memoryBytes / int64(processes)
	l.valueBytes.limit.Store(part / 16)
	l.answerBytes.limit.Store(part / 8)
}

// post hands an event to the loop.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
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
