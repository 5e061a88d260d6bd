package router

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// brokenValueServer serves values of which it gives a part, after a delay, and then does as told.
type brokenValueServer struct {
	addr string
	// received has the ids of the requests that it received.
	received chan string
}

// valueBreak is the way in which a server gives a long value.
type valueBreak struct {
	isOrigin bool
	// headDelay is how long the head takes, and breakDelay how long after that the value breaks off.
	headDelay, breakDelay time.Duration
	// isSilent is set if the server keeps the connection open and sends nothing more.
	isSilent bool
	// given is how much of the value is given.
	given int
}

const brokenValueBytes = 300 << 10

// start starts a server that breaks off all values.
func (b valueBreak) start(t *testing.T) *brokenValueServer {
	t.Helper()
	s := &brokenValueServer{received: make(chan string, 1000)}
	end := newGate(t)
	s.addr = serveConns(t, func(c net.Conn) {
		line := make([]byte, maxLineBytes)
		n, err := c.Read(line)
		if err != nil {
			return
		}
		id := requestIDOf(strings.ReplaceAll(string(line[:n]), "\r\n", " "))
		s.received <- id
		time.Sleep(b.headDelay)
		head := fmt.Sprintf("VA %d O%s h1\r\n", brokenValueBytes, id)
		if b.isOrigin {
			head = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", brokenValueBytes)
		}
		if _, err := fmt.Fprint(c, head, strings.Repeat("v", b.given)); err != nil {
			return
		}
		time.Sleep(b.breakDelay)
		if b.isSilent {
			<-end.opened
		}
		c.(*net.TCPConn).SetLinger(0)
	})
	return s
}

// Guards against commands that are carried out and never answered: they were forwarded behind a read
// whose long value then broke off, which ends the connection.
func TestNothingIsForwardedBehindValueThatBreaksOff(t *testing.T) {
	for name, b := range map[string]valueBreak{
		"at once":                     {given: 100 << 10},
		"within the first part":       {given: 1},
		"late":                        {given: 100 << 10, breakDelay: 300 * time.Millisecond},
		"late head":                   {given: 100 << 10, headDelay: 200 * time.Millisecond},
		"before the last byte":        {given: brokenValueBytes - 1, breakDelay: 50 * time.Millisecond},
		"silent server":               {given: 100 << 10, isSilent: true},
		"origin":                      {isOrigin: true, given: 100 << 10, breakDelay: 100 * time.Millisecond},
		"silent origin":               {isOrigin: true, given: 100 << 10, isSilent: true},
		"origin, before the last one": {isOrigin: true, given: brokenValueBytes - 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken := b.start(t)
			other := startFakeServer(t, func(line string) string {
				if strings.HasPrefix(line, "mg") {
					return missAnswer(line)
				}
				return originAnswer(line)
			})
			cache, origin := broken.addr, other.addr
			if b.isOrigin {
				cache, origin = other.addr, broken.addr
			}
			_, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", cache), originEntry(origin))
			c := dialClient(t, addr)
			c.SetDeadline(time.Now().Add(2 * testTimeout))
			c.send(readCommandOf("long", 60000) + "\r\n" + billCommandOf("write", 60000) + "\r\n" +
				readCommandOfKey(1, "read", 60000) + "\r\nmn\r\n")
			if _, hasEnd := c.readStreamed(t, "long", brokenValueBytes); hasEnd {
				t.Error("the value appears to be complete")
			}
			if got := c.nextAnswer(); got != "EOF" {
				t.Errorf("behind the value: got %q", got)
			}
			time.Sleep(50 * time.Millisecond)
			forwarded := strings.Join(append(receivedSoFar(broken.received), receivedSoFar(other.received)...), "; ")
			if strings.Contains(forwarded, "write") || strings.Contains(forwarded, "read ") {
				t.Errorf("forwarded and not answered: %s", forwarded)
			}
		})
	}
}

// Guards against commands that are carried out and never answered: the connection of a client that
// stops reading in the middle of a long value, or whose process ends then, is cut off.
func TestNothingIsForwardedBehindValueThatClientDoesNotTake(t *testing.T) {
	for name, end := range map[string]func(c *client, s *clients){
		"reset": func(c *client, _ *clients) { c.disconnect("reset") },
		"end of the shutdown": func(_ *client, s *clients) {
			end, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			s.listener.Close()
			s.drain(end, end)
		},
	} {
		t.Run(name, func(t *testing.T) {
			const n = 3 << 20
			s := startFakeServer(t, func(line string) string {
				return fmt.Sprintf("VA %d O{id} h1\r\n%s\r\n", n, strings.Repeat("v", n))
			})
			o := startFakeServer(t, originAnswer)
			l, _, _ := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(o.addr))
			clients := newClients(l, smallBufferListener{listenLocal(t)}, 10)
			clients.wg.Go(clients.accept)
			c := dialSlowReader(t, clients.listener.Addr().String())
			c.send(readCommandOf("long", 60000) + "\r\n" + billCommandOf("write", 60000) + "\r\n")
			receive(t, s.received, "the read")
			time.Sleep(100 * time.Millisecond)
			end(c, clients)
			eventually(t, l, "the end of the read", func() bool { return len(l.unanswered) == 0 })
			time.Sleep(50 * time.Millisecond)
			if got := receivedSoFar(o.received); len(got) > 0 {
				t.Errorf("forwarded and not answered: %q", got)
			}
		})
	}
}

// Commands behind reads are answered in order, and the time that they wait for the ones before does
// not count.
func TestTimeBehindOpenReadsDoesNotCount(t *testing.T) {
	const (
		commands = 40
		work     = 20 * time.Millisecond
		deadline = 300 // ms; far less than all reads take one after the other
	)
	s := startFakeServer(t, func(line string) string { time.Sleep(work); return hitAnswer(line) })
	l, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr),
		originEntry(startFakeServer(t, originAnswer).addr))
	onLoop(l, func() {})
	c := dialClient(t, addr)
	var text strings.Builder
	for n := range commands {
		text.WriteString(readCommandOfKey(n, fmt.Sprint("p", n), deadline) + "\r\n")
	}
	c.send(text.String())
	for n := range commands {
		if got, want := c.nextAnswer(), fmt.Sprintf("VA 5 Op%d hello", n); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
