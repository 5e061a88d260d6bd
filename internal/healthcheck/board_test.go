package healthcheck

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/coord"
)

// A report counts until it is stale by the oldest that it may be, an older one never takes the
// place of a newer one, and the board is bounded.
func TestBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewReportCache(1000)
		now := 0.0
		born := map[uint32]float64{} // the newest report's birth
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += float64(rapid.IntRange(0, 400).Draw(t, "passes"))
			server := rapid.Uint32Range(0, 3).Draw(t, "server")
			if rapid.Bool().Draw(t, "tell") {
				age := float64(rapid.IntRange(0, 1500).Draw(t, "age"))
				b.Add(now, age, Report{ServerID: server, Load: decide.LoadReport{RequestsPerSecond: now - age}})
				if old, ok := born[server]; age <= 1000 && (!ok || now-age > old) {
					born[server] = now - age
				}
			}
			at, known := born[server]
			load, ok := b.Lookup(now, server)
			if want := known && now-at <= 1000; ok != want || ok && load.RequestsPerSecond != at {
				t.Fatalf("at %v: %v %v, want %v from %v", now, load.RequestsPerSecond, ok, want, at)
			}
		}
	})
	b := NewReportCache(1000)
	for i := range uint32(2 * maxReports) {
		b.Add(0, 0, Report{ServerID: i})
	}
	if len(b.reports) != maxReports {
		t.Errorf("%d known", len(b.reports))
	}
	if b.Add(5000, 0, Report{ServerID: 9 * maxReports}); len(b.reports) != 1 {
		t.Errorf("%d known after all were stale", len(b.reports))
	}
}

// What doesn't fit into a record is left out whole, and what is read is what was written.
func TestRecord(t *testing.T) {
	var all []Report
	for i := range uint32(500) {
		all = append(all, Report{ServerID: i, AgeMillis: 1.5, Load: decide.LoadReport{RequestsPerSecond: float64(i), ErrorsPerSecond: -1, Utilization: 0.25, Inflight: 3, LatencyMillis: 7}})
	}
	all[1].Load.Utilization = math.NaN() // left out alone
	text := Encode(all, coord.MaxRecord)
	got, err := Decode(text)
	if err != nil || len(text) > coord.MaxRecord || len(got) < 30 || got[0] != all[0] || got[1] != all[2] {
		t.Errorf("%d bytes, %d reports, %v", len(text), len(got), err)
	}
	if got, err := Decode(Encode(nil, 10)); err != nil || len(got) != 0 {
		t.Errorf("%v, %v", got, err)
	}
}

// The servers are dealt about evenly.
func TestShares(t *testing.T) {
	var n [Shards]int
	for i := range uint32(16000) {
		n[ShardOf(i*40503)]++
	}
	for share, k := range n {
		if k < 500 || k > 2000 {
			t.Errorf("share %d has %d of 16,000", share, k)
		}
	}
}
