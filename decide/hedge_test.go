package decide

import (
	"math"
	"testing"
)

// Guards against an overloaded home whose hot key no router detects, as each sees the key rarely.
// If servers rarely get requests from a router, an expired soft timeout must make the key count as
// hot; if they get many, it must not.
func TestSoftTimeoutMarksKeyHotAtLowTraffic(t *testing.T) {
	for _, c := range []struct {
		requestsBefore int // requests in the preceding second
		isHot          bool
	}{{2, true}, {400, false}} {
		cfg := cacheAsideConfig()
		b, h := newTestBalancer(t, cfg, append(readyEndpoints(40), Endpoint{ID: 77, Kind: "origin"}))
		for i := range uint32(c.requestsBefore) {
			sendRequest(b, 100010+1000*float64(i)/float64(c.requestsBefore), 100+i, "read", uint64(100+i))
			b.AttemptEnded(b.now, servedOutcome(100+i, h.lastSend().server, 5))
		}
		sendRequest(b, 101010, 1, "read", 9)
		k := b.requests[1].key
		b.membership.servers[h.lastSend().server].health.lastReplyAt = 0
		b.TimerExpired(101200, 1<<8|1)
		if isHot := k.arrivals.value >= minHotArrivals; isHot != c.isHot {
			t.Errorf("%d requests per second: %v arrivals after a soft timeout", c.requestsBefore, k.arrivals.value)
		}
	}
}

// Guards against two attempts in flight at once where hedging is not allowed: after a soft timeout,
// the attempt must be canceled, and the next one may be sent only when it has ended.
func TestOnlyOneAttemptIsInFlightWithoutHedging(t *testing.T) {
	cfg := testConfig()
	cfg.HedgingAllowed = false
	b, h := newTestBalancer(t, cfg, readyEndpoints(6))
	sendRequest(b, 100010, 1, "read", 9)
	for _, tm := range h.timers {
		b.TimerExpired(100010+tm.after, tm.token)
	}
	if len(h.sends) != 1 {
		t.Errorf("sends %v while the first is in flight", h.sends)
	}
	if len(h.cancels) != 1 {
		t.Fatalf("cancels %v: want the unanswered attempt canceled", h.cancels)
	}
	b.AttemptEnded(100200, endedOutcome(1, h.sends[0].server, Canceled, 190))
	if len(h.sends) != 2 {
		t.Error("no second attempt after the cancel")
	}
}

// Guards against a slow reaction when all servers stop answering: expired soft timeouts must raise
// the expected wait long before the first timeout.
func TestSoftTimeoutsRaiseExpectedWaitBeforeTimeouts(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(60), Endpoint{ID: 77, Kind: "origin"}))
	sendRequest(b, 100010, 1, "read", 1)
	b.AttemptEnded(100050, withCacheResult(CacheHit, servedOutcome(1, h.lastSend().server, 40)))
	before := b.expectedWaitMillis(b.membership.caches[0])
	for i := range uint32(8) {
		id := i + 2
		now := 101010 + float64(300*i)
		sendRequest(b, now, id, "read", uint64(id))
		b.membership.servers[h.lastSend().server].health.lastReplyAt = 0
		b.TimerExpired(now+200, uint64(id)<<8|1)
	}
	if wait := b.expectedWaitMillis(b.membership.caches[0]); wait < before+30 {
		t.Errorf("wait %v after eight soft timeouts, %v before", wait, before)
	}
}

// Guards against soft timeouts that are too short for light requests, whose latency does not only
// depend on the work: a request of little work must be waited for like one of half a unit.
// Otherwise a pause of the server would look like a failure.
func TestSoftTimeoutOfLightRequestAllowsHalfAUnitOfWork(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	softTimeout := func(id uint32, hint float64) float64 {
		b.Request(100010, Request{ID: id, Class: "read", Key: 9, HasKey: true, RemainingMillis: 600, WorkHint: hint})
		s := h.lastSend().server
		millis := h.timers[len(h.timers)-1].after
		b.AttemptEnded(100010, servedOutcome(id, s, 20))
		return millis
	}
	softTimeout(1, 100)
	half := softTimeout(2, 50)
	light := softTimeout(3, 5)
	if light < 0.9*half || light > 1.1*half {
		t.Errorf("soft timeout %.0f ms for half a unit of work, %.0f ms for a twentieth", half, light)
	}
}

// Guards against keys that stay at a server that answers no request until each router has seen
// three unanswered attempts: after one expired soft timeout, many keys must get another home.
func TestSoftTimeoutMovesKeysAtOnce(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(20), Endpoint{ID: 77, Kind: "origin"}))
	sendRequest(b, 100010, 1, "read", 9)
	s := b.membership.servers[h.lastSend().server]
	b.prepareModels()
	homes := func() (n int) {
		for i := range uint64(2000) {
			if b.candidates(&keyTraffic{id: splitMix64(i)})[0] == s {
				n++
			}
		}
		return n
	}
	before := homes()
	b.TimerExpired(100200, 1<<8|1)
	b.prepareModels()
	if after := homes(); after > before/2 {
		t.Errorf("home to %d keys before the soft timeout, %d after", before, after)
	}
}

// Guards against cancellations that gain nothing: after a soft timeout, an attempt is canceled only
// if another server can take the request. Otherwise it is waited for until the objective, and then
// the client is rejected at once.
func TestAttemptIsCanceledOnlyIfAnotherServerFits(t *testing.T) {
	for _, c := range []struct {
		name    string
		areFull bool
	}{{"others are free", false}, {"others are full", true}} {
		cfg := testConfig()
		cfg.HedgingAllowed = false
		b, h := newTestBalancer(t, cfg, readyEndpoints(6))
		sendRequest(b, 100010, 1, "read", 9)
		if c.areFull {
			for _, s := range b.membership.caches {
				s.load.capacityPerSecond.value = 1
				s.attempts.inFlight += 40
			}
		}
		b.TimerExpired(100100, 1<<8|1)
		if isCanceled := len(h.cancels) > 0; isCanceled == c.areFull {
			t.Fatalf("%s: canceled %v", c.name, h.cancels)
		}
		if !c.areFull {
			continue
		}
		if last := h.timers[len(h.timers)-1]; math.Abs(last.after-210) > 1e-6 || h.finalAnswers(1) != 0 {
			t.Errorf("next timer after %v ms, want the objective; %d answers by then", last.after, h.finalAnswers(1))
		}
		b.TimerExpired(100311, 1<<8|1)
		if len(h.cancels) != 1 {
			t.Fatalf("canceled %v at the objective, want the attempt", h.cancels)
		}
		b.AttemptEnded(100311, endedOutcome(1, h.lastSend().server, Canceled, 301))
		if h.rejected[1] != 1 {
			t.Error("the client was not rejected at once")
		}
	}
}
