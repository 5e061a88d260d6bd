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

// built are the programs of the agreement with faults, once for all tests; TestMain removes them.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "dockhinge-agree-test-")
	if err != nil {
		return "", err
	}
	builtIn = dir
	for into, tags := range map[string]string{"": "faults" + plantable, "next/": "faults,nextversion" + plantable} {
		if out, err := exec.Command("go", "build", "-tags", tags, "-o", dir+"/"+into, "../../cmd/dockhinge-coord", "../../cmd/dockhinge-lab").CombinedOutput(); err != nil {
			return "", fmt.Errorf("%w\n%s", err, out)
		}
	}
	return dir, nil
})

var builtIn string

// plantable is what a test's build with the tag mutants adds to the tags of the programs that it starts.
var plantable = ""

func agreeOptions(t *testing.T, env ...string) CoordinatorOptions {
	t.Helper()
	dir, err := built()
	if err != nil {
		t.Fatal(err)
	}
	return CoordinatorOptions{CoordinatorCommand: []string{dir + "/dockhinge-coord"}, LabCommand: []string{dir + "/dockhinge-lab"}, Dir: t.TempDir(), Env: env, CheckTimeout: time.Minute}
}

// Three seeds of all faults with real processes: two holders never act at once, and what nobody holds can be had again.
func TestLeaseNeverHasTwoHoldersDespiteFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f, err := scenario.LoadAgreement("leases")
			if err != nil {
				t.Fatal(err)
			}
			f.Seed, f.DurationS, f.HealS = seed, 10, 60 // a slow machine is no verdict
			res, err := RunLeaseFaults(t.Context(), f, agreeOptions(t))
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

// Holders that are stopped between their check and their act: the resource refuses what comes after another's.
func TestResourceRefusesActsOfStaleHolders(t *testing.T) {
	t.Parallel()
	f, err := scenario.LoadAgreement("leases")
	if err != nil {
		t.Fatal(err)
	}
	f.Faults = []scenario.FaultKind{{What: "stop-holder", Weight: 1, ForS: [2]float64{3, 5}}, {What: "late-acts", Weight: 2, ForS: [2]float64{3, 5}}}
	f.DurationS, f.TTLS, f.EveryS, f.HealS, f.Seed = 10, 1, 0.2, 60, 5
	res, err := RunLeaseFaults(t.Context(), f, agreeOptions(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Failures) > 0 || res.Refused == 0 {
		t.Errorf("%d acts, %d refused: %s", res.Acts, res.Refused, strings.Join(res.Failures, "\n"))
	}
}

// quiet is a group of coordinators without faults, and a live client of it.
func quiet(t *testing.T, coordinators int, o CoordinatorOptions) (*coordinatorGroup, *client.Client) {
	t.Helper()
	a, err := startCoordinatorGroup(t.Context(), coordinators, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.close)
	return a, live(t, a, "test")
}

func live(t *testing.T, a *coordinatorGroup, name string) *client.Client {
	t.Helper()
	c, end := liveClient(context.Background(), a.addresses(), name, 20*time.Second)
	t.Cleanup(end)
	return c
}

// settled waits until one leads and all others follow it with all that it has.
func settled(t *testing.T, a *coordinatorGroup) *coordinator {
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
		for _, c := range a.coords {
			if s, err := c.status(t.Context()); err != nil || s.AppliedIndex+20 < top.AppliedIndex || s.Leader != l.name {
				return errors.Join(fmt.Errorf("%s is behind", c.name), err)
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return l
}

// A leader that is stopped, replaced and resumed neither answers for the state that it had nor takes a lease away.
func TestResumedLeaderServesNoStaleReads(t *testing.T) {
	t.Parallel()
	a, c := quiet(t, 3, agreeOptions(t))
	old := settled(t, a)
	first, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	old.signal(syscall.SIGSTOP)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		l, err := a.leader(t.Context())
		if err == nil && l == old {
			return errors.New("still the old one")
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	if err := first.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	other := live(t, a, "other")
	second, err := other.Acquire(t.Context(), "x", "", 20*time.Second)
	if err != nil || second.Token <= first.Token {
		t.Fatalf("%+v, %v", second, err)
	}
	old.signal(syscall.SIGCONT)
	alone := client.New(client.Options{Coordinators: map[string]string{old.name: old.api}, ClientName: "reader", TTL: 20 * time.Second})
	for range 20 { // through the old one alone: the truth or nothing
		if rows, err := alone.ListLeases(t.Context(), "x"); err == nil && (len(rows) != 1 || rows[0].Token != second.Token) {
			t.Fatalf("the old leader tells %+v", rows)
		}
	}
	if second.Remaining() <= 0 {
		t.Error("the lease was lost")
	}
}

// A wiped disk doesn't come back as the old voter, and neither does yesterday's; each is told what to do.
func TestCoordinatorWithOldOrWipedDiskIsNoVoter(t *testing.T) {
	t.Parallel()
	a, c := quiet(t, 3, agreeOptions(t, "DOCKHINGE_EPOCH_EVERY=100ms"))
	lead := settled(t, a)
	var victim *coordinator
	for _, x := range a.coords {
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
	a.restart(victim.proc)
	settled(t, a)
	for range 10 { // what yesterday's disk doesn't know
		l, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
		if err == nil {
			err = l.Release(t.Context())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := retryUntil(t.Context(), time.Minute, func() error { // told to the others
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
	a.restart(victim.proc)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		if up, _ := victim.running(); up {
			return errors.New("it runs on with yesterday's disk")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if said := victim.logTail(3); !strings.Contains(said, "put back from an old copy") {
		t.Errorf("it said:\n%s", said)
	}
	if err := os.RemoveAll(victim.data); err != nil {
		t.Fatal(err)
	}
	a.restart(victim.proc)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		s, err := victim.status(t.Context())
		if err == nil && (s.State != "Waiting" || s.Identity == before.Identity) {
			return fmt.Errorf("wiped, it is %s as %s", s.State, s.Identity)
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	tool(t, a, "members", "remove", victim.name)
	tool(t, a, "members", "add", victim.name+"="+victim.api)
	settled(t, a)
}

// tool runs the operators' tool, which must not fail, and returns what it printed.
func tool(t *testing.T, a *coordinatorGroup, args ...string) string {
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

// A rolling upgrade of the coordinators to the next version, one after the other, loses no lease; a program that is too old is
// refused by words once the new version is in force.
func TestRollingUpgradeKeepsLeasesAndRejectsOldProgram(t *testing.T) {
	t.Parallel()
	o := agreeOptions(t)
	a, c := quiet(t, 3, o)
	settled(t, a)
	l, err := c.Acquire(t.Context(), "kept", "", 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	dir, _ := built() // agreeOptions has seen to it
	for i, x := range a.coords {
		if i == 1 { // one is old still
			if out := tool(t, a, "members", "upgrade"); !strings.Contains(out, fmt.Sprintf("version %d", coord.Version)) {
				t.Errorf("%s", out)
			}
		}
		if err := x.end(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		x.command[0] = dir + "/next/dockhinge-coord"
		a.restart(x.proc)
		settled(t, a)
	}
	if out := tool(t, a, "members", "upgrade"); !strings.Contains(out, fmt.Sprintf("version %d", coord.Version+1)) {
		t.Errorf("%s", out)
	}
	rows, err := c.ListLeases(t.Context(), "kept")
	if err != nil || len(rows) != 1 || rows[0].Token != l.Token || l.Remaining() <= 0 {
		t.Errorf("%+v, %v: token %d was held, %v left", rows, err, l.Token, l.Remaining())
	}
	back := a.coords[0]
	if err := back.end(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	back.command[0] = dir + "/dockhinge-coord"
	a.restart(back.proc)
	if err := retryUntil(t.Context(), time.Minute, func() error {
		if up, _ := back.running(); up {
			return errors.New("the old program runs on")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if said := back.logTail(3); !strings.Contains(said, "too old") {
		t.Errorf("it said:\n%s", said)
	}
}

// A command under a lease is ended before the lease's time is out, also when it won't, once no coordinator answers any more.
func TestCommandIsKilledBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	a, _ := quiet(t, 3, agreeOptions(t))
	settled(t, a)
	marks := filepath.Join(t.TempDir(), "marks")
	cmd := toolCommand(a, "lease", "take", "job", "--kind", "harmless", "--ttl", "4s", "--margin", "2s", "--", "sh", "-c",
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
	for _, x := range a.coords {
		x.signal(syscall.SIGSTOP)
	}
	if err := retryUntil(t.Context(), time.Minute, func() error {
		if syscall.Kill(pid, 0) == nil {
			return errors.New("the command runs on")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	for _, x := range a.coords { // nobody can have had the lease meanwhile: none of them ran
		x.signal(syscall.SIGCONT)
	}
	if err := <-done; err == nil {
		t.Error("the tool didn't say that the command was ended")
	}
	out, err := toolCommand(a, "lease", "take", "job", "--", "true").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "none of checked, harmless") {
		t.Errorf("a command of no kind was run: %s", out)
	}
	if out := tool(t, a, "lease", "take", "job", "--kind", "checked", "--", "sh", "-c", "echo token $DOCKHINGE_TOKEN"); !strings.Contains(out, "token ") {
		t.Errorf("%s", out)
	}
}

// A client whose requests arrive and whose answers don't stops believing in its lease in time, though the coordinators keep it.
func TestClientDropsLeaseWhenResponsesAreLost(t *testing.T) {
	t.Parallel()
	a, c := quiet(t, 3, agreeOptions(t))
	settled(t, a)
	addrs := map[string]string{}
	var relays []*fakes.Relay
	for _, x := range a.coords {
		r, err := fakes.NewRelay(func() string { return x.api })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		relays, addrs[x.name] = append(relays, r), r.Addr()
	}
	deaf, end := liveClient(context.Background(), addrs, "deaf", 3*time.Second)
	t.Cleanup(end)
	l, err := deaf.Acquire(t.Context(), "x", "", 2*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range relays {
		r.Set(fakes.Net{DropBack: true})
	}
	// The referee's own client takes it, and at that moment the deaf one must know that it has lost it.
	if err := c.RunWithLease(t.Context(), "x", "", 10*time.Second, time.Second, func(context.Context, *client.Lease) error {
		if left := l.Remaining(); left > 0 {
			return fmt.Errorf("two hold it: the deaf one has %v left", left)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
}

// Routers that probe for one another, whose coordinators are all killed and come back: no rule is broken, and all goes on.
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
	o := agreeOptions(t)
	res, err := Run(t.Context(), f, Options{RouterCommand: command, CoordinatorCommand: o.CoordinatorCommand, Dir: o.Dir})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Failures) > 0 {
		t.Errorf("%s", strings.Join(res.Failures, "\n"))
	}
	if res.Probes == 0 {
		t.Error("nobody probed")
	}
}

// Two coordinators of five that die at a step of a snapshot: nothing that was agreed on is lost, and they come back with their disks.
func TestCoordinatorsRecoverWhenKilledAtEachSnapshotStep(t *testing.T) {
	for _, step := range []string{"snapshot-begun", "snapshot-taken", "snapshot-half-written", "snapshot-written", "snapshot-named", "restore-begun"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			a, err := startCoordinatorGroupWithSnapshots(t.Context(), 5, 16, agreeOptions(t))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(a.close)
			c := live(t, a, "test")
			settled(t, a)
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
			var dying []*coordinator
			for _, x := range a.coords[:2] {
				if err := retryUntil(t.Context(), time.Minute, func() error { // a restore needs one to begin from
					if made, err := filepath.Glob(filepath.Join(x.data, "snapshots", "*", "state.bin")); len(made) == 0 {
						return errors.Join(errors.New("no snapshot yet"), err)
					}
					return nil
				}); err != nil {
					t.Fatal(err)
				}
				x.kill()
				x.env = []string{"DOCKHINGE_KILL_AT=" + step}
				dying = append(dying, x)
				a.restart(x.proc)
			}
			for _, x := range dying {
				if err := retryUntil(t.Context(), time.Minute, func() error {
					if up, _ := x.running(); up {
						l, err := c.Acquire(t.Context(), "x", "", 20*time.Second)
						if err == nil {
							err = l.Release(t.Context())
						}
						return errors.Join(errors.New("it lives"), err)
					}
					return nil
				}); err != nil {
					t.Fatal(err)
				}
			}
			for _, x := range dying {
				x.env = nil
				a.restart(x.proc)
			}
			settled(t, a)
			rows, err := c.ListLeases(t.Context(), "kept")
			if err != nil || len(rows) != 1 || rows[0].Token != kept.Token || kept.Remaining() <= 0 {
				t.Errorf("%+v, %v: token %d was held, %v left", rows, err, kept.Token, kept.Remaining())
			}
		})
	}
}
