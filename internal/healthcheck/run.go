package healthcheck

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// Options are those of a router's part in it.
type Options struct {
	Client  *client.Client
	TTL     time.Duration // of a share's lease
	Every   time.Duration // between two probes of a server, and between two looks at what others tell
	Board   *Board
	Now     func() float64 // the router's clock, in milliseconds
	Servers func(context.Context) ([]uint32, error)
	Probe   func(context.Context, uint32) (decide.AttemptStatus, decide.LoadReport)
}

// mostShares bounds the shares that one router holds, so that no one probes all while others are there.
const mostShares = 4

// mostProbes bounds the probes of a share under way at once.
const mostProbes = 16

// Run probes what this router holds the leases of, and takes what others tell, until ctx ends.
func Run(ctx context.Context, o Options) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	mine := map[int]bool{}
	for first := true; ctx.Err() == nil; first = false {
		if !first && !clock.Sleep(ctx, o.Every/2+rand.N(o.Every)) { // spread, also when all come back at once
			return
		}
		asked := o.Now()
		rows, err := o.Client.ListLeasesWithPrefix(ctx, Prefix)
		if err != nil {
			continue // what is known gets stale by itself
		}
		now := o.Now()
		taken := map[string]bool{}
		for _, r := range rows {
			taken[r.Lease] = true
			reports, err := Decode(r.Record)
			if err != nil {
				continue // one that has told nothing yet
			}
			// Its age is that in the record, that of the record, and what has passed since it was asked for.
			age := float64(r.RecordAge.Milliseconds()) + now - asked
			for _, x := range reports {
				o.Board.Tell(now, age+x.AgeMS, x)
			}
		}
		var free []int
		mu.Lock()
		for share := range Shares {
			if !taken[Lease(share)] && !mine[share] {
				free = append(free, share)
			}
		}
		room := len(mine) < mostShares
		mu.Unlock()
		if len(free) == 0 || !room {
			continue
		}
		share := free[rand.IntN(len(free))]
		l, err := o.Client.Acquire(ctx, Lease(share), "probes for all routers", o.TTL)
		if err != nil {
			var held *client.RejectedError
			if !errors.As(err, &held) || held.Code != coord.CodeHeld {
				slog.Debug("no lease to probe", "lease", Lease(share), "error", err)
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
			hold(ctx, o, share, l)
		})
	}
}

// hold probes a share's servers and tells of them for as long as its lease is held.
func hold(ctx context.Context, o Options, share int, l *client.Lease) {
	under, end := l.Context(ctx, o.TTL/10)
	defer end()
	for under.Err() == nil {
		began := o.Now()
		reports := round(under, o, share)
		for i := range reports {
			reports[i].AgeMS = o.Now() - began // at most
		}
		for _, r := range reports {
			o.Board.Tell(o.Now(), r.AgeMS, r)
		}
		if err := l.WriteRecord(under, Encode(reports, coord.MaxRecordBytes)); err != nil && under.Err() == nil {
			slog.Debug("what was probed could not be told", "lease", l.Name, "error", err)
		}
		if !clock.Sleep(under, o.Every) {
			break
		}
	}
	over, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = l.Release(over) // else it ends by its time
}

// round probes each server of a share once.
func round(ctx context.Context, o Options, share int) (reports []Report) {
	all, err := o.Servers(ctx)
	if err != nil {
		return nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	room := make(chan struct{}, mostProbes)
	for _, server := range all {
		if Share(server) != share {
			continue
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			if st, load := o.Probe(ctx, server); st == decide.OK {
				mu.Lock()
				reports = append(reports, Report{Server: server, Load: load})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return reports
}

// Coordinators reads NAME=HOST:PORT words, which have been checked.
func Coordinators(words []string) map[string]string {
	all := map[string]string{}
	for _, w := range words {
		name, addr, _ := strings.Cut(w, "=")
		all[name] = addr
	}
	return all
}
