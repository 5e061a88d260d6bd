package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// fairnessIndex is Jain's index: 1 where all values are equal.
func fairnessIndex(values []float64) float64 {
	sum := 0.0
	squares := 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / float64(len(values)) / squares
}

// A fleet of eight requests at a time, ten milliseconds each, serves 800 a second. One tenant sends
// ten times its share, eight others nine tenths of theirs. Each of the eight is served as if it were
// alone; with one queue for all they would be crowded out.
func TestOneTenantCrowdsOutNobody(t *testing.T) {
	fleet := newFakeFleet(t, testConfig())
	due := map[string]float64{}
	for fleet.now < 5000 {
		for i := range 9 {
			name := fmt.Sprint("t", i)
			ratePerMilli := 0.08
			if i == 0 {
				ratePerMilli = 0.9
			}
			for due[name] += ratePerMilli; due[name] >= 1; due[name]-- {
				fleet.sendNew(name)
			}
		}
		fleet.step()
	}
	for i := 1; i < 9; i++ {
		name := fmt.Sprint("t", i)
		if got := fleet.servedShare(name); got < 0.95 {
			t.Errorf("%s: served %.3f of its requests", name, got)
		}
	}
	if total := fleet.totalServed(); total < 3880 { // of 4,000: no capacity stays unused
		t.Errorf("%d served in all", total)
	}
}

// Two tenants with weights 1 and 3 send more than there is capacity for, the second with requests of
// twice the cost. Work is shared by the weights; a program that counted requests would give the
// second twice its share.
func TestWeightsShareWorkNotCounts(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}
	fleet := newFakeFleet(t, c)
	for fleet.now < 4000 {
		fleet.sendNew("a")
		fleet.send("b", Request{Key: uint64(fleet.lastID), SizeBytes: sizeUnitBytes}) // twice the cost of a's
		fleet.step()
	}
	a := float64(fleet.served["a"])
	b := 2 * float64(fleet.served["b"])
	if got := fairnessIndex([]float64{a, b / 3}); got < 0.98 {
		t.Errorf("work %.0f to %.0f by weights 1 to 3: Jain's index %.3f", a, b, got)
	}
}

// A tenant sends 2,000 requests a second to a fleet of 800. Rejected clients return when their
// retry-after is over, and are admitted then. Some return earlier: they are rejected with what
// remains of the same retry-after. A program that forgot its retry-after times would reject the
// first, or reward the second.
func TestRetryAfterTimesAreKept(t *testing.T) {
	fleet := newFakeFleet(t, testConfig())
	type retry struct {
		at  float64
		key uint64
	}
	var retries []retry
	returned := 0
	admitted := 0
	gainedByReturningEarly := 0
	for fleet.now < 6000 {
		for range 2 {
			id := fleet.send("big", Request{Key: uint64(fleet.lastID) | 1<<40})
			if after, isRejected := fleet.host.retryAfterByID[id]; isRejected && after < 1400 {
				retries = append(retries, retry{fleet.now + after, uint64(fleet.lastID-1) | 1<<40})
			}
		}
		var stillWaiting []retry
		for i, r := range retries {
			switch {
			case r.at <= fleet.now:
				returned++
				id := fleet.send("big", Request{Key: r.key, IsRetry: true})
				if _, isRejected := fleet.host.retryAfterByID[id]; !isRejected {
					admitted++
				}
			case i%50 == 7 && r.at-fleet.now > 100: // an impatient client
				id := fleet.send("big", Request{Key: r.key, IsRetry: true})
				after, isRejected := fleet.host.retryAfterByID[id]
				if !isRejected || math.Abs(after-(r.at-fleet.now)) > 1 {
					gainedByReturningEarly++
				}
				stillWaiting = append(stillWaiting, r)
			default:
				stillWaiting = append(stillWaiting, r)
			}
		}
		retries = stillWaiting
		fleet.step()
	}
	if returned < 100 || float64(admitted) < 0.95*float64(returned) {
		t.Errorf("%d of %d who returned after their retry-after were admitted", admitted, returned)
	}
	if gainedByReturningEarly > 0 {
		t.Errorf("%d who returned early gained by it", gainedByReturningEarly)
	}
}

// Clients invent a new tenant for each request, 3,000 a second. All of them share the weight of the
// unnamed, so that the named tenant has its half of 800 a second. A program that gave each name a
// share of its own would leave it nothing.
func TestInventedNamesStayAmongTheOthers(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "ministry", Weight: 1}}
	fleet := newFakeFleet(t, c)
	for fleet.now < 3000 {
		for range 3 {
			fleet.sendNew(fmt.Sprint("made-up-", fleet.lastID))
		}
		if int(fleet.now)%4 == 0 { // 250 a second
			fleet.sendNew("ministry")
		}
		fleet.step()
	}
	if got := fleet.servedShare("ministry"); got < 0.95 {
		t.Errorf("served %.3f of its requests", got)
	}
}

// Far more tenants, requests and rejections arrive than the tables hold. Each table fills up to its
// bound and not beyond.
func TestBoundsAreReachedAndHeld(t *testing.T) {
	t.Run("tables", testTableBounds)
	t.Run("snapshot", testSnapshotBounds)
}

func testTableBounds(t *testing.T) {
	c := testConfig()
	c.Flows = 16
	c.Buckets = 4
	c.QueueLimit = 20
	c.ReservationLimit = 10
	a, host := newAdmission(t, c)
	maxWaiting := 0
	maxReserved := 0
	for i := range uint32(300_000) {
		a.Arrive(float64(i)/1000, Request{
			ID:              i + 1,
			Tenant:          "x" + fmt.Sprint(i*2654435761),
			Class:           int(i % 2),
			Key:             uint64(i),
			RemainingMillis: 1000,
		})
		maxWaiting = max(maxWaiting, a.waiting)
		maxReserved = max(maxReserved, len(a.reservations.byIdentity))
	}
	if len(a.exact) != 16 || maxWaiting != 20 || maxReserved != 10 {
		t.Errorf("%d flows, %d waiting, %d reservations", len(a.exact), maxWaiting, maxReserved)
	}
	if len(a.byID) > 20+16 || len(a.records) != 20+16 {
		t.Errorf("%d records of %d", len(a.byID), len(a.records))
	}
	if len(host.retryAfterByID) < 290_000 {
		t.Errorf("%d rejected", len(host.retryAfterByID))
	}
}

func testSnapshotBounds(t *testing.T) {
	c := testConfig()
	c.Flows = maxSnapshotEntries + 10
	c.ReservationLimit = maxSnapshotEntries + 10
	c.MaxRetryAfterMillis = 1e9
	for i := range maxNamedTenants + 1 {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("n", i), Weight: 1})
	}
	if err := c.Validate(); err == nil || !strings.Contains(err.Error(), "admission.tenant") {
		t.Errorf("a tenant too many: %v", err)
	}
	c.Tenants = c.Tenants[:maxNamedTenants]
	a, _ := newAdmission(t, c)
	for i := range uint32(4 * maxSnapshotEntries) {
		tenant := fmt.Sprint("x", i%(maxSnapshotEntries+10))
		a.Arrive(0, Request{ID: i + 1, Tenant: tenant, Key: uint64(i), RemainingMillis: 1000})
	}
	got := a.Snapshot(0)
	if len(got.Tenants) != maxSnapshotEntries || len(got.Reservations) != maxSnapshotEntries {
		t.Errorf("%d tenants and %d reservations in the snapshot", len(got.Tenants), len(got.Reservations))
	}
	if got := a.State(3).Tenants; len(got) != 4 || got[3].Tenant != "" {
		t.Errorf("%d tenants shown of 3, and the rest", len(got))
	}
}
