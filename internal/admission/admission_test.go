package admission

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// door records what an Admission decides.
type door struct {
	admitted []uint32
	refused  map[uint32]float64
	ends     map[uint32]int
	onAdmit  func(id uint32)
}

func newDoor() *door { return &door{refused: map[uint32]float64{}, ends: map[uint32]int{}} }

func (d *door) Admit(id uint32) {
	d.admitted = append(d.admitted, id)
	d.ends[id]++
	if d.onAdmit != nil {
		d.onAdmit(id)
	}
}
func (d *door) Reject(id uint32, after float64) { d.refused[id] = after; d.ends[id]++ }

func config() Config {
	return Config{Classes: []Class{{Name: "read", CostMillis: 10}, {Name: "write", CostMillis: 10, HasPriority: true}}, OthersWeight: 1, Flows: 1024, Buckets: 64,
		RehashMillis: 10000, QueueLimit: 512, ReservationLimit: 4096, MaxWaitMillis: 200, MaxRetryAfterMillis: 1500, InitialLimit: 8, MinLimit: 8, MaxLimit: 8, RetryBudgetShare: 0.2, RetryBudgetBurst: 20}
}

func begin(t testing.TB, c Config) (*Admission, *door) {
	t.Helper()
	d := newDoor()
	a, err := New(c, 1, d)
	if err != nil {
		t.Fatal(err)
	}
	return a, d
}

// shop is a fleet of so many places, each of which serves a request in ten milliseconds; tenants keep asking.
type shop struct {
	a      *Admission
	d      *door
	now    float64
	next   uint32
	of     map[uint32]string
	served map[string]int
	asked  map[string]int
	inWork map[uint32]float64
}

func newShop(t testing.TB, c Config) *shop {
	s := &shop{of: map[uint32]string{}, served: map[string]int{}, asked: map[string]int{}, inWork: map[uint32]float64{}}
	s.a, s.d = begin(t, c)
	s.d.onAdmit = func(id uint32) { s.inWork[id] = s.now + 10 }
	return s
}

func (s *shop) ask(tenant string, q Request) uint32 {
	s.next++
	q.ID, q.Tenant = s.next, tenant
	if q.RemainingMillis == 0 {
		q.RemainingMillis = 1000
	}
	s.of[q.ID] = tenant
	s.asked[tenant]++
	s.a.Arrive(s.now, q)
	return q.ID
}

// step lets a millisecond pass.
func (s *shop) step() {
	s.now++
	for _, id := range slices.Sorted(maps.Keys(s.inWork)) { // in one order
		if s.inWork[id] <= s.now {
			delete(s.inWork, id)
			s.served[s.of[id]]++
			s.a.Ended(s.now, Outcome{ID: id, Served: true, LatencyMillis: 10, Attempts: 1, WorkMillis: 10})
		}
	}
	s.a.Tick(s.now)
}

func jain(xs []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range xs {
		sum, squares = sum+x, squares+x*x
	}
	return sum * sum / float64(len(xs)) / squares
}

// Eight places of ten milliseconds serve 800 a second. One tenant asks ten times its share, eight others nine tenths of
// theirs: each of those is served as if it were alone.
func TestOneTenantCrowdsOutNobody(t *testing.T) {
	s := newShop(t, config())
	carry := map[string]float64{}
	for s.now < 5000 {
		for i := range 9 {
			name, rate := fmt.Sprint("t", i), 0.08 // a millisecond
			if i == 0 {
				rate = 0.9
			}
			for carry[name] += rate; carry[name] >= 1; carry[name]-- {
				s.ask(name, Request{Key: uint64(s.next)})
			}
		}
		s.step()
	}
	for i := 1; i < 9; i++ {
		name := fmt.Sprint("t", i)
		if got := float64(s.served[name]) / float64(s.asked[name]); got < 0.95 {
			t.Errorf("%s: served %.3f of what it asked", name, got)
		}
	}
	all := 0
	for _, n := range s.served {
		all += n
	}
	if all < 3880 { // of 4,000: nothing stands idle
		t.Errorf("%d served in all", all)
	}
}

func TestWeightsShareWorkNotCounts(t *testing.T) {
	c := config()
	c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
	s := newShop(t, c)
	for s.now < 4000 {
		s.ask("a", Request{Key: uint64(s.next)})
		s.ask("b", Request{Key: uint64(s.next), SizeBytes: sizeUnitBytes}) // twice the cost of a's
		s.step()
	}
	a, b := float64(s.served["a"]), 2*float64(s.served["b"])
	if got := jain([]float64{a, b / 3}); got < 0.98 {
		t.Errorf("work %.0f to %.0f by weights 1 to 3: Jain's index %.3f", a, b, got)
	}
}

// Those that come back at the time told find room, and those that come early gain nothing.
func TestTimesToldAreKept(t *testing.T) {
	s := newShop(t, config())
	type told struct {
		at  float64
		key uint64
	}
	var back []told
	kept, early, again := 0, 0, 0
	for s.now < 6000 {
		for range 2 { // 2,000 a second at a fleet of 800
			id := s.ask("big", Request{Key: uint64(s.next) | 1<<40})
			if after, no := s.d.refused[id]; no && after < 1400 {
				back = append(back, told{s.now + after, uint64(s.next-1) | 1<<40})
			}
		}
		var later []told
		for i, b := range back {
			switch {
			case b.at <= s.now:
				again++
				id := s.ask("big", Request{Key: b.key, IsRetry: true})
				if _, no := s.d.refused[id]; !no {
					kept++
				}
			case i%50 == 7 && b.at-s.now > 100: // impatient
				id := s.ask("big", Request{Key: b.key, IsRetry: true})
				if after, no := s.d.refused[id]; !no || math.Abs(after-(b.at-s.now)) > 1 {
					early++
				}
				later = append(later, b)
			default:
				later = append(later, b)
			}
		}
		back = later
		s.step()
	}
	if again < 100 || float64(kept) < 0.95*float64(again) {
		t.Errorf("%d of %d who came back at the time told were let in", kept, again)
	}
	if early > 0 {
		t.Errorf("%d who came early gained by it", early)
	}
}

func TestInventedNamesStayAmongTheOthers(t *testing.T) {
	c := config()
	c.Tenants = []Tenant{{Name: "ministry", Weight: 1}}
	s := newShop(t, c)
	for s.now < 3000 {
		for range 3 {
			s.ask(fmt.Sprint("made-up-", s.next), Request{Key: uint64(s.next)})
		}
		if int(s.now)%4 == 0 { // 250 a second: under its half of 800
			s.ask("ministry", Request{Key: uint64(s.next)})
		}
		s.step()
	}
	if got := float64(s.served["ministry"]) / float64(s.asked["ministry"]); got < 0.95 {
		t.Errorf("served %.3f of what it asked", got)
	}
}

func TestBoundsAreReachedAndHeld(t *testing.T) {
	c := config()
	c.Flows, c.Buckets, c.QueueLimit, c.ReservationLimit = 16, 4, 20, 10
	a, d := begin(t, c)
	waiting, promises := 0, 0
	for i := range uint32(300_000) {
		a.Arrive(float64(i)/1000, Request{ID: i + 1, Tenant: "x" + fmt.Sprint(i*2654435761), Class: int(i % 2), Key: uint64(i), RemainingMillis: 1000})
		waiting, promises = max(waiting, a.waiting), max(promises, len(a.reservations.byIdentity))
	}
	if len(a.exact) != 16 || waiting != 20 || promises != 10 || len(a.byID) > 20+16 || len(a.records) != 20+16 {
		t.Errorf("%d flows, %d waiting, %d promises, %d records of %d", len(a.exact), waiting, promises, len(a.byID), len(a.records))
	}
	if len(d.refused) < 290_000 {
		t.Errorf("%d refused", len(d.refused))
	}
	c = config()
	c.Flows, c.ReservationLimit, c.MaxRetryAfterMillis = maxSnapshotEntries+10, maxSnapshotEntries+10, 1e9
	for i := range maxNamedTenants + 1 {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("n", i), Weight: 1})
	}
	if err := c.Validate(); err == nil || !strings.Contains(err.Error(), "admission.tenant") {
		t.Errorf("a tenant too many: %v", err)
	}
	c.Tenants = c.Tenants[:maxNamedTenants]
	a, _ = begin(t, c)
	for i := range uint32(4 * maxSnapshotEntries) {
		a.Arrive(0, Request{ID: i + 1, Tenant: fmt.Sprint("x", i%(maxSnapshotEntries+10)), Key: uint64(i), RemainingMillis: 1000})
	}
	if got := a.Snapshot(0); len(got.Tenants) != maxSnapshotEntries || len(got.Reservations) != maxSnapshotEntries {
		t.Errorf("%d tenants and %d promises carried", len(got.Tenants), len(got.Reservations))
	}
	if got := a.State(3).Tenants; len(got) != 4 || got[3].Tenant != "" {
		t.Errorf("%d tenants shown of 3, and the rest", len(got))
	}
}

// Whatever comes in whatever order: each request has one answer, nobody waits while there is room, the limits hold, all
// books balance, and the same seed and events lead to the same decisions.
func TestAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			Gap                        float64
			Kind, Tenant, Class, Which int
			Key                        uint64
			Left                       float64
			Size                       int
		}
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{rapid.Float64Range(0, 60).Draw(t, "gap"), rapid.IntRange(0, 9).Draw(t, "kind"), rapid.IntRange(0, 12).Draw(t, "tenant"),
				rapid.IntRange(0, 1).Draw(t, "class"), rapid.IntRange(0, 50).Draw(t, "which"), uint64(rapid.IntRange(0, 5).Draw(t, "key")),
				rapid.Float64Range(0, 500).Draw(t, "left"), rapid.IntRange(0, 1<<20).Draw(t, "size")}
		}), 1, 150).Draw(t, "events")
		play := func() (*door, []uint32) {
			c := config()
			c.Tenants = []Tenant{{Name: "n0", Weight: 2, GuaranteedPerSecond: 20, GuaranteedBurst: 2}, {Name: "n1", Weight: 1}}
			c.Flows, c.Buckets, c.QueueLimit, c.ReservationLimit, c.InitialLimit, c.MinLimit, c.MaxLimit = 4, 2, 6, 5, 3, 2, 6
			a, err := New(c, 5, newDoor())
			if err != nil {
				t.Fatal(err)
			}
			d := a.host.(*door)
			now, last := 0.0, uint32(0)
			gone, ended := map[uint32]bool{}, map[uint32]bool{}
			for _, e := range events {
				now += e.Gap
				switch {
				case e.Kind < 6:
					last++
					name := fmt.Sprint("t", e.Tenant)
					if e.Tenant < 2 {
						name = fmt.Sprint("n", e.Tenant)
					}
					a.Arrive(now, Request{ID: last, Tenant: name, Class: e.Class, Key: e.Key, RemainingMillis: e.Left, SizeBytes: e.Size, IsRetry: e.Kind == 5})
				case e.Kind < 8 && len(d.admitted) > 0:
					id := d.admitted[e.Which%len(d.admitted)]
					if !ended[id] {
						ended[id] = true
						a.Ended(now, Outcome{ID: id, Served: e.Kind == 6, Rejected: e.Kind == 7, LatencyMillis: e.Gap + 1, WorkMillis: e.Gap + 1, Attempts: e.Which % 4})
					}
				case e.Kind == 8 && last > 0:
					id := uint32(e.Which)%last + 1
					if d.ends[id] == 0 {
						gone[id] = true
					}
					a.Disconnected(now, id)
				default:
					a.Tick(now)
				}
				balance(t, a)
				if a.waiting > 0 { // work conservation: what is next does not fit
					if c := a.records[a.next()].cost; a.hasCapacity(c) || len(a.byID) == a.waiting {
						t.Fatalf("%d wait, the next for %v, and %v of %v are in work", a.waiting, c/a.costs.mean, a.limiter.inUse, a.limiter.limit)
					}
				}
			}
			a.Tick(now + 1e6)
			for id := range ended { // what is in work ends
				delete(gone, id)
			}
			for _, id := range d.admitted {
				if !ended[id] {
					a.Ended(now+1e6, Outcome{ID: id, Served: true, LatencyMillis: 1, Attempts: 1, WorkMillis: 10})
				}
			}
			balance(t, a)
			for id := uint32(1); id <= last; id++ {
				if n := d.ends[id]; n != 1 && !(n == 0 && gone[id]) {
					t.Fatalf("request %d: %d answers", id, n)
				}
			}
			return d, d.admitted
		}
		d1, order := play()
		d2, again := play()
		if !reflect.DeepEqual(order, again) || !reflect.DeepEqual(d1.refused, d2.refused) {
			t.Fatal("the same events led to other decisions")
		}
	})
}

// balance checks the books against a count from scratch.
func balance(t *rapid.T, a *Admission) {
	waiting, inUse := 0, 0.0
	backlog := map[int32]float64{}
	for _, i := range a.byID {
		if n := a.records[i]; n.isQueued {
			waiting++
			backlog[n.flow] += n.cost
		} else {
			inUse += n.slots
		}
	}
	promised := map[int32]float64{}
	for _, p := range a.reservations.byIdentity {
		promised[a.reservations.entries[p].flow] += a.reservations.entries[p].cost
	}
	top, in := 0.0, 0.0
	for i := range a.flows {
		f, n := &a.flows[i], int32(i)
		if math.Abs(f.backlog-backlog[n]) > 1e-6 || math.Abs(f.reservedWork-promised[n]) > 1e-6 || f.backlog > 0 != (f.waiting > 0) {
			t.Fatalf("flow %d: backlog %v of %v, promised %v of %v", i, f.backlog, backlog[n], f.reservedWork, promised[n])
		}
		if f.isActive() {
			if f.isUnnamed {
				in += f.weight
			} else {
				top += f.weight
			}
		}
	}
	if in > 0 {
		top += a.cfg.OthersWeight
	}
	if waiting != a.waiting || waiting > a.cfg.QueueLimit || math.Abs(inUse-a.limiter.inUse) > 1e-6 || math.Abs(top-a.top.activeWeight) > 1e-6 || math.Abs(in-a.unnamed.activeWeight) > 1e-6 {
		t.Fatalf("waiting %d of %d, in use %v of %v, weights %v of %v and %v of %v", a.waiting, waiting, a.limiter.inUse, inUse, a.top.activeWeight, top, a.unnamed.activeWeight, in)
	}
	if len(a.freeRecords)+len(a.byID) != len(a.records) || len(a.reservations.free)+len(a.reservations.byIdentity) != len(a.reservations.entries) {
		t.Fatal("a record is lost")
	}
}

// benchmark plays requests of so many tenants at so many a millisecond, of which 6.4 can be served.
func benchmark(b *testing.B, tenants int, rate float64) {
	c := config()
	c.InitialLimit, c.MinLimit, c.MaxLimit = 64, 64, 64
	a, err := New(c, 1, quiet{})
	if err != nil {
		b.Fatal(err)
	}
	names := make([]string, tenants)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
	}
	lag := uint32(10 * rate)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range uint32(b.N) {
		now := float64(i) / rate
		a.Arrive(now, Request{ID: i, Tenant: names[int(i)%tenants], Key: uint64(i), RemainingMillis: 1000})
		if i >= lag {
			a.Ended(now, Outcome{ID: i - lag, Served: true, LatencyMillis: 10, WorkMillis: 10, Attempts: 1})
		}
	}
}

func BenchmarkRoom(b *testing.B)       { benchmark(b, 100, 5) }      // the usual case: all are let in
func BenchmarkContention(b *testing.B) { benchmark(b, 100, 12) }     // half are refused
func BenchmarkStrangers(b *testing.B)  { benchmark(b, 100_000, 12) } // and their tables don't stay in the caches

type quiet struct{}

func (quiet) Admit(uint32)           {}
func (quiet) Reject(uint32, float64) {}
