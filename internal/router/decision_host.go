package router

// The methods of decide.Host beside Send and Cancel: what the Balancer asks of the network.

import (
	"context"
	"log/slog"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Reject answers that trying again is harmless.
func (l *loop) Reject(id uint32, wait float64) {
	if r := l.requests[id]; r != nil {
		l.finish(r, rejectedAnswer(wait), metrics.Overload)
	}
}

// Fail answers with no promise.
func (l *loop) Fail(id uint32) {
	if r := l.requests[id]; r != nil {
		l.finish(r, failedAnswer(), metrics.Error)
	}
}

// healthCheckTimeoutMillis is how long a probe is waited for, in milliseconds.
const healthCheckTimeoutMillis = 500

// HealthCheck asks a server for its load.
func (l *loop) HealthCheck(server uint32) {
	t := l.targets[server]
	if t == nil {
		l.deferred = append(l.deferred, func() { l.balancer.HealthCheckEnded(l.now(), server, decide.ConnectError, decide.NoLoadReport) })
		return
	}
	if l.healthReports != nil {
		if load, ok := l.healthReports.Lookup(l.now(), server); ok { // another router has asked it
			l.trace.Event(l.now(), "probe-told", "s=%08x qps=%.1f util=%.3f", server, load.RequestsPerSecond, load.Utilization)
			l.deferred = append(l.deferred, func() { l.balancer.HealthCheckEnded(l.now(), server, decide.OK, load) })
			return
		}
	}
	l.background.Go(func() {
		ctx, stop := context.WithTimeout(l.ctx, healthCheckTimeoutMillis*time.Millisecond)
		defer stop()
		st, load := l.upstreams.probe(ctx, t)
		l.trace.Event(l.now(), "probe", "s=%08x status=%d qps=%.1f util=%.3f", server, st, load.RequestsPerSecond, load.Utilization)
		l.post(func() { l.balancer.HealthCheckEnded(l.now(), server, st, load) })
	})
}

// CloseIdle closes the idle connections to a server.
func (l *loop) CloseIdle(server uint32) {
	if t := l.targets[server]; t != nil {
		l.upstreams.closeIdle(t)
	}
}

// SetTimer calls the Balancer's Timer after that many milliseconds.
func (l *loop) SetTimer(after float64, token uint64) {
	l.after(after, func() { l.balancer.TimerExpired(l.now(), token) })
}

// WatchEndpoints asks discovery for changes from now on.
func (l *loop) WatchEndpoints() {
	if l.discovery != nil {
		l.discovery.requestWatch()
	}
}

// Gossip sends nothing: the module has nothing to tell other routers.
func (l *loop) Gossip([]byte) {}

// Log writes a line of the module's.
func (l *loop) Log(text string) { slog.Info("module", "text", text) }
