package admission

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// What a tenant is guaranteed is let in at once where others have to wait, and no more than that.
func TestGuaranteedRateGoesAhead(t *testing.T) {
	c := config()
	c.Tenants = []Tenant{{Name: "vital", Weight: 0.01, GuaranteedPerSecond: 200, GuaranteedBurst: 4}}
	s := newShop(t, c)
	carry := 0.0
	for s.now < 5000 { // others ask for 2,000 a second of 800, vital for its 200
		s.ask("a", Request{Key: uint64(s.next)})
		s.ask("b", Request{Key: uint64(s.next)})
		for carry += 0.2; carry >= 1; carry-- {
			s.ask("vital", Request{Key: uint64(s.next)})
		}
		s.step()
	}
	if got := float64(s.served["vital"]) / float64(s.asked["vital"]); got < 0.97 {
		t.Errorf("within its rate, served %.3f of what it asked", got)
	}
	s = newShop(t, c)
	for s.now < 5000 {
		s.ask("a", Request{Key: uint64(s.next)})
		s.ask("vital", Request{Key: uint64(s.next)})
		s.step()
	}
	if got := float64(s.served["vital"]) / 5; got < 190 || got > 260 { // its rate, and a hundredth of the rest
		t.Errorf("%.0f a second with 200 guaranteed", got)
	}
}

// New weights hold in the middle of a burst; what waits stays, and a size that can't change is named.
func TestRulesChangeInABurst(t *testing.T) {
	c := config()
	c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	s := newShop(t, c)
	play := func(until float64) (a, b int) {
		a, b = s.served["a"], s.served["b"]
		for s.now < until {
			s.ask("a", Request{Key: uint64(s.next)})
			s.ask("b", Request{Key: uint64(s.next)})
			s.step()
		}
		return s.served["a"] - a, s.served["b"] - b
	}
	if a, b := play(2000); math.Abs(float64(a-b)) > 0.03*float64(a+b) {
		t.Errorf("%d and %d at equal weights", a, b)
	}
	before := s.a.waiting
	more := c
	more.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 4}, {Name: "new", Weight: 1}}
	if err := s.a.Reconfigure(s.now, more); err != nil {
		t.Fatal(err)
	}
	if after := s.a.waiting; after != before || before == 0 {
		t.Errorf("%d waited, and %d do", before, after)
	}
	if a, b := play(6000); float64(b) < 3.5*float64(a) || float64(b) > 4.5*float64(a) {
		t.Errorf("%d and %d at weights 1 and 4", a, b)
	}
	less := c
	less.Tenants = []Tenant{{Name: "a", Weight: 1}} // b becomes one of the others, at once for new requests
	if err := s.a.Reconfigure(s.now, less); err != nil {
		t.Fatal(err)
	}
	play(6500)
	for i := range int32(maxNamedTenants) {
		if f := &s.a.flows[i]; f.tenant() == "b" && f.used && f.isIdle() {
			t.Error("the place of a tenant that is named no longer is kept")
		}
	}
	less.QueueLimit++
	var e *SettingError
	if err := s.a.Reconfigure(s.now, less); err == nil || !errors.As(err, &e) || e.Setting != "queue" {
		t.Errorf("a new size: %v", err)
	}
}

// A successor goes on with the limit, the debts and the promises, and takes nothing that is of no use.
func TestSuccessorKeepsWhatWasTold(t *testing.T) {
	c := config()
	c.Tenants = []Tenant{{Name: "ministry", Weight: 2}}
	s := newShop(t, c)
	for s.now < 1000 {
		for i := range 4 {
			s.ask(fmt.Sprint("t", i%3), Request{Key: uint64(s.next) | 1<<40})
		}
		s.ask("ministry", Request{Key: uint64(s.next) | 1<<40})
		s.step()
	}
	text, err := json.Marshal(s.a.Snapshot(s.now))
	if err != nil || len(text) > 2<<20 {
		t.Fatal(len(text), err)
	}
	var got Snapshot
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	b, _ := begin(t, c)
	if err := b.Restore(5e6, got); err != nil { // another clock
		t.Fatal(err)
	}
	if len(b.reservations.byIdentity) != len(s.a.reservations.byIdentity) || len(b.reservations.byIdentity) == 0 || b.limiter.limit != s.a.limiter.limit || len(b.State(100).Tenants) != 4 {
		t.Fatalf("%d promises of %d, limit %v of %v, %+v", len(b.reservations.byIdentity), len(s.a.reservations.byIdentity), b.limiter.limit, s.a.limiter.limit, b.State(100))
	}
	for who, p := range s.a.reservations.byIdentity { // due at the same time from now
		if was, is := s.a.reservations.entries[p].dueAt-s.now, b.reservations.entries[b.reservations.byIdentity[who]].dueAt-5e6; math.Abs(max(0, was)-is) > 1e-6 {
			t.Fatalf("due in %v, was %v", is, was)
		}
	}
	for _, bad := range []Snapshot{{}, {Limit: math.NaN(), MeanCostMillis: 1}, {Limit: 1, MeanCostMillis: -1}, {Limit: 1, MeanCostMillis: 1, Reservations: make([]ReservationSnapshot, maxSnapshotEntries+1)}} {
		if n, _ := begin(t, c); n.Restore(0, bad) == nil || n.limiter.limit != c.InitialLimit {
			t.Errorf("taken: %+v", bad)
		}
	}
	b.ScaleLimit(5e6, 0.5)
	if b.limiter.limit != max(c.MinLimit, s.a.limiter.limit/2) {
		t.Errorf("limit %v of %v for one of two processes", b.limiter.limit, s.a.limiter.limit)
	}
}

// One tenant's requests are all 4 MiB writes, which cost 65 times a read, and more than the whole limit: the others go on as
// if it were not there, and it gets its share of work too.
func TestLargeWritesCrowdOutNobody(t *testing.T) {
	s := newShop(t, config())
	s.d.onAdmit = func(id uint32) {
		s.inWork[id] = s.now + 10
		if s.of[id] == "large" {
			s.inWork[id] = s.now + 80 // an eighth of the limit, for this long: its share of what the rest leaves
		}
	}
	carry := 0.0
	for s.now < 20000 {
		s.ask("large", Request{Class: 1, Key: uint64(s.next), SizeBytes: 64 * sizeUnitBytes})
		for carry += 0.4; carry >= 1; carry-- { // half of what there is
			s.ask("small", Request{Key: uint64(s.next)})
		}
		s.step()
	}
	if got := float64(s.served["small"]) / float64(s.asked["small"]); got < 0.95 {
		t.Errorf("served %.3f of what it asked", got)
	}
	if s.served["large"] < 40 {
		t.Errorf("%d large writes in 20 s", s.served["large"])
	}
}

// A tenant that asks once a minute beside those that crowd is served each time.
func TestOnceAMinuteAmongBullies(t *testing.T) {
	s := newShop(t, config())
	for s.now < 190_000 {
		if int(s.now)%60_000 == 5000 {
			s.ask("quiet", Request{Key: uint64(s.next)})
		}
		if int(s.now)%60_000 > 3000 && int(s.now)%60_000 < 6000 { // the rest of the minute nobody asks, so that the test is short
			s.ask("a", Request{Key: uint64(s.next)})
			s.ask("b", Request{Key: uint64(s.next)})
			s.step()
			continue
		}
		s.now += 100
		s.now--
		s.step()
	}
	if s.asked["quiet"] != 4 || s.served["quiet"] != 4 {
		t.Errorf("served %d of %d", s.served["quiet"], s.asked["quiet"])
	}
}

// Capacity halves while queues are full: the limit follows, nobody is left waiting, and it comes back.
func TestCapacityHalves(t *testing.T) {
	c := config()
	c.MinLimit, c.MaxLimit = 1, 64
	s := newShop(t, c)
	speed, places := 10.0, 8.0
	s.d.onAdmit = func(id uint32) { s.inWork[id] = s.now + max(speed, speed*float64(len(s.inWork))/places) } // processor sharing
	rate := func(until float64) float64 {
		began, before := s.now, 0
		for _, n := range s.served {
			before += n
		}
		for s.now < until {
			for i := range 2 {
				s.ask(fmt.Sprint("t", (int(s.now)+i)%5), Request{Key: uint64(s.next)})
			}
			s.step()
		}
		after := 0
		for _, n := range s.served {
			after += n
		}
		return float64(after-before) / (until - began)
	}
	full := rate(4000)
	speed, places = 20, 4
	half := rate(8000)
	speed, places = 10, 8
	if again := rate(14000); full < 0.6 || half < 0.15 || again < 0.9*full {
		t.Errorf("%.2f served a millisecond of 0.8, %.2f of 0.2, %.2f of 0.8", full, half, again)
	}
	for id, n := range s.d.ends {
		if n != 1 {
			t.Fatalf("request %d: %d answers", id, n)
		}
	}
}

// A queue full of requests whose clients have gone lets in those that are still there.
func TestQueueOfTheGone(t *testing.T) {
	c := config()
	c.QueueLimit, c.InitialLimit, c.MinLimit, c.MaxLimit, c.MaxWaitMillis = 50, 1, 1, 1, 1e5
	a, d := begin(t, c)
	for i := range uint32(51) {
		a.Arrive(0, Request{ID: i, Tenant: "a", Key: uint64(i), RemainingMillis: 1e6})
	}
	waiting := a.waiting
	for i := range uint32(51) {
		a.Disconnected(1, i)
	}
	if a.waiting != 0 || waiting == 0 {
		t.Fatalf("%d waited, and %d do", waiting, a.waiting)
	}
	a.Arrive(2, Request{ID: 99, Tenant: "a", Key: 99, RemainingMillis: 1e6})
	a.Ended(3, Outcome{ID: 0, Served: true, LatencyMillis: 3, WorkMillis: 3, Attempts: 1})
	if n := len(d.admitted); n != 2 || d.admitted[1] != 99 {
		t.Errorf("let in: %v", d.admitted)
	}
}

// A million names move no memory beyond what was taken at the start.
func TestAMillionTenantsTakeNoMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("a million requests")
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	empty := heap()
	c := config()
	c.InitialLimit, c.MaxLimit = 64, 4096
	a, err := New(c, 1, quiet{})
	if err != nil {
		t.Fatal(err)
	}
	began := heap()
	name := make([]byte, 60)
	for i := range uint32(1_000_000) {
		for j := range 8 {
			name[j] = byte(i>>(4*j))&15 + 'a'
		}
		a.Arrive(float64(i)/10, Request{ID: i, Tenant: string(name), Key: uint64(i), RemainingMillis: 1000})
		if i%3 == 0 {
			a.Ended(float64(i)/10, Outcome{ID: i, Served: true, LatencyMillis: 10, WorkMillis: 10, Attempts: 1})
		}
	}
	grown := int64(heap()) - int64(began)
	taken := int64(began) - int64(empty)
	t.Logf("%d bytes taken at the start, stated %d; %d more after a million names", taken, a.TableBytes(), grown)
	if grown > 200_000 || math.Abs(float64(taken)-float64(a.TableBytes())) > 0.25*float64(taken) {
		t.Errorf("%d bytes taken at the start, stated %d; %d more after a million names", taken, a.TableBytes(), grown)
	}
	runtime.KeepAlive(a)
}

// Nobody starves: whoever keeps asking is let in again and again, however small its weight and whoever crowds beside it.
func TestNobodyStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), 2, 6).Draw(t, "weights")
		total, sizes := 0.0, rapid.SliceOfN(rapid.IntRange(0, 4*sizeUnitBytes), 1, 7).Draw(t, "sizes")
		for i, w := range weights {
			c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("n", i), Weight: w})
			total += w
		}
		c.InitialLimit, c.MinLimit, c.MaxLimit = 2, 2, 2
		d := newDoor()
		a, err := New(c, 3, d)
		if err != nil {
			t.Fatal(err)
		}
		end, id, of, work := map[uint32]float64{}, uint32(0), map[uint32]int{}, map[uint32]float64{}
		d.onAdmit = func(i uint32) { end[i] = 0 }
		got := make([]float64, len(weights))
		for now := 0.0; now < 4000; now++ {
			for i := range weights {
				id++
				size := sizes[(int(now)+i)%len(sizes)]
				of[id], work[id] = i, 1+float64(size)/sizeUnitBytes
				a.Arrive(now, Request{ID: id, Tenant: fmt.Sprint("n", i), Key: uint64(id), RemainingMillis: 1e5, SizeBytes: size})
			}
			for _, i := range slices.Clone(d.admitted) {
				if end[i]++; end[i] == 10 {
					if now >= 2000 { // by then it is known that nobody comes back as told
						got[of[i]] += work[i]
					}
					a.Ended(now, Outcome{ID: i, Served: true, LatencyMillis: 10, WorkMillis: 10, Attempts: 1})
				}
			}
			d.admitted = slices.DeleteFunc(d.admitted, func(i uint32) bool { return end[i] >= 10 })
		}
		all := 0.0
		for _, n := range got {
			all += n
		}
		for i, n := range got { // work
			if n < max(1, weights[i]/total*all*0.85-10) {
				t.Fatalf("tenant %d of weights %v: %v let in", i, weights, got)
			}
		}
	})
}

// A tenant that is named again while a request of it is still open goes on with the flow that it had, wherever that stands.
func TestNamedAgainKeepsItsFlow(t *testing.T) {
	for index, name := range []string{"a", "b"} {
		c := config()
		c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
		a, _ := begin(t, c)
		a.Arrive(0, Request{ID: 1, Tenant: name, RemainingMillis: 1000})
		without := c
		without.Tenants = slices.DeleteFunc(slices.Clone(c.Tenants), func(tenant Tenant) bool { return tenant.Name == name })
		for at, rules := range []Config{without, c} {
			if err := a.Reconfigure(float64(at+1), rules); err != nil {
				t.Fatal(err)
			}
		}
		if got, ok := a.named[name]; !ok || got != int32(index) {
			t.Errorf("%s: flow %d (%v), and had %d", name, got, ok, index)
		}
	}
}
