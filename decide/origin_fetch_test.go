package decide

import (
	"math"
	"testing"
)

// Guards against a fetch limit that falls because of fetches that were sent too late and time out
// while the origin answers others quickly. If every fetch is slow, the limit must fall.
func TestLateFetchDoesNotLowerFetchLimit(t *testing.T) {
	cfg := cacheAsideConfig()
	b, _ := newTestBalancer(t, cfg, append(readyEndpoints(3), Endpoint{ID: 77, Kind: "origin"}))
	before := b.originFetches.limit
	for i := range 20 {
		b.now += 1000
		r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
		b.fetchEnded(r, OK, 100)
		b.fetchEnded(r, Timeout, 40)
		if i == 0 {
			before = b.originFetches.limit
		}
	}
	if b.originFetches.limit < before {
		t.Errorf("the limit fell from %v to %v", before, b.originFetches.limit)
	}
	for range 12 {
		b.now += 1000
		b.fetchEnded(&request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}, Timeout, 900)
	}
	if b.originFetches.limit > before/2 {
		t.Errorf("limit %v though every fetch is slow", b.originFetches.limit)
	}
}

// Guards against a floor latency that rises in a long overload and so hides slow fetches: fetches
// that take nearly the whole objective must still lower the limit.
func TestRisenFloorDoesNotHideSlowFetches(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(2))
	before := b.originFetches.limit
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	for range 200 {
		b.now += 100
		b.fetchEnded(r, OK, 290)
	}
	if b.originFetches.limit > before/2 {
		t.Errorf("limit %v: fetches of 290 ms at an objective of 300 ms counted as fast", b.originFetches.limit)
	}
}

// Guards against several fetches of a key at once: two requests miss a key and a third arrives. One
// fetch must be made, and the other requests must then go to the server that stores the key.
func TestMissesOfAKeyShareAFetch(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(3), Endpoint{ID: 77, Kind: "origin"}))
	sendRequest(b, 100010, 1, "read", 5)
	home := h.lastSend().server
	sendRequest(b, 100011, 2, "read", 5)
	b.AttemptEnded(100020, withCacheResult(CacheMiss, endedOutcome(1, home, Miss, 9)))
	b.AttemptEnded(100021, withCacheResult(CacheMiss, endedOutcome(2, home, Miss, 9)))
	sendRequest(b, 100022, 3, "read", 5)
	if len(h.sends) != 3 || h.lastSend() != (sentAttempt{1, 77}) {
		t.Fatalf("sends %v, want two to the home and one fetch", h.sends)
	}
	b.AttemptEnded(100060, forAttempt(1, servedOutcome(1, 77, 40)))
	if len(h.sends) != 5 || h.sends[3].server != home || h.sends[4].server != home {
		t.Errorf("sends %v, want the two waiting requests at the home", h.sends)
	}
}

// Guards against ejected servers and useless retries if servers fetch by themselves and the origin
// fails each fetch: no request may be retried elsewhere, which would only ask the origin again, no
// server may be ejected, and the limit must fall, and rise again once the origin answers.
func TestFailedOriginFetchEjectsNoServer(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	for i := range uint32(40) { // every 300 ms; the limit falls until there are pauses between fetches
		now := 100010 + 300*float64(i)
		sendsBefore := len(h.sends)
		sendRequest(b, now, i+1, "read", uint64(i))
		if len(h.sends) > sendsBefore {
			b.AttemptEnded(now+20, withCacheResult(CacheMiss, endedOutcome(i+1, h.lastSend().server, Failed, 20)))
		}
		if len(h.sends) > sendsBefore+1 {
			t.Fatalf("request %d was sent again", i+1)
		}
	}
	if n := len(h.sends); n < 6 || n > 20 || b.originFetches.limit > 0.5 || b.membership.counts.ejectedCaches > 0 {
		t.Errorf("%d sends for 40 requests, limit %v, %d ejected", n, b.originFetches.limit,
			b.membership.counts.ejectedCaches)
	}
	n := len(h.sends)
	for i := range uint32(40) {
		sendRequest(b, 120000, 100+i, "once", uint64(100+i))
	}
	if fetches := len(h.sends) - n; fetches != 1 {
		t.Errorf("%d fetches in flight at a limit of %v", fetches, b.originFetches.limit)
	}
	for i := range uint32(60) { // answers raise the limit again
		if r := b.requests[h.lastSend().id]; r != nil && r.inFlight > 0 {
			b.AttemptEnded(120020+20*float64(i),
				withCacheResult(CacheMiss, servedOutcome(r.ID, h.lastSend().server, 20)))
		}
	}
	if b.originFetches.limit < 2 {
		t.Errorf("limit %v after the origin recovered", b.originFetches.limit)
	}
}

// Guards against a key that counts as stored although the server's own fetch of it failed: its next
// request must wait for a fetch slot.
func TestKeyWhoseFetchFailedWaitsForAFetchSlot(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	sendRequest(b, 100001, 1, "read", 5)
	b.AttemptEnded(100041, withCacheResult(CacheMiss, servedOutcome(1, h.lastSend().server, 40)))
	if sendRequest(b, 101000, 2, "read", 5); b.requests[2].isServerFetch {
		t.Error("a key stored a second ago counted as missing")
	}
	b.AttemptEnded(101200, withCacheResult(CacheMiss, endedOutcome(2, h.lastSend().server, Failed, 200)))
	if sendRequest(b, 102000, 3, "read", 5); !b.requests[3].isServerFetch {
		t.Error("a key whose fetch failed counted as stored")
	}
}

// Guards against a limit that has risen far above the fetches in flight when a queue builds up at
// the origin: it must fall below them at once. One lost answer must not cut it as far.
func TestFetchLimitFallsBelowQueuedFetches(t *testing.T) {
	cfg := cacheAsideConfig()
	b, _ := newTestBalancer(t, cfg, append(readyEndpoints(3), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.limit = 40
	b.originFetches.latency = trend{value: 80, floor: 80, updatedAt: b.now}
	b.membership.origin.attempts.inFlight = 12
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	for range 20 { // 160 ms is less than 2.5 times the floor, but more than half of the objective
		b.now += 10
		b.fetchEnded(r, OK, 160)
	}
	if b.originFetches.limit >= 12 {
		t.Errorf("limit %v with 12 in flight and fetches of over half the objective", b.originFetches.limit)
	}
	b.originFetches.limit = 40
	b.originFetches.latency = trend{value: 80, floor: 80, updatedAt: b.now}
	b.membership.origin.attempts.inFlight = 2
	b.now += 1000
	if b.fetchEnded(r, Reset, 400); b.originFetches.limit < 30 { // a lost answer shows no queue
		t.Errorf("limit %v after one reset", b.originFetches.limit)
	}
}

// Guards against many routers that together overload a slow origin: if every fetch is late at each
// of 300 routers, their limits together must fall to a few fetches, which means pauses at each
// router.
func TestFetchLimitsOfManyRoutersAddUpToAFew(t *testing.T) {
	for _, routers := range []int{4, 300} {
		cfg := cacheAsideConfig()
		cfg.Routers = routers
		b, h := newTestBalancer(t, cfg, append(readyEndpoints(3), Endpoint{ID: 77, Kind: "origin"}))
		r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
		b.fetchEnded(r, OK, 30)
		for range 60 {
			b.now += 1000
			b.fetchEnded(r, Timeout, 900)
		}
		if sum := b.originFetches.limit * float64(routers); sum > 10 {
			t.Errorf("%d routers: limits of %v together though every fetch is late", routers, sum)
		}
		b.originFetches.limit = 0.1
		b.originFetches.latency = trend{value: 100, floor: 100}
		n := len(h.sends)
		for i := range uint32(100) { // in 10 s
			b.now += 100
			b.Request(b.now, Request{ID: i + 1, Class: "once", Key: uint64(i), HasKey: true, IsWrite: true,
				RemainingMillis: 600})
			if r := b.requests[h.lastSend().id]; r != nil && r.inFlight > 0 {
				b.AttemptEnded(b.now, servedOutcome(r.ID, 77, 100))
				b.originFetches.limit = 0.1
			}
		}
		// With only a few routers, an answer raises the limit above one.
		if sent := len(h.sends) - n; routers == 300 && (sent < 8 || sent > 20) {
			t.Errorf("%d routers: %d fetches in 10 s at a limit of 0.1 and 100 ms each, want about ten", routers, sent)
		}
	}
}

// Guards against another fetch after the origin's answer was damaged on its way to the router: the
// value is stored on the server that missed it and must be read there, and the limit must not fall.
func TestMalformedFetchIsReadFromTheServerThatStoresIt(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(3), Endpoint{ID: 99, Kind: "origin"}))
	before := b.originFetches.limit
	sendRequest(b, 100010, 1, "read", 9)
	home := h.lastSend().server
	b.AttemptEnded(100020, endedOutcome(1, home, Miss, 10))
	if h.lastSend().server != 99 {
		t.Fatal("no fetch")
	}
	b.AttemptEnded(100060, forAttempt(1, endedOutcome(1, 99, MalformedResponse, 40)))
	if len(h.sends) != 3 || h.lastSend().server != home || b.originFetches.limit < before ||
		b.keys.byID[9].fetch != nil {
		t.Errorf("sends %v, limit %v", h.sends, b.originFetches.limit)
	}
}

// Guards against a growth of the fetch limits that depends on the number of routers: during the
// time of a fast fetch, the limits of all routers together must grow by some fetches, for one
// router or eighty.
func TestFetchLimitGrowthIsIndependentOfRouterCount(t *testing.T) {
	for _, routers := range []int{1, 4, 80} {
		cfg := testConfig()
		cfg.Routers = routers
		b, _ := newTestBalancer(t, cfg, readyEndpoints(6))
		b.originFetches.latency = trend{value: 100, floor: 100, updatedAt: b.now}
		b.originFetches.limit = 128 / float64(routers)
		b.originFetches.limit = min(64, b.originFetches.limit)
		before := b.originFetches.limit
		for range int(math.Ceil(before)) { // a round of fetches
			b.fetchEnded(&request{class: b.classes["read"], key: &keyTraffic{}}, OK, 100)
		}
		grown := (b.originFetches.limit - before) * float64(routers)
		if b.originFetches.limit < 64 && (grown < 0.5 || grown > 32) {
			t.Errorf("%d routers: all limits together grew from 128 by %.1f in one round", routers, grown)
		}
	}
}

// Guards against fetches that can't be in time: a request that misses its key with less time left
// than a fetch takes must not be sent to the origin. Once the observed queue at the origin has
// decayed, the next one must be.
func TestFetchThatCannotBeInTimeIsNotSent(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := newTestBalancer(t, cfg, append(readyEndpoints(6), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.latency = trend{value: 280, floor: 100, updatedAt: 100000}
	sendRequest(b, 100010, 1, "read", 9)
	b.AttemptEnded(100050, withCacheResult(CacheMiss, endedOutcome(1, h.lastSend().server, Miss, 40)))
	if h.lastSend().server == 77 || h.finalAnswers(1) != 1 {
		t.Errorf("sent %v with 260 ms left of the objective and fetches of 280 ms", h.sends)
	}
	b.TimerExpired(110000, housekeepingToken) // the observed queue decays
	sendRequest(b, 110010, 2, "read", 9)
	b.AttemptEnded(110050, withCacheResult(CacheMiss, endedOutcome(2, h.lastSend().server, Miss, 40)))
	if h.lastSend().server != 77 {
		t.Errorf("sent %v, want a fetch once the observed queue has decayed", h.sends)
	}
}

// Guards against misses that wait for a fetch slot at a router that has just started: each must be
// fetched at once, however many routers there are.
func TestMissAfterStartIsFetchedAtOnce(t *testing.T) {
	for _, routers := range []int{1, 4, 80, 300} {
		cfg := cacheAsideConfig()
		cfg.Routers = routers
		cfg.Classes[0].LatencyObjectiveMillis = 600
		cfg.Classes[0].DeadlineMillis = 1200
		b, h := newTestBalancer(t, cfg, append(readyEndpoints(6), Endpoint{ID: 77, Kind: "origin"}))
		for i := range uint32(12) { // the previous fetch is in flight when the next request misses
			now := 100010 + 300*float64(i)
			sendRequest(b, now, i+1, "read", uint64(i))
			b.AttemptEnded(now+20, withCacheResult(CacheMiss, endedOutcome(i+1, h.lastSend().server, Miss, 20)))
			if h.lastSend() != (sentAttempt{i + 1, 77}) {
				t.Fatalf("%d routers: request %d is not fetched: sent %v", routers, i+1, h.sends)
			}
			b.AttemptEnded(now+270, forAttempt(1, servedOutcome(i+1, 77, 250)))
		}
	}
}

// Guards against a limit that repeated cuts reduce to almost nothing: even if every fetch is late,
// a tenth of this router's requests must be allowed, as a limit below one only grows with fetches.
func TestFetchLimitAfterCutsAllowsATenthOfRequests(t *testing.T) {
	cfg := cacheAsideConfig()
	cfg.Routers = 300
	b, _ := newTestBalancer(t, cfg, append(readyEndpoints(3), Endpoint{ID: 77, Kind: "origin"}))
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	b.fetchEnded(r, OK, 100)
	for range 400 { // twenty per second
		b.now += 50
		b.arrivals.add(b.now, trafficTimeConstantMillis, 1)
	}
	for range 200 {
		b.now += 50
		b.arrivals.add(b.now, trafficTimeConstantMillis, 1)
		b.fetchEnded(r, Timeout, 900)
	}
	// Two fetches per second of 100 ms each, a tenth of the requests.
	if b.originFetches.limit < 0.15 || b.originFetches.limit > 0.8 {
		t.Errorf("limit %.3f, want 0.15 to 0.8", b.originFetches.limit)
	}
}
