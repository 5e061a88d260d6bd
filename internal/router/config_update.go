package router

// Configuration changes while the router runs: new settings and another discovery.

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// runDiscovery follows the discovery named in the configuration, and applies new configurations,
// until ctx ends. initialList is the list that the router starts with. isHandover is set if another
// process of this router is already watching. onList is called with each list in addition to the
// loop.
//
// When a configuration names another discovery, its own list (Config.KnownEndpoints) is used to ask
// that discovery for changes only, which takes a fraction of the time of a complete list for each
// router.
func (l *loop) runDiscovery(ctx context.Context, cfg *Config, initialList endpointList, isHandover bool,
	updates <-chan *Config, onList func(endpointList)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	d := l.newDiscoveryClient(cfg, onList)
	d.setHeldList(initialList)
	if isHandover {
		d.replacedAt = time.Now()
	}
	for {
		watchContext, stopWatch := context.WithCancel(ctx)
		l.post(func() { l.setDiscovery(d) }) // before any event of d
		wg.Go(func() { d.run(watchContext) })
		cfg = l.awaitOtherDiscovery(ctx, cfg, updates)
		stopWatch()
		if cfg == nil {
			return
		}
		d = l.newDiscoveryClient(cfg, onList)
		d.startAsReplacement(cfg.KnownEndpoints)
	}
}

// awaitOtherDiscovery applies new configurations until one names another discovery, and returns
// that one, or nil when ctx ends.
func (l *loop) awaitOtherDiscovery(ctx context.Context, cfg *Config, updates <-chan *Config) *Config {
	followed := cfg.Discovery
	for cfg.Discovery == followed {
		select {
		case <-ctx.Done():
			return nil
		case update := <-updates:
			if l.applyConfig(ctx, cfg, update) {
				cfg = update
			}
		}
	}
	return cfg
}

// setDiscovery makes d the current discovery. The held list stays in use until d provides a
// complete one.
func (l *loop) setDiscovery(d *discovery) {
	l.discovery = d
	if d.isPolled && !d.replacedAt.IsZero() {
		l.balancer.DiscoveryChanged(l.now())
	}
	l.staleGuard = staleGuard{} // versions of different discoveries can't be compared
}

// newDiscoveryClient returns the discovery client of a configuration. Its answers are ignored once
// the loop follows another discovery, whose lists are newer.
func (l *loop) newDiscoveryClient(cfg *Config, onList func(endpointList)) *discovery {
	var d *discovery
	isPolled := cfg.settings.Config.PollEndpoints
	// ifFollowed runs an event on the loop if d is the current discovery then, and waits for it.
	ifFollowed := func(event func()) {
		done := make(chan struct{})
		l.post(func() {
			if l.discovery == d {
				event()
			}
			close(done)
		})
		select {
		case <-done:
		case <-l.done:
		}
	}
	handleList := func(list endpointList) {
		var yield yielder
		defer yield.close()
		update := prepareUpdate(list.updateKind(), list, &yield)
		update.isWanted = func() bool { return l.discovery == d && !l.staleGuard.isStale(list.Version) }
		l.queueUpdate(update)
		// onList must come after the loop: a hand-over state taken from now on includes the list,
		// and a process that got an earlier state receives the list from onList. In the opposite
		// order a process could miss the list.
		onList(list)
	}
	handleFailure := func() {
		if isPolled {
			ifFollowed(func() { l.balancer.UpdateEndpoints(l.now(), decide.WatchFailed, nil) })
		}
	}
	d = newDiscovery(cfg.Discovery, isPolled, cfg.settings.Config.Routers, handleList, handleFailure)
	return d
}

// applyConfig applies a new configuration completely or not at all, counts the result, and reports
// whether it was applied.
func (l *loop) applyConfig(ctx context.Context, old, cfg *Config) bool {
	err := cfg.replaces(old)
	if err == nil {
		result := make(chan error, 1)
		l.post(func() { result <- l.reconfigure(cfg) })
		select {
		case err = <-result:
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
	slog.Info("SIGHUP: the configuration is taken", "discovery", cfg.Discovery,
		"classes", cfg.settings.Config.ClassNames())
	return true
}

// reconfigure applies the settings of a new configuration, or returns why it can't.
func (l *loop) reconfigure(cfg *Config) error {
	l.turns.kind = turnSettings
	if err := l.admission.check(cfg); err != nil {
		return err
	}
	if err := l.balancer.Reconfigure(l.now(), cfg.settings.Config); err != nil {
		return err
	}
	l.admission.reconfigure(cfg)
	l.rules.Store(newRules(cfg.settings.Config, l.metrics))
	l.upstreams.setTimeouts(ms(cfg.settings.Config.IdleTimeoutMillis), ms(cfg.settings.ConnectTimeoutMillis))
	return nil
}
