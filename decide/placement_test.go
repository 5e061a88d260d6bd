package decide

import (
	"math"
	"testing"
)

func models(ns ...int) []*server {
	var v []*server
	for i, n := range ns {
		model := serverModel{channels: n, servicePerSecond: 10}
		v = append(v, &server{Endpoint: Endpoint{ID: uint32(i + 1)}, model: model})
	}
	return v
}

func cost(v []*server, x []float64, c2 float64) (f float64) {
	for j, s := range v {
		w, _, _ := mgmWaiting(s.model.arrivalsPerSecond+x[j], s.model.channels, s.model.servicePerSecond, c2)
		f += w
	}
	return f
}

// The sweeps must end at rates that add up to the total and cost hardly more than the best of a
// fine grid.
func TestBalanceFindsTheOptimum(t *testing.T) {
	for _, c := range []struct {
		n     []int
		load  []float64
		total float64
	}{
		{[]int{2, 2, 2}, []float64{0, 0, 0}, 45}, {[]int{1, 4, 7}, []float64{5, 10, 0}, 60},
		{[]int{3, 3, 1}, []float64{29, 0, 0}, 20}, {[]int{1, 1, 1}, []float64{0, 0, 0}, 28.5},
	} {
		b := &Balancer{}
		v := models(c.n...)
		for j, l := range c.load {
			v[j].model.arrivalsPerSecond = l
		}
		x := []float64{c.total, 0, 0}
		b.equaliseFDL(v, x)
		if sum := x[0] + x[1] + x[2]; math.Abs(sum-c.total) > 1e-6 {
			t.Fatalf("%v: rates add up to %v", c, sum)
		}
		best := math.Inf(1)
		const grid = 400
		for i := 0; i <= grid; i++ {
			for j := 0; i+j <= grid; j++ {
				y := []float64{float64(i), float64(j), float64(grid - i - j)}
				for k := range y {
					y[k] *= c.total / grid
				}
				best = min(best, cost(v, y, b.serviceTime.ratio()))
			}
		}
		if got := cost(v, x, b.serviceTime.ratio()); got > best*1.02+1e-6 {
			t.Errorf("%v: F %v at %v, brute force %v", c, got, x, best)
		}
	}
}

// After the sweeps all servers have nearly the same first derivative length, and none is sent more
// than it can serve.
func TestBalanceEqualisesFDL(t *testing.T) {
	b := &Balancer{}
	v := models(2, 3, 5)
	x := []float64{80, 0, 0}
	b.equaliseFDL(v, x)
	var d [3]float64
	for j, s := range v {
		_, d[j], _ = mgmWaiting(x[j], s.model.channels, s.model.servicePerSecond, b.serviceTime.ratio())
		if x[j] >= float64(s.model.channels)*s.model.servicePerSecond {
			t.Errorf("server %d is sent %v, over its capacity", j, x[j])
		}
	}
	for j := range d {
		if math.Abs(d[j]-d[0]) > 0.1*d[0] {
			t.Errorf("FDLs differ: %v at rates %v", d, x)
		}
	}
}

// A key is copied to more servers while that saves waiting, and not beyond: a key with little
// traffic, or one whose fetches are dear, stays at its home.
func TestSplitWidensOnlyWhileWaitingFalls(t *testing.T) {
	b := &Balancer{}
	for _, c := range []struct {
		total, fetch float64 // rate, and latency of a fetch
		want         int
	}{{1, 1, 1}, {28, 10, 2}, {55, 10, 3}, {28, 1e6, 1}} {
		k := &keyTraffic{}
		v := models(3, 3, 3, 3)
		b.placement.scale = 1
		b.originFetches.latency.value = c.fetch
		b.widen(k, v, c.total)
		if len(k.copies) != c.want && (c.want == 1 || len(k.copies) < c.want) {
			t.Errorf("total %v, fetch %v: %d servers, want %d", c.total, c.fetch, len(k.copies), c.want)
		}
		sum := 0.0
		load := 0.0
		for j, p := range k.shares {
			sum += p
			load += k.copies[j].model.arrivalsPerSecond
		}
		if k.copies[0].ID != 1 || math.Abs(sum-1) > 1e-9 || math.Abs(load-c.total) > 1e-6 {
			t.Errorf("total %v: home %d, shares add up to %v, load to %v", c.total, k.copies[0].ID, sum, load)
		}
	}
}

// Requests of a split key must be spread by the solved shares.
func TestPicksMatchShares(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.membership.hashList(k)
	k.copies = []*server{l[0], l[2]}
	k.shares = []float64{0.7, 0.3}
	n := map[*server]int{}
	for range 10000 {
		n[b.pick(read(b, k))]++
	}
	if math.Abs(float64(n[l[0]])/10000-0.7) > 0.02 || n[l[0]]+n[l[2]] != 10000 {
		t.Errorf("shares 0.7 and 0.3 were picked %d and %d times of 10000", n[l[0]], n[l[2]])
	}
}

// The load of other routers moves between servers with each solution. A key with little traffic
// must stay at its home all the same, as each move is a miss.
func TestColdKeyStaysHomeWhateverTheSolverFinds(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 40, 1)
	}
	for key := range uint64(300) {
		b.trafficOf(Request{Key: key, HasKey: true}).arrivals.add(b.now, trafficTimeConstantMillis, 1)
	}
	for round := range 5 {
		for i, s := range b.membership.caches {
			s.load.reportedPerSecond = float64(30 * ((i + round) % 2)) // load that others send, now here, now there
		}
		b.solve()
		for key := range uint64(300) {
			k := b.trafficOf(Request{Key: key, HasKey: true})
			if s := b.pick(read(b, k)); s != b.membership.hashList(k)[0] {
				t.Fatalf("round %d: cold key %d left its home", round, key)
			}
		}
	}
}

// The queue of a key's home is too long. The request goes to the next server of the list, not to a
// queue and not to a rejection.
func TestFullHomeOffersTheRequestAlongTheList(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.membership.hashList(k)
	fill(b, l[0])
	b.solve()
	k.copies = l[:1]
	k.shares = []float64{1}
	ask(b, 100001, 1, "read", 5)
	if len(h.sends) != 1 || h.last().server != l[1].ID {
		t.Errorf("sends %v, want one to the second of the list", h.sends)
	}
}

// A home is full while the origin is slow. A request that went along its list would be a miss there
// and wait for the origin: it is rejected, unless the next server is known to have the key.
func TestSlowOriginKeepsKeysFromSpreading(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	b.originFetches.latency = trend{value: 400, floor: 80, updatedAt: b.now}
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.membership.hashList(k)
	fill(b, l[0])
	ask(b, 100001, 1, "read", 5)
	k.storedOn = l[2]
	ask(b, 100002, 2, "read", 5)
	if h.rejected[1] != 1 || len(h.sends) != 1 || h.last() != (sent{2, l[2].ID}) {
		t.Errorf("rejected %v, sends %v: want a rejection, then a send to where the key is", h.rejected, h.sends)
	}
}

// A key uses four fifths of its home, and two of its requests wait. It is copied, as the fetches
// for a copy are few for all of its requests together.
func TestAHotKeyIsCopiedBeforeItsHomeIsFull(t *testing.T) {
	b := &Balancer{placement: placementState{scale: 1}}
	b.originFetches.latency.value = 200
	k := &keyTraffic{}
	b.widen(k, models(3, 3, 3), 24) // 24 of 30: two wait
	if len(k.copies) < 2 {
		t.Errorf("%d servers for a key that fills one to four fifths", len(k.copies))
	}
}

// Rates are scaled up to nine tenths of the capacity to be solved, where almost every home looks
// full. A key that one server serves with ease at the real rate must not be copied.
func TestCopiesPayAtRealRates(t *testing.T) {
	b := &Balancer{placement: placementState{scale: 3}}
	b.originFetches.latency.value = 50
	k := &keyTraffic{}
	v := models(3, 3)
	b.widen(k, v, 28) // 28 of 30 when scaled, 9 in fact
	if len(k.copies) != 1 {
		t.Errorf("%d servers for a key that one serves with ease", len(k.copies))
	}
}

// A key is hot for a fleet of 300 routers, each of which sees it once in eight seconds. It must be
// split by the rate of the fleet: by the router's own rate, all of its requests would seem to fit
// on one other server, and all routers would move them there together.
func TestKeyHotForTheFleetIsSplitAtTheFleetsRate(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 300
	b, h := start(t, cfg, fleet(40))
	hot := b.trafficOf(Request{Key: 1, HasKey: true})
	for i := range uint32(100) { // 2.5 a second, the key once in 20
		now := 100010 + 400*float64(i)
		key := uint64(i)
		if i%20 == 0 {
			key = 1
		}
		ask(b, now, i+1, "read", key)
		if len(h.sends) > 0 && h.last().id == i+1 {
			b.AttemptEnded(now+50, served(i+1, h.last().server, 50))
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

// Half of the servers can do three times as much as the others. They must be home to three times as
// many keys, two routers with noisy reports must agree on nearly all homes, and a server that fails
// or is cold must have fewer.
func TestHomesAreSpreadByCapacity(t *testing.T) {
	var es []Endpoint
	for i, e := range fleet(60) {
		e.Kind = []string{"fast", "slow"}[i%2]
		es = append(es, e)
	}
	first := map[uint64]uint32{}
	moved := 0
	keys := 4000
	for router := range 2 {
		b, _ := start(t, testConfig(), es)
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
		failing := count()
		s.health.acceptedShare = 1
		s.slowStart.startedAt = b.now
		if cold := count(); failing > well/2 || cold > well*2/3 || cold == 0 {
			t.Errorf("homes: %d while well, %d when half fails, %d when just started", well, failing, cold)
		}
	}
	if moved > keys/10 {
		t.Errorf("%d of %d keys have another home at another router", moved, keys)
	}
}

// A key has the work of eight servers. It must be split over more than those.
func TestTheHottestKeyFindsCapacity(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 100
	b, _ := start(t, cfg, fleet(60))
	k := b.trafficOf(Request{Key: 9, HasKey: true})
	k.arrivals = decayingSum{value: 50, updatedAt: b.now} // half of what this router sees
	b.arrivals = decayingSum{value: 100, updatedAt: b.now}
	b.serviceTime = moments{mean: 100, square: 20000, samples: 400}
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.value = 50
		s.load.reportedPerSecond = 8 // the key has 400 a second in all
		s.load.reportedAt = b.now
		s.attempts.work = decayingSum{value: 0.1, updatedAt: b.now}
	}
	b.originFetches.latency = trend{value: 100, floor: 100, updatedAt: b.now}
	b.solve()
	if len(k.copies) < 9 {
		t.Errorf("the key is at %d servers with shares %.2f", len(k.copies), k.shares)
	}
}
