package decide

import "math"

const (
	// idleTimeoutGrowth is the factor by which an answer lengthens the time that idle connections
	// are kept.
	idleTimeoutGrowth = 1.01
	// minIdleTimeoutMillis is the shortest time: closing sooner costs a handshake for each request.
	minIdleTimeoutMillis = 200
	// fullTableMillis is how soon after a rejected connection an answer shows that the server is
	// alive.
	fullTableMillis = 1000
)

// adaptIdleTimeout takes that a server has answered. If it has rejected a connection just before,
// it lives, and its table is full of idle connections: all routers then keep theirs half as long.
func (b *Balancer) adaptIdleTimeout(s *server) {
	b.idleTimeoutMillis = min(b.cfg.IdleTimeoutMillis, idleTimeoutGrowth*b.idleTimeoutMillis)
	if b.now-s.connection.rejectedAt < fullTableMillis {
		b.idleTimeoutMillis = max(minIdleTimeoutMillis, b.idleTimeoutMillis/2)
		s.connection.rejectedAt = math.Inf(-1)
	}
}

// closeIfIdle closes the idle connections to a server that are kept for too long. Without need they
// are left to close by themselves.
func (b *Balancer) closeIfIdle(s *server) {
	if !s.connection.mayBeOpen || s.attempts.inFlight > 0 || b.idleTimeoutMillis >= b.cfg.IdleTimeoutMillis {
		return
	}
	if b.now > s.attempts.lastSentAt+b.idleTimeoutMillis {
		s.connection.mayBeOpen = false
		b.host.CloseIdle(s.ID)
	}
}
