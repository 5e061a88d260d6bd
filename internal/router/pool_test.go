package router

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// A connection that was taken and not used is as old as it was: its server goes by its own count.
func TestUnusedConnectionKeepsItsAge(t *testing.T) {
	f := startFake(t, hit)
	u := testUpstreams(t, 10*time.Second, 10)
	target := u.add(f.addr, false)
	old, err := u.acquire(t.Context(), target, false)
	if err != nil {
		t.Fatal(err)
	}
	fresh, err := u.acquire(t.Context(), target, false)
	if err != nil {
		t.Fatal(err)
	}
	u.release(target, old, true)
	u.release(target, fresh, true)
	was := time.Now().Add(-5 * time.Second)
	u.mu.Lock()
	old.idleSince = was
	u.mu.Unlock()
	u.roundTrip(t.Context(), target, getCommand(),
		attemptHooks{false, func() timeoutHint { return 0 }, noHook, noStream})
	if kept := idleConns(u, target); len(kept) != 2 || kept[0] != old || !kept[0].idleSince.Equal(was) {
		t.Errorf("it counts as new: %v", kept)
	}
	// What can't be repeated goes over the one that was used last.
	if got, err := u.acquire(t.Context(), target, true); err != nil || got != fresh {
		t.Errorf("got %v, %v", got, err)
	} else {
		u.releaseUnused(target, got)
	}
}

func testUpstreams(t *testing.T, idle time.Duration, limit int) *upstreams {
	t.Helper()
	u := newUpstreams(idle, 250*time.Millisecond, limit)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.sweep(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
	return u
}

func idleConns(u *upstreams, t *target) []*upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(t.idle)
}

// A kept connection that the server has closed must not carry a request: written to it, it would
// end as a reset, which may have run.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	u := testUpstreams(t, 10*time.Second, 10)
	f := startFake(t, func(line string) string {
		if strings.HasPrefix(line, "PUT") { // answers as if to keep the connection, and closes it
			return httpAnswer("200 OK", "77") + "{cut}"
		}
		return httpAnswer("200 OK", "fresh")
	})
	target := u.add(f.addr, true)
	for n := range 3 {
		if got := u.roundTrip(t.Context(), target, putCommand(), writeAlways); got.status != decide.OK {
			t.Fatalf("request %d: got %v", n, got.status)
		}
		for kept := idleConns(u, target); len(kept) > 0 && kept[0].isQuiet(); {
			time.Sleep(time.Millisecond) // until the end has come over the socket
		}
	}
	if n := f.conns.Load(); n != 3 {
		t.Errorf("%d connections, want one for each request", n)
	}
}

func TestIdleConnectionsAreClosedAheadOfTheServer(t *testing.T) {
	f := startFake(t, hit)
	u := testUpstreams(t, 400*time.Millisecond, 10)
	target, began := u.add(f.addr, false), time.Now()
	u.roundTrip(t.Context(), target, getCommand(), writeAlways)
	receive(t, f.ended, "end of the idle connection")
	if took := time.Since(began); took < 200*time.Millisecond || took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.openConns != 0 {
		t.Errorf("%d connections are still counted", u.openConns)
	}
}

func TestSocketLimit(t *testing.T) {
	u := testUpstreams(t, 10*time.Second, 1)
	f, silent := startFake(t, hit), startFake(t, func(string) string { return "" })
	a, b := u.add(f.addr, false), u.add(silent.addr, false)
	if got := u.roundTrip(t.Context(), a, getCommand(), writeAlways); got.status != decide.OK {
		t.Fatalf("got %v", got.status)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	go func() { done <- u.roundTrip(ctx, b, getCommand(), writeAlways) }() // takes the place of the idle one
	receive(t, silent.seen, "request")
	if got := u.roundTrip(t.Context(), a, getCommand(), writeAlways); got.status != decide.Unprocessed {
		t.Errorf("beyond the limit: got %v", got.status)
	}
	stop()
	receive(t, done, "end of the attempt that was given up")
	if got := u.roundTrip(t.Context(), a, getCommand(), writeAlways); got.status != decide.OK {
		t.Errorf("once there is room: got %v", got.status)
	}
}

// Connections that a peak has opened take turns, or all but one would run out and be opened anew at
// the next peak.
func TestKeptConnectionsTakeTurns(t *testing.T) {
	f := startFake(t, hit)
	u := testUpstreams(t, 10*time.Second, 10)
	target := u.add(f.addr, false)
	first, err := u.acquire(t.Context(), target, false)
	if err != nil {
		t.Fatal(err)
	}
	second, err := u.acquire(t.Context(), target, false)
	if err != nil {
		t.Fatal(err)
	}
	u.release(target, first, true)
	u.release(target, second, true)
	for n, want := range []*upstreamConn{first, second, first} {
		got, err := u.acquire(t.Context(), target, false)
		if err != nil {
			t.Fatal(err)
		}
		if got != want {
			t.Errorf("turn %d went to another connection", n)
		}
		u.release(target, got, true)
	}
}
