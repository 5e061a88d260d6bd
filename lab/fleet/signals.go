package fleet

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/lab/scenario"
)

// signalSequences are series of signals: h is a SIGHUP without a new address of discovery, m one
// with a new address, t a SIGTERM. The time until SIGKILL begins with the first t.
var signalSequences = []string{"hhh", "hm", "mh", "mmm", "ht", "mt", "tt", "th", "tm", "hth", "mtt", "hmhm"}

const (
	// Gaps between the signals of a series: within milliseconds or within seconds.
	maxShortGap = 20 * time.Millisecond
	maxLongGap  = 1500 * time.Millisecond
	// maxUpgradeTermDelay is how long after the new process is ready the old one gets SIGTERM at
	// the latest.
	maxUpgradeTermDelay = 2 * time.Second
)

// forEachRouter calls f for each router on a goroutine of its own, and waits for all.
func (fl *Fleet) forEachRouter(routers []*router, f func(r *router)) {
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Go(func() { f(r) })
	}
	wg.Wait()
}

// signalSeries sends a series of signals, drawn for each router, to some routers.
func (fl *Fleet) signalSeries(ctx context.Context, f scenario.Fault) {
	fl.forEachRouter(fl.pickRouters(f), func(r *router) {
		sequence, gaps := fl.drawSeries()
		fl.mark("%s gets signals: %s, %v apart", r.name, sequence, gaps)
		fl.sendSeries(ctx, r, sequence, gaps, f.DownS)
	})
}

// drawSeries draws a sequence and the gaps after its signals.
func (fl *Fleet) drawSeries() (sequence string, gaps []time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sequence = signalSequences[fl.rng.IntN(len(signalSequences))]
	longest := maxShortGap
	if fl.rng.IntN(2) == 0 {
		longest = maxLongGap
	}
	for range sequence {
		gaps = append(gaps, time.Duration(fl.rng.Int64N(int64(longest))))
	}
	return sequence, gaps
}

// sendSeries sends a series. A router that exits because of it is started again.
func (fl *Fleet) sendSeries(ctx context.Context, r *router, sequence string, gaps []time.Duration, downS float64) {
	for i, s := range sequence {
		p := r.newest()
		if p == nil {
			return
		}
		if s == 't' {
			var rest sync.WaitGroup
			fl.stopAndRestart(ctx, r, downS, func(p *process) {
				r.signal(p, syscall.SIGTERM)
				rest.Go(func() { fl.sendRest(ctx, r, p, sequence[i+1:], gaps[i:]) })
			})
			rest.Wait()
			return
		}
		fl.sendOne(ctx, r, p, s)
		if !wait(ctx, gaps[i].Seconds()) {
			return
		}
	}
}

// sendRest sends the signals that follow a SIGTERM while the process is shutting down.
func (fl *Fleet) sendRest(ctx context.Context, r *router, p *process, sequence string, gaps []time.Duration) {
	for i, s := range sequence {
		select {
		case <-p.done:
			return
		case <-time.After(gaps[i]):
		}
		fl.sendOne(ctx, r, p, s)
	}
}

// sendOne sends one signal of a series to a process.
func (fl *Fleet) sendOne(ctx context.Context, r *router, p *process, s rune) {
	switch {
	case s == 't':
		r.signal(p, syscall.SIGTERM)
	case !p.mayReload():
	case s == 'm':
		if err := fl.moveDiscoveryOf(ctx, r); err != nil {
			fl.recordLabError(err)
		}
	default:
		if err := fl.writeConfigOf(r, p); err != nil {
			fl.recordLabError(err)
			return
		}
		r.signal(p, syscall.SIGHUP)
	}
}

// upgradeOne starts a new process beside the old one of a router and, once the new one is ready,
// sends the old one SIGHUP and SIGTERM.
func (fl *Fleet) upgradeOne(ctx context.Context) {
	for _, r := range fl.pickRouters(scenario.Fault{Count: 1}) {
		if !r.downMu.TryLock() {
			return
		}
		defer r.downMu.Unlock()
		if err := fl.upgradeWithSignals(ctx, r); err != nil && ctx.Err() == nil {
			fl.recordLabError(err)
		}
	}
}

func (fl *Fleet) upgradeWithSignals(ctx context.Context, r *router) error {
	old := r.newest()
	if old == nil || !old.isReady.Load() {
		return nil
	}
	fl.mark("upgrade of %s, with signals", r.name)
	if err := fl.startProcess(ctx, r, fl.routerCommand(r), nil, fl.routerConfig(r)); err != nil {
		return err
	}
	if old.mayReload() {
		r.signal(old, syscall.SIGHUP)
	}
	fl.mu.Lock()
	delay := time.Duration(fl.rng.Int64N(int64(maxUpgradeTermDelay)))
	fl.mu.Unlock()
	if !wait(ctx, delay.Seconds()) {
		return nil
	}
	r.signal(old, syscall.SIGTERM)
	fl.awaitEnd(r, old)
	select {
	case <-old.done:
	default:
		return errors.New("the old process of " + r.name + " did not end")
	}
	return nil
}
