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

// Router is a router with its listener, clients, loop, connections to servers, and links to the
// other processes of the same router.
type Router struct {
	cfg       *Config
	metrics   *metrics.Router
	upstreams *upstreams
	loop      *loop
	clients   *clients
	// inherited is the state of the previous process; nil without one or once it is restored. From
	// Run on it belongs to the loop.
	inherited *handoverState
	// link is the link to the previous process; nil without one.
	link  *handover.Link
	peers peers
	// isServing is set once client connections are accepted.
	isServing atomic.Bool
}

// ms converts milliseconds to a Duration.
func ms(millis float64) time.Duration { return time.Duration(millis * float64(time.Millisecond)) }

// inMillis converts a Duration to milliseconds.
func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// The division of the router's descriptors, in twentieths.
const (
	upstreamDescriptorParts = 9
	clientDescriptorParts   = 11
	descriptorParts         = 20
)

// attemptMemoryDivisor is a divisor: attempts may use the memory limit divided by it, as each may
// hold a completely read value.
const attemptMemoryDivisor = 4

// New returns a router for the clients of a listener. Run starts it. An error names the invalid
// setting.
func New(cfg *Config, listener net.Listener, m *metrics.Router) (*Router, error) {
	descriptors := cfg.Limits.Sockets - fdReserve
	memoryBytes := cfg.Limits.MemoryMB << 20
	upstreamLimit := min(descriptors*upstreamDescriptorParts/descriptorParts,
		int(memoryBytes/attemptMemoryDivisor/maxBufferedValue))
	r := &Router{cfg: cfg, metrics: m}
	serverIdleTimeout := ms(cfg.settings.Config.IdleTimeoutMillis)
	r.upstreams = newUpstreams(serverIdleTimeout, ms(cfg.settings.ConnectTimeoutMillis), upstreamLimit)
	r.upstreams.trace = cfg.Trace
	var err error
	r.loop, err = newLoop(cfg, r.upstreams, m)
	if err != nil {
		return nil, err
	}
	r.peers.hasAny = &r.loop.hasPeers
	if cfg.Coordination != nil && cfg.Coordination.SharesHealthChecks {
		r.loop.healthReports = healthcheck.NewReportCache(float64(cfg.Coordination.MaxHealthReportAge.Milliseconds()))
	}
	if cfg.followsDrains() {
		r.loop.latencies = new(latencyHistogram)
	}
	r.clients = newClients(r.loop, listener, descriptors*clientDescriptorParts/descriptorParts)
	r.upstreams.processReserve = fdReserve * upstreamDescriptorParts / descriptorParts
	r.clients.connections.processReserve = fdReserve * clientDescriptorParts / descriptorParts
	return r, nil
}

// Run serves until ctx ends, then shuts down gracefully and returns nil. It closes the listener and
// returns once all goroutines that it has started have ended. A configuration received from updates
// changes the settings and the address of discovery.
func (r *Router) Run(ctx context.Context, updates <-chan *Config) error {
	defer r.clients.listener.Close()
	defer r.clients.requests.close()
	work, stopWork := context.WithCancel(context.Background()) // outlives ctx: accepted requests are still served
	defer r.loop.background.Wait()                             // after the loop, which starts these goroutines
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopWork()

	r.loop.onStart = r.restoreState
	startList := r.initialList()
	isHandover := r.inherited != nil
	wg.Go(func() { r.loop.run(work) })
	wg.Go(func() { r.upstreams.sweep(work) })
	wg.Go(func() { r.sendNotices(work) })
	if r.link != nil {
		wg.Go(func() { r.RunLink(work, r.link) })
	}
	drainsKnown := make(chan struct{})
	if r.cfg.Coordination != nil {
		onDrainsKnown := func() { close(drainsKnown) }
		wg.Go(func() { r.runCoordination(work, ctx, r.cfg.Coordination, onDrainsKnown) })
	}
	wg.Go(func() { r.loop.runDiscovery(work, r.cfg, startList, isHandover, updates, r.broadcastList) })
	r.awaitDrains(ctx, drainsKnown)
	r.isServing.Store(true)
	r.clients.wg.Go(r.clients.accept) // in wg, so that drain waits for a connection being accepted
	r.announceServing()
	slog.Info("listening", "name", r.cfg.Name, "address", r.clients.listener.Addr().String())

	<-ctx.Done()
	r.shutDown()
	return nil
}

// initialList returns the list that the router starts with, which comes from the configuration's
// discovery in either case.
func (r *Router) initialList() endpointList {
	if r.inherited != nil {
		return r.inherited.List
	}
	return r.cfg.KnownEndpoints
}

// awaitDrains waits for the list of servers drained by the fleet, so that they get no requests at
// the start. After initialDrainsTimeout only discovery's list applies, as a router never depends on
// the coordinators.
func (r *Router) awaitDrains(ctx context.Context, drainsKnown <-chan struct{}) {
	if !r.cfg.followsDrains() {
		return
	}
	select {
	case <-drainsKnown:
	case <-ctx.Done():
	case <-time.After(initialDrainsTimeout):
		slog.Warn("the servers drained by the fleet are not known yet: using discovery's list alone")
	}
}
