package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkRouter measures the CPU time of the decisions for one request, with its outcome and its
// share of housekeeping. The figures are in docs/fleet.md.
func BenchmarkRouter(b *testing.B) {
	for _, servers := range []int{12, 30, 60} {
		for _, routers := range []int{4, 20, 80} {
			b.Run(fmt.Sprintf("servers=%d/routers=%d", servers, routers), func(b *testing.B) {
				cfg := testConfig()
				cfg.Routers = routers
				cfg.CacheAside = true
				cfg.OriginKind = "origin"
				balancer, h := newTestBalancer(b, cfg,
					append(readyEndpoints(servers), Endpoint{ID: 77, Kind: "origin"}))
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now := 100010 + 50*float64(i) // 20 per second
					sendRequest(balancer, now, uint32(i+1), "read", splitMix64(uint64(i%500)))
					if n := len(h.sends); n > 0 && h.sends[n-1].id == uint32(i+1) {
						balancer.AttemptEnded(now+40, withCacheResult(CacheHit,
							servedOutcome(uint32(i+1), h.sends[n-1].server, 40)))
					}
					if i%2 == 0 {
						balancer.TimerExpired(now+45, housekeepingToken)
					}
					h.sends = h.sends[:0]
					h.timers = h.timers[:0]
				}
			})
		}
	}
}

// Guards against duplicate or late events, and events with unknown IDs of requests, attempts and
// servers: they must have no effect and leave no records behind.
func TestDuplicateLateAndUnknownEventsHaveNoEffect(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	sendRequest(b, 100010, 1, "read", 9)
	s := h.lastSend().server
	ok := withCacheResult(CacheHit, servedOutcome(1, s, 40))
	b.AttemptEnded(100050, ok)
	b.AttemptEnded(100051, ok)
	b.AttemptEnded(100052, Outcome{RequestID: 77, Attempt: 3, ServerID: 5, Status: Failed, Load: NoLoadReport})
	b.AttemptEnded(100053, Outcome{RequestID: 1, Attempt: -1, ServerID: s, Status: Failed, Load: NoLoadReport})
	b.ClientDisconnected(100054, 1)
	b.ClientDisconnected(100055, 78)
	b.StreamStarted(100056, 79)
	b.TimerExpired(100057, 80<<8|1)
	b.HealthCheckEnded(100058, 81, OK, NoLoadReport)
	inFlight := b.membership.servers[s].attempts.inFlight
	if len(h.sends) != 1 || h.finalAnswers(1) != 0 || inFlight != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, answers %d, in flight %d, requests %d", h.sends, h.finalAnswers(1), inFlight,
			len(b.requests))
	}
}

// Guards against missing, second or late answers: attempts end in every way at random times, soft
// timeouts expire and clients disconnect. Each request must get exactly one final answer, no
// attempt may be sent after it, and no records may be left behind.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := testConfig()
		cfg.HedgingAllowed = seed%2 == 0
		cfg.CancelAllowed = seed%3 != 0
		cfg.CacheAside = seed%4 > 1
		cfg.OriginKind = "origin"
		endpoints := append(readyEndpoints(5), Endpoint{ID: 77, Kind: "origin"})
		b, h := newTestBalancer(t, cfg, endpoints)
		type pendingAttempt struct {
			dueAt   float64
			outcome Outcome
		}
		statuses := []AttemptStatus{OK, OK, Failed, QueueFull, Timeout, ConnectError, Reset, Miss, MalformedResponse}
		answered := map[uint32]int{}
		attempts := map[uint32]int{}
		deadlines := map[uint32]float64{}
		h.onSend = func(id uint32) {
			if answered[id]+h.finalAnswers(id) > 0 {
				t.Fatalf("seed %d: request %d sent after its answer", seed, id)
			}
		}
		var pending []pendingAttempt
		sendsSeen := 0
		timers := []timer{}
		lastID := uint32(0)
		for now := 100000.0; now < 104000; now += 5 {
			if now < 103000 {
				for range rng.IntN(4) {
					lastID++
					class := cfg.Classes[rng.IntN(5)].Name
					remaining := 50 + 500*rng.Float64()
					deadlines[lastID] = now + remaining
					b.Request(now, Request{ID: lastID, Class: class, Key: uint64(rng.IntN(20)), HasKey: rng.IntN(9) > 0,
						RemainingMillis: remaining, IsWrite: class == "once"})
				}
			}
			unexpired := timers[:0]
			for _, tm := range timers {
				if tm.after <= now {
					b.TimerExpired(now, tm.token)
				} else {
					unexpired = append(unexpired, tm)
				}
			}
			timers = unexpired
			unfinished := pending[:0]
			for _, p := range pending {
				if p.dueAt > now && deadlines[p.outcome.RequestID] > now {
					unfinished = append(unfinished, p)
					continue
				}
				if p.dueAt > now {
					p.outcome.Status = Timeout
				}
				if answered[p.outcome.RequestID]+h.finalAnswers(p.outcome.RequestID) > 0 {
					p.outcome.IsFinal = true
				} else if p.outcome.Status == OK {
					p.outcome.IsFinal = true
					answered[p.outcome.RequestID]++
				}
				b.AttemptEnded(now, p.outcome)
			}
			pending = unfinished
			for ; sendsSeen < len(h.sends); sendsSeen++ {
				s := h.sends[sendsSeen]
				status := statuses[rng.IntN(len(statuses))]
				pending = append(pending, pendingAttempt{now + 300*rng.Float64(),
					forAttempt(attempts[s.id], endedOutcome(s.id, s.server, status, 20))})
				attempts[s.id]++
			}
			for _, tm := range h.timers {
				timers = append(timers, timer{now + tm.after, tm.token})
			}
			h.timers = nil
		}
		for id := uint32(1); id <= lastID; id++ {
			if n := answered[id] + h.finalAnswers(id); n != 1 {
				t.Fatalf("seed %d: request %d has %d answers", seed, id, n)
			}
		}
		if len(b.requests) != 0 || len(b.originFetches.waiting.requests) != 0 {
			t.Errorf("seed %d: %d requests and %d waiting requests are left over", seed, len(b.requests),
				len(b.originFetches.waiting.requests))
		}
	}
}

// Guards against new settings that apply to requests in flight: those keep their class and their
// maximum number of attempts, and only later requests get the new ones.
func TestReconfigureKeepsRulesOfRequestsInFlight(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAttempts = 3
	b, h := newTestBalancer(t, cfg, readyEndpoints(6))
	b.retryBudget = 20
	sendRequest(b, 100000, 1, "read", 77)
	next := cfg
	next.MaxAttempts = 1
	next.Classes = []Class{
		{Name: "read", Effect: NotIdempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
		{Name: "new", LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
	}
	if err := b.Reconfigure(100010, next); err != nil {
		t.Fatal(err)
	}
	sendRequest(b, 100020, 2, "read", 78)
	for id, wantSends := range map[uint32]int{1: 1, 2: 0} {
		n := len(h.sends)
		server := h.sends[id-1].server
		b.AttemptEnded(100030, endedOutcome(id, server, Failed, 10))
		if got := len(h.sends) - n; got != wantSends {
			t.Errorf("request %d: %d further attempts, want %d", id, got, wantSends)
		}
	}
	if h.failed[2] != 1 || h.rejected[2] != 0 {
		t.Errorf("a non-idempotent request that may have run: failed %d, rejected %d", h.failed[2], h.rejected[2])
	}
	sendRequest(b, 100040, 3, "important", 79) // a class that was removed
	if h.failed[3] != 1 {
		t.Error("a removed class was served")
	}
	sendRequest(b, 100050, 4, "new", 80)
	if h.finalAnswers(4) != 0 {
		t.Error("a new class was not served")
	}
}

// Guards against invalid settings, or changes of immutable ones, of which a part is applied.
func TestInvalidReconfigurationChangesNothing(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	for _, invalidate := range []func(*Config){
		func(c *Config) { c.MaxAttempts = 0 },
		func(c *Config) { c.Classes = nil },
		func(c *Config) { c.Classes = []Class{{Name: "read", LatencyObjectiveMillis: 300, PriorityWeight: 1}} },
		func(c *Config) { c.CacheAside, c.OriginKind = true, "origin" },
	} {
		cfg := testConfig()
		added := Class{Name: "new", LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1}
		cfg.Classes = append(cfg.Classes, added)
		invalidate(&cfg)
		if b.Reconfigure(100000, cfg) == nil {
			t.Errorf("accepted: %+v", cfg)
		}
	}
	sendRequest(b, 100001, 1, "new", 5)
	sendRequest(b, 100001, 2, "important", 5)
	if h.failed[1] != 1 || h.finalAnswers(2) != 0 {
		t.Error("a part of a rejected configuration was applied")
	}
}
