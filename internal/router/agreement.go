package router

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
	leases "dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/probing"
)

// Agreement makes a router a client of the coordinators. No request ever waits for them.
type Agreement struct {
	Coordinators map[string]string // addresses by name
	TTL          time.Duration
	Probes       bool // one router probes a server for all,
	ProbeEvery   time.Duration
	ProbeStale   time.Duration // and its report counts until it is so old
}

// agree takes part in what the fleet agrees on until ctx ends.
func (r *Router) agree(ctx context.Context, a *Agreement) {
	c := leases.New(leases.Options{Coordinators: a.Coordinators, Client: "router/" + r.cfg.Name, TTL: a.TTL, Log: slog.Default()})
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.Run(ctx) })
	if a.Probes {
		probing.Run(ctx, probing.Options{Client: c, TTL: a.TTL, Every: a.ProbeEvery, Board: r.l.board, Now: r.l.now, Servers: r.l.servers, Probe: r.l.ask})
	}
}

// servers are the ids of all on the list but the origin.
func (l *loop) servers(ctx context.Context) (ids []uint32, err error) {
	err = l.do(ctx, func() error {
		for id, t := range l.targets {
			if !t.origin {
				ids = append(ids, id)
			}
		}
		return nil
	})
	return ids, err
}

// ask probes a server for all routers.
func (l *loop) ask(ctx context.Context, server uint32) (st decide.Status, load decide.Load) {
	var t *target
	if err := l.do(ctx, func() error { t = l.targets[server]; return nil }); err != nil || t == nil {
		return decide.ConnectError, decide.NoLoad
	}
	ctx, stop := context.WithTimeout(ctx, probeTimeout*time.Millisecond)
	defer stop()
	st, load = l.up.probe(ctx, t)
	l.trace.Event(l.now(), "probe", "s=%08x status=%d qps=%.1f util=%.3f", server, st, load.QPS, load.Util)
	return st, load
}
