package decide

import "testing"

const (
	// wantRememberedKeys is the number of keys that a Balancer may remember.
	wantRememberedKeys = 8192
	// newKeysPerSecond and newKeysSeconds describe a flood of requests for ever new keys.
	newKeysPerSecond = 10000
	newKeysSeconds   = 11
)

// floodNewKeys sends requests for ever new keys, and hotPerSecond requests for the hot key among them, and
// answers each. It returns the time of the last one and the largest number of remembered keys.
func floodNewKeys(t *testing.T, b *Balancer, h *fakeHost, hotKey uint64, hotPerSecond int) (now float64, most int) {
	t.Helper()
	now = 100000
	housekeptAt := now
	for i := range newKeysPerSecond * newKeysSeconds {
		now += 1000.0 / newKeysPerSecond
		id := uint32(i + 1)
		key := uint64(1e6 + i)
		if i%(newKeysPerSecond/hotPerSecond) == 0 {
			key = hotKey
		}
		before := len(h.sends)
		sendRequest(b, now, id, "important", key)
		if len(h.sends) > before {
			b.AttemptEnded(now, servedOutcome(id, h.lastSend().server, 10))
		}
		if now-housekeptAt >= housekeepingIntervalMillis {
			housekeptAt = now
			b.TimerExpired(now, housekeepingToken)
		}
		most = max(most, len(b.keys.byID))
		h.timers = h.timers[:0]
		h.sends = h.sends[:min(len(h.sends), 1)]
	}
	return now, most
}

// Guards against a table of keys that grows with the names that a client makes up, and against a hot
// key that such a flood displaces.
func TestFloodOfNewKeysFillsNoTable(t *testing.T) {
	b, h := newTestBalancer(t, cacheAsideConfig(), append(readyEndpoints(20), Endpoint{ID: 77, Kind: "origin"}))
	const hotKey = 42
	_, most := floodNewKeys(t, b, h, hotKey, 5)
	if most > wantRememberedKeys {
		t.Errorf("up to %d keys are remembered, want %d at most", most, wantRememberedKeys)
	}
	if hot := b.keys.byID[hotKey]; hot == nil || hot.arrivals.value < minHotArrivals {
		t.Errorf("the hot key is forgotten or cold: %+v", hot)
	}
}

// rememberKeys counts one arrival of each of many keys.
func rememberKeys(b *Balancer, keys int) {
	for i := range keys {
		b.countArrival(b.trafficOf(Request{Key: uint64(i + 1), HasKey: true}), 1)
	}
}

// Guards against a loop that stands still while the solver walks all keys that clients have made up:
// what a solution allocates must not depend on the cold keys.
func TestSolutionCostsNothingForColdKeys(t *testing.T) {
	cost := func(coldKeys int) float64 {
		b, _ := newTestBalancer(t, testConfig(), readyEndpoints(20))
		rememberKeys(b, coldKeys)
		return testing.AllocsPerRun(5, b.solve)
	}
	few := cost(100)
	if many := cost(5000); many > few+1 {
		t.Errorf("a solution takes %v allocations with 5000 cold keys, %v with 100", many, few)
	}
}

func BenchmarkSolve(b *testing.B) {
	balancer, _ := newTestBalancer(b, testConfig(), readyEndpoints(20))
	rememberKeys(balancer, 100000)
	for b.Loop() {
		balancer.solve()
	}
}
