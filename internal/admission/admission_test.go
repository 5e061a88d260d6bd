package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// fairnessIndex returns Jain's fairness index, which is 1 if all values are equal.
func fairnessIndex(values []float64) float64 {
	sum := 0.0
	squares := 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / float64(len(values)) / squares
}

// The fleet serves 800 requests a second: eight at a time, ten milliseconds each. One tenant sends
// ten times its share, eight others nine tenths of theirs. Each of the eight must be served as if
// it were alone; a single queue for all tenants would let the first one crowd them out.
func TestOverloadingTenantDoesNotAffectOthers(t *testing.T) {
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
			t.Errorf("%s: share of requests served = %.3f", name, got)
		}
	}
	if total := fleet.totalServed(); total < 3880 { // of 4,000: no capacity is left unused
		t.Errorf("%d requests served in total", total)
	}
}

// Two tenants with weights 1 and 3 send more requests than there is capacity for, the second one
// with twice the cost each. Work must be shared by weight; sharing the number of requests would
// give the second tenant twice its share.
func TestWeightsDivideWorkNotRequestCounts(t *testing.T) {
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
		t.Errorf("work of %.0f and %.0f at weights 1 and 3: Jain's index is %.3f", a, b, got)
	}
}

// A tenant sends 2,000 requests a second to a fleet that serves 800. Clients that return when their
// retry-after is over must be admitted. Clients that return earlier must be rejected with the rest
// of the same retry-after. Without stored reservations, the first would be rejected again or the
// second would gain by returning early.
func TestRetryAfterIsHonored(t *testing.T) {
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
			case i%50 == 7 && r.at-fleet.now > 100: // a client that returns early
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
		t.Errorf("%d of %d clients that returned when their retry-after was over were admitted", admitted, returned)
	}
	if gainedByReturningEarly > 0 {
		t.Errorf("%d clients gained by returning early", gainedByReturningEarly)
	}
}

// Clients invent a new tenant name for each of 3,000 requests a second. All of them together have
// the weight of the unnamed tenants, so the named tenant gets its half of 800 a second. If each
// name had a share of its own, almost nothing would be left for the named tenant.
func TestInventedTenantNamesShareOneWeight(t *testing.T) {
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
		t.Errorf("share of requests served = %.3f", got)
	}
}

// Far more tenants, requests and rejections arrive than the tables hold. Each table must fill up to
// its bound, and not exceed it.
func TestTablesFillUpToTheirBounds(t *testing.T) {
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
		t.Errorf("%d flows, %d queued requests, %d reservations", len(a.exact), maxWaiting, maxReserved)
	}
	if len(a.byID) > 20+16 || len(a.records) != 20+16 {
		t.Errorf("%d of %d records in use", len(a.byID), len(a.records))
	}
	if len(host.retryAfterByID) < 290_000 {
		t.Errorf("%d requests rejected", len(host.retryAfterByID))
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
		t.Errorf("with too many tenants: error %v", err)
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
		t.Errorf("%d entries, want 3 tenants and the sum of the others", len(got))
	}
}
