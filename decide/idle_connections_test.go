package decide

import (
	"testing"
)

// Servers that answer on open connections reject new ones, as all routers fill their tables with
// idle ones. A router must close its own sooner. Servers that are dead must not have that effect,
// and many answers bring the time back.
func TestConnectErrorsShortenTheTimeThatConnectionsAreKept(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeoutMillis = 60000
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "read", 9)
	first := h.last().server
	b.AttemptEnded(100050, served(1, first, 40))
	b.TimerExpired(105000, housekeepingToken)
	if len(h.closes) != 0 {
		t.Fatalf("closed %v though no connect failed", h.closes)
	}
	for _, s := range b.membership.caches[:5] { // dead, for all that is known
		b.observe(s, ConnectError, b.now)
	}
	b.TimerExpired(105050, housekeepingToken)
	if len(h.closes) != 0 || b.idleTimeoutMillis != cfg.IdleTimeoutMillis {
		t.Fatalf("kept for %v and closed %v after connects that dead servers rejected", b.idleTimeoutMillis, h.closes)
	}
	for _, s := range b.membership.caches[:5] { // full, as they serve on other connections
		b.observe(s, OK, b.now)
	}
	b.TimerExpired(105100, housekeepingToken)
	b.TimerExpired(105200, housekeepingToken)
	if len(h.closes) != 1 || h.closes[0] != first {
		t.Errorf("closed %v, want once the server used last 5 s ago, %d", h.closes, first)
	}
	for range 1000 {
		b.observe(b.membership.caches[0], OK, b.now)
	}
	if b.idleTimeoutMillis != cfg.IdleTimeoutMillis {
		t.Errorf("kept for %v after a thousand answers, want %v", b.idleTimeoutMillis, cfg.IdleTimeoutMillis)
	}
}
