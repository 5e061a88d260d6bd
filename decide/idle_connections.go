package decide

import "math"

const (
	// idleTimeoutGrowth is the factor by which an answer increases the idle timeout.
	idleTimeoutGrowth = 1.01
	// minIdleTimeoutMillis is the shortest idle timeout: a shorter one costs a handshake per
	// request.
	minIdleTimeoutMillis = 200
	// connectionLimitWindowMillis is the time after a refused connection within which an answer
	// shows that the server is alive and at its connection limit.
	connectionLimitWindowMillis = 1000
)

// adaptIdleTimeout adapts the idle timeout to an answer of a server. If the server has just refused
// a connection, it is alive but at its connection limit because of idle connections. Every router
// then halves its idle timeout.
func (b *Balancer) adaptIdleTimeout(s *server) {
	b.idleTimeoutMillis = min(b.cfg.IdleTimeoutMillis, idleTimeoutGrowth*b.idleTimeoutMillis)
	if b.now-s.connection.refusedAt < connectionLimitWindowMillis {
		b.idleTimeoutMillis = max(minIdleTimeoutMillis, b.idleTimeoutMillis/2)
		s.connection.refusedAt = math.Inf(-1)
	}
}

// isIdleTimeoutShortened reports whether servers have made the idle timeout shorter than the settings.
func (b *Balancer) isIdleTimeoutShortened() bool {
	return b.idleTimeoutMillis < b.cfg.IdleTimeoutMillis
}

// closeIfIdle closes the connections to a server that have exceeded the idle timeout. Unless
// the timeout has been shortened, connections are left to close by themselves.
func (b *Balancer) closeIfIdle(s *server) {
	if !s.connection.mayBeOpen || s.attempts.inFlight > 0 || !b.isIdleTimeoutShortened() {
		return
	}
	if b.now > s.attempts.lastSentAt+b.idleTimeoutMillis {
		s.connection.mayBeOpen = false
		b.host.CloseIdle(s.ID)
	}
}
