package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/scenario"
)

// plannedChangeOptions returns options for a run with real routers, coordinators and tools.
func plannedChangeOptions(t *testing.T) Options {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	return Options{RouterCommand: realRouter(t), CoordinatorCommand: []string{filepath.Join(dir, "dockhinge-coord")},
		Dir: t.TempDir(), ChangeTimeout: 3 * time.Minute, ReadyTimeout: time.Minute}
}

// Runs three seeds of planned changes of all servers and most routers, with faults between all
// processes: planned outages must stay within the budgets, nothing may be sent to a drained server,
// and each change must be made once.
func TestPlannedChangesStayWithinBudgets(t *testing.T) {
	o := plannedChangeOptions(t)
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f, err := scenario.Changes(seed, 3, 4)
			if err != nil {
				t.Fatal(err)
			}
			f.DurationS, f.Load.Rate, f.Fleet.Out.WarmS = 8, 60, 1
			f.Faults = slices.DeleteFunc(f.Faults, func(x scenario.Fault) bool { return x.AtS > 8 })
			o := o
			o.Dir = t.TempDir()
			res, err := Run(t.Context(), f, o)
			if err != nil {
				t.Fatal(err)
			}
			if len(res.Failures) > 0 {
				t.Errorf("%s", strings.Join(res.Failures, "\n"))
			}
			t.Logf("%d changes, %d faults", len(res.Changes), len(f.Faults)-2)
		})
	}
}

// Releases a version to real routers and kills the drivers: a good version must reach all routers,
// and one that never gets ready or crashes must halt the release and be rolled back. No version may
// be installed twice on a router.
func TestBadReleaseHaltsAndRollsBack(t *testing.T) {
	o := plannedChangeOptions(t)
	for _, spoil := range []string{"", "never", "crash"} {
		t.Run("spoilt by "+spoil, func(t *testing.T) {
			t.Parallel()
			f, err := scenario.Release(7, 4, 4, spoil, true)
			if err != nil {
				t.Fatal(err)
			}
			f.DurationS, f.Load.Rate, f.Fleet.Out, f.Fleet.Coordinators = 8, 60, scenario.Out{Routers: 1, WarmS: 0.5}, 3
			f.Faults[0].ForS, f.Faults[0].Count = 60, 0 // a slow machine must not count as a bad version
			switch spoil {
			case "never":
				f.Faults[0].ForS = 20
			case "crash": // a crash is noticed when the router's session expires
				f.Faults[0].DownS = 8
			}
			f.Faults = append(f.Faults, scenario.Fault{AtS: 3, What: "tools-die", Count: 4, ForS: 8})
			o := o
			o.Dir = t.TempDir()
			res, err := Run(t.Context(), f, o)
			if err != nil {
				t.Fatal(err)
			}
			if len(res.Failures) > 0 {
				t.Errorf("%s", strings.Join(res.Failures, "\n"))
			}
			t.Logf("%+v", *res.Released)
		})
	}
}

// Kills a release's driver at each of its steps: the release must complete, and no version may be
// installed twice on a router.
func TestReleaseCompletesWhenDriverIsKilledAtEachStep(t *testing.T) {
	o := plannedChangeOptions(t)
	for _, step := range []string{"started", "granted", "begun", "step-begun", "step-ran", "step-seen", "step-back"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			f, err := scenario.Release(8, 2, 2, "", true)
			if err != nil {
				t.Fatal(err)
			}
			f.DurationS, f.Load.Rate, f.Fleet.Out, f.Fleet.Coordinators = 3, 20, scenario.Out{Routers: 1, WarmS: 0.2}, 3
			f.Faults[0].AtS, f.Faults[0].ForS, f.Faults[0].DownS, f.Faults[0].Count = 0.5, 100, 0.5, 0
			f.Expect.Served = 1
			o := o
			o.Dir, o.Kill = t.TempDir(), &StepKill{step, "tool"}
			res, err := Run(t.Context(), f, o)
			if err != nil {
				t.Fatal(err)
			}
			if len(res.Failures) > 0 || res.Released.Drivers < 3 {
				t.Errorf("%+v\n%s", res.Released, strings.Join(res.Failures, "\n"))
			}
		})
	}
}

// Kills the tool at each of its steps and runs it again under the same name: it must take over the
// permit, each run of the command must get a higher token, and no permit or drain may be left.
func TestPermitIsTakenOverWhenToolIsKilledAtEachStep(t *testing.T) {
	t.Parallel()
	f, err := scenario.Changes(1, 2, 7)
	if err != nil {
		t.Fatal(err)
	}
	f.Faults, f.Load.Rate, f.Fleet.Out = nil, 20, scenario.Out{Servers: 7, WarmS: 0}
	fl := newFleet(f, plannedChangeOptions(t))
	t.Cleanup(fl.close)
	if err := fl.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	reader := client.New(client.Options{Coordinators: fl.coordinators.addresses(), TTL: 20 * time.Second})
	if err := retryUntil(t.Context(), time.Minute, func() error {
		r, err := reader.RolloutReport(t.Context(), 0)
		if err == nil && (r.Servers < 7 || r.Routers < 2) {
			err = fmt.Errorf("%d servers and %d routers are known", r.Servers, r.Routers)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i, step := range []string{"granted", "begun", "drained", "ran", "given-back"} {
		wg.Go(func() {
			resource := "server/" + fl.members[i].entry.ID
			file := filepath.Join(fl.options.Dir, step)
			for run := 0; ; run++ {
				p := fl.newToolProcess(fmt.Sprint("take-", step, run), "permit", "take", resource,
					"--as", step, "--", "sh", "-c", "echo $DOCKHINGE_TOKEN >>"+file)
				if run == 0 {
					p.env = append(p.env, "DOCKHINGE_KILL_AT="+step)
				}
				if err := retryUntil(t.Context(), time.Minute, p.start); err != nil {
					t.Error(err)
					return
				}
				<-p.done
				_, err := p.running()
				if run == 1 && err == nil {
					break
				}
				if run == 1 || err == nil || err.Error() != "signal: killed" {
					t.Errorf("%s, run %d: %v\n%s", step, run, err, p.logTail(5))
					return
				}
			}
			text, _ := os.ReadFile(file)
			var last uint64
			for _, w := range strings.Fields(string(text)) {
				token, err := strconv.ParseUint(w, 10, 64)
				if err != nil || token <= last {
					t.Errorf("%s: tokens %s", step, text)
				}
				last = token
			}
			if n := len(strings.Fields(string(text))); n < 1 || n > 2 || n == 2 &&
				step != "ran" && step != "given-back" {
				t.Errorf("%s: the command ran %d times", step, n)
			}
		})
	}
	wg.Wait()
	if err := retryUntil(t.Context(), time.Minute, func() error {
		r, err := reader.RolloutReport(t.Context(), 0)
		if err == nil && (len(r.Permits) > 0 || len(r.Drained) > 0) {
			err = fmt.Errorf("%d permits and %d drains are left", len(r.Permits), len(r.Drained))
		}
		return err
	}); err != nil {
		t.Error(err)
	}
}

// A cache server cuts off all its answers: two routers notice it, and then all must exclude the
// server on their reports. Another router falsely reports all servers, which must have no effect.
// No report on a server may count if its router has sent the server nothing.
func TestFaultyServerIsExcludedAndLyingRouterIsIgnored(t *testing.T) {
	t.Parallel()
	o := plannedChangeOptions(t)
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-tags", "mutants", "-o", dir+"/",
		"../../cmd/dockhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	o.MutantCommand, o.FirstRouterMutant, o.ChangeTimeout = []string{filepath.Join(dir, "dockhinge"), "serve"},
		"lies-all", 0
	f, err := scenario.FaultyServers(3, 5, 2)
	if err != nil {
		t.Fatal(err)
	}
	f.DurationS, f.Load.Rate, f.Load.LateShare = 10, 150, 1
	f.Faults = f.Faults[:1]
	f.Faults[0].AtS, f.Faults[0].ForS = 3, 0
	res, err := Run(t.Context(), f, o)
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Failures) > 0 || len(res.FaultySpells) != 1 || !res.FaultySpells[0].Accused {
		t.Errorf("%+v\n%s", res.FaultySpells, strings.Join(res.Failures, "\n"))
	}
	t.Logf("%+v", res.FaultySpells)
}

// The origin rejects all requests, so that the fleet rejects reads that miss: no planned change may
// start meanwhile, and all must be made afterwards.
func TestNoChangeStartsWhileFleetIsOverloaded(t *testing.T) {
	t.Parallel()
	o := plannedChangeOptions(t)
	f, err := scenario.Changes(5, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	f.DurationS, f.Load.Rate, f.Fleet.Coordinators, f.Fleet.Out = 18, 150, 3,
		scenario.Out{Servers: 2, Routers: 1, WarmS: 0.5, Busy: 0.1}
	f.Faults = []scenario.Fault{{AtS: 2, What: "origin-busy", ForS: 10},
		{AtS: 9, What: "change-servers", Share: 1, DownS: 0.2}}
	res, err := Run(t.Context(), f, o)
	if err != nil {
		t.Fatal(err)
	}
	over := 0.0
	for _, m := range res.Marks {
		if strings.Contains(m.Text, "the origin rejects all requests: over") {
			over = 1000 * m.AtS
		}
	}
	if len(res.Failures) > 0 || len(res.Changes) != 4 || over == 0 {
		t.Errorf("%d changes, %v\n%s", len(res.Changes), res.Marks, strings.Join(res.Failures, "\n"))
	}
	first := res.Changes[0].StoppedAtMS
	for _, c := range res.Changes {
		first = min(first, c.StoppedAtMS-c.RequestedAtMS)
	}
	if first < 3000 { // requested three seconds before the fault is over
		t.Errorf("a change started %.0f ms after it was requested, while the fleet was over its limit: %+v",
			first, res.Changes)
	}
	t.Logf("the first change started %.1f s after it was requested", first/1000)
}

// checkChanges must report each kind of violation by planned changes.
func TestCheckChangesReportsEachViolation(t *testing.T) {
	for _, x := range []struct {
		want    string
		changes []*Change
		outages []outage
		events  []checker.Event
	}{
		{"", []*Change{{Resource: "server/a", StoppedAtMS: 1, RunningAtMS: 2, Tokens: []uint64{1}},
			{Resource: "server/b", StoppedAtMS: 1002, RunningAtMS: 1003, Tokens: []uint64{2}}}, nil, nil},
		{"server/b was stopped at 900 ms while", []*Change{{Resource: "server/a", StoppedAtMS: 1, RunningAtMS: 2},
			{Resource: "server/b", StoppedAtMS: 900, RunningAtMS: 1003}}, nil, nil},
		{"server/b was stopped at 20000 ms while",
			[]*Change{{Resource: "server/b", StoppedAtMS: 20000, RunningAtMS: 21000}},
			[]outage{{resource: "server/a", from: 5000}}, nil},
		// not noticed yet
		{"", []*Change{{Resource: "server/b", StoppedAtMS: 12000, RunningAtMS: 21000}},
			[]outage{{resource: "server/a", from: 5000}}, nil},
		{"was changed 2 times", []*Change{{Resource: "server/a", StoppedAtMS: 1, RunningAtMS: 2,
			Tokens: []uint64{1, 2}}}, nil, nil},
		{"the change of server/a was not completed", []*Change{{Resource: "server/a"}}, nil, nil},
		{"1 attempts began after", []*Change{{Resource: "server/a", StoppedAtMS: 10, RunningAtMS: 20}},
			nil, []checker.Event{{Kind: checker.AttemptReceived, Server: "a", Began: 15},
				{Kind: checker.AttemptReceived, Server: "a", Began: 9}}},
		{"", []*Change{{Resource: "server/a", StoppedAtMS: 10, RunningAtMS: 20}},
			[]outage{{resource: "router/r", from: 5, to: 12, paused: true}},
			[]checker.Event{{Kind: checker.Sent, Request: "q", Router: "r"},
				{Kind: checker.AttemptReceived, Request: "q", Server: "a", Began: 15}}},
	} {
		fl := &Fleet{changes: x.changes, outages: x.outages}
		fl.File.Fleet.Out = scenario.Out{Servers: 1, Routers: 1, WarmS: 1}
		got := strings.Join(fl.checkChanges(x.events), "; ")
		if (x.want == "") != (got == "") || !strings.Contains(got, x.want) {
			t.Errorf("%q, want %q", got, x.want)
		}
	}
}

// An operator drains a server, halts, resumes and undrains it. A router that starts meanwhile must
// apply the drain before it serves its first client, and must also start when the coordinators
// accept calls but never answer.
func TestManualDrainHaltResumeAndUndrain(t *testing.T) {
	t.Parallel()
	f, err := scenario.Changes(1, 2, 4)
	if err != nil {
		t.Fatal(err)
	}
	f.Faults, f.DurationS, f.Load.Rate, f.Fleet.Out = nil, 600, 100, scenario.Out{Servers: 1, Routers: 1, WarmS: 0}
	o := plannedChangeOptions(t)
	fl := newFleet(f, o)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(fl.close)
	t.Cleanup(cancel)
	if err := fl.start(ctx); err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	go func() { defer close(over); fl.play(ctx) }() //nolint:errcheck // canceled, and checked below
	t.Cleanup(func() { cancel(); <-over })

	tool := func(args ...string) (string, error) {
		p := fl.newToolProcess(fmt.Sprint(strings.ReplaceAll(strings.Join(args, "-"), "/", "-"), len(args)), args...)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		<-p.done
		_, err := p.running()
		text, _ := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
		return string(text), err
	}
	mustPrint := func(want string, args ...string) {
		t.Helper()
		if err := retryUntil(ctx, time.Minute, func() error {
			out, err := tool(args...)
			if err == nil && !strings.Contains(out, want) {
				err = fmt.Errorf("%q is not in it", want)
			}
			if err != nil {
				return fmt.Errorf("%v: %w\n%s", args, err, out)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	countAttempts := func(server string) (n int) {
		events, _ := fl.journal.Events()
		for _, e := range events {
			if e.Kind == checker.AttemptReceived && e.Server == server {
				n++
			}
		}
		return n
	}
	first, second := fl.members[0].entry.ID, fl.members[1].entry.ID
	if err := retryUntil(ctx, time.Minute, func() error {
		if countAttempts(first) == 0 {
			return fmt.Errorf("nothing is sent to %s", first)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	mustPrint("drained", "drain", "server/"+first)
	at := countAttempts(first)
	mustPrint("by plan", "fleet")
	if out, err := tool("drain", "server/"+second, "--within", "2s"); err == nil ||
		!strings.Contains(out, "1 of at most 1 out: "+first+" (by plan)") {
		t.Errorf("a second drain: %v\n%s", err, out)
	}
	mustPrint("", "halt", "--why", "enough")
	mustPrint("HALTED by", "fleet")
	r := fl.allRouters()[0]
	p := r.newest()
	r.signal(p, 15)
	<-p.done
	if err := fl.startRouter(ctx, r); err != nil {
		t.Fatal(err)
	}
	countRequests := func() (n int) {
		events, _ := fl.journal.Events()
		for _, e := range events {
			if e.Kind == checker.Sent && e.Router == r.name {
				n++
			}
		}
		return n
	}
	before := countRequests()
	if err := retryUntil(ctx, time.Minute, func() error {
		if countRequests() < before+50 {
			return fmt.Errorf("router %s gets no requests", r.name)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if n := countAttempts(first); n != at {
		t.Errorf("%d attempts began at the drained server, also counting the router that started meanwhile", n-at)
	}
	for _, c := range fl.coordinators.nodes { // paused, so that they accept calls but don't answer
		c.signal(19)
	}
	r = fl.allRouters()[1]
	p = r.newest()
	r.signal(p, 15)
	<-p.done
	if err := fl.startRouter(ctx, r); err != nil {
		t.Errorf("with coordinators that don't answer: %v", err)
	}
	for _, c := range fl.coordinators.nodes {
		c.signal(18)
	}
	mustPrint("", "resume")
	at = countAttempts(first)
	mustPrint("", "undrain", "server/"+first)
	if err := retryUntil(ctx, time.Minute, func() error {
		if countAttempts(first) == at {
			return fmt.Errorf("nothing is sent to %s, which was undrained", first)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
}
