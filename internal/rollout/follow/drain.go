package follow

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/rollout"
)

// drainWatch is how far the watch for drain sets is.
type drainWatch struct {
	// hasDrainSet tells that a drain set has been applied.
	hasDrainSet bool
	// version is that of the drain set applied last.
	version uint64
	// pause bounds the pause before the next watch after one that was answered at once without a
	// change.
	pause time.Duration
}

// follow brings each drain set into force until ctx ends.
func (f *follower) follow(ctx context.Context) {
	watch := drainWatch{pause: attemptsPollInterval}
	for ctx.Err() == nil {
		drains, hasChanged := f.nextDrainSet(ctx, &watch)
		if !hasChanged {
			continue
		}
		if !f.applyDrainSet(ctx, drains) {
			clock.Sleep(ctx, reportInterval)
			continue
		}
		isFirst := !watch.hasDrainSet
		watch.hasDrainSet = true
		watch.version = drains.Version
		if isFirst && f.options.OnFirstDrainSet != nil {
			f.options.OnFirstDrainSet()
		}
		if f.awaitAttempts(ctx, drains.Servers) {
			f.setApplied(drains)
		}
	}
}

// nextDrainSet polls the first drain set, and then watches for the next one. It returns false after
// an error or an answer without a change, once it is time for the next call.
func (f *follower) nextDrainSet(ctx context.Context, watch *drainWatch) (drains rollout.DrainSet, hasChanged bool) {
	askedAt := clock.Now()
	call := f.options.Client.Drains
	if watch.hasDrainSet {
		call = f.options.Client.WatchDrains
	}
	drains, err := call(ctx, watch.version)
	if err != nil {
		clock.Sleep(ctx, client.RetryDelay(err, reportInterval+rand.N(reportInterval)))
		return drains, false
	}
	if !watch.hasDrainSet || drains.Version > watch.version {
		watch.pause = attemptsPollInterval
		return drains, true
	}
	// A coordinator that has just become the leader answers at once, and one of an earlier program
	// does so until something was drained. Without a pause that grows, all routers would call such
	// a coordinator again and again.
	if clock.Now()-askedAt >= minWatchDuration {
		watch.pause = attemptsPollInterval
	}
	clock.Sleep(ctx, rand.N(watch.pause))
	watch.pause = min(2*watch.pause, maxUnchangedPause)
	return drains, false
}

// applyDrainSet leaves out the servers of the drain set and the ejected ones. It returns false if a
// drain could not be applied.
func (f *follower) applyDrainSet(ctx context.Context, drains rollout.DrainSet) bool {
	if !f.setDrained(ctx, drains.Servers) {
		return false
	}
	if err := f.options.SetEjected(ctx, drains.Ejected); err != nil {
		slog.Warn("ejections by other routers' reports could not be applied", "error", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests.isPrompt = drains.EjectionQuorum > 0
	f.requests.maxServers = cmp.Or(drains.MaxReportedServers, rollout.EarlierMaxReportedServers)
	return true
}

// setDrained leaves out these servers, and takes back those that are not among them. It returns
// false if one could not be left out.
func (f *follower) setDrained(ctx context.Context, servers []string) bool {
	incarnations := map[string]string{}
	if observed, err := f.options.ObserveServers(ctx); err == nil {
		for _, server := range observed {
			incarnations[server.Name] = server.Incarnation
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	areAllDrained := true
	for _, name := range servers {
		if _, isDrained := f.drained[name]; isDrained {
			continue
		}
		if err := f.options.SetDrained(ctx, name, true); err != nil {
			slog.Warn("a server of the drain set could not be drained", "server", name, "error", err)
			areAllDrained = false
			continue
		}
		f.drained[name] = incarnations[name]
	}
	for name := range f.drained {
		if !slices.Contains(servers, name) {
			f.takeBack(ctx, name)
		}
	}
	return areAllDrained
}

// takeBack ends the drain of a server. The caller holds mu.
func (f *follower) takeBack(ctx context.Context, name string) {
	if err := f.options.SetDrained(ctx, name, false); err != nil {
		slog.Warn("the drain of a server could not be ended", "server", name, "error", err)
		return
	}
	delete(f.drained, name)
}

// awaitAttempts waits until no attempt at the servers is open, or maxAttemptsWait has passed; false
// if ctx has ended before.
func (f *follower) awaitAttempts(ctx context.Context, servers []string) bool {
	until := clock.Now() + f.maxAttemptsWait
	for {
		open, err := f.options.OpenAttempts(ctx, servers)
		if err == nil && open == 0 {
			return true
		}
		if clock.Now() >= until {
			slog.Warn("drained servers still have attempts: not waited for any longer",
				"attempts", open, "waited", f.maxAttemptsWait, "error", err)
			return true
		}
		if !clock.Sleep(ctx, attemptsPollInterval) {
			return false
		}
	}
}

// setApplied has the reporter acknowledge a drain set that is in force, and report what it requests
// for.
func (f *follower) setApplied(drains rollout.DrainSet) {
	f.mu.Lock()
	f.appliedVersion = drains.Version
	f.requests.wantsCounts = drains.WantsCounts
	f.requests.wantsLatency = drains.WantsLatency
	f.mu.Unlock()
	select {
	case f.appliedVersionChanged <- struct{}{}:
	default: // the reporter has not taken the last change yet, and will see this one with it
	}
}

// endDrainsByDiscovery takes back the drained servers that were restarted since, by the endpoint
// list. It is called while the router has no session: no coordinator can tell it then that a drain
// is over.
func (f *follower) endDrainsByDiscovery(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.drained) == 0 {
		return
	}
	servers, err := f.options.ObserveServers(ctx)
	if err != nil {
		return
	}
	for _, server := range servers {
		incarnation, isDrained := f.drained[server.Name]
		if isDrained && server.Status == rollout.StatusServing && server.Incarnation != incarnation {
			f.takeBack(ctx, server.Name)
		}
	}
}
