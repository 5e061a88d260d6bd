package router

// The methods of decide.Host other than Send and Cancel. The Balancer calls them on the loop. They
// defer calls back into the Balancer until its current call has returned.

import (
	"context"
	"log/slog"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Reject answers a request that has not run, with a Retry-After in milliseconds.
func (l *loop) Reject(id uint32, retryAfterMillis float64) {
	if r := l.requests[id]; r != nil {
		l.finish(r, rejectedAnswer(retryAfterMillis), metrics.Overload)
	}
}

// Fail answers a request that has failed and may have run.
func (l *loop) Fail(id uint32) {
	if r := l.requests[id]; r != nil {
		l.finish(r, failedAnswer(), metrics.Error)
	}
}

// healthCheckTimeout is the timeout of a health check, including the connection.
const healthCheckTimeout = 500 * time.Millisecond

// HealthCheck requests a server's load, unless a recent report of another router is available.
func (l *loop) HealthCheck(server uint32) {
	t := l.targets[server]
	if t == nil {
		l.deferHealthCheck(server, decide.ConnectError, decide.NoLoadReport)
		return
	}
	if l.healthReports != nil {
		if load, ok := l.healthReports.Lookup(l.now(), server); ok {
			l.trace.Event(l.now(), "probe-told", "s=%08x qps=%.1f util=%.3f",
				server, load.RequestsPerSecond, load.Utilization)
			l.deferHealthCheck(server, decide.OK, load)
			return
		}
	}
	l.background.Go(func() { // ends within healthCheckTimeout
		status, load := l.checkTarget(l.ctx, server, t)
		l.post(func() { l.balancer.HealthCheckEnded(l.now(), server, status, load) })
	})
}

// deferHealthCheck reports a health check's outcome to the Balancer after its current call.
func (l *loop) deferHealthCheck(server uint32, status decide.AttemptStatus, load decide.LoadReport) {
	l.deferred = append(l.deferred, func() { l.balancer.HealthCheckEnded(l.now(), server, status, load) })
}

// checkTarget performs a health check. It blocks, so the loop must not call it; any other goroutine
// may.
func (l *loop) checkTarget(ctx context.Context, server uint32, t *target) (decide.AttemptStatus, decide.LoadReport) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	status, load := l.upstreams.checkHealth(ctx, t)
	l.trace.Event(l.now(), "probe", "s=%08x status=%d qps=%.1f util=%.3f",
		server, status, load.RequestsPerSecond, load.Utilization)
	return status, load
}

// CloseIdle closes the idle connections to a server.
func (l *loop) CloseIdle(server uint32) {
	if t := l.targets[server]; t != nil {
		l.upstreams.closeIdle(t)
	}
}

// SetTimer calls the Balancer's TimerExpired with token after afterMillis.
func (l *loop) SetTimer(afterMillis float64, token uint64) {
	l.after(afterMillis, func() {
		l.turns.kind = turnDecisionTimer
		l.balancer.TimerExpired(l.now(), token)
	})
}

// WatchEndpoints requests a watch of discovery.
func (l *loop) WatchEndpoints() {
	if l.discovery != nil {
		l.discovery.requestWatch()
	}
}

// Gossip does nothing: the decision module shares no data with other routers.
func (l *loop) Gossip([]byte) {}

// Log logs a message of the decision module.
func (l *loop) Log(text string) { slog.Info("decision module", "text", text) }
