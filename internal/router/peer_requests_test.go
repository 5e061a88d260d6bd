package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// upgradedRouter is a router in an upgrade: the old process serves the connections that it had, and new
// connections go to the successor.
type upgradedRouter struct {
	server         *fakeServer
	old, successor *runningRouter
	oldClient      *client
}

// startUpgrade starts a router with one server that answers "Oheld" requests when release is called, has
// before called with a client of the old process, and upgrades the router.
func startUpgrade(t *testing.T, before func(u *upgradedRouter)) (u *upgradedRouter, release func()) {
	t.Helper()
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	u = &upgradedRouter{}
	u.server = startFakeServer(t, func(line string) string {
		switch {
		case strings.Contains(line, "Oheld "):
			<-released
		case strings.Contains(line, "Obusy "):
			return "SERVER_ERROR busy 50\r\n"
		}
		return hitAnswer(line)
	})
	list := completeList(cacheEntry("s-0000000b", u.server.addr), originEntry(u.server.addr))
	d := startFakeDiscovery(t, list)
	u.old = startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	for !u.old.router.Ready() {
	}
	u.oldClient = dialClient(t, u.old.addr)
	if got := u.oldClient.exchange("mn"); got != "MN" {
		t.Fatalf("got %q", got)
	}
	before(u)
	u.successor, _ = startSuccessor(t, u.old, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	for !u.successor.router.Ready() {
	}
	u.old.router.clients.listener.Close() // new connections go to the successor from here on
	return u, release
}

// Guards against a request that runs twice, as it comes again at the other process of an upgrade: while it is in
// flight there, and after it may have run. One that has not run may come again.
func TestRequestThatComesAgainAtTheOtherProcessRunsOnce(t *testing.T) {
	held := func(class string) string { return readOfClass(class, "held") }
	for _, class := range []string{"put", "bill"} {
		for name, test := range map[string]struct {
			before, during func(u *upgradedRouter)
		}{
			"begun before the upgrade": {before: func(u *upgradedRouter) { u.begin(t, held(class)) }},
			"begun in the upgrade":     {during: func(u *upgradedRouter) { u.begin(t, held(class)) }},
		} {
			t.Run(class+" "+name, func(t *testing.T) {
				nothing := func(*upgradedRouter) {}
				u, release := startUpgrade(t, orElse(test.before, nothing))
				orElse(test.during, nothing)(u)
				l := u.successor.router.loop
				eventually(t, l, "the notice", func() bool { return l.peerRequests.contains("held", l.now()) })
				got := dialClient(t, u.successor.addr).exchange(held(class))
				if !strings.HasPrefix(got, "SERVER_ERROR busy") {
					t.Errorf("in flight at the old process: got %q", got)
				}
				u.oldClient.disconnect("close")
				release()
				hasRun := func() bool { return l.pastRequests.contains("held", l.now()) }
				eventually(t, l, "the notice of the end", hasRun)
				got = dialClient(t, u.successor.addr).exchange(held(class))
				if !strings.HasPrefix(got, "CLIENT_ERROR ") {
					t.Errorf("after it may have run: got %q", got)
				}
				if n := len(u.server.received); n != 0 {
					t.Errorf("the request was sent %d times more", n)
				}
			})
		}
	}
}

// Guards against the other direction, and against a request that its client may send again and that is refused.
func TestProcessesTellEachOtherOfRequests(t *testing.T) {
	u, _ := startUpgrade(t, func(*upgradedRouter) {})
	successorClient := dialClient(t, u.successor.addr)
	if got := successorClient.exchange(readOfClass("bill", "ran")); !strings.HasPrefix(got, "VA ") {
		t.Fatalf("got %q", got)
	}
	old := u.old.router.loop
	eventually(t, old, "the notice", func() bool { return old.pastRequests.contains("ran", old.now()) })
	if got := u.oldClient.exchange(readOfClass("bill", "ran")); !strings.HasPrefix(got, "CLIENT_ERROR ") {
		t.Errorf("again at the old process: got %q", got)
	}
	if got := successorClient.exchange(readOfClass("bill", "busy")); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Fatalf("got %q", got)
	}
	successor := u.successor.router.loop
	eventually(t, successor, "the end", func() bool { return len(successor.requests) == 0 })
	eventually(t, old, "the notice", func() bool { return !old.peerRequests.contains("busy", old.now()) })
	if old.pastRequests.contains("busy", old.now()) {
		t.Error("a request that has not run counts as one that may have run")
	}
}

// begin sends a command over the client's connection and waits until the server has it.
func (u *upgradedRouter) begin(t *testing.T, command string) {
	t.Helper()
	u.oldClient.send(command + "\r\n")
	receive(t, u.server.received, "the attempt")
}

func orElse[T any](f func(T), otherwise func(T)) func(T) {
	if f == nil {
		return otherwise
	}
	return f
}

// Reaches the bound of the notices that wait to be sent.
func TestPendingNoticesAreLimited(t *testing.T) {
	q := newNoticeQueue()
	for i := range 2 * maxPendingNotices {
		q.add(requestNotice{fmt.Sprint(i), requestBegun})
	}
	if got := len(q.take()); got != maxPendingNotices || len(q.take()) != 0 {
		t.Errorf("%d notices wait, at most %d are allowed", got, maxPendingNotices)
	}
}
