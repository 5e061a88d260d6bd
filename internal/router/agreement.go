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

// CoordinationConfig configures the router as a client of the coordinators. Requests never wait for
// them.
type CoordinationConfig struct {
	// Coordinators are the coordinators' addresses by name.
	Coordinators map[string]string
	// SessionTTL is the time to live of the router's session and leases.
	SessionTTL time.Duration
	// SharesHealthChecks is set if routers share health checks: one router checks a server for all.
	SharesHealthChecks bool
	// HealthCheckInterval is the interval between two health checks of a server.
	HealthCheckInterval time.Duration
	// MaxHealthReportAge is the maximum age of a health check's report that is still used.
	MaxHealthReportAge time.Duration
	// FollowsDrains is set if the router takes part in the fleet's drains and releases.
	FollowsDrains bool
	// VersionLabel is the label of the program's version in releases.
	VersionLabel string
}

// followsDrains reports whether the router takes part in the fleet's drains.
func (c *Config) followsDrains() bool { return c.Coordination != nil && c.Coordination.FollowsDrains }

// initialDrainsTimeout is how long a starting router waits for the list of drained servers.
const initialDrainsTimeout = 2 * time.Second

// runCoordination runs the client of the coordinators until ctx ends. Shared health checks end when
// stop ends. onDrainsKnown is called once the drains known at the start are in effect.
func (r *Router) runCoordination(ctx, stop context.Context, config *CoordinationConfig, onDrainsKnown func()) {
	client := leases.New(leases.Options{
		Coordinators: config.Coordinators,
		ClientName:   "router/" + r.cfg.Name,
		TTL:          config.SessionTTL,
		Log:          slog.Default(),
	})
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { client.Run(ctx) })
	if config.SharesHealthChecks {
		wg.Go(func() { r.runHealthChecks(stop, config, client) })
	}
	if config.FollowsDrains {
		follow.Run(ctx, follow.Options{
			Client:          client,
			Zone:            r.cfg.settings.Config.Zone,
			Version:         config.VersionLabel,
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

// setDrained disables a server that the fleet drains, or enables it again after the drain.
func (r *Router) setDrained(ctx context.Context, server string, isDrained bool) error {
	return r.disable(ctx, disableCall{ServerID: server, Disabled: isDrained, IsListed: true, ByFleet: true}, nil)
}

// runHealthChecks runs this router's part of the fleet's shared health checks until ctx ends.
func (r *Router) runHealthChecks(ctx context.Context, config *CoordinationConfig, client *leases.Client) {
	healthcheck.Run(ctx, healthcheck.Options{
		Client:    client,
		LeaseTTL:  config.SessionTTL,
		Interval:  config.HealthCheckInterval,
		Reports:   r.loop.healthReports,
		NowMillis: r.loop.now,
		Servers:   r.loop.cacheServerIDs,
		Probe:     r.loop.healthCheck,
	})
}

// observeServers returns this router's observations of all listed cache servers. Like all functions
// below, it may be called from any goroutine except the loop's, unless stated otherwise.
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

// observeServer returns this router's observation of a server. Ejections that only other routers
// have reported are not evidence of this router. It runs on the loop.
func (l *loop) observeServer(name string, e listEntry) rollout.ServerObservation {
	observation := rollout.ServerObservation{
		Name:        name,
		Zone:        e.Zone,
		Incarnation: strconv.FormatFloat(e.StartedMillis, 'f', -1, 64),
		Status:      rollout.StatusServing,
	}
	id, isKnown := l.serverIDs.IDs[name]
	switch {
	case failpoint.IsInjected("lies-all") || failpoint.IsInjected("lies-some") && isKnown && id%5 == 0: // for lab tests
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

// requestCounts returns how many requests were served, and how many were rejected or failed.
// latencies counts the served requests by rollout.LatencyBucket of latency divided by objective.
// Any goroutine may call it.
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

// disabledServers returns the names of the servers disabled by the fleet; none once the loop has
// ended.
func (l *loop) disabledServers(ctx context.Context) (names []string) {
	_ = l.call(ctx, func() error {
		names = slices.Collect(maps.Keys(l.disabledByFleet))
		return nil
	})
	return names
}

// openAttempts counts the attempts in flight at servers and the values being streamed from them.
func (l *loop) openAttempts(ctx context.Context, servers []string) (n int, err error) {
	err = l.call(ctx, func() error {
		n = l.countOpenAttempts(l.knownServerIDs(servers))
		return nil
	})
	return n, err
}

// knownServerIDs returns the ids of the named servers, without those that were never listed. It
// runs on the loop.
func (l *loop) knownServerIDs(names []string) map[uint32]bool {
	ids := map[uint32]bool{}
	for _, name := range names {
		if id, ok := l.serverIDs.IDs[name]; ok {
			ids[id] = true
		}
	}
	return ids
}

// countOpenAttempts counts the attempts in flight at servers and the values being streamed from them.
func (l *loop) countOpenAttempts(servers map[uint32]bool) (n int) {
	for server := range servers {
		n += len(l.attempts[server])
	}
	return n
}

// cacheServerIDs returns the ids of all listed servers except the origin.
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

// healthCheck checks a server's health on behalf of all routers.
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
