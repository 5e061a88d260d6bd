package admission

import (
	"maps"
	"slices"
	"testing"
)

// fakeHost records the decisions of an Admission.
type fakeHost struct {
	admitted       []uint32
	retryAfterByID map[uint32]float64 // of the rejected requests
	decisions      map[uint32]int     // number of decisions by request
	onAdmit        func(id uint32)
}

func newFakeHost() *fakeHost {
	return &fakeHost{retryAfterByID: map[uint32]float64{}, decisions: map[uint32]int{}}
}

func (h *fakeHost) Admit(id uint32) {
	h.admitted = append(h.admitted, id)
	h.decisions[id]++
	if h.onAdmit != nil {
		h.onAdmit(id)
	}
}

func (h *fakeHost) Reject(id uint32, retryAfterMillis float64) {
	h.retryAfterByID[id] = retryAfterMillis
	h.decisions[id]++
}

// discardingHost ignores all decisions.
type discardingHost struct{}

func (discardingHost) Admit(uint32)           {}
func (discardingHost) Reject(uint32, float64) {}

// testConfig returns a configuration with a fixed limit of eight requests of mean cost.
func testConfig() Config {
	return Config{
		Classes: []Class{
			{Name: "read", CostMillis: 10},
			{Name: "write", CostMillis: 10, HasPriority: true},
		},
		OthersWeight:        1,
		Flows:               1024,
		Buckets:             64,
		RehashMillis:        10000,
		QueueLimit:          512,
		ReservationLimit:    4096,
		MaxWaitMillis:       200,
		MaxRetryAfterMillis: 1500,
		InitialLimit:        8,
		MinLimit:            8,
		MaxLimit:            8,
		RetryBudgetShare:    0.2,
		RetryBudgetBurst:    20,
	}
}

// setLimit sets a fixed concurrency limit.
func (c *Config) setLimit(limit float64) {
	c.InitialLimit = limit
	c.MinLimit = limit
	c.MaxLimit = limit
}

func newAdmission(t testing.TB, c Config) (*Admission, *fakeHost) {
	t.Helper()
	host := newFakeHost()
	a, err := New(c, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	return a, host
}

// fakeFleet serves each admitted request in ten milliseconds.
type fakeFleet struct {
	admission  *Admission
	host       *fakeHost
	now        float64
	lastID     uint32
	tenantByID map[uint32]string
	sent       map[string]int // requests by tenant
	served     map[string]int // of these requests
	endsAt     map[uint32]float64
}

func newFakeFleet(t testing.TB, c Config) *fakeFleet {
	a, host := newAdmission(t, c)
	fleet := &fakeFleet{
		admission:  a,
		host:       host,
		tenantByID: map[uint32]string{},
		sent:       map[string]int{},
		served:     map[string]int{},
		endsAt:     map[uint32]float64{},
	}
	host.onAdmit = func(id uint32) { fleet.endsAt[id] = fleet.now + 10 }
	return fleet
}

// send lets a request of a tenant arrive. Without RemainingMillis, it has one second left.
func (f *fakeFleet) send(tenant string, request Request) uint32 {
	f.lastID++
	request.ID = f.lastID
	request.Tenant = tenant
	if request.RemainingMillis == 0 {
		request.RemainingMillis = 1000
	}
	f.tenantByID[request.ID] = tenant
	f.sent[tenant]++
	f.admission.Arrive(f.now, request)
	return request.ID
}

// sendNew sends a request with a unique key.
func (f *fakeFleet) sendNew(tenant string) uint32 {
	return f.send(tenant, Request{Key: uint64(f.lastID)})
}

// step advances the time by one millisecond.
func (f *fakeFleet) step() {
	f.now++
	for _, id := range slices.Sorted(maps.Keys(f.endsAt)) { // a deterministic order
		if f.endsAt[id] <= f.now {
			delete(f.endsAt, id)
			f.served[f.tenantByID[id]]++
			f.admission.RequestEnded(f.now, Outcome{
				ID:            id,
				Served:        true,
				LatencyMillis: 10,
				Attempts:      1,
				WorkMillis:    10,
			})
		}
	}
	f.admission.Tick(f.now)
}

// servedShare returns the share of a tenant's requests that were served.
func (f *fakeFleet) servedShare(tenant string) float64 {
	return float64(f.served[tenant]) / float64(f.sent[tenant])
}

// totalServed returns the number of served requests of all tenants.
func (f *fakeFleet) totalServed() int {
	total := 0
	for _, count := range f.served {
		total += count
	}
	return total
}
