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
func TestPipelinedCommandIsAnsweredWhileDraining(t *testing.T) {
	fetch := newGate(t)
	s := startFakeServer(t, missAnswer)
	o := startFakeServer(t, func(line string) string { <-fetch.opened; return originAnswer(line) })
	l, clients, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	c := dialClient(t, addr)
	c.send(billCommandOf("a", 60000) + "\r\n") // a write: behind a read the command would wait
	receive(t, o.received, "the write")
	clients.startDrain()
	time.Sleep(20 * time.Millisecond) // the command must arrive after the drain has begun
	c.send(readCommandOfKey(2, "b", 60000) + "\r\n")
	eventually(t, l, "the second command", func() bool { return l.unanswered["b"] != nil })
	c.send("mg 00")
	fetch.open()
	for _, want := range []string{"HD Oa c5c0f", "VA 5 Ob fresh", "EOF"} {
		if got := c.nextAnswer(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	clients.closeAndAwaitEnd(t)
}

// Guards against requests without an answer when the process exits: all open requests, whatever
// their deadlines, and those that arrive later are answered, even if no server answers.
func TestAllRequestsAreAnsweredBeforeExit(t *testing.T) {
	silent := startFakeServer(t, func(string) string { return "" })
	l, clients, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	var open []*client
	for i, command := range []string{readCommandOfKey(1, "r", 60000) + "\r\n", billCommandOf("b", 60000) + "\r\n",
		"ms 7f3a9c21e0b4d655 3 Ok Pc=put,t=t,d=60000,k=7\r\nabc\r\n"} {
		c := dialClient(t, addr)
		c.send(command)
		eventually(t, l, "the request", func() bool { return len(l.unanswered) == i+1 })
		open = append(open, c)
	}
	busy := dialClient(t, addr)
	busy.send(readCommandOfKey(2, "c", 60000) + "\r\n")
	eventually(t, l, "the request", func() bool { return len(l.unanswered) == len(open)+1 })
	clients.startDrain()
	onLoop(l, func() { l.answerAllBy(l.now() + 100) })
	busy.send(readCommandOfKey(3, "d", 60000) + "\r\n")
	for _, c := range append(open, busy, busy) {
		if got := c.nextAnswer(); !strings.HasPrefix(got, "SERVER_ERROR") {
			t.Errorf("got %q", got)
		}
	}
	clients.closeAndAwaitEnd(t)
	eventually(t, l, "the end of all requests", func() bool { return len(l.unanswered) == 0 })
}

// Guards against resetting connections that are in the listener's queue when accepting ends.
func TestQueuedConnectionsAreAcceptedAtShutdown(t *testing.T) {
	s := startFakeServer(t, hitAnswer)
	l, _, _ := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	ln := listenLocal(t)
	late := newClients(l, ln, 10)
	var queued []*client
	for i := range 3 {
		c := dialClient(t, ln.Addr().String())
		c.send(readCommandOfKey(1, fmt.Sprint("q", i), 60000) + "\r\n")
		queued = append(queued, c)
	}
	ln.(*net.TCPListener).SetDeadline(expiredDeadline) // as for a process that gets no CPU time before the deadline
	late.wg.Go(late.accept)
	<-late.acceptDone
	late.acceptQueued()
	ln.Close()
	late.drain(t.Context(), t.Context())
	for i, c := range queued {
		if got := c.nextAnswer(); got != fmt.Sprintf("VA 5 Oq%d hello", i) {
			t.Errorf("got %q", got)
		}
	}
}

// Guards against a connection that is never idle because its client always has an open request.
// Before the process exits, no further command is accepted on it, so none is left unanswered.
func TestBusyConnectionIsClosedBeforeExit(t *testing.T) {
	silent := startFakeServer(t, func(string) string { return "" })
	l, clients, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
	c := dialClient(t, addr)
	c.send(billCommandOf("a", 60000) + "\r\n") // a write: behind a read the next command would wait
	eventually(t, l, "the first request", func() bool { return len(l.unanswered) == 1 })
	noMore, cancel := context.WithCancel(t.Context())
	drained := make(chan struct{})
	go func() { defer close(drained); clients.drain(noMore, t.Context()) }()
	c.send(readCommandOfKey(2, "b", 60000) + "\r\n")
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
	c.send(readCommandOfKey(3, "c", 60000) + "\r\n")
	onLoop(l, func() { l.answerAllBy(l.now()) })
	for _, want := range []string{"SERVER_ERROR", "SERVER_ERROR", "EOF"} {
		if got := c.nextAnswer(); !strings.HasPrefix(got, want) {
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
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	s := startFakeServer(t, hitAnswer)
	o := startFakeServer(t, func(line string) string {
		<-release
		return originAnswer(line)
	})
	releaseFetch := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseFetch)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
	idle, busy := dialClient(t, r.addr), dialClient(t, r.addr)
	busy.send(billCommandOf("slow", 8000) + "\r\n") // a write, which the Balancer never cancels early
	receive(t, o.received, "write")
	r.stop()
	time.Sleep(300 * time.Millisecond) // clients still connect for up to 0.4 s
	late := dialClient(t, r.addr)
	if got := late.exchange(readCommandOf("late", 2000)); got != "VA 5 Olate hello" {
		t.Errorf("a late client got %q", got)
	}
	if got := idle.nextAnswer(); got != "EOF" {
		t.Errorf("an idle connection got %q", got)
	}
	releaseFetch()
	if got := busy.nextAnswer(); got != "HD Oslow c5c0f" {
		t.Errorf("got %q", got)
	}
	if got := busy.nextAnswer(); got != "EOF" {
		t.Errorf("after the answer: got %q", got)
	}
	if err := receive(t, r.done, "end"); err != nil {
		t.Error(err)
	}
}
