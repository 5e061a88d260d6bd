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

// comeAfterStop is how long connections are taken once the router is told to stop: for 0.4 s new ones still come.
const comeAfterStop = 500 * time.Millisecond

// Once the router is told to stop, SIGKILL comes no earlier than the longest deadline and 0.7 s after that.
const (
	leastStop = 3000.0 // the deadline counts for this much at least, in milliseconds, or for this much at most: the pages can be read both ways
	afterStop = 500.0  // what is open then has its answer that much later, and so before SIGKILL in either reading
)

// Router is one real router.
type Router struct {
	cfg     *Config
	metrics *metrics.Router
	up      *upstreams
	l       *loop
	s       *clients
	before  *handed        // from the process before this one,
	link    *handover.Link // which lives
	peers   peers
	open    atomic.Bool // clients are taken
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// New returns a router that serves the clients of ln, once it runs.
func New(cfg *Config, ln net.Listener, m *metrics.Router) (*Router, error) {
	sockets := cfg.Limits.Sockets - fdReserve
	// Each attempt may hold a value that is read whole: all together a quarter of the memory.
	attempts := min(sockets*9/20, int(cfg.Limits.MemoryMB<<20/4/maxWhole))
	r := &Router{cfg: cfg, metrics: m}
	r.up = newUpstreams(ms(cfg.settings.Config.IdleTimeoutMillis), ms(cfg.settings.ConnectTimeoutMillis), attempts)
	r.up.trace = cfg.Trace
	r.up.unsized.limit.Store(cfg.Limits.MemoryMB << 20 / 16)
	var err error
	if r.l, err = newLoop(cfg, r.up, m); err != nil {
		return nil, err
	}
	if cfg.Agreement != nil && cfg.Agreement.Probes {
		r.l.board = healthcheck.NewReportCache(float64(cfg.Agreement.ProbeStale.Milliseconds()))
	}
	if cfg.Agreement != nil && cfg.Agreement.Drains {
		r.l.speed = new(speeds)
	}
	r.s = newClients(r.l, ln, sockets*11/20)
	return r, nil
}

// Run serves until ctx ends, then answers what it has taken and returns nil. It closes the listener. From a
// configuration that comes in updates it takes the address of discovery.
func (r *Router) Run(ctx context.Context, updates <-chan *Config) error {
	cfg, l, up, s := r.cfg, r.l, r.up, r.s
	defer s.ln.Close()
	work, stop := context.WithCancel(context.Background()) // outlives ctx: what was taken is still served
	defer stop()
	defer l.work.Wait() // the loop, which starts attempts, has ended by then
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	held := cfg.Known // whichever it is, it has come from this discovery
	if r.before != nil {
		held = r.before.List
	}
	l.onStart = r.begin
	wg.Go(func() { l.run(work) })
	wg.Go(func() { up.sweep(work) })
	if r.link != nil {
		wg.Go(func() { r.Joined(work, r.link) })
	}
	known := make(chan struct{})
	if cfg.Agreement != nil {
		wg.Go(func() { r.agree(work, ctx, cfg.Agreement, func() { close(known) }) })
	}
	wg.Go(func() { l.discover(work, cfg, held, updates, r.tellList) })
	if cfg.Agreement != nil && cfg.Agreement.Drains { // what is drained is known before the first request
		select {
		case <-known:
		case <-ctx.Done():
		case <-time.After(knowWithin):
			slog.Warn("what the fleet has drained isn't known: discovery's list alone counts until it is")
		}
	}
	r.open.Store(true)
	s.wg.Go(s.accept) // so that drain waits for a connection that is just being taken
	slog.Info("listening", "name", cfg.Name, "address", s.ln.Addr().String())

	<-ctx.Done()
	told := l.now()
	last := min(l.longest(), leastStop) + afterStop
	l.post(func() { l.endBy(told + last) })
	noMore, cancel := context.WithTimeout(context.Background(), ms(last))
	defer cancel()
	if r.peers.count() == 0 { // else the other process takes them off the same queue
		time.Sleep(comeAfterStop)
		s.acceptLast()
	}
	s.ln.Close()
	end, cancel := context.WithTimeout(context.Background(), ms(max(leastStop, l.longest())))
	defer cancel()
	s.drain(noMore, end)
	return nil
}

// longest is the longest deadline of a class. It may be called from any goroutine.
func (l *loop) longest() (longest float64) {
	for _, k := range l.rules.Load().classes {
		longest = max(longest, k.DeadlineMillis)
	}
	return longest
}

// The calls of operators, as the second address knows them. They may come from any goroutine, until Run returns.

var errNotDone = errors.New("the router was too busy to do it in time")

// Ready reports whether the router can serve.
func (r *Router) Ready() bool { return r.open.Load() && r.l.ready.Load() && !r.s.draining.Load() }

// Metrics is the report of the figures.
func (r *Router) Metrics() ([]byte, error) {
	if r.l.board == nil {
		return r.metrics.JSON(nil)
	}
	used, missed := r.l.board.Counts()
	return r.metrics.JSON(&metrics.ProbeReports{Hits: used, Misses: missed})
}

// SetDisabled leaves a cache server out, or puts it back.
func (r *Router) SetDisabled(ctx context.Context, name string, disabled bool) error {
	return r.disable(ctx, ban{ID: name, Disabled: disabled}, nil)
}

// do has the loop carry out what can't wait behind its events.
func (l *loop) do(ctx context.Context, event func() error) error {
	done := make(chan error, 1)
	select {
	case l.priorityEvents <- func() { done <- event() }:
	case <-ctx.Done():
		return errNotDone
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errNotDone
	}
}

// setDisabled carries out a call of the operators.
func (l *loop) setDisabled(o ban) error {
	id, known := l.names.IDs[o.ID]
	if !known && o.Known {
		id, known = serverID(o.ID), true
		l.names.add(o.ID, id)
	}
	switch {
	case !known:
		return admin.ErrUnknownServer
	}
	mine, other, by := l.disabledByOperator, l.disabledByFleet, "hand"
	if o.Agreed {
		mine, other, by = l.disabledByFleet, l.disabledByOperator, "agreement"
	}
	if o.Disabled {
		if len(mine) < maxNames {
			mine[o.ID] = true
		}
		l.b.Disable(l.now(), id)
		l.cancelUnsentTo(id)
	} else {
		delete(mine, o.ID)
		if !other[o.ID] { // what is out by both is in once both have let go
			l.b.Enable(l.now(), id)
		}
	}
	l.count()
	slog.Info("cache server by "+by, "server", o.ID, "disabled", o.Disabled)
	return nil
}

// discover follows the discovery that the configuration names, until ctx ends.
func (l *loop) discover(ctx context.Context, cfg *Config, held list, updates <-chan *Config, tell func(list)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		life, end := context.WithCancel(ctx)
		d := l.newSource(cfg, tell)
		d.holds, d.from = d.onAsk && len(held.Servers) > 0, held.Version
		held = list{}                  // of another discovery the whole is asked for
		l.post(func() { l.follow(d) }) // before anything that it tells
		wg.Go(func() { d.run(life) })
		at, next := cfg.Discovery, cfg
		for ; next.Discovery == at; cfg = next {
			select {
			case <-ctx.Done():
				end()
				return
			case offer := <-updates:
				if l.adopt(ctx, cfg, offer) {
					next = offer
				}
			}
		}
		end() // the old watch
	}
}

// adopt takes a new configuration whole or turns it down whole, and counts which.
func (l *loop) adopt(ctx context.Context, old, cfg *Config) bool {
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

// newSource is the discovery of a configuration. It is heard while the loop follows it: an answer of one before it
// that is still on its way is older than what the new one tells, and counts for nothing.
func (l *loop) newSource(cfg *Config, tell func(list)) *discovery {
	var d *discovery
	ask := cfg.settings.Config.PollEndpoints
	heard := func(do func()) {
		done := make(chan struct{})
		l.post(func() {
			if l.disc == d {
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
		func(got list) {
			kind := decide.ChangedEndpoints
			if got.Full {
				kind = decide.AllEndpoints
			}
			heard(func() {
				if !l.floor.above(got.Version) {
					l.list(kind, got)
				}
			})
			tell(got) // now that a state handed over has it: before, a successor might get it in neither way
		},
		func() {
			if ask {
				heard(func() { l.list(decide.WatchFailed, list{}) })
			}
		})
	return d
}
