package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Observations have a limit of their own, which all routers that observe all servers would pass;
// one whose session ends frees its own.
func TestSightingsBound(t *testing.T) {
	f := newTestFleet()
	const routers = MaxObservations / MaxServers
	report := func(router string, from, n int) Result {
		v := &RouterReport{IsReady: true}
		for i := range n {
			v.Servers = append(v.Servers, ServerObservation{Name: fmt.Sprint("s", from+i), Status: StatusServing})
		}
		return f.apply(Command{Op: OpReport, Report: v}, RouterClientPrefix+router)
	}
	for r := range routers {
		for from := 0; from < MaxServers; from += MaxReportedServers {
			if a := report(fmt.Sprint("r", r), from, MaxReportedServers); a.Code != CodeOK {
				t.Fatalf("router %d, servers from %d: %+v", r, from, a)
			}
		}
	}
	if a := report("more", 0, 1); a.Code != CodeLimitReached || !strings.Contains(a.Text, "sightings") {
		t.Errorf("one more: %+v", a)
	}
	if a := report("r0", 0, 1); a.Code != CodeOK {
		t.Errorf("one that is known already: %+v", a)
	}
	f.endSession(RouterClientPrefix + "r1")
	if a := report("more", 0, 1); a.Code != CodeOK {
		t.Errorf("after a router has gone: %+v", a)
	}
}

// The counts that are kept are those that a look at all observations gives, whatever is reported,
// ends, or is removed.
func TestSightCounts(t *testing.T) {
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
			f.advance(DefaultGrace)
			again := f.state.Clone()
			again.recountObservations()
			total, routers := f.state.observationCount, len(f.state.observationsByRouter)
			if again.observationCount != total || len(again.observationsByRouter) != routers {
				t.Fatalf("%d observations by %d routers are counted, there are %d by %d",
					total, routers, again.observationCount, len(again.observationsByRouter))
			}
			for router, n := range again.observationsByRouter {
				if counted := *f.state.observationsByRouter[router]; counted != *n {
					t.Fatalf("router %s: %+v is counted, there are %+v", router, counted, *n)
				}
			}
			for _, name := range names {
				if s := again.Servers[name]; s != nil && s.counts != f.state.Servers[name].counts {
					t.Fatalf("server %s: %+v is counted, there are %+v", name, f.state.Servers[name].counts, s.counts)
				}
			}
		}
	})
}

// Naming the first few of many gives the same text as sorting all of them.
func TestFewNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching("[a-c]{1,3}"), 1, 8, rapid.ID[string]).Draw(t, "names")
		set := map[string]bool{}
		var few firstNames
		for _, name := range all {
			few.add(name)
			set[name] = true
		}
		if want := FirstNames(sorted(set)); few.text() != want {
			t.Fatalf("%q, want %q", few.text(), want)
		}
	})
}

func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
