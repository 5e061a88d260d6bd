package admission

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// A process under load hands over to a successor whose clock differs. The successor must continue
// with the limit, the debts and the reservations, each due after the same remaining time. Without
// the reservations, it would reject clients that return when their retry-after is over.
func TestSuccessorKeepsReservations(t *testing.T) {
	const successorNow = 5e6
	c := testConfig()
	c.Tenants = []Tenant{{Name: "ministry", Weight: 2}}
	fleet := newFakeFleet(t, c)
	for fleet.now < 1000 {
		for i := range 4 {
			fleet.send(fmt.Sprint("t", i%3), Request{Key: uint64(fleet.lastID) | 1<<40})
		}
		fleet.send("ministry", Request{Key: uint64(fleet.lastID) | 1<<40})
		fleet.step()
	}
	predecessor := fleet.admission
	text, err := json.Marshal(predecessor.Snapshot(fleet.now))
	if err != nil || len(text) > 2<<20 {
		t.Fatal(len(text), err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	successor, _ := newAdmission(t, c)
	if err := successor.Restore(successorNow, snapshot); err != nil {
		t.Fatal(err)
	}

	got := len(successor.reservations.byIdentity)
	want := len(predecessor.reservations.byIdentity)
	if got != want || got == 0 {
		t.Fatalf("%d of %d reservations restored", got, want)
	}
	if successor.limiter.limit != predecessor.limiter.limit || len(successor.State(100).Tenants) != 4 {
		t.Fatalf("limit %v, want %v; state %+v",
			successor.limiter.limit, predecessor.limiter.limit, successor.State(100))
	}
	for identity, i := range predecessor.reservations.byIdentity {
		before := predecessor.reservations.entries[i].dueAt - fleet.now
		after := successor.reservations.entries[successor.reservations.byIdentity[identity]].dueAt - successorNow
		if math.Abs(max(0, before)-after) > 1e-6 {
			t.Fatalf("due in %v, was %v", after, before)
		}
	}

	// The old process still serves, so each of the two has half of the limit.
	successor.ScaleLimit(successorNow, 0.5)
	if successor.limiter.limit != max(c.MinLimit, predecessor.limiter.limit/2) {
		t.Errorf("limit %v for one of two processes, was %v", successor.limiter.limit, predecessor.limiter.limit)
	}
}

// A snapshot with values that no correct process writes is rejected, and changes nothing.
func TestInvalidSnapshotsAreRejected(t *testing.T) {
	const tooMany = maxSnapshotEntries + 1
	for name, snapshot := range map[string]Snapshot{
		"empty":                 {},
		"limit is not a number": {Limit: math.NaN(), MeanCostMillis: 1},
		"negative cost":         {Limit: 1, MeanCostMillis: -1},
		"too many reservations": {Limit: 1, MeanCostMillis: 1, Reservations: make([]ReservationSnapshot, tooMany)},
		"too many tenants":      {Limit: 1, MeanCostMillis: 1, Tenants: make([]TenantSnapshot, tooMany)},
		"infinite limit":        {Limit: math.Inf(1), MeanCostMillis: 1},
		"negative return rate":  {Limit: 1, MeanCostMillis: 1, ReturnRate: -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := testConfig()
			a, _ := newAdmission(t, c)
			if a.Restore(0, snapshot) == nil || a.limiter.limit != c.InitialLimit {
				t.Errorf("snapshot accepted, limit %v", a.limiter.limit)
			}
		})
	}
}
