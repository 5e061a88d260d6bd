package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/metrics"
)

// startSuccessor starts a router that takes over from old, and returns it with a function that ends
// the old router's hand-over service.
func startSuccessor(t *testing.T, old *runningRouter, cfg *Config) (successor *runningRouter, end context.CancelFunc) {
	t.Helper()
	dir := t.TempDir()
	end = serveHandover(t, old, dir)
	r, ln := joinRouter(t, dir, cfg)
	return runRouter(t, r, ln), end
}

// serveHandover waits for successors of a router in dir until the test ends or the returned function is
// called.
func serveHandover(t *testing.T, old *runningRouter, dir string) (end context.CancelFunc) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		listener := old.router.clients.listener.(*net.TCPListener)
		if err := handover.Serve(ctx, dir, "x", listener, old.router); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { stop(); wg.Wait() })
	return stop
}

// joinRouter creates a router that takes over from the process that serves in dir.
func joinRouter(t *testing.T, dir string, cfg *Config) (*Router, net.Listener) {
	t.Helper()
	for {
		link, ln, state, err := handover.Join(t.Context(), dir, "x")
		if err != nil {
			continue // the service is not listening yet
		}
		r, err := New(cfg, ln, metrics.New())
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Inherit(state, link); err != nil {
			t.Fatal(err)
		}
		return r, ln
	}
}

// Guards against clients that nobody accepts, because the old process is told to end while its successor still
// restores the state of a large fleet.
func TestOldProcessAcceptsUntilItsSuccessorServes(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	old, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	dir := t.TempDir()
	serveHandover(t, old, dir)
	successor, ln := joinRouter(t, dir, testConfig(t, "127.0.0.1:1", endpointList{}))
	eventually(t, old.router.loop, "the link", func() bool { return old.router.peers.count() == 1 })
	old.stop()
	for i := range 3 { // beyond acceptAfterStop
		c := dialClient(t, old.addr)
		if got := c.exchange(readCommandOf(fmt.Sprint("a", i), 5000)); !strings.HasSuffix(got, "hello") {
			t.Errorf("got %q", got)
		}
		time.Sleep(acceptAfterStop / 2)
	}
	startedAt := time.Now()
	next := runRouter(t, successor, ln)
	c := dialClient(t, next.addr)
	if got := c.exchange(readCommandOf("b", 5000)); !strings.HasSuffix(got, "hello") {
		t.Errorf("from the successor: got %q", got)
	}
	receive(t, old.done, "the old process's end")
	if took := time.Since(startedAt); took > deadlineBound/2 {
		t.Errorf("the old process ended %v after its successor served", took)
	}
}

// Guards against a call of an operator that the old process doesn't get, as it arrived at the new one before
// that had begun to run the link.
func TestCallReachesOldProcessBeforeTheLinkRuns(t *testing.T) {
	a, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", a.addr), originEntry(o.addr)))
	old := startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	for !old.router.Ready() {
	}
	dir := t.TempDir()
	serveHandover(t, old, dir)
	successor, ln := joinRouter(t, dir, testConfig(t, "127.0.0.1:1", endpointList{}))
	defer ln.Close()
	defer successor.link.Close()
	if links := successor.peers.open(); len(links) != 1 || links[0] != successor.link {
		t.Errorf("calls go to %d processes, want the old one", len(links))
	}
}

func TestOldAndNewProcessShareListsCallsAndLimits(t *testing.T) {
	a, b, o := startFakeServer(t, hitAnswer), startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", a.addr), cacheEntry("s-0000000c", b.addr),
		originEntry(o.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	old := startRouter(t, cfg)
	c := dialClient(t, old.addr)
	for c.exchange("mn") != "MN" {
	}
	if err := old.router.SetDisabled(t.Context(), "s-0000000b", true); err != nil {
		t.Fatal(err)
	}
	// The successor's own configuration and discovery have no list: its list is from the old
	// process.
	successor, end := startSuccessor(t, old, testConfig(t, "127.0.0.1:1", endpointList{}))
	c2 := dialClient(t, successor.addr)
	for !successor.router.Ready() {
	}
	disabled := func(r *runningRouter) int64 {
		done := make(chan int64)
		r.router.loop.post(func() { _, n := r.router.loop.balancer.CountEndpoints(); done <- int64(n) })
		return receive(t, done, "count")
	}
	if got := disabled(successor); got != 1 {
		t.Errorf("server disabled before the upgrade: %d disabled", got)
	}
	// A call to either process is in effect in both.
	if err := successor.router.SetDisabled(t.Context(), "s-0000000c", true); err != nil {
		t.Fatal(err)
	}
	if got := disabled(old); got != 2 {
		t.Errorf("server disabled in the successor: %d disabled in the old process", got)
	}
	for _, id := range []string{"s-0000000b", "s-0000000c"} {
		if err := old.router.SetDisabled(t.Context(), id, false); err != nil {
			t.Fatal(err)
		}
	}
	if got := disabled(successor); got != 0 {
		t.Errorf("servers enabled in the old process: %d disabled in the successor", got)
	}
	for _, r := range []*runningRouter{old, successor} {
		if err := r.router.SetDisabled(t.Context(), "s-000000ff", true); !errors.Is(err, admin.ErrUnknownServer) {
			t.Errorf("unlisted server: got %v", err)
		}
	}
	// A list that the old process receives from discovery reaches the successor.
	wasReady := successor.router.Ready()
	leaving := cacheEntry("s-0000000b", a.addr)
	leaving.State = "leaving"
	d.publishChange(leaving, cacheEntry("s-0000000d", b.addr))
	for listed := 0; listed == 0; {
		done := make(chan int)
		successor.router.loop.post(func() { done <- len(successor.router.loop.entries) })
		if receive(t, done, "list") == 4 {
			listed = 1
		}
	}
	if err := successor.router.SetDisabled(t.Context(), "s-0000000d", true); err != nil || !wasReady {
		t.Errorf("server listed by the old process's discovery: %v", err)
	}
	// The limits are divided while both processes run, and undivided again once one has exited.
	if got := old.router.loop.requestBytes.limit.Load(); got != 192<<20/16/2 {
		t.Errorf("value memory of the old process: %d", got)
	}
	old.stop()
	if err := receive(t, old.done, "end of the old process"); err != nil {
		t.Error(err)
	}
	end()
	for successor.router.peers.count() > 0 || successor.router.loop.requestBytes.limit.Load() != 192<<20/16 {
	}
	c3 := dialClient(t, successor.addr)
	for _, c := range []*client{c2, c3} { // one of them may have been accepted by the old process
		if got := c.exchange("mn"); got != "MN" && got != "EOF" {
			t.Errorf("got %q", got)
		}
	}
}

// Guards against losing a list that the old process has received from discovery, but not yet
// processed when its state is handed over.
func TestListReceivedDuringHandOverReachesNewProcess(t *testing.T) {
	s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(o.addr)))
	old := startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	for c := dialClient(t, old.addr); c.exchange("mn") != "MN"; {
	}
	l, blockLoop := old.router.loop, newGate(t)
	running := make(chan struct{})
	l.post(func() { close(running); <-blockLoop.opened })
	receive(t, running, "the loop")
	leaving := cacheEntry("s-0000000b", s.addr)
	leaving.State = "leaving"
	d.publishChange(leaving)
	for len(l.events) == 0 { // the list is queued behind the running event
	}
	stateRequested := make(chan struct{})
	go func() {
		defer close(stateRequested)
		for len(l.priorityEvents) == 0 { // the request for the state, which is processed first
		}
		blockLoop.open()
	}()
	successor, end := startSuccessor(t, old, testConfig(t, "127.0.0.1:1", endpointList{}))
	defer end()
	receive(t, stateRequested, "the call for the state")
	eventually(t, successor.router.loop, "the list", func() bool {
		return successor.router.loop.entries["s-0000000b"].State == "leaving"
	})
}
