package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// ---- The four rules ----

// TestEveryOutcomeAndEffect drives one request of each effect through each outcome and checks what may follow.
func TestEveryOutcomeAndEffect(t *testing.T) {
	all := []AttemptStatus{Failed, QueueFull, Timeout, ConnectError, Reset, Cancelled, Unprocessed, MalformedResponse}
	for _, class := range []string{"read", "keyed", "zoned", "once"} {
		for _, st := range all {
			t.Run(fmt.Sprint(class, "/", st), func(t *testing.T) {
				b, h := start(t, testConfig(), fleet(6))
				ask(b, 100010, 1, class, 9)
				first := h.last()
				b.AttemptEnded(100050, Outcome{RequestID: 1, ServerID: first.server, Status: st, LatencyMillis: 40, Load: NoLoadReport})
				again := len(h.sends) > 1
				switch {
				case class == "once" && !st.NeverRan():
					if again || h.rejected[1] > 0 || h.failed[1] != 1 {
						t.Errorf("may have run: sends %v, refused %d, failed %d", h.sends, h.rejected[1], h.failed[1])
					}
				case class == "zoned" && !st.NeverRan():
					if h.rejected[1] > 0 {
						t.Error("a refusal that is not true")
					}
					if again && b.membership.servers[h.last().server].Zone != b.membership.servers[first.server].Zone {
						t.Error("sent again outside the group")
					}
				default:
					if !again {
						t.Error("no further attempt though one is allowed")
					}
				}
				if again && (h.last().server == first.server) != (st == MalformedResponse) { // spoilt: the others lack the key
					t.Error("sent again to the server that just failed, or a spoilt answer's to another")
				}
			})
		}
	}
}

func TestKeyedIsNotSentAfterItsWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].IdempotencyWindowMillis = 100
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "keyed", 9)
	b.AttemptEnded(100110, Outcome{RequestID: 1, ServerID: h.last().server, Status: Failed, LatencyMillis: 100, Load: NoLoadReport})
	if len(h.sends) != 1 || h.rejected[1] != 1 {
		t.Errorf("sends %v, refused %d: want one send and a refusal", h.sends, h.rejected[1])
	}
}

func TestNeverTwoAtOnceWhereNotAllowed(t *testing.T) {
	cfg := testConfig()
	cfg.HedgingAllowed = false
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "read", 9)
	for _, tm := range h.timers {
		b.TimerExpired(100010+tm.after, tm.token)
	}
	if len(h.sends) != 1 {
		t.Errorf("sends %v while the first is out", h.sends)
	}
	if len(h.cancels) != 1 {
		t.Fatalf("cancels %v: want the silent attempt called off", h.cancels)
	}
	b.AttemptEnded(100200, Outcome{RequestID: 1, ServerID: h.sends[0].server, Status: Cancelled, LatencyMillis: 190, Load: NoLoadReport})
	if len(h.sends) != 2 {
		t.Error("no second attempt after the cancel")
	}
}

func TestLateDuplicateAndUnknownIDs(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	s := h.last().server
	ok := Outcome{RequestID: 1, ServerID: s, Status: OK, LatencyMillis: 40, IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport}
	b.AttemptEnded(100050, ok)
	b.AttemptEnded(100051, ok)
	b.AttemptEnded(100052, Outcome{RequestID: 77, Attempt: 3, ServerID: 5, Status: Failed, Load: NoLoadReport})
	b.AttemptEnded(100053, Outcome{RequestID: 1, Attempt: -1, ServerID: s, Status: Failed, Load: NoLoadReport})
	b.ClientDisconnected(100054, 1)
	b.ClientDisconnected(100055, 78)
	b.StreamStarted(100056, 79)
	b.TimerExpired(100057, 80<<8|1)
	b.HealthCheckEnded(100058, 81, OK, NoLoadReport)
	if len(h.sends) != 1 || h.answers(1) != 0 || b.membership.servers[s].attempts.inFlight != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, answers %d, out %d, held %d", h.sends, h.answers(1), b.membership.servers[s].attempts.inFlight, len(b.requests))
	}
}

func TestNothingNewToDrainingOrGone(t *testing.T) {
	es := fleet(4)
	b, h := start(t, testConfig(), es)
	es[0].State, es[1].State = Draining, Removed
	b.UpdateEndpoints(100005, ChangedEndpoints, es[:2])
	for i := range uint32(300) {
		now := 100010 + float64(i)
		ask(b, now, i+1, "read", uint64(i))
		b.AttemptEnded(now, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: OK, LatencyMillis: 1, IsFinal: true, Load: NoLoadReport})
	}
	for _, s := range h.sends {
		if s.server == es[0].ID || s.server == es[1].ID {
			t.Fatalf("request %d sent to a server that drains or is gone", s.id)
		}
	}
	if len(h.sends) != 300 {
		t.Errorf("%d of 300 sent", len(h.sends))
	}
}

func TestRequestWithoutCandidatesIsAnswered(t *testing.T) {
	drain := fleet(2)
	drain[0].State, drain[1].State = Draining, Draining
	cfg := testConfig()
	aside := cfg
	aside.CacheAside, aside.OriginKind = true, "origin"
	for name, c := range map[string]struct {
		cfg Config
		es  []Endpoint
	}{"empty": {cfg, nil}, "draining": {cfg, drain}, "origin only": {aside, []Endpoint{{ID: 9, Kind: "origin"}}}} {
		for _, class := range []string{"read", "once", "unknown"} {
			b, h := start(t, c.cfg, c.es)
			ask(b, 100010, 1, class, 5)
			if h.answers(1) != 1 || len(h.sends) != 0 {
				t.Errorf("%s, %s: %d answers, sends %v", name, class, h.answers(1), h.sends)
			}
		}
	}
}

func TestColdServerIsSparedByEveryRouterAlike(t *testing.T) {
	es := fleet(3)
	cfg := testConfig()
	es[0].StartedAt = 99500
	total, capacity := 0.0, 20.0
	for r := range cfg.Routers {
		cfg.RouterIndex = r
		b, h := start(t, cfg, es)
		for _, e := range es {
			b.membership.servers[e.ID].load.capacityPerSecond.update(b.now, capacity, 1)
		}
		for i := range uint32(4000) { // 2 s at 2000 a second, enough to fell it many times over
			now := 100010 + float64(i)/2
			ask(b, now, i+1, "read", uint64(i))
			if n := len(h.sends); n > 0 && h.sends[n-1].id == i+1 {
				b.AttemptEnded(now, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: OK, LatencyMillis: 1, IsFinal: true, Load: NoLoadReport})
			}
		}
		for _, s := range h.sends {
			if s.server == es[0].ID {
				total++
			}
		}
	}
	warmth := cfg.SlowStartInitialShare + (1-cfg.SlowStartInitialShare)*500/cfg.SlowStartMillis // at the begin of the window
	if limit := cfg.OverloadFactor * capacity * warmth * cfg.OverloadMillis / 1000; total > limit || total < limit/8 {
		t.Errorf("%v requests sent to a cold server in the window, its limit is %v", total, limit)
	}
}

// TestEveryRequestIsAnsweredOnce plays a small hostile world against the module and counts the answers.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := testConfig()
		cfg.HedgingAllowed, cfg.CancelAllowed, cfg.CacheAside, cfg.OriginKind = seed%2 == 0, seed%3 != 0, seed%4 > 1, "origin"
		es := append(fleet(5), Endpoint{ID: 77, Kind: "origin"})
		b, h := start(t, cfg, es)
		type leg struct {
			due float64
			o   Outcome
		}
		answered, tries, until := map[uint32]int{}, map[uint32]int{}, map[uint32]float64{}
		h.onSend = func(id uint32) {
			if answered[id]+h.answers(id) > 0 {
				t.Fatalf("seed %d: request %d sent after its answer", seed, id)
			}
		}
		var legs []leg
		seen, timers := 0, []timer{}
		next := uint32(0)
		for now := 100000.0; now < 104000; now += 5 {
			if now < 103000 {
				for range rng.IntN(4) {
					next++
					class := cfg.Classes[rng.IntN(5)].Name
					left := 50 + 500*rng.Float64()
					until[next] = now + left
					b.Request(now, Request{ID: next, Class: class, Key: uint64(rng.IntN(20)), HasKey: rng.IntN(9) > 0,
						RemainingMillis: left, IsWrite: class == "once"})
				}
			}
			rest := timers[:0]
			for _, tm := range timers {
				if tm.after <= now {
					b.TimerExpired(now, tm.token)
				} else {
					rest = append(rest, tm)
				}
			}
			timers = rest
			kept := legs[:0]
			for _, l := range legs {
				if l.due > now && until[l.o.RequestID] > now {
					kept = append(kept, l)
					continue
				}
				if l.due > now {
					l.o.Status = Timeout
				}
				if answered[l.o.RequestID]+h.answers(l.o.RequestID) > 0 {
					l.o.IsFinal = true
				} else if l.o.Status == OK {
					l.o.IsFinal = true
					answered[l.o.RequestID]++
				}
				b.AttemptEnded(now, l.o)
			}
			legs = kept
			for ; seen < len(h.sends); seen++ {
				s := h.sends[seen]
				st := []AttemptStatus{OK, OK, Failed, QueueFull, Timeout, ConnectError, Reset, Miss, MalformedResponse}[rng.IntN(9)]
				legs = append(legs, leg{now + 300*rng.Float64(),
					Outcome{RequestID: s.id, Attempt: tries[s.id], ServerID: s.server, Status: st, LatencyMillis: 20, Load: NoLoadReport}})
				tries[s.id]++
			}
			for _, tm := range h.timers {
				timers = append(timers, timer{now + tm.after, tm.token})
			}
			h.timers = nil
		}
		for id := uint32(1); id <= next; id++ {
			if n := answered[id] + h.answers(id); n != 1 {
				t.Fatalf("seed %d: request %d has %d answers", seed, id, n)
			}
		}
		if len(b.requests) != 0 || len(b.originFetches.waiting) != 0 {
			t.Errorf("seed %d: %d requests and %d held are not forgotten", seed, len(b.requests), len(b.originFetches.waiting))
		}
	}
}

// ---- Reports ----

func TestAbsurdReportsLeaveTheModelFinite(t *testing.T) {
	b, h := start(t, testConfig(), fleet(4))
	inf := math.Inf(1)
	for i, l := range []LoadReport{NoLoadReport, {}, {RequestsPerSecond: 5}, {Utilization: 5}, {RequestsPerSecond: inf, Utilization: 0.5}, {RequestsPerSecond: 5, Utilization: inf - inf},
		{RequestsPerSecond: 1e8, Utilization: 1e-9}, {RequestsPerSecond: 1e-9, Utilization: 1e8}, {RequestsPerSecond: -3, Utilization: 0.5}} {
		for j, e := range fleet(4) {
			b.HealthCheckEnded(100010+float64(i), e.ID, OK, LoadReport{l.RequestsPerSecond + float64(j), l.ErrorsPerSecond, l.Utilization, l.Inflight, l.LatencyMillis})
		}
		for r := range uint32(40) {
			id := uint32(i)*100 + r
			ask(b, 100010+float64(i), id, "read", uint64(r%3))
			b.AttemptEnded(100010+float64(i), Outcome{RequestID: id, ServerID: h.last().server, Status: OK, LatencyMillis: 10, IsFinal: true, Load: l})
		}
		b.solve()
		for _, s := range b.membership.caches {
			if s.model.channels < 1 || s.model.channels > 256 || s.model.arrivalsPerSecond < 0 || s.model.arrivalsPerSecond != s.model.arrivalsPerSecond || s.model.arrivalsPerSecond > 1e12 {
				t.Errorf("report %v: n %d, load %v", l, s.model.channels, s.model.arrivalsPerSecond)
			}
		}
		for _, k := range b.keys.all {
			for _, p := range k.shares {
				if p != p || p < 0 || p > 1+1e-9 {
					t.Errorf("report %v: share %v", l, p)
				}
			}
		}
	}
}

// ---- Settings ----

func TestNewNamesTheBadSetting(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		"Routers":                              func(c *Config) { c.Routers = 0 },
		"RouterIndex":                          func(c *Config) { c.RouterIndex = 5 },
		"Classes":                              func(c *Config) { c.Classes = nil },
		"Classes[read].LatencyObjectiveMillis": func(c *Config) { c.Classes[0].LatencyObjectiveMillis = 0 },
		"Classes[keyed].IdempotencyScope":      func(c *Config) { c.Classes[2].IdempotencyScope = "planet" },
		"SlowStartInitialShare":                func(c *Config) { c.SlowStartInitialShare = 0 },
		"OverloadFactor":                       func(c *Config) { c.OverloadFactor = 0 },
		"MaxAttempts":                          func(c *Config) { c.MaxAttempts = 0 },
		"OriginKind":                           func(c *Config) { c.CacheAside = true },
		"Tenants[x].QuotaPerSecond":            func(c *Config) { c.Tenants = []Tenant{{Name: "x", QuotaPerSecond: -1}} },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg, 1, newHost()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that names %s, got %v", want, err)
		}
	}
}

// ---- Origin ----

// Fetches sent too late timed out, and the bound on fetches fell although the origin answered quickly.
func TestLateFetchIsNoSignOfASlowOrigin(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
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
		t.Errorf("bound fell from %v to %v", was, b.originFetches.limit)
	}
	for range 12 {
		b.now += 1000
		b.fetchEnded(&request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}, Timeout, 900)
	}
	if b.originFetches.limit > was/2 {
		t.Errorf("bound %v though every fetch is slow", b.originFetches.limit)
	}
}

// In an overload that lasted, the floor rose to what was normal by then, and writes came back 100 ms late all day.
func TestRisenFloorDoesNotExcuseUselessFetches(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(2))
	was := b.originFetches.limit
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	for range 200 {
		b.now += 100
		b.fetchEnded(r, OK, 290)
	}
	if b.originFetches.limit > was/2 {
		t.Errorf("bound %v: fetches of 290 ms for an aim of 300 were taken for quick", b.originFetches.limit)
	}
}

func TestOwnMissesOfAKeyShareAFetch(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 5)
	home := h.last().server
	ask(b, 100011, 2, "read", 5)
	b.AttemptEnded(100020, Outcome{RequestID: 1, ServerID: home, Status: Miss, LatencyMillis: 9, CacheResult: CacheMiss, Load: NoLoadReport})
	b.AttemptEnded(100021, Outcome{RequestID: 2, ServerID: home, Status: Miss, LatencyMillis: 9, CacheResult: CacheMiss, Load: NoLoadReport})
	ask(b, 100022, 3, "read", 5)
	if len(h.sends) != 3 || h.last() != (sent{1, 77}) {
		t.Fatalf("sends %v, want two at the home and one fetch", h.sends)
	}
	b.AttemptEnded(100060, Outcome{RequestID: 1, Attempt: 1, ServerID: 77, Status: OK, LatencyMillis: 40, IsFinal: true, Load: NoLoadReport})
	if len(h.sends) != 5 || h.sends[3].server != home || h.sends[4].server != home {
		t.Errorf("sends %v, want the two that waited at the home", h.sends)
	}
}

// Fetches of servers failed, every failure was tried elsewhere and fetched again, and the origin stayed down.
func TestFailedFetchIsTheOriginsTrouble(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for i := range uint32(40) { // 300 ms apart; the bound falls, and fetches come to pause
		now, was := 100010+300*float64(i), len(h.sends)
		ask(b, now, i+1, "read", uint64(i))
		if len(h.sends) > was {
			b.AttemptEnded(now+20, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: Failed, LatencyMillis: 20, CacheResult: CacheMiss, Load: NoLoadReport})
		}
		if len(h.sends) > was+1 {
			t.Fatalf("request %d was sent again", i+1)
		}
	}
	if n := len(h.sends); n < 6 || n > 20 || b.originFetches.limit > 0.5 || countEjected(b.membership.caches) > 0 {
		t.Errorf("%d sends for 40 requests, bound %v, %d ejected", n, b.originFetches.limit, countEjected(b.membership.caches))
	}
	n := len(h.sends)
	for i := range uint32(40) {
		ask(b, 120000, 100+i, "once", uint64(100+i))
	}
	if out := len(h.sends) - n; out != 1 {
		t.Errorf("%d out at a bound of %v", out, b.originFetches.limit)
	}
	for i := range uint32(60) { // answers bring the bound back
		if r := b.requests[h.last().id]; r != nil && r.inFlight > 0 {
			b.AttemptEnded(120020+20*float64(i), Outcome{RequestID: r.ID, ServerID: h.last().server, LatencyMillis: 20, CacheResult: CacheMiss, IsFinal: true, Load: NoLoadReport})
		}
	}
	if b.originFetches.limit < 2 {
		t.Errorf("bound %v after the origin came back", b.originFetches.limit)
	}
}

// Keys whose fetches failed went on counting as stored: a stopped origin was asked 88 times a second without a place.
func TestKeyWhoseFetchFailedTakesAPlace(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100001, 1, "read", 5)
	b.AttemptEnded(100041, Outcome{RequestID: 1, ServerID: h.last().server, LatencyMillis: 40, CacheResult: CacheMiss, IsFinal: true, Load: NoLoadReport})
	if ask(b, 101000, 2, "read", 5); b.requests[2].isServerFetch {
		t.Error("a key stored a second ago was taken for a miss")
	}
	b.AttemptEnded(101200, Outcome{RequestID: 2, ServerID: h.last().server, Status: Failed, LatencyMillis: 200, CacheResult: CacheMiss, Load: NoLoadReport})
	if ask(b, 102000, 3, "read", 5); !b.requests[3].isServerFetch {
		t.Error("a key whose fetch failed was taken for stored")
	}
}

// An overload raised the floor of servers that then idled: refused for it, no request could correct what was seen.
func TestFloorSeenFades(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 100, 1)
		s.load.latencyPerWork.update(b.now, 250, 1)
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 112001, 2, "read", 6)
	if h.rejected[1] != 1 || h.rejected[2] != 0 {
		t.Errorf("refused %v: want the first only", h.rejected)
	}
}

// Without a report every wait was nil, and the first second of a day choked all servers for half a minute.
func TestUnreportedServersAreNotFlooded(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(6), Endpoint{ID: 77, Kind: "origin"}))
	b.serviceTime.add(100)
	for i := range uint32(600) {
		ask(b, 100001, i+1, "dear", uint64(i))
	}
	if n := len(h.sends) / 6; n < 3 || n > 12 {
		t.Errorf("%d requests out at each server that has not reported yet", n)
	}
}

// ---- List ----

// Requests that waited for fetches timed out, healthy servers were ejected for it, and their keys became misses.
func TestTimeOutWhileOthersAreAnsweredIsNoSign(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[0]
	for range 20 {
		s.health.lastReplyAt = b.now
		b.observe(s, Timeout, b.now-400)
	}
	if s.health.acceptedShare < 1 || s.health.isEjected {
		t.Errorf("accept %.2f, ejected %v: a server that answers others was blamed", s.health.acceptedShare, s.health.isEjected)
	}
	for range 20 {
		b.observe(s, Timeout, b.now+1)
	}
	if !s.health.isEjected {
		t.Error("a silent server is still in use")
	}
}

// Where servers fetch by themselves, the floor under latencies held a fetch, and idle servers refused cheap requests.
func TestWaitForAFetchIsNotTheServersLatency(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100001, 1, "read", 5)
	s := b.membership.servers[h.last().server]
	was, x := s.load.latencyPerWork, b.serviceTime
	b.AttemptEnded(100301, Outcome{RequestID: 1, ServerID: s.ID, Status: OK, LatencyMillis: 300, CacheResult: CacheMiss, IsFinal: true, Load: NoLoadReport})
	if s.load.latencyPerWork != was || b.serviceTime != x {
		t.Errorf("latency %v, moments %v: changed by a fetch", s.load.latencyPerWork, b.serviceTime)
	}
	ask(b, 100302, 2, "read", 5)
	b.AttemptEnded(100342, Outcome{RequestID: 2, ServerID: s.ID, Status: OK, LatencyMillis: 40, CacheResult: CacheHit, IsFinal: true, Load: NoLoadReport})
	if s.load.latencyPerWork.value != 40 || b.serviceTime.mean != 40 {
		t.Errorf("latency %v, mean %v after a hit of 40 ms", s.load.latencyPerWork.value, b.serviceTime.mean)
	}
}

func TestListIsAskedForAgainAfterARefusal(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints = true
	b, h := start(t, cfg, fleet(3))
	tickTo := func(from, to float64) {
		for now := from; now <= to; now += 100 {
			b.TimerExpired(now, housekeepingToken)
		}
	}
	tickTo(100100, 100300)
	if h.watches != 1 {
		t.Fatalf("%d calls after the start, want 1", h.watches)
	}
	b.UpdateEndpoints(100350, WatchFailed, nil)
	tickTo(100400, 102000)
	if h.watches != 2 {
		t.Fatalf("%d calls after a refusal, want 2", h.watches)
	}
	if len(b.membership.caches) != 3 {
		t.Error("a refusal lost the list")
	}
	b.UpdateEndpoints(102050, ChangedEndpoints, nil)
	tickTo(102100, 120000)
	if h.watches != 2 {
		t.Errorf("%d calls while subscribed, want 2", h.watches)
	}
}

func TestSilentServerIsEjectedAndTakenBackSlowly(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[0]
	for range maxUnanswered {
		b.observe(s, Timeout, b.now+1)
	}
	if !s.health.isEjected || b.isUsableFor(s, read(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("three signs of silence did not take it out")
	}
	for _, o := range b.membership.caches[1:3] {
		o.health.isEjected = true
	}
	o := b.membership.caches[3]
	for range 2 * maxUnanswered {
		b.observe(o, Timeout, b.now+1)
	}
	if o.health.isEjected {
		t.Error("silence of half the fleet was not taken for our own trouble")
	}
	b.now = s.health.probeAt + 1
	if !b.isUsableFor(s, read(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("no trial after the pause")
	}
	for _, o := range b.membership.caches {
		o.load.capacityPerSecond.update(b.now, 100, 1)
	}
	b.serviceTime.add(100)
	b.observe(s, OK, b.now)
	if b.prepareModels(); s.health.isEjected || s.model.channels > 6 || b.membership.caches[5].model.channels != 10 {
		t.Errorf("ejected %v, %d channels where others have %d: want it back with about half", s.health.isEjected, s.model.channels, b.membership.caches[5].model.channels)
	}
	if b.observe(s, Failed, b.now); !s.health.isEjected {
		t.Error("one failure after the return did not take it out again")
	}
}

// With a bound on the age of reports, a router of a large fleet sent several probes for each of its requests.
func TestProbesAreAPartOfTheRequests(t *testing.T) {
	cfg := testConfig()
	cfg.LoadByHealthCheck, cfg.HealthChecks, cfg.Routers = true, true, 600
	b, h := start(t, cfg, fleet(100))
	n := uint32(0)
	for now := 100000.0; now < 160000; now += 100 {
		b.TimerExpired(now, housekeepingToken)
		if int(now)%400 == 0 { // 2.5 requests a second
			n++
			ask(b, now, n, "read", uint64(n))
			b.AttemptEnded(now, Outcome{RequestID: n, ServerID: h.last().server, Status: OK, LatencyMillis: 1, IsFinal: true, Load: NoLoadReport})
		}
	}
	if most := 0.2 * float64(n); float64(len(h.probes)) > most || len(h.probes) < int(n)/10 {
		t.Errorf("%d probes for %d requests, want 0.1 to 0.2 each", len(h.probes), n)
	}
	seen := map[uint32]bool{}
	for _, id := range h.probes {
		seen[id] = true
	}
	if len(seen) != len(h.probes) {
		t.Errorf("%d probes went to %d servers: want them in turn", len(h.probes), len(seen))
	}
}

// The bound had risen to several times what was out while the origin was quick: when it was asked for more than it could
// do, cuts of a fifth left a queue there for seconds, and half of all fetches came too late.
func TestBoundOnFetchesFallsBelowThoseThatQueue(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, _ := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.limit, b.originFetches.latency, b.membership.origin.attempts.inFlight = 40, trend{value: 80, floor: 80, updatedAt: b.now}, 12
	r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
	for range 20 { // 160 ms are less than 2.5 times the floor, but over half of the aim
		b.now += 10
		b.fetchEnded(r, OK, 160)
	}
	if b.originFetches.limit >= 12 {
		t.Errorf("a bound of %v with 12 out, half of the aim late", b.originFetches.limit)
	}
	b.originFetches.limit, b.originFetches.latency, b.membership.origin.attempts.inFlight = 40, trend{value: 80, floor: 80, updatedAt: b.now}, 2
	b.now += 1000
	if b.fetchEnded(r, Reset, 400); b.originFetches.limit < 30 { // a lost answer tells of no queue
		t.Errorf("a bound of %v after one reset", b.originFetches.limit)
	}
}

// A whole fetch at each of hundreds of routers, from the start or as the least that a cut leaves, jammed the origin.
func TestFetchesOfManyRoutersAddUpToAFewPlaces(t *testing.T) {
	for _, routers := range []int{4, 300} {
		cfg := testConfig()
		cfg.CacheAside, cfg.OriginKind, cfg.Routers = true, "origin", routers
		b, h := start(t, cfg, append(fleet(3), Endpoint{ID: 77, Kind: "origin"}))
		r := &request{class: &Class{LatencyObjectiveMillis: 300}, key: &keyTraffic{}}
		b.fetchEnded(r, OK, 30)
		for range 60 {
			b.now += 1000
			b.fetchEnded(r, Timeout, 900)
		}
		if all := b.originFetches.limit * float64(routers); all > 10 {
			t.Errorf("%d routers: a bound of %v in all though every fetch is late", routers, all)
		}
		b.originFetches.limit, b.originFetches.latency = 0.1, trend{value: 100, floor: 100}
		n := len(h.sends)
		for i := range uint32(100) { // in 10 s
			b.now += 100
			b.Request(b.now, Request{ID: i + 1, Class: "once", Key: uint64(i), HasKey: true, IsWrite: true, RemainingMillis: 600})
			if r := b.requests[h.last().id]; r != nil && r.inFlight > 0 {
				b.AttemptEnded(b.now, Outcome{RequestID: r.ID, ServerID: 77, Status: OK, LatencyMillis: 100, IsFinal: true, Load: NoLoadReport})
				b.originFetches.limit = 0.1
			}
		}
		if sent := len(h.sends) - n; routers == 300 && (sent < 8 || sent > 20) { // of a few, an answer lifts it over one
			t.Errorf("%d routers: %d fetches in 10 s at a bound of 0.1 and 100 ms each, want about ten", routers, sent)
		}
	}
}

// Idle connections of hundreds of routers filled the tables of servers, and others' attempts failed to connect.
func TestConnectErrorsShortenTheTimeThatConnectionsAreKept(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeoutMillis = 60000
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "read", 9)
	first := h.last().server
	b.AttemptEnded(100050, Outcome{RequestID: 1, ServerID: first, Status: OK, LatencyMillis: 40, IsFinal: true, Load: NoLoadReport})
	b.TimerExpired(105000, housekeepingToken)
	if len(h.closes) != 0 {
		t.Fatalf("closed %v though no connect failed", h.closes)
	}
	for _, s := range b.membership.caches[:5] { // dead, for all that is known
		b.observe(s, ConnectError, b.now)
	}
	b.TimerExpired(105050, housekeepingToken)
	if len(h.closes) != 0 || b.idleTimeoutMillis != cfg.IdleTimeoutMillis {
		t.Fatalf("kept for %v and closed %v after connects that dead servers refused", b.idleTimeoutMillis, h.closes)
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

// A router that asks each of many servers once in ten seconds saw no queue anywhere while the whole fleet choked,
// and shed nothing; one that asks each often goes by what it sees of each.
func TestSeldomAskedServersAreTakenToBeAsJammedAsTheFleet(t *testing.T) {
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
			b.AttemptEnded(now+took, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: OK, LatencyMillis: took, IsFinal: true, Load: NoLoadReport})
		}
		s := b.membership.caches[0]
		s.attempts.inFlight, s.load.latencyPerWork = 0, trend{value: 40, floor: 40, updatedAt: b.now}
		s.load.capacityPerSecond.value = 100
		return b.expectedWaitMillis(s)
	}
	if few, many := wait(8), wait(400); few < 50 || many > 20 {
		t.Errorf("wait %v where each server is seldom asked, %v where often: want a long and a short one", few, many)
	}
}

// A few requests over a quota's part are chance where a router sees little: whole tenants were shed in turn.
func TestChanceDoesNotPutATenantOverItsQuota(t *testing.T) {
	cfg := testConfig()
	cfg.Routers, cfg.OverQuotaWeight = 100, 0.05
	cfg.Tenants = []Tenant{{Name: "x", QuotaPerSecond: 100}} // one a second here
	for perSecond, want := range map[int]bool{1: false, 4: true} {
		b, h := start(t, cfg, fleet(6))
		over := 0
		rng := rand.New(rand.NewPCG(3, 4))
		for i := range uint32(40 * uint32(perSecond)) {
			now := b.now + rng.ExpFloat64()*1000/float64(perSecond)
			b.Request(now, Request{ID: i + 1, Class: "read", Tenant: "x", Key: uint64(i), HasKey: true, RemainingMillis: 600})
			if r := b.requests[i+1]; r != nil && r.priority < 1 {
				over++
			}
			b.AttemptEnded(now, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: OK, LatencyMillis: 1, IsFinal: true, Load: NoLoadReport})
		}
		if share := float64(over) / float64(40*perSecond); want != (share > 0.5) || !want && share > 0.15 {
			t.Errorf("%d a second for a quota of 1: %v of the requests count as over it", perSecond, share)
		}
	}
}

// A jammed home that still answered a few of its requests in time looked idle by those, and got all the others too.
func TestTimeOutsRaiseTheWaitOfAServer(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	s := b.membership.servers[h.last().server]
	s.load.reportedPerSecond = 40
	b.AttemptEnded(100050, Outcome{RequestID: 1, ServerID: s.ID, Status: OK, LatencyMillis: 40, IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport})
	idle := b.expectedWaitMillis(s)
	for i := range uint32(5) {
		id := i + 2
		ask(b, 100060, id, "read", 9)
		b.AttemptEnded(100060+300, Outcome{RequestID: id, ServerID: s.ID, Status: Timeout, LatencyMillis: 300, Load: NoLoadReport})
	}
	if jammed := b.expectedWaitMillis(s); jammed < idle+10 {
		t.Errorf("wait %v after five time-outs, %v before", jammed, idle)
	}
	was := s.load.latencyPerWork.value
	ask(b, 100400, 10, "read", 9)
	b.AttemptEnded(100405, Outcome{RequestID: 10, ServerID: s.ID, Status: Timeout, LatencyMillis: 5, Load: NoLoadReport})
	if s.load.latencyPerWork.value < was {
		t.Errorf("a time-out of 5 ms lowered the latency from %v to %v", was, s.load.latencyPerWork.value)
	}
}

// With nine in ten attempts timing out nothing was learnt of the fleet, and all was sent on to servers that no longer
// answered: only answers and refusals counted.
func TestTimeOutsOfTheFleetShedWhereServersAreSeldomAsked(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(60), Endpoint{ID: 77, Kind: "origin"}))
	refused := 0
	for i := range uint32(120) {
		now := 100010 + 350*float64(i)
		ask(b, now, i+1, "read", uint64(i))
		switch sent := len(h.sends) > 0 && h.last().id == i+1; {
		case !sent:
			refused++
		case i < 20:
			b.AttemptEnded(now+40, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: OK, LatencyMillis: 40, IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport})
		default:
			b.AttemptEnded(now+600, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: Timeout, LatencyMillis: 600, Load: NoLoadReport})
		}
	}
	if refused < 20 {
		t.Errorf("%d of 100 requests refused early while every attempt timed out", refused)
	}
}

// A collapse was known by its time-outs only, more than a second late, by when the servers were choked.
func TestStallsTellOfAJamBeforeTimeOutsDo(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(60), Endpoint{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 1)
	b.AttemptEnded(100050, Outcome{RequestID: 1, ServerID: h.last().server, Status: OK, LatencyMillis: 40, IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport})
	was := b.expectedWaitMillis(b.membership.caches[0])
	for i := range uint32(8) {
		id, now := i+2, 101010+float64(300*i)
		ask(b, now, id, "read", uint64(id))
		b.membership.servers[h.last().server].health.lastReplyAt = 0
		b.TimerExpired(now+200, uint64(id)<<8|1)
	}
	if wait := b.expectedWaitMillis(b.membership.caches[0]); wait < was+30 {
		t.Errorf("wait %v after eight stalls, %v before", wait, was)
	}
}

// With all servers refusing and ejected, a busy router tried them as a last resort for each request, and each refused.
func TestLastResortIsTakenToBeAsJammedAsTheFleet(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[0]
	b.arrivals.add(b.now, trafficTimeConstantMillis, 2000)
	for _, s := range b.membership.caches {
		b.recordWait(s, 360)
	}
	b.now += 100
	well := b.expectedWaitMillis(s)
	s.health.isEjected = true
	if sick := b.expectedWaitMillis(s); sick < 300 || well > 100 {
		t.Errorf("wait %v at an ejected server, %v at another of a busy router", sick, well)
	}
}

// An answer spoilt on its way says little of the server: it is not taken for dead, nor are idle connections closed
// sooner. One that spoils everything goes out all the same.
func TestSpoiltAnswersAreNoSignOfADeadServer(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	keep := b.idleTimeoutMillis
	for id := uint32(1); id <= 8; id++ {
		now := 100000 + float64(id)*100
		ask(b, now, id, "read", 9)
		b.AttemptEnded(now+10, Outcome{RequestID: id, ServerID: h.last().server, Status: MalformedResponse, LatencyMillis: 10, Load: NoLoadReport})
		if s := b.membership.servers[h.sends[0].server]; id == 1 && (s.health.isEjected || s.health.unanswered > 0 || b.idleTimeoutMillis != keep) {
			t.Fatalf("after %d: ejected %v, strikes %d, connections kept for %v", id, s.health.isEjected, s.health.unanswered, b.idleTimeoutMillis)
		}
		for a := 1; h.answers(id) == 0; a++ {
			b.AttemptEnded(now+20, Outcome{RequestID: id, Attempt: a, ServerID: h.last().server, Status: MalformedResponse, LatencyMillis: 10, Load: NoLoadReport})
		}
	}
	if s := b.membership.servers[h.sends[0].server]; !s.health.isEjected {
		t.Error("a server that spoils everything is still in use")
	}
}

// The origin's answer is spoilt on its way to the router, and stored where the key was missing: there it is asked for.
func TestSpoiltFetchIsAskedForWhereItIsStored(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(3), Endpoint{ID: 99, Kind: "origin"}))
	fetches := b.originFetches.limit
	ask(b, 100010, 1, "read", 9)
	home := h.last().server
	b.AttemptEnded(100020, Outcome{RequestID: 1, ServerID: home, Status: Miss, LatencyMillis: 10, Load: NoLoadReport})
	if h.last().server != 99 {
		t.Fatal("no fetch")
	}
	b.AttemptEnded(100060, Outcome{RequestID: 1, Attempt: 1, ServerID: 99, Status: MalformedResponse, LatencyMillis: 40, Load: NoLoadReport})
	if len(h.sends) != 3 || h.last().server != home || b.originFetches.limit < fetches || b.keys.byID[9].fetch != nil {
		t.Errorf("sends %v, bound on fetches %v", h.sends, b.originFetches.limit)
	}
}

// A server taken out comes back by a trial also where nothing queues, so that no request has to look past the others.
func TestTrialComesWithoutAQueue(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	home := b.membership.servers[h.last().server]
	b.AttemptEnded(100015, Outcome{RequestID: 1, ServerID: home.ID, Status: OK, LatencyMillis: 5, IsFinal: true, Load: NoLoadReport})
	b.observe(home, Reset, 100020)
	if home.health.isEjected { // a reset is one connection's end
		t.Fatal("out after a reset")
	}
	b.observe(home, Reset, 100020)
	if !home.health.isEjected {
		t.Fatal("two resets do not take a server out")
	}
	tried := false
	for i := range 40 {
		id, now := uint32(100+i), 100100+float64(i)*200
		ask(b, now, id, "read", 9)
		s := h.last()
		if s.server == home.ID && !tried {
			tried = true
			if now < home.health.probeAt {
				t.Errorf("tried before it was due")
			}
		}
		b.AttemptEnded(now+10, Outcome{RequestID: id, ServerID: s.server, Status: OK, LatencyMillis: 10, IsFinal: true, Load: NoLoadReport})
	}
	if !tried || home.health.isEjected {
		t.Errorf("tried %v, out %v", tried, home.health.isEjected)
	}
}

// Where connections end everywhere, a healthy server's ends come two and three in a row by chance and put nobody out;
// one that fails every second attempt still goes out soon, and a dead one sooner.
func TestFailuresCountAgainstTheFleets(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(9))
	rng := rand.New(rand.NewPCG(5, 5))
	out := 0
	for range 3000 {
		for _, s := range b.membership.caches {
			st := OK
			if rng.Float64() < 0.12 {
				st = Reset
			}
			if b.observe(s, st, b.now); s.health.isEjected {
				out++
			}
		}
	}
	if out > 15 { // of 27,000 outcomes
		t.Errorf("healthy servers were out after %d outcomes", out)
	}
	for _, c := range []struct {
		name    string
		fails   func(i int) bool
		atLeast int
		within  int
	}{{"every second", func(i int) bool { return i%2 == 0 }, 3, 40}, {"dead", func(int) bool { return true }, 4, 10}} {
		s := b.membership.caches[4]
		n := 0
		for s.health.evidence, s.health.isEjected = 0, false; !s.health.isEjected && n < 1000; n++ {
			st := OK
			if c.fails(n) {
				st = Reset
			}
			b.observe(s, st, b.now)
		}
		if n < c.atLeast || n > c.within {
			t.Errorf("%s: out after %d outcomes, want %d to %d", c.name, n, c.atLeast, c.within)
		}
	}
}

// What was out when a server was put out comes back failed and late: it was no trial, and the first pause stays short.
func TestOldAttemptsAreNoFailedTrials(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.membership.caches[2]
	for range 2 {
		b.observe(s, Reset, b.now)
	}
	if !s.health.isEjected {
		t.Fatal("two resets do not take a server out of a quiet fleet")
	}
	trial := s.health.probeAt
	for range 10 {
		b.observe(s, Reset, b.now)
		b.eject(s, true)
	}
	if s.health.probeAt != trial || s.health.forcedProbeAt != trial {
		t.Errorf("trial due at %.0f (%.0f), at %.0f (%.0f) after what was sent before", trial, trial, s.health.probeAt, s.health.forcedProbeAt)
	}
	b.now = trial + 1
	if b.observe(s, Reset, b.now); s.health.probeAt <= trial+minEjectionMillis {
		t.Errorf("a failed trial is followed by another after %.0f ms", s.health.probeAt-trial)
	}
}

// A light request takes nearly as long as any other: seen first, its latency for a unit of work made a server look
// twenty times as slow as it is, and it was hardly used for half a minute.
func TestFirstLatencyCountsForItsWork(t *testing.T) {
	cfg := testConfig()
	b, h := start(t, cfg, fleet(6))
	hint := func(id uint32, key uint64, hint float64) *server {
		b.Request(100000+float64(id), Request{ID: id, Class: "read", Key: key, HasKey: true, RemainingMillis: 600, WorkHint: hint})
		s := h.last().server
		b.AttemptEnded(100010+float64(id), Outcome{RequestID: id, ServerID: s, Status: OK, LatencyMillis: 10, IsFinal: true, Load: NoLoadReport})
		return b.membership.servers[s]
	}
	first := hint(1, 9, 100)
	for id := uint32(2); ; id++ { // the key of another server
		if id == 100 {
			t.Fatal("one server has all keys")
		}
		s := hint(id, uint64(id), 5)
		if s == first {
			continue
		}
		if s.load.latencyPerWork.value > 30 {
			t.Errorf("latency of a unit of work %.0f ms, want some 10", s.load.latencyPerWork.value)
		}
		return
	}
}

// Latencies have a part that no hint foretells: light requests were given up after a few milliseconds, and a pause of a
// server with four of them out looked like its death.
func TestLightRequestsAreWaitedForAsForHalfAUnit(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	patience := func(id uint32, hint float64) float64 {
		b.Request(100010, Request{ID: id, Class: "read", Key: 9, HasKey: true, RemainingMillis: 600, WorkHint: hint})
		s := h.last().server
		p := h.timers[len(h.timers)-1].after
		b.AttemptEnded(100010, Outcome{RequestID: id, ServerID: s, Status: OK, LatencyMillis: 20, IsFinal: true, Load: NoLoadReport})
		return p
	}
	patience(1, 100)
	half, light := patience(2, 50), patience(3, 5)
	if light < 0.9*half || light > 1.1*half {
		t.Errorf("patience %.0f ms for half a unit and %.0f for a twentieth", half, light)
	}
}

// Homes were spread evenly whatever servers can do: slow ones jammed while fast ones idled.
func TestHomesAreSpreadByCapacity(t *testing.T) {
	var es []Endpoint
	for i, e := range fleet(60) {
		e.Kind = []string{"fast", "slow"}[i%2]
		es = append(es, e)
	}
	first := map[uint64]uint32{}
	moved, keys := 0, 4000
	for router := range 2 {
		b, _ := start(t, testConfig(), es)
		for i, s := range b.membership.caches {
			// Reports are noisy, and each router has its own.
			s.load.capacityPerSecond.value = map[string]float64{"fast": 90, "slow": 30}[s.Kind] * (1 + 0.1*float64((i+router)%3-1))
			s.load.reportedPerSecond, s.load.reportedAt = 0.5*s.load.capacityPerSecond.value, b.now
		}
		b.prepareModels()
		homes := map[string]int{}
		for i := range keys {
			k := &keyTraffic{id: splitMix64(uint64(i))}
			home := b.candidates(k)[0]
			if homes[home.Kind]++; router == 0 {
				first[k.id] = home.ID
			} else if first[k.id] != home.ID {
				moved++
			}
		}
		if r := float64(homes["fast"]) / float64(homes["slow"]); r < 2.3 || r > 4 {
			t.Errorf("router %d: %.2f times as many homes at servers of three times the capacity", router, r)
		}
		// A server that fails, or is cold, takes fewer.
		s := b.membership.caches[0]
		count := func() (n int) {
			b.prepareModels()
			for i := range keys {
				if b.candidates(&keyTraffic{id: splitMix64(uint64(i))})[0] == s {
					n++
				}
			}
			return n
		}
		well := count()
		s.health.acceptedShare = 0.5
		sick := count()
		s.health.acceptedShare, s.slowStart.startedAt = 1, b.now
		if cold := count(); sick > well/2 || cold > well*2/3 || cold == 0 {
			t.Errorf("homes: %d while well, %d when half fails, %d when just started", well, sick, cold)
		}
	}
	if moved > keys/10 {
		t.Errorf("%d of %d keys have another home at another router", moved, keys)
	}
}

// A server that refuses connections is out after one, unless it has just answered, and trying elsewhere is free.
func TestARefusedConnectionIsEnough(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	b.retryBudget = 0
	ask(b, 105000, 1, "read", 9)
	dead := b.membership.servers[h.last().server]
	b.AttemptEnded(105001, Outcome{RequestID: 1, ServerID: dead.ID, Status: ConnectError, LatencyMillis: 1, Load: NoLoadReport})
	if !dead.health.isEjected || len(h.sends) != 2 || h.last().server == dead.ID {
		t.Errorf("ejected %v, sent %v", dead.health.isEjected, h.sends)
	}
	other := b.membership.servers[h.last().server]
	b.AttemptEnded(105050, Outcome{RequestID: 1, Attempt: 1, ServerID: other.ID, Status: OK, LatencyMillis: 49, IsFinal: true, Load: NoLoadReport})
	b.observe(other, ConnectError, 105040)
	if other.health.isEjected {
		t.Error("a server that has just answered is out after one connection that was refused")
	}
}

// One jammed server made a router of many refuse what was meant for all others.
func TestAJamIsOfTheServerThatShowsIt(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, _ := start(t, cfg, append(fleet(60), Endpoint{ID: 77, Kind: "origin"}))
	for range 20 {
		b.now += 50
		b.recordWait(b.membership.caches[0], 300)
		for _, s := range b.membership.caches[1:20] {
			b.recordWait(s, 0)
		}
	}
	b.now += 100
	if jammed, well := b.expectedWaitMillis(b.membership.caches[0]), b.expectedWaitMillis(b.membership.caches[30]); jammed < 200 || well > 40 {
		t.Errorf("a wait of %v at the jammed server, of %v at another", jammed, well)
	}
}

// Eighty routers each held back a whole request's budget from a cold server: for three seconds none sent there, and then
// all at once. All together send evenly, and no more than a few routers do.
func TestManyRoutersWarmAServerEvenly(t *testing.T) {
	const seconds, capacity = 4, 50.0
	for _, routers := range []int{4, 80} {
		var sent [seconds]float64
		for me := range routers {
			cfg := testConfig()
			cfg.Routers, cfg.RouterIndex = routers, me
			b, err := New(cfg, uint64(me)*977+5, newHost())
			if err != nil {
				t.Fatal(err)
			}
			es := fleet(6)
			b.UpdateEndpoints(100000, RestoredEndpoints, es)
			for _, s := range b.membership.caches {
				s.load.capacityPerSecond.value, s.load.reportedPerSecond = capacity, 20
			}
			b.surveyCapacities()
			es[0].StartedAt = 100100
			b.UpdateEndpoints(100100, ChangedEndpoints, es[:1])
			s := b.membership.servers[es[0].ID]
			for b.now = 100100; b.now < 100100+1000*seconds; b.now += 10 { // sends whatever it may
				if b.hasSlowStartBudget(s, 1) {
					s.slowStart.budget.requests--
					sent[int(b.now-100100)/1000]++
				}
			}
		}
		limit := testConfig().OverloadFactor * testConfig().SlowStartInitialShare * capacity // a second, at its coldest
		for second, n := range sent {
			if n < 0.2*limit || n > limit {
				t.Errorf("%d routers: %v requests in second %d, at a limit of %v", routers, n, second, limit)
			}
		}
	}
}

// The bound on fetches grew by one a router each time that fetches came back: a step of two thirds for eighty routers.
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
		if grown := (b.originFetches.limit - was) * float64(routers); b.originFetches.limit < 64 && (grown < 0.5 || grown > 32) {
			t.Errorf("%d routers: the bounds of all grew from 128 by %.1f in one round", routers, grown)
		}
	}
}

// Work at the origin that comes back too late helps nobody and delays what could be in time.
func TestNoFetchThatCantBeInTime(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(6), Endpoint{ID: 77, Kind: "origin"}))
	b.originFetches.latency = trend{value: 280, floor: 100, updatedAt: 100000}
	ask(b, 100010, 1, "read", 9)
	b.AttemptEnded(100050, Outcome{RequestID: 1, ServerID: h.last().server, Status: Miss, LatencyMillis: 40, CacheResult: CacheMiss, Load: NoLoadReport})
	if h.last().server == 77 || h.answers(1) != 1 {
		t.Errorf("sent %v with 260 ms left of an aim, and fetches that take 280", h.sends)
	}
	b.TimerExpired(110000, housekeepingToken) // what was seen of a queue fades
	ask(b, 110010, 2, "read", 9)
	b.AttemptEnded(110050, Outcome{RequestID: 2, ServerID: h.last().server, Status: Miss, LatencyMillis: 40, CacheResult: CacheMiss, Load: NoLoadReport})
	if h.last().server != 77 {
		t.Errorf("sent %v, want the origin asked once its queue is past", h.sends)
	}
}

// A choked server kept its keys until three requests in a row had got no answer at each of eighty routers.
func TestAStallMovesKeysAtOnce(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(20), Endpoint{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 9)
	s := b.membership.servers[h.last().server]
	b.prepareModels()
	homes := func() (n int) {
		for i := range uint64(2000) {
			if b.candidates(&keyTraffic{id: splitMix64(i)})[0] == s {
				n++
			}
		}
		return n
	}
	was := homes()
	b.TimerExpired(100200, 1<<8|1)
	b.prepareModels()
	if is := homes(); is > was/2 {
		t.Errorf("%d homes before a stall, %d after", was, is)
	}
}

// What a client asks again is worth something until its first try's aim: routers worked on for its deadline.
func TestTheAimOfALastTryCountsFromTheFirst(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	now := 100010.0
	try := func(id uint32, left float64, retry bool) float64 { // how long its answer is worth something
		b.Request(now, Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, RemainingMillis: left, IsRetry: retry})
		if r := b.requests[id]; r != nil {
			return r.objectiveAt - now
		}
		return 0
	}
	for i, c := range []struct {
		left  float64
		retry bool
		want  float64
	}{{400, false, 300}, {400, true, 300}, {500, true, 200}, {350, true, 50}, {250, true, 0}} {
		if got := try(uint32(i+1), c.left, c.retry); got != c.want {
			t.Errorf("%v ms left, again %v: an aim of %v ms, want %v", c.left, c.retry, got, c.want)
		}
	}
	if h.rejected[5] != 1 {
		t.Error("what can earn nothing any more is not refused at once")
	}
}

// A key of eight servers' worth of work jammed the six that a list named.
func TestTheHottestKeyFindsRoom(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 100
	b, _ := start(t, cfg, fleet(60))
	k := b.trafficOf(Request{Key: 9, HasKey: true})
	k.arrivals = decayingSum{value: 50, updatedAt: b.now} // half of what this router sees
	b.arrivals = decayingSum{value: 100, updatedAt: b.now}
	b.serviceTime = moments{mean: 100, square: 20000, samples: 400}
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.value, s.load.reportedPerSecond, s.load.reportedAt = 50, 8, b.now // 10 are busy with the key, at 400 a second
		s.attempts.work = decayingSum{value: 0.1, updatedAt: b.now}
	}
	b.originFetches.latency = trend{value: 100, floor: 100, updatedAt: b.now}
	b.solve()
	if len(k.copies) < 9 {
		t.Errorf("the key is at %d servers with shares %.2f", len(k.copies), k.shares)
	}
}

// An attempt past its patience was given up though no server would take it on: a third of a jammed server's attempts,
// each with its connection. Now it is waited for until its aim, and then its client is told at once.
func TestAnAttemptIsGivenUpForAnotherOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		full bool
	}{{"others are free", false}, {"others are full", true}} {
		cfg := testConfig()
		cfg.HedgingAllowed = false
		b, h := start(t, cfg, fleet(6))
		ask(b, 100010, 1, "read", 9)
		if c.full {
			for _, s := range b.membership.caches {
				s.load.capacityPerSecond.value, s.attempts.inFlight = 1, s.attempts.inFlight+40
			}
		}
		b.TimerExpired(100100, 1<<8|1)
		if gave := len(h.cancels) > 0; gave == c.full {
			t.Fatalf("%s: cancelled %v", c.name, h.cancels)
		}
		if !c.full {
			continue
		}
		if last := h.timers[len(h.timers)-1]; math.Abs(last.after-210) > 1e-6 || h.answers(1) != 0 {
			t.Errorf("comes back after %v ms, want the aim; %d answers by then", last.after, h.answers(1))
		}
		b.TimerExpired(100311, 1<<8|1)
		if len(h.cancels) != 1 {
			t.Fatalf("cancelled %v at the aim, when an answer is worth nothing", h.cancels)
		}
		b.AttemptEnded(100311, Outcome{RequestID: 1, ServerID: h.last().server, Status: Cancelled, LatencyMillis: 301, Load: NoLoadReport})
		if h.rejected[1] != 1 {
			t.Error("its client is not told at once")
		}
	}
}

// A ninth of a fetch at each of 300 routers kept the origin idle after a start.
func TestAMissAfterTheStartIsFetchedAtOnce(t *testing.T) {
	for _, routers := range []int{1, 4, 80, 300} {
		cfg := testConfig()
		cfg.CacheAside, cfg.OriginKind, cfg.Routers = true, "origin", routers
		cfg.Classes[0].LatencyObjectiveMillis, cfg.Classes[0].DeadlineMillis = 600, 1200
		b, h := start(t, cfg, append(fleet(6), Endpoint{ID: 77, Kind: "origin"}))
		for i := range uint32(12) { // the last is on its way when the next one misses
			now := 100010 + 300*float64(i)
			ask(b, now, i+1, "read", uint64(i))
			b.AttemptEnded(now+20, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: Miss, LatencyMillis: 20, CacheResult: CacheMiss, Load: NoLoadReport})
			if h.last() != (sent{i + 1, 77}) {
				t.Fatalf("%d routers: request %d is not fetched: sent %v", routers, i+1, h.sends)
			}
			b.AttemptEnded(now+270, Outcome{RequestID: i + 1, Attempt: 1, ServerID: 77, Status: OK, LatencyMillis: 250, IsFinal: true, Load: NoLoadReport})
		}
	}
}

// A router of hundreds paid for a probe in seven requests all day, and met each server's report once in a minute.
func TestProbesStopWhereTheyTellLittle(t *testing.T) {
	for _, c := range []struct {
		servers, perSecond int
		least, most        float64 // probes for each arrival, late in the day
	}{{12, 100, 0.14, 0.16}, {150, 17, 0.005, 0.03}} {
		cfg := testConfig()
		cfg.Routers, cfg.LoadByHealthCheck, cfg.HealthChecks = 300, true, true
		b, h := start(t, cfg, fleet(c.servers))
		id, late := uint32(0), 0
		for i := range 30 * c.perSecond {
			now := 100010 + float64(i)*1000/float64(c.perSecond)
			id++
			ask(b, now, id, "read", uint64(id%50))
			if n := len(h.sends); n > 0 && h.sends[n-1].id == id {
				b.AttemptEnded(now+1, Outcome{RequestID: id, ServerID: h.last().server, Status: OK, LatencyMillis: 50, IsFinal: true, Load: NoLoadReport})
			}
			b.TimerExpired(now+2, housekeepingToken)
			for _, s := range h.probes {
				b.HealthCheckEnded(now+3, s, OK, LoadReport{RequestsPerSecond: 20 + float64(i%7), Utilization: 0.4, ErrorsPerSecond: -1, Inflight: -1, LatencyMillis: -1})
			}
			if i >= 15*c.perSecond {
				late += len(h.probes)
			}
			h.probes = h.probes[:0]
		}
		// At the least 700 ms pass between two probes of a server.
		most := min(c.most, float64(c.servers)/0.7/float64(c.perSecond))
		if got := float64(late) / float64(15*c.perSecond); got < min(c.least, 0.8*most) || got > most {
			t.Errorf("%d servers at %d a second: %.3f probes for each arrival, want %.3f to %.3f", c.servers, c.perSecond, got, c.least, most)
		}
	}
}

// Cuts left hundreds of routers a fortieth of a fetch each, and a bound below one grows with fetches only: it took minutes.
func TestABoundThatWasCutLeavesATenthOfTheRequests(t *testing.T) {
	cfg := testConfig()
	cfg.CacheAside, cfg.OriginKind, cfg.Routers = true, "origin", 300
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
	// Two a second of 100 ms each, though every fetch is late: all hundreds together ask for a tenth of what they are asked.
	if b.originFetches.limit < 0.15 || b.originFetches.limit > 0.8 {
		t.Errorf("a bound of %.3f", b.originFetches.limit)
	}
}
