package decide

import (
	"math"
	"slices"
	"testing"
)

// homeOf is where a request of the key goes when nothing is wrong.
func homeOf(t *testing.T, b *Balancer, h *fakeHost, now float64, id uint32, key uint64) uint32 {
	t.Helper()
	n := len(h.sends)
	ask(b, now, id, "read", key)
	if len(h.sends) != n+1 {
		t.Fatalf("request %d was not sent", id)
	}
	b.AttemptEnded(now+10, Outcome{RequestID: id, ServerID: h.last().server, Status: OK, LatencyMillis: 10, IsFinal: true, Load: NoLoadReport})
	return h.last().server
}

func TestDisabledServerGetsNothingWhateverTheListSays(t *testing.T) {
	es := fleet(6)
	b, h := start(t, testConfig(), es)
	out := homeOf(t, b, h, 100000, 1, 77)
	b.Disable(100100, out)
	b.Disable(100100, out) // repeated calls are harmless
	id, now := uint32(2), 100100.0
	for _, news := range []func(){
		func() {},
		func() { b.UpdateEndpoints(now, AllEndpoints, es) },
		func() { b.UpdateEndpoints(now, ChangedEndpoints, []Endpoint{{ID: out, State: Removed}}) },
		func() { b.UpdateEndpoints(now, ChangedEndpoints, []Endpoint{{ID: out, Size: 1, StartedAt: now}}) }, // back under its id
	} {
		now += 1000
		news()
		for range 20 {
			id++
			if got := homeOf(t, b, h, now, id, 77); got == out {
				t.Fatal("sent to a disabled server")
			}
		}
	}
	if listed, avoided := b.CountEndpoints(); listed != 6 || avoided != 1 {
		t.Errorf("targets: got %d, %d avoided", listed, avoided)
	}
	b.Enable(now, out) // one call ends what two have begun
	if _, avoided := b.CountEndpoints(); avoided != 0 {
		t.Errorf("after the call back: %d avoided", avoided)
	}
	if got := homeOf(t, b, h, now+1000, id+1, 77); got != out {
		t.Errorf("after the call back: sent to %d, want %d", got, out)
	}
}

// With every server out by hand a request is refused at once: none goes to one that is left out as a last resort.
func TestAllDisabledRefuses(t *testing.T) {
	es := fleet(3)
	b, h := start(t, testConfig(), es)
	for _, e := range es {
		b.Disable(100000, e.ID)
	}
	ask(b, 100001, 1, "read", 5)
	if len(h.sends) != 0 || h.rejected[1] != 1 {
		t.Errorf("sent %d, refused %d", len(h.sends), h.rejected[1])
	}
}

// sent counts the requests that a server gets at one moment, of many that have their home there.
func sentAtOnce(b *Balancer, h *fakeHost, now float64, id *uint32, key uint64, to uint32) (n int) {
	was := len(h.sends)
	for range 200 {
		*id++
		ask(b, now, *id, "read", key)
	}
	for _, s := range h.sends[was:] {
		if s.server == to {
			n++
		}
	}
	return n
}

// A server that was out by hand was restarted meanwhile. Its cold budget holds also while the list has not said so yet,
// and the list's word counts where there is one.
func TestEnabledServerIsCold(t *testing.T) {
	cfg := testConfig()
	for _, told := range []bool{false, true} {
		es := fleet(6)
		b, h := start(t, cfg, es)
		out := homeOf(t, b, h, 100000, 1, 77)
		id := uint32(10)
		b.Disable(101000, out)
		now := 101000 + 2*cfg.SlowStartMillis
		if told { // it came back as soon as it was out, and is warm by now
			e := *b.membership.servers[out]
			e.StartedAt = 101001
			b.UpdateEndpoints(102000, ChangedEndpoints, []Endpoint{e.Endpoint})
		}
		b.Enable(now, out)
		got := sentAtOnce(b, h, now+1000, &id, 77, out)
		if cold := now < b.membership.servers[out].slowStart.startedAt+cfg.SlowStartMillis; cold == told {
			t.Errorf("told %t: cold %t", told, cold)
		}
		if !told && (got < 1 || got > 20) {
			t.Errorf("%d of 200 requests at once at a server that may be cold", got)
		}
	}
}

func TestDisabledServerIsNotProbed(t *testing.T) {
	cfg := testConfig()
	cfg.LoadByHealthCheck, cfg.HealthChecks = true, true
	es := fleet(2)
	b, h := start(t, cfg, es)
	b.Disable(100000, es[0].ID)
	b.healthChecks.budget = 4
	for i := range 20 {
		b.TimerExpired(100000+float64(i)*500, housekeepingToken)
	}
	if len(h.probes) == 0 {
		t.Error("the other server was not probed")
	}
	for _, p := range h.probes {
		if p == es[0].ID {
			t.Fatal("a disabled server was probed")
		}
	}
}

// What has arrived keeps its rules; what arrives later comes under the new ones.
func TestReconfigure(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAttempts = 3
	b, h := start(t, cfg, fleet(6))
	b.retryBudget = 20
	ask(b, 100000, 1, "read", 77)
	next := cfg
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "read", Effect: NotIdempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1}, {Name: "new", LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1}}
	if err := b.Reconfigure(100010, next); err != nil {
		t.Fatal(err)
	}
	ask(b, 100020, 2, "read", 78)
	for id, more := range map[uint32]int{1: 1, 2: 0} {
		n := len(h.sends)
		server := h.sends[id-1].server
		b.AttemptEnded(100030, Outcome{RequestID: id, ServerID: server, Status: Failed, LatencyMillis: 10, Load: NoLoadReport})
		if got := len(h.sends) - n; got != more {
			t.Errorf("request %d: %d more attempts, want %d", id, got, more)
		}
	}
	if h.failed[2] != 1 || h.rejected[2] != 0 {
		t.Errorf("a write that may have run: failed %d, refused %d", h.failed[2], h.rejected[2])
	}
	ask(b, 100040, 3, "dear", 79) // dropped
	if h.failed[3] != 1 {
		t.Error("a class that was dropped was served")
	}
	ask(b, 100050, 4, "new", 80)
	if h.answers(4) != 0 {
		t.Error("a new class was not served")
	}
}

func TestBadReconfigurationChangesNothing(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, spoil := range []func(*Config){
		func(c *Config) { c.MaxAttempts = 0 },
		func(c *Config) { c.Classes = nil },
		func(c *Config) { c.Classes = []Class{{Name: "read", LatencyObjectiveMillis: 300, PriorityWeight: 1}} },
		func(c *Config) { c.CacheAside, c.OriginKind = true, "origin" },
	} {
		cfg := testConfig()
		cfg.Classes = append(cfg.Classes, Class{Name: "new", LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1})
		spoil(&cfg)
		if b.Reconfigure(100000, cfg) == nil {
			t.Errorf("taken: %+v", cfg)
		}
	}
	ask(b, 100001, 1, "new", 5)
	ask(b, 100001, 2, "dear", 5)
	if h.failed[1] != 1 || h.answers(2) != 0 {
		t.Error("something of a bad configuration was taken")
	}
}

// A herd of routers that start at once and are refused together asks spread over the time that the protocol leaves: each
// asks again in time for news to be there before it counts as told, and no faster than that.
func TestHerdAsksWithinItsSlots(t *testing.T) {
	for _, routers := range []int{4, 36, 80, 350, 5100} {
		var calls []float64 // of all routers, in the first 20 s, each refused
		for me := range routers {
			cfg := testConfig()
			cfg.Routers, cfg.RouterIndex, cfg.PollEndpoints, cfg.PollWithinMillis = routers, me, true, cfgMustAsk
			h := newHost()
			b, err := New(cfg, uint64(me)*977+5, h)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(100000, RestoredEndpoints, fleet(6))
			first, last := math.Inf(1), 0.0
			for now := 100000.0; now < 120000; now += 100 {
				n := h.watches
				if b.TimerExpired(now, housekeepingToken); h.watches > n {
					if first = min(first, now); last > 0 && now-last > MaxBackOffMillis+100 { // and a tick
						t.Errorf("%d routers: %v ms between two calls of one", routers, now-last)
					}
					last = now + 10
					calls = append(calls, now)
					b.UpdateEndpoints(now+10, WatchFailed, nil)
				}
			}
			if first > 100000+cfgMustAsk {
				t.Errorf("%d routers: the first call of one came after %v ms", routers, first-100000)
			}
		}
		perSecond := float64(len(calls)) / 20
		share := float64(routers) / (MaxBackOffMillis * 2 / 3) // calls a ms when all wait as long as they may, spread
		if perSecond < 2 || perSecond > max(6, 1.2*share*1000) {
			t.Errorf("%d routers: %.1f calls a second", routers, perSecond)
		}
		slices.Sort(calls)
		burst := 0
		for from, to := 0, 0; to < len(calls); to++ {
			for calls[to]-calls[from] >= 500 {
				from++
			}
			burst = max(burst, to-from+1)
		}
		// The second calls of those who were late with their first meet the third ones of others; beyond that it is chance.
		if most := float64(routers) / 4; float64(burst) > max(10, most+3*math.Sqrt(most)) {
			t.Errorf("%d routers: %d calls in half a second", routers, burst)
		}
	}
}

const cfgMustAsk = 10000 // ms without asking after which news counts as told

// Where the settings allow it, a refused client is told when to come again: at once, and within bounds.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for _, tells := range []bool{true, false} {
		cfg := testConfig()
		cfg.SendRetryAfter, cfg.MaxRetryAfterMillis = tells, 1500
		es := fleet(6)
		b, h := start(t, cfg, es)
		for _, s := range b.membership.caches {
			fill(b, s)
		}
		ask(b, 100000, 1, "read", 5)
		if h.rejected[1] != 1 || len(h.waits) != 1 {
			t.Fatalf("refused %d times", h.rejected[1])
		}
		if got := b.cfg.MinRetryAfterMillis(); tells != (got == minRetryAfterMillis) {
			t.Errorf("told %t: at least %v", tells, got)
		}
		if got := h.waits[0]; tells != (got >= minRetryAfterMillis && got <= 300.0/4) || !tells && got != 0 {
			t.Errorf("told %t: wait %v", tells, got)
		}
	}
}

// A site whose servers start warm says so by a cold share of 1: they are used as any.
func TestServersThatStartWarmAreUsed(t *testing.T) {
	cfg := testConfig()
	cfg.SlowStartMillis, cfg.SlowStartInitialShare, cfg.HealthChecks, cfg.LoadByHealthCheck = 1, 1, true, true
	b, h := start(t, cfg, fleet(6))
	for i := range uint32(200) {
		now := 100000 + 20*float64(i)
		ask(b, now, i+1, "read", uint64(i%20))
		for _, s := range fleet(6) {
			b.HealthCheckEnded(now, s.ID, OK, LoadReport{RequestsPerSecond: 50 + float64(i%3), Utilization: 0.3, ErrorsPerSecond: -1, Inflight: -1, LatencyMillis: -1})
		}
		if len(h.sends) > 0 && h.last().id == i+1 {
			b.AttemptEnded(now+10, Outcome{RequestID: i + 1, ServerID: h.last().server, LatencyMillis: 10, IsFinal: true, Load: NoLoadReport})
		}
	}
	b.TimerExpired(104100, housekeepingToken)
	if served := len(h.sends); served < 190 {
		t.Errorf("%d of 200 requests were sent", served)
	}
}
