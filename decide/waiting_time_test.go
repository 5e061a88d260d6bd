package decide

import (
	"testing"
)

// Latencies of two seconds were seen, and a request is rejected for them. Ten seconds later nothing
// has been seen since, and the next one must be sent: no answer could correct it otherwise.
func TestWaitSeenFades(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 10, 1)
		s.load.latencyPerWork.update(b.now, 100, 1)
		s.load.latencyPerWork.value, s.load.reportedPerSecond = 2000, 20 // others have 40 requests in flight
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 110001, 2, "read", 5)
	if h.rejected[1] != 1 || h.rejected[2] != 0 {
		t.Errorf("rejected %v: want the first only", h.rejected)
	}
}

// The whole fleet is overloaded, and a router asks each of many servers once in ten seconds. It
// must expect the wait that others have shown; a router that asks each often goes by what it sees
// of each.
func TestSeldomAskedServersAreTakenToBeAsOverloadedAsTheFleet(t *testing.T) {
	wait := func(perSecond int) float64 {
		b, h := start(t, testConfig(), fleet(40))
		for i := range uint32(10 * uint32(perSecond)) {
			now := 100010 + float64(i)*1000/float64(perSecond)
			ask(b, now, i+1, "read", uint64(i))
			if len(h.sends) == 0 || h.last().id != i+1 {
				continue
			}
			took := 40.0
			if i > 8*uint32(perSecond) {
				took = 400
			}
			b.AttemptEnded(now+took, served(i+1, h.last().server, took))
		}
		s := b.membership.caches[0]
		s.attempts.inFlight = 0
		s.load.latencyPerWork = trend{value: 40, floor: 40, updatedAt: b.now}
		s.load.capacityPerSecond.value = 100
		return b.expectedWaitMillis(s)
	}
	if few, many := wait(8), wait(400); few < 50 || many > 20 {
		t.Errorf("wait %v where each server is rarely asked, %v where often: want a long and a short one", few, many)
	}
}

// An overloaded home answers some of its requests in time and the others not at all. The timeouts
// must raise the wait that is expected there, and a timeout after a few milliseconds must not lower
// its latency.
func TestTimeOutsRaiseTheWaitOfAServer(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	s := b.membership.servers[h.last().server]
	s.load.reportedPerSecond = 40
	b.AttemptEnded(100050, withResult(CacheHit, served(1, s.ID, 40)))
	idle := b.expectedWaitMillis(s)
	for i := range uint32(5) {
		id := i + 2
		ask(b, 100060, id, "read", 9)
		b.AttemptEnded(100060+300, ended(id, s.ID, Timeout, 300))
	}
	if overloaded := b.expectedWaitMillis(s); overloaded < idle+10 {
		t.Errorf("wait %v after five time-outs, %v before", overloaded, idle)
	}
	was := s.load.latencyPerWork.value
	ask(b, 100400, 10, "read", 9)
	b.AttemptEnded(100405, ended(10, s.ID, Timeout, 5))
	if s.load.latencyPerWork.value < was {
		t.Errorf("a time-out of 5 ms lowered the latency from %v to %v", was, s.load.latencyPerWork.value)
	}
}

// All servers of a busy router have long waits, and one is ejected. Tried as a last resort it must
// be expected to have the wait that all show, or each request would try it in vain.
func TestLastResortIsTakenToBeAsOverloadedAsTheFleet(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[0]
	b.arrivals.add(b.now, trafficTimeConstantMillis, 2000)
	for _, s := range b.membership.caches {
		b.recordWait(s, 360)
	}
	b.now += 100
	well := b.expectedWaitMillis(s)
	s.health.isEjected = true
	if failing := b.expectedWaitMillis(s); failing < 300 || well > 100 {
		t.Errorf("wait %v at an ejected server, %v at another of a busy router", failing, well)
	}
}

// One of many servers shows long waits. A router must expect them there and not at the others.
func TestAnOverloadIsOfTheServerThatShowsIt(t *testing.T) {
	cfg := cacheAsideConfig()
	b, _ := start(t, cfg, append(fleet(60), Endpoint{ID: 77, Kind: "origin"}))
	for range 20 {
		b.now += 50
		b.recordWait(b.membership.caches[0], 300)
		for _, s := range b.membership.caches[1:20] {
			b.recordWait(s, 0)
		}
	}
	b.now += 100
	overloaded := b.expectedWaitMillis(b.membership.caches[0])
	well := b.expectedWaitMillis(b.membership.caches[30])
	if overloaded < 200 || well > 40 {
		t.Errorf("a wait of %v at the overloaded server, of %v at another", overloaded, well)
	}
}
