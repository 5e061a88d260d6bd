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
	// maxHeldLeases bounds the number of shards that one router probes, so that a single router
	// does not probe all servers when there are others.
	maxHeldLeases = 4
	// maxConcurrentProbes bounds the number of concurrent probes in a shard.
	maxConcurrentProbes = 16
	// leaseMarginDivisor determines when probing stops before a lease expires: by its TTL divided
	// by this number.
	leaseMarginDivisor = 10
	// releaseTimeout bounds the release of a lease.
	releaseTimeout = time.Second
	// leasePurpose is the purpose of the lease that is shown to operators.
	leasePurpose = "probes for all routers"
)

// Options are the parameters of Run.
type Options struct {
	Client *client.Client
	// LeaseTTL is the time to live of a shard's lease.
	LeaseTTL time.Duration
	// Interval is the time between two probes of a server, and the approximate time between two
	// reads of the reports that other routers share.
	Interval time.Duration
	Reports  *ReportCache
	// NowMillis reads the router's clock, in ms.
	NowMillis func() float64
	// Servers returns the ids of the cache servers.
	Servers func(context.Context) ([]uint32, error)
	// Probe probes a server once. It must be safe for concurrent calls.
	Probe func(context.Context, uint32) (decide.AttemptStatus, decide.LoadReport)
}

// prober is one router's participant in the shared health checks.
type prober struct {
	Options

	mu sync.Mutex
	// held contains the shards whose leases this router holds.
	held map[int]bool
}

// Run probes the shards whose leases this router holds, and caches the reports that other routers
// share, until ctx ends. It returns after all leases have been released.
func Run(ctx context.Context, o Options) {
	p := &prober{Options: o, held: map[int]bool{}}
	var probing sync.WaitGroup
	defer probing.Wait()
	for ctx.Err() == nil {
		taken, err := p.readShared(ctx)
		if err == nil { // on an error the cached reports become stale without further action
			p.acquireOne(ctx, &probing, taken)
		}
		// The random part keeps routers apart, also after they all have reconnected at once.
		if !clock.Sleep(ctx, p.Interval/2+rand.N(p.Interval)) {
			return
		}
	}
}

// readShared caches the reports that other routers share, and returns the names of the held leases.
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
		// The age of a report is at most its age when the record was written, plus the age of the
		// record, plus the time since the request for it.
		recordAge := float64(lease.RecordAge.Milliseconds()) + now - requestedAt
		for _, report := range reports {
			p.Reports.Add(now, recordAge+report.AgeMillis, report)
		}
	}
	return taken, nil
}

// acquireOne tries to acquire the lease of one free shard, and probes the shard in the background
// for as long as it holds the lease.
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
		if !wasTaken { // not logged if another router was faster, which is common
			slog.Debug("acquiring a lease for health checks failed", "lease", LeaseName(shard), "error", err)
		}
		return
	}
	p.setHeld(shard, true)
	probing.Go(func() { // ends when the lease or ctx ends; Run waits for it
		defer p.setHeld(shard, false)
		p.holdLease(ctx, shard, lease)
	})
}

// freeShards returns the shards that no router probes, and whether this router may probe another
// one.
func (p *prober) freeShards(taken map[string]bool) (free []int, hasCapacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for shard := range ShardCount {
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

// holdLease probes a shard's servers and shares their reports while the lease is held.
func (p *prober) holdLease(ctx context.Context, shard int, lease *client.Lease) {
	held, cancel := lease.Context(ctx, p.LeaseTTL/leaseMarginDivisor)
	defer cancel()
	for held.Err() == nil {
		startedAt := p.NowMillis()
		reports := p.probeShard(held, shard)
		for i := range reports {
			reports[i].AgeMillis = p.NowMillis() - startedAt // an upper bound
		}
		for _, report := range reports {
			p.Reports.Add(p.NowMillis(), report.AgeMillis, report)
		}
		err := lease.WriteRecord(held, Encode(reports, coord.MaxRecordBytes))
		if err != nil && held.Err() == nil {
			slog.Debug("sharing load reports failed", "lease", lease.Name, "error", err)
		}
		if !clock.Sleep(held, p.Interval) {
			break
		}
	}
	release, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = lease.Release(release) // a lease that can't be released expires later
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
