package fleet

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/lab/fakes"
)

// observerFaults are the faults of a run. Each one waits for its expected effect.
var observerFaults = []struct {
	name string
	play func(*observerRun)
}{
	{"an observer is killed and restarted without state", (*observerRun).killObserver},
	{"an observer is paused and resumed with its old state", (*observerRun).stopObserver},
	{"an observer is cut off from the coordinators", (*observerRun).disconnectObserver},
	{"a region is cut off, and the changes that it misses are compacted", (*observerRun).disconnectRegion},
	{"the leader is killed during a batch of changes", (*observerRun).killLeader},
	{"all coordinators are paused", (*observerRun).stopCoordinators},
	{"a router is slow to apply a state, and a false acknowledgement is sent", (*observerRun).delayApplyAndForgeAck},
}

// Runs three seeds of all faults, each in its own order: over any sequence of observers each router
// must get a prefix of the agreed order of changes, and at the end all routers must have the same
// state.
func TestRoutersApplyChangesInTheAgreedOrder(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := startObserverRun(t, seed, coordinatorOptions(t, fmt.Sprint("DOCKHINGE_MAX_HISTORY=", maxHistory)))
			o.change(5)
			o.awaitRouters("at the start", o.routers)
			for _, i := range o.rng.Perm(len(observerFaults)) {
				began := time.Now()
				observerFaults[i].play(o)
				played := time.Since(began)
				o.change(2)
				o.awaitRouters("after it: "+observerFaults[i].name, o.routers)
				t.Logf("%s: %.1f s, and all agreed after %.1f s", observerFaults[i].name,
					played.Seconds(), (time.Since(began) - played).Seconds())
			}
			o.awaitCounted()
			deliveries, snapshots := o.checkHistories()
			t.Logf("%d changes, %d deliveries, %d snapshots", len(o.agreed), deliveries, snapshots)
			if snapshots == 0 {
				t.Error("no router ever got a snapshot: compaction was not tested")
			}
		})
	}
}

// drawObserver draws an observer.
func (o *observerRun) drawObserver() *observerProcess {
	return o.observers[o.rng.IntN(len(o.observers))]
}

// killObserver kills an observer, so that the other one must serve all routers, and restarts some
// routers meanwhile.
func (o *observerRun) killObserver() {
	observer := o.drawObserver()
	observer.kill()
	o.change(4)
	for _, i := range o.rng.Perm(len(o.routers))[:4] {
		o.routers[i].stop()
		o.routers[i].start()
	}
	o.awaitRouters("by the other observer", o.routers)
	o.coordinators.restart(observer.restartableProcess)
}

// stopObserver pauses an observer, whose routers must notice that it is silent, and resumes it
// while it is behind.
func (o *observerRun) stopObserver() {
	observer := o.drawObserver()
	observer.signal(syscall.SIGSTOP)
	defer observer.signal(syscall.SIGCONT)
	o.change(4)
	o.awaitRouters("by the other observer", o.routers)
}

// disconnectObserver cuts an observer off from the coordinators, then the routers off from the
// other observer: the first one must report the age of its state and turn away routers with
// newer state.
func (o *observerRun) disconnectObserver() {
	i := o.rng.IntN(len(o.observers))
	stale, other := o.observers[i], o.observers[1-i]
	setRelays(stale.upstream, fakes.NetworkConditions{Cut: true})
	defer setRelays(stale.upstream, fakes.NetworkConditions{})
	before, err := stale.status(o.t.Context())
	if err != nil {
		o.t.Fatal(err)
	}
	o.change(4)
	newest := o.newest()
	o.await("a router with newer state", func() error {
		for _, router := range o.routers {
			if _, inForce := router.current().Revisions(); inForce == newest {
				return nil
			}
		}
		return errNotYet // if all routers watch the stale observer, they must notice that first
	})
	setRelays(other.regionRelays, fakes.NetworkConditions{Cut: true})
	o.await("its age, and a router that is ahead of it", func() error {
		status, err := stale.status(o.t.Context())
		if err == nil && (status.AgeMillis < 2000 || status.RejectedAhead == before.RejectedAhead) {
			err = fmt.Errorf("it reports an age of %d ms and turned %d routers away",
				status.AgeMillis, status.RejectedAhead-before.RejectedAhead)
		}
		return err
	})
	setRelays(other.regionRelays, fakes.NetworkConditions{})
}

// disconnectRegion cuts a region off for more changes than the log keeps. All its routers
// reconnect at the same time.
func (o *observerRun) disconnectRegion() {
	var relays []*fakes.Relay
	for _, observer := range o.observers {
		relays = append(relays, observer.regionRelays[0])
	}
	setRelays(relays, fakes.NetworkConditions{Cut: true})
	defer setRelays(relays, fakes.NetworkConditions{})
	o.change(2 * maxHistory)
	o.awaitRouters("in the other region", o.region(1))
}

// killLeader kills the leader while changes are in progress; the others must go on.
func (o *observerRun) killLeader() {
	leader := awaitSettledGroup(o.t, o.coordinators)
	var wg sync.WaitGroup
	wg.Go(leader.kill)
	o.change(8)
	wg.Wait()
	o.awaitRouters("by the other coordinators", o.routers)
	o.coordinators.restart(leader.restartableProcess)
	awaitSettledGroup(o.t, o.coordinators)
}

// stopCoordinators pauses all coordinators: the observers must keep serving their state, also to a
// router that starts then, and must report its age.
func (o *observerRun) stopCoordinators() {
	for _, c := range o.coordinators.nodes {
		c.signal(syscall.SIGSTOP)
	}
	router := o.routers[o.rng.IntN(len(o.routers))]
	router.stop()
	router.start()
	o.awaitRouters("without coordinators", []*watchingRouter{router})
	for _, observer := range o.observers {
		o.await("its age", func() error {
			status, err := observer.status(o.t.Context())
			if err == nil && status.AgeMillis < 2000 {
				err = fmt.Errorf("it reports an age of %d ms", status.AgeMillis)
			}
			return err
		})
	}
	for _, c := range o.coordinators.nodes {
		c.signal(syscall.SIGCONT)
	}
	awaitSettledGroup(o.t, o.coordinators)
}

// delayApplyAndForgeAck makes one router slow to apply a state: it must be counted as lagging
// even after its next heartbeat. An acknowledgement of a revision that does not exist must be
// rejected.
func (o *observerRun) delayApplyAndForgeAck() {
	router := o.routers[0] // it watches all documents
	gate := make(chan struct{})
	router.setGate(gate)
	o.change(1)
	newest := o.newest()
	o.awaitRouters("the others", o.routers[1:])
	before, _ := router.current().Age()
	o.await("a heartbeat of the slow router", func() error {
		if held, _ := router.current().Revisions(); held != newest {
			return fmt.Errorf("it holds %d", held)
		}
		if age, ok := router.current().Age(); !ok || age >= before {
			before = age
			return errNotYet
		}
		return nil
	})
	for _, observer := range o.observers {
		status, err := observer.status(o.t.Context())
		if err != nil {
			o.t.Fatal(err)
		}
		if status.Acknowledged == status.Watchers && router.current().Observer() == observer.regionRelays[0].Addr() {
			o.t.Errorf("%s has revision %d acknowledged by all, and %s does not have it in force",
				observer.name, newest, router.name)
		}
	}
	forged := protocol.Acknowledgement{Watcher: router.name, Revision: newest + 1000}
	for _, observer := range o.observers {
		if err := client.Call(o.t.Context(), http.MethodPost, observer.api, protocol.AcknowledgePath,
			forged, nil); err == nil {
			o.t.Errorf("%s accepted the acknowledgement of revision %d, which does not exist",
				observer.name, forged.Revision)
		}
	}
	router.setGate(nil)
	close(gate)
}

func setRelays(relays []*fakes.Relay, net fakes.NetworkConditions) {
	for _, relay := range relays {
		relay.SetConditions(net)
	}
}

// awaitCounted waits until the observers count every router once, with the newest revision in
// force.
func (o *observerRun) awaitCounted() {
	o.t.Helper()
	newest := o.newest()
	o.await("the observers' count", func() error {
		watchers, acknowledged := 0, 0
		for _, observer := range o.observers {
			status, err := observer.status(o.t.Context())
			if err != nil {
				return err
			}
			if status.Revision != newest {
				return fmt.Errorf("%s is at revision %d of %d", observer.name, status.Revision, newest)
			}
			watchers, acknowledged = watchers+status.Watchers, acknowledged+status.Acknowledged
		}
		if watchers != len(o.routers) || acknowledged != len(o.routers) {
			return fmt.Errorf("%d of %d routers are counted, %d of them with the newest revision",
				watchers, len(o.routers), acknowledged)
		}
		return nil
	})
}

// The operators' tool must put, list, show, roll back and delete documents, and report from the
// observers at how many routers a revision is in force.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	o := startObserverRun(t, 1, coordinatorOptions(t))
	file := filepath.Join(t.TempDir(), "quota.toml")
	put := func(text string, words ...string) string {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return runToolForOutput(t, o.coordinators, append([]string{"config", "put", "a/quota.toml", file}, words...)...)
	}
	put("x = 1\n")
	if out := put("x = 2\n", "--expect", "1"); !strings.Contains(out, "revision 2") {
		t.Errorf("%s", out)
	}
	for want, words := range map[string][]string{
		"--expect 2": {"config", "put", "a/quota.toml", file, "--expect", "1"},
		"isn't kept": {"config", "back", "a/quota.toml", "7"},
		"is none":    {"config", "get", "a/other"},
	} {
		out, err := toolCommand(o.coordinators, words...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: %v, %s, want %q", words, err, out, want)
		}
	}
	if out := runToolForOutput(t, o.coordinators, "config", "back", "a/quota.toml",
		"1"); !strings.Contains(out, "revision 3") {
		t.Errorf("%s", out)
	}
	if out := runToolForOutput(t, o.coordinators, "config", "get", "a/quota.toml"); !strings.Contains(out, "x = 1") {
		t.Errorf("%s", out)
	}
	if out := runToolForOutput(t, o.coordinators, "config", "history", "a/quota.toml"); strings.Count(out, "\n") != 4 {
		t.Errorf("%s", out)
	}
	if out := runToolForOutput(t, o.coordinators, "config", "list", "a/"); !strings.Contains(out, "a/quota.toml") {
		t.Errorf("%s", out)
	}
	var observers []string
	for _, observer := range o.observers {
		observers = append(observers, observer.name+"="+observer.api)
	}
	want := fmt.Sprintf("revision 3 is in force at %d of %d", routerCount, routerCount)
	o.await("the status", func() error {
		out := runToolForOutput(t, o.coordinators, "config", "status", "--observers", strings.Join(observers, ","))
		if !strings.Contains(out, want) {
			return fmt.Errorf("%s", out)
		}
		return nil
	})
	if out := runToolForOutput(t, o.coordinators, "config", "delete", "a/quota.toml", "--expect",
		"3"); !strings.Contains(out, "revision 4") {
		t.Errorf("%s", out)
	}
}
