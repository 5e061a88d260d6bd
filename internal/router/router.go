package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/healthcheck"
	"dockhinge.example/dockhinge/internal/metrics"
)

// acceptAfterStop is how long connections are taken once the router is told to stop: for 0.4 s new ones still come.
const acceptAfterStop = 500 * time.Millisecond

// Once the router is told to stop, SIGKILL comes no earlier than the longest deadline and 0.7 s after that.
const (
	minStopMillis      = 3000.0 // the deadline counts for this much at least, in milliseconds, or for this much at most: the pages can be read both ways
	answerMarginMillis = 500.0  // what is open then has its answer that much later, and so before SIGKILL in either reading
)

// Router is one real router.
type Router struct {
	cfg       *Config
	metrics   *metrics.Router
	upstreams *upstreams
	loop      *loop
	clients   *clients
	inherited *handoverState // from the process before this one,
	link      *handover.Link // which lives
	peers     peers
	isServing atomic.Bool // clients are taken
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// New returns a router that serves the clients of ln, once it runs.
func New(cfg *Config, ln net.Listener, m *metrics.Router) (*Router, error) {
	sockets := cfg.Limits.Sockets - fdReserve
	// Each attempt may hold a value that is read whole: all together a quarter of the memory.
	attempts := min(sockets*9/20, int(cfg.Limits.MemoryMB<<20/4/maxBufferedValue))
	r := &Router{cfg: cfg, metrics: m}
	r.upstreams = newUpstreams(ms(cfg.settings.Config.IdleTimeoutMillis), ms(cfg.settings.ConnectTimeoutMillis), attempts)
	r.upstreams.trace = cfg.Trace
	r.upstreams.unsizedValues.limit.Store(cfg.Limits.MemoryMB << 20 / 16)
	var err error
	if r.loop, err = newLoop(cfg, r.upstreams, m); err != nil {
		return nil, err
	}
	if cfg.Agreement != nil && cfg.Agreement.Probes {
		r.loop.healthReports = healthcheck.NewReportCache(float64(cfg.Agreement.ProbeStale.Milliseconds()))
	}
	if cfg.Agreement != nil && cfg.Agreement.Drains {
		r.loop.latencies = new(latencyHistogram)
	}
	r.clients = newClients(r.loop, ln, sockets*11/20)
	return r, nil
}

// Run serves until ctx ends, then answers what it has taken and returns nil. It closes the listener. From a
// configuration that comes in updates it takes the address of discovery.
func (r *Router) Run(ctx context.Context, updates <-chan *Config) error {
	cfg, l, up, s := r.cfg, r.loop, r.upstreams, r.clients
	defer s.listener.Close()
	work, stop := context.WithCancel(context.Background()) // outlives ctx: what was taken is still served
	defer stop()
	defer l.background.Wait() // the loop, which starts attempts, has ended by then
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	held := cfg.Known // whichever it is, it has come from this discovery
	if r.inherited != nil {
		held = r.inherited.List
	}
	l.onStart = r.restoreState
	wg.Go(func() { l.run(work) })
	wg.Go(func() { up.sweep(work) })
	if r.link != nil {
		wg.Go(func() { r.Joined(work, r.link) })
	}
	known := make(chan struct{})
	if cfg.Agreement != nil {
		wg.Go(func() { r.runAgreement(work, ctx, cfg.Agreement, func() { close(known) }) })
	}
	wg.Go(func() { l.runDiscovery(work, cfg, held, updates, r.broadcastList) })
	if cfg.Agreement != nil && cfg.Agreement.Drains { // what is drained is known before the first request
		select {
		case <-known:
		case <-ctx.Done():
		case <-time.After(drainsKnownTimeout):
			slog.Warn("what the fleet has drained isn't known: discovery's list alone counts until it is")
		}
	}
	r.isServing.Store(true)
	s.wg.Go(s.accept) // so that drain waits for a connection that is just being taken
	slog.Info("listening", "name", cfg.Name, "address", s.listener.Addr().String())

	<-ctx.Done()
	told := l.now()
	last := min(l.longestDeadline(), minStopMillis) + answerMarginMillis
	l.post(func() { l.answerAllBy(told + last) })
	noMore, cancel := context.WithTimeout(context.Background(), ms(last))
	defer cancel()
	if r.peers.count() == 0 { // else the other process takes them off the same queue
		time.Sleep(acceptAfterStop)
		s.acceptQueued()
	}
	s.listener.Close()
	end, cancel := context.WithTimeout(context.Background(), ms(max(minStopMillis, l.longestDeadline())))
	defer cancel()
	s.drain(noMore, end)
	return nil
}

// longestDeadline is the longest deadline of a class. It may be called from any goroutine.
func (l *loop) longestDeadline() (longest float64) {
	for _, k := range l.rules.Load().classes {
		longest = max(longest, k.DeadlineMillis)
	}
	return longest
}

// The calls of operators, as the second address knows them. They may come from any goroutine, until Run returns.

var errLoopBusy = errors.New("the router was too busy to do it in time")

// Ready reports whether the router can serve.
func (r *Router) Ready() bool {
	return r.isServing.Load() && r.loop.hasEndpoints.Load() && !r.clients.isDraining.Load()
}

// Metrics is the report of the figures.
func (r *Router) Metrics() ([]byte, error) {
	if r.loop.healthReports == nil {
		return r.metrics.JSON(nil)
	}
	used, missed := r.loop.healthReports.Counts()
	return r.metrics.JSON(&metrics.ProbeReports{Hits: used, Misses: missed})
}

// SetDisabled leaves a cache server out, or puts it back.
func (r *Router) SetDisabled(ctx context.Context, name string, disabled bool) error {
	return r.disable(ctx, disableCall{ServerID: name, Disabled: disabled}, nil)
}

// call has the loop carry out what can't wait behind its events.
func (l *loop) call(ctx context.Context, event func() error) error {
	done := make(chan error, 1)
	select {
	case l.priorityEvents <- func() { done <- event() }:
	case <-ctx.Done():
		return errLoopBusy
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errLoopBusy
	}
}

// setDisabled carries out a call of the operators.
func (l *loop) setDisabled(o disableCall) error {
	id, known := l.serverIDs.IDs[o.ServerID]
	if !known && o.IsListed {
		id, known = serverID(o.ServerID), true
		l.serverIDs.add(o.ServerID, id)
	}
	switch {
	case !known:
		return admin.ErrUnknownServer
	}
	mine, other, by := l.disabledByOperator, l.disabledByFleet, "hand"
	if o.ByFleet {
		mine, other, by = l.disabledByFleet, l.disabledByOperator, "agreement"
	}
	if o.Disabled {
		if len(mine) < maxServerIDs {
			mine[o.ServerID] = true
		}
		l.balancer.Disable(l.now(), id)
		l.cancelUnsentTo(id)
	} else {
		delete(mine, o.ServerID)
		if !other[o.ServerID] { // what is out by both is in once both have let go
			l.balancer.Enable(l.now(), id)
		}
	}
	l.publishEndpointCounts()
	slog.Info("cache server by "+by, "server", o.ServerID, "disabled", o.Disabled)
	return nil
}

// runDiscovery follows the discovery that the configuration names, until ctx ends.
func (l *loop) runDiscovery(ctx context.Context, cfg *Config, held endpointList, updates <-chan *Config, tell func(endpointList)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		life, end := context.WithCancel(ctx)
		d := l.newWatch(cfg, tell)
		d.holdsList, d.heldVersion = d.isPolled && len(held.Servers) > 0, held.Version
		held = endpointList{}                // of another discovery the whole is asked for
		l.post(func() { l.setDiscovery(d) }) // before anything that it tells
		wg.Go(func() { d.run(life) })
		at, next := cfg.Discovery, cfg
		for ; next.Discovery == at; cfg = next {
			select {
			case <-ctx.Done():
				end()
				return
			case offer := <-updates:
				if l.applyConfig(ctx, cfg, offer) {
					next = offer
				}
			}
		}
		end() // the old watch
	}
}

// applyConfig takes a new configuration whole or turns it down whole, and counts which.
func (l *loop) applyConfig(ctx context.Context, old, cfg *Config) bool {
	err := cfg.replaces(old)
	if err == nil {
		done := make(chan error, 1)
		l.post(func() { done <- l.reconfigure(cfg) })
		select {
		case err = <-done:
		case <-ctx.Done():
			return false
		}
	}
	if err != nil {
		l.metrics.ReloadFailures.Add(1)
		slog.Warn("SIGHUP: the configuration is kept", "error", err)
		return false
	}
	l.metrics.ReloadSuccesses.Add(1)
	slog.Info("SIGHUP: the configuration is taken", "discovery", cfg.Discovery, "classes", cfg.settings.Config.ClassNames())
	return true
}

// newWatch is the discovery of a configuration. It is heard while the loop follows it: an answer of one before it
// that is still on its way is older than what the new one tells, and counts for nothing.
func (l *loop) newWatch(cfg *Config, tell func(endpointList)) *discovery {
	var d *discovery
	ask := cfg.settings.Config.PollEndpoints
	heard := func(do func()) {
		done := make(chan struct{})
		l.post(func() {
			if l.discovery == d {
				do()
			}
			close(done)
		})
		select {
		case <-done:
		case <-l.done:
		}
	}
	d = newDiscovery(cfg.Discovery, ask, cfg.settings.Config.Routers,
		func(got endpointList) {
			kind := decide.ChangedEndpoints
			if got.IsComplete {
				kind = decide.AllEndpoints
			}
			heard(func() {
				if !l.staleGuard.isStale(got.Version) {
					l.updateEndpoints(kind, got)
				}
			})
			tell(got) // now that a state handed over has it: before, a successor might get it in neither way
		},
		func() {
			if ask {
				heard(func() { l.updateEndpoints(decide.WatchFailed, endpointList{}) })
			}
		})
	return d
}
