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

// drainWatch is the state of the watch for new drain sets.
type drainWatch struct {
	// hasDrainSet reports that a drain set has been applied.
	hasDrainSet bool
	// version is the version of the drain set applied last.
	version uint64
	// pause limits the random pause before the next watch, after one that was answered without a
	// change.
	pause time.Duration
}

// followDrainSets applies each new drain set until ctx ends.
func (f *follower) followDrainSets(ctx context.Context) {
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
		if f.awaitOpenAttempts(ctx, drains.Servers) {
			f.markApplied(drains)
		}
	}
}

// nextDrainSet polls for the first drain set, and then watches for the next one. After an error or
// an answer without a change it pauses until the next call is due, and returns false.
func (f *follower) nextDrainSet(ctx context.Context, watch *drainWatch) (drains rollout.DrainSet, hasChanged bool) {
	calledAt := clock.Now()
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
	// A coordinator that has just become the leader answers immediately. One that runs an earlier
	// program version does so until the first drain. Without a growing pause, all routers would
	// call such a coordinator in a busy loop.
	if clock.Now()-calledAt >= minWatchDuration {
		watch.pause = attemptsPollInterval
	}
	clock.Sleep(ctx, rand.N(watch.pause))
	watch.pause = min(2*watch.pause, maxUnchangedPause)
	return drains, false
}

// applyDrainSet drains the servers of the drain set, ejects the ejected ones, and stores what the
// coordinators request. It returns false if a server could not be drained.
func (f *follower) applyDrainSet(ctx context.Context, drains rollout.DrainSet) bool {
	if !f.updateDrains(ctx, drains.Servers) {
		return false
	}
	if err := f.options.SetEjected(ctx, drains.Ejected); err != nil {
		slog.Warn("failed to apply shared ejections", "error", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests.isPrompt = drains.EjectionQuorum > 0
	f.requests.maxServers = cmp.Or(drains.MaxReportedServers, rollout.LegacyMaxReportedServers)
	return true
}

// updateDrains begins the drains of these servers, and ends the drains of all others. It returns
// false if a server could not be drained.
func (f *follower) updateDrains(ctx context.Context, servers []string) bool {
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
			slog.Warn("failed to drain a server of the drain set", "server", name, "error", err)
			areAllDrained = false
			continue
		}
		f.drained[name] = incarnations[name]
	}
	for name := range f.drained {
		if !slices.Contains(servers, name) {
			f.endDrain(ctx, name)
		}
	}
	return areAllDrained
}

// endDrain ends the drain of a server. The caller must hold mu.
func (f *follower) endDrain(ctx context.Context, name string) {
	if err := f.options.SetDrained(ctx, name, false); err != nil {
		slog.Warn("failed to end the drain of a server", "server", name, "error", err)
		return
	}
	delete(f.drained, name)
}

// awaitOpenAttempts waits until no attempt at the servers is open, or until maxAttemptsWait has
// passed. It returns false if ctx ends first.
func (f *follower) awaitOpenAttempts(ctx context.Context, servers []string) bool {
	waitUntil := clock.Now() + f.maxAttemptsWait
	for {
		open, err := f.options.OpenAttempts(ctx, servers)
		if err == nil && open == 0 {
			return true
		}
		if clock.Now() >= waitUntil {
			slog.Warn("gave up waiting for open attempts at drained servers",
				"attempts", open, "waited", f.maxAttemptsWait, "error", err)
			return true
		}
		if !clock.Sleep(ctx, attemptsPollInterval) {
			return false
		}
	}
}

// markApplied marks a drain set as fully applied. The reporter then acknowledges it, and reports
// what the drain set requests.
func (f *follower) markApplied(drains rollout.DrainSet) {
	f.mu.Lock()
	f.appliedVersion = drains.Version
	f.requests.needsCounts = drains.NeedsCounts
	f.requests.needsLatency = drains.NeedsLatency
	f.mu.Unlock()
	select {
	case f.appliedVersionChanged <- struct{}{}:
	default: // the reporter has not received the last notification yet, which covers this change too
	}
}

// endDrainsByDiscovery ends the drains of servers that, according to the endpoint list, have been
// restarted since. It is called while the router has no session, because then it can't receive the
// end of a drain from the coordinators.
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
			f.endDrain(ctx, server.Name)
		}
	}
}
