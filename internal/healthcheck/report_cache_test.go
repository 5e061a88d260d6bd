package healthcheck

import (
	"testing"

	"pgregory.net/rapid"

	"dockhinge.example/dockhinge/decide"
)

// Reports of any age are added in any order. Lookup must return a report until it is stale,
// assuming the greatest age that it may have, and an older report must never replace a newer one.
// Otherwise requests would be distributed by outdated loads.
func TestReportsAreReturnedUntilStale(t *testing.T) {
	const staleMillis = 1000
	rapid.Check(t, func(t *rapid.T) {
		cache := NewReportCache(staleMillis)
		now := 0.0
		newest := map[uint32]float64{} // the time of the newest report by server
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += float64(rapid.IntRange(0, 400).Draw(t, "passes"))
			server := rapid.Uint32Range(0, 3).Draw(t, "server")
			if rapid.Bool().Draw(t, "add") {
				age := float64(rapid.IntRange(0, 1500).Draw(t, "age"))
				measuredAt := now - age
				cache.Add(now, age, Report{ServerID: server, Load: decide.LoadReport{RequestsPerSecond: measuredAt}})
				if old, ok := newest[server]; age <= staleMillis && (!ok || measuredAt > old) {
					newest[server] = measuredAt
				}
			}
			at, isKnown := newest[server]
			load, ok := cache.Lookup(now, server)
			if want := isKnown && now-at <= staleMillis; ok != want || ok && load.RequestsPerSecond != at {
				t.Fatalf("at %v: %v %v, want %v from %v", now, load.RequestsPerSecond, ok, want, at)
			}
		}
	})
}

// Twice as many servers are reported as the cache holds. It must fill up to its bound, and a new
// report must replace the reports once all of them are stale.
func TestCacheIsBounded(t *testing.T) {
	cache := NewReportCache(1000)
	for i := range uint32(2 * maxReports) {
		cache.Add(0, 0, Report{ServerID: i})
	}
	if len(cache.reports) != maxReports {
		t.Errorf("%d reports cached, want %d", len(cache.reports), maxReports)
	}
	cache.Add(5000, 0, Report{ServerID: 9 * maxReports})
	if len(cache.reports) != 1 {
		t.Errorf("%d reports cached after all others became stale, want 1", len(cache.reports))
	}
}
