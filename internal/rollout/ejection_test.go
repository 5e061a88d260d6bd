package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ejectionRun is one random run of TestOnlyACredibleQuorumEjectsServers. It keeps its own record of
// all reports.
type ejectionRun struct {
	*testFleet
	t       *rapid.T
	quorum  int
	routers []string
	servers []string
	// incarnations count the restarts of each server.
	incarnations map[string]int
	// observed is how each router observes each server.
	observed map[string]map[string]ServerStatus
	// failingSince is since when each router finds a server failing, by server and router.
	failingSince map[string]map[string]time.Duration
	// ejectedAt is when the ejections in force began, by server.
	ejectedAt map[string]time.Duration
	// endedAt is when the last ejection of each server ended.
	endedAt map[string]time.Duration
}

// Guards against one faulty router that ejects the fleet. Random events: routers report servers as
// failing and as serving, are disconnected and find all servers failing, sessions end, servers
// restart. A server may only be ejected if a quorum of credible routers found it failing within the
// last ten seconds and after its last ejection. At most a fifth of the servers is ejected at once,
// none longer than maxEjectionDuration or beyond a restart. A state read back from a snapshot must
// eject the same servers.
func TestOnlyACredibleQuorumEjectsServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newEjectionRun(t)
		for range rapid.IntRange(5, 100).Draw(t, "events") {
			run.applyRandomEvent()
			run.checkEjections()
			run.checkSnapshot()
		}
	})
}

func newEjectionRun(t *rapid.T) *ejectionRun {
	run := &ejectionRun{
		testFleet:    newTestFleet(Budget{Name: "s", Kind: KindServer, MaxOut: 2}),
		t:            t,
		quorum:       rapid.IntRange(2, 4).Draw(t, "quorum"),
		routers:      []string{"r1", "r2", "r3", "r4", "r5", "r6"},
		incarnations: map[string]int{},
		observed:     map[string]map[string]ServerStatus{},
		failingSince: map[string]map[string]time.Duration{},
		ejectedAt:    map[string]time.Duration{},
		endedAt:      map[string]time.Duration{},
	}
	if result := run.set(Command{EjectionQuorum: run.quorum}); result.Code != CodeOK {
		t.Fatalf("%+v", result)
	}
	for i := range 10 {
		server := fmt.Sprintf("s%d", i)
		run.servers = append(run.servers, server)
		run.failingSince[server] = map[string]time.Duration{}
		run.endedAt[server] = -time.Hour
	}
	for _, router := range run.routers {
		run.observed[router] = map[string]ServerStatus{}
		for _, server := range run.servers {
			run.observed[router][server] = StatusServing
			run.report(router, "z", server+":up/0")
		}
	}
	run.advance(time.Minute)
	return run
}

// applyRandomEvent applies one random event.
func (run *ejectionRun) applyRandomEvent() {
	t := run.t
	router := rapid.SampledFrom(run.routers).Draw(t, "router")
	server := rapid.SampledFrom(run.servers).Draw(t, "server")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2, 3, 4:
		run.reportAll(router, StatusFailing, server)
	case 5:
		run.reportAll(router, StatusServing, server)
	case 6: // the router is disconnected from all servers
		run.reportAll(router, StatusFailing, run.servers...)
	case 7:
		run.incarnations[server]++
		run.reportAll(router, StatusServing, server)
	case 8:
		run.endSession(RouterClientPrefix + router)
		for _, server := range run.servers {
			delete(run.failingSince[server], router)
			delete(run.observed[router], server)
		}
	default:
		run.advance(time.Duration(rapid.IntRange(10, 12000).Draw(t, "ms")) * time.Millisecond)
	}
}

// reportAll makes a router report servers with one status in one report, and records it.
func (run *ejectionRun) reportAll(router string, status ServerStatus, servers ...string) {
	var reported []string
	for _, server := range servers {
		if status != StatusFailing {
			delete(run.failingSince[server], router)
		} else if run.observed[router][server] != StatusFailing {
			run.failingSince[server][router] = run.now
		}
		run.observed[router][server] = status
		reported = append(reported, fmt.Sprintf("%s:%s/%d", server, status, run.incarnations[server]))
	}
	run.report(router, "z", reported...)
}

// checkEjections checks the ejections in force against the test's record.
func (run *ejectionRun) checkEjections() {
	t := run.t
	isEjected := map[string]bool{}
	for _, ejected := range run.state.EjectedServers(run.now) {
		isEjected[ejected.Name] = true
		if ejected.Remaining > maxEjectionDuration {
			t.Fatalf("%s is ejected for %v", ejected.Name, ejected.Remaining)
		}
	}
	if len(isEjected) > 2 {
		t.Fatalf("%d servers are ejected", len(isEjected))
	}
	for _, server := range run.servers {
		since, wasEjected := run.ejectedAt[server]
		switch {
		case isEjected[server] && !wasEjected:
			if n := run.credibleReporters(server); n < run.quorum {
				t.Fatalf("%s is ejected at %v by %d of %d routers: %v",
					server, run.now, n, run.quorum, run.failingSince[server])
			}
			run.ejectedAt[server] = run.now
		case isEjected[server] && run.now >= since+maxEjectionDuration:
			t.Fatalf("%s has been ejected since %v", server, since)
		case !isEjected[server] && wasEjected:
			delete(run.ejectedAt, server)
			run.endedAt[server] = run.state.Servers[server].Ejection.EndsAt
		}
	}
}

// credibleReporters returns how many routers' reports of a server count towards the quorum now.
func (run *ejectionRun) credibleReporters(server string) (count int) {
	for router, since := range run.failingSince[server] {
		failing := 0
		for _, status := range run.observed[router] {
			if status == StatusFailing {
				failing++
			}
		}
		isRecent := since > run.now-failingReportMaxAge && since >= run.endedAt[server]
		if isRecent && failing <= 2 {
			count++
		}
	}
	return count
}

// checkSnapshot checks that the state read back from its encoding ejects the same servers.
func (run *ejectionRun) checkSnapshot() {
	t := run.t
	text, err := json.Marshal(run.state)
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := json.Unmarshal(text, restored); err != nil {
		t.Fatal(err)
	}
	restored.RebuildDerived()
	restored.Advance(run.now, run.nextToken)
	got, want := restored.EjectedServers(run.now), run.state.EjectedServers(run.now)
	if !slices.Equal(got, want) {
		t.Fatalf("the restored state ejects %v, want %v", got, want)
	}
}

// Guards against ejections without a quorum and against ejections that don't end. A server is
// ejected once a quorum of routers finds it failing; one router alone, or one that finds all
// servers failing, is not enough. The ejection ends after its time or with a restart of the server,
// and lasts longer the next time. Reports from before an ejection do not cause another one.
func TestEjectionNeedsAQuorumAndExpires(t *testing.T) {
	f := newTestFleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	if result := f.set(Command{EjectionQuorum: 1}); result.Code != CodeInvalid {
		t.Errorf("a quorum of one: %+v", result)
	}
	if result := f.set(Command{EjectionQuorum: 2}); result.Code != CodeOK {
		t.Fatalf("%+v", result)
	}
	for _, router := range []string{"r1", "r2", "r3", "r4", "r5"} {
		f.report(router, "z", "s1:up/1", "s2:up/1", "s3:up/1", "s4:up/1", "s5:up/1")
	}
	expectEjection := func(situation string, want time.Duration) {
		t.Helper()
		remaining := time.Duration(0)
		ejected := f.state.EjectedServers(f.now)
		if len(ejected) > 1 {
			t.Fatalf("%s: %v", situation, ejected)
		}
		if len(ejected) == 1 {
			remaining = ejected[0].Remaining
		}
		if remaining != want {
			t.Errorf("%s: ejected for %v, want %v", situation, remaining, want)
		}
	}
	drainVersion := f.state.DrainVersion
	f.report("r1", "z", "s1:bad/1")
	f.report("r1", "z", "s1:bad/1")
	expectEjection("found failing by one router", 0)
	f.report("r2", "z", "s1:bad/1", "s2:bad/1", "s3:bad/1", "s4:bad/1", "s5:bad/1")
	expectEjection("found failing by one router, and by one that finds all servers failing", 0)
	f.report("r3", "z", "s1:bad/1")
	expectEjection("found failing by two routers", firstEjectionDuration)
	if f.state.DrainVersion == drainVersion || f.state.Servers["s1"].IsUp {
		t.Errorf("the drain version is unchanged, or the server counts as up: %+v", f.state.Servers["s1"])
	}
	unavailable := f.state.Report(f.now).Unavailable
	if len(unavailable) == 0 || fmt.Sprint(unavailable[len(unavailable)-1].ReportedBy) != "[r1 r3]" {
		t.Errorf("%+v", unavailable)
	}
	f.report("r4", "z", "s2:bad/1")
	f.report("r5", "z", "s2:bad/1")
	expectEjection("a second server is failing, and only one in five may be ejected", firstEjectionDuration)
	f.report("r4", "z", "s2:up/1")
	f.report("r5", "z", "s2:up/1")
	f.advance(firstEjectionDuration)
	expectEjection("the ejection has expired", 0)
	f.report("r4", "z", "s1:bad/1")
	expectEjection("found failing by one router since the last ejection", 0)
	f.report("r5", "z", "s1:bad/1")
	expectEjection("found failing by two routers again", 2*firstEjectionDuration)
	f.report("r5", "z", "s1:up/2")
	expectEjection("the server has restarted", 0)
}
