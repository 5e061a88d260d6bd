package router

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// Guards against a request that is written after a drain's grace period. If a server starts to
// drain, is removed, changes its address or is disabled while a connection to it is being opened,
// nothing is written to it and the request goes elsewhere.
func TestAttemptIsNotWrittenIfServerDrainsDuringDial(t *testing.T) {
	moved := func(e listEntry) listEntry { e.Addr = "127.0.0.1:1"; return e }
	in := func(e listEntry, state string) listEntry { e.State = state; return e }
	for name, event := range map[string]func(l *loop, e, other listEntry){
		"leaving": func(l *loop, e, _ listEntry) {
			l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{in(e, "leaving")}})
		},
		"left": func(l *loop, e, _ listEntry) {
			l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{in(e, "left")}})
		},
		"not in complete list": func(l *loop, _, o listEntry) {

			l.updateEndpoints(decide.AllEndpoints, completeList(o))
		},
		"moved": func(l *loop, e, _ listEntry) {
			l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{moved(e)}})
		},
		"disabled": func(l *loop, e, _ listEntry) { l.setDisabled(disableCall{ServerID: e.ID, Disabled: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o, allowDial := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer), newGate(t)
			dialing := make(chan struct{}, 10)
			e := cacheEntry("s-0000000b", s.addr)
			l, _, addr := startLoopAndClients(t, 192, 40, e, originEntry(o.addr))
			l.upstreams.blockDials(dialing, allowDial)
			c := dialClient(t, addr)
			c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
			receive(t, dialing, "a dial")
			onLoop(l, func() { event(l, e, originEntry(o.addr)) })
			eventually(t, l, "the end of the attempt", func() bool {
				r := l.unanswered["w0"]
				return r == nil ||
					r.attempts[0].isDone
			})
			allowDial.open()
			c.nextAnswer() // any answer will do
			eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
			if len(s.received) > 0 {
				t.Errorf("sent to the server: %q", receivedSoFar(s.received))
			}
		})
	}
}

// Guards against two attempts in flight at once. After a cancel or a timeout, the next attempt is
// not written before the connection of the previous one is closed.
func TestNextAttemptWaitsUntilPreviousConnectionIsClosed(t *testing.T) {
	for _, how := range []string{"cancel", "time-out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			answer := answerOnce("", hitAnswer) // the first server that is asked does not answer
			a, b := startFakeServer(t, answer), startFakeServer(t, answer)
			l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", a.addr),
				cacheEntry("s-0000000c", b.addr), originEntry("127.0.0.1:1"))
			closing, allowClose := make(chan struct{}, 10), newGate(t)
			addIdleConn := func(t *target) {
				nc, err := net.Dial("tcp", t.addr)
				if err != nil {
					panic(err)
				}
				c := &upstreamConn{Conn: blockingCloseConn{nc.(*net.TCPConn), closing, allowClose}, target: t,
					idleSince: time.Now()}
				c.reader = bufio.NewReaderSize(c, maxLineBytes)
				l.upstreams.mu.Lock()
				l.upstreams.openConns++
				l.upstreams.mu.Unlock()
				l.upstreams.release(t, c, true)
			}
			onLoop(l, func() {
				for _, t := range l.targets {
					if !t.isOrigin {
						addIdleConn(t)
					}
				}
			})
			c := dialClient(t, addr)
			c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
			select {
			case <-a.received:
			case <-b.received:
			case <-time.After(testTimeout):
				t.Fatal("no attempt")
			}
			onLoop(l, func() {
				if r := l.unanswered["w0"]; how == "cancel" {
					l.Cancel(r.id, 0)
				} else {
					l.timeOut(r.attempts[0])
				}
			})
			receive(t, closing, "the close of the first attempt's connection")
			onLoop(l, func() {
				if r := l.unanswered["w0"]; r == nil || len(r.attempts) != 1 || r.pendingAttempts != 1 {
					t.Errorf("continued before the connection was closed: %+v", r)
				}
			})
			allowClose.open()
			if got := c.nextAnswer(); got != "VA 5 Ow0 hello" {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Guards against a retry after the idempotency window. The Balancer decides on the retry within the
// window, but its connection is opened only after the window has ended.
func TestRetryIsNotWrittenAfterIdempotencyWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			t.Parallel()
			closeConns, allowDial := newGate(t), newGate(t)
			dialing := make(chan struct{}, 10)
			closeOnce := answerOnce("close", hitAnswer)
			answer := func(line string) string { <-closeConns.opened; return closeOnce(line) }
			a, b := startFakeServer(t, answer), startFakeServer(t, answer)
			cfg := withLongDeadlines(testConfig(t, "127.0.0.1:1", endpointList{}))
			for i := range cfg.settings.Config.Classes {
				if k := &cfg.settings.Config.Classes[i]; k.Name == "read" {
					k.Effect, k.IdempotencyScope, k.IdempotencyWindowMillis = decide.IdempotentByKey, "all", 2000
				}
			}
			l, _, addr := startLoopWith(t, cfg, 40, cacheEntry("s-0000000b", a.addr), cacheEntry("s-0000000c", b.addr),
				originEntry("127.0.0.1:1"))
			c := dialClient(t, addr)
			c.send(readCommandOfKey(1, "w0", 60000) + ",k=7\r\n")
			select {
			case <-a.received:
			case <-b.received:
			case <-time.After(testTimeout):
				t.Fatal("no attempt")
			}
			l.upstreams.blockDials(dialing, allowDial)
			var firstAttemptAt float64
			onLoop(l, func() { firstAttemptAt = l.unanswered["w0"].attempts[0].startedAt })
			closeConns.open() // the request may have run
			receive(t, dialing, "the dial of a retry")
			if late {
				eventually(t, l, "the end of the window", func() bool { return l.now() > firstAttemptAt+2000 })
			}
			allowDial.open()
			got := c.nextAnswer()
			eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
			if n := len(a.received) + len(b.received); late && (n > 0 || !strings.HasPrefix(got, "SERVER_ERROR")) ||
				!late && got != "VA 5 Ow0 hello" {
				t.Errorf("got %q, retried %d times", got, n)
			}
		})
	}
}

// An attempt that the Balancer cancels ends at once and its connection is closed. The client gets
// exactly one answer.
func TestCanceledAttemptClosesItsConnection(t *testing.T) {
	s, o := startFakeServer(t, func(string) string { return "" }), startFakeServer(t, originAnswer)
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(o.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	cfg.settings.Config.CancelAllowed = true
	r := startRouter(t, cfg)
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	startedAt := time.Now()
	if got := c.exchange(readCommandOf("a1", 8000)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	receive(t, s.peerCloses, "end of the attempt's connection")
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("canceled after %v", took)
	}
	c.expectNoMoreInput()
}
