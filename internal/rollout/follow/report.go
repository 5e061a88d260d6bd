package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/rollout"
)

// reporter reports what the router observes, and acknowledges drain sets. It stores what it has
// reported in the current session.
type reporter struct {
	follower *follower

	// session is the session of the last report; "" before the first one.
	session string
	// reported are the observations that the coordinators have, by server.
	reported map[string]rollout.ServerObservation
	// acknowledgedVersion is the version of the drain set that was acknowledged last.
	acknowledgedVersion uint64
	// isReady is the readiness that was reported last.
	isReady bool
	// counts are the request counts that were reported last.
	counts requestCounts
	// reportedAt is when the last report was accepted, on the process's monotonic clock.
	reportedAt time.Duration
}

// requestCounts are a router's request counts since its process started.
type requestCounts struct {
	served        int64
	failed        int64
	latencyCounts []int64
}

// observedState is what the router observes now, compared with what it has reported in the session.
type observedState struct {
	session string
	// isNewSession reports that the session has no report yet.
	isNewSession bool
	// changed are the observations that differ from the reported ones.
	changed  []rollout.ServerObservation
	isReady  bool
	counts   requestCounts
	requests reportRequests
}

// run sends reports and acknowledgements until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for r.awaitNextCheck(ctx) {
		session := r.follower.options.Client.SessionID()
		if session == "" {
			r.follower.endDrainsByDiscovery(ctx)
			continue
		}
		current, err := r.observe(ctx, session)
		if err != nil {
			continue
		}
		for r.needsReport(current) {
			if !r.report(ctx, &current) {
				break
			}
		}
		r.acknowledge(ctx, session)
	}
}

// awaitNextCheck waits until the next check is due or a drain set has been applied. It returns
// false once ctx has ended. The interval is random, so that the routers of a fleet do not report at
// the same time.
func (r *reporter) awaitNextCheck(ctx context.Context) bool {
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
func (r *reporter) observe(ctx context.Context, session string) (observedState, error) {
	isNewSession := session != r.session
	if isNewSession {
		r.reported = map[string]rollout.ServerObservation{}
		r.acknowledgedVersion = 0
	}
	options := &r.follower.options
	servers, err := options.ObserveServers(ctx)
	if err != nil {
		return observedState{}, err
	}
	current := observedState{
		session:      session,
		isNewSession: isNewSession,
		changed:      r.changes(servers),
		isReady:      options.IsReady(),
		requests:     r.follower.reportRequests(),
	}
	if current.requests.needsCounts {
		current.counts.served, current.counts.failed, current.counts.latencyCounts = options.RequestCounts()
	}
	if !current.requests.needsLatency {
		current.counts.latencyCounts = nil
	}
	return current, nil
}

// changes returns the observations that differ from the reported ones. A server that is no longer
// in the endpoint list gets the status StatusRemoved.
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

// needsReport reports whether the router has observed something that the coordinators don't have.
func (r *reporter) needsReport(current observedState) bool {
	if current.isNewSession || len(current.changed) > 0 || current.isReady != r.isReady {
		return true
	}
	hasAnswered := current.counts.served > r.counts.served || current.counts.failed > r.counts.failed
	return current.requests.needsCounts && hasAnswered && clock.Now()-r.reportedAt >= countsInterval
}

// report sends one report with as many changed observations as a report may contain, and removes
// these from current.changed. After an error it waits until a retry is due, and returns false.
func (r *reporter) report(ctx context.Context, current *observedState) bool {
	options := &r.follower.options
	part := current.changed[:min(len(current.changed), current.requests.maxServers)]
	// If a newer process has replaced this one, the coordinators answer OK, so this is no error.
	_, err := options.Client.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpReport, Report: &rollout.RouterReport{
		Zone:          options.Zone,
		Version:       options.Version,
		IsReady:       current.isReady,
		Servers:       part,
		Served:        current.counts.served,
		Failed:        current.counts.failed,
		LatencyCounts: current.counts.latencyCounts,
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
	r.session = current.session
	r.isReady = current.isReady
	r.counts = current.counts
	r.reportedAt = clock.Now()
	current.isNewSession = false
	current.changed = current.changed[len(part):]
	return true
}

// acknowledge acknowledges the applied drain set, if the session has sent a report and has not yet
// acknowledged this version.
func (r *reporter) acknowledge(ctx context.Context, session string) {
	version := r.follower.version()
	if r.session != session || version <= r.acknowledgedVersion {
		return
	}
	command := rollout.Command{Op: rollout.OpAcknowledgeDrains, DrainVersion: version}
	if _, err := r.follower.options.Client.ExecuteRollout(ctx, command); err != nil {
		logRejection("the coordinators rejected the router's acknowledgement of drains", err)
		clock.Sleep(ctx, client.RetryDelay(err, 0))
		r.session = "" // the coordinators may lack this session's reports: report everything again
		return
	}
	r.acknowledgedVersion = version
}
