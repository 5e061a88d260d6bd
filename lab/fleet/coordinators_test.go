package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/scenario"
)

// buildPrograms builds the lab and the coordinator with faults, once for all tests, and returns
// their directory. TestMain removes it.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "dockhinge-agree-test-")
	if err != nil {
		return "", err
	}
	builtDir = dir
	for into, tags := range map[string]string{"": "faults" + extraBuildTags,
		"next/": "faults,nextversion" + extraBuildTags} {
		if out, err := exec.Command("go", "build", "-tags", tags, "-o", dir+"/"+into,
			"../../cmd/dockhinge-coord", "../../cmd/dockhinge-lab").CombinedOutput(); err != nil {
			return "", fmt.Errorf("%w\n%s", err, out)
		}
	}
	return dir, nil
})

var builtDir string

// extraBuildTags are added to the build tags of the programs that the tests start. A build of
// the tests with the tag mutants sets them.
var extraBuildTags = ""

func coordinatorOptions(t *testing.T, env ...string) CoordinatorOptions {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	return CoordinatorOptions{CoordinatorCommand: []string{dir + "/dockhinge-coord"},
		LabCommand: []string{dir + "/dockhinge-lab"}, Dir: t.TempDir(), Env: env, CheckTimeout: time.Minute}
}

// Runs three seeds of all faults with real processes: a lease must never have two holders at a
// time, and each lease must be available again afterwards.
func TestLeaseNeverHasTwoHoldersDespiteFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f, err := scenario.LoadAgreement("leases")
			if err != nil {
				t.Fatal(err)
			}
			f.Seed, f.DurationS, f.HealS = seed, 10, 60 // a slow machine must not fail the test
			res, err := RunLeaseFaults(t.Context(), f, coordinatorOptions(t))
			if err != nil {
				t.Fatal(err)
			}
			if len(res.Failures) > 0 {
				t.Errorf("%s", strings.Join(res.Failures, "\n"))
			}
			t.Logf("%d faults, %d grants, %d claims, %d acts", res.Faults, res.Grants, res.Claims, res.Acts)
		})
	}
}

// Pauses holders between their check of the lease and their act, and delays acts: the resource must
// refuse an act that comes after one with a higher token.
func TestResourceRefusesActsOfStaleHolders(t *testing.T) {
	t.Parallel()
	f, err := scenario.LoadAgreement("leases")
	if err != nil {
		t.Fatal(err)
	}
	f.Faults = []scenario.FaultKind{{What: "stop-holder", Weight: 1, ForS: [2]float64{3, 5}},
		{What: "late-acts", Weight: 2, ForS: [2]float64{3, 5}}}
	f.DurationS, f.TTLS, f.EveryS, f.HealS, f.Seed = 10, 1, 0.2, 60, 5
	res, err := RunLeaseFaults(t.Context(), f, coordinatorOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Failures) > 0 || res.Refused == 0 {
		t.Errorf("%d acts, %d refused: %s", res.Acts, res.Refused, strings.Join(res.Failures, "\n"))
	}
}

// startGroupWithClient starts a group of coordinators without faults and a client of it.
func startGroupWithClient(t *testing.T, coordinators int, o CoordinatorOptions) (*coordinatorGroup, *client.Client) {
	t.Helper()
	a, err := startCoordinatorGroup(t.Context(), coordinators, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.close)
	return a, startClient(t, a, "test")
}

func startClient(t *testing.T, a *coordinatorGroup, name string) *client.Client {
	t.Helper()
	c, end := liveClient(context.Background(), a.addresses(), name, 20*time.Second)
	t.Cleanup(end)
	return c
}

// awaitSettledGroup waits until all coordinators follow one leader and have nearly all its
// entries. It returns the leader.
func awaitSettledGroup(t *testing.T, a *coordinatorGroup) *coordinator {
	t.Helper()
	var l *coordinator
	if err := retryUntil(t.Context(), time.Minute, func() (err error) {
		if l, err = a.leader(t.Context()); err != nil {
			return err
		}
		top, err := l.status(t.Context())
		if err != nil {
			return err
		}
		for _, c := range a.nodes {
			if s, err := c.status(t.Context()); err != nil || s.AppliedIndex+20 < top.AppliedIndex ||
				s.Leader != l.name {
				return errors.Join(fmt.Errorf("%s is behind", c.name), err)
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return l
}

// Pauses the leader until another one leads, and resumes it: it must not serve its old state or
// revoke a lease.
func TestResumedLeaderServesNoStaleReads(t *testing.T) {
	t.Parallel()
	a, c := startGroupWithClient(t, 3, coordinatorOptions(t))
	old := awaitSettledGroup(t, a)
	first, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	old.signal(syscall.SIGSTOP)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		l, err := a.leader(t.Context())
		if err == nil && l == old {
			return errors.New("the old leader still leads")
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	if err := first.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	other := startClient(t, a, "other")
	second, err := other.Acquire(t.Context(), "x", "", 20*time.Second)
	if err != nil || second.Token <= first.Token {
		t.Fatalf("%+v, %v", second, err)
	}
	old.signal(syscall.SIGCONT)
	alone := client.New(client.Options{Coordinators: map[string]string{old.name: old.api},
		ClientName: "reader", TTL: 20 * time.Second})
	for range 20 { // through the old leader only: it may fail, but not return old state
		if rows, err := alone.ListLeases(t.Context(), "x"); err == nil &&
			(len(rows) != 1 || rows[0].Token != second.Token) {
			t.Fatalf("the old leader returns %+v", rows)
		}
	}
	if second.Remaining() <= 0 {
		t.Error("the lease was lost")
	}
}

// A coordinator whose disk was restored from an old copy or wiped has forgotten its votes, and must
// not act as the old voter. After a restore it must exit with an error, after a wipe wait to be
// added.
func TestCoordinatorWithOldOrWipedDiskIsNoVoter(t *testing.T) {
	t.Parallel()
	a, c := startGroupWithClient(t, 3, coordinatorOptions(t, "DOCKHINGE_EPOCH_EVERY=100ms"))
	lead := awaitSettledGroup(t, a)
	var victim *coordinator
	for _, x := range a.nodes {
		if x != lead {
			victim = x
		}
	}
	before, err := victim.status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "copy")
	victim.kill()
	if err := os.CopyFS(copied, os.DirFS(victim.data)); err != nil {
		t.Fatal(err)
	}
	a.restart(victim.restartableProcess)
	awaitSettledGroup(t, a)
	for range 10 { // changes that the old copy of the disk lacks
		l, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
		if err == nil {
			err = l.Release(t.Context())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := retryUntil(t.Context(), time.Minute, func() error { // the epoch must have reached the others
		if s, err := victim.status(t.Context()); err != nil || s.Epoch < before.Epoch+6 {
			return errors.Join(errors.New("its epoch has not grown yet"), err)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	victim.kill()
	if err := errors.Join(os.RemoveAll(victim.data), os.CopyFS(victim.data, os.DirFS(copied))); err != nil {
		t.Fatal(err)
	}
	a.restart(victim.restartableProcess)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		if up, _ := victim.running(); up {
			return errors.New("it keeps running with the old copy of its disk")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if logged := victim.logTail(3); !strings.Contains(logged, "put back from an old copy") {
		t.Errorf("it logged:\n%s", logged)
	}
	if err := os.RemoveAll(victim.data); err != nil {
		t.Fatal(err)
	}
	a.restart(victim.restartableProcess)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		s, err := victim.status(t.Context())
		if err == nil && (s.State != "Waiting" || s.Identity == before.Identity) {
			return fmt.Errorf("with a wiped disk it is in state %s with identity %s", s.State, s.Identity)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	runToolForOutput(t, a, "members", "remove", victim.name)
	runToolForOutput(t, a, "members", "add", victim.name+"="+victim.api)
	awaitSettledGroup(t, a)
}

// runToolForOutput runs the operators' tool, which must not fail, and returns what it printed.
func runToolForOutput(t *testing.T, a *coordinatorGroup, args ...string) string {
	t.Helper()
	out, err := toolCommand(a, args...).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

func toolCommand(a *coordinatorGroup, args ...string) *exec.Cmd {
	var all []string
	for name, addr := range a.addresses() {
		all = append(all, name+"="+addr)
	}
	cmd := exec.Command(a.options.CoordinatorCommand[0], args...)
	cmd.Env = append(os.Environ(), "DOCKHINGE_COORDINATORS="+strings.Join(all, ","))
	return cmd
}

// Upgrades the coordinators to the next version one after the other: no lease may be lost, and a
// program that is too old must exit with an error once the new version is in force.
func TestRollingUpgradeKeepsLeasesAndRejectsOldProgram(t *testing.T) {
	t.Parallel()
	o := coordinatorOptions(t)
	a, c := startGroupWithClient(t, 3, o)
	awaitSettledGroup(t, a)
	l, err := c.Acquire(t.Context(), "kept", "", 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	dir, _ := buildPrograms() // coordinatorOptions has checked the error
	for i, x := range a.nodes {
		if i == 1 { // some still run the old version
			if out := runToolForOutput(t, a, "members", "upgrade"); !strings.Contains(out,
				fmt.Sprintf("version %d", coord.Version)) {
				t.Errorf("%s", out)
			}
		}
		if err := x.end(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		x.command[0] = dir + "/next/dockhinge-coord"
		a.restart(x.restartableProcess)
		awaitSettledGroup(t, a)
	}
	if out := runToolForOutput(t, a, "members", "upgrade"); !strings.Contains(out,
		fmt.Sprintf("version %d", coord.Version+1)) {
		t.Errorf("%s", out)
	}
	rows, err := c.ListLeases(t.Context(), "kept")
	if err != nil || len(rows) != 1 || rows[0].Token != l.Token || l.Remaining() <= 0 {
		t.Errorf("%+v, %v: token %d was held, %v left", rows, err, l.Token, l.Remaining())
	}
	back := a.nodes[0]
	if err := back.end(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	back.command[0] = dir + "/dockhinge-coord"
	a.restart(back.restartableProcess)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		if up, _ := back.running(); up {
			return errors.New("the old program keeps running")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if logged := back.logTail(3); !strings.Contains(logged, "too old") {
		t.Errorf("it logged:\n%s", logged)
	}
}

// A command that ignores SIGTERM must be killed before its lease expires when no coordinator
// answers.
func TestCommandIsKilledBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	a, _ := startGroupWithClient(t, 3, coordinatorOptions(t))
	awaitSettledGroup(t, a)
	marks := filepath.Join(t.TempDir(), "marks")
	cmd := toolCommand(a, "lease", "take", "job", "--kind", "harmless", "--ttl", "4s",
		"--margin", "2s", "--", "sh", "-c",
		"trap '' TERM; echo $DOCKHINGE_TOKEN $$ > "+marks+"; while :; do sleep 0.05; done")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	var token, pid int
	if err := retryUntil(t.Context(), time.Minute, func() error {
		text, err := os.ReadFile(marks)
		if err == nil {
			_, err = fmt.Sscan(string(text), &token, &pid)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	for _, x := range a.nodes {
		x.signal(syscall.SIGSTOP)
	}
	if err := retryUntil(t.Context(), time.Minute, func() error {
		if syscall.Kill(pid, 0) == nil {
			return errors.New("the command keeps running")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	for _, x := range a.nodes { // the lease can't have been granted again while all were paused
		x.signal(syscall.SIGCONT)
	}
	if err := <-done; err == nil {
		t.Error("the tool reported success for a killed command")
	}
	out, err := toolCommand(a, "lease", "take", "job", "--", "true").CombinedOutput()
	if err == nil || !strings.Contains(string(out),
		`--kind: "" is not one of checked, harmless; other commands must not be run under a lease`) {
		t.Errorf("a command without --kind was run: %s", out)
	}
	if out := runToolForOutput(t, a, "lease", "take", "job", "--kind", "checked", "--",
		"sh", "-c", "echo token $DOCKHINGE_TOKEN"); !strings.Contains(out, "token ") {
		t.Errorf("%s", out)
	}
}

// A client whose requests arrive but whose answers are lost must treat its lease as lost in time,
// even though the coordinators renew it.
func TestClientDropsLeaseWhenResponsesAreLost(t *testing.T) {
	t.Parallel()
	a, c := startGroupWithClient(t, 3, coordinatorOptions(t))
	awaitSettledGroup(t, a)
	addrs := map[string]string{}
	var relays []*fakes.Relay
	for _, x := range a.nodes {
		r, err := fakes.NewRelay(func() string { return x.api })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		relays, addrs[x.name] = append(relays, r), r.Addr()
	}
	cutOff, end := liveClient(context.Background(), addrs, "cut-off", 3*time.Second)
	t.Cleanup(end)
	l, err := cutOff.Acquire(t.Context(), "x", "", 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range relays {
		r.SetConditions(fakes.NetworkConditions{HoldFromTarget: true})
	}
	// When the other client acquires the lease, the client without answers must treat it as lost.
	if err := c.RunWithLease(t.Context(), "x", "", 10*time.Second, time.Second,
		func(context.Context, *client.Lease) error {
			if left := l.Remaining(); left > 0 {
				return fmt.Errorf("two clients hold the lease: the client without answers has %v left", left)
			}
			return nil
		}); err != nil {
		t.Error(err)
	}
}

// Kills and restarts all coordinators of routers that share their probes: no rule may be broken,
// and the routers must keep serving.
func TestRoutersKeepServingWithoutCoordinators(t *testing.T) {
	t.Parallel()
	command := realRouter(t)
	f, err := scenario.Load("probes")
	if err != nil {
		t.Fatal(err)
	}
	f.Fleet.Routers, f.DurationS, f.Load.Rate, f.Load.LateShare = 6, 9, 120, 1
	f.Faults[0].AtS, f.Faults[0].ForS = 4, 3
	f.Expect = scenario.Expect{Served: 100}
	o := coordinatorOptions(t)
	res, err := Run(t.Context(), f, Options{RouterCommand: command, CoordinatorCommand: o.CoordinatorCommand,
		Dir: o.Dir})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Failures) > 0 {
		t.Errorf("%s", strings.Join(res.Failures, "\n"))
	}
	if res.Probes == 0 {
		t.Error("no router probed")
	}
}

// Kills two coordinators of five at a step of a snapshot: no committed entry may be lost, and both
// must restart with their disks.
func TestCoordinatorsRecoverWhenKilledAtEachSnapshotStep(t *testing.T) {
	for _, step := range []string{"snapshot-begun", "snapshot-taken", "snapshot-half-written",
		"snapshot-written", "snapshot-named", "restore-begun"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			a, err := startCoordinatorGroupWithSnapshots(t.Context(), 5, 16, coordinatorOptions(t))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(a.close)
			c := startClient(t, a, "test")
			awaitSettledGroup(t, a)
			kept, err := c.Acquire(t.Context(), "kept", "", 20*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			work := func() {
				for range 30 { // more than a snapshot's entries
					l, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
					if err == nil {
						err = l.Release(t.Context())
					}
					if err != nil {
						t.Fatal(err)
					}
				}
			}
			work()
			var victims []*coordinator
			for _, x := range a.nodes[:2] {
				if err := retryUntil(t.Context(), time.Minute, func() error { // a restore needs a snapshot
					if made, err := filepath.Glob(filepath.Join(x.data, "snapshots", "*",
						"state.bin")); len(made) == 0 {
						return errors.Join(errors.New("no snapshot yet"), err)
					}
					return nil
				}); err != nil {
					t.Fatal(err)
				}
				x.kill()
				x.env = []string{"DOCKHINGE_KILL_AT=" + step}
				victims = append(victims, x)
				a.restart(x.restartableProcess)
			}
			for _, x := range victims {
				if err := retryUntil(t.Context(), time.Minute, func() error {
					if up, _ := x.running(); up {
						l, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
						if err == nil {
							err = l.Release(t.Context())
						}
						return errors.Join(errors.New("it keeps running"), err)
					}
					return nil
				}); err != nil {
					t.Fatal(err)
				}
			}
			for _, x := range victims {
				x.env = nil
				a.restart(x.restartableProcess)
			}
			awaitSettledGroup(t, a)
			rows, err := c.ListLeases(t.Context(), "kept")
			if err != nil || len(rows) != 1 || rows[0].Token != kept.Token || kept.Remaining() <= 0 {
				t.Errorf("%+v, %v: token %d was held, %v left", rows, err, kept.Token, kept.Remaining())
			}
		})
	}
}
