package metrics

import (
	"encoding/json"
	"reflect"
	"sync"
	"testing"
)

// Operators and their tools depend on the names in the JSON metrics.
func TestMetricsHavePublishedNames(t *testing.T) {
	m := New()
	c := m.Class("fetch")
	c.CountOutcome(Success)
	c.CountOutcome(Success)
	c.CountOutcome(Overload)
	c.CountOutcome(Error)
	m.Dispatches.Add(5)
	m.Class("publish") // registered, but without requests
	m.Concurrent.Store(14)
	m.Targets.Store(12)
	m.TargetsDisabled.Store(1)
	m.ReloadSuccesses.Store(3)
	m.ReloadFailures.Store(2)
	text, err := m.JSON(nil)
	if err != nil {
		t.Fatal(err)
	}
	var got, want any
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(`{"success":{"fetch":2,"publish":0},"overload":{"fetch":1,"publish":0},
		"error":{"fetch":1,"publish":0},"dispatches":5,"concurrent":14,"targets":12,
		"targets_disabled":1,"reload_success":3,"reload_failure":2}`), &want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %s", text)
	}
}

// Requests end in many goroutines while snapshots are taken. No request may be lost.
func TestConcurrentCountsAreNotLost(t *testing.T) {
	m := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				m.Class("fetch").CountOutcome(Success)
				m.Snapshot()
			}
		})
	}
	wg.Wait()
	if got := m.Snapshot().Success["fetch"]; got != 8000 {
		t.Errorf("got %d, want 8000", got)
	}
}
