// Package follow is a router's part in drains that the fleet agrees on: it tells how it sees itself and the cache servers, leaves
// out what is drained, and says so once it sends nothing more there. Nothing here is ever on the way of a request.
package follow

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/rollout"
)

// Options are those of a router's part in it.
type Options struct {
	Client          *client.Client
	Zone            string
	Version         string                                                     // of the program's version
	RequestCounts   func() (good, bad int64, speed []int64)                    // requests served, and refused or failed; and those served by SpeedBucket
	IsReady         func() bool                                                // whether the router takes clients
	ObserveServers  func(context.Context) ([]rollout.ServerObservation, error) // all servers of discovery's list, as the router sees them
	SetDrained      func(ctx context.Context, server string, out bool) error   // leaves one out, or puts it back where nothing else keeps it out
	OpenAttempts    func(ctx context.Context, servers []string) (int, error)   // attempts that are out at these
	InheritedDrains func(context.Context) []string                             // what the process before this one had left out by the fleet's word
	SetEjected      func(context.Context, []rollout.EjectedServer) error       // what others found out of servers: leaves these out, and none else for it
	OnFirstDrainSet func()                                                     // called once, when the drains of the beginning are in force
}

const (
	reportInterval       = 250 * time.Millisecond // between two looks at what has changed,
	promptReportInterval = 40 * time.Millisecond  // and where others wait for it
	countsInterval       = time.Second            // between two reports of what was answered
	attemptsPollInterval = 20 * time.Millisecond  // between two looks at whether attempts are back

	minWatchDuration  = time.Second // a call for news that was answered sooner without any did not wait
	maxUnchangedPause = time.Second // before the next call after several of these
)

// follower is a router's part.
type follower struct {
	options Options

	mu                    sync.Mutex
	drained               map[string]string // servers that are left out, with the run that they had then
	appliedVersion        uint64            // the version of the drains by which it acts
	appliedVersionChanged chan struct{}     // of capacity 1: done has grown
	wantsCounts           bool              // what is answered is told,
	wantsLatency          bool              // and how fast
	wantsPromptReports    bool              // what is found out of servers is told at once
	maxReportedServers    int               // servers in one report
}

// Run takes part until ctx ends.
func Run(ctx context.Context, o Options) {
	f := &follower{options: o, drained: map[string]string{}, appliedVersionChanged: make(chan struct{}, 1), maxReportedServers: rollout.EarlierMaxReportedServers}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, name := range o.InheritedDrains(ctx) {
		f.drained[name] = "" // any run is newer
	}
	wg.Go(func() { f.reportLoop(ctx) })
	f.follow(ctx)
}

// reportLoop reports what has changed since the last report in the same session, and acknowledges.
func (f *follower) reportLoop(ctx context.Context) {
	var in string                                  // the session in which was told
	told := map[string]rollout.ServerObservation{} // what
	var acked uint64                               // and acknowledged
	var ready bool
	var lastGood, lastBad int64 // counts that were told,
	var at time.Duration        // and when
	for {
		pause := reportInterval
		f.mu.Lock()
		if f.wantsPromptReports {
			pause = promptReportInterval
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-f.appliedVersionChanged:
		case <-time.After(pause/2 + rand.N(pause)):
		}
		session := f.options.Client.SessionID()
		if session == "" {
			f.endDrainsByDiscovery(ctx)
			continue
		}
		fresh := session != in
		if fresh {
			told, acked = map[string]rollout.ServerObservation{}, 0
		}
		all, err := f.options.ObserveServers(ctx)
		if err != nil {
			continue
		}
		now := map[string]rollout.ServerObservation{}
		var changed []rollout.ServerObservation
		for _, s := range all {
			now[s.Name] = s
			if told[s.Name] != s {
				changed = append(changed, s)
			}
		}
		for name, s := range told {
			if _, ok := now[name]; !ok && s.Status != rollout.StatusRemoved {
				s.Status = rollout.StatusRemoved
				changed = append(changed, s)
			}
		}
		is := f.options.IsReady()
		f.mu.Lock()
		figures, fast, maxSeen := f.wantsCounts, f.wantsLatency, f.maxReportedServers
		f.mu.Unlock()
		var good, bad int64
		var speed []int64
		if figures {
			good, bad, speed = f.options.RequestCounts()
		}
		if !fast {
			speed = nil
		}
		for fresh || figures && (good > lastGood || bad > lastBad) && clock.Now()-at >= countsInterval || len(changed) > 0 || is != ready {
			part := changed[:min(len(changed), maxSeen)]
			// What is answered to a process that a newer one has replaced is no error.
			_, err := f.options.Client.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{Zone: f.options.Zone, Version: f.options.Version, IsReady: is, Servers: part, Served: good, Failed: bad, LatencyCounts: speed}})
			if err != nil {
				f.log("what the router sees could not be told", err)
				clock.Sleep(ctx, client.RetryDelay(err, 0))
				break
			}
			for _, s := range part {
				if s.Status == rollout.StatusRemoved {
					delete(told, s.Name)
				} else {
					told[s.Name] = s
				}
			}
			in, fresh, ready, changed = session, false, is, changed[len(part):]
			lastGood, lastBad, at = good, bad, clock.Now()
		}
		f.mu.Lock()
		done := f.appliedVersion
		f.mu.Unlock()
		if in == session && done > acked {
			if _, err := f.options.Client.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpAcknowledgeDrains, DrainVersion: done}); err != nil {
				f.log("what is drained could not be acknowledged", err)
				clock.Sleep(ctx, client.RetryDelay(err, 0))
				in = "" // as it may be that this session was never told of
				continue
			}
			acked = done
		}
	}
}

func (f *follower) log(what string, err error) {
	var refused *client.RejectedError
	if errors.As(err, &refused) {
		slog.Warn(what, "answer", refused.Response.Error())
	}
}

// follow leaves out what is drained, for as long as it is.
func (f *follower) follow(ctx context.Context) {
	var version uint64
	pause := attemptsPollInterval
	for first := true; ctx.Err() == nil; {
		// Asked for at once at the beginning, then whenever it changes.
		asked := clock.Now()
		ask := f.options.Client.WatchDrains
		if first {
			ask = f.options.Client.Drains
		}
		d, err := ask(ctx, version)
		if err != nil {
			if !clock.Sleep(ctx, client.RetryDelay(err, reportInterval+rand.N(reportInterval))) {
				return
			}
			continue
		}
		if !first && d.Version <= version {
			if clock.Now()-asked >= minWatchDuration {
				pause = attemptsPollInterval
			}
			if !clock.Sleep(ctx, rand.N(pause)) { // a coordinator that has just come to lead answers at once
				return
			}
			pause = min(2*pause, maxUnchangedPause) // and one of an older program does so until something was drained
			continue
		}
		pause = attemptsPollInterval
		if !f.applyDrainSet(ctx, d) {
			if !clock.Sleep(ctx, reportInterval) {
				return
			}
			continue
		}
		if err := f.options.SetEjected(ctx, d.Ejected); err != nil {
			slog.Warn("what other routers found out could not be taken", "error", err)
		}
		f.mu.Lock()
		f.wantsPromptReports = d.EjectionQuorum > 0
		f.maxReportedServers = cmp.Or(d.MaxReportedServers, rollout.EarlierMaxReportedServers)
		f.mu.Unlock()
		version = d.Version
		if first && f.options.OnFirstDrainSet != nil {
			f.options.OnFirstDrainSet()
		}
		first = false
		for {
			n, err := f.options.OpenAttempts(ctx, d.Servers)
			if err == nil && n == 0 || ctx.Err() != nil {
				break
			}
			if !clock.Sleep(ctx, attemptsPollInterval) {
				return
			}
		}
		f.mu.Lock()
		f.appliedVersion, f.wantsCounts, f.wantsLatency = d.Version, d.WantsCounts, d.WantsLatency
		f.mu.Unlock()
		select {
		case f.appliedVersionChanged <- struct{}{}:
		default:
		}
	}
}

// applyDrainSet brings the set of drained servers into force, and reports whether all of it could be.
func (f *follower) applyDrainSet(ctx context.Context, d rollout.DrainSet) bool {
	runs := map[string]string{}
	if all, err := f.options.ObserveServers(ctx); err == nil {
		for _, s := range all {
			runs[s.Name] = s.Incarnation
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := true
	for _, name := range d.Servers {
		if _, is := f.drained[name]; !is {
			if err := f.options.SetDrained(ctx, name, true); err != nil {
				slog.Warn("a drain that the fleet agrees on could not be carried out", "server", name, "error", err)
				ok = false
				continue
			}
			f.drained[name] = runs[name]
		}
	}
	for name := range f.drained {
		if !slices.Contains(d.Servers, name) {
			f.putBack(ctx, name)
		}
	}
	return ok
}

// putBack puts a server back. The caller holds mu.
func (f *follower) putBack(ctx context.Context, name string) {
	if err := f.options.SetDrained(ctx, name, false); err != nil {
		slog.Warn("the end of a drain could not be carried out", "server", name, "error", err)
		return
	}
	delete(f.drained, name)
}

// endDrainsByDiscovery goes by discovery's list, as there is no agreement: what was drained and has been started anew since is back.
func (f *follower) endDrainsByDiscovery(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.drained) == 0 {
		return
	}
	all, err := f.options.ObserveServers(ctx)
	if err != nil {
		return
	}
	for _, s := range all {
		if run, is := f.drained[s.Name]; is && s.Status == rollout.StatusServing && s.Incarnation != run {
			f.putBack(ctx, s.Name)
		}
	}
}
