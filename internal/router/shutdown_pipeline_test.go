package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// withDeadline sets the deadline of all classes.
func withDeadline(cfg *Config, millis float64) *Config {
	for i := range cfg.settings.Config.Classes {
		c := &cfg.settings.Config.Classes[i]
		c.LatencyObjectiveMillis = millis / 2
		c.DeadlineMillis = millis
	}
	return cfg
}

// startRouterWithDeadline starts a router whose classes have the given deadline, and waits until it
// is ready.
func startRouterWithDeadline(t *testing.T, millis float64, entries ...listEntry) *runningRouter {
	t.Helper()
	d := startFakeDiscovery(t, completeList(entries...))
	r := startRouter(t, withDeadline(testConfig(t, d.Listener.Addr().String(), endpointList{}), millis))
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	return r
}

// pipelineOf returns reads of different keys, to be sent at once.
func pipelineOf(commands int) string {
	var text strings.Builder
	for n := range commands {
		text.WriteString(readCommandOfKey(n, fmt.Sprint("p", n), 60000) + "\r\n")
	}
	return text.String()
}

// Guards against requests that are never answered because their router ends: a connection has 16
// unanswered commands at most, and those behind them, which wait in the connection's buffer and in
// the socket's, were dropped once all answers were due.
func TestPipelinedCommandsAreAnsweredBeforeExit(t *testing.T) {
	for _, commands := range []int{maxPipelined + 1, 41, 400} {
		t.Run(fmt.Sprint(commands), func(t *testing.T) {
			t.Parallel()
			silent := startFakeServer(t, func(string) string { return "" })
			r := startRouterWithDeadline(t, 10000, cacheEntry("s-0000000b", silent.addr), originEntry(silent.addr))
			c := dialClient(t, r.addr)
			for n := range commands {
				c.send(billCommandOf(fmt.Sprint("b", n), 60000) + "\r\n")
			}
			receive(t, silent.received, "the first request")
			r.stop()
			for n := range commands {
				if got := c.nextAnswer(); !strings.HasPrefix(got, "SERVER_ERROR") {
					t.Fatalf("command %d: got %q", n, got)
				}
			}
			if got := c.nextAnswer(); got != "EOF" {
				t.Errorf("after the answers: got %q", got)
			}
			receive(t, r.done, "the router's end")
		})
	}
}

// startSlowValueServer starts a cache server that answers a connection's first request with a value
// of the given length, the first half at once and the rest when the gate is opened.
func startSlowValueServer(t *testing.T, valueBytes int, rest gate) (addr string) {
	t.Helper()
	return serveConns(t, func(c net.Conn) { serveSlowValue(c, valueBytes, rest) })
}

func serveSlowValue(c net.Conn, valueBytes int, rest gate) {
	line := make([]byte, maxLineBytes)
	n, err := c.Read(line)
	if err != nil {
		return
	}
	half := strings.Repeat("v", valueBytes/2)
	fmt.Fprintf(c, "VA %d O%s h1\r\n%s", valueBytes, requestIDOf(string(line[:n])), half)
	<-rest.opened
	io.WriteString(c, half+"\r\n")
	io.Copy(io.Discard, c)
}

// Guards against requests that are never answered because an earlier command of their connection
// asked for a value that is still being written when all answers are due.
func TestCommandsBehindSlowValueAreAnsweredBeforeExit(t *testing.T) {
	const (
		valueBytes = 256 << 10
		commands   = 400
	)
	rest := newGate(t)
	r := startRouterWithDeadline(t, 400, cacheEntry("s-0000000b", startSlowValueServer(t, valueBytes, rest)),
		originEntry("127.0.0.1:1"))
	l := r.router.loop
	c := dialClient(t, r.addr)
	c.send(pipelineOf(commands))
	head, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(head, fmt.Sprintf("VA %d ", valueBytes)) {
		t.Fatalf("got %q, %v", head, err)
	}
	r.stop()
	eventually(t, l, "the time by which all answers are due", func() bool { return l.now() > l.answerDeadline.load() })
	time.Sleep(100 * time.Millisecond) // what ends at that time has ended
	rest.open()
	if _, err := io.CopyN(io.Discard, c.r, int64(valueBytes+len("\r\n"))); err != nil {
		t.Fatalf("the value: %v", err)
	}
	for n := 1; n < commands; n++ {
		got := c.nextAnswer()
		isServed := strings.HasPrefix(got, "VA ") // one of the first sixteen
		if !isServed && !strings.HasPrefix(got, "SERVER_ERROR") {
			t.Fatalf("command %d: got %.40q", n, got)
		}
	}
	receive(t, r.done, "the router's end")
}

// Guards against a command whose last bytes are in transit when its router ends reading, and whose
// client then waits for an answer in vain. It was never forwarded, so it is rejected.
func TestIncompleteCommandIsRejectedAtExit(t *testing.T) {
	for _, part := range []string{"mg 00", "ms 7f3a9c21e0b4d655 3 Ow Pc=bill,t=t,d=60000\r\na"} {
		t.Run(part[:2], func(t *testing.T) {
			s := startFakeServer(t, hitAnswer)
			_, clients, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
			c := dialClient(t, addr)
			if got := c.exchange(readCommandOfKey(1, "a", 60000)); got != "VA 5 Oa hello" {
				t.Fatalf("got %q", got)
			}
			c.send(part)
			awaitPartialCommand(t, clients)
			inputEnd, cancel := context.WithCancel(t.Context())
			drained := make(chan struct{})
			go func() { defer close(drained); clients.drain(inputEnd, t.Context()) }()
			cancel()
			if got := c.nextAnswer(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
				t.Errorf("got %q", got)
			}
			c.Close()
			clients.listener.Close()
			receive(t, drained, "the end of all connections")
		})
	}
}

// awaitPartialCommand waits until a connection has received a command in part.
func awaitPartialCommand(t *testing.T, s *clients) {
	t.Helper()
	eventually(t, s.loop, "the command's beginning", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			isReading := c.isReadingCommand && c.hasSentCommand
			c.mu.Unlock()
			if isReading {
				return true
			}
		}
		return false
	})
}
