package router

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/handover"
	"dockhinge.example/dockhinge/internal/metrics"
)

// succeeded starts a router that takes over from another one.
func succeeded(t *testing.T, old *running, cfg *Config) (young *running, end context.CancelFunc) {
	t.Helper()
	dir := t.TempDir()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := handover.Serve(ctx, dir, "x", old.router.clients.listener.(*net.TCPListener),
			old.router); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { stop(); wg.Wait() })
	for {
		link, ln, state, err := handover.Join(t.Context(), dir, "x")
		if err != nil {
			continue // nobody listens yet
		}
		r, err := New(cfg, ln, metrics.New())
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Inherit(state, link); err != nil {
			t.Fatal(err)
		}
		return run(t, r, ln), stop
	}
}

func TestTwoProcessesAreOneRouter(t *testing.T) {
	a, b, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", a.addr), box("s-0000000c", b.addr), originAt(o.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	old := start(t, cfg)
	c := dial(t, old.addr)
	for c.ask("mn") != "MN" {
	}
	if err := old.router.SetDisabled(t.Context(), "s-0000000b", true); err != nil {
		t.Fatal(err)
	}
	// The new one's configuration and discovery tell it nothing: all it knows is from the old one.
	young, end := succeeded(t, old, testConfig(t, "127.0.0.1:1", endpointList{}))
	c2 := dial(t, young.addr)
	for !young.router.Ready() {
	}
	disabled := func(r *running) int64 {
		done := make(chan int64)
		r.router.loop.post(func() { _, n := r.router.loop.balancer.CountEndpoints(); done <- int64(n) })
		return receive(t, done, "count")
	}
	if got := disabled(young); got != 1 {
		t.Errorf("a ban before the upgrade: %d disabled", got)
	}
	// A call to either holds for both.
	if err := young.router.SetDisabled(t.Context(), "s-0000000c", true); err != nil {
		t.Fatal(err)
	}
	if got := disabled(old); got != 2 {
		t.Errorf("a ban at the new one: %d disabled at the old one", got)
	}
	for _, id := range []string{"s-0000000b", "s-0000000c"} {
		if err := old.router.SetDisabled(t.Context(), id, false); err != nil {
			t.Fatal(err)
		}
	}
	if got := disabled(young); got != 0 {
		t.Errorf("calls back at the old one: %d disabled at the new one", got)
	}
	for _, r := range []*running{old, young} {
		if err := r.router.SetDisabled(t.Context(), "s-000000ff", true); !errors.Is(err, admin.ErrUnknownServer) {
			t.Errorf("an id never listed: got %v", err)
		}
	}
	// What discovery tells the old one, the new one is told.
	before := young.router.Ready()
	gone := box("s-0000000b", a.addr)
	gone.State = "leaving"
	d.change(gone, box("s-0000000d", b.addr))
	for disabledBy := 0; disabledBy == 0; {
		done := make(chan int)
		young.router.loop.post(func() { done <- len(young.router.loop.entries) })
		if receive(t, done, "list") == 4 {
			disabledBy = 1
		}
	}
	if err := young.router.SetDisabled(t.Context(), "s-0000000d", true); err != nil || !before {
		t.Errorf("an id that the old one's discovery listed: %v", err)
	}
	// Limits are split while both live, and whole again once one is gone.
	if got := old.router.loop.valueBytes.limit.Load(); got != 192<<20/16/2 {
		t.Errorf("memory of the old one: %d", got)
	}
	old.stop()
	if err := receive(t, old.done, "end of the old one"); err != nil {
		t.Error(err)
	}
	end()
	for young.router.peers.count() > 0 || young.router.loop.valueBytes.limit.Load() != 192<<20/16 {
	}
	c3 := dial(t, young.addr)
	for _, c := range []*client{c2, c3} { // one of them may have been the old one's
		if got := c.ask("mn"); got != "MN" && got != "EOF" {
			t.Errorf("got %q", got)
		}
	}
}

// A list that discovery has told the old process, and that its loop has not come to when the state
// is handed over, reaches the new one all the same.
func TestListThatCrossesTheHandOverReachesTheNewProcess(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
	old := start(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	for c := dial(t, old.addr); c.ask("mn") != "MN"; {
	}
	l, held := old.router.loop, newGate(t)
	running := make(chan struct{})
	l.post(func() { close(running); <-held.opened })
	receive(t, running, "the loop")
	news := box("s-0000000b", s.addr)
	news.State = "leaving"
	d.change(news)
	for len(l.events) == 0 { // the list, behind what the loop is at
	}
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		for len(l.priorityEvents) == 0 { // the state, which goes first
		}
		held.open()
	}()
	young, end := succeeded(t, old, testConfig(t, "127.0.0.1:1", endpointList{}))
	defer end()
	receive(t, asked, "the call for the state")
	eventually(t, young.router.loop, "the list", func() bool {
		return young.router.loop.entries["s-0000000b"].State == "leaving"
	})
}
