package healthcheck

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// Options are those of a router's part in it.
type Options struct {
	Client    *client.Client
	LeaseTTL  time.Duration // of a share's lease
	Interval  time.Duration // between two probes of a server, and between two looks at what others tell
	Reports   *ReportCache
	NowMillis func() float64 // the router's clock, in milliseconds
	Servers   func(context.Context) ([]uint32, error)
	Probe     func(context.Context, uint32) (decide.AttemptStatus, decide.LoadReport)
}

// maxHeldLeases bounds the shares that one router holds, so that no one probes all while others are
// there.
const maxHeldLeases = 4

// maxConcurrentProbes bounds the probes of a share under way at once.
const maxConcurrentProbes = 16

// Run probes what this router holds the leases of, and takes what others tell, until ctx ends.
func Run(ctx context.Context, o Options) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	mine := map[int]bool{}
	for first := true; ctx.Err() == nil; first = false {
		if !first && !clock.Sleep(ctx, o.Interval/2+rand.N(o.Interval)) { // spread, also when all come back at once
			return
		}
		asked := o.NowMillis()
		rows, err := o.Client.Under(ctx, LeasePrefix)
		if err != nil {
			continue // what is known gets stale by itself
		}
		now := o.NowMillis()
		taken := map[string]bool{}
		for _, r := range rows {
			taken[r.Lease] = true
			reports, err := Decode(r.Record)
			if err != nil {
				continue // one that has told nothing yet
			}
			// Its age is that in the record, that of the record, and what has passed since it was
			// asked for.
			age := float64(r.Age.Milliseconds()) + now - asked
			for _, x := range reports {
				o.Reports.Add(now, age+x.AgeMillis, x)
			}
		}
		var free []int
		mu.Lock()
		for share := range Shards {
			if !taken[LeaseName(share)] && !mine[share] {
				free = append(free, share)
			}
		}
		room := len(mine) < maxHeldLeases
		mu.Unlock()
		if len(free) == 0 || !room {
			continue
		}
		share := free[rand.IntN(len(free))]
		l, err := o.Client.Acquire(ctx, LeaseName(share), "probes for all routers", o.LeaseTTL)
		if err != nil {
			var held *client.RefusedError
			if !errors.As(err, &held) || held.Code != coord.Held {
				slog.Debug("no lease to probe", "lease", LeaseName(share), "error", err)
			}
			continue
		}
		mu.Lock()
		mine[share] = true
		mu.Unlock()
		wg.Go(func() {
			defer func() {
				mu.Lock()
				delete(mine, share)
				mu.Unlock()
			}()
			holdLease(ctx, o, share, l)
		})
	}
}

// holdLease probes a share's servers and tells of them for as long as its lease is held.
func holdLease(ctx context.Context, o Options, share int, l *client.Lease) {
	under, end := l.Context(ctx, o.LeaseTTL/10)
	defer end()
	for under.Err() == nil {
		began := o.NowMillis()
		reports := probeShard(under, o, share)
		for i := range reports {
			reports[i].AgeMillis = o.NowMillis() - began // at most
		}
		for _, r := range reports {
			o.Reports.Add(o.NowMillis(), r.AgeMillis, r)
		}
		if err := l.Write(under, Encode(reports, coord.MaxRecord)); err != nil && under.Err() == nil {
			slog.Debug("what was probed could not be told", "lease", l.Name, "error", err)
		}
		if !clock.Sleep(under, o.Interval) {
			break
		}
	}
	over, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = l.Release(over) // else it ends by its time
}

// probeShard probes each server of a share once.
func probeShard(ctx context.Context, o Options, share int) (reports []Report) {
	all, err := o.Servers(ctx)
	if err != nil {
		return nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	room := make(chan struct{}, maxConcurrentProbes)
	for _, server := range all {
		if ShardOf(server) != share {
			continue
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			if st, load := o.Probe(ctx, server); st == decide.OK {
				mu.Lock()
				reports = append(reports, Report{ServerID: server, Load: load})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return reports
}
