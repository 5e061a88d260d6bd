package router

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// A command sent on a draining connection that is still open is answered. Closing the connection
// destroys no answer, even if part of another command was received.
func TestCommandBehindAnOpenOneIsAnsweredWhileDraining(t *testing.T) {
	fetch := newGate(t)
	s := startFake(t, miss)
	o := startFake(t, func(line string) string { <-fetch.opened; return originOK(line) })
	l, clients, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(o.addr))
	c := dial(t, addr)
	c.send(readOf(1, "a", 60000) + "\r\n")
	receive(t, o.seen, "the fetch")
	clients.startDrain()
	time.Sleep(20 * time.Millisecond) // the command must arrive after the drain has begun
	c.send(readOf(2, "b", 60000) + "\r\n")
	eventually(t, l, "the second command", func() bool { return l.unanswered["b"] != nil })
	c.send("mg 00")
	fetch.open()
	for _, want := range []string{"VA 5 Oa fresh", "VA 5 Ob fresh", "EOF"} {
		if got := c.line(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	clients.awaitEnd(t)
}

// Guards against requests without an answer when the process exits: all open requests, whatever
// their deadlines, and those that arrive later are answered, even if no server answers.
func TestAllIsAnsweredBeforeTheEnd(t *testing.T) {
	silent := startFake(t, func(string) string { return "" })
	l, clients, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", silent.addr), originAt(silent.addr))
	var open []*client
	for i, command := range []string{readOf(1, "r", 60000) + "\r\n", billCommandOf("b", 60000) + "\r\n",
		"ms 7f3a9c21e0b4d655 3 Ok Pc=put,t=t,d=60000,k=7\r\nabc\r\n"} {
		c := dial(t, addr)
		c.send(command)
		eventually(t, l, "the request", func() bool { return len(l.unanswered) == i+1 })
		open = append(open, c)
	}
	busy := dial(t, addr)
	busy.send(readOf(2, "c", 60000) + "\r\n")
	eventually(t, l, "the request", func() bool { return len(l.unanswered) == len(open)+1 })
	clients.startDrain()
	onLoop(l, func() { l.answerAllBy(l.now() + 100) })
	busy.send(readOf(3, "d", 60000) + "\r\n")
	for _, c := range append(open, busy, busy) {
		if got := c.line(); !strings.HasPrefix(got, "SERVER_ERROR") {
			t.Errorf("got %q", got)
		}
	}
	clients.awaitEnd(t)
	eventually(t, l, "the end of all requests", func() bool { return len(l.unanswered) == 0 })
}

// Guards against resetting connections that are in the listener's queue when accepting ends.
func TestConnectionsInTheListenersQueueAreTaken(t *testing.T) {
	s := startFake(t, hit)
	l, _, _ := startLoopAndClients(t, 192, 40, box("s-0000000b", s.addr), originAt(s.addr))
	ln := listenLocal(t)
	late := newClients(l, ln, 10)
	var queued []*client
	for i := range 3 {
		c := dial(t, ln.Addr().String())
		c.send(readOf(1, fmt.Sprint("q", i), 60000) + "\r\n")
		queued = append(queued, c)
	}
	ln.(*net.TCPListener).SetDeadline(expiredDeadline) // as for a process that gets no CPU time before the deadline
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

// Guards against a connection that is never idle because its client always has an open request.
// Before the process exits, no further command is accepted on it, so none is left unanswered.
func TestConnectionThatIsNeverIdleEndsBeforeTheProcess(t *testing.T) {
	silent := startFake(t, func(string) string { return "" })
	l, clients, addr := startLoopAndClients(t, 192, 40, box("s-0000000b", silent.addr), originAt(silent.addr))
	c := dial(t, addr)
	c.send(readOf(1, "a", 60000) + "\r\n")
	eventually(t, l, "the first request", func() bool { return len(l.unanswered) == 1 })
	noMore, cancel := context.WithCancel(t.Context())
	drained := make(chan struct{})
	go func() { defer close(drained); clients.drain(noMore, t.Context()) }()
	c.send(readOf(2, "b", 60000) + "\r\n")
	eventually(t, l, "the request sent during the drain", func() bool { return len(l.unanswered) == 2 })
	cancel()
	eventually(t, l, "the end of reading", func() bool {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		for conn := range clients.conns {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			return conn.isWatchingForDisconnect
		}
		return false
	})
	c.send(readOf(3, "c", 60000) + "\r\n")
	onLoop(l, func() { l.answerAllBy(l.now()) })
	for _, want := range []string{"SERVER_ERROR", "SERVER_ERROR", "EOF"} {
		if got := c.line(); !strings.HasPrefix(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	c.Close()
	clients.listener.Close()
	receive(t, drained, "the end of all connections")
	eventually(t, l, "the end of all requests", func() bool { return len(l.unanswered) == 0 })
}

// At a planned restart, new connections are accepted for a while, and accepted requests are
// answered before the exit.
func TestStopAnswersWhatWasTaken(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, hit)
	o := startFake(t, func(line string) string {
		<-release
		return originOK(line)
	})
	releaseFetch := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseFetch)
	r, _ := serving(t, box("s-0000000b", s.addr), originAt(o.addr))
	idle, busy := dial(t, r.addr), dial(t, r.addr)
	busy.send(billCommandOf("slow", 8000) + "\r\n") // a write, which the Balancer never cancels early
	receive(t, o.seen, "write")
	r.stop()
	time.Sleep(300 * time.Millisecond) // clients still connect for up to 0.4 s
	late := dial(t, r.addr)
	if got := late.ask(readCommandOf("late", 2000)); got != "VA 5 Olate hello" {
		t.Errorf("a late client got %q", got)
	}
	if got := idle.line(); got != "EOF" {
		t.Errorf("an idle connection got %q", got)
	}
	releaseFetch()
	if got := busy.line(); got != "HD Oslow c5c0f" {
		t.Errorf("got %q", got)
	}
	if got := busy.line(); got != "EOF" {
		t.Errorf("after the answer: got %q", got)
	}
	if err := receive(t, r.done, "end"); err != nil {
		t.Error(err)
	}
}
