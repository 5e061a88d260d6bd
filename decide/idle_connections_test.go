package decide

import (
	"testing"
)

// Guards against refused connections because all routers fill the servers' connection tables with
// idle ones. If a server answers on open connections but refuses new ones, the idle timeout must
// get shorter. Dead servers must not have that effect, and many answers must restore the timeout.
func TestConnectErrorsShortenIdleTimeout(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeoutMillis = 60000
	b, h := newTestBalancer(t, cfg, readyEndpoints(6))
	sendRequest(b, 100010, 1, "read", 9)
	first := h.lastSend().server
	b.AttemptEnded(100050, servedOutcome(1, first, 40))
	b.TimerExpired(105000, housekeepingToken)
	if len(h.closedServers) != 0 {
		t.Fatalf("closed %v though no connection was refused", h.closedServers)
	}
	for _, s := range b.membership.caches[:5] { // these appear to be dead
		b.recordOutcome(s, ConnectError, b.now)
	}
	b.TimerExpired(105050, housekeepingToken)
	if len(h.closedServers) != 0 || b.idleTimeoutMillis != cfg.IdleTimeoutMillis {
		t.Fatalf("idle timeout %v, closed %v after dead servers refused connections", b.idleTimeoutMillis,
			h.closedServers)
	}
	for _, s := range b.membership.caches[:5] { // these are at their limit, as they answer on other connections
		b.recordOutcome(s, OK, b.now)
	}
	b.TimerExpired(105100, housekeepingToken)
	b.TimerExpired(105200, housekeepingToken)
	if len(h.closedServers) != 1 || h.closedServers[0] != first {
		t.Errorf("closed %v, want once server %d, last used 5 s ago", h.closedServers, first)
	}
	for range 1000 {
		b.recordOutcome(b.membership.caches[0], OK, b.now)
	}
	if b.idleTimeoutMillis != cfg.IdleTimeoutMillis {
		t.Errorf("idle timeout %v after a thousand answers, want %v", b.idleTimeoutMillis, cfg.IdleTimeoutMillis)
	}
}
