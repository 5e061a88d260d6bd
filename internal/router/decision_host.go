package router

// The methods of decide.Host beside Send and Cancel: what the Balancer asks of the network. They are
// called on the loop, from within a call of the Balancer; what they would call it back with is
// deferred to the end of that.

import (
	"context"
	"log/slog"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Reject answers a request with a Retry-After in milliseconds. It has not run.
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

// healthCheckTimeout is the time for the answer to a health check, its connection included.
const healthCheckTimeout = 500 * time.Millisecond

// HealthCheck asks a server for its load, unless another router of the fleet has just asked it.
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

// deferHealthCheck gives the Balancer the outcome of a health check after its present call.
func (l *loop) deferHealthCheck(server uint32, status decide.AttemptStatus, load decide.LoadReport) {
	l.deferred = append(l.deferred, func() { l.balancer.HealthCheckEnded(l.now(), server, status, load) })
}

// checkTarget carries a health check out. Any goroutine may call it but the loop's, which it would
// block.
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

// SetTimer calls the Balancer's TimerExpired with the token after so many milliseconds.
func (l *loop) SetTimer(afterMillis float64, token uint64) {
	l.after(afterMillis, func() { l.balancer.TimerExpired(l.now(), token) })
}

// WatchEndpoints polls discovery, which is then watched for changes.
func (l *loop) WatchEndpoints() {
	if l.discovery != nil {
		l.discovery.requestWatch()
	}
}

// Gossip sends nothing: the decision module has nothing to share with other routers.
func (l *loop) Gossip([]byte) {}

// Log logs a line of the decision module.
func (l *loop) Log(text string) { slog.Info("module", "text", text) }
