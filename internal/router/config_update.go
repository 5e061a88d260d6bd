package router

// New configurations while the router runs: settings, and the discovery that is followed.

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// runDiscovery follows the discovery that the configuration names, and takes new configurations,
// until ctx ends. held is the list that the router starts with, and isHandover says that another
// process of this router watches already. onList takes each list besides the loop. Another discovery
// is asked for the changes to the list that its configuration brings: those take it a fraction of the
// time of a complete list for each router.
func (l *loop) runDiscovery(ctx context.Context, cfg *Config, held endpointList, isHandover bool,
	updates <-chan *Config, onList func(endpointList)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	d := l.newWatch(cfg, onList)
	d.hold(held)
	if isHandover {
		d.replacedAt = time.Now()
	}
	for {
		watchContext, stopWatch := context.WithCancel(ctx)
		l.post(func() { l.setDiscovery(d) }) // before anything that it sends
		wg.Go(func() { d.run(watchContext) })
		cfg = l.awaitOtherDiscovery(ctx, cfg, updates)
		stopWatch()
		if cfg == nil {
			return
		}
		d = l.newWatch(cfg, onList)
		d.replace(cfg.Known)
	}
}

// awaitOtherDiscovery takes new configurations until one names another discovery, and returns that;
// nil when ctx ends.
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

// setDiscovery follows d from now on, and no discovery before it. The list that is held stays until d
// gives a complete one.
func (l *loop) setDiscovery(d *discovery) {
	l.discovery = d
	if d.isPolled && !d.replacedAt.IsZero() {
		l.balancer.DiscoveryChanged(l.now())
	}
	l.staleGuard = staleGuard{} // its versions may be counted otherwise
}

// newWatch is the discovery of a configuration. Its answers count while the loop follows it: one that
// comes later is older than what the next discovery has sent.
func (l *loop) newWatch(cfg *Config, onList func(endpointList)) *discovery {
	var d *discovery
	isPolled := cfg.settings.Config.PollEndpoints
	// ifFollowed carries out an event on the loop if d is followed then, and waits for it.
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
	takeList := func(list endpointList) {
		ifFollowed(func() {
			if !l.staleGuard.isStale(list.Version) {
				l.updateEndpoints(list.updateKind(), list)
			}
		})
		// After the loop: a state that is handed over from here on has the list, and a process that
		// has taken an earlier state gets it by onList. The other way round it might get it by
		// neither.
		onList(list)
	}
	takeFailure := func() {
		if isPolled {
			ifFollowed(func() { l.updateEndpoints(decide.WatchFailed, endpointList{}) })
		}
	}
	d = newDiscovery(cfg.Discovery, isPolled, cfg.settings.Config.Routers, takeList, takeFailure)
	return d
}

// applyConfig takes all of a new configuration or rejects it, counts which, and reports whether it
// was taken.
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

// reconfigure takes the settings of a new configuration, or returns why it can't.
func (l *loop) reconfigure(cfg *Config) error {
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
