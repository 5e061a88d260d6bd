package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever routers tell, in whatever order: a server is left out by the word of others only where
// so many that are to be believed found it bad within the last ten seconds, after the last time;
// never more than a fifth; never longer than it may last, nor after a restart; and a state that was
// read back from its text goes on alike. The book of who told what is the test's own.
func TestSuspicion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quorum := rapid.IntRange(2, 4).Draw(t, "quorum")
		w := newWorld(Budget{Name: "s", Kind: KindServer, MaxOut: 2})
		w.must(Command{Op: OpSetBudgets, Budgets: w.s.Budgets, Grace: 5 * time.Second, EjectionQuorum: quorum}, "operator")
		routers, servers := []string{"r1", "r2", "r3", "r4", "r5", "r6"}, make([]string, 10)
		run, sees := map[string]int{}, map[string]map[string]ServerStatus{}
		began, over, told := map[string]time.Duration{}, map[string]time.Duration{}, map[string]map[string]time.Duration{}
		for i := range servers {
			servers[i] = fmt.Sprintf("s%d", i)
			told[servers[i]] = map[string]time.Duration{}
			over[servers[i]] = -time.Hour
		}
		for _, r := range routers {
			sees[r] = map[string]ServerStatus{}
			for _, s := range servers {
				sees[r][s] = StatusServing
				w.router(r, "z", s+":up/0")
			}
		}
		w.pass(time.Minute)
		tell := func(r string, is ServerStatus, all ...string) { // at once
			var sights []string
			for _, s := range all {
				if is == StatusFailing && sees[r][s] != StatusFailing {
					told[s][r] = w.clock
				}
				if is != StatusFailing {
					delete(told[s], r)
				}
				sees[r][s] = is
				sights = append(sights, fmt.Sprintf("%s:%s/%d", s, is, run[s]))
			}
			w.router(r, "z", sights...)
		}
		for range rapid.IntRange(5, 100).Draw(t, "events") {
			r, s := rapid.SampledFrom(routers).Draw(t, "router"), rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				tell(r, StatusFailing, s)
			case 5:
				tell(r, StatusServing, s)
			case 6: // it is cut off
				tell(r, StatusFailing, servers...)
			case 7:
				run[s]++
				tell(r, StatusServing, s)
			case 8:
				w.end(RouterClientPrefix + r)
				for _, s := range servers {
					delete(told[s], r)
					delete(sees[r], s)
				}
			default:
				w.pass(time.Duration(rapid.IntRange(10, 12000).Draw(t, "ms")) * time.Millisecond)
			}
			now := map[string]bool{}
			for _, x := range w.s.EjectedServers(w.clock) {
				now[x.Name] = true
				if x.Remaining > maxEjectionDuration {
					t.Fatalf("%s is left out for %v", x.Name, x.Remaining)
				}
			}
			if n := len(now); n > 2 {
				t.Fatalf("%d servers are left out by the word of others", n)
			}
			for _, s := range servers {
				at, was := began[s]
				switch {
				case now[s] && !was:
					n := 0
					for r, at := range told[s] {
						bad := 0
						for _, is := range sees[r] {
							if is == StatusFailing {
								bad++
							}
						}
						if at > w.clock-failingReportMaxAge && at >= over[s] && bad <= 2 {
							n++
						}
					}
					if n < quorum {
						t.Fatalf("%s is left out at %v by %d of %d routers: %v", s, w.clock, n, quorum, told[s])
					}
					began[s] = w.clock
				case now[s] && w.clock >= at+maxEjectionDuration:
					t.Fatalf("%s has been left out since %v", s, at)
				case !now[s] && was:
					delete(began, s)
					over[s] = w.s.Servers[s].Ejection.EndsAt
				}
			}
			text, err := json.Marshal(w.s)
			if err != nil {
				t.Fatal(err)
			}
			back := New()
			if err := json.Unmarshal(text, back); err != nil {
				t.Fatal(err)
			}
			back.RebuildDerived()
			back.Advance(w.clock, w.next)
			if !slices.Equal(back.EjectedServers(w.clock), w.s.EjectedServers(w.clock)) {
				t.Fatalf("read back: %v, not %v", back.EjectedServers(w.clock), w.s.EjectedServers(w.clock))
			}
		}
	})
}

// A quorum has all leave a server out, and it counts as out; one router and one that finds all
// servers bad are not believed; it ends by its time, lasts longer the next time, and ends at once
// where the server is started anew.
func TestSuspected(t *testing.T) {
	w := newWorld(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	if a := w.do(Command{Op: OpSetBudgets, Budgets: w.s.Budgets, Grace: 5 * time.Second, EjectionQuorum: 1}, "operator"); a.Code != CodeInvalid {
		t.Errorf("a quorum of one: %+v", a)
	}
	w.must(Command{Op: OpSetBudgets, Budgets: w.s.Budgets, Grace: 5 * time.Second, EjectionQuorum: 2}, "operator")
	for _, r := range []string{"r1", "r2", "r3", "r4", "r5"} {
		w.router(r, "z", "s1:up/1", "s2:up/1", "s3:up/1", "s4:up/1", "s5:up/1")
	}
	left := func() (d time.Duration) {
		t.Helper()
		all := w.s.EjectedServers(w.clock)
		if len(all) > 1 {
			t.Fatalf("%v", all)
		}
		for _, x := range all {
			d = x.Remaining
		}
		return d
	}
	expect := func(what string, want time.Duration) {
		t.Helper()
		if got := left(); got != want {
			t.Errorf("%s: left out for %v, not %v", what, got, want)
		}
	}
	drains := w.s.DrainVersion
	w.router("r1", "z", "s1:bad/1")
	w.router("r1", "z", "s1:bad/1")
	expect("one router", 0)
	w.router("r2", "z", "s1:bad/1", "s2:bad/1", "s3:bad/1", "s4:bad/1", "s5:bad/1")
	expect("one router, and one that finds all bad", 0)
	w.router("r3", "z", "s1:bad/1")
	expect("two routers", firstEjectionDuration)
	if w.s.DrainVersion == drains || w.s.Servers["s1"].IsUp {
		t.Errorf("nobody is told, or it counts as in: %+v", w.s.Servers["s1"])
	}
	if r := w.s.Report(w.clock); len(r.Unavailable) == 0 || fmt.Sprint(r.Unavailable[len(r.Unavailable)-1].ReportedBy) != "[r1 r3]" {
		t.Errorf("%+v", r.Unavailable)
	}
	w.router("r4", "z", "s2:bad/1")
	w.router("r5", "z", "s2:bad/1")
	expect("a second server, of which one in five may be", firstEjectionDuration)
	w.router("r4", "z", "s2:up/1")
	w.router("r5", "z", "s2:up/1")
	w.pass(firstEjectionDuration)
	expect("its time is over", 0)
	w.router("r4", "z", "s1:bad/1")
	expect("what was found before counts no more", 0)
	w.router("r5", "z", "s1:bad/1")
	expect("again", 2*firstEjectionDuration)
	w.router("r5", "z", "s1:up/2")
	expect("it is started anew", 0)
}
