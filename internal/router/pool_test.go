package router

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// Guards against use of a connection that its server is about to close: a connection that was
// acquired and not written to keeps its idle time.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	f := startFakeServer(t, hitAnswer)
	u := newTestUpstreams(t, 10*time.Second, 10)
	target := u.add(f.addr, false)
	old, err := u.acquire(t.Context(), target, false)
	if err != nil {
		t.Fatal(err)
	}
	recent, err := u.acquire(t.Context(), target, false)
	if err != nil {
		t.Fatal(err)
	}
	u.release(target, old, true)
	u.release(target, recent, true)
	originalIdleSince := time.Now().Add(-5 * time.Second)
	u.mu.Lock()
	old.idleSince = originalIdleSince
	u.mu.Unlock()
	u.roundTrip(t.Context(), target, newReadCommand(),
		attemptHooks{false, func() timeoutHint { return 0 }, noHook, noHook, noStream})
	if kept := idleConns(u, target); len(kept) != 2 || kept[0] != old || !kept[0].idleSince.Equal(originalIdleSince) {
		t.Errorf("the idle time was reset: %v", kept)
	}
	// A request that is not repeatable uses the connection that was used last.
	if got, err := u.acquire(t.Context(), target, true); err != nil || got != recent {
		t.Errorf("got %v, %v", got, err)
	} else {
		u.releaseUnused(target, got)
	}
}

func newTestUpstreams(t *testing.T, idle time.Duration, limit int) *upstreams {
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

// Guards against a request on an idle connection that the server has closed: it would end with a
// reset and might have run.
func TestIdleConnectionClosedByServerIsNotUsed(t *testing.T) {
	u := newTestUpstreams(t, 10*time.Second, 10)
	f := startFakeServer(t, func(line string) string {
		if strings.HasPrefix(line, "PUT") { // answers without announcing a close, and closes the connection
			return httpAnswer("200 OK", "77") + "{cut}"
		}
		return httpAnswer("200 OK", "fresh")
	})
	target := u.add(f.addr, true)
	for n := range 3 {
		if got := u.roundTrip(t.Context(), target, newWriteCommand(), unconditionalHooks); got.status != decide.OK {
			t.Fatalf("request %d: got %v", n, got.status)
		}
		for kept := idleConns(u, target); len(kept) > 0 && kept[0].isQuiet(); {
			time.Sleep(time.Millisecond) // until the end of the connection was received
		}
	}
	if n := f.connCount.Load(); n != 3 {
		t.Errorf("%d connections, want one for each request", n)
	}
}

func TestIdleConnectionsAreClosedBeforeServerTimeout(t *testing.T) {
	f := startFakeServer(t, hitAnswer)
	u := newTestUpstreams(t, 400*time.Millisecond, 10)
	target, startedAt := u.add(f.addr, false), time.Now()
	u.roundTrip(t.Context(), target, newReadCommand(), unconditionalHooks)
	receive(t, f.peerCloses, "end of the idle connection")
	if took := time.Since(startedAt); took < 200*time.Millisecond || took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.openConns != 0 {
		t.Errorf("openConns is %d", u.openConns)
	}
}

func TestUpstreamConnectionLimit(t *testing.T) {
	u := newTestUpstreams(t, 10*time.Second, 1)
	f, silent := startFakeServer(t, hitAnswer), startFakeServer(t, func(string) string { return "" })
	a, b := u.add(f.addr, false), u.add(silent.addr, false)
	if got := u.roundTrip(t.Context(), a, newReadCommand(), unconditionalHooks); got.status != decide.OK {
		t.Fatalf("got %v", got.status)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	go func() { done <- u.roundTrip(ctx, b, newReadCommand(), unconditionalHooks) }() // replaces the idle connection
	receive(t, silent.received, "request")
	if got := u.roundTrip(t.Context(), a, newReadCommand(), unconditionalHooks); got.status != decide.Unprocessed {
		t.Errorf("beyond the limit: got %v", got.status)
	}
	stop()
	receive(t, done, "end of the canceled attempt")
	if got := u.roundTrip(t.Context(), a, newReadCommand(), unconditionalHooks); got.status != decide.OK {
		t.Errorf("once there is capacity: got %v", got.status)
	}
}

// Guards against repeated handshakes: connections opened during a peak are used in turn. Otherwise
// all but one would expire and be opened again at the next peak.
func TestIdleConnectionsAreUsedInTurn(t *testing.T) {
	f := startFakeServer(t, hitAnswer)
	u := newTestUpstreams(t, 10*time.Second, 10)
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
			t.Errorf("use %d got the wrong connection", n)
		}
		u.release(target, got, true)
	}
}

// Guards against two attempts that are out at once: a late duplicate of a miss was taken for the answer
// to the next attempt of the same request, as that went over the same connection.
func TestRequestIsNotSentTwiceOverOneConnection(t *testing.T) {
	for name, hooks := range map[string]attemptHooks{
		"repeatable":     unconditionalHooks,
		"not repeatable": {true, unconditionalHooks.beforeWrite, noHook, noHook, noStream},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFakeServer(t, missAnswer)
			u := newTestUpstreams(t, 10*time.Second, 10)
			server := u.add(f.addr, false)
			for _, c := range []struct {
				requestID   string
				connections int32
			}{{"a", 1}, {"a", 2}, {"b", 2}, {"b", 2}, {"b", 3}, {"a", 3}, {"c", 3}} {
				cmd := newReadCommand()
				cmd.id = c.requestID
				if got := u.roundTrip(t.Context(), server, cmd, hooks); got.status != decide.Miss {
					t.Fatalf("status %v", got.status)
				}
				if n := f.connCount.Load(); n != c.connections {
					t.Errorf("request %s: %d connections, want %d", c.requestID, n, c.connections)
				}
			}
		})
	}
}
