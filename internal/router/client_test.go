package router

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against clients that hold connections without sending requests. A connection without a
// complete command is closed in time, even if part of a command was sent. A connection with an open
// request stays.
func TestSilentConnectionsAreClosed(t *testing.T) {
	release := make(chan struct{})
	o := startFakeServer(t, func(line string) string { <-release; return originAnswer(line) })
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, missAnswer).addr), originEntry(o.addr))
	startedAt := time.Now()
	busy := dialClient(t, r.addr)
	busy.send(billCommandOf("slow", 8000) + "\r\n")
	receive(t, o.received, "write")
	close(release)
	for name, text := range map[string]string{"silent": "", "half a command": "mg 7f3a",
		"half a value": "ms k 60000 Oa1 Pc=put,d=900,k=1\r\nabc"} {
		c := dialClient(t, r.addr)
		c.send(text)
		if got := c.nextAnswer(); got != "EOF" {
			t.Errorf("%s: got %q", name, got)
		}
		if took := time.Since(startedAt); took > firstCommandTimeout*3+time.Second {
			t.Errorf("%s: closed after %v", name, took)
		}
	}
	if got := busy.nextAnswer(); got != "HD Oslow c5c0f" {
		t.Errorf("got %q", got)
	}
}

// Guards against silent clients that use up all descriptors: idle connections are evicted, other
// clients get theirs, and no connection with an open request is closed.
func TestSilentConnectionsAreEvictedForNewClients(t *testing.T) {
	release := make(chan struct{})
	s := startFakeServer(t, func(line string) string {
		if strings.Contains(line, "Oslow ") {
			<-release
		}
		return hitAnswer(line)
	})
	_, addr := startLoop(t, 192, 8, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	busy := dialClient(t, addr)
	busy.send(readCommandOf("slow", 2000) + "\r\n")
	receive(t, s.received, "request")
	for i := range 40 {
		dialClient(t, addr).send("mg half")
		if i%10 == 0 {
			if got := dialClient(t, addr).exchange(readCommandOf(fmt.Sprint(i), 2000)); !strings.HasPrefix(got, "VA ") {
				t.Errorf("a client among silent clients got %q", got)
			}
		}
	}
	close(release)
	if got := busy.nextAnswer(); got != "VA 5 Oslow hello" {
		t.Errorf("the client with an open request got %q", got)
	}
}

// Guards against losing a request whose client takes long for its head, because many others come, ask
// once and keep their connections.
func TestConnectionIsNotEvictedWhileItsCommandIsReceived(t *testing.T) {
	s := startFakeServer(t, hitAnswer)
	_, addr := startLoop(t, 192, 8, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	slow := dialClient(t, addr)
	slow.exchange(readCommandOf("first", 2000))
	request := readCommandOf("slow", 2000) + "\r\n"
	slow.send(request[:20])
	for i := range 12 {
		c := dialClient(t, addr)
		if got := c.exchange(readCommandOf(fmt.Sprint(i), 2000)); !strings.HasPrefix(got, "VA ") {
			t.Errorf("client %d got %q", i, got)
		}
		time.Sleep(lingerAfterAnswer + 20*time.Millisecond) // evicted connections have been idle for longer
	}
	slow.send(request[20:])
	if got := slow.nextAnswer(); got != "VA 5 Oslow hello" {
		t.Errorf("got %q", got)
	}
}

// A few unknown commands are answered with an error, then the connection is closed.
func TestConnectionIsClosedAfterUnknownCommands(t *testing.T) {
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, hitAnswer).addr),
		originEntry(startFakeServer(t, originAnswer).addr))
	c := dialClient(t, r.addr)
	c.send(strings.Repeat("version\r\n", 10*maxUnknownCommands))
	for range maxUnknownCommands {
		if got := c.nextAnswer(); got != "ERROR" {
			t.Errorf("got %q", got)
		}
	}
	if got := c.nextAnswer(); got != "EOF" {
		t.Errorf("after the errors: got %q", got)
	}
}

// Guards against clients that send one request and then keep their connections. Such connections
// hold at most half of the descriptors: when another client sends a request, the one idle for
// longest is evicted, long before its idle timeout.
func TestUsedIdleConnectionsHoldAtMostHalfTheDescriptors(t *testing.T) {
	s := startFakeServer(t, hitAnswer)
	_, addr := startLoop(t, 192, 8, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
	startedAt := time.Now()
	var conns []*client
	for i := range 5 {
		c := dialClient(t, addr)
		c.exchange(readCommandOf(fmt.Sprint("a", i), 2000))
		conns = append(conns, c)
		time.Sleep(lingerAfterAnswer + 20*time.Millisecond) // idle times must differ
	}
	if got := conns[0].nextAnswer(); got != "EOF" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(startedAt); took > idleTimeout {
		t.Errorf("closed by timeout after %v", took)
	}
	if got := conns[4].exchange(readCommandOf("b", 2000)); got != "VA 5 Ob hello" {
		t.Errorf("the last connection got %q", got)
	}
}

func TestAnswersAreWrittenInCommandOrder(t *testing.T) {
	first := make(chan struct{})
	s := startFakeServer(t, func(line string) string {
		if strings.Contains(line, "a1 ") {
			<-first
		}
		return originAnswer(line)
	})
	releaseFirst := sync.OnceFunc(func() { close(first) })
	t.Cleanup(releaseFirst)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, hitAnswer).addr), originEntry(s.addr))
	c := dialClient(t, r.addr)
	// Writes, whose answers are short: nothing is forwarded behind a read before its answer is known.
	c.send(billCommandOf("a1", 5000) + "\r\n" + billCommandOf("a2", 5000) + "\r\nversion\r\n")
	receive(t, s.received, "request")
	receive(t, s.received, "second request, on another connection")
	releaseFirst()
	for _, want := range []string{"HD Oa1 c5c0f", "HD Oa2 c5c0f", "ERROR"} {
		if got := c.nextAnswer(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if s.connCount.Load() != 2 {
		t.Errorf("%d connections carried two requests at once, want 2", s.connCount.Load())
	}
}

// With more clients than descriptors, idle connections are evicted and all clients are served.
func TestIdleConnectionsAreEvictedAtDescriptorLimit(t *testing.T) {
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, hitAnswer).addr),
		originEntry(startFakeServer(t, originAnswer).addr))
	for i := range 300 {
		if got := dialClient(t, r.addr).exchange(readCommandOf(fmt.Sprint(i), 5000)); got !=
			fmt.Sprintf("VA 5 O%d hello", i) {
			t.Fatalf("client %d got %q", i, got)
		}
	}
}
