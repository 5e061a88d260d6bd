package decide

import (
	"math"
	"testing"
)

// Fetches that were sent too late time out while the origin answers others quickly. The limit on
// fetches must not fall for that; when every fetch is slow it must.
func TestLateFetchIsNoSignOfASlowOrigin(t *testing.T) {
	cfg := cacheAsideConfig()
	b, _ := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
	was := b.originFetches.limit
	for i := range 20 {
		b.now += 1000
		r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
		b.fetchEnded(r, OK, 100)
		b.fetchEnded(r, Timeout, 40)
		if i == 0 {
			was = b.originFetches.limit
		}
	}
	if b.originFetches.limit < was {
		t.Errorf("limit fell from %v to %v", was, b.originFetches.limit)
	}
	for range 12 {
		b.now += 1000
		b.fetchEnded(&request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}, Timeout, 900)
	}
	if b.originFetches.limit > was/2 {
		t.Errorf("limit %v though every fetch is slow", b.originFetches.limit)
	}
}

// In a long overload the floor of the latency rises to what is normal by then. Fetches that take
// nearly the whole objective must still lower the limit.
func TestRisenFloorDoesNotExcuseUselessFetches(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(2))
	was := b.originFetches.limit
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	for range 200 {
		b.now += 100
		b.fetchEnded(r, OK, 290)
	}
	if b.originFetches.limit > was/2 {
		t.Errorf("limit %v: fetches of 290 ms for an objective of 300 were taken for quick", b.originFetches.limit)
	}
}

// Two requests miss the same key, and a third comes. One fetch is made for all, and the others then
// go to where the key is stored.
func TestOwnMissesOfAKeyShareAFetch(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 5)
	home := h.last().server
	ask(b, 100011, 2, "read", 5)
	b.AttemptEnded(100020, withResult(CacheMiss, ended(1, home, Miss, 9)))
	b.AttemptEnded(100021, withResult(CacheMiss, ended(2, home, Miss, 9)))
	ask(b, 100022, 3, "read", 5)
	if len(h.sends) != 3 || h.last() != (sent{1, 77}) {
		t.Fatalf("sends %v, want two at the home and one fetch", h.sends)
	}
	b.AttemptEnded(100060, ofAttempt(1, served(1, 77, 40)))
	if len(h.sends) != 5 || h.sends[3].server != home || h.sends[4].server != home {
		t.Errorf("sends %v, want the two that waited at the home", h.sends)
	}
}

// Servers fetch by themselves, and the origin fails each fetch. No request may be tried elsewhere,
// which would only ask the origin again; no server may be ejected; and the limit must fall, and
// rise again once the origin answers.
func TestFailedFetchIsTheOriginsFault(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for i := range uint32(40) { // 300 ms apart; the bound falls, and fetches come to pause
		now := 100010 + 300*float64(i)
		was := len(h.sends)
		ask(b, now, i+1, "read", uint64(i))
		if len(h.sends) > was {
			b.AttemptEnded(now+20, withResult(CacheMiss, ended(i+1, h.last().server, Failed, 20)))
		}
		if len(h.sends) > was+1 {
			t.Fatalf("request %d was sent again", i+1)
		}
	}
	if n := len(h.sends); n < 6 || n > 20 || b.originFetches.limit > 0.5 || countEjected(b.membership.caches) > 0 {
		t.Errorf("%d sends for 40 requests, limit %v, %d ejected", n, b.originFetches.limit,
			countEjected(b.membership.caches))
	}
	n := len(h.sends)
	for i := range uint32(40) {
		ask(b, 120000, 100+i, "once", uint64(100+i))
	}
	if out := len(h.sends) - n; out != 1 {
		t.Errorf("%d out at a limit of %v", out, b.originFetches.limit)
	}
	for i := range uint32(60) { // answers bring the bound back
		if r := b.requests[h.last().id]; r != nil && r.inFlight > 0 {
			b.AttemptEnded(120020+20*float64(i), withResult(CacheMiss, served(r.ID, h.last().server, 20)))
		}
	}
	if b.originFetches.limit < 2 {
		t.Errorf("limit %v after the origin came back", b.originFetches.limit)
	}
}

// A server's own fetch of a key failed. The key must not count as stored any more: its next request
// waits for a place at the origin.
func TestKeyWhoseFetchFailedTakesAPlace(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100001, 1, "read", 5)
	b.AttemptEnded(100041, withResult(CacheMiss, served(1, h.last().server, 40)))
	if ask(b, 101000, 2, "read", 5); b.requests[2].isServerFetch {
		t.Error("a key stored a second ago was taken for a miss")
	}
	b.AttemptEnded(101200, withResult(CacheMiss, ended(2, h.last().server, Failed, 200)))
	if ask(b, 102000, 3, "read", 5); !b.requests[3].isServerFetch {
		t.Error("a key whose fetch failed was taken for stored")
	}
}

// The limit has risen far above the fetches in flight when a queue builds up at the origin: it must
// fall below them at once. One lost answer must not cut it as far.
func TestBoundOnFetchesFallsBelowThoseThatQueue(t *testing.T) {
	cfg := cacheAsideConfig()
	b, _ := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.limit = 40
	b.originFetches.latency = trend{value: 80, floor: 80, updatedAt: b.now}
	b.membership.origin.attempts.inFlight = 12
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	for range 20 { // 160 ms are less than 2.5 times the floor, but over half of the objective
		b.now += 10
		b.fetchEnded(r, OK, 160)
	}
	if b.originFetches.limit >= 12 {
		t.Errorf("a limit of %v with 12 out, half of the objective late", b.originFetches.limit)
	}
	b.originFetches.limit = 40
	b.originFetches.latency = trend{value: 80, floor: 80, updatedAt: b.now}
	b.membership.origin.attempts.inFlight = 2
	b.now += 1000
	if b.fetchEnded(r, Reset, 400); b.originFetches.limit < 30 { // a lost answer shows no queue
		t.Errorf("a limit of %v after one reset", b.originFetches.limit)
	}
}

// Every fetch is late, at each of 300 routers. Their limits together must come down to a few
// fetches at a time, which below one at each means pauses.
func TestFetchesOfManyRoutersAddUpToAFewPlaces(t *testing.T) {
	for _, routers := range []int{4, 300} {
		cfg := cacheAsideConfig()
		cfg.Routers = routers
		b, h := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
		r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
		b.fetchEnded(r, OK, 30)
		for range 60 {
			b.now += 1000
			b.fetchEnded(r, Timeout, 900)
		}
		if all := b.originFetches.limit * float64(routers); all > 10 {
			t.Errorf("%d routers: a limit of %v in all though every fetch is late", routers, all)
		}
		b.originFetches.limit = 0.1
		b.originFetches.latency = trend{value: 100, floor: 100}
		n := len(h.sends)
		for i := range uint32(100) { // in 10 s
			b.now += 100
			b.Request(b.now, Request{ID: i + 1, Class: "once", Key: uint64(i), HasKey: true, IsWrite: true,
				RemainingMillis: 600})
			if r := b.requests[h.last().id]; r != nil && r.inFlight > 0 {
				b.AttemptEnded(b.now, served(r.ID, 77, 100))
				b.originFetches.limit = 0.1
			}
		}
		// Of a few routers, an answer lifts the limit over one.
		if sent := len(h.sends) - n; routers == 300 && (sent < 8 || sent > 20) {
			t.Errorf("%d routers: %d fetches in 10 s at a limit of 0.1 and 100 ms each, want about ten", routers, sent)
		}
	}
}

// The origin's answer is damaged on its way to the router, and stored where the key was missing. It
// must be asked for there, and the limit on fetches must not fall.
func TestMalformedFetchIsAskedForWhereItIsStored(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := start(t, cfg, append(fleet(3), Endpoint{ID: 99, Kind: "origin"}))
	fetches := b.originFetches.limit
	ask(b, 100010, 1, "read", 9)
	home := h.last().server
	b.AttemptEnded(100020, ended(1, home, Miss, 10))
	if h.last().server != 99 {
		t.Fatal("no fetch")
	}
	b.AttemptEnded(100060, ofAttempt(1, ended(1, 99, MalformedResponse, 40)))
	if len(h.sends) != 3 || h.last().server != home || b.originFetches.limit < fetches || b.keys.byID[9].fetch != nil {
		t.Errorf("sends %v, bound on fetches %v", h.sends, b.originFetches.limit)
	}
}

// The origin is quick, and limits grow. In the time of a fetch those of all routers together must
// grow by some fetches, whether there is one router or eighty.
func TestTheBoundOnFetchesGrowsAlikeOverTheFleet(t *testing.T) {
	for _, routers := range []int{1, 4, 80} {
		cfg := testConfig()
		cfg.Routers = routers
		b, _ := start(t, cfg, fleet(6))
		b.originFetches.latency = trend{value: 100, floor: 100, updatedAt: b.now}
		b.originFetches.limit = 128 / float64(routers)
		b.originFetches.limit = min(64, b.originFetches.limit)
		was := b.originFetches.limit
		for range int(math.Ceil(was)) { // a round of fetches
			b.fetchEnded(&request{class: b.classes["read"], key: &keyTraffic{}}, OK, 100)
		}
		grown := (b.originFetches.limit - was) * float64(routers)
		if b.originFetches.limit < 64 && (grown < 0.5 || grown > 32) {
			t.Errorf("%d routers: the bounds of all grew from 128 by %.1f in one round", routers, grown)
		}
	}
}

// A key is missing, and less of the objective is left than a fetch takes: it must not be sent. Once
// the queue at the origin has faded from memory, the next one must.
func TestNoFetchThatCantBeInTime(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := start(t, cfg, append(fleet(6), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.latency = trend{value: 280, floor: 100, updatedAt: 100000}
	ask(b, 100010, 1, "read", 9)
	b.AttemptEnded(100050, withResult(CacheMiss, ended(1, h.last().server, Miss, 40)))
	if h.last().server == 77 || h.answers(1) != 1 {
		t.Errorf("sent %v with 260 ms left of an objective, and fetches that take 280", h.sends)
	}
	b.TimerExpired(110000, housekeepingToken) // what was seen of a queue fades
	ask(b, 110010, 2, "read", 9)
	b.AttemptEnded(110050, withResult(CacheMiss, ended(2, h.last().server, Miss, 40)))
	if h.last().server != 77 {
		t.Errorf("sent %v, want the origin once its queue has faded", h.sends)
	}
}

// A router has just started, and keys are missing. Each must be fetched at once, however many
// routers there are.
func TestAMissAfterTheStartIsFetchedAtOnce(t *testing.T) {
	for _, routers := range []int{1, 4, 80, 300} {
		cfg := cacheAsideConfig()
		cfg.Routers = routers
		cfg.Classes[0].LatencyObjectiveMillis = 600
		cfg.Classes[0].DeadlineMillis = 1200
		b, h := start(t, cfg, append(fleet(6), Endpoint{ID: 77, Kind: "origin"}))
		for i := range uint32(12) { // the last is on its way when the next one misses
			now := 100010 + 300*float64(i)
			ask(b, now, i+1, "read", uint64(i))
			b.AttemptEnded(now+20, withResult(CacheMiss, ended(i+1, h.last().server, Miss, 20)))
			if h.last() != (sent{i + 1, 77}) {
				t.Fatalf("%d routers: request %d is not fetched: sent %v", routers, i+1, h.sends)
			}
			b.AttemptEnded(now+270, ofAttempt(1, served(i+1, 77, 250)))
		}
	}
}

// Every fetch is late, and the limit is cut again and again. It must still leave a tenth of the own
// requests, as a limit below one grows with fetches only.
func TestABoundThatWasCutLeavesATenthOfTheRequests(t *testing.T) {
	cfg := cacheAsideConfig()
	cfg.Routers = 300
	b, _ := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	b.fetchEnded(r, OK, 100)
	for range 400 { // twenty a second
		b.now += 50
		b.arrivals.add(b.now, trafficTimeConstantMillis, 1)
	}
	for range 200 {
		b.now += 50
		b.arrivals.add(b.now, trafficTimeConstantMillis, 1)
		b.fetchEnded(r, Timeout, 900)
	}
	// Two a second of 100 ms each, though every fetch is late: a tenth of the requests.
	if b.originFetches.limit < 0.15 || b.originFetches.limit > 0.8 {
		t.Errorf("a limit of %.3f", b.originFetches.limit)
	}
}
