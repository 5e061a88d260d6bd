package decide

import (
	"math"
	"slices"
	"testing"
)

// Guards against a router that loses its list, polls in a loop or stops polling after a failed
// call: it must keep the list, poll once more after a while, and not poll at all while its watch is
// active.
func TestDiscoveryIsPolledAgainAfterAFailedCall(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints = true
	b, h := newTestBalancer(t, cfg, readyEndpoints(3))
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
		t.Fatalf("%d calls after a failure, want 2", h.watches)
	}
	if len(b.membership.caches) != 3 {
		t.Error("a failure lost the list")
	}
	b.UpdateEndpoints(102050, ChangedEndpoints, nil)
	tickTo(102100, 120000)
	if h.watches != 2 {
		t.Errorf("%d calls while the watch is active, want 2", h.watches)
	}
}

// Guards against bursts of polls from a fleet whose routers start at the same time and whose calls
// all fail: the calls must be spread over the time that discovery needs for them, and each router
// must call again before a change counts as announced, but no faster than discovery can answer.
func TestPollsOfAFleetAreSpread(t *testing.T) {
	for _, routers := range []int{4, 36, 80, 350, 5100} {
		var calls []float64 // times of all routers' calls in the first 20 s, each of which fails
		for index := range routers {
			cfg := testConfig()
			cfg.Routers = routers
			cfg.RouterIndex = index
			cfg.PollEndpoints = true
			cfg.PollWithinMillis = pollWithinMillis
			h := newFakeHost()
			b, err := New(cfg, uint64(index)*977+5, h)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(100000, RestoredEndpoints, readyEndpoints(6))
			first := math.Inf(1)
			last := 0.0
			for now := 100000.0; now < 120000; now += 100 {
				watchesBefore := h.watches
				if b.TimerExpired(now, housekeepingToken); h.watches > watchesBefore {
					if first = min(first, now); last > 0 && now-last > MaxPollBackoffMillis+100 { // plus one tick
						t.Errorf("%d routers: %v ms between two calls of one", routers, now-last)
					}
					last = now + 10
					calls = append(calls, now)
					b.UpdateEndpoints(now+10, WatchFailed, nil)
				}
			}
			if first > 100000+pollWithinMillis {
				t.Errorf("%d routers: the first call of one came after %v ms", routers, first-100000)
			}
		}
		perSecond := float64(len(calls)) / 20
		callsPerMilli := float64(routers) / (MaxPollBackoffMillis * 2 / 3) // mean calls per ms at the longest backoff
		if perSecond < 2 || perSecond > max(6, 1.2*callsPerMilli*1000) {
			t.Errorf("%d routers: %.1f calls per second", routers, perSecond)
		}
		slices.Sort(calls)
		burst := 0
		for from, to := 0, 0; to < len(calls); to++ {
			for calls[to]-calls[from] >= 500 {
				from++
			}
			burst = max(burst, to-from+1)
		}
		// The second calls of routers whose first one was late coincide with the third calls of
		// others. Anything beyond that is chance.
		if mean := float64(routers) / 4; float64(burst) > max(10, mean+3*math.Sqrt(mean)) {
			t.Errorf("%d routers: %d calls in half a second", routers, burst)
		}
	}
}

// pollWithinMillis is the value of Config.PollWithinMillis.
const pollWithinMillis = 10000

// Guards against calls and pauses that add up to more than the time budget after a configuration
// that names another discovery: a router whose calls are rejected, or time out, must have made so
// many calls by the end of the budget that one of them is likely to be accepted.
func TestPollsAfterADiscoveryChangeFitItsBudget(t *testing.T) {
	const movedAt = 100000.0
	for _, routers := range []int{4, 300, 5100} {
		cfg := testConfig()
		cfg.Routers = routers
		cfg.PollEndpoints = true
		cfg.PollWithinMillis = pollWithinMillis
		for seed := range uint64(50) {
			h := newFakeHost()
			b, err := New(cfg, seed, h)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(movedAt-10000, RestoredEndpoints, readyEndpoints(6))
			b.UpdateEndpoints(movedAt-5000, ChangedEndpoints, nil)
			before := h.watches
			b.DiscoveryChanged(movedAt)
			if h.watches != before+1 {
				t.Fatalf("%d routers: no immediate call after a change of the discovery", routers)
			}
			b.UpdateEndpoints(movedAt+20, WatchFailed, nil)
			calls := 0
			for now := movedAt; now < movedAt+DiscoveryChangeBudgetMillis; now += 50 {
				watchesBefore := h.watches
				b.TimerExpired(now, housekeepingToken)
				if h.watches > watchesBefore {
					calls++
					b.UpdateEndpoints(now+20, WatchFailed, nil)
				}
			}
			minCalls, maxCalls := 4, int(DiscoveryChangeBudgetMillis/(minChangeRetryMillis/3))
			if routers == 5100 { // the calls of a large fleet must stay spread
				minCalls, maxCalls = 1, 3
			}
			if calls < minCalls || calls > maxCalls {
				t.Errorf("%d routers, seed %d: %d further calls within %v ms, want %d to %d",
					routers, seed, calls, DiscoveryChangeBudgetMillis, minCalls, maxCalls)
			}
		}
	}
	if MaxPollBackoffMillis+MaxPollCallMillis > discoveryBudgetMillis {
		t.Errorf("a pause of %v ms and a call of %v ms exceed the budget of %v ms",
			MaxPollBackoffMillis, MaxPollCallMillis, discoveryBudgetMillis)
	}
}

// Guards against pauses of the usual length after a failure that follows an answer of the new
// discovery: until the end of the budget, its pauses still apply. After that, the usual backoff
// must apply again.
func TestUsualBackoffAppliesAfterTheDiscoveryChangeBudget(t *testing.T) {
	const movedAt = 100000.0
	for _, c := range []struct{ failedAt, maxPauseMillis, minPauseMillis float64 }{
		{movedAt + 1000, DiscoveryChangeBudgetMillis / 3, 100},
		{movedAt + DiscoveryChangeBudgetMillis + 10, MaxPollBackoffMillis, MaxPollBackoffMillis/3 - 100},
	} {
		cfg := testConfig()
		cfg.Routers = 300
		cfg.PollEndpoints = true
		b, h := newTestBalancer(t, cfg, readyEndpoints(3))
		b.DiscoveryChanged(movedAt)
		b.UpdateEndpoints(movedAt+500, ChangedEndpoints, nil)
		b.UpdateEndpoints(c.failedAt, WatchFailed, nil)
		watchesBefore := h.watches
		now := c.failedAt
		for h.watches == watchesBefore && now < c.failedAt+2*MaxPollBackoffMillis {
			now += 50
			b.TimerExpired(now, housekeepingToken)
		}
		if pause := now - c.failedAt; pause > c.maxPauseMillis+50 || pause < c.minPauseMillis {
			t.Errorf("failure %v ms after the change: called again after %v ms", c.failedAt-movedAt, pause)
		}
	}
}
