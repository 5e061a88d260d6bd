package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/scenario"
)

// realRouter builds the router.
func realRouter(t *testing.T) []string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "dockhinge")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/dockhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{bin, "serve"}
}

// remainingProcesses lists the processes that still run a program.
func remainingProcesses(t *testing.T, bin string) (pids []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, exe := range all {
		if to, err := os.Readlink(exe); err == nil && strings.TrimSuffix(to, " (deleted)") == bin {
			pids = append(pids, exe)
		}
	}
	return pids
}

// Runs five short scenarios with the real router, in one of which all routers are killed. The test
// checks counts and rules, never times.
func TestRealRouterKeepsTheRules(t *testing.T) {
	command := realRouter(t)
	for name, change := range map[string]func(*scenario.File){
		"crash": func(f *scenario.File) { f.Faults[0].AtS, f.Faults[0].ForS = 2, 2 },
		"upgrade": func(f *scenario.File) {
			f.Faults[0].AtS, f.Faults[1].AtS = 1.5, 5
		},
		"herd": func(f *scenario.File) {
			f.Fleet.Routers = 6
			f.Faults[0].AtS, f.Faults[0].ForS, f.Faults[1].AtS, f.Faults[2].AtS = 1, 3, 1.5, 2
		},
		"calm": func(f *scenario.File) { f.Load.DisconnectShare = 0.2 },
		"rude": func(f *scenario.File) {
			for i := range f.Faults {
				f.Faults[i].AtS, f.Faults[i].ForS = 1+float64(i), 3
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, err := scenario.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			change(&f)
			f.DurationS, f.Load.Rate, f.Load.LateShare = 7, 100, 1 // a slow machine must not fail the test
			f.Expect = scenario.Expect{Served: 100, Rude: name == "rude"}
			res, err := Run(t.Context(), f, Options{RouterCommand: command, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if len(res.Failures) > 0 {
				t.Errorf("%s", strings.Join(res.Failures, "\n"))
			}
			if res.Load.Tries < 400 || len(res.Samples) == 0 || res.Samples[0].Routers["r0"].RSSMB == 0 {
				t.Errorf("%d tries, %d samples", res.Load.Tries, len(res.Samples))
			}
			if name == "rude" && res.MisbehavingClients[1] < 10 {
				t.Errorf("%d misbehaving clients only", res.MisbehavingClients[1])
			}
		})
	}
	if left := remainingProcesses(t, command[0]); len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
}

// A canceled run must leave no process behind and still return a result.
func TestCanceledRunLeavesNoProcesses(t *testing.T) {
	command := realRouter(t)
	f, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	res, err := Run(ctx, f, Options{RouterCommand: command, Dir: t.TempDir(),
		Progress: func(n load.ProgressReport, fl *Fleet) {
			if up, all := fl.CountServers(); up != 6 || all != 6 {
				t.Errorf("%d of %d up", up, all)
			}
			stop()
		}})
	if err != nil || !res.Interrupted || res.Load.Tries == 0 {
		t.Errorf("%v, cut %t, %d tries", err, res.Interrupted, res.Load.Tries)
	}
	if left := remainingProcesses(t, command[0]); len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
}

// A router that can't start or that crashes must be reported, and no process may be left behind.
func TestFailedStartAndCrashOfRouterAreReported(t *testing.T) {
	f, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(t.Context(), f, Options{RouterCommand: []string{"/bin/sh", "-c", "echo no can do >&2; exit 4"},
		Dir: t.TempDir()}); err == nil ||
		!strings.Contains(err.Error(), "no can do") {
		t.Errorf("got %v", err)
	}
	command := realRouter(t)
	f.DurationS, f.Expect = 3, scenario.Expect{}
	killed := false
	res, err := Run(t.Context(), f, Options{RouterCommand: command, Dir: t.TempDir(),
		Progress: func(_ load.ProgressReport, fl *Fleet) {
			if !killed {
				killed = true
				_ = fl.allRouters()[0].newest().cmd.Process.Kill() // not through the lab, which would expect the exit
			}
		}})
	if err != nil || !slices.ContainsFunc(res.Failures,
		func(s string) bool { return strings.Contains(s, "router r0 ended by itself") }) {
		t.Errorf("%v, %v", err, res.Failures)
	}
	if left := remainingProcesses(t, command[0]); len(left) > 0 {
		t.Errorf("left over: %v", left)
	}
}
