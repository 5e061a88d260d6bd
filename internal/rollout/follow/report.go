package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/rollout"
)

// reporter reports what the router observes, and acknowledges drain sets. It holds what was
// reported in one session.
type reporter struct {
	follower *follower

	// session is the session in which something was reported; "" before the first report.
	session string
	// reported are the observations that the coordinators have.
	reported map[string]rollout.ServerObservation
	// acknowledgedVersion is the drain set's version that was acknowledged last.
	acknowledgedVersion uint64
	// isReady is as reported last.
	isReady bool
	// counts are those reported last.
	counts requestCounts
	// reportedAt is when the last report was taken, on the process's monotonic clock.
	reportedAt time.Duration
}

// requestCounts are a router's counts of requests since its process began.
type requestCounts struct {
	served        int64
	failed        int64
	latencyCounts []int64
}

// observed is what the router observes now, beside what it has reported.
type observed struct {
	session string
	// isNewSession tells that nothing was reported in the session yet.
	isNewSession bool
	// changed are the observations that differ from the reported ones.
	changed  []rollout.ServerObservation
	isReady  bool
	counts   requestCounts
	requests reportRequests
}

// run reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for r.wait(ctx) {
		session := r.follower.options.Client.SessionID()
		if session == "" {
			r.follower.endDrainsByDiscovery(ctx)
			continue
		}
		now, err := r.observe(ctx, session)
		if err != nil {
			continue
		}
		for r.needsReport(now) {
			if !r.report(ctx, &now) {
				break
			}
		}
		r.acknowledge(ctx, session)
	}
}

// wait waits until it is time to look, or a drain set is in force; false once ctx has ended. The
// interval is spread, so that the routers of a fleet do not report together.
func (r *reporter) wait(ctx context.Context) bool {
	interval := reportInterval
	if r.follower.reportRequests().isPrompt {
		interval = promptReportInterval
	}
	select {
	case <-ctx.Done():
		return false
	case <-r.follower.appliedVersionChanged:
	case <-time.After(interval/2 + rand.N(interval)):
	}
	return true
}

// observe compares what the router observes with what it has reported in the session.
func (r *reporter) observe(ctx context.Context, session string) (observed, error) {
	isNewSession := session != r.session
	if isNewSession {
		r.reported = map[string]rollout.ServerObservation{}
		r.acknowledgedVersion = 0
	}
	options := &r.follower.options
	servers, err := options.ObserveServers(ctx)
	if err != nil {
		return observed{}, err
	}
	now := observed{
		session:      session,
		isNewSession: isNewSession,
		changed:      r.changes(servers),
		isReady:      options.IsReady(),
		requests:     r.follower.reportRequests(),
	}
	if now.requests.wantsCounts {
		now.counts.served, now.counts.failed, now.counts.latencyCounts = options.RequestCounts()
	}
	if !now.requests.wantsLatency {
		now.counts.latencyCounts = nil
	}
	return now, nil
}

// changes are the observations that differ from the reported ones. A server that is not observed
// any more is reported as removed.
func (r *reporter) changes(servers []rollout.ServerObservation) (changed []rollout.ServerObservation) {
	isObserved := map[string]bool{}
	for _, server := range servers {
		isObserved[server.Name] = true
		if r.reported[server.Name] != server {
			changed = append(changed, server)
		}
	}
	for name, server := range r.reported {
		if !isObserved[name] && server.Status != rollout.StatusRemoved {
			server.Status = rollout.StatusRemoved
			changed = append(changed, server)
		}
	}
	return changed
}

// needsReport tells whether the coordinators do not know what the router observes.
func (r *reporter) needsReport(now observed) bool {
	if now.isNewSession || len(now.changed) > 0 || now.isReady != r.isReady {
		return true
	}
	hasAnswered := now.counts.served > r.counts.served || now.counts.failed > r.counts.failed
	return now.requests.wantsCounts && hasAnswered && clock.Now()-r.reportedAt >= countsInterval
}

// report sends one report, with as many changed observations as one may have, and takes these from
// now.changed. It returns false after an error, once the time to come back is over.
func (r *reporter) report(ctx context.Context, now *observed) bool {
	options := &r.follower.options
	part := now.changed[:min(len(now.changed), now.requests.maxServers)]
	// A process that a newer one has replaced is answered OK: that is no error.
	_, err := options.Client.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{
		Zone:          options.Zone,
		Version:       options.Version,
		IsReady:       now.isReady,
		Servers:       part,
		Served:        now.counts.served,
		Failed:        now.counts.failed,
		LatencyCounts: now.counts.latencyCounts,
	}})
	if err != nil {
		logRejection("the coordinators rejected the router's report", err)
		clock.Sleep(ctx, client.RetryDelay(err, 0))
		return false
	}
	for _, server := range part {
		if server.Status == rollout.StatusRemoved {
			delete(r.reported, server.Name)
		} else {
			r.reported[server.Name] = server
		}
	}
	r.session = now.session
	r.isReady = now.isReady
	r.counts = now.counts
	r.reportedAt = clock.Now()
	now.isNewSession = false
	now.changed = now.changed[len(part):]
	return true
}

// acknowledge acknowledges the drain set in force, if the session has reported and not acknowledged
// it.
func (r *reporter) acknowledge(ctx context.Context, session string) {
	version := r.follower.version()
	if r.session != session || version <= r.acknowledgedVersion {
		return
	}
	command := rollout.Command{Op: rollout.OpAcknowledgeDrains, DrainVersion: version}
	if _, err := r.follower.options.Client.ExecuteRollout(ctx, command); err != nil {
		logRejection("the coordinators rejected the router's acknowledgement of drains", err)
		clock.Sleep(ctx, client.RetryDelay(err, 0))
		r.session = "" // the coordinators may not know of this session's reports: report all anew
		return
	}
	r.acknowledgedVersion = version
}
