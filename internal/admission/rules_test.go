package admission

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Two tenants send 2,000 requests a second to a fleet that serves 800. A third one with a small
// weight sends 200 a second, its guaranteed rate. Nearly all of these must be served, as they
// precede all shares.
func TestGuaranteedRateIsAdmittedFirst(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "vital", Weight: 0.01, GuaranteedPerSecond: 200, GuaranteedBurst: 4}}

	t.Run("within the rate", func(t *testing.T) {
		fleet := newFakeFleet(t, c)
		due := 0.0
		for fleet.now < 5000 {
			fleet.sendNew("a")
			fleet.sendNew("b")
			for due += 0.2; due >= 1; due-- {
				fleet.sendNew("vital")
			}
			fleet.step()
		}
		if got := fleet.servedShare("vital"); got < 0.97 {
			t.Errorf("share of requests served = %.3f", got)
		}
	})

	// Above its guaranteed rate, the tenant has only its share of the rest, a hundredth.
	t.Run("beyond the rate", func(t *testing.T) {
		fleet := newFakeFleet(t, c)
		for fleet.now < 5000 {
			fleet.sendNew("a")
			fleet.sendNew("vital")
			fleet.step()
		}
		if got := float64(fleet.served["vital"]) / 5; got < 190 || got > 260 {
			t.Errorf("%.0f requests served a second, with 200 guaranteed", got)
		}
	})
}

// The operator changes weights during a burst. The new weights must apply from then on, and queued
// requests must stay queued. A tenant that is no longer named frees its flow. A new table size,
// which requires a new process, must be rejected with an error that names the setting.
func TestReconfigureDuringBurst(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	fleet := newFakeFleet(t, c)
	runUntil := func(end float64) (servedA, servedB int) {
		beforeA := fleet.served["a"]
		beforeB := fleet.served["b"]
		for fleet.now < end {
			fleet.sendNew("a")
			fleet.sendNew("b")
			fleet.step()
		}
		return fleet.served["a"] - beforeA, fleet.served["b"] - beforeB
	}
	if a, b := runUntil(2000); math.Abs(float64(a-b)) > 0.03*float64(a+b) {
		t.Errorf("%d and %d requests served at equal weights", a, b)
	}

	before := fleet.admission.waiting
	reweighted := c
	reweighted.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 4}, {Name: "new", Weight: 1}}
	if err := fleet.admission.Reconfigure(fleet.now, reweighted); err != nil {
		t.Fatal(err)
	}
	if after := fleet.admission.waiting; after != before || before == 0 {
		t.Errorf("%d requests were queued before the change, %d after it", before, after)
	}
	if a, b := runUntil(6000); float64(b) < 3.5*float64(a) || float64(b) > 4.5*float64(a) {
		t.Errorf("%d and %d requests served at weights 1 and 4", a, b)
	}

	without := c
	without.Tenants = []Tenant{{Name: "a", Weight: 1}} // from now on b is an unnamed tenant
	if err := fleet.admission.Reconfigure(fleet.now, without); err != nil {
		t.Fatal(err)
	}
	runUntil(6500)
	for i := range int32(maxNamedTenants) {
		if f := &fleet.admission.flows[i]; f.tenant() == "b" && f.isAssigned && f.isIdle() {
			t.Error("the flow of a tenant that is no longer named was not freed")
		}
	}

	without.QueueLimit++
	var settingError *SettingError
	err := fleet.admission.Reconfigure(fleet.now, without)
	if !errors.As(err, &settingError) || settingError.Setting != "queue" {
		t.Errorf("with a new table size: error %v", err)
	}
}

// One tenant sends only 4 MiB writes, each of which costs 65 times a read and more than the limit.
// The other tenants must be served as if it were not there, and it must get its share of work too.
// If a request needed as many slots as it costs, all others would wait until nothing is in
// progress.
func TestLargeWritesDoNotDelayOthers(t *testing.T) {
	fleet := newFakeFleet(t, testConfig())
	fleet.host.onAdmit = func(id uint32) {
		fleet.endsAt[id] = fleet.now + 10
		if fleet.tenantByID[id] == "large" {
			fleet.endsAt[id] = fleet.now + 80 // an eighth of the limit for 80 ms: its share of the remaining work
		}
	}
	due := 0.0
	for fleet.now < 20000 {
		fleet.send("large", Request{Class: 1, Key: uint64(fleet.lastID), SizeBytes: 64 * sizeUnitBytes})
		for due += 0.4; due >= 1; due-- { // half of the fleet's capacity
			fleet.sendNew("small")
		}
		fleet.step()
	}
	if got := fleet.servedShare("small"); got < 0.95 {
		t.Errorf("share of requests served = %.3f", got)
	}
	if fleet.served["large"] < 40 {
		t.Errorf("%d large writes served in 20 s", fleet.served["large"])
	}
}

// A tenant that sends one request a minute, next to two overloading tenants, is served each time.
func TestRareTenantIsServedDespiteHeavyTenants(t *testing.T) {
	const minute = 60_000
	fleet := newFakeFleet(t, testConfig())
	for fleet.now < 190_000 {
		if int(fleet.now)%minute == 5000 {
			fleet.sendNew("quiet")
		}
		isBusy := int(fleet.now)%minute > 3000 && int(fleet.now)%minute < 6000
		if !isBusy { // no requests are sent during the rest of each minute, to keep the test short
			fleet.now += 99
			fleet.step()
			continue
		}
		fleet.sendNew("a")
		fleet.sendNew("b")
		fleet.step()
	}
	if fleet.sent["quiet"] != 4 || fleet.served["quiet"] != 4 {
		t.Errorf("%d of %d requests served", fleet.served["quiet"], fleet.sent["quiet"])
	}
}

// The fleet's capacity falls to a quarter while queues are full, and recovers. The limit must
// follow in both directions, and each request must have exactly one decision.
func TestLimitFollowsCapacity(t *testing.T) {
	c := testConfig()
	c.MinLimit = 1
	c.MaxLimit = 64
	fleet := newFakeFleet(t, c)
	serviceMillis := 10.0
	slots := 8.0
	fleet.host.onAdmit = func(id uint32) { // processor sharing
		fleet.endsAt[id] = fleet.now + max(serviceMillis, serviceMillis*float64(len(fleet.endsAt))/slots)
	}
	servedPerMilliUntil := func(end float64) float64 {
		startedAt := fleet.now
		before := fleet.totalServed()
		for fleet.now < end {
			for i := range 2 {
				fleet.sendNew(fmt.Sprint("t", (int(fleet.now)+i)%5))
			}
			fleet.step()
		}
		return float64(fleet.totalServed()-before) / (end - startedAt)
	}
	full := servedPerMilliUntil(4000)
	serviceMillis = 20
	slots = 4
	reduced := servedPerMilliUntil(8000)
	serviceMillis = 10
	slots = 8
	if recovered := servedPerMilliUntil(14000); full < 0.6 || reduced < 0.15 || recovered < 0.9*full {
		t.Errorf("served per millisecond: %.2f of 0.8, then %.2f of 0.2, then %.2f of 0.8", full, reduced, recovered)
	}
	for id, n := range fleet.host.decisions {
		if n != 1 {
			t.Fatalf("request %d: %d decisions", id, n)
		}
	}
}

// All clients of a full queue disconnect. Their requests must leave the queue immediately, so that
// a new request is admitted next; otherwise the fleet would only serve disconnected clients.
func TestDisconnectedClientsLeaveQueue(t *testing.T) {
	c := testConfig()
	c.QueueLimit = 50
	c.setLimit(1)
	c.MaxWaitMillis = 1e5
	a, host := newAdmission(t, c)
	for i := range uint32(51) {
		a.Arrive(0, Request{ID: i, Tenant: "a", Key: uint64(i), RemainingMillis: 1e6})
	}
	waiting := a.waiting
	for i := range uint32(51) {
		a.ClientDisconnected(1, i)
	}
	if a.waiting != 0 || waiting == 0 {
		t.Fatalf("%d requests were queued, %d are after the clients disconnected", waiting, a.waiting)
	}
	a.Arrive(2, Request{ID: 99, Tenant: "a", Key: 99, RemainingMillis: 1e6})
	a.RequestEnded(3, Outcome{ID: 0, Served: true, LatencyMillis: 3, WorkMillis: 3, Attempts: 1})
	if n := len(host.admitted); n != 2 || host.admitted[1] != 99 {
		t.Errorf("admitted requests: %v, want 0 and 99", host.admitted)
	}
}

// A million tenants arrive. The tables must not grow beyond the memory allocated at startup, and
// TableBytes must report that memory.
func TestTablesDoNotGrowWithTenants(t *testing.T) {
	if testing.Short() {
		t.Skip("sends a million requests")
	}
	heapBytes := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	empty := heapBytes()
	c := testConfig()
	c.InitialLimit = 64
	c.MaxLimit = 4096
	a, err := New(c, 1, discardingHost{})
	if err != nil {
		t.Fatal(err)
	}
	initial := heapBytes()
	name := make([]byte, 60)
	for i := range uint32(1_000_000) {
		for j := range 8 {
			name[j] = byte(i>>(4*j))&15 + 'a'
		}
		now := float64(i) / 10
		a.Arrive(now, Request{ID: i, Tenant: string(name), Key: uint64(i), RemainingMillis: 1000})
		if i%3 == 0 {
			a.RequestEnded(now, Outcome{ID: i, Served: true, LatencyMillis: 10, WorkMillis: 10, Attempts: 1})
		}
	}
	grown := heapBytes() - initial
	allocated := initial - empty
	reported := a.TableBytes()
	t.Logf("%d bytes allocated at startup, %d reported; %d more after a million names", allocated, reported, grown)
	if grown > 200_000 || math.Abs(float64(allocated-int64(reported))) > 0.25*float64(allocated) {
		t.Errorf("%d bytes allocated at startup, %d reported; %d more after a million names",
			allocated, reported, grown)
	}
	runtime.KeepAlive(a)
}

// Tenants of any weights and request sizes all send more than there is capacity for. Each must
// receive at least 85% of its share of the work, however small its weight.
func TestEveryTenantGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), 2, 6).Draw(t, "weights")
		sizes := rapid.SliceOfN(rapid.IntRange(0, 4*sizeUnitBytes), 1, 7).Draw(t, "sizes")
		work := playSaturated(t, weights, sizes)
		totalWeight := 0.0
		totalWork := 0.0
		for i := range weights {
			totalWeight += weights[i]
			totalWork += work[i]
		}
		for i := range weights {
			if work[i] < max(1, weights[i]/totalWeight*totalWork*0.85-10) {
				t.Fatalf("tenant %d of weights %v: work served %v", i, weights, work)
			}
		}
	})
}

// playSaturated lets each tenant send a request per millisecond, with sizes in rotation, to a fleet
// that serves two at a time. It returns each tenant's work that was served in the second half of
// four seconds, by when admission has measured that no rejected client returns.
func playSaturated(t *rapid.T, weights []float64, sizes []int) (work []float64) {
	const (
		endMillis     = 4000
		countedFrom   = 2000
		serviceMillis = 10
	)
	c := testConfig()
	for i, weight := range weights {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("n", i), Weight: weight})
	}
	c.setLimit(2)
	host := newFakeHost()
	a, err := New(c, 3, host)
	if err != nil {
		t.Fatal(err)
	}
	lastID := uint32(0)
	tenantByID := map[uint32]int{}
	workByID := map[uint32]float64{}
	ageByID := map[uint32]int{} // ms since admission, of admitted requests
	host.onAdmit = func(id uint32) { ageByID[id] = 0 }
	work = make([]float64, len(weights))
	for now := 0.0; now < endMillis; now++ {
		for i := range weights {
			lastID++
			size := sizes[(int(now)+i)%len(sizes)]
			tenantByID[lastID] = i
			workByID[lastID] = 1 + float64(size)/sizeUnitBytes
			a.Arrive(now, Request{
				ID:              lastID,
				Tenant:          fmt.Sprint("n", i),
				Key:             uint64(lastID),
				RemainingMillis: 1e5,
				SizeBytes:       size,
			})
		}
		for _, id := range slices.Clone(host.admitted) {
			ageByID[id]++
			if ageByID[id] != serviceMillis {
				continue
			}
			if now >= countedFrom {
				work[tenantByID[id]] += workByID[id]
			}
			a.RequestEnded(now, Outcome{ID: id, Served: true, LatencyMillis: 10, WorkMillis: 10, Attempts: 1})
		}
		host.admitted = slices.DeleteFunc(host.admitted, func(id uint32) bool { return ageByID[id] >= serviceMillis })
	}
	return work
}

// A tenant is removed from the operator file and named again while one of its requests is open. It
// must keep its flow. With another flow, the request would be counted twice, or the old flow would
// be freed while it is in use.
func TestTenantNamedAgainKeepsItsFlow(t *testing.T) {
	for index, name := range []string{"a", "b"} {
		t.Run(name, func(t *testing.T) {
			c := testConfig()
			c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
			a, _ := newAdmission(t, c)
			a.Arrive(0, Request{ID: 1, Tenant: name, RemainingMillis: 1000})
			without := c
			without.Tenants = slices.DeleteFunc(slices.Clone(c.Tenants), func(tenant Tenant) bool {
				return tenant.Name == name
			})
			for at, rules := range []Config{without, c} {
				if err := a.Reconfigure(float64(at+1), rules); err != nil {
					t.Fatal(err)
				}
			}
			if got, ok := a.named[name]; !ok || got != int32(index) {
				t.Errorf("flow %d (found: %v), want %d", got, ok, index)
			}
		})
	}
}
