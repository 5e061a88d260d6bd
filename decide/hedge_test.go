package decide

import (
	"math"
	"testing"
)

// A key that overloads its home is seen rarely by each router. Where servers are rarely asked, an
// attempt past its patience must make the key count as hot; where they are asked often it must not.
func TestStallTellsOfAHotKeyWhereServersAreSeldomAsked(t *testing.T) {
	for _, c := range []struct {
		before int // requests in the second before
		hot    bool
	}{{2, true}, {400, false}} {
		cfg := cacheAsideConfig()
		b, h := start(t, cfg, append(fleet(40), Endpoint{ID: 77, Kind: "origin"}))
		for i := range uint32(c.before) {
			ask(b, 100010+1000*float64(i)/float64(c.before), 100+i, "read", uint64(100+i))
			b.AttemptEnded(b.now, served(100+i, h.last().server, 5))
		}
		ask(b, 101010, 1, "read", 9)
		k := b.requests[1].key
		b.membership.servers[h.last().server].health.lastReplyAt = 0
		b.TimerExpired(101200, 1<<8|1)
		if hot := k.arrivals.value >= hotArrivals; hot != c.hot {
			t.Errorf("%d requests a second: %v arrivals after a stall", c.before, k.arrivals.value)
		}
	}
}

// Hedging is not allowed, and an attempt is past its patience. It is cancelled first, and only its
// end lets the next one go.
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
		t.Fatalf("cancels %v: want the silent attempt cancelled", h.cancels)
	}
	b.AttemptEnded(100200, ended(1, h.sends[0].server, Cancelled, 190))
	if len(h.sends) != 2 {
		t.Error("no second attempt after the cancel")
	}
}

// A fleet stops answering. Attempts past their patience must raise the expected wait long before
// the first timeout.
func TestStallsShowAnOverloadBeforeTimeoutsDo(t *testing.T) {
	cfg := cacheAsideConfig()
	b, h := start(t, cfg, append(fleet(60), Endpoint{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 1)
	b.AttemptEnded(100050, withResult(CacheHit, served(1, h.last().server, 40)))
	was := b.expectedWaitMillis(b.membership.caches[0])
	for i := range uint32(8) {
		id := i + 2
		now := 101010 + float64(300*i)
		ask(b, now, id, "read", uint64(id))
		b.membership.servers[h.last().server].health.lastReplyAt = 0
		b.TimerExpired(now+200, uint64(id)<<8|1)
	}
	if wait := b.expectedWaitMillis(b.membership.caches[0]); wait < was+30 {
		t.Errorf("wait %v after eight stalls, %v before", wait, was)
	}
}

// A request of little work must be waited for as one of half a unit: part of the latency does not
// depend on the work, and a pause of the server would look like its death.
func TestLightRequestsAreWaitedForAsForHalfAUnit(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	patience := func(id uint32, hint float64) float64 {
		b.Request(100010, Request{ID: id, Class: "read", Key: 9, HasKey: true, RemainingMillis: 600, WorkHint: hint})
		s := h.last().server
		p := h.timers[len(h.timers)-1].after
		b.AttemptEnded(100010, served(id, s, 20))
		return p
	}
	patience(1, 100)
	half := patience(2, 50)
	light := patience(3, 5)
	if light < 0.9*half || light > 1.1*half {
		t.Errorf("patience %.0f ms for half a unit and %.0f for a twentieth", half, light)
	}
}

// An attempt is past its patience at a server that answers nobody. Its keys must begin to move at
// once, not after three such signs at each router.
func TestAStallMovesKeysAtOnce(t *testing.T) {
	cfg := cacheAsideConfig()
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

// An attempt is past its patience. It is cancelled if another server can take the request;
// otherwise it is waited for until its objective, and then the client is rejected at once.
func TestAnAttemptIsCancelledForAnotherOnly(t *testing.T) {
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
				s.load.capacityPerSecond.value = 1
				s.attempts.inFlight += 40
			}
		}
		b.TimerExpired(100100, 1<<8|1)
		if isCancelled := len(h.cancels) > 0; isCancelled == c.full {
			t.Fatalf("%s: cancelled %v", c.name, h.cancels)
		}
		if !c.full {
			continue
		}
		if last := h.timers[len(h.timers)-1]; math.Abs(last.after-210) > 1e-6 || h.answers(1) != 0 {
			t.Errorf("looked at again after %v ms, want the objective; %d answers by then", last.after, h.answers(1))
		}
		b.TimerExpired(100311, 1<<8|1)
		if len(h.cancels) != 1 {
			t.Fatalf("cancelled %v at the objective, when an answer is worth nothing", h.cancels)
		}
		b.AttemptEnded(100311, ended(1, h.last().server, Cancelled, 301))
		if h.rejected[1] != 1 {
			t.Error("its client is not rejected at once")
		}
	}
}
