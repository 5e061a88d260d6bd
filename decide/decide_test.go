package decide

import (
	"fmt"
	"math"
	"testing"
)

// fakeHost records the actions of a Balancer.
type fakeHost struct {
	acts     []string
	sends    []sent
	rejected map[uint32]int
	failed   map[uint32]int
	cancels  []string
	timers   []timer
	probes   []uint32
	closes   []uint32
	watches  int
	onSend   func(id uint32)
	waits    []float64
}

type sent struct{ id, server uint32 }

type timer struct {
	after float64
	token uint64
}

func newHost() *fakeHost { return &fakeHost{rejected: map[uint32]int{}, failed: map[uint32]int{}} }

func (h *fakeHost) Send(id, server uint32, _ float64) {
	if h.onSend != nil {
		h.onSend(id)
	}
	h.sends = append(h.sends, sent{id, server})
}
func (h *fakeHost) Cancel(id uint32, a int) { h.cancels = append(h.cancels, fmt.Sprint(id, "/", a)) }
func (h *fakeHost) Reject(id uint32, wait float64) {
	h.rejected[id]++
	h.waits = append(h.waits, wait)
}
func (h *fakeHost) Fail(id uint32)       { h.failed[id]++ }
func (h *fakeHost) HealthCheck(s uint32) { h.probes = append(h.probes, s) }
func (h *fakeHost) CloseIdle(s uint32)   { h.closes = append(h.closes, s) }
func (h *fakeHost) SetTimer(after float64, token uint64) {
	h.timers = append(h.timers, timer{after, token})
}
func (h *fakeHost) WatchEndpoints() { h.watches++ }
func (h *fakeHost) Gossip([]byte)   {}
func (h *fakeHost) Log(text string) { h.acts = append(h.acts, text) }

func (h *fakeHost) last() sent { return h.sends[len(h.sends)-1] }

// answers is the number of final answers that a request got from the Balancer itself.
func (h *fakeHost) answers(id uint32) int { return h.rejected[id] + h.failed[id] }

func testConfig() Config {
	return Config{
		Routers: 2, Classes: []Class{
			{Name: "read", Effect: Idempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
			{Name: "dear", Effect: Idempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 4},
			{Name: "keyed", Effect: IdempotentByKey, IdempotencyScope: "all", IdempotencyWindowMillis: 2000, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
			{Name: "zoned", Effect: IdempotentByKey, IdempotencyScope: "zone", IdempotencyWindowMillis: 2000, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
			{Name: "once", Effect: NotIdempotent, LatencyObjectiveMillis: 300, DeadlineMillis: 600, PriorityWeight: 1},
		},
		CancelAllowed: true, HedgingAllowed: true, MaxAttempts: 4, SlowStartMillis: 8000, SlowStartInitialShare: 0.4, OverloadFactor: 3, OverloadMillis: 2000,
	}
}

// fleet lists n ready servers with ids that are spread like real ones.
func fleet(n int) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{ID: uint32(splitMix64(uint64(i + 1))), Size: 1, Zone: string(rune('a' + i%2)), Cell: i / 3})
	}
	return es
}

func start(t testing.TB, cfg Config, es []Endpoint) (*Balancer, *fakeHost) {
	t.Helper()
	h := newHost()
	b, err := New(cfg, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.UpdateEndpoints(100000, RestoredEndpoints, es)
	return b, h
}

// read is a request for a key that has time and worth to spare.
func read(b *Balancer, k *keyTraffic) *request {
	return &request{maxAttempts: b.cfg.MaxAttempts, class: &b.cfg.Classes[0], key: k, work: 1, priority: 1,
		deadlineAt: b.now + 600, objectiveAt: b.now + 300}
}

func ask(b *Balancer, now float64, id uint32, class string, key uint64) {
	b.Request(now, Request{ID: id, Class: class, Key: key, HasKey: true, RemainingMillis: 600})
}

// ---- M/G/m model ----

func TestDelayAgainstKnownValues(t *testing.T) {
	erlangC := func(m int, a float64) float64 { // by the sum, as printed in textbooks
		sum, term := 0.0, 1.0
		for k := range m {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		term *= a / float64(m)
		tail := term / (1 - a/float64(m))
		return tail / (sum + tail)
	}
	for _, c := range []struct {
		m   int
		rho float64
	}{{1, 0.3}, {1, 0.9}, {2, 0.5}, {7, 0.8}, {20, 0.95}} {
		mu := 10.0
		a := c.rho * float64(c.m)
		got, _, _ := mgmWaiting(a*mu, c.m, mu, 2) // exponential service: X² = 2·X̄²
		want := erlangC(c.m, a) * c.rho / (1 - c.rho)
		if math.Abs(got-want) > 1e-9*(1+want) {
			t.Errorf("m=%d rho=%v: %v requests waiting, want %v", c.m, c.rho, got, want)
		}
		half, _, _ := mgmWaiting(a*mu, c.m, mu, 1) // fixed service waits half as long
		if math.Abs(half-want/2) > 1e-9*(1+want) {
			t.Errorf("m=%d rho=%v: fixed service %v, want %v", c.m, c.rho, half, want/2)
		}
	}
}

func TestDelayDerivatives(t *testing.T) {
	for _, m := range []int{1, 2, 5, 13} {
		for _, rho := range []float64{0.05, 0.4, 0.8, 0.97, 1.2} {
			mu, c2 := 8.0, 1.7
			lam := rho * float64(m) * mu
			e := 1e-4 * lam
			_, d, h := mgmWaiting(lam, m, mu, c2)
			f1, d1, _ := mgmWaiting(lam-e, m, mu, c2)
			f2, d2, _ := mgmWaiting(lam+e, m, mu, c2)
			if n := (f2 - f1) / (2 * e); math.Abs(n-d) > 1e-4*math.Abs(d)+1e-12 {
				t.Errorf("m=%d rho=%v: FDL %v, numerically %v", m, rho, d, n)
			}
			if n := (d2 - d1) / (2 * e); math.Abs(n-h) > 1e-3*math.Abs(h)+1e-12 {
				t.Errorf("m=%d rho=%v: second derivative %v, numerically %v", m, rho, h, n)
			}
		}
	}
}

func TestDelayIsFiniteAndRising(t *testing.T) {
	for _, m := range []int{1, 3, 256} {
		was := -1.0
		for lam := 0.0; lam < 3*float64(m); lam += 0.01 * float64(m) {
			f, d, h := mgmWaiting(lam, m, 1, 2)
			if f < was || math.IsNaN(f+d+h) || math.IsInf(f+d+h, 0) || d < 0 {
				t.Fatalf("m=%d lam=%v: f=%v d=%v h=%v after %v", m, lam, f, d, h, was)
			}
			was = f
		}
	}
}

// ---- Solver ----

func models(ns ...int) []*server {
	var v []*server
	for i, n := range ns {
		v = append(v, &server{Endpoint: Endpoint{ID: uint32(i + 1)}, model: serverModel{channels: n, servicePerSecond: 10}})
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

func TestSplitWidensOnlyWhileWaitingFalls(t *testing.T) {
	b := &Balancer{}
	for _, c := range []struct {
		total, fetch float64 // rate, and latency of a fetch
		want         int
	}{{1, 1, 1}, {28, 10, 2}, {55, 10, 3}, {28, 1e6, 1}} {
		k := &keyTraffic{}
		v := models(3, 3, 3, 3)
		b.placement.scale, b.originFetches.latency.value = 1, c.fetch
		b.widen(k, v, c.total)
		if len(k.copies) != c.want && (c.want == 1 || len(k.copies) < c.want) {
			t.Errorf("total %v, fetch %v: %d servers, want %d", c.total, c.fetch, len(k.copies), c.want)
		}
		sum, load := 0.0, 0.0
		for j, p := range k.shares {
			sum += p
			load += k.copies[j].model.arrivalsPerSecond
		}
		if k.copies[0].ID != 1 || math.Abs(sum-1) > 1e-9 || math.Abs(load-c.total) > 1e-6 {
			t.Errorf("total %v: home %d, shares add up to %v, load to %v", c.total, k.copies[0].ID, sum, load)
		}
	}
}

// ---- Hash list ----

func TestListsAgreeAfterRestart(t *testing.T) {
	es := fleet(10)
	b1, _ := start(t, testConfig(), es[:8])
	b1.UpdateEndpoints(100100, ChangedEndpoints, es[8:])
	b1.UpdateEndpoints(100200, ChangedEndpoints, []Endpoint{{ID: es[2].ID, State: Removed}})
	rest := append(append([]Endpoint{}, es[3:]...), es[:2]...)
	b2, _ := start(t, testConfig(), rest)
	for key := range uint64(500) {
		l1, l2 := b1.membership.hashList(&keyTraffic{id: key}), b2.membership.hashList(&keyTraffic{id: key})
		if want := min(candidateLimit, len(rest)); len(l1) != want || len(l2) != want {
			t.Fatalf("key %d: lists of %d and %d", key, len(l1), len(l2))
		}
		for i := range l1 {
			if l1[i].ID != l2[i].ID {
				t.Fatalf("key %d: place %d differs", key, i)
			}
			for _, o := range l1[:i] {
				if o == l1[i] {
					t.Fatalf("key %d: server twice", key)
				}
			}
		}
	}
}

func TestChangeMovesFewKeys(t *testing.T) {
	es := fleet(11)
	homes := func(es []Endpoint) map[uint64]uint32 {
		b, _ := start(t, testConfig(), es)
		m := map[uint64]uint32{}
		for key := range uint64(4000) {
			m[key] = b.membership.hashList(&keyTraffic{id: key})[0].ID
		}
		return m
	}
	before, without, with := homes(es[:10]), homes(es[1:10]), homes(es)
	moved, share := 0, map[uint32]int{}
	for key, h := range before {
		share[h]++
		if h != es[0].ID && without[key] != h {
			t.Fatalf("key %d left a server that stayed", key)
		}
		if with[key] != h {
			moved++
			if with[key] != es[10].ID {
				t.Fatalf("key %d moved between servers that stayed", key)
			}
		}
	}
	if moved > 4000*2/11 {
		t.Errorf("%d of 4000 keys moved to one new server of 11", moved)
	}
	for id, n := range share {
		if n < 150 || n > 800 {
			t.Errorf("server %d is home to %d of 4000 keys", id, n)
		}
	}
}

func TestHealthDoesNotMoveTheHash(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(8))
	k := &keyTraffic{id: 42}
	home := b.membership.hashList(k)[0]
	home.health.isEjected = true
	b.solve()
	if b.membership.hashList(k)[0] != home {
		t.Error("an ejected server lost its place")
	}
	if c := b.candidates(k); c[0] != b.membership.hashList(k)[1] {
		t.Error("the second does not stand in for an ejected first")
	}
}

// ---- Picks ----

func TestPicksMatchShares(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.membership.hashList(k)
	k.copies, k.shares = []*server{l[0], l[2]}, []float64{0.7, 0.3}
	n := map[*server]int{}
	for range 10000 {
		n[b.pick(read(b, k))]++
	}
	if math.Abs(float64(n[l[0]])/10000-0.7) > 0.02 || n[l[0]]+n[l[2]] != 10000 {
		t.Errorf("shares 0.7 and 0.3 were picked %d and %d times of 10000", n[l[0]], n[l[2]])
	}
}

// Groups of cold keys were split by shares, which changed with every solve: keys moved, and each move was a miss.
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

// ---- Bursts ----

// fill leaves a server with so much outstanding that a further request would be late.
func fill(b *Balancer, s *server) {
	s.load.capacityPerSecond.update(b.now, 10, 1)
	s.load.latencyPerWork.update(b.now, 100, 1)
	s.attempts.inFlight = 30
}

func TestFullHomeOffersTheRequestAlongTheList(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.membership.hashList(k)
	fill(b, l[0])
	b.solve()
	k.copies, k.shares = l[:1], []float64{1}
	ask(b, 100001, 1, "read", 5)
	if len(h.sends) != 1 || h.last().server != l[1].ID {
		t.Errorf("sends %v, want one to the second of the list", h.sends)
	}
}

// Each request that went along its list was a miss there; with a slow origin the misses held up all others.
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
		t.Errorf("refused %v, sends %v: want a refusal, then a send to where the key is", h.rejected, h.sends)
	}
}

func TestFullFleetRefusesEarlyTheLeastWorthFirst(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.membership.caches {
		fill(b, s)
		s.attempts.inFlight = 1 // a wait of 100 ms
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 100001, 2, "dear", 6)
	if h.rejected[1] != 1 || h.rejected[2] != 0 || len(h.sends) != 1 {
		t.Errorf("refused %v, sends %v: want the cheap one refused and the dear one sent", h.rejected, h.sends)
	}
}

// Servers that choke answer late although their wait looks short: less must be sent to them than to a quick fleet.
func TestLateAnswersLowerTheWaitThatIsBorne(t *testing.T) {
	for _, c := range []struct {
		took      float64
		low, high float64
	}{{20, 0.24, 0.25}, {400, 0, 0.16}} {
		b, h := start(t, testConfig(), fleet(6))
		for i := range uint32(300) {
			now := 100001 + 500*float64(i)
			if ask(b, now, i+1, "read", uint64(i)); len(h.sends) == 0 || h.last().id != i+1 {
				continue // refused
			}
			o := Outcome{RequestID: i + 1, ServerID: h.last().server, LatencyMillis: c.took, CacheResult: CacheHit, IsFinal: true, Load: NoLoadReport}
			b.AttemptEnded(now+c.took, o)
		}
		if b.toleratedWaitShare < c.low || b.toleratedWaitShare > c.high {
			t.Errorf("answers after %v ms: %v of the aim is borne, want %v to %v", c.took, b.toleratedWaitShare, c.low, c.high)
		}
	}
}

// A light request holds as much fixed time as a heavy one: small servers seemed to take 700 ms a unit of work.
func TestLatencyCountsForItsWork(t *testing.T) {
	b, h := start(t, testConfig(), fleet(1))
	for i := range uint32(400) {
		now, hint := 100001+500*float64(i), 1.0+9*float64(i%2)
		b.Request(now, Request{ID: i + 1, Class: "dear", Key: 1, HasKey: true, RemainingMillis: 600, WorkHint: hint})
		took := 50 + 10*hint
		b.AttemptEnded(now+took, Outcome{RequestID: i + 1, ServerID: h.last().server, LatencyMillis: took, CacheResult: CacheHit, IsFinal: true, Load: NoLoadReport})
	}
	if v := b.membership.caches[0].load.latencyPerWork.value; v < 80 || v > 160 { // the mean is 105 ms, at a mean work of 1
		t.Errorf("%v ms a unit of work, want about 105", v)
	}
}

// A zone was lost, the others were refused for a moment, and then for good: no answer could correct what was seen.
func TestWaitSeenFades(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.membership.caches {
		s.load.capacityPerSecond.update(b.now, 10, 1)
		s.load.latencyPerWork.update(b.now, 100, 1)
		s.load.latencyPerWork.value, s.load.reportedPerSecond = 2000, 20 // others hold 40 requests
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 110001, 2, "read", 5)
	if h.rejected[1] != 1 || h.rejected[2] != 0 {
		t.Errorf("refused %v: want the first only", h.rejected)
	}
}

// A key that is hot enough stays on its copies: each costs a few fetches for all of its requests together.
func TestAHotKeyIsCopiedBeforeItsHomeIsFull(t *testing.T) {
	b := &Balancer{placement: placementState{scale: 1}}
	b.originFetches.latency.value = 200
	k := &keyTraffic{}
	b.widen(k, models(3, 3, 3), 24) // 24 of 30: two wait
	if len(k.copies) < 2 {
		t.Errorf("%d servers for a key that fills one to four fifths", len(k.copies))
	}
}

// At 90% utilisation almost every home looks full, and copies made for that pushed each other out of the caches.
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

// A router of hundreds sees a key that is hot for all once in eight seconds: at its own rate of it, all of the key's
// requests look fit to move to one other server, and hundreds of routers moved them there together.
func TestKeyHotForTheFleetIsSplitAtTheFleetsRate(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 300
	b, h := start(t, cfg, fleet(40))
	hot := b.trafficOf(Request{Key: 1, HasKey: true})
	for i := range uint32(100) { // 2.5 a second, the key once in 20
		now, key := 100010+400*float64(i), uint64(i)
		if i%20 == 0 {
			key = 1
		}
		ask(b, now, i+1, "read", key)
		if len(h.sends) > 0 && h.last().id == i+1 {
			b.AttemptEnded(now+50, Outcome{RequestID: i + 1, ServerID: h.last().server, Status: OK, LatencyMillis: 50, IsFinal: true, Load: NoLoadReport})
		}
		for _, s := range b.membership.caches {
			s.load.capacityPerSecond.value, s.load.reportedPerSecond = 40, 15
		}
		b.membership.hashList(hot)[0].load.reportedPerSecond = 22
		b.TimerExpired(now+100, housekeepingToken)
	}
	b.solve()
	if len(hot.copies) < 2 || hot.shares[0] < 0.1 || hot.shares[0] > 0.9 {
		t.Errorf("the key is at %d servers with shares %v", len(hot.copies), hot.shares)
	}
}

// A key that jammed its home was met so seldom by each router that it went there again and again, and timed out.
func TestStallTellsOfAHotKeyWhereServersAreSeldomAsked(t *testing.T) {
	for _, c := range []struct {
		before int // requests in the second before
		hot    bool
	}{{2, true}, {400, false}} {
		cfg := testConfig()
		cfg.CacheAside, cfg.OriginKind = true, "origin"
		b, h := start(t, cfg, append(fleet(40), Endpoint{ID: 77, Kind: "origin"}))
		for i := range uint32(c.before) {
			ask(b, 100010+1000*float64(i)/float64(c.before), 100+i, "read", uint64(100+i))
			b.AttemptEnded(b.now, Outcome{RequestID: 100 + i, ServerID: h.last().server, LatencyMillis: 5, IsFinal: true, Load: NoLoadReport})
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

// BenchmarkRouter is what a request with its outcome, and its part of housekeeping, costs the module: docs/fleet.md.
func BenchmarkRouter(b *testing.B) {
	for _, servers := range []int{12, 30, 60} {
		for _, routers := range []int{4, 20, 80} {
			b.Run(fmt.Sprintf("servers=%d/routers=%d", servers, routers), func(b *testing.B) {
				cfg := testConfig()
				cfg.Routers, cfg.CacheAside, cfg.OriginKind = routers, true, "origin"
				m, h := start(b, cfg, append(fleet(servers), Endpoint{ID: 77, Kind: "origin"}))
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now := 100010 + 50*float64(i) // 20 a second
					ask(m, now, uint32(i+1), "read", splitMix64(uint64(i%500)))
					if n := len(h.sends); n > 0 && h.sends[n-1].id == uint32(i+1) {
						m.AttemptEnded(now+40, Outcome{RequestID: uint32(i + 1), ServerID: h.sends[n-1].server, Status: OK, LatencyMillis: 40, IsFinal: true, CacheResult: CacheHit, Load: NoLoadReport})
					}
					if i%2 == 0 {
						m.TimerExpired(now+45, housekeepingToken)
					}
					h.sends, h.timers = h.sends[:0], h.timers[:0]
				}
			})
		}
	}
}
