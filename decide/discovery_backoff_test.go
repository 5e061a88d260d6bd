package decide

import (
	"math"
	"slices"
	"testing"
)

// The call for the endpoint list fails. The router must keep its list and poll again after a while,
// once, and not at all while its watch stands.
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
		t.Fatalf("%d calls after a failure, want 2", h.watches)
	}
	if len(b.membership.caches) != 3 {
		t.Error("a failure lost the list")
	}
	b.UpdateEndpoints(102050, ChangedEndpoints, nil)
	tickTo(102100, 120000)
	if h.watches != 2 {
		t.Errorf("%d calls while subscribed, want 2", h.watches)
	}
}

// All routers of a fleet start at once and every call to discovery fails. Their calls must be
// spread over the time that discovery needs, each router must call again in time for a change to
// arrive, and none faster than that.
func TestPollsOfAFleetAreSpread(t *testing.T) {
	for _, routers := range []int{4, 36, 80, 350, 5100} {
		var calls []float64 // of all routers, in the first 20 s, each of which fails
		for me := range routers {
			cfg := testConfig()
			cfg.Routers = routers
			cfg.RouterIndex = me
			cfg.PollEndpoints = true
			cfg.PollWithinMillis = pollWithinMillis
			h := newHost()
			b, err := New(cfg, uint64(me)*977+5, h)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(100000, RestoredEndpoints, fleet(6))
			first := math.Inf(1)
			last := 0.0
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
			if first > 100000+pollWithinMillis {
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
		// The second calls of those who were late with their first meet the third ones of others;
		// beyond that it is chance.
		if most := float64(routers) / 4; float64(burst) > max(10, most+3*math.Sqrt(most)) {
			t.Errorf("%d routers: %d calls in half a second", routers, burst)
		}
	}
}

// pollWithinMillis is the time after a change within which routers are to have asked.
const pollWithinMillis = 10000

// Guards against calls and pauses that add up: after a configuration that names another discovery,
// a router whose calls are turned away, or are lost after their full time, has made so many calls by
// the time at which a change counts as notified that one of them is likely to be accepted.
func TestCallsAfterAMoveShareItsBudget(t *testing.T) {
	const movedAt = 100000.0
	for _, routers := range []int{4, 300, 5100} {
		cfg := testConfig()
		cfg.Routers = routers
		cfg.PollEndpoints = true
		cfg.PollWithinMillis = pollWithinMillis
		for seed := range uint64(50) {
			h := newHost()
			b, err := New(cfg, seed, h)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(movedAt-10000, RestoredEndpoints, fleet(6))
			b.UpdateEndpoints(movedAt-5000, ChangedEndpoints, nil)
			before := h.watches
			b.DiscoveryMoved(movedAt)
			if h.watches != before+1 {
				t.Fatalf("%d routers: no call at once after a move", routers)
			}
			b.UpdateEndpoints(movedAt+20, WatchFailed, nil)
			calls := 0
			for now := movedAt; now < movedAt+MovedNotifiedMillis; now += 50 {
				n := h.watches
				b.TimerExpired(now, housekeepingToken)
				if h.watches > n {
					calls++
					b.UpdateEndpoints(now+20, WatchFailed, nil)
				}
			}
			least, most := 4, int(MovedNotifiedMillis/(minMovedRetryMillis/3))
			if routers == 5100 { // the herd has to stay spread
				least, most = 1, 3
			}
			if calls < least || calls > most {
				t.Errorf("%d routers, seed %d: %d further calls within %v ms, want %d to %d",
					routers, seed, calls, MovedNotifiedMillis, least, most)
			}
		}
	}
	if MaxBackOffMillis+MaxPollCallMillis > notifiedMillis {
		t.Errorf("a pause of %v ms and a call of %v ms are over the %v ms after which a change counts as notified",
			MaxBackOffMillis, MaxPollCallMillis, notifiedMillis)
	}
}

// Guards against pauses of the usual length after a failure that follows an answer of the new
// discovery: what it has by the end of the budget counts as notified all the same. After that end the
// usual backoff holds again.
func TestMoveEndsWithItsBudget(t *testing.T) {
	const movedAt = 100000.0
	for _, c := range []struct{ failedAt, mostPauseMillis, leastPauseMillis float64 }{
		{movedAt + 1000, MovedNotifiedMillis / 3, 100},
		{movedAt + MovedNotifiedMillis + 10, MaxBackOffMillis, MaxBackOffMillis/3 - 100},
	} {
		cfg := testConfig()
		cfg.Routers = 300
		cfg.PollEndpoints = true
		b, h := start(t, cfg, fleet(3))
		b.DiscoveryMoved(movedAt)
		b.UpdateEndpoints(movedAt+500, ChangedEndpoints, nil)
		b.UpdateEndpoints(c.failedAt, WatchFailed, nil)
		n := h.watches
		now := c.failedAt
		for h.watches == n && now < c.failedAt+2*MaxBackOffMillis {
			now += 50
			b.TimerExpired(now, housekeepingToken)
		}
		if pause := now - c.failedAt; pause > c.mostPauseMillis+50 || pause < c.leastPauseMillis {
			t.Errorf("failed %v ms after the move: called again after %v ms", c.failedAt-movedAt, pause)
		}
	}
}
