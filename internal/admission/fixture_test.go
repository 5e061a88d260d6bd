package admission

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// readFixture reads a file that an older version of the program wrote.
func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A process of an older version hands over to this one, with its state as JSON under the field
// names of that version. If a name were lost, the field would be zero here, and the successor would
// start without the limit, the tenants' debts or the retry-after times given to clients.
func TestSnapshotOfOlderVersionIsRestored(t *testing.T) {
	text := readFixture(t, "handover.json")
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}

	t.Run("writing reproduces what was read", func(t *testing.T) {
		written, err := json.MarshalIndent(snapshot, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(append(written, '\n'), text) {
			t.Errorf("got %s\nwant %s", written, text)
		}
	})

	t.Run("fields keep their meaning", func(t *testing.T) {
		if snapshot.Limit != 7.880451276173533 || snapshot.BaseStretch != 0.375 || snapshot.CostScale != 1 {
			t.Errorf("limit %v, stretch %v, scale %v", snapshot.Limit, snapshot.BaseStretch, snapshot.CostScale)
		}
		if snapshot.MeanCostMillis != 12.675978507378408 || snapshot.LatencyMillis != 10 {
			t.Errorf("mean cost %v, latency %v", snapshot.MeanCostMillis, snapshot.LatencyMillis)
		}
		if snapshot.ReturnRate != 0.6192134273375611 || snapshot.WorkMillisByClass["write"] != 10 {
			t.Errorf("return rate %v, work %v", snapshot.ReturnRate, snapshot.WorkMillisByClass)
		}
		want := TenantSnapshot{Name: "t0", Debt: 2.20703125, Stats: TenantStats{
			Tenant:               "t0",
			Requests:             5753,
			Admitted:             249,
			Rejected:             5467,
			RejectedRetries:      130,
			RejectedEarly:        105,
			Disconnected:         7,
			Served:               233,
			RejectedDownstream:   15,
			RejectedAfterAttempt: 11,
			WorkMillis:           3099.318359375,
			Waiting:              3,
			ReservedMillis:       120.5,
			Weight:               2,
			RetryAfterMillis:     16026.99490997545,
			Share:                0.25,
		}}
		if len(snapshot.Tenants) != 4 || snapshot.Tenants[1] != want {
			t.Errorf("got %+v\nwant %+v", snapshot.Tenants, want)
		}
	})

	// The fixture is the state of a successor of the older version after the same hand-over.
	t.Run("the successor has the same state as one of the older version", func(t *testing.T) {
		cfg := testConfig()
		cfg.Tenants = []Tenant{{Name: "ministry", Weight: 2, GuaranteedPerSecond: 20, GuaranteedBurst: 2}}
		cfg.InitialLimit = 8
		cfg.MinLimit = 2
		cfg.MaxLimit = 64
		a, _ := newAdmission(t, cfg)
		if err := a.Restore(1000, snapshot); err != nil {
			t.Fatal(err)
		}
		state := a.State(100)
		state.TableBytes = 0 // depends on the sizes of structs
		got, err := json.MarshalIndent(state, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if want := readFixture(t, "state_after_handover.json"); !bytes.Equal(append(got, '\n'), want) {
			t.Errorf("got %s\nwant %s", got, want)
		}
		if len(a.reservations.byIdentity) != len(snapshot.Reservations) || len(snapshot.Reservations) == 0 {
			t.Errorf("%d reservations of %d", len(a.reservations.byIdentity), len(snapshot.Reservations))
		}
	})
}
