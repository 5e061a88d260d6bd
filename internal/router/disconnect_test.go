package router

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A request that waits is not sent on once its client has left, wherever it waits. What it waits
// for here is a fetch of its key by another client; the cache server then has it, and would be
// asked.
func TestRequestOfAClientThatLeftIsNotSentOn(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		for _, c := range []struct {
			where string
			send  func(t *testing.T, l *loop, s *clients, c *client)
		}{
			{"alone", func(t *testing.T, l *loop, s *clients, c *client) { c.send(readOf(1, "w0", 60000) + "\r\n") }},
			{"in a full pipeline", func(t *testing.T, l *loop, s *clients, c *client) {
				for i := range maxPipelined + 4 { // the last ones stay unread
					c.send(readOf(1, fmt.Sprint("w", i), 60000) + "\r\n")
				}
				eventually(t, l, "a full pipeline", func() bool { return len(l.unanswered) == maxPipelined+1 })
			}},
			{"in a full pipeline with more behind it than is read", func(t *testing.T, l *loop, s *clients, c *client) {
				for i := range maxPipelined {
					c.send(readOf(1, fmt.Sprint("w", i), 60000) + "\r\n")
				}
				eventually(t, l, "a full pipeline", func() bool { return len(l.unanswered) == maxPipelined+1 })
				c.send(strings.Repeat("mn\r\n", 2*maxLineBytes/4))
			}},
			{"turned away", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readOf(1, "w0", 60000) + "\r\nmg what\r\nand more")
				eventually(t, l, "the answer behind it", func() bool { return l.answerBytes.used.Load() > 0 })
			}},
			{"turned away with much to send", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readOf(1, "w0", 60000) + "\r\nmg what\r\n" + strings.Repeat("more", lingerBytes/8))
				eventually(t, l, "the answer behind it", func() bool { return l.answerBytes.used.Load() > 0 })
			}},
			{"half a command behind it", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readOf(1, "w0", 60000) + "\r\nmg 00")
				eventually(t, l, "its arrival", func() bool { return len(l.unanswered) == 2 })
			}},
			{"draining", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readOf(1, "w0", 60000) + "\r\n")
				eventually(t, l, "its arrival", func() bool { return len(l.unanswered) == 2 })
				s.startDrain()
			}},
			{"draining with input unread", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readOf(1, "w0", 60000) + "\r\n")
				eventually(t, l, "its arrival", func() bool { return len(l.unanswered) == 2 })
				s.startDrain()
				c.send("mg 00")
			}},
		} {
			t.Run(c.where+" "+how, func(t *testing.T) {
				t.Parallel()
				fetch := newGate(t)
				s := startFake(t, once("EN O{id} h0\r\n", hit))
				o := startFake(t, func(line string) string { <-fetch.opened; return originOK(line) })
				l, clients, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
				first := dial(t, addr)
				first.send(readOf(1, "f", 60000) + "\r\n")
				receive(t, s.seen, "the read that misses")
				receive(t, o.seen, "its fetch")
				waits := dial(t, addr)
				c.send(t, l, clients, waits)
				eventually(t, l, "the request that waits", func() bool { return l.unanswered["w0"] != nil })
				waits.disconnect(how)
				eventually(t, l, "the end of what waited", func() bool { return len(l.unanswered) == 1 })
				fetch.open()
				if got := first.line(); got != "VA 5 Of fresh" {
					t.Errorf("the one that fetched got %q", got)
				}
				eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
				if len(s.seen)+len(o.seen) > 0 {
					t.Errorf("sent on: %q", append(receivedSoFar(s.seen), receivedSoFar(o.seen)...))
				}
				// a write gives them back after it
				eventually(t, l, "no bytes of answers counted", func() bool { return l.answerBytes.used.Load() == 0 })
			})
		}
	}
}

// A client that closes right behind a whole command has disconnected before the command is acted
// on: nothing is sent for it.
func TestCommandWithTheClientsEndBehindItIsNotSentOn(t *testing.T) {
	for _, command := range []string{readOf(1, "w0", 60000) + "\r\n",
		"ms 7f3a9c21e0b4d655 3 Ow0 Pc=put,t=t,d=60000,k=7\r\nabc\r\n"} {
		t.Run(command[:2], func(t *testing.T) {
			t.Parallel()
			s, o := startFake(t, hit), startFake(t, originOK)
			cfg := longLived(testConfig(t, "127.0.0.1:1", endpointList{}))
			cfg.settings.Config.HealthChecksAllowed = false
			l, clients, addr := startLoopWith(t, cfg, 40, box("s-0000000b", s.addr), originAt(o.addr))
			c := dial(t, addr)
			busy := newGate(t)
			eventually(t, l, "the list", func() bool { return len(l.targets) == 2 })
			l.post(func() { <-busy.opened }) // the loop acts on the command once the end is there
			c.send(command)
			c.disconnect("close")
			for ended := false; !ended; { // as the system knows it, or the router
				clients.mu.Lock()
				ended = true
				for conn := range clients.conns {
					ended = ended && conn.disconnected()
				}
				clients.mu.Unlock()
			}
			busy.open()
			eventually(t, l, "the end of the command", func() bool { return l.lastID == 1 && len(l.requests) == 0 })
			if len(s.seen)+len(o.seen) > 0 {
				t.Errorf("sent on: %q", append(receivedSoFar(s.seen), receivedSoFar(o.seen)...))
			}
		})
	}
}

// The same while the connection that it waits for comes up: here the dial is held until the client
// has left.
func TestRequestWhoseConnectionComesUpLateIsNotSentOn(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprint(how, " loop busy ", busy), func(t *testing.T) {
				t.Parallel()
				s, up := startFake(t, hit), newGate(t)
				dialing := make(chan struct{}, 10)
				l, _, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(s.addr))
				l.upstreams.holdDials(dialing, up)
				c := dial(t, addr)
				c.send(readOf(1, "w0", 60000) + "\r\n")
				receive(t, dialing, "a dial")
				if busy { // the connection comes up before the loop can hear of the client's end
					held := newGate(t)
					l.post(func() { <-held.opened })
					c.disconnect(how)
					up.open()
					receive(t, s.connected, "the connection")
					held.open()
				} else {
					c.disconnect(how)
					eventually(t, l, "the end of the request", func() bool { return len(l.unanswered) == 0 })
					up.open()
				}
				eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
				if len(s.seen) > 0 {
					t.Errorf("sent on: %q", receivedSoFar(s.seen))
				}
			})
		}
	}
}

// A client that leaves just as its first attempt breaks: the retry is not made.
func TestRetryIsNotMadeForAClientThatLeft(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			cut := newGate(t)
			s := startFake(t, func(string) string { <-cut.opened; return "close" })
			o := startFake(t, originOK)
			l, _, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
			c := dial(t, addr)
			c.send(readOf(1, "w0", 60000) + "\r\n")
			receive(t, s.seen, "the first attempt")
			held := newGate(t)
			l.post(func() { <-held.opened }) // the loop hears of both only afterwards
			cut.open()
			receive(t, s.closed, "the break")
			c.disconnect(how)
			held.open()
			eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
			if len(s.seen)+len(o.seen) > 0 {
				t.Errorf("sent again: %q", append(receivedSoFar(s.seen), receivedSoFar(o.seen)...))
			}
		})
	}
}

// startWithQueuedRequest starts a router with admission and one place behind it. The first client's
// request has that place and gets its answer once that is let go; the second one's, b, waits at the
// door. settings are those of the router, to be changed.
func startWithQueuedRequest(t *testing.T) (r *running, s *fake, answer gate, first, second *client, settings *Config) {
	t.Helper()
	answer = newGate(t)
	s = startFake(t, func(line string) string { <-answer.opened; return hit(line) })
	t.Cleanup(answer.open) // before the fake waits for what it has started
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(s.addr)))
	cfg := longLived(testConfig(t, d.Listener.Addr().String(), endpointList{}))
	cfg.Admission = onePlaceAdmission()
	cfg.settings.Config.HealthChecksAllowed = false
	for i := range cfg.settings.Config.Classes {
		cfg.settings.Config.Classes[i].LatencyObjectiveMillis = 500 // the door expects a request to take so long
	}
	r = start(t, cfg)
	for c := dial(t, r.addr); c.ask("mn") != "MN"; {
	}
	first, second = dial(t, r.addr), dial(t, r.addr)
	first.send(readOf(1, "a", 60000) + "\r\n")
	receive(t, s.seen, "the first, which takes the one place")
	second.send(readOf(2, "b", 60000) + "\r\n")
	eventually(t, r.router.loop, "the second in the queue of admission",
		func() bool { return r.router.loop.admission.admission.State(0).Waiting == 1 })
	return r, s, answer, first, second, cfg
}

// The same behind the door of admission, on a connection that drains.
func TestQueuedRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	r, s, answer, first, second, _ := startWithQueuedRequest(t)
	l := r.router.loop
	r.router.clients.startDrain()
	second.Close()
	eventually(t, l, "the end of the second", func() bool { return l.unanswered["b"] == nil })
	answer.open()
	if got := first.line(); got != "VA 5 Oa hello" {
		t.Errorf("the first got %q", got)
	}
	eventually(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
	if len(s.seen) > 0 {
		t.Errorf("sent on: %q", receivedSoFar(s.seen))
	}
}

// In an upgrade the old process drains at once, as the new one takes its connections: what waits
// there for a client that leaves then is not sent on either, and what it has taken is answered.
func TestOldProcessOfAnUpgradeSendsNothingForAClientThatLeft(t *testing.T) {
	fetch := newGate(t)
	s := startFake(t, once("EN O{id} h0\r\n", hit))
	o := startFake(t, func(line string) string { <-fetch.opened; return originOK(line) })
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
	old := start(t, longLived(testConfig(t, d.Listener.Addr().String(), endpointList{})))
	stays, leaves := dial(t, old.addr), dial(t, old.addr)
	for stays.ask("mn") != "MN" || leaves.ask("mn") != "MN" {
	}
	l := old.router.loop
	stays.send(readOf(1, "a", 60000) + "\r\n")
	receive(t, o.seen, "the fetch")
	leaves.send(readOf(1, "b", 60000) + "\r\n")
	eventually(t, l, "the one that waits", func() bool { return l.unanswered["b"] != nil })
	young, end := succeeded(t, old, longLived(testConfig(t, "127.0.0.1:1", endpointList{})))
	defer end()
	for !young.router.Ready() || old.router.peers.count() == 0 {
	}
	old.stop()
	for !old.router.clients.isDraining.Load() {
	}
	leaves.disconnect("reset")
	eventually(t, l, "its end", func() bool { return l.unanswered["b"] == nil })
	fetch.open()
	if got := stays.line(); got != "VA 5 Oa fresh" {
		t.Errorf("the one that stays got %q", got)
	}
	if err := receive(t, old.done, "end of the old one"); err != nil {
		t.Error(err)
	}
	if len(s.seen) != 1 || len(o.seen) > 0 { // the read that missed
		t.Errorf("sent on: %q", append(receivedSoFar(s.seen), receivedSoFar(o.seen)...))
	}
}

// Whoever waits for a client to leave learns that this side has closed the connection: else it
// would look again without end.
func TestWaitForAClientEndsWithItsConnection(t *testing.T) {
	ln := listenLocal(t)
	client := dial(t, ln.Addr().String())
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	none := 0
	c.SetReadDeadline(expiredDeadline)
	if awaitDisconnect(c, &none) {
		t.Error("the end of the time was taken for the client's")
	}
	c.SetReadDeadline(time.Time{})
	ended := make(chan bool, 1)
	go func() { ended <- awaitDisconnect(c, &none) }()
	c.Close()
	if !receive(t, ended, "the end of the wait") {
		t.Error("the close was not seen")
	}
	if !awaitDisconnect(c, &none) {
		t.Error("a closed connection was not seen")
	}
	client.Close()
}

// An attempt whose client leaves is given up where the settings allow it. Where they don't, it runs
// to its end, which nobody is told of and which is no time-out: its connection is used again.
func TestClientThatLeavesEndsItsAttempt(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", allowed), func(t *testing.T) {
			t.Parallel()
			answer := newGate(t)
			s, o := startFake(t, hit), startFake(t, func(line string) string { <-answer.opened; return originOK(line) })
			d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
			cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
			cfg.settings.Config.CancelAllowed = allowed
			r := start(t, cfg)
			for c := dial(t, r.addr); c.ask("mn") != "MN"; {
			}
			c := dial(t, r.addr)
			c.send(billCommandOf("a1", 60000) + "\r\n") // the module itself gives up reads only
			receive(t, o.seen, "request")
			c.Close()
			eventually(t, r.router.loop, "the end of the request",
				func() bool { return len(r.router.loop.unanswered) == 0 })
			if !allowed {
				if len(o.ended) > 0 {
					t.Error("given up")
				}
				answer.open()
				eventually(t, r.router.loop, "the end of the attempt",
					func() bool { return len(r.router.loop.requests) == 0 })
				if kept := idleConns(r.router.upstreams, originTarget(r.router.loop)); len(kept) != 1 ||
					o.conns.Load() != 1 {
					t.Errorf("%d of %d connections kept", len(kept), o.conns.Load())
				}
				return
			}
			answer.open()
			receive(t, o.ended, "end of the attempt's connection")
		})
	}
}
