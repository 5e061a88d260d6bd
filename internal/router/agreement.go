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
	// Coordinators are the coordinators' addresses by name.
	Coordinators map[string]string
	// TTL is that of the router's session and leases.
	TTL time.Duration
	// Probes is set where one router health-checks a server for all.
	Probes bool
	// ProbeEvery is the time between two health checks of a server.
	ProbeEvery time.Duration
	// ProbeStale is how old the report of a health check may be that counts.
	ProbeStale time.Duration
	// Drains is set where the router takes part in drains and releases of the fleet.
	Drains bool
	// Label is what the program's version is called there.
	Label string
}

// followsDrains reports whether the router takes part in the fleet's drains.
func (c *Config) followsDrains() bool { return c.Agreement != nil && c.Agreement.Drains }

// drainsKnownTimeout is how long a router waits at its start to learn which servers are drained.
const drainsKnownTimeout = 2 * time.Second

// runAgreement takes part in what the fleet agrees on until ctx ends. It takes on health checks until
// stop ends. onDrainsKnown is called once the drains of the start are in force.
func (r *Router) runAgreement(ctx, stop context.Context, a *Agreement, onDrainsKnown func()) {
	client := leases.New(leases.Options{
		Coordinators: a.Coordinators,
		ClientName:   "router/" + r.cfg.Name,
		TTL:          a.TTL,
		Log:          slog.Default(),
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { client.Run(ctx) })
	if a.Probes {
		wg.Go(func() { r.runHealthChecks(stop, a, client) })
	}
	if a.Drains {
		follow.Run(ctx, follow.Options{
			Client:          client,
			Zone:            r.cfg.settings.Config.Zone,
			Version:         a.Label,
			IsReady:         r.Ready,
			ObserveServers:  r.loop.observeServers,
			OpenAttempts:    r.loop.openAttempts,
			InheritedDrains: r.loop.disabledServers,
			RequestCounts:   r.requestCounts,
			OnFirstDrainSet: onDrainsKnown,
			SetEjected:      r.loop.setPeerEjections,
			SetDrained:      r.setDrained,
		})
	}
}

// setDrained disables a server that the fleet drains, or enables it again.
func (r *Router) setDrained(ctx context.Context, server string, isDrained bool) error {
	return r.disable(ctx, disableCall{ServerID: server, Disabled: isDrained, IsListed: true, ByFleet: true}, nil)
}

// runHealthChecks takes part in the fleet's shared health checks until ctx ends.
func (r *Router) runHealthChecks(ctx context.Context, a *Agreement, client *leases.Client) {
	healthcheck.Run(ctx, healthcheck.Options{
		Client:    client,
		LeaseTTL:  a.TTL,
		Interval:  a.ProbeEvery,
		Reports:   r.loop.healthReports,
		NowMillis: r.loop.now,
		Servers:   r.loop.cacheServerIDs,
		Probe:     r.loop.healthCheck,
	})
}

// observeServers are all cache servers of the list, as this router sees them. It may be called from
// any goroutine but the loop's, as may all functions below.
func (l *loop) observeServers(ctx context.Context) (observations []rollout.ServerObservation, err error) {
	err = l.call(ctx, func() error {
		for name, e := range l.entries {
			if e.Kind != l.originKind {
				observations = append(observations, l.observeServer(name, e))
			}
		}
		l.forgetUnlistedEjections()
		return nil
	})
	return observations, err
}

// observeServer is a server as this router sees it. What other routers have reported of it is no
// evidence of this one.
func (l *loop) observeServer(name string, e listEntry) rollout.ServerObservation {
	observation := rollout.ServerObservation{
		Name:        name,
		Zone:        e.Zone,
		Incarnation: strconv.FormatFloat(e.StartedMillis, 'f', -1, 64),
		Status:      rollout.StatusServing,
	}
	id, isKnown := l.serverIDs.IDs[name]
	switch {
	case failpoint.IsInjected("lies-all") || failpoint.IsInjected("lies-some") && isKnown && id%5 == 0: // for the laboratory
		observation.Status = rollout.StatusFailing
	case e.State != stateReady:
		observation.Status = rollout.StatusDraining
	case isKnown && l.balancer.IsEjected(id):
		if !l.ejectedOnlyByPeers[id] || failpoint.IsInjected("gossip-counts") {
			observation.Status = rollout.StatusFailing
		}
	default:
		delete(l.ejectedOnlyByPeers, id)
	}
	return observation
}

// requestCounts are the requests served so far and those rejected or failed, and how many of the
// former took how much of their latency objective, by rollout.LatencyBucket. Any goroutine may call
// it.
func (r *Router) requestCounts() (served, unserved int64, latencies []int64) {
	s := r.metrics.Snapshot()
	for name := range s.Success {
		served += s.Success[name]
		unserved += s.Overload[name] + s.Error[name]
	}
	if r.loop.latencies != nil {
		for i := range r.loop.latencies {
			latencies = append(latencies, r.loop.latencies[i].Load())
		}
	}
	return served, unserved, latencies
}

// disabledServers names the servers that the fleet has disabled; none where the loop has ended.
func (l *loop) disabledServers(ctx context.Context) (names []string) {
	_ = l.call(ctx, func() error {
		names = slices.Collect(maps.Keys(l.disabledByFleet))
		return nil
	})
	return names
}

// openAttempts counts the attempts that are out at servers, and the values that are streamed from
// them.
func (l *loop) openAttempts(ctx context.Context, servers []string) (n int, err error) {
	err = l.call(ctx, func() error {
		n = l.countOpenAttempts(l.knownServerIDs(servers))
		return nil
	})
	return n, err
}

// knownServerIDs is the set of the ids of servers, without those that no list has had.
func (l *loop) knownServerIDs(names []string) map[uint32]bool {
	ids := map[uint32]bool{}
	for _, name := range names {
		if id, ok := l.serverIDs.IDs[name]; ok {
			ids[id] = true
		}
	}
	return ids
}

func (l *loop) countOpenAttempts(servers map[uint32]bool) (n int) {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if servers[a.server] && !a.isDone {
				n++
			}
		}
	}
	for _, r := range l.unanswered {
		isStreamed := r.isDone && len(r.attempts) > 0
		if isStreamed && servers[r.attempts[len(r.attempts)-1].server] {
			n++
		}
	}
	return n
}

// cacheServerIDs are the ids of all servers on the list but the origin.
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

// healthCheck makes a health check of a server for all routers.
func (l *loop) healthCheck(ctx context.Context, server uint32) (decide.AttemptStatus, decide.LoadReport) {
	var t *target
	err := l.call(ctx, func() error {
		t = l.targets[server]
		return nil
	})
	if err != nil || t == nil {
		return decide.ConnectError, decide.NoLoadReport
	}
	return l.checkTarget(ctx, server, t)
}
