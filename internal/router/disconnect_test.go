package router

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// writeBeforeID begins the ids of the writes that fill a pipeline, which are sent at once.
const writeBeforeID = "before"

// sendWritesBefore sends writes that leave room for one more command in the pipeline.
func sendWritesBefore(c *client) {
	for i := range maxPipelined - 1 {
		c.send(billCommandOf(fmt.Sprint(writeBeforeID, i), 60000) + "\r\n")
	}
}

// hasWaitingReader reports whether the reader of a connection waits for answers and for its client's
// disconnect.
func (s *clients) hasWaitingReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		isWaiting := c.isWatchingForDisconnect
		c.mu.Unlock()
		if isWaiting {
			return true
		}
	}
	return false
}

// Guards against sending a waiting request to a server after its client has disconnected, in each
// state of the connection. Here the request waits for a fetch of the same key by another client;
// the cache server then has the value and would be asked.
func TestWaitingRequestIsNotSentAfterDisconnect(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		for _, c := range []struct {
			where string
			send  func(t *testing.T, l *loop, s *clients, c *client)
		}{
			{"alone", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
			}},
			{"with commands behind it", func(t *testing.T, l *loop, s *clients, c *client) {
				for i := range maxPipelined + 4 { // nothing is read behind an open read
					c.send(readCommandOfKey(1, fmt.Sprint("w", i), 60000) + "\r\n")
				}
				eventually(t, l, "the waiting reader", s.hasWaitingReader)
			}},
			{"with more input than is read", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(strings.Repeat(readCommandOfKey(1, "w0", 60000)+"\r\n", 2*maxLineBytes/50))
				eventually(t, l, "the waiting reader", s.hasWaitingReader)
			}},
			{"in a full pipeline", func(t *testing.T, l *loop, s *clients, c *client) {
				sendWritesBefore(c)
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\n" + readCommandOfKey(1, "w1", 60000) + "\r\n")
				eventually(t, l, "a full pipeline", func() bool { return len(l.unanswered) == maxPipelined+1 })
			}},
			{"in a full pipeline with more input than is read", func(t *testing.T, l *loop, s *clients, c *client) {
				sendWritesBefore(c)
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
				eventually(t, l, "a full pipeline", func() bool { return len(l.unanswered) == maxPipelined+1 })
				c.send(strings.Repeat("mn\r\n", 2*maxLineBytes/4))
			}},
			{"rejected", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\nmg what\r\nand more")
				eventually(t, l, "the answer after it", func() bool { return l.answers.buffered.used.Load() > 0 })
			}},
			{"rejected with much input", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\nmg what\r\n" + strings.Repeat("more", lingerBytes/8))
				eventually(t, l, "the answer after it", func() bool { return l.answers.buffered.used.Load() > 0 })
			}},
			{"part of a command after it", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\nmg 00")
				eventually(t, l, "the arrival of the request", func() bool { return len(l.unanswered) == 2 })
			}},
			{"draining", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
				eventually(t, l, "the arrival of the request", func() bool { return len(l.unanswered) == 2 })
				s.startDrain()
			}},
			{"draining with input unread", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
				eventually(t, l, "the arrival of the request", func() bool { return len(l.unanswered) == 2 })
				s.startDrain()
				c.send("mg 00")
			}},
		} {
			t.Run(c.where+" "+how, func(t *testing.T) {
				t.Parallel()
				fetch := newGate(t)
				s := startFakeServer(t, answerOnce("EN O{id} h0\r\n", hitAnswer))
				o := startFakeServer(t, func(line string) string { <-fetch.opened; return originAnswer(line) })
				l, clients, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr),
					originEntry(o.addr))
				first := dialClient(t, addr)
				first.send(readCommandOfKey(1, "f", 60000) + "\r\n")
				receive(t, s.received, "the read that misses")
				receive(t, o.received, "its fetch")
				waiting := dialClient(t, addr)
				c.send(t, l, clients, waiting)
				eventually(t, l, "the waiting request", func() bool { return l.unanswered["w0"] != nil })
				waiting.disconnect(how)
				eventually(t, l, "the end of the waiting requests", func() bool { return len(l.unanswered) == 1 })
				fetch.open()
				if got := first.nextAnswer(); got != "VA 5 Of fresh" {
					t.Errorf("the fetching client got %q", got)
				}
				eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
				for _, sent := range append(receivedSoFar(s.received), receivedSoFar(o.received)...) {
					if !strings.Contains(sent, writeBeforeID) {
						t.Errorf("a request was sent: %q", sent)
					}
				}
				// The writer releases them after its write.
				eventually(t, l, "no reserved answer bytes", func() bool { return l.answers.buffered.used.Load() == 0 })
			})
		}
	}
}

// Guards against sending a command whose client closes right after it: the disconnect is noticed
// before the loop processes the command.
func TestCommandIsNotSentIfClientClosesRightAfterIt(t *testing.T) {
	for _, command := range []string{readCommandOfKey(1, "w0", 60000) + "\r\n",
		"ms 7f3a9c21e0b4d655 3 Ow0 Pc=put,t=t,d=60000,k=7\r\nabc\r\n"} {
		t.Run(command[:2], func(t *testing.T) {
			t.Parallel()
			s, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
			cfg := withLongDeadlines(testConfig(t, "127.0.0.1:1", endpointList{}))
			cfg.settings.Config.HealthChecksAllowed = false
			l, clients, addr := startLoopWith(t, cfg, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			c := dialClient(t, addr)
			busy := newGate(t)
			eventually(t, l, "the list", func() bool { return len(l.targets) == 2 })
			l.post(func() { <-busy.opened }) // the loop processes the command after the disconnect
			c.send(command)
			c.disconnect("close")
			for ended := false; !ended; { // as reported by the socket or the reader
				clients.mu.Lock()
				ended = true
				for conn := range clients.conns {
					ended = ended && conn.disconnected()
				}
				clients.mu.Unlock()
			}
			busy.open()
			eventually(t, l, "the end of the command", func() bool { return l.lastID == 1 && len(l.requests) == 0 })
			if len(s.received)+len(o.received) > 0 {
				t.Errorf("requests were sent: %q", append(receivedSoFar(s.received), receivedSoFar(o.received)...))
			}
		})
	}
}

// Guards against sending a request whose client disconnects while the connection to the server is
// being opened. The dial is blocked until the client has disconnected.
func TestRequestIsNotSentIfClientDisconnectsDuringDial(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprint(how, " loop busy ", busy), func(t *testing.T) {
				t.Parallel()
				s, allowDial := startFakeServer(t, hitAnswer), newGate(t)
				dialing := make(chan struct{}, 10)
				l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
				l.upstreams.blockDials(dialing, allowDial)
				c := dialClient(t, addr)
				c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
				receive(t, dialing, "a dial")
				if busy { // the connection is opened before the loop is notified of the disconnect
					blockLoop := newGate(t)
					l.post(func() { <-blockLoop.opened })
					c.disconnect(how)
					allowDial.open()
					receive(t, s.accepts, "the connection")
					blockLoop.open()
				} else {
					c.disconnect(how)
					eventually(t, l, "the end of the request", func() bool { return len(l.unanswered) == 0 })
					allowDial.open()
				}
				eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
				if len(s.received) > 0 {
					t.Errorf("requests were sent: %q", receivedSoFar(s.received))
				}
			})
		}
	}
}

// Guards against a retry for a client that disconnects just as its first attempt fails.
func TestNoRetryAfterClientDisconnect(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			closeConns := newGate(t)
			s := startFakeServer(t, func(string) string { <-closeConns.opened; return "close" })
			o := startFakeServer(t, originAnswer)
			l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			c := dialClient(t, addr)
			c.send(readCommandOfKey(1, "w0", 60000) + "\r\n")
			receive(t, s.received, "the first attempt")
			blockLoop := newGate(t)
			l.post(func() { <-blockLoop.opened }) // the loop is notified of both events only afterwards
			closeConns.open()
			receive(t, s.ownCloses, "the reset")
			c.disconnect(how)
			blockLoop.open()
			eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
			if len(s.received)+len(o.received) > 0 {
				t.Errorf("retried: %q", append(receivedSoFar(s.received), receivedSoFar(o.received)...))
			}
		})
	}
}

// startWithQueuedRequest starts a router whose admission runs one request at a time. The first
// client's request, a, is running and is answered once answer is opened. The second client's
// request, b, is queued in admission. settings is the router's configuration, from which a test can
// derive another one.
func startWithQueuedRequest(t *testing.T) (r *runningRouter, s *fakeServer, answer gate, first, second *client,
	settings *Config) {
	t.Helper()
	answer = newGate(t)
	s = startFakeServer(t, func(line string) string { <-answer.opened; return hitAnswer(line) })
	t.Cleanup(answer.open) // before the server's cleanup, which waits for its goroutines
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(s.addr)))
	cfg := withLongDeadlines(testConfig(t, d.Listener.Addr().String(), endpointList{}))
	cfg.Admission = singleSlotAdmission()
	cfg.settings.Config.HealthChecksAllowed = false
	for i := range cfg.settings.Config.Classes {
		cfg.settings.Config.Classes[i].LatencyObjectiveMillis = 500 // admission's estimate of a request's duration
	}
	r = startRouter(t, cfg)
	for c := dialClient(t, r.addr); c.exchange("mn") != "MN"; {
	}
	first, second = dialClient(t, r.addr), dialClient(t, r.addr)
	first.send(readCommandOfKey(1, "a", 60000) + "\r\n")
	receive(t, s.received, "the first request, which uses the only slot")
	second.send(readCommandOfKey(2, "b", 60000) + "\r\n")
	eventually(t, r.router.loop, "the second request in admission's queue",
		func() bool { return r.router.loop.admission.admission.State(0).Waiting == 1 })
	return r, s, answer, first, second, cfg
}

// Guards against sending a request that is queued in admission after its client has disconnected,
// on a draining connection.
func TestQueuedRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	r, s, answer, first, second, _ := startWithQueuedRequest(t)
	l := r.router.loop
	r.router.clients.startDrain()
	second.Close()
	eventually(t, l, "the end of the second request", func() bool { return l.unanswered["b"] == nil })
	answer.open()
	if got := first.nextAnswer(); got != "VA 5 Oa hello" {
		t.Errorf("the first client got %q", got)
	}
	eventually(t, l, "the end of all requests", func() bool { return len(l.requests) == 0 })
	if len(s.received) > 0 {
		t.Errorf("requests were sent: %q", receivedSoFar(s.received))
	}
}

// Guards against the old process of an upgrade sending a waiting request whose client has
// disconnected. The old process drains at once, because the new one accepts its clients; requests
// that it has accepted are still answered.
func TestOldProcessDropsWaitingRequestOfDisconnectedClient(t *testing.T) {
	fetch := newGate(t)
	s := startFakeServer(t, answerOnce("EN O{id} h0\r\n", hitAnswer))
	o := startFakeServer(t, func(line string) string { <-fetch.opened; return originAnswer(line) })
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(o.addr)))
	old := startRouter(t, withLongDeadlines(testConfig(t, d.Listener.Addr().String(), endpointList{})))
	staying, leaving := dialClient(t, old.addr), dialClient(t, old.addr)
	for staying.exchange("mn") != "MN" || leaving.exchange("mn") != "MN" {
	}
	l := old.router.loop
	staying.send(readCommandOfKey(1, "a", 60000) + "\r\n")
	receive(t, o.received, "the fetch")
	leaving.send(readCommandOfKey(1, "b", 60000) + "\r\n")
	eventually(t, l, "the waiting request", func() bool { return l.unanswered["b"] != nil })
	successor, end := startSuccessor(t, old, withLongDeadlines(testConfig(t, "127.0.0.1:1", endpointList{})))
	defer end()
	for !successor.router.Ready() || old.router.peers.count() == 0 {
	}
	old.stop()
	for !old.router.clients.isDraining.Load() {
	}
	leaving.disconnect("reset")
	eventually(t, l, "the end of the waiting request", func() bool { return l.unanswered["b"] == nil })
	fetch.open()
	if got := staying.nextAnswer(); got != "VA 5 Oa fresh" {
		t.Errorf("the other client got %q", got)
	}
	if err := receive(t, old.done, "end of the old process"); err != nil {
		t.Error(err)
	}
	if len(s.received) != 1 || len(o.received) > 0 { // one request: the read that missed
		t.Errorf("requests were sent: %q", append(receivedSoFar(s.received), receivedSoFar(o.received)...))
	}
}

// Guards against awaitDisconnect looping forever: it must return when this side closes the
// connection, and must not report an expired read deadline as a disconnect.
func TestAwaitDisconnectReturnsWhenConnectionIsClosed(t *testing.T) {
	ln := listenLocal(t)
	client := dialClient(t, ln.Addr().String())
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	none := 0
	c.SetReadDeadline(expiredDeadline)
	if awaitDisconnect(c, &none) {
		t.Error("an expired deadline was reported as a disconnect")
	}
	c.SetReadDeadline(time.Time{})
	ended := make(chan bool, 1)
	go func() { ended <- awaitDisconnect(c, &none) }()
	c.Close()
	if !receive(t, ended, "the end of the wait") {
		t.Error("the close was not reported")
	}
	if !awaitDisconnect(c, &none) {
		t.Error("a closed connection was not reported")
	}
	client.Close()
}

// When a client disconnects, its attempt is canceled if the settings allow it. Otherwise the
// attempt runs to its end, which is not reported to any client and is not a timeout, and its
// connection is reused.
func TestDisconnectCancelsAttemptIfAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", allowed), func(t *testing.T) {
			t.Parallel()
			answer := newGate(t)
			s, o := startFakeServer(t, hitAnswer), startFakeServer(t,
				func(line string) string { <-answer.opened; return originAnswer(line) })
			d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", s.addr), originEntry(o.addr)))
			cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
			cfg.settings.Config.CancelAllowed = allowed
			r := startRouter(t, cfg)
			for c := dialClient(t, r.addr); c.exchange("mn") != "MN"; {
			}
			c := dialClient(t, r.addr)
			c.send(billCommandOf("a1", 60000) + "\r\n") // the Balancer cancels only reads on its own
			receive(t, o.received, "request")
			c.Close()
			eventually(t, r.router.loop, "the end of the request",
				func() bool { return len(r.router.loop.unanswered) == 0 })
			if !allowed {
				if len(o.peerCloses) > 0 {
					t.Error("the attempt was canceled")
				}
				answer.open()
				eventually(t, r.router.loop, "the end of the attempt",
					func() bool { return len(r.router.loop.requests) == 0 })
				if kept := idleConns(r.router.upstreams, originTarget(r.router.loop)); len(kept) != 1 ||
					o.connCount.Load() != 1 {
					t.Errorf("%d of %d connections kept", len(kept), o.connCount.Load())
				}
				return
			}
			answer.open()
			receive(t, o.peerCloses, "end of the attempt's connection")
		})
	}
}
