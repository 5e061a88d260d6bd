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

const (
	// maxHeldLeases bounds the shards that one router probes, so that no router probes all servers
	// while others are there.
	maxHeldLeases = 4
	// maxConcurrentProbes bounds the probes of a shard at a time.
	maxConcurrentProbes = 16
	// leaseMarginShare is the part of a lease's time by which probing ends before the lease does.
	leaseMarginShare = 10
	// releaseTimeout is for a lease to be released at the end.
	releaseTimeout = time.Second
	// leasePurpose tells operators what a lease is for.
	leasePurpose = "probes for all routers"
)

// Options are those of Run.
type Options struct {
	Client *client.Client
	// LeaseTTL is the time of a shard's lease.
	LeaseTTL time.Duration
	// Interval is the time between two probes of a server, and about that between two readings of
	// what other routers share.
	Interval time.Duration
	Reports  *ReportCache
	// NowMillis is the router's clock.
	NowMillis func() float64
	// Servers lists the cache servers.
	Servers func(context.Context) ([]uint32, error)
	// Probe probes a server once. It is called concurrently.
	Probe func(context.Context, uint32) (decide.AttemptStatus, decide.LoadReport)
}

// prober is a router's part in the shared health checks.
type prober struct {
	Options

	mu sync.Mutex
	// held are the shards whose leases this router holds.
	held map[int]bool
}

// Run probes the shards that this router holds the leases of, and caches what other routers share,
// until ctx ends. It returns once all leases are released.
func Run(ctx context.Context, o Options) {
	p := &prober{Options: o, held: map[int]bool{}}
	var probing sync.WaitGroup
	defer probing.Wait()
	for ctx.Err() == nil {
		taken, err := p.readShared(ctx)
		if err == nil { // without an answer the cached reports become stale by themselves
			p.acquireOne(ctx, &probing, taken)
		}
		// The random part spreads the routers, also when all return at once.
		if !clock.Sleep(ctx, p.Interval/2+rand.N(p.Interval)) {
			return
		}
	}
}

// readShared caches the reports that other routers share, and returns the leases that are held.
func (p *prober) readShared(ctx context.Context) (taken map[string]bool, err error) {
	requestedAt := p.NowMillis()
	leases, err := p.Client.ListLeasesWithPrefix(ctx, LeasePrefix)
	if err != nil {
		return nil, err
	}
	now := p.NowMillis()
	taken = map[string]bool{}
	for _, lease := range leases {
		taken[lease.Lease] = true
		reports, err := Decode(lease.Record)
		if err != nil {
			continue // its holder has not written a record yet
		}
		// A report is as old as it was when the record was written, plus the age of the record, plus
		// at most the time since it was requested.
		recordAge := float64(lease.RecordAge.Milliseconds()) + now - requestedAt
		for _, report := range reports {
			p.Reports.Add(now, recordAge+report.AgeMillis, report)
		}
	}
	return taken, nil
}

// acquireOne tries to get the lease of one shard that no router holds, and probes the shard for as
// long as it holds the lease.
func (p *prober) acquireOne(ctx context.Context, probing *sync.WaitGroup, taken map[string]bool) {
	free, hasCapacity := p.freeShards(taken)
	if len(free) == 0 || !hasCapacity {
		return
	}
	shard := free[rand.IntN(len(free))]
	lease, err := p.Client.Acquire(ctx, LeaseName(shard), leasePurpose, p.LeaseTTL)
	if err != nil {
		var rejected *client.RejectedError
		wasTaken := errors.As(err, &rejected) && rejected.Code == coord.CodeHeld
		if !wasTaken { // that another router is faster is usual, and not logged
			slog.Debug("no lease to probe", "lease", LeaseName(shard), "error", err)
		}
		return
	}
	p.setHeld(shard, true)
	probing.Go(func() { // ends with the lease or ctx; Run waits for it
		defer p.setHeld(shard, false)
		p.holdLease(ctx, shard, lease)
	})
}

// freeShards lists the shards that no router probes, and tells whether this one may probe another.
func (p *prober) freeShards(taken map[string]bool) (free []int, hasCapacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for shard := range Shards {
		if !taken[LeaseName(shard)] && !p.held[shard] {
			free = append(free, shard)
		}
	}
	return free, len(p.held) < maxHeldLeases
}

func (p *prober) setHeld(shard int, isHeld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isHeld {
		p.held[shard] = true
	} else {
		delete(p.held, shard)
	}
}

// holdLease probes a shard's servers and shares their reports for as long as its lease is held.
func (p *prober) holdLease(ctx context.Context, shard int, lease *client.Lease) {
	held, cancel := lease.Context(ctx, p.LeaseTTL/leaseMarginShare)
	defer cancel()
	for held.Err() == nil {
		startedAt := p.NowMillis()
		reports := p.probeShard(held, shard)
		for i := range reports {
			reports[i].AgeMillis = p.NowMillis() - startedAt // at most
		}
		for _, report := range reports {
			p.Reports.Add(p.NowMillis(), report.AgeMillis, report)
		}
		err := lease.WriteRecord(held, Encode(reports, coord.MaxRecordBytes))
		if err != nil && held.Err() == nil {
			slog.Debug("load reports not shared", "lease", lease.Name, "error", err)
		}
		if !clock.Sleep(held, p.Interval) {
			break
		}
	}
	release, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = lease.Release(release) // a lease that can't be released expires
}

// probeShard probes each server of a shard once.
func (p *prober) probeShard(ctx context.Context, shard int) (reports []Report) {
	servers, err := p.Servers(ctx)
	if err != nil {
		return nil
	}
	var mu sync.Mutex
	var probing sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, server := range servers {
		if ShardOf(server) != shard {
			continue
		}
		slots <- struct{}{}
		probing.Go(func() {
			defer func() { <-slots }()
			status, load := p.Probe(ctx, server)
			if status != decide.OK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, Report{ServerID: server, Load: load})
		})
	}
	probing.Wait()
	return reports
}
