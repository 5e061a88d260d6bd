package decide

import (
	"testing"
)

// Guards against rejections that never end because of latencies observed in the past: without
// requests, no answer would correct them. They must decay within ten seconds.
func TestObservedLatencyDecays(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 10, 1)
		s.load.latencyPerWork.update(b.now, 100, 1)
		s.load.latencyPerWork.value, s.load.reportedPerSecond = 2000, 20 // others have 40 requests in flight
	}
	sendRequest(b, 100001, 1, "read", 5)
	sendRequest(b, 110001, 2, "read", 5)
	if h.rejected[1] != 1 || h.rejected[2] != 0 {
		t.Errorf("rejected %v: want only the first", h.rejected)
	}
}

// Guards against a router that does not detect the overload of a large fleet because it sends each
// server a request only every ten seconds: it must use the mean wait of all servers. A router that
// sends many requests must use each server's own waits.
func TestMeanWaitOfFleetIsUsedAtLowTraffic(t *testing.T) {
	wait := func(perSecond int) float64 {
		b, h := newTestBalancer(t, testConfig(), readyEndpoints(40))
		for i := range uint32(10 * uint32(perSecond)) {
			now := 100010 + float64(i)*1000/float64(perSecond)
			sendRequest(b, now, i+1, "read", uint64(i))
			if len(h.sends) == 0 || h.lastSend().id != i+1 {
				continue
			}
			latencyMillis := 40.0
			if i > 8*uint32(perSecond) {
				latencyMillis = 400
			}
			b.AttemptEnded(now+latencyMillis, servedOutcome(i+1, h.lastSend().server, latencyMillis))
		}
		s := b.membership.caches[0]
		s.attempts.inFlight = 0
		s.load.latencyPerWork = trend{value: 40, floor: 40, updatedAt: b.now}
		s.load.capacityPerSecond.value = 100
		return b.expectedWaitMillis(s)
	}
	if few, many := wait(8), wait(400); few < 50 || many > 20 {
		t.Errorf("wait %v at few requests per server, %v at many: want over 50 and under 20", few, many)
	}
}

// Guards against an overloaded home that answers some requests in time and the others not at all:
// the timeouts must raise its expected wait. A timeout after a few milliseconds must not reduce its
// latency.
func TestTimeoutsRaiseExpectedWait(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	sendRequest(b, 100010, 1, "read", 9)
	s := b.membership.servers[h.lastSend().server]
	s.load.reportedPerSecond = 40
	b.AttemptEnded(100050, withCacheResult(CacheHit, servedOutcome(1, s.ID, 40)))
	idle := b.expectedWaitMillis(s)
	for i := range uint32(5) {
		id := i + 2
		sendRequest(b, 100060, id, "read", 9)
		b.AttemptEnded(100060+300, endedOutcome(id, s.ID, Timeout, 300))
	}
	if overloaded := b.expectedWaitMillis(s); overloaded < idle+10 {
		t.Errorf("wait %v after five timeouts, %v before", overloaded, idle)
	}
	before := s.load.latencyPerWork.value
	sendRequest(b, 100400, 10, "read", 9)
	b.AttemptEnded(100405, endedOutcome(10, s.ID, Timeout, 5))
	if s.load.latencyPerWork.value < before {
		t.Errorf("a timeout after 5 ms reduced the latency from %v to %v", before, s.load.latencyPerWork.value)
	}
}

// Guards against useless attempts at an ejected server as a last resort while all servers of a busy
// router have long waits: its expected wait must be the mean of all.
func TestEjectedServerIsExpectedToHaveMeanWait(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(6))
	s := b.membership.caches[0]
	b.arrivals.add(b.now, trafficTimeConstantMillis, 2000)
	for _, s := range b.membership.caches {
		b.recordWait(s, 360)
	}
	b.now += 100
	healthy := b.expectedWaitMillis(s)
	s.health.isEjected = true
	if ejected := b.expectedWaitMillis(s); ejected < 300 || healthy > 100 {
		t.Errorf("wait %v at an ejected server, %v before its ejection", ejected, healthy)
	}
}

// Guards against one server's long waits that raise the expected wait of all other servers.
func TestLongWaitsOfOneServerDoNotAffectOthers(t *testing.T) {
	cfg := cacheAsideConfig()
	b, _ := newTestBalancer(t, cfg, append(readyEndpoints(60), Endpoint{ID: 77, Kind: "origin"}))
	for range 20 {
		b.now += 50
		b.recordWait(b.membership.caches[0], 300)
		for _, s := range b.membership.caches[1:20] {
			b.recordWait(s, 0)
		}
	}
	b.now += 100
	overloaded := b.expectedWaitMillis(b.membership.caches[0])
	other := b.expectedWaitMillis(b.membership.caches[30])
	if overloaded < 200 || other > 40 {
		t.Errorf("wait %v at the overloaded server, %v at another", overloaded, other)
	}
}
