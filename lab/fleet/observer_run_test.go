package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	observerclient "dockhinge.example/dockhinge/internal/coord/observer/client"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
)

// Sizes and limits of a run.
const (
	coordinatorCount = 3
	observerCount    = 2
	routerCount      = 24
	regionCount      = 2
	maxHistory       = 16          // changes that coordinators and observers keep; few, so that compaction is frequent
	observerTimeout  = time.Minute // long, so that a slow machine does not fail the test
)

// watchedPrefixes are what routers watch, in turn.
var watchedPrefixes = []string{"", "a/", "b/"}

// observerProcess is an observer with the relays of its connections.
type observerProcess struct {
	*restartableProcess
	api          string
	upstream     []*fakes.Relay // to each coordinator
	regionRelays []*fakes.Relay // from the routers of each region
}

// watchingRouter is a router: a client of the observers, and the updates that it got between each
// of its restarts.
type watchingRouter struct {
	name      string
	prefix    string
	observers []string
	gate      chan struct{} // not nil: Apply waits until it is closed

	mu        sync.Mutex
	histories []*checker.WatchHistory
	client    *observerclient.Client
	end       func()
}

// observerRun is a run of coordinators, observers and routers.
type observerRun struct {
	t            *testing.T
	coordinators *coordinatorGroup
	puts         *client.Client
	rng          *rand.Rand
	observers    []*observerProcess
	routers      []*watchingRouter

	mu        sync.Mutex
	agreed    []checker.AgreedChange
	revisions map[string]uint64 // of documents that are there
}

// startObserverRun starts coordinators, observers and routers, and stops them at the end of the
// test.
func startObserverRun(t *testing.T, seed uint64, options CoordinatorOptions) *observerRun {
	t.Helper()
	a, puts := startGroupWithClient(t, coordinatorCount, options)
	o := &observerRun{t: t, coordinators: a, puts: puts, rng: rand.New(rand.NewPCG(seed, 34)),
		revisions: map[string]uint64{}}
	awaitSettledGroup(t, a)
	runToolForOutput(t, a, "members", "upgrade")
	for i := range observerCount {
		o.observers = append(o.observers, o.startObserver(fmt.Sprint("o", i)))
	}
	for i := range routerCount {
		o.startRouter(i)
	}
	t.Cleanup(func() {
		for _, router := range o.routers {
			router.stop()
		}
		for _, observer := range o.observers {
			observer.kill()
		}
	})
	return o
}

func (o *observerRun) relay(to string) *fakes.Relay {
	o.t.Helper()
	relay, err := o.coordinators.relay(to)
	if err != nil {
		o.t.Fatal(err)
	}
	return relay
}

func (o *observerRun) startObserver(name string) *observerProcess {
	o.t.Helper()
	api, err := FreeAddr()
	if err != nil {
		o.t.Fatal(err)
	}
	dir := o.coordinators.options.Dir
	observer := &observerProcess{api: api,
		restartableProcess: &restartableProcess{name: name, dir: dir, env: o.coordinators.options.Env}}
	var text strings.Builder
	fmt.Fprintf(&text, "version = 1\nname = %q\napi = %q\n[coordinators]\n", name, api)
	for _, c := range o.coordinators.nodes {
		relay := o.relay(c.api)
		observer.upstream = append(observer.upstream, relay)
		fmt.Fprintf(&text, "%s = %q\n", c.name, relay.Addr())
	}
	for range regionCount {
		observer.regionRelays = append(observer.regionRelays, o.relay(api))
	}
	file := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		o.t.Fatal(err)
	}
	observer.command = append(slices.Clone(o.coordinators.options.CoordinatorCommand), "observe", file)
	if err := observer.start(); err != nil {
		o.t.Fatal(err)
	}
	return observer
}

func (o *observerRun) startRouter(i int) *watchingRouter {
	router := &watchingRouter{name: fmt.Sprint("r", i), prefix: watchedPrefixes[i%len(watchedPrefixes)]}
	for _, observer := range o.observers {
		router.observers = append(router.observers, observer.regionRelays[i%regionCount].Addr())
	}
	o.routers = append(o.routers, router)
	router.start()
	return router
}

// start starts the router with no state, as after a restart.
func (r *watchingRouter) start() {
	history := &checker.WatchHistory{Watcher: r.name, Prefix: r.prefix}
	ctx, cancel := context.WithCancel(context.Background())
	c := observerclient.New(observerclient.Options{Observers: r.observers, WatcherName: r.name, Prefix: r.prefix,
		Apply: func(ctx context.Context, state observerclient.State) error { return r.apply(ctx, history, state) }})
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histories, r.client = append(r.histories, history), c
	r.end = func() { cancel(); wg.Wait() }
}

func (r *watchingRouter) stop() {
	r.mu.Lock()
	end := r.end
	r.mu.Unlock()
	end()
}

func (r *watchingRouter) current() *observerclient.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client
}

func (r *watchingRouter) apply(ctx context.Context, history *checker.WatchHistory, state observerclient.State) error {
	r.mu.Lock()
	gate := r.gate
	update := state.Update
	history.Deliveries = append(history.Deliveries,
		checker.Delivery{After: update.After, Through: update.Through, Snapshot: update.Snapshot,
			Changes: agreedChanges(update.Changes), Documents: agreedChanges(state.Documents)})
	r.mu.Unlock()
	if gate == nil {
		return nil
	}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *watchingRouter) setGate(gate chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate = gate
}

func agreedChanges(changes []watchlog.Change) []checker.AgreedChange {
	var all []checker.AgreedChange
	for _, c := range changes {
		all = append(all, checker.AgreedChange{Revision: c.Revision, Name: c.Name,
			Sum: xxhash.Sum64(c.Value), Deleted: c.Deleted})
	}
	return all
}

// put puts a document, expecting the revision of its last put, and records the answer. There must
// be only one caller at a time for a document.
func (o *observerRun) put(name string, value []byte, isDeletion bool) error {
	o.mu.Lock()
	expected := o.revisions[name]
	o.mu.Unlock()
	put := coord.DocumentPut{Name: name, Value: value, Delete: isDeletion, Expected: expected}
	revision, err := o.puts.PutDocument(o.t.Context(), put)
	if err != nil {
		return fmt.Errorf("putting %s: %w", name, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.agreed = append(o.agreed, checker.AgreedChange{Revision: revision, Name: name,
		Sum: xxhash.Sum64(value), Deleted: isDeletion})
	o.revisions[name] = revision
	if isDeletion {
		delete(o.revisions, name)
	}
	return nil
}

// change puts some documents, one after the other.
func (o *observerRun) change(count int) {
	o.t.Helper()
	for range count {
		name := fmt.Sprintf("%s%d", []string{"a/", "b/"}[o.rng.IntN(2)], o.rng.IntN(4))
		o.mu.Lock()
		isDeletion := o.revisions[name] > 0 && o.rng.IntN(4) == 0
		o.mu.Unlock()
		var value []byte
		if !isDeletion {
			value = fmt.Appendf(nil, "value %d", o.rng.Uint64())
		}
		if err := o.put(name, value, isDeletion); err != nil {
			o.t.Fatal(err)
		}
	}
}

// newest returns the newest revision that was agreed on.
func (o *observerRun) newest() (revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.agreed {
		revision = max(revision, c.Revision)
	}
	return revision
}

func (o *observerRun) await(what string, f func() error) {
	o.t.Helper()
	if err := retryUntil(o.t.Context(), observerTimeout, f); err != nil {
		o.checkHistories() // it may report the reason
		o.t.Fatalf("%s: %v", what, err)
	}
}

// awaitRouters waits until routers have the newest revision in force.
func (o *observerRun) awaitRouters(what string, routers []*watchingRouter) {
	o.t.Helper()
	newest := o.newest()
	o.await(what, func() error {
		for _, router := range routers {
			if held, inForce := router.current().Revisions(); inForce != newest {
				return fmt.Errorf("%s holds revision %d and has %d of %d in force", router.name, held, inForce, newest)
			}
		}
		return nil
	})
}

// region returns the routers of a region.
func (o *observerRun) region(number int) (routers []*watchingRouter) {
	for i, router := range o.routers {
		if i%regionCount == number {
			routers = append(routers, router)
		}
	}
	return routers
}

func (p *observerProcess) status(ctx context.Context) (status protocol.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err = client.Call(ctx, http.MethodGet, p.api, protocol.StatusPath, nil, &status)
	return status, err
}

// checkHistories checks all updates that each router got between its restarts.
func (o *observerRun) checkHistories() (deliveries, snapshots int) {
	o.t.Helper()
	o.mu.Lock()
	agreed := slices.Clone(o.agreed)
	o.mu.Unlock()
	slices.SortFunc(agreed, func(a, b checker.AgreedChange) int { return int(a.Revision) - int(b.Revision) })
	for _, router := range o.routers {
		router.mu.Lock()
		for _, history := range router.histories {
			if text := checker.CheckDeliveries(agreed, *history); text != "" {
				o.t.Error(text)
			}
			deliveries += len(history.Deliveries)
			for _, d := range history.Deliveries {
				if d.Snapshot {
					snapshots++
				}
			}
		}
		router.mu.Unlock()
	}
	return deliveries, snapshots
}

var errNotYet = errors.New("not yet")
