package router

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"dockhinge.example/dockhinge/decide"
	leases "dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/failpoint"
	"dockhinge.example/dockhinge/internal/healthcheck"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/internal/rollout/follow"
)

// Agreement makes a router a client of the coordinators. No request ever waits for them.
type Agreement struct {
	Coordinators map[string]string // addresses by name
	TTL          time.Duration
	Probes       bool // one router probes a server for all,
	ProbeEvery   time.Duration
	ProbeStale   time.Duration // and its report counts until it is so old
	Drains       bool          // it takes part in drains of the whole fleet
	Label        string        // what its program's version is called there
}

// drainsKnownTimeout is how long a router waits at its start for what is drained. Without an answer it goes by discovery's list alone.
const drainsKnownTimeout = 2 * time.Second

// runAgreement takes part in what the fleet agrees on until ctx ends; new tasks are taken until it is told to stop. known is called
// once what is drained is in force.
func (r *Router) runAgreement(ctx, stop context.Context, a *Agreement, known func()) {
	c := leases.New(leases.Options{Coordinators: a.Coordinators, ClientName: "router/" + r.cfg.Name, TTL: a.TTL, Log: slog.Default()})
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.Run(ctx) })
	if a.Probes {
		wg.Go(func() { r.runHealthChecks(stop, a, c) })
	}
	if a.Drains {
		follow.Run(ctx, follow.Options{Client: c, Zone: r.cfg.settings.Config.Zone, Version: a.Label, IsReady: r.Ready, ObserveServers: r.loop.endpointViews, OpenAttempts: r.loop.openAttempts, InheritedDrains: r.loop.disabledServers, RequestCounts: r.releaseCounts, OnFirstDrainSet: known, SetEjected: r.loop.setPeerEjections,
			SetDrained: func(ctx context.Context, server string, out bool) error {
				return r.disable(ctx, disableCall{ServerID: server, Disabled: out, IsListed: true, ByFleet: true}, nil)
			}})
	}
}

// runHealthChecks takes part in probing for all.
func (r *Router) runHealthChecks(ctx context.Context, a *Agreement, c *leases.Client) {
	healthcheck.Run(ctx, healthcheck.Options{Client: c, LeaseTTL: a.TTL, Interval: a.ProbeEvery, Reports: r.loop.healthReports, NowMillis: r.loop.now, Servers: r.loop.cacheServerIDs, Probe: r.loop.healthCheck})
}

// endpointViews are all cache servers of the list, as this router sees them.
func (l *loop) endpointViews(ctx context.Context) (all []rollout.ServerObservation, err error) {
	err = l.call(ctx, func() error {
		for name, e := range l.entries {
			if e.Kind == l.originKind {
				continue
			}
			s := rollout.ServerObservation{Name: name, Zone: e.Zone, Incarnation: strconv.FormatFloat(e.StartedMillis, 'f', -1, 64), Status: rollout.StatusServing}
			switch id, known := l.serverIDs.IDs[name]; {
			case failpoint.Is("lies-all") || failpoint.Is("lies-some") && known && id%5 == 0: // for the laboratory
				s.Status = rollout.StatusFailing
			case e.State != "active":
				s.Status = rollout.StatusDraining
			case known && l.balancer.IsEjected(id):
				if !l.ejectedOnlyByPeers[id] || failpoint.Is("hearsay-counts") { // what it was told is no evidence of its own
					s.Status = rollout.StatusFailing
				}
			default:
				delete(l.ejectedOnlyByPeers, id)
			}
			all = append(all, s)
		}
		maps.DeleteFunc(l.ejectedOnlyByPeers, func(id uint32, _ bool) bool { return l.targets[id] == nil }) // it has left the list
		return nil
	})
	return all, err
}

// peerEjectionRefreshMillis is how often what others found out is told to the Balancer again, in milliseconds: well below its shortest pause until it
// would try the server.
const peerEjectionRefreshMillis = 100

// setPeerEjections takes the servers that others found bad, in place of those before. Each ends by its time on this router's clock, whatever
// becomes of the agreement.
func (l *loop) setPeerEjections(ctx context.Context, all []rollout.EjectedServer) error {
	return l.call(ctx, func() error {
		fresh := map[uint32]float64{}
		for _, x := range all {
			if id, ok := l.serverIDs.IDs[x.Name]; ok {
				fresh[id] = l.now() + min(float64(x.Remaining.Milliseconds()), maxPeerEjectionMillis)
			}
		}
		if l.ejectedByPeers = fresh; !l.isRefreshingPeerEjections {
			l.applyPeerEjections()
		}
		return nil
	})
}

// maxPeerEjectionMillis bounds how long a server is left out by one word of others.
const maxPeerEjectionMillis = 30000

// applyPeerEjections has the Balancer avoid what others found bad, as by probes that failed, which is the only way in which it is told so.
func (l *loop) applyPeerEjections() {
	for id, until := range l.ejectedByPeers {
		if until <= l.now() {
			delete(l.ejectedByPeers, id)
			continue
		}
		if !l.balancer.IsEjected(id) {
			l.ejectedOnlyByPeers[id] = true
			for range maxFailedChecks { // fewer do where it has had some of its own
				if l.balancer.HealthCheckEnded(l.now(), id, decide.ConnectError, decide.NoLoadReport); l.balancer.IsEjected(id) {
					break
				}
			}
			continue
		}
		l.balancer.HealthCheckEnded(l.now(), id, decide.ConnectError, decide.NoLoadReport) // it puts off its trial
	}
	if l.isRefreshingPeerEjections = len(l.ejectedByPeers) > 0; l.isRefreshingPeerEjections {
		l.after(peerEjectionRefreshMillis, l.applyPeerEjections)
	}
}

// maxFailedChecks are enough for the Balancer to avoid a server, unless it avoids half of them already.
const maxFailedChecks = 3

// recordOwnEvidence books that this router has found out by itself how a server is that it knew of by others.
func (l *loop) recordOwnEvidence(server uint32, st decide.AttemptStatus) {
	if _, told := l.ejectedByPeers[server]; l.ejectedOnlyByPeers[server] && !told && (st == decide.Timeout || st == decide.ConnectError || st == decide.Reset || st == decide.Failed) {
		delete(l.ejectedOnlyByPeers, server)
	}
}

// releaseCounts are the requests served so far, and those refused or failed; and how many took how long.
func (r *Router) releaseCounts() (good, bad int64, speed []int64) {
	s := r.metrics.Snapshot()
	for name := range s.Success {
		good += s.Success[name]
		bad += s.Overload[name] + s.Error[name]
	}
	if r.loop.latencies != nil {
		for i := range r.loop.latencies {
			speed = append(speed, r.loop.latencies[i].Load())
		}
	}
	return good, bad, speed
}

// disabledServers names the servers that are left out by the fleet's word.
func (l *loop) disabledServers(ctx context.Context) (names []string) {
	_ = l.call(ctx, func() error { // where the loop has ended, nothing is left out
		names = slices.Collect(maps.Keys(l.disabledByFleet))
		return nil
	})
	return names
}

// openAttempts counts the attempts that are out at servers, and the values that come from them.
func (l *loop) openAttempts(ctx context.Context, servers []string) (n int, err error) {
	err = l.call(ctx, func() error {
		at := map[uint32]bool{}
		for _, name := range servers {
			if id, ok := l.serverIDs.IDs[name]; ok {
				at[id] = true
			}
		}
		for _, r := range l.requests {
			for _, a := range r.attempts {
				if at[a.server] && !a.isDone {
					n++
				}
			}
		}
		for _, r := range l.unanswered {
			if r.isDone && len(r.attempts) > 0 && at[r.attempts[len(r.attempts)-1].server] { // passed through
				n++
			}
		}
		return nil
	})
	return n, err
}

// cacheServerIDs are the ids of all on the list but the origin.
func (l *loop) cacheServerIDs(ctx context.Context) (ids []uint32, err error) {
	err = l.call(ctx, func() error {
		for id, t := range l.targets {
			if !t.isOrigin {
				ids = append(ids, id)
			}
		}
		return nil
	})
	return ids, err
}

// healthCheck probes a server for all routers.
func (l *loop) healthCheck(ctx context.Context, server uint32) (st decide.AttemptStatus, load decide.LoadReport) {
	var t *target
	if err := l.call(ctx, func() error { t = l.targets[server]; return nil }); err != nil || t == nil {
		return decide.ConnectError, decide.NoLoadReport
	}
	ctx, stop := context.WithTimeout(ctx, healthCheckTimeoutMillis*time.Millisecond)
	defer stop()
	st, load = l.upstreams.probe(ctx, t)
	l.trace.Event(l.now(), "probe", "s=%08x status=%d qps=%.1f util=%.3f", server, st, load.RequestsPerSecond, load.Utilization)
	return st, load
}
