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

// A server that begins to drain, is gone, moves, or is left out by hand while a connection to it
// comes up gets nothing over it: the drain's grace may be over by then. The request goes elsewhere.
func TestNothingIsSentOverAConnectionThatCameUpAfterADrain(t *testing.T) {
	moved := func(e listEntry) listEntry { e.Addr = "127.0.0.1:1"; return e }
	in := func(e listEntry, state string) listEntry { e.State = state; return e }
	for name, news := range map[string]func(l *loop, e, other listEntry){
		"leaving": func(l *loop, e, _ listEntry) {
			l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{in(e, "leaving")}})
		},
		"left": func(l *loop, e, _ listEntry) {
			l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{in(e, "left")}})
		},
		"left out of all": func(l *loop, _, o listEntry) { l.updateEndpoints(decide.AllEndpoints, full(o)) },
		"moved": func(l *loop, e, _ listEntry) {
			l.updateEndpoints(decide.ChangedEndpoints, endpointList{Version: 2, Servers: []listEntry{moved(e)}})
		},
		"by hand": func(l *loop, e, _ listEntry) { l.setDisabled(disableCall{ServerID: e.ID, Disabled: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o, up := startFake(t, hit), startFake(t, originOK), newGate(t)
			dialing := make(chan struct{}, 10)
			e := box("s-0000000b", s.addr)
			l, _, addr := startLoopAndClients(t, 192, 40, e, originAt(o.addr))
			l.upstreams.holdDials(dialing, up)
			c := dial(t, addr)
			c.send(readOf(1, "w0", 60000) + "\r\n")
			receive(t, dialing, "a dial")
			onLoop(l, func() { news(l, e, originAt(o.addr)) })
			eventually(t, l, "the attempt called off", func() bool {
				r := l.unanswered["w0"]
				return r == nil ||
					r.attempts[0].isDone
			})
			up.open()
			c.line() // whatever the module makes of it
			eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
			if len(s.seen) > 0 {
				t.Errorf("sent to it: %q", receivedSoFar(s.seen))
			}
		})
	}
}

// An attempt that is given up is out until its connection is closed: the next one is not written
// before that, as two at once are one too many.
func TestNextAttemptWaitsForTheCloseOfTheOneBefore(t *testing.T) {
	for _, how := range []string{"cancel", "time-out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			answer := once("", hit) // whichever is asked first says nothing
			a, b := startFake(t, answer), startFake(t, answer)
			l, _, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", a.addr), box("s-0000000c", b.addr),
				originAt("127.0.0.1:1"))
			closing, let := make(chan struct{}, 10), newGate(t)
			keep := func(t *target) {
				nc, err := net.Dial("tcp", t.addr)
				if err != nil {
					panic(err)
				}
				c := &upstreamConn{Conn: slowClose{nc.(*net.TCPConn), closing, let}, idleSince: time.Now()}
				c.reader = bufio.NewReaderSize(c, maxLineBytes)
				l.upstreams.mu.Lock()
				l.upstreams.openConns++
				l.upstreams.mu.Unlock()
				l.upstreams.release(t, c, true)
			}
			onLoop(l, func() {
				for _, t := range l.targets {
					if !t.isOrigin {
						keep(t)
					}
				}
			})
			c := dial(t, addr)
			c.send(readOf(1, "w0", 60000) + "\r\n")
			select {
			case <-a.seen:
			case <-b.seen:
			case <-time.After(wait):
				t.Fatal("no attempt")
			}
			onLoop(l, func() {
				if r := l.unanswered["w0"]; how == "cancel" {
					l.Cancel(r.id, 0)
				} else {
					l.timeOut(r.attempts[0])
				}
			})
			receive(t, closing, "the close of the first one's connection")
			onLoop(l, func() {
				if r := l.unanswered["w0"]; r == nil || len(r.attempts) != 1 || r.attemptsOut != 1 {
					t.Errorf("went on before it was closed: %+v", r)
				}
			})
			let.open()
			if got := c.line(); got != "VA 5 Ow0 hello" {
				t.Errorf("got %q", got)
			}
		})
	}
}

// A repeat that the module makes within its effect's window is not written after it, though its
// connection takes so long.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			t.Parallel()
			cut, up := newGate(t), newGate(t)
			dialing := make(chan struct{}, 10)
			ends := once("close", hit)
			answer := func(line string) string { <-cut.opened; return ends(line) }
			a, b := startFake(t, answer), startFake(t, answer)
			cfg := longLived(testConfig(t, "127.0.0.1:1", endpointList{}))
			for i := range cfg.settings.Config.Classes {
				if k := &cfg.settings.Config.Classes[i]; k.Name == "read" {
					k.Effect, k.IdempotencyScope, k.IdempotencyWindowMillis = decide.IdempotentByKey, "all", 2000
				}
			}
			l, _, addr := startLoopWith(t, cfg, 40, box("s-0000000b", a.addr), box("s-0000000c", b.addr),
				originAt("127.0.0.1:1"))
			c := dial(t, addr)
			c.send(readOf(1, "w0", 60000) + ",k=7\r\n")
			select {
			case <-a.seen:
			case <-b.seen:
			case <-time.After(wait):
				t.Fatal("no attempt")
			}
			l.upstreams.holdDials(dialing, up)
			var began float64
			onLoop(l, func() { began = l.unanswered["w0"].attempts[0].startedAt })
			cut.open() // it may have run
			receive(t, dialing, "the dial of a repeat")
			if late {
				eventually(t, l, "the end of the window", func() bool { return l.now() > began+2000 })
			}
			up.open()
			got := c.line()
			eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
			if n := len(a.seen) + len(b.seen); late && (n > 0 || !strings.HasPrefix(got, "SERVER_ERROR")) ||
				!late && got != "VA 5 Ow0 hello" {
				t.Errorf("got %q, written again %d times", got, n)
			}
		})
	}
}

// An attempt that the module cancels ends at once, with its connection, and the client has one
// answer.
func TestCanceledAttemptIsGivenUp(t *testing.T) {
	s, o := startFake(t, func(string) string { return "" }), startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	cfg.settings.Config.CancelAllowed = true
	r := start(t, cfg)
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
	began := time.Now()
	if got := c.ask(readCommandOf("a1", 8000)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	receive(t, s.ended, "end of the attempt's connection")
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("given up after %v", took)
	}
	c.nothingMore()
}
