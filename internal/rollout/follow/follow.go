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
	Client  *client.Client
	Zone    string
	Label   string                                                   // of the program's version
	Counts  func() (good, bad int64, speed []int64)                  // requests served, and refused or failed; and those served by SpeedBucket
	Ready   func() bool                                              // whether the router takes clients
	Seen    func(context.Context) ([]rollout.Seen, error)            // all servers of discovery's list, as the router sees them
	Drain   func(ctx context.Context, server string, out bool) error // leaves one out, or puts it back where nothing else keeps it out
	Open    func(ctx context.Context, servers []string) (int, error) // attempts that are out at these
	Held    func(context.Context) []string                           // what the process before this one had left out by the fleet's word
	Suspect func(context.Context, []rollout.Suspect) error           // what others found out of servers: leaves these out, and none else for it
	First   func()                                                   // called once, when the drains of the beginning are in force
}

const (
	every       = 250 * time.Millisecond // between two looks at what has changed,
	soon        = 40 * time.Millisecond  // and where others wait for it
	tellFigures = time.Second            // between two reports of what was answered
	settling    = 20 * time.Millisecond  // between two looks at whether attempts are back

	answeredAtOnce = time.Second // a call for news that was answered sooner without any did not wait
	mostStalePause = time.Second // before the next call after several of these
)

// follower is a router's part.
type follower struct {
	o Options

	mu      sync.Mutex
	drained map[string]string // servers that are left out, with the run that they had then
	done    uint64            // the version of the drains by which it acts
	news    chan struct{}     // of capacity 1: done has grown
	figures bool              // what is answered is told,
	speed   bool              // and how fast
	quick   bool              // what is found out of servers is told at once
	maxSeen int               // servers in one report
}

// Run takes part until ctx ends.
func Run(ctx context.Context, o Options) {
	f := &follower{o: o, drained: map[string]string{}, news: make(chan struct{}, 1), maxSeen: rollout.EarlierMaxSeen}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, name := range o.Held(ctx) {
		f.drained[name] = "" // any run is newer
	}
	wg.Go(func() { f.tell(ctx) })
	f.obey(ctx)
}

// tell reports what has changed since the last report in the same session, and acknowledges.
func (f *follower) tell(ctx context.Context) {
	var in string                     // the session in which was told
	told := map[string]rollout.Seen{} // what
	var acked uint64                  // and acknowledged
	var ready bool
	var lastGood, lastBad int64 // counts that were told,
	var at time.Duration        // and when
	for {
		pause := every
		f.mu.Lock()
		if f.quick {
			pause = soon
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		case <-time.After(pause/2 + rand.N(pause)):
		}
		session := f.o.Client.SessionID()
		if session == "" {
			f.alone(ctx)
			continue
		}
		fresh := session != in
		if fresh {
			told, acked = map[string]rollout.Seen{}, 0
		}
		all, err := f.o.Seen(ctx)
		if err != nil {
			continue
		}
		now := map[string]rollout.Seen{}
		var changed []rollout.Seen
		for _, s := range all {
			now[s.Name] = s
			if told[s.Name] != s {
				changed = append(changed, s)
			}
		}
		for name, s := range told {
			if _, ok := now[name]; !ok && s.Is != rollout.Gone {
				s.Is = rollout.Gone
				changed = append(changed, s)
			}
		}
		is := f.o.Ready()
		f.mu.Lock()
		figures, fast, maxSeen := f.figures, f.speed, f.maxSeen
		f.mu.Unlock()
		var good, bad int64
		var speed []int64
		if figures {
			good, bad, speed = f.o.Counts()
		}
		if !fast {
			speed = nil
		}
		for fresh || figures && (good > lastGood || bad > lastBad) && clock.Now()-at >= tellFigures || len(changed) > 0 || is != ready {
			part := changed[:min(len(changed), maxSeen)]
			// What is answered to a process that a newer one has replaced is no error.
			_, err := f.o.Client.ExecuteRollout(ctx, rollout.Command{Op: rollout.See, View: &rollout.View{Zone: f.o.Zone, Version: f.o.Label, Ready: is, Servers: part, Good: good, Bad: bad, Speed: speed}})
			if err != nil {
				f.log("what the router sees could not be told", err)
				clock.Sleep(ctx, client.RetryDelay(err, 0))
				break
			}
			for _, s := range part {
				if s.Is == rollout.Gone {
					delete(told, s.Name)
				} else {
					told[s.Name] = s
				}
			}
			in, fresh, ready, changed = session, false, is, changed[len(part):]
			lastGood, lastBad, at = good, bad, clock.Now()
		}
		f.mu.Lock()
		done := f.done
		f.mu.Unlock()
		if in == session && done > acked {
			if _, err := f.o.Client.ExecuteRollout(ctx, rollout.Command{Op: rollout.Ack, Drains: done}); err != nil {
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

// obey leaves out what is drained, for as long as it is.
func (f *follower) obey(ctx context.Context) {
	var version uint64
	pause := settling
	for first := true; ctx.Err() == nil; {
		// Asked for at once at the beginning, then whenever it changes.
		asked := clock.Now()
		ask := f.o.Client.WatchDrains
		if first {
			ask = f.o.Client.Drains
		}
		d, err := ask(ctx, version)
		if err != nil {
			if !clock.Sleep(ctx, client.RetryDelay(err, every+rand.N(every))) {
				return
			}
			continue
		}
		if !first && d.Version <= version {
			if clock.Now()-asked >= answeredAtOnce {
				pause = settling
			}
			if !clock.Sleep(ctx, rand.N(pause)) { // a coordinator that has just come to lead answers at once
				return
			}
			pause = min(2*pause, mostStalePause) // and one of an older program does so until something was drained
			continue
		}
		pause = settling
		if !f.take(ctx, d) {
			if !clock.Sleep(ctx, every) {
				return
			}
			continue
		}
		if err := f.o.Suspect(ctx, d.Suspects); err != nil {
			slog.Warn("what other routers found out could not be taken", "error", err)
		}
		f.mu.Lock()
		f.quick = d.Quorum > 0
		f.maxSeen = cmp.Or(d.MaxSeen, rollout.EarlierMaxSeen)
		f.mu.Unlock()
		version = d.Version
		if first && f.o.First != nil {
			f.o.First()
		}
		first = false
		for {
			n, err := f.o.Open(ctx, d.Servers)
			if err == nil && n == 0 || ctx.Err() != nil {
				break
			}
			if !clock.Sleep(ctx, settling) {
				return
			}
		}
		f.mu.Lock()
		f.done, f.figures, f.speed = d.Version, d.Figures, d.Speed
		f.mu.Unlock()
		select {
		case f.news <- struct{}{}:
		default:
		}
	}
}

// take brings the set of drained servers into force, and reports whether all of it could be.
func (f *follower) take(ctx context.Context, d rollout.Drains) bool {
	runs := map[string]string{}
	if all, err := f.o.Seen(ctx); err == nil {
		for _, s := range all {
			runs[s.Name] = s.Run
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := true
	for _, name := range d.Servers {
		if _, is := f.drained[name]; !is {
			if err := f.o.Drain(ctx, name, true); err != nil {
				slog.Warn("a drain that the fleet agrees on could not be carried out", "server", name, "error", err)
				ok = false
				continue
			}
			f.drained[name] = runs[name]
		}
	}
	for name := range f.drained {
		if !slices.Contains(d.Servers, name) {
			f.back(ctx, name)
		}
	}
	return ok
}

// back puts a server back. The caller holds mu.
func (f *follower) back(ctx context.Context, name string) {
	if err := f.o.Drain(ctx, name, false); err != nil {
		slog.Warn("the end of a drain could not be carried out", "server", name, "error", err)
		return
	}
	delete(f.drained, name)
}

// alone goes by discovery's list, as there is no agreement: what was drained and has been started anew since is back.
func (f *follower) alone(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.drained) == 0 {
		return
	}
	all, err := f.o.Seen(ctx)
	if err != nil {
		return
	}
	for _, s := range all {
		if run, is := f.drained[s.Name]; is && s.Is == rollout.Up && s.Run != run {
			f.back(ctx, s.Name)
		}
	}
}
