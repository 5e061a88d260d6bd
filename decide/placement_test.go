package decide

import (
	"math"
	"testing"
)

func modelServers(channelCounts ...int) []*server {
	var servers []*server
	for i, n := range channelCounts {
		model := serverModel{channels: n, servicePerSecond: 10}
		servers = append(servers, &server{Endpoint: Endpoint{ID: uint32(i + 1)}, model: model})
	}
	return servers
}

func totalWaiting(servers []*server, rates []float64, momentRatio float64) (total float64) {
	for j, s := range servers {
		waiting, _, _ := mgmWaiting(s.model.arrivalsPerSecond+rates[j], s.model.channels,
			s.model.servicePerSecond, momentRatio)
		total += waiting
	}
	return total
}

// Guards against sweeps that do not find the optimum: they must end at rates that add up to the
// total and whose waiting hardly exceeds the best of a fine grid.
func TestEqualizeFDLFindsTheOptimum(t *testing.T) {
	for _, c := range []struct {
		channels []int
		load     []float64
		total    float64
	}{
		{[]int{2, 2, 2}, []float64{0, 0, 0}, 45}, {[]int{1, 4, 7}, []float64{5, 10, 0}, 60},
		{[]int{3, 3, 1}, []float64{29, 0, 0}, 20}, {[]int{1, 1, 1}, []float64{0, 0, 0}, 28.5},
	} {
		b := &Balancer{}
		servers := modelServers(c.channels...)
		for j, l := range c.load {
			servers[j].model.arrivalsPerSecond = l
		}
		rates := []float64{c.total, 0, 0}
		b.equalizeFDL(servers, rates)
		if sum := rates[0] + rates[1] + rates[2]; math.Abs(sum-c.total) > 1e-6 {
			t.Fatalf("%v: rates add up to %v", c, sum)
		}
		best := math.Inf(1)
		const grid = 400
		for i := 0; i <= grid; i++ {
			for j := 0; i+j <= grid; j++ {
				gridRates := []float64{float64(i), float64(j), float64(grid - i - j)}
				for k := range gridRates {
					gridRates[k] *= c.total / grid
				}
				best = min(best, totalWaiting(servers, gridRates, b.serviceTime.ratio()))
			}
		}
		if got := totalWaiting(servers, rates, b.serviceTime.ratio()); got > best*1.02+1e-6 {
			t.Errorf("%v: F %v at %v, best of the grid %v", c, got, rates, best)
		}
	}
}

// Guards against sweeps that leave servers with different first derivative lengths, or that send a
// server more than it can process.
func TestEqualizeFDLEqualizesSlopes(t *testing.T) {
	b := &Balancer{}
	servers := modelServers(2, 3, 5)
	rates := []float64{80, 0, 0}
	b.equalizeFDL(servers, rates)
	var slopes [3]float64
	for j, s := range servers {
		_, slopes[j], _ = mgmWaiting(rates[j], s.model.channels, s.model.servicePerSecond, b.serviceTime.ratio())
		if rates[j] >= float64(s.model.channels)*s.model.servicePerSecond {
			t.Errorf("server %d gets %v requests per second, over its capacity", j, rates[j])
		}
	}
	for j := range slopes {
		if math.Abs(slopes[j]-slopes[0]) > 0.1*slopes[0] {
			t.Errorf("FDLs differ: %v at rates %v", slopes, rates)
		}
	}
}

// Guards against useless copies: a key is copied to more servers only while that reduces the
// waiting. A key with few requests, or with expensive fetches, stays at its home.
func TestKeyIsCopiedOnlyWhileWaitingDecreases(t *testing.T) {
	b := &Balancer{}
	for _, c := range []struct {
		perSecond, fetchMillis float64
		want                   int
	}{{1, 1, 1}, {28, 10, 2}, {55, 10, 3}, {28, 1e6, 1}} {
		k := &keyTraffic{}
		servers := modelServers(3, 3, 3, 3)
		b.placement.scale = 1
		b.originFetches.latency.value = c.fetchMillis
		b.chooseCopies(k, servers, c.perSecond)
		if len(k.copies) != c.want && (c.want == 1 || len(k.copies) < c.want) {
			t.Errorf("rate %v, fetch %v ms: %d servers, want %d", c.perSecond, c.fetchMillis, len(k.copies), c.want)
		}
		sum := 0.0
		load := 0.0
		for j, share := range k.shares {
			sum += share
			load += k.copies[j].model.arrivalsPerSecond
		}
		if k.copies[0].ID != 1 || math.Abs(sum-1) > 1e-9 || math.Abs(load-c.perSecond) > 1e-6 {
			t.Errorf("rate %v: home %d, shares add up to %v, load to %v", c.perSecond, k.copies[0].ID, sum, load)
		}
	}
}

// Guards against requests of a split key that are not distributed by the solved shares.
func TestPicksMatchShares(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	list := b.membership.hashList(k)
	k.copies = []*server{list[0], list[2]}
	k.shares = []float64{0.7, 0.3}
	picks := map[*server]int{}
	for range 10000 {
		picks[b.pick(newReadRequest(b, k))]++
	}
	if math.Abs(float64(picks[list[0]])/10000-0.7) > 0.02 || picks[list[0]]+picks[list[2]] != 10000 {
		t.Errorf("copies with shares 0.7 and 0.3 were picked %d and %d times of 10000", picks[list[0]], picks[list[2]])
	}
}

// Guards against cold keys that move when the load of other routers moves between servers: a key
// with few requests must stay at its home, as each move causes a miss.
func TestColdKeyStaysAtHomeInEachSolution(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 40, 1)
	}
	for key := range uint64(300) {
		b.trafficOf(Request{Key: key, HasKey: true}).arrivals.add(b.now, trafficTimeConstantMillis, 1)
	}
	for round := range 5 {
		for i, s := range b.membership.caches {
			s.load.reportedPerSecond = float64(30 * ((i + round) % 2)) // load of other routers, which alternates
		}
		b.solve()
		for key := range uint64(300) {
			k := b.trafficOf(Request{Key: key, HasKey: true})
			if s := b.pick(newReadRequest(b, k)); s != b.membership.hashList(k)[0] {
				t.Fatalf("round %d: cold key %d left its home", round, key)
			}
		}
	}
}

// Guards against a request that is queued or rejected because its key's home has a long queue: it
// must go to the next server of the key's list.
func TestRequestGoesToNextServerWhenHomeIsFull(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	list := b.membership.hashList(k)
	overload(b, list[0])
	b.solve()
	k.copies = list[:1]
	k.shares = []float64{1}
	sendRequest(b, 100001, 1, "read", 5)
	if len(h.sends) != 1 || h.lastSend().server != list[1].ID {
		t.Errorf("sends %v, want one to the second server of the list", h.sends)
	}
}

// Guards against keys that spread over servers while the origin is slow: if a home has a long
// queue, a request that went to the next server would miss there and wait for the origin. It must
// be rejected, unless another server is known to store the key.
func TestSlowOriginKeepsKeysFromSpreading(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	b.originFetches.latency = trend{value: 400, floor: 80, updatedAt: b.now}
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	list := b.membership.hashList(k)
	overload(b, list[0])
	sendRequest(b, 100001, 1, "read", 5)
	k.storedOn = list[2]
	sendRequest(b, 100002, 2, "read", 5)
	if h.rejected[1] != 1 || len(h.sends) != 1 || h.lastSend() != (sentAttempt{2, list[2].ID}) {
		t.Errorf("rejected %v, sends %v: want a rejection, then a send to the key's server", h.rejected, h.sends)
	}
}

// Guards against a hot key that is copied too late: if it uses four fifths of its home, so that two
// of its requests wait, it must be copied, as a copy needs few fetches for all of the key's
// requests.
func TestHotKeyIsCopiedBeforeItsHomeIsFull(t *testing.T) {
	b := &Balancer{placement: placementState{scale: 1}}
	b.originFetches.latency.value = 200
	k := &keyTraffic{}
	b.chooseCopies(k, modelServers(3, 3, 3), 24) // 24 of 30 per second: two requests wait
	if len(k.copies) < 2 {
		t.Errorf("%d servers for a key that uses four fifths of one", len(k.copies))
	}
}

// Guards against copies that only pay off at scaled rates: rates are scaled up to nine tenths of
// the capacity for the solver, where almost every home looks full. A key that one server can easily
// serve at the actual rate must not be copied.
func TestKeyIsNotCopiedBecauseOfScaledRates(t *testing.T) {
	b := &Balancer{placement: placementState{scale: 3}}
	b.originFetches.latency.value = 50
	k := &keyTraffic{}
	servers := modelServers(3, 3)
	b.chooseCopies(k, servers, 28) // 28 of 30 per second when scaled, actually 9
	if len(k.copies) != 1 {
		t.Errorf("%d servers for a key that one serves easily", len(k.copies))
	}
}

// Guards against a key that is split by this router's rate instead of the fleet's. The key is hot
// for a fleet of 300 routers, each of which sees it once in eight seconds. By one router's rate,
// all of the requests would seem to fit on one other server, and all routers would move them there
// together.
func TestHotKeyIsSplitByFleetRate(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 300
	b, h := newTestBalancer(t, cfg, readyEndpoints(40))
	hot := b.trafficOf(Request{Key: 1, HasKey: true})
	for i := range uint32(100) { // 2.5 per second, every 20th for the hot key
		now := 100010 + 400*float64(i)
		key := uint64(i)
		if i%20 == 0 {
			key = 1
		}
		sendRequest(b, now, i+1, "read", key)
		if len(h.sends) > 0 && h.lastSend().id == i+1 {
			b.AttemptEnded(now+50, servedOutcome(i+1, h.lastSend().server, 50))
		}
		for _, s := range b.membership.caches {
			s.load.capacityPerSecond.value = 40
			s.load.reportedPerSecond = 15
		}
		b.membership.hashList(hot)[0].load.reportedPerSecond = 22
		b.TimerExpired(now+100, housekeepingToken)
	}
	b.solve()
	if len(hot.copies) < 2 || hot.shares[0] < 0.1 || hot.shares[0] > 0.9 {
		t.Errorf("the key is at %d servers with shares %v", len(hot.copies), hot.shares)
	}
}

// Guards against homes that are not distributed by capacity: servers with three times the capacity
// must be home to three times as many keys, two routers with noisy reports must agree on nearly all
// homes, and a failing or cold server must be home to fewer keys.
func TestHomesAreDistributedByCapacity(t *testing.T) {
	var endpoints []Endpoint
	for i, e := range readyEndpoints(60) {
		e.Kind = []string{"fast", "slow"}[i%2]
		endpoints = append(endpoints, e)
	}
	first := map[uint64]uint32{}
	moved := 0
	keys := 4000
	for router := range 2 {
		b, _ := newTestBalancer(t, testConfig(), endpoints)
		for i, s := range b.membership.caches {
			// Reports are noisy, and each router has its own.
			noise := 1 + 0.1*float64((i+router)%3-1)
			s.load.capacityPerSecond.value = map[string]float64{"fast": 90, "slow": 30}[s.Kind] * noise
			s.load.reportedPerSecond = 0.5 * s.load.capacityPerSecond.value
			s.load.reportedAt = b.now
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
		if ratio := float64(homes["fast"]) / float64(homes["slow"]); ratio < 2.3 || ratio > 4 {
			t.Errorf("router %d: %.2f times as many homes at servers of three times the capacity", router, ratio)
		}
		// A failing or cold server must be home to fewer keys.
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
		healthy := count()
		s.health.acceptedShare = 0.5
		failing := count()
		s.health.acceptedShare = 1
		s.slowStart.startedAt = b.now
		if cold := count(); failing > healthy/2 || cold > healthy*2/3 || cold == 0 {
			t.Errorf("home to %d keys while healthy, %d while half fail, %d after the start", healthy, failing, cold)
		}
	}
	if moved > keys/10 {
		t.Errorf("%d of %d keys have another home at another router", moved, keys)
	}
}

// Guards against a limit on the copies of a key that needs eight servers: it must be split over
// more.
func TestHottestKeyIsSplitOverEnoughServers(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 100
	b, _ := newTestBalancer(t, cfg, readyEndpoints(60))
	k := b.trafficOf(Request{Key: 9, HasKey: true})
	k.arrivals = decayingSum{value: 50, updatedAt: b.now} // half of what this router receives
	b.arrivals = decayingSum{value: 100, updatedAt: b.now}
	b.serviceTime = moments{mean: 100, square: 20000, samples: 400}
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.value = 50
		s.load.reportedPerSecond = 8 // the key has 400 requests per second in total
		s.load.reportedAt = b.now
		s.attempts.work = decayingSum{value: 0.1, updatedAt: b.now}
	}
	b.originFetches.latency = trend{value: 100, floor: 100, updatedAt: b.now}
	b.solve()
	if len(k.copies) < 9 {
		t.Errorf("the key is at %d servers with shares %.2f", len(k.copies), k.shares)
	}
}
