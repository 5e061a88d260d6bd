package decide

import (
	"testing"
)

// A router of a large fleet sees few requests. It must send fewer health checks than requests, to
// the servers in turn.
func TestHealthChecksAreAPartOfTheRequests(t *testing.T) {
	cfg := testConfig()
	cfg.LoadByHealthCheck = true
	cfg.HealthChecks = true
	cfg.Routers = 600
	b, h := start(t, cfg, fleet(100))
	n := uint32(0)
	for now := 100000.0; now < 160000; now += 100 {
		b.TimerExpired(now, housekeepingToken)
		if int(now)%400 == 0 { // 2.5 requests a second
			n++
			ask(b, now, n, "read", uint64(n))
			b.AttemptEnded(now, served(n, h.last().server, 1))
		}
	}
	if most := 0.2 * float64(n); float64(len(h.healthChecks)) > most || len(h.healthChecks) < int(n)/10 {
		t.Errorf("%d health checks for %d requests, want 0.1 to 0.2 each", len(h.healthChecks), n)
	}
	seen := map[uint32]bool{}
	for _, id := range h.healthChecks {
		seen[id] = true
	}
	if len(seen) != len(h.healthChecks) {
		t.Errorf("%d health checks went to %d servers: want them in turn", len(h.healthChecks), len(seen))
	}
}

// A router of a large fleet would meet each server's report once in a minute. It must nearly stop
// its health checks once the kinds are known; a router of a small one must go on.
func TestHealthChecksStopWhereTheyTellLittle(t *testing.T) {
	for _, c := range []struct {
		servers, perSecond int
		least, most        float64 // health checks for each arrival, late in the day
	}{{12, 100, 0.14, 0.16}, {150, 17, 0.005, 0.03}} {
		cfg := testConfig()
		cfg.Routers = 300
		cfg.LoadByHealthCheck = true
		cfg.HealthChecks = true
		b, h := start(t, cfg, fleet(c.servers))
		id := uint32(0)
		late := 0
		for i := range 30 * c.perSecond {
			now := 100010 + float64(i)*1000/float64(c.perSecond)
			id++
			ask(b, now, id, "read", uint64(id%50))
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				b.AttemptEnded(now+1, served(id, h.last().server, 50))
			}
			b.TimerExpired(now+2, housekeepingToken)
			for _, s := range h.healthChecks {
				b.HealthCheckEnded(now+3, s, OK, loadReport(20+float64(i%7), 0.4))
			}
			if i >= 15*c.perSecond {
				late += len(h.healthChecks)
			}
			h.healthChecks = h.healthChecks[:0]
		}
		// At the least 700 ms pass between two checks of a server.
		most := min(c.most, float64(c.servers)/0.7/float64(c.perSecond))
		if got := float64(late) / float64(15*c.perSecond); got < min(c.least, 0.8*most) || got > most {
			t.Errorf("%d servers at %d a second: %.3f health checks for each arrival, want %.3f to %.3f",
				c.servers, c.perSecond, got, c.least, most)
		}
	}
}
