package admission

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// event is a randomly drawn call of Admission.
type event struct {
	GapMillis       float64
	Kind            int // 0 to 4 new request, 5 retry, 6 served, 7 rejected downstream, 8 disconnected, 9 tick
	Tenant          int
	Class           int
	Which           int // selects one of the requests that the event can apply to
	Key             uint64
	RemainingMillis float64
	SizeBytes       int
}

func drawEvent(t *rapid.T) event {
	return event{
		GapMillis:       rapid.Float64Range(0, 60).Draw(t, "gap"),
		Kind:            rapid.IntRange(0, 9).Draw(t, "kind"),
		Tenant:          rapid.IntRange(0, 12).Draw(t, "tenant"),
		Class:           rapid.IntRange(0, 1).Draw(t, "class"),
		Which:           rapid.IntRange(0, 50).Draw(t, "which"),
		Key:             uint64(rapid.IntRange(0, 5).Draw(t, "key")),
		RemainingMillis: rapid.Float64Range(0, 500).Draw(t, "remaining"),
		SizeBytes:       rapid.IntRange(0, 1<<20).Draw(t, "size"),
	}
}

// eventPlayer applies events to an Admission with small tables.
type eventPlayer struct {
	admission    *Admission
	host         *fakeHost
	now          float64
	lastID       uint32
	disconnected map[uint32]bool // disconnected before a decision
	ended        map[uint32]bool
}

func newEventPlayer(t *rapid.T) *eventPlayer {
	c := testConfig()
	c.Tenants = []Tenant{
		{Name: "n0", Weight: 2, GuaranteedPerSecond: 20, GuaranteedBurst: 2},
		{Name: "n1", Weight: 1},
	}
	c.Flows = 4
	c.Buckets = 2
	c.QueueLimit = 6
	c.ReservationLimit = 5
	c.InitialLimit = 3
	c.MinLimit = 2
	c.MaxLimit = 6
	host := newFakeHost()
	a, err := New(c, 5, host)
	if err != nil {
		t.Fatal(err)
	}
	return &eventPlayer{admission: a, host: host, disconnected: map[uint32]bool{}, ended: map[uint32]bool{}}
}

func (p *eventPlayer) play(e event) {
	p.now += e.GapMillis
	switch {
	case e.Kind < 6:
		p.arrive(e)
	case e.Kind < 8 && len(p.host.admitted) > 0:
		id := p.host.admitted[e.Which%len(p.host.admitted)]
		if p.ended[id] {
			return
		}
		p.ended[id] = true
		p.admission.RequestEnded(p.now, Outcome{
			ID:            id,
			Served:        e.Kind == 6,
			Rejected:      e.Kind == 7,
			LatencyMillis: e.GapMillis + 1,
			WorkMillis:    e.GapMillis + 1,
			Attempts:      e.Which % 4,
		})
	case e.Kind == 8 && p.lastID > 0:
		id := uint32(e.Which)%p.lastID + 1
		if p.host.decisions[id] == 0 {
			p.disconnected[id] = true
		}
		p.admission.ClientDisconnected(p.now, id)
	default:
		p.admission.Tick(p.now)
	}
}

func (p *eventPlayer) arrive(e event) {
	p.lastID++
	tenant := fmt.Sprint("t", e.Tenant)
	if e.Tenant < 2 {
		tenant = fmt.Sprint("n", e.Tenant)
	}
	p.admission.Arrive(p.now, Request{
		ID:              p.lastID,
		Tenant:          tenant,
		Class:           e.Class,
		Key:             e.Key,
		RemainingMillis: e.RemainingMillis,
		SizeBytes:       e.SizeBytes,
		IsRetry:         e.Kind == 5,
	})
}

// finish ends all admitted requests, and checks that each request has had exactly one decision.
func (p *eventPlayer) finish(t *rapid.T) {
	p.admission.Tick(p.now + 1e6)
	for id := range p.ended {
		delete(p.disconnected, id)
	}
	for _, id := range p.host.admitted {
		if !p.ended[id] {
			outcome := Outcome{ID: id, Served: true, LatencyMillis: 1, Attempts: 1, WorkMillis: 10}
			p.admission.RequestEnded(p.now+1e6, outcome)
		}
	}
	checkTotals(t, p.admission)
	for id := uint32(1); id <= p.lastID; id++ {
		if n := p.host.decisions[id]; n != 1 && !(n == 0 && p.disconnected[id]) {
			t.Fatalf("request %d: %d decisions", id, n)
		}
	}
}

// checkWorkConservation checks that no queued request could be admitted under the limit.
func checkWorkConservation(t *rapid.T, a *Admission) {
	if a.waiting == 0 {
		return
	}
	cost := a.records[a.nextQueued()].cost
	if a.hasCapacity(cost) || len(a.byID) == a.waiting {
		t.Fatalf("%d requests queued, the next one needs %v slots, and %v of %v are in use",
			a.waiting, cost/a.costs.mean, a.limiter.inUse, a.limiter.limit)
	}
}

// Requests arrive, end, are rejected downstream and lose their clients in any order. Each must have
// one decision, none may be queued while there is capacity, the limits and the sums must be
// correct, and the same seed and events must lead to the same decisions.
func TestInvariantsHoldForAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 150).Draw(t, "events")
		playAll := func() *fakeHost {
			player := newEventPlayer(t)
			for _, e := range events {
				player.play(e)
				checkTotals(t, player.admission)
				checkWorkConservation(t, player.admission)
			}
			player.finish(t)
			return player.host
		}
		first := playAll()
		second := playAll()
		if !reflect.DeepEqual(first.admitted, second.admitted) ||
			!reflect.DeepEqual(first.retryAfterByID, second.retryAfterByID) {
			t.Fatal("the same events led to different decisions")
		}
	})
}

// totals are the sums that an Admission maintains, recomputed from its records.
type totals struct {
	waiting       int
	inUse         float64
	backlog       map[int32]float64 // by flow
	reserved      map[int32]float64 // by flow
	topWeight     float64
	unnamedWeight float64
}

func countTotals(a *Admission) totals {
	sums := totals{backlog: map[int32]float64{}, reserved: map[int32]float64{}}
	for _, i := range a.byID {
		r := a.records[i]
		if r.isQueued {
			sums.waiting++
			sums.backlog[r.flow] += r.cost
		} else {
			sums.inUse += r.slots
		}
	}
	for _, i := range a.reservations.byIdentity {
		r := a.reservations.entries[i]
		sums.reserved[r.flow] += r.cost
	}
	for i := range a.flows {
		f := &a.flows[i]
		switch {
		case !f.isActive():
		case f.isUnnamed:
			sums.unnamedWeight += f.weight
		default:
			sums.topWeight += f.weight
		}
	}
	if sums.unnamedWeight > 0 {
		sums.topWeight += a.cfg.OthersWeight
	}
	return sums
}

func differs(x, y float64) bool { return math.Abs(x-y) > 1e-6 }

// checkTotals compares the sums that an Admission maintains with recomputed ones.
func checkTotals(t *rapid.T, a *Admission) {
	want := countTotals(a)
	for i := range a.flows {
		f := &a.flows[i]
		backlog := want.backlog[int32(i)]
		reserved := want.reserved[int32(i)]
		if differs(f.backlog, backlog) || differs(f.reservedWork, reserved) || f.backlog > 0 != (f.waiting > 0) {
			t.Fatalf("flow %d: backlog %v, want %v; reserved %v, want %v",
				i, f.backlog, backlog, f.reservedWork, reserved)
		}
	}
	if want.waiting != a.waiting || want.waiting > a.cfg.QueueLimit || differs(want.inUse, a.limiter.inUse) {
		t.Fatalf("%d queued, want %d; %v in use, want %v", a.waiting, want.waiting, a.limiter.inUse, want.inUse)
	}
	if differs(want.topWeight, a.top.activeWeight) || differs(want.unnamedWeight, a.unnamed.activeWeight) {
		t.Fatalf("weight at the top %v, want %v; weight of the unnamed tenants %v, want %v",
			a.top.activeWeight, want.topWeight, a.unnamed.activeWeight, want.unnamedWeight)
	}
	if len(a.freeRecords)+len(a.byID) != len(a.records) {
		t.Fatal("a record was leaked")
	}
	if len(a.reservations.free)+len(a.reservations.byIdentity) != len(a.reservations.entries) {
		t.Fatal("a reservation was leaked")
	}
}
