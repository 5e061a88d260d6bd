package decide

import (
	"math"
	"testing"
)

// Guards against a model with infinite values, or shares outside 0 to 1, after reports with absent,
// infinite or implausible figures.
func TestImplausibleReportsKeepTheModelFinite(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(4))
	inf := math.Inf(1)
	for i, l := range []LoadReport{
		NoLoadReport,
		{},
		{RequestsPerSecond: 5},
		{Utilization: 5},
		{RequestsPerSecond: inf, Utilization: 0.5},
		{RequestsPerSecond: 5, Utilization: inf - inf},
		{RequestsPerSecond: 1e8, Utilization: 1e-9},
		{RequestsPerSecond: 1e-9, Utilization: 1e8},
		{RequestsPerSecond: -3, Utilization: 0.5},
	} {
		for j, e := range readyEndpoints(4) {
			report := l
			report.RequestsPerSecond += float64(j)
			b.HealthCheckEnded(100010+float64(i), e.ID, OK, report)
		}
		for r := range uint32(40) {
			id := uint32(i)*100 + r
			sendRequest(b, 100010+float64(i), id, "read", uint64(r%3))
			o := servedOutcome(id, h.lastSend().server, 10)
			o.Load = l
			b.AttemptEnded(100010+float64(i), o)
		}
		b.solve()
		for _, s := range b.membership.caches {
			arrivals := s.model.arrivalsPerSecond
			if s.model.channels < 1 || s.model.channels > 256 || !(arrivals >= 0 && arrivals <= 1e12) {
				t.Errorf("report %v: %d channels, load %v", l, s.model.channels, s.model.arrivalsPerSecond)
			}
		}
		for _, k := range b.keys.byID {
			for _, p := range k.shares {
				if p != p || p < 0 || p > 1+1e-9 {
					t.Errorf("report %v: share %v", l, p)
				}
			}
		}
	}
}

// Guards against overloaded servers in the first second of a router, when no server has reported
// its load: of 600 requests at once, each server must get a few and not all.
func TestServersWithoutReportsAreNotOverloaded(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(6), Endpoint{ID: 77, Kind: "origin"}))
	b.serviceTime.add(100)
	for i := range uint32(600) {
		sendRequest(b, 100001, i+1, "important", uint64(i))
	}
	if n := len(h.sends) / 6; n < 3 || n > 12 {
		t.Errorf("%d requests in flight at each server that has not reported", n)
	}
}
