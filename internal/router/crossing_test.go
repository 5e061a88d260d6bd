package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/admission"
	"dockhinge.example/dockhinge/internal/metrics"
)

// Two events that cross: each test holds one of them at a hook or in a peer until the other has come.

// until awaits a state that only the loop can see.
func until(t testing.TB, l *loop, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		var yes bool
		look(l, func() { yes = holds() })
		if yes {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", wait, what)
		}
	}
}

// goes leaves as a client does that closes, or whose process dies.
func (c *client) goes(how string) {
	if how == "reset" {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// gate is something that waits until it is let go.
type gate struct {
	ch  chan struct{}
	let func()
}

func newGate(t testing.TB) gate {
	ch := make(chan struct{})
	g := gate{ch, sync.OnceFunc(func() { close(ch) })}
	t.Cleanup(g.let)
	return g
}

// key is a read of a key of its own, as read is of the same one always.
func key(key int, id string, d int) string {
	return fmt.Sprintf("mg %016x v O%s Pc=read,t=t,d=%d", key, id, d)
}

// A request that waits is not sent on once its client has left, wherever it waits. What it waits for here is a fetch of its
// key by another client; the cache server then has it, and would be asked.
func TestRequestOfAClientThatLeftIsNotSentOn(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		for _, c := range []struct {
			where string
			send  func(t *testing.T, l *loop, s *clients, c *client)
		}{
			{"alone", func(t *testing.T, l *loop, s *clients, c *client) { c.send(key(1, "w0", 60000) + "\r\n") }},
			{"in a full pipeline", func(t *testing.T, l *loop, s *clients, c *client) {
				for i := range maxPipelined + 4 { // the last ones stay unread
					c.send(key(1, fmt.Sprint("w", i), 60000) + "\r\n")
				}
				until(t, l, "a full pipeline", func() bool { return len(l.unanswered) == maxPipelined+1 })
			}},
			{"in a full pipeline with more behind it than is read", func(t *testing.T, l *loop, s *clients, c *client) {
				for i := range maxPipelined {
					c.send(key(1, fmt.Sprint("w", i), 60000) + "\r\n")
				}
				until(t, l, "a full pipeline", func() bool { return len(l.unanswered) == maxPipelined+1 })
				c.send(strings.Repeat("mn\r\n", 2*maxLineBytes/4))
			}},
			{"turned away", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(key(1, "w0", 60000) + "\r\nmg what\r\nand more")
				until(t, l, "the answer behind it", func() bool { return l.answerBytes.used.Load() > 0 })
			}},
			{"turned away with much to send", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(key(1, "w0", 60000) + "\r\nmg what\r\n" + strings.Repeat("more", lingerBytes/8))
				until(t, l, "the answer behind it", func() bool { return l.answerBytes.used.Load() > 0 })
			}},
			{"half a command behind it", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(key(1, "w0", 60000) + "\r\nmg 00")
				until(t, l, "its arrival", func() bool { return len(l.unanswered) == 2 })
			}},
			{"draining", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(key(1, "w0", 60000) + "\r\n")
				until(t, l, "its arrival", func() bool { return len(l.unanswered) == 2 })
				s.startDrain()
			}},
			{"draining with input unread", func(t *testing.T, l *loop, s *clients, c *client) {
				c.send(key(1, "w0", 60000) + "\r\n")
				until(t, l, "its arrival", func() bool { return len(l.unanswered) == 2 })
				s.startDrain()
				c.send("mg 00")
			}},
		} {
			t.Run(c.where+" "+how, func(t *testing.T) {
				t.Parallel()
				fetch := newGate(t)
				s := startFake(t, once("EN O{id} h0\r\n", hit))
				o := startFake(t, func(line string) string { <-fetch.ch; return originOK(line) })
				l, clients, addr := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
				first := dial(t, addr)
				first.send(key(1, "f", 60000) + "\r\n")
				next(t, s.seen, "the read that misses")
				next(t, o.seen, "its fetch")
				waits := dial(t, addr)
				c.send(t, l, clients, waits)
				until(t, l, "the request that waits", func() bool { return l.unanswered["w0"] != nil })
				waits.goes(how)
				until(t, l, "the end of what waited", func() bool { return len(l.unanswered) == 1 })
				fetch.let()
				if got := first.line(); got != "VA 5 Of fresh" {
					t.Errorf("the one that fetched got %q", got)
				}
				until(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
				if len(s.seen)+len(o.seen) > 0 {
					t.Errorf("sent on: %q", append(drained(s.seen), drained(o.seen)...))
				}
				until(t, l, "no bytes of answers counted", func() bool { return l.answerBytes.used.Load() == 0 }) // a write gives them back after it
			})
		}
	}
}

// A client that closes right behind a whole command has disconnected before the command is acted on: nothing is sent for it.
func TestCommandWithTheClientsEndBehindItIsNotSentOn(t *testing.T) {
	for _, command := range []string{key(1, "w0", 60000) + "\r\n", "ms 7f3a9c21e0b4d655 3 Ow0 Pc=put,t=t,d=60000,k=7\r\nabc\r\n"} {
		t.Run(command[:2], func(t *testing.T) {
			t.Parallel()
			s, o := startFake(t, hit), startFake(t, originOK)
			cfg := longLived(testConfig(t, "127.0.0.1:1", endpointList{}))
			cfg.settings.Config.HealthChecks = false
			l, clients, addr := partsUnder(t, cfg, 40, box("s-0000000b", s.addr), originAt(o.addr))
			c := dial(t, addr)
			busy := newGate(t)
			until(t, l, "the list", func() bool { return len(l.targets) == 2 })
			l.post(func() { <-busy.ch }) // the loop acts on the command once the end is there
			c.send(command)
			c.goes("close")
			for ended := false; !ended; { // as the system knows it, or the router
				clients.mu.Lock()
				ended = true
				for conn := range clients.conns {
					ended = ended && conn.disconnected()
				}
				clients.mu.Unlock()
			}
			busy.let()
			until(t, l, "the end of the command", func() bool { return l.lastID == 1 && len(l.requests) == 0 })
			if len(s.seen)+len(o.seen) > 0 {
				t.Errorf("sent on: %q", append(drained(s.seen), drained(o.seen)...))
			}
		})
	}
}

func drained(ch chan string) (all []string) {
	for len(ch) > 0 {
		all = append(all, <-ch)
	}
	return all
}

// partsOf is parts with the clients too.
func partsOf(t *testing.T, memoryMB int64, places int, entries ...listEntry) (*loop, *clients, string) {
	t.Helper()
	cfg := longLived(testConfig(t, "127.0.0.1:1", endpointList{}))
	cfg.Limits.MemoryMB = memoryMB
	return partsUnder(t, cfg, places, entries...)
}

// partsUnder is the same with settings of its own.
func partsUnder(t *testing.T, cfg *Config, places int, entries ...listEntry) (*loop, *clients, string) {
	t.Helper()
	l, err := newLoop(cfg, newUpstreams(10*time.Second, time.Second, 100), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	ln := listenLocal(t)
	s := newClients(l, ln, places)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); l.run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	s.wg.Go(s.accept)
	l.post(func() { l.updateEndpoints(0, full(entries...)) })
	return l, s, ln.Addr().String()
}

// The same while the connection that it waits for comes up: here the dial is held until the client has left.
func TestRequestWhoseConnectionComesUpLateIsNotSentOn(t *testing.T) {
	for _, how := range []string{"close", "reset"} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprint(how, " loop busy ", busy), func(t *testing.T) {
				t.Parallel()
				s, up := startFake(t, hit), newGate(t)
				dialing := make(chan struct{}, 10)
				l, _, addr := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(s.addr))
				l.upstreams.holdDials(dialing, up)
				c := dial(t, addr)
				c.send(key(1, "w0", 60000) + "\r\n")
				next(t, dialing, "a dial")
				if busy { // the connection comes up before the loop can hear of the client's end
					held := newGate(t)
					l.post(func() { <-held.ch })
					c.goes(how)
					up.let()
					next(t, s.connected, "the connection")
					held.let()
				} else {
					c.goes(how)
					until(t, l, "the end of the request", func() bool { return len(l.unanswered) == 0 })
					up.let()
				}
				until(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
				if len(s.seen) > 0 {
					t.Errorf("sent on: %q", drained(s.seen))
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
			s := startFake(t, func(string) string { <-cut.ch; return "close" })
			o := startFake(t, originOK)
			l, _, addr := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
			c := dial(t, addr)
			c.send(key(1, "w0", 60000) + "\r\n")
			next(t, s.seen, "the first attempt")
			held := newGate(t)
			l.post(func() { <-held.ch }) // the loop hears of both only afterwards
			cut.let()
			next(t, s.closed, "the break")
			c.goes(how)
			held.let()
			until(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
			if len(s.seen)+len(o.seen) > 0 {
				t.Errorf("sent again: %q", append(drained(s.seen), drained(o.seen)...))
			}
		})
	}
}

// holdDials has each dial tell and wait.
func (u *upstreams) holdDials(dialing chan<- struct{}, up gate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer.Timeout = wait
	u.dialer.Control = func(string, string, syscall.RawConn) error {
		dialing <- struct{}{}
		<-up.ch
		return nil
	}
}

// A server that begins to drain, is gone, moves, or is left out by hand while a connection to it comes up gets nothing over
// it: the drain's grace may be over by then. The request goes elsewhere.
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
			l, _, addr := partsOf(t, 192, 40, e, originAt(o.addr))
			l.upstreams.holdDials(dialing, up)
			c := dial(t, addr)
			c.send(key(1, "w0", 60000) + "\r\n")
			next(t, dialing, "a dial")
			look(l, func() { news(l, e, originAt(o.addr)) })
			until(t, l, "the attempt called off", func() bool { r := l.unanswered["w0"]; return r == nil || r.attempts[0].isDone })
			up.let()
			c.line() // whatever the module makes of it
			until(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
			if len(s.seen) > 0 {
				t.Errorf("sent to it: %q", drained(s.seen))
			}
		})
	}
}

// What a client sends on a connection that stays open after SIGTERM is answered, and the end of the connection destroys no
// answer though half a command stands behind it.
func TestCommandBehindAnOpenOneIsAnsweredWhileDraining(t *testing.T) {
	fetch := newGate(t)
	s := startFake(t, miss)
	o := startFake(t, func(line string) string { <-fetch.ch; return originOK(line) })
	l, clients, addr := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
	c := dial(t, addr)
	c.send(key(1, "a", 60000) + "\r\n")
	next(t, o.seen, "the fetch")
	clients.startDrain()
	time.Sleep(20 * time.Millisecond) // it isn't there yet when the connection begins to drain
	c.send(key(2, "b", 60000) + "\r\n")
	until(t, l, "the command behind it", func() bool { return l.unanswered["b"] != nil })
	c.send("mg 00")
	fetch.let()
	for _, want := range []string{"VA 5 Oa fresh", "VA 5 Ob fresh", "EOF"} {
		if got := c.line(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	clients.ends(t)
}

// All that is open has its answer before the process ends, whatever its class allows and though no server answers; so has
// what comes after that.
func TestAllIsAnsweredBeforeTheEnd(t *testing.T) {
	silent := startFake(t, func(string) string { return "" })
	l, clients, addr := partsOf(t, 192, 40, box("s-0000000b", silent.addr), originAt(silent.addr))
	var open []*client
	for i, command := range []string{key(1, "r", 60000) + "\r\n", bill("b", 60000) + "\r\n", "ms 7f3a9c21e0b4d655 3 Ok Pc=put,t=t,d=60000,k=7\r\nabc\r\n"} {
		c := dial(t, addr)
		c.send(command)
		until(t, l, "its arrival", func() bool { return len(l.unanswered) == i+1 })
		open = append(open, c)
	}
	busy := dial(t, addr)
	busy.send(key(2, "c", 60000) + "\r\n")
	until(t, l, "its arrival", func() bool { return len(l.unanswered) == len(open)+1 })
	clients.startDrain()
	look(l, func() { l.answerAllBy(l.now() + 100) })
	busy.send(key(3, "d", 60000) + "\r\n")
	for _, c := range append(open, busy, busy) {
		if got := c.line(); !strings.HasPrefix(got, "SERVER_ERROR") {
			t.Errorf("got %q", got)
		}
	}
	clients.ends(t)
	until(t, l, "the end of all", func() bool { return len(l.unanswered) == 0 })
}

// Connections that stand in the listener's queue when no more are taken are served all the same.
func TestConnectionsInTheListenersQueueAreTaken(t *testing.T) {
	s := startFake(t, hit)
	l, _, _ := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(s.addr))
	ln := listenLocal(t)
	late := newClients(l, ln, 10)
	var queued []*client
	for i := range 3 {
		c := dial(t, ln.Addr().String())
		c.send(key(1, fmt.Sprint("q", i), 60000) + "\r\n")
		queued = append(queued, c)
	}
	ln.(*net.TCPListener).SetDeadline(expiredDeadline) // as for one that gets no processor before the time is up
	late.wg.Go(late.accept)
	<-late.acceptDone
	late.acceptQueued()
	ln.Close()
	late.drain(t.Context(), t.Context())
	for i, c := range queued {
		if got := c.line(); got != fmt.Sprintf("VA 5 Oq%d hello", i) {
			t.Errorf("got %q", got)
		}
	}
}

// cutOff is a listener whose connections' second read comes to the end of its time once it is let go.
type cutOff struct {
	net.Listener
	at  chan<- *cutOffConn
	let gate
}

type cutOffConn struct {
	*net.TCPConn
	from  cutOff
	reads atomic.Int32
}

func (l cutOff) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutOffConn{TCPConn: c.(*net.TCPConn), from: l}, nil
}

func (c *cutOffConn) Read(b []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		c.from.at <- c
		<-c.from.let.ch
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

// A command of which the last part has come when its connection has to give way is taken.
func TestCommandThatCrossesItsConnectionsEndIsTaken(t *testing.T) {
	s := startFake(t, hit)
	l, _, _ := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(s.addr))
	at, let := make(chan *cutOffConn, 10), newGate(t)
	clients := newClients(l, cutOff{listenLocal(t), at, let}, 10)
	clients.wg.Go(clients.accept)
	c := dial(t, clients.listener.Addr().String())
	c.send(key(1, "a", 60000)[:9])
	nc := next(t, at, "a read behind the first part")
	clients.mu.Lock()
	for conn := range clients.conns {
		conn.mu.Lock() // as drop does, with the rest coming meanwhile
		conn.isDraining, conn.commandDeadline = true, time.Now().Add(time.Hour)
		conn.mu.Unlock()
	}
	clients.mu.Unlock()
	c.send(key(1, "a", 60000)[9:] + "\r\n")
	for !hasInput(nc) {
	}
	let.let()
	if got := c.line(); got != "VA 5 Oa hello" {
		t.Errorf("got %q", got)
	}
	if got := c.line(); got != "EOF" {
		t.Errorf("then %q", got)
	}
	c.Close()
	clients.ends(t)
}

// Where an answer can't be written, what stands behind it ends too: requests that are open, and answers that are counted.
func TestWhatStandsBehindABrokenAnswerEnds(t *testing.T) {
	first, second := newGate(t), newGate(t)
	s := startFake(t, miss)
	o := startFake(t, func(line string) string {
		if strings.Contains(line, fmt.Sprintf("%016x", 1)) {
			<-first.ch
		} else {
			<-second.ch
		}
		return originOK(line)
	})
	l, clients, addr := partsOf(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
	c := dial(t, addr)
	for i := range 2 {
		c.send(key(1+i, fmt.Sprint("a", i), 60000) + "\r\n")
		next(t, o.seen, "a fetch")
	}
	c.send(strings.Repeat("mn\r\n", maxPipelined-2))
	until(t, l, "answers behind both", func() bool { return l.answerBytes.used.Load() >= int64(len("MN\r\n"))*(maxPipelined-2) })
	var conn *clientConn
	clients.mu.Lock()
	for conn = range clients.conns {
	}
	clients.mu.Unlock()
	conn.Conn.(*net.TCPConn).CloseWrite() // no write succeeds from now on, and the reader, which waits for room, isn't told
	first.let()
	until(t, l, "the end of both, and no bytes counted", func() bool { return l.answerBytes.used.Load() == 0 && len(l.unanswered) == 0 })
	second.let()
	clients.ends(t)
}

// A command that comes when its connection is about to be closed destroys no answer: the close would be a reset.
func TestCommandThatCrossesTheCloseDestroysNoAnswer(t *testing.T) {
	ln := listenLocal(t)
	client := dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &clientConn{Conn: nc, reader: bufio.NewReader(nc), unwritable: make(chan struct{})}
	client.send(key(1, "late", 60000) + "\r\n")
	for !hasInput(nc) {
	}
	io.WriteString(nc, "HD Oa c5c0f\r\n")
	ended := make(chan struct{})
	go func() { defer close(ended); c.closeAfterAnswers(false) }()
	if got := client.line(); got != "HD Oa c5c0f" {
		t.Errorf("got %q", got)
	}
	if _, err := client.r.ReadByte(); err != io.EOF {
		t.Errorf("then %v", err)
	}
	client.Close()
	next(t, ended, "end")
}

// A server may close a kept connection just when a request is written to it. That request may have run: what must not be
// repeated fails, once.
func TestCloseThatCrossesAWriteIsAReset(t *testing.T) {
	shut := newGate(t)
	var armed atomic.Bool
	o := startFake(t, func(line string) string {
		if armed.Load() {
			<-shut.ch
			return "close"
		}
		return originOK(line)
	})
	u := testUpstreams(t, 10*time.Second, 10)
	target := u.add(o.addr, true)
	if got := u.roundTrip(t.Context(), target, putCommand(), always); got.status != decide.OK {
		t.Fatalf("got %v", got.status)
	}
	armed.Store(true)
	time.Sleep(originIdleMinimum) // which the kept one rests
	on := always
	on.afterWrite = shut.let // it is written whole, and the server, which has it, says nothing
	if got := u.roundTrip(t.Context(), target, putCommand(), on); got.status != decide.Reset {
		t.Errorf("got %v, want a reset", got.status)
	}
	if o.conns.Load() != 1 || len(o.seen) != 2 {
		t.Errorf("%d connections, %d requests", o.conns.Load(), len(o.seen))
	}
}

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
	u.roundTrip(t.Context(), target, getCommand(), attemptHooks{false, func() timeoutHint { return 0 }, nothing, nowhere})
	if kept := idle(u, target); len(kept) != 2 || kept[0] != old || !kept[0].idleSince.Equal(was) {
		t.Errorf("it counts as new: %v", kept)
	}
	// What can't be repeated goes over the one that was used last.
	if got, err := u.acquire(t.Context(), target, true); err != nil || got != fresh {
		t.Errorf("got %v, %v", got, err)
	} else {
		u.releaseUnused(target, got)
	}
}

// A watch of a discovery that is asked may fall silent at any point. Once its wait is over it is opened anew, over another
// connection and without being asked to, however long the module would have waited after a failure.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for name, says := range map[string]string{"from the start": "", "in the headers": "HTTP/1.1 200 OK\r\nContent-",
		"before the body": "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n",
		"in the body":     "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":2,",
		"in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n{\"version\":2,"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var from sync.Map
			var calls atomic.Int32
			hold := newGate(t)
			d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); n {
				case 1:
					io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
				case 2:
					from.Store(r.RemoteAddr, true)
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					t.Cleanup(func() { c.Close() })
					io.WriteString(c, says)
				case 3:
					if _, same := from.Load(r.RemoteAddr); same || r.URL.Query().Get("after") != "1" {
						t.Errorf("call %s from %s", r.URL, r.RemoteAddr)
					}
					io.WriteString(w, "{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": []\n}\n")
				default:
					<-hold.ch
				}
			}))
			t.Cleanup(d.Close)
			t.Cleanup(hold.let)
			told := make(chan int64, 10)
			disc := newDiscovery(d.Listener.Addr().String(), true, 1, func(l endpointList) { told <- l.Version }, func() { t.Error("a failure was told of") })
			disc.timing.watchWait, disc.timing.watchSlack = 50*time.Millisecond, 50*time.Millisecond
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); disc.run(ctx) }()
			disc.requestWatch()
			for _, want := range []int64{1, 2} {
				if got := next(t, told, "list"); got != want {
					t.Errorf("version %d, want %d", got, want)
				}
			}
			stop()
			<-ended
		})
	}
}

// What is no list counts for nothing and is named.
func TestWhatIsNoListIsTurnedDown(t *testing.T) {
	for says, want := range map[string]string{
		`{}`: "without version", `null`: "without version", `[]`: "cannot unmarshal", `{"version":2,"full":true}`: "without servers",
		`{"version":2,"full":true,"servers":null}`: "without servers", `{"version":2,"full":false,"servers":[`: "unexpected",
		`{"version":2,"full":true,"servers":[]}` + strings.Repeat(" ", maxListBytes): "over 2097152 bytes",
	} {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, says) }))
		ctx, stop := context.WithCancel(t.Context())
		disc := newDiscovery(d.Listener.Addr().String(), false, 1, func(l endpointList) { t.Errorf("%.60s was taken for %+v", says, l); stop() }, nothing)
		if _, err := disc.followList(ctx); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: got %v", says, err)
		}
		stop()
		disc.client.CloseIdleConnections()
		d.Close()
	}
}

// The first call after a failure waits for changes for a short time only, so that a discovery that still says nothing is
// found out. Back-off, wait and slack together stay under the time after which a change counts as told.
func TestFirstWatchAfterAFailureIsShort(t *testing.T) {
	const toldWithin = 6 * time.Second
	if sum := decide.MaxBackOffMillis*time.Millisecond + sharedTiming.watchWaitAfterFailure + sharedTiming.watchSlack; sum > toldWithin {
		t.Errorf("asked: news comes %v after a failure at most", sum)
	}
	if sharedTiming.maxBackoff > decide.MaxBackOffMillis*time.Millisecond {
		t.Errorf("asked: the pause of %v is longer than the back-off that it runs beside", sharedTiming.maxBackoff)
	}
	if sum := agentTiming.maxBackoff + agentTiming.watchWaitAfterFailure + agentTiming.watchSlack; sum > toldWithin {
		t.Errorf("pushed: news comes %v after a failure at most", sum)
	}
	waits := make(chan string, 10)
	var calls atomic.Int32
	hold := newGate(t)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waits <- r.URL.Query().Get("wait_ms")
		switch calls.Add(1) {
		case 1:
			io.WriteString(w, `{"version":1,"full":true,"servers":[]}`)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			io.WriteString(w, `{"version":2,"full":false,"servers":[]}`)
		default:
			<-hold.ch
		}
	}))
	t.Cleanup(d.Close)
	t.Cleanup(hold.let)
	ctx, stop := context.WithCancel(t.Context())
	var disc *discovery
	disc = newDiscovery(d.Listener.Addr().String(), true, 350, func(endpointList) {}, func() { disc.requestWatch() })
	disc.timing.maxBackoff = 2
	ended := make(chan struct{})
	go func() { defer close(ended); disc.run(ctx) }()
	disc.requestWatch()
	long, short := fmt.Sprint(disc.timing.watchWait.Milliseconds()), fmt.Sprint(disc.timing.watchWaitAfterFailure.Milliseconds())
	for i, want := range []string{"", long, short, long} {
		if got := next(t, waits, "call"); got != want {
			t.Errorf("call %d waits %q ms, want %q", i, got, want)
		}
	}
	stop()
	<-ended
}

// A call that was asked for before a failure is not made up for after it: the module asks again, spread, when it knows.
func TestCallAskedForBeforeAFailureIsNotMade(t *testing.T) {
	var calls atomic.Int32
	arrived, fail := make(chan struct{}, 10), newGate(t)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		arrived <- struct{}{}
		<-fail.ch
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(d.Close)
	t.Cleanup(fail.let)
	broke := make(chan struct{}, 10)
	disc := newDiscovery(d.Listener.Addr().String(), true, 1, func(endpointList) {}, func() { broke <- struct{}{} })
	disc.timing.maxBackoff = 2
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); disc.run(ctx) }()
	disc.requestWatch()
	next(t, arrived, "call")
	disc.requestWatch() // the module has waited long for an answer
	fail.let()
	next(t, broke, "failure")
	disc.requestWatch()
	next(t, broke, "failure of the call after it")
	stop()
	<-ended
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls for one before the failure and one after it", n)
	}
}

// An agent that is back has news that counts as told at once: it is called again within a fraction of a drain's grace.
func TestAgentIsCalledAgainSoon(t *testing.T) {
	d := newDiscovery("127.0.0.1:1", false, 300, nil, nil)
	for range 100 {
		if p := d.backoff(false); p > 100*time.Millisecond {
			t.Fatalf("pause of %v", p)
		}
	}
	if _, err := d.get(t.Context(), d.url, time.Second); err == nil || errors.Is(err, errSilentWatch) {
		t.Errorf("got %v", err)
	}
}

// onePlaceAdmission admits one request at a time.
func onePlaceAdmission() *AdmissionConfig {
	return &AdmissionConfig{
		Rules: admission.Config{OthersWeight: 1, Flows: 8, Buckets: 2, RehashMillis: 10000, QueueLimit: 2, ReservationLimit: 8, MaxWaitMillis: 1e6, MaxRetryAfterMillis: 1500,
			InitialLimit: 1, MinLimit: 1, MaxLimit: 1, RetryBudgetShare: 1, RetryBudgetBurst: 10},
		Tenants: admission.TenantRules{{Source: admission.TenantFromClient}},
	}
}

// atTheDoor starts a router with admission and one place behind it. The first client's request has that place and gets its
// answer once that is let go; the second one's, b, waits at the door. settings are those of the router, to be changed.
func atTheDoor(t *testing.T) (r *running, s *fake, answer gate, first, second *client, settings *Config) {
	t.Helper()
	answer = newGate(t)
	s = startFake(t, func(line string) string { <-answer.ch; return hit(line) })
	t.Cleanup(answer.let) // before the fake waits for what it has started
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(s.addr)))
	cfg := longLived(testConfig(t, d.Listener.Addr().String(), endpointList{}))
	cfg.Admission = onePlaceAdmission()
	cfg.settings.Config.HealthChecks = false
	for i := range cfg.settings.Config.Classes {
		cfg.settings.Config.Classes[i].LatencyObjectiveMillis = 500 // the door expects a request to take so long
	}
	r = start(t, cfg)
	for c := dial(t, r.addr); c.ask("mn") != "MN"; {
	}
	first, second = dial(t, r.addr), dial(t, r.addr)
	first.send(key(1, "a", 60000) + "\r\n")
	next(t, s.seen, "the first, which takes the one place")
	second.send(key(2, "b", 60000) + "\r\n")
	until(t, r.router.loop, "the second at the door", func() bool { return r.router.loop.admission.admission.State(0).Waiting == 1 })
	return r, s, answer, first, second, cfg
}

// The same behind the door of admission, on a connection that drains.
func TestRequestThatWaitsAtTheDoorIsNotSentOnForAClientThatLeft(t *testing.T) {
	r, s, answer, first, second, _ := atTheDoor(t)
	l := r.router.loop
	r.router.clients.startDrain()
	second.Close()
	until(t, l, "the end of the second", func() bool { return l.unanswered["b"] == nil })
	answer.let()
	if got := first.line(); got != "VA 5 Oa hello" {
		t.Errorf("the first got %q", got)
	}
	until(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
	if len(s.seen) > 0 {
		t.Errorf("sent on: %q", drained(s.seen))
	}
}

// In an upgrade the old process drains at once, as the new one takes its connections: what waits there for a client that
// leaves then is not sent on either, and what it has taken is answered.
func TestOldProcessOfAnUpgradeSendsNothingForAClientThatLeft(t *testing.T) {
	fetch := newGate(t)
	s := startFake(t, once("EN O{id} h0\r\n", hit))
	o := startFake(t, func(line string) string { <-fetch.ch; return originOK(line) })
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
	old := start(t, longLived(testConfig(t, d.Listener.Addr().String(), endpointList{})))
	stays, leaves := dial(t, old.addr), dial(t, old.addr)
	for stays.ask("mn") != "MN" || leaves.ask("mn") != "MN" {
	}
	l := old.router.loop
	stays.send(key(1, "a", 60000) + "\r\n")
	next(t, o.seen, "the fetch")
	leaves.send(key(1, "b", 60000) + "\r\n")
	until(t, l, "the one that waits", func() bool { return l.unanswered["b"] != nil })
	young, end := succeeded(t, old, longLived(testConfig(t, "127.0.0.1:1", endpointList{})))
	defer end()
	for !young.router.Ready() || old.router.peers.count() == 0 {
	}
	old.stop()
	for !old.router.clients.isDraining.Load() {
	}
	leaves.goes("reset")
	until(t, l, "its end", func() bool { return l.unanswered["b"] == nil })
	fetch.let()
	if got := stays.line(); got != "VA 5 Oa fresh" {
		t.Errorf("the one that stays got %q", got)
	}
	if err := next(t, old.done, "end of the old one"); err != nil {
		t.Error(err)
	}
	if len(s.seen) != 1 || len(o.seen) > 0 { // the read that missed
		t.Errorf("sent on: %q", append(drained(s.seen), drained(o.seen)...))
	}
}

// ends has all that a client's connection has started end.
func (s *clients) ends(t *testing.T) {
	t.Helper()
	s.listener.Close()
	done := make(chan struct{})
	go func() { defer close(done); s.drain(context.Background(), context.Background()) }()
	next(t, done, "end of all connections")
}

// longLived has nothing end by time.
func longLived(cfg *Config) *Config {
	for i := range cfg.settings.Config.Classes {
		c := &cfg.settings.Config.Classes[i]
		c.LatencyObjectiveMillis, c.DeadlineMillis, c.IdempotencyWindowMillis = 30000, 60000, 60000
	}
	return cfg
}

// slowClose is a connection whose close tells and waits.
type slowClose struct {
	*net.TCPConn
	closing chan<- struct{}
	let     gate
}

func (c slowClose) Close() error {
	c.closing <- struct{}{}
	<-c.let.ch
	return c.TCPConn.Close()
}

// An attempt that is given up is out until its connection is closed: the next one is not written before that, as two at once
// are one too many.
func TestNextAttemptWaitsForTheCloseOfTheOneBefore(t *testing.T) {
	for _, how := range []string{"cancel", "time-out"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			answer := once("", hit) // whichever is asked first says nothing
			a, b := startFake(t, answer), startFake(t, answer)
			l, _, addr := partsOf(t, 192, 40, box("s-0000000b", a.addr), box("s-0000000c", b.addr), originAt("127.0.0.1:1"))
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
			look(l, func() {
				for _, t := range l.targets {
					if !t.isOrigin {
						keep(t)
					}
				}
			})
			c := dial(t, addr)
			c.send(key(1, "w0", 60000) + "\r\n")
			select {
			case <-a.seen:
			case <-b.seen:
			case <-time.After(wait):
				t.Fatal("no attempt")
			}
			look(l, func() {
				if r := l.unanswered["w0"]; how == "cancel" {
					l.Cancel(r.id, 0)
				} else {
					l.timeOut(r.attempts[0])
				}
			})
			next(t, closing, "the close of the first one's connection")
			look(l, func() {
				if r := l.unanswered["w0"]; r == nil || len(r.attempts) != 1 || r.attemptsOut != 1 {
					t.Errorf("went on before it was closed: %+v", r)
				}
			})
			let.let()
			if got := c.line(); got != "VA 5 Ow0 hello" {
				t.Errorf("got %q", got)
			}
		})
	}
}

// A repeat that the module makes within its effect's window is not written after it, though its connection takes so long.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			t.Parallel()
			cut, up := newGate(t), newGate(t)
			dialing := make(chan struct{}, 10)
			ends := once("close", hit)
			answer := func(line string) string { <-cut.ch; return ends(line) }
			a, b := startFake(t, answer), startFake(t, answer)
			cfg := longLived(testConfig(t, "127.0.0.1:1", endpointList{}))
			for i := range cfg.settings.Config.Classes {
				if k := &cfg.settings.Config.Classes[i]; k.Name == "read" {
					k.Effect, k.IdempotencyScope, k.IdempotencyWindowMillis = decide.IdempotentByKey, "all", 2000
				}
			}
			l, _, addr := partsUnder(t, cfg, 40, box("s-0000000b", a.addr), box("s-0000000c", b.addr), originAt("127.0.0.1:1"))
			c := dial(t, addr)
			c.send(key(1, "w0", 60000) + ",k=7\r\n")
			select {
			case <-a.seen:
			case <-b.seen:
			case <-time.After(wait):
				t.Fatal("no attempt")
			}
			l.upstreams.holdDials(dialing, up)
			var began float64
			look(l, func() { began = l.unanswered["w0"].attempts[0].startedAt })
			cut.let() // it may have run
			next(t, dialing, "the dial of a repeat")
			if late {
				until(t, l, "the end of the window", func() bool { return l.now() > began+2000 })
			}
			up.let()
			got := c.line()
			until(t, l, "the end of all", func() bool { return len(l.requests) == 0 })
			if n := len(a.seen) + len(b.seen); late && (n > 0 || !strings.HasPrefix(got, "SERVER_ERROR")) || !late && got != "VA 5 Ow0 hello" {
				t.Errorf("got %q, written again %d times", got, n)
			}
		})
	}
}

// A client that always has something open would keep its connection from ever being idle. Before the process ends, no further
// command is taken from it, so none is unanswered when it does.
func TestConnectionThatIsNeverIdleEndsBeforeTheProcess(t *testing.T) {
	silent := startFake(t, func(string) string { return "" })
	l, clients, addr := partsOf(t, 192, 40, box("s-0000000b", silent.addr), originAt(silent.addr))
	c := dial(t, addr)
	c.send(key(1, "a", 60000) + "\r\n")
	until(t, l, "its arrival", func() bool { return len(l.unanswered) == 1 })
	noMore, cancel := context.WithCancel(t.Context())
	drained := make(chan struct{})
	go func() { defer close(drained); clients.drain(noMore, t.Context()) }()
	c.send(key(2, "b", 60000) + "\r\n")
	until(t, l, "what comes while it drains", func() bool { return len(l.unanswered) == 2 })
	cancel()
	until(t, l, "the end of its reading", func() bool {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		for conn := range clients.conns {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.isWatchingForDisconnect
		}
		return false
	})
	c.send(key(3, "c", 60000) + "\r\n")
	look(l, func() { l.answerAllBy(l.now()) })
	for _, want := range []string{"SERVER_ERROR", "SERVER_ERROR", "EOF"} {
		if got := c.line(); !strings.HasPrefix(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	c.Close()
	clients.listener.Close()
	next(t, drained, "the end of all connections")
	until(t, l, "the end of all", func() bool { return len(l.unanswered) == 0 })
}

// shut is a connection that tells how it is shut.
type shut struct {
	*net.TCPConn
	how chan<- string
}

func (c shut) CloseWrite() error { c.how <- "end of the answers"; return c.TCPConn.CloseWrite() }
func (c shut) Close() error      { c.how <- "close"; return c.TCPConn.Close() }

// A close that a command is on its way to would be a reset too, and might overtake the answer before it.
func TestAnswerThatHasJustGoneOutArrivesBeforeTheClose(t *testing.T) {
	for name, at := range map[string]time.Duration{"just answered": time.Hour, "answered long ago": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := listenLocal(t)
			client := dial(t, ln.Addr().String())
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			how := make(chan string, 10)
			c := &clientConn{Conn: shut{nc.(*net.TCPConn), how}, reader: bufio.NewReader(nc), unwritable: make(chan struct{}), lastAnswerAt: time.Now().Add(at)}
			ended := make(chan struct{})
			go func() { defer close(ended); c.closeAfterAnswers(false) }()
			if got := client.line(); got != "EOF" {
				t.Errorf("got %q", got)
			}
			if at > 0 {
				if got := next(t, how, "shutdown"); got != "end of the answers" {
					t.Errorf("first %q", got)
				}
				client.send(key(1, "late", 60000) + "\r\n")
				for range 2 { // it is not read as a command, and does not reset
					client.send("mn\r\n")
				}
				client.Close()
			}
			if got := next(t, how, "shutdown"); got != "close" {
				t.Errorf("then %q", got)
			}
			next(t, ended, "end")
		})
	}
}

// A request that waits at the door keeps the rules that it came under, though its class is dropped meanwhile.
func TestRequestAtTheDoorOutlivesItsClass(t *testing.T) {
	r, _, answer, first, second, cfg := atTheDoor(t)
	l := r.router.loop
	dropped := longLived(retuned(t, cfg, `"name":"read"`, `"name":"fetch"`))
	dropped.Admission = cfg.Admission
	dropped.settings.Config.HealthChecks = false
	r.updates <- dropped
	until(t, l, "the new settings", func() bool { return l.rules.Load().classes["fetch"] != nil })
	answer.let()
	for i, c := range []*client{first, second} {
		if got, want := c.line(), "VA 5 O"+string("ab"[i])+" hello"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A list that discovery has told the old process, and that its loop has not come to when the state is handed over, reaches
// the new one all the same.
func TestListThatCrossesTheHandOverReachesTheNewProcess(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", s.addr), originAt(o.addr)))
	old := start(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	for c := dial(t, old.addr); c.ask("mn") != "MN"; {
	}
	l, held := old.router.loop, newGate(t)
	running := make(chan struct{})
	l.post(func() { close(running); <-held.ch })
	next(t, running, "the loop")
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
		held.let()
	}()
	young, end := succeeded(t, old, testConfig(t, "127.0.0.1:1", endpointList{}))
	defer end()
	next(t, asked, "the call for the state")
	until(t, young.router.loop, "the list", func() bool { return young.router.loop.entries["s-0000000b"].State == "leaving" })
}

// Whoever waits for a client to leave learns that this side has closed the connection: else it would look again without end.
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
	if !next(t, ended, "the end of the wait") {
		t.Error("the close was not seen")
	}
	if !awaitDisconnect(c, &none) {
		t.Error("a closed connection was not seen")
	}
	client.Close()
}
