package admission

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// A process under load hands over to its successor, whose clock differs. The successor goes on with
// the limit, the debts and the reservations, each due at the same time from now. A program that lost
// them would reject clients that return when they may.
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
		t.Fatalf("%d reservations of %d", got, want)
	}
	if successor.limiter.limit != predecessor.limiter.limit || len(successor.State(100).Tenants) != 4 {
		t.Fatalf("limit %v of %v, %+v", successor.limiter.limit, predecessor.limiter.limit, successor.State(100))
	}
	for identity, i := range predecessor.reservations.byIdentity {
		was := predecessor.reservations.entries[i].dueAt - fleet.now
		is := successor.reservations.entries[successor.reservations.byIdentity[identity]].dueAt - successorNow
		if math.Abs(max(0, was)-is) > 1e-6 {
			t.Fatalf("due in %v, was %v", is, was)
		}
	}

	// The old process still serves: each of the two has half of the limit.
	successor.ScaleLimit(successorNow, 0.5)
	if successor.limiter.limit != max(c.MinLimit, predecessor.limiter.limit/2) {
		t.Errorf("limit %v of %v for one of two processes", successor.limiter.limit, predecessor.limiter.limit)
	}
}

// A snapshot has values that no correct process writes. It is rejected, and changes nothing.
func TestImpossibleSnapshotsAreRejected(t *testing.T) {
	const tooMany = maxSnapshotEntries + 1
	for name, snapshot := range map[string]Snapshot{
		"empty":                 {},
		"no number":             {Limit: math.NaN(), MeanCostMillis: 1},
		"negative cost":         {Limit: 1, MeanCostMillis: -1},
		"too many reservations": {Limit: 1, MeanCostMillis: 1, Reservations: make([]ReservationSnapshot, tooMany)},
		"too many tenants":      {Limit: 1, MeanCostMillis: 1, Tenants: make([]TenantSnapshot, tooMany)},
		"endless limit":         {Limit: math.Inf(1), MeanCostMillis: 1},
		"negative returning":    {Limit: 1, MeanCostMillis: 1, ReturnRate: -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := testConfig()
			a, _ := newAdmission(t, c)
			if a.Restore(0, snapshot) == nil || a.limiter.limit != c.InitialLimit {
				t.Errorf("taken: limit %v", a.limiter.limit)
			}
		})
	}
}
