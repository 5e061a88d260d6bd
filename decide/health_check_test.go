package decide

import (
	"testing"
)

// Guards against a router of a large fleet that sends more health checks than requests, or always
// to the same servers.
func TestHealthChecksAreFewerThanRequests(t *testing.T) {
	cfg := testConfig()
	cfg.LoadByHealthCheck = true
	cfg.HealthChecksAllowed = true
	cfg.Routers = 600
	b, h := newTestBalancer(t, cfg, readyEndpoints(100))
	requests := uint32(0)
	for now := 100000.0; now < 160000; now += 100 {
		b.TimerExpired(now, housekeepingToken)
		if int(now)%400 == 0 { // 2.5 requests per second
			requests++
			sendRequest(b, now, requests, "read", uint64(requests))
			b.AttemptEnded(now, servedOutcome(requests, h.lastSend().server, 1))
		}
	}
	if maxChecks := 0.2 * float64(requests); float64(len(h.healthChecks)) > maxChecks ||
		len(h.healthChecks) < int(requests)/10 {
		t.Errorf("%d health checks for %d requests, want 0.1 to 0.2 each", len(h.healthChecks), requests)
	}
	checked := map[uint32]bool{}
	for _, id := range h.healthChecks {
		checked[id] = true
	}
	if len(checked) != len(h.healthChecks) {
		t.Errorf("%d health checks went to %d servers: want them in turn", len(h.healthChecks), len(checked))
	}
}

// Guards against useless health checks: a router of a large fleet would get each server's report
// only once per minute. It must nearly stop its checks once the capacities by kind are known, while
// a router of a small fleet must continue.
func TestHealthChecksNearlyStopInALargeFleet(t *testing.T) {
	for _, c := range []struct {
		servers, perSecond   int
		minChecks, maxChecks float64 // health checks per arrival after 15 s
	}{{12, 100, 0.14, 0.16}, {150, 17, 0.005, 0.03}} {
		cfg := testConfig()
		cfg.Routers = 300
		cfg.LoadByHealthCheck = true
		cfg.HealthChecksAllowed = true
		b, h := newTestBalancer(t, cfg, readyEndpoints(c.servers))
		id := uint32(0)
		checks := 0
		for i := range 30 * c.perSecond {
			now := 100010 + float64(i)*1000/float64(c.perSecond)
			id++
			sendRequest(b, now, id, "read", uint64(id%50))
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				b.AttemptEnded(now+1, servedOutcome(id, h.lastSend().server, 50))
			}
			b.TimerExpired(now+2, housekeepingToken)
			for _, s := range h.healthChecks {
				b.HealthCheckEnded(now+3, s, OK, loadReport(20+float64(i%7), 0.4))
			}
			if i >= 15*c.perSecond {
				checks += len(h.healthChecks)
			}
			h.healthChecks = h.healthChecks[:0]
		}
		// At least 700 ms pass between two checks of a server.
		maxChecks := min(c.maxChecks, float64(c.servers)/0.7/float64(c.perSecond))
		if got := float64(checks) / float64(15*c.perSecond); got < min(c.minChecks, 0.8*maxChecks) || got > maxChecks {
			t.Errorf("%d servers at %d requests per second: %.3f health checks per arrival, want %.3f to %.3f",
				c.servers, c.perSecond, got, c.minChecks, maxChecks)
		}
	}
}
