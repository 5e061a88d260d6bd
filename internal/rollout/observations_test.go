package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against unlimited memory: observations have a limit that is reached if all routers observe
// all servers. The end of a router's session frees its observations.
func TestObservationsOverTheLimitAreRejected(t *testing.T) {
	f := newTestFleet()
	const routers = MaxObservations / MaxServers
	report := func(router string, from, n int) Result {
		view := &RouterReport{IsReady: true}
		for i := range n {
			view.Servers = append(view.Servers, ServerObservation{Name: fmt.Sprint("s", from+i), Status: StatusServing})
		}
		return f.apply(Command{Op: OpReport, Report: view}, RouterClientPrefix+router)
	}
	for r := range routers {
		for from := 0; from < MaxServers; from += MaxReportedServers {
			if result := report(fmt.Sprint("r", r), from, MaxReportedServers); result.Code != CodeOK {
				t.Fatalf("router %d, servers from %d: %+v", r, from, result)
			}
		}
	}
	if result := report("more", 0, 1); result.Code != CodeLimitReached || !strings.Contains(result.Text, "sightings") {
		t.Errorf("one observation over the limit: %+v", result)
	}
	if result := report("r0", 0, 1); result.Code != CodeOK {
		t.Errorf("update of a known observation: %+v", result)
	}
	f.endSession(RouterClientPrefix + "r1")
	if result := report("more", 0, 1); result.Code != CodeOK {
		t.Errorf("after the end of another router's session: %+v", result)
	}
}

// Guards against stored counts that differ from the observations after any sequence of reports,
// ended sessions and removals.
func TestObservationCountsMatchObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
		names := []string{"a1", "b2", "c3"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			router := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "router")
			if rapid.IntRange(0, 5).Draw(t, "end") == 0 {
				f.endSession(RouterClientPrefix + router)
			} else {
				statuses := []ServerStatus{StatusServing, StatusFailing, StatusDraining, StatusRemoved}
				status := rapid.SampledFrom(statuses).Draw(t, "is")
				f.report(router, "z", rapid.SampledFrom(names).Draw(t, "server")+":"+string(status))
			}
			f.advance(DefaultGracePeriod)
			recounted := f.state.Clone()
			recounted.recountObservations()
			total, routers := f.state.observationCount, len(f.state.observationsByRouter)
			if recounted.observationCount != total || len(recounted.observationsByRouter) != routers {
				t.Fatalf("%d observations by %d routers are counted, there are %d by %d",
					total, routers, recounted.observationCount, len(recounted.observationsByRouter))
			}
			for router, n := range recounted.observationsByRouter {
				if counted := *f.state.observationsByRouter[router]; counted != *n {
					t.Fatalf("router %s: %+v is counted, there are %+v", router, counted, *n)
				}
			}
			for _, name := range names {
				if s := recounted.Servers[name]; s != nil && s.counts != f.state.Servers[name].counts {
					t.Fatalf("server %s: %+v is counted, there are %+v", name, f.state.Servers[name].counts, s.counts)
				}
			}
		}
	})
}

// Guards against a different text when names are collected one by one instead of sorted all at
// once: both texts are replicated state.
func TestCollectedNamesGiveTheSameTextAsSortedNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching("[a-c]{1,3}"), 1, 8, rapid.ID[string]).Draw(t, "names")
		set := map[string]bool{}
		var summary nameSummary
		for _, name := range all {
			summary.add(name)
			set[name] = true
		}
		if want := SummarizeNames(sortedNames(set)); summary.text() != want {
			t.Fatalf("%q, want %q", summary.text(), want)
		}
	})
}

func sortedNames(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
