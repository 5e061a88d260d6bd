package router

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/healthcheck"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Times after SIGTERM. The platform's SIGKILL comes no earlier than 0.7 s after the longest deadline.
// Whether that deadline counts as at least 3 s or as at most 3 s is not specified, so all answers are
// due at min(deadline, 3 s) + 0.5 s, which both allow.
const (
	// acceptAfterStop is how long new connections are accepted: clients still open them for 0.4 s.
	acceptAfterStop = 500 * time.Millisecond
	// minStopMillis is the 3 s above.
	minStopMillis = 3000.0
	// answerMarginMillis is the 0.5 s above.
	answerMarginMillis = 500.0
)

// Router is one router: the listener, the clients, the loop, the connections to servers, and the
// links to the other processes of the same router.
type Router struct {
	cfg       *Config
	metrics   *metrics.Router
	upstreams *upstreams
	loop      *loop
	clients   *clients
	// inherited is the state of the process before this one; nil once it is restored, or without one.
	// From Run on it belongs to the loop.
	inherited *handoverState
	// link is to the process before this one; nil without one.
	link  *handover.Link
	peers peers
	// isServing is set once clients are accepted.
	isServing atomic.Bool
}

// ms is a span that is given in milliseconds.
func ms(millis float64) time.Duration { return time.Duration(millis * float64(time.Millisecond)) }

// Parts of the descriptors that a router may use, in twentieths.
const (
	upstreamDescriptorParts = 9
	clientDescriptorParts   = 11
	descriptorParts         = 20
)

// attemptMemoryPart is the part of the memory, one in so many bytes, that attempts may hold: each may
// hold a value that is read completely.
const attemptMemoryPart = 4

// New returns a router that serves the clients of a listener, once it runs. An error names the
// setting that is wrong.
func New(cfg *Config, listener net.Listener, m *metrics.Router) (*Router, error) {
	descriptors := cfg.Limits.Sockets - fdReserve
	memoryBytes := cfg.Limits.MemoryMB << 20
	upstreamLimit := min(descriptors*upstreamDescriptorParts/descriptorParts,
		int(memoryBytes/attemptMemoryPart/maxBufferedValue))
	r := &Router{cfg: cfg, metrics: m}
	serverIdleTimeout := ms(cfg.settings.Config.IdleTimeoutMillis)
	r.upstreams = newUpstreams(serverIdleTimeout, ms(cfg.settings.ConnectTimeoutMillis), upstreamLimit)
	r.upstreams.trace = cfg.Trace
	r.upstreams.unsizedValues.limit.Store(memoryBytes / unsizedMemoryPart)
	var err error
	r.loop, err = newLoop(cfg, r.upstreams, m)
	if err != nil {
		return nil, err
	}
	if cfg.Agreement != nil && cfg.Agreement.Probes {
		r.loop.healthReports = healthcheck.NewReportCache(float64(cfg.Agreement.ProbeStale.Milliseconds()))
	}
	if cfg.followsDrains() {
		r.loop.latencies = new(latencyHistogram)
	}
	r.clients = newClients(r.loop, listener, descriptors*clientDescriptorParts/descriptorParts)
	r.upstreams.processReserve = fdReserve * upstreamDescriptorParts / descriptorParts
	r.clients.connections.processReserve = fdReserve * clientDescriptorParts / descriptorParts
	return r, nil
}

// Run serves until ctx ends, then shuts down gracefully and returns nil. It closes the listener, and
// returns once all goroutines that it has started have ended. From a configuration that comes in
// updates it takes the settings and the address of discovery.
func (r *Router) Run(ctx context.Context, updates <-chan *Config) error {
	defer r.clients.listener.Close()
	work, stopWork := context.WithCancel(context.Background()) // outlives ctx: what was taken is still served
	defer r.loop.background.Wait()                             // after the loop, which starts what is counted there
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopWork()

	r.loop.onStart = r.restoreState
	held := r.heldList()
	isHandover := r.inherited != nil
	wg.Go(func() { r.loop.run(work) })
	wg.Go(func() { r.upstreams.sweep(work) })
	if r.link != nil {
		wg.Go(func() { r.RunLink(work, r.link) })
	}
	drainsKnown := make(chan struct{})
	if r.cfg.Agreement != nil {
		onDrainsKnown := func() { close(drainsKnown) }
		wg.Go(func() { r.runAgreement(work, ctx, r.cfg.Agreement, onDrainsKnown) })
	}
	wg.Go(func() { r.loop.runDiscovery(work, r.cfg, held, isHandover, updates, r.broadcastList) })
	r.awaitDrains(ctx, drainsKnown)
	r.isServing.Store(true)
	r.clients.wg.Go(r.clients.accept) // counted there, so that drain waits for a connection that is just being accepted
	slog.Info("listening", "name", r.cfg.Name, "address", r.clients.listener.Addr().String())

	<-ctx.Done()
	r.shutDown()
	return nil
}

// heldList is the list that the router starts with. Whichever it is, it has come from the discovery
// of the configuration.
func (r *Router) heldList() endpointList {
	if r.inherited != nil {
		return r.inherited.List
	}
	return r.cfg.Known
}

// awaitDrains waits until the servers that the fleet has drained are known, so that they get no
// request at the start. Without an answer in time discovery's list alone counts: no router waits
// for the coordinators.
func (r *Router) awaitDrains(ctx context.Context, drainsKnown <-chan struct{}) {
	if !r.cfg.followsDrains() {
		return
	}
	select {
	case <-drainsKnown:
	case <-ctx.Done():
	case <-time.After(drainsKnownTimeout):
		slog.Warn("what the fleet has drained isn't known: discovery's list alone counts until it is")
	}
}

// shutDown is what happens on SIGTERM, in this order:
//
//  1. All requests, those open and those still to come, get an answer by lastAnswerMillis from now.
//  2. New connections are accepted for acceptAfterStop, and then what stands in the listener's queue.
//     With another process of this router that is left out: it accepts from the same queue.
//  3. The listener is closed.
//  4. Each connection is closed once nothing is unanswered on it. From lastAnswerMillis after SIGTERM
//     on no further command is read; at the end of the grace period, which begins when the listener
//     is closed, what is still open is closed. From step 4 on the router is not ready.
//
// Run then ends the loop, discovery, the agreement and the links to other processes, and the process
// exits.
func (r *Router) shutDown() {
	l := r.loop
	stoppedAt := l.now()
	lastAnswerMillis := min(l.longestDeadline(), minStopMillis) + answerMarginMillis
	l.post(func() { l.answerAllBy(stoppedAt + lastAnswerMillis) })
	commandsEnd, cancelCommands := context.WithTimeout(context.Background(), ms(lastAnswerMillis))
	defer cancelCommands()
	if r.peers.count() == 0 {
		time.Sleep(acceptAfterStop)
		r.clients.acceptQueued()
	}
	r.clients.listener.Close()
	gracePeriod := ms(max(minStopMillis, l.longestDeadline()))
	connectionsEnd, cancelConnections := context.WithTimeout(context.Background(), gracePeriod)
	defer cancelConnections()
	r.clients.drain(commandsEnd, connectionsEnd)
}

// longestDeadline is the longest deadline of a class, in milliseconds. Any goroutine may call it.
func (l *loop) longestDeadline() (longest float64) {
	for _, rule := range l.rules.Load().classes {
		longest = max(longest, rule.DeadlineMillis)
	}
	return longest
}
