package router

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// startLateValueServer starts a server that gives the head of a long answer at once and its value
// after a delay; a negative delay means never. It counts the connections that are closed before the
// value is complete.
func startLateValueServer(t *testing.T, isOrigin bool, n int, delay time.Duration) (addr string, cutOff chan struct{}) {
	cutOff = make(chan struct{}, 100)
	return serveConns(t, func(c net.Conn) {
		request := make([]byte, maxLineBytes)
		read, err := c.Read(request)
		if err != nil {
			return
		}
		id := requestIDOf(strings.ReplaceAll(string(request[:read]), "\r\n", " "))
		head, end := fmt.Sprintf("VA %d O%s h1\r\n", n, id), "\r\n"
		if isOrigin {
			head, end = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n), ""
		}
		fmt.Fprint(c, head)
		if delay >= 0 {
			c.SetReadDeadline(time.Now().Add(delay))
		}
		if _, err := c.Read(request); err != nil && !strings.Contains(err.Error(), "timeout") {
			cutOff <- struct{}{}
			return
		}
		fmt.Fprint(c, strings.Repeat("v", n)+end)
		c.SetReadDeadline(time.Time{})
		c.Read(request) // until the router closes it
	}), cutOff
}

// Guards against cutting off a sound answer: a server whose long value came later than a quarter of a
// second after its head had its connection closed, and the client was rejected although it waited.
func TestLateLongValueIsAwaitedAsLongAsItsClientWaits(t *testing.T) {
	const n = 210114
	for name, c := range map[string]struct{ isOrigin, mayCancel bool }{
		"cache server":                           {},
		"cache server, attempts may be canceled": {mayCancel: true},
		"origin":                                 {isOrigin: true},
		"origin, attempts may be canceled":       {isOrigin: true, mayCancel: true},
	} {
		for _, delay := range []time.Duration{100, 300, 600, 1000} { // ms; the client waits 1.5 s
			t.Run(fmt.Sprint(name, ", ", int(delay), " ms"), func(t *testing.T) {
				t.Parallel()
				late, cutOff := startLateValueServer(t, c.isOrigin, n, delay*time.Millisecond)
				cache, origin := late, startFakeServer(t, originAnswer).addr
				if c.isOrigin {
					cache, origin = startFakeServer(t, missAnswer).addr, late
				}
				client := dialClient(t, startCancelingRouter(t, c.mayCancel, cache, origin).addr)
				client.send(readCommandOfKey(1, "a", 1500) + "\r\n")
				if _, hasEnd := client.readStreamed(t, "a", n); !hasEnd {
					t.Error("the value is incomplete")
				}
				if len(cutOff) > 0 {
					t.Error("a server was cut off")
				}
			})
		}
	}
}

// startCancelingRouter starts a router whose settings tell whether attempts may be canceled, and waits
// until it is ready.
func startCancelingRouter(t *testing.T, mayCancel bool, cache, origin string) *runningRouter {
	t.Helper()
	d := startFakeDiscovery(t, completeList(cacheEntry("s-0000000b", cache), originEntry(origin)))
	cfg := testConfig(t, d.Listener.Addr().String(), endpointList{})
	cfg.settings.Config.CancelAllowed = mayCancel
	r := startRouter(t, cfg)
	c := dialClient(t, r.addr)
	for c.exchange("mn") != "MN" {
	}
	return r
}

// A server that gives the head of a long answer and never its value costs the client no more than its
// own time: it gets a final answer then.
func TestClientIsAnsweredInTimeIfLongValueNeverComes(t *testing.T) {
	for _, mayCancel := range []bool{false, true} {
		t.Run(fmt.Sprint("attempts may be canceled: ", mayCancel), func(t *testing.T) {
			t.Parallel()
			late, cutOff := startLateValueServer(t, false, 210114, -1)
			r := startCancelingRouter(t, mayCancel, late, startFakeServer(t, originAnswer).addr)
			c := dialClient(t, r.addr)
			if got := c.exchange(readCommandOfKey(1, "a", 700)); got == "EOF" {
				t.Errorf("got %q", got)
			}
			receive(t, cutOff, "the end of the attempt")
		})
	}
}

// Guards against attempts that go on after their client has left: a server that has given only the
// head of a long answer is canceled then.
func TestLateLongValueIsCanceledIfClientDisconnects(t *testing.T) {
	late, cutOff := startLateValueServer(t, false, 210114, -1)
	r := startCancelingRouter(t, true, late, startFakeServer(t, originAnswer).addr)
	c := dialClient(t, r.addr)
	c.send(readCommandOfKey(1, "a", 60000) + "\r\n")
	time.Sleep(100 * time.Millisecond)
	c.disconnect("close")
	receive(t, cutOff, "the end of the attempt")
}

// startRestingServer starts a server that gives a long answer up to its middle, and the rest after a
// while. It reports on cutOff that its connection was closed in between.
func startRestingServer(
	t *testing.T, isOrigin bool, value string, rest time.Duration,
) (addr string, cutOff chan struct{}) {
	cutOff = make(chan struct{}, 10)
	return serveConns(t, func(c net.Conn) {
		request := make([]byte, maxLineBytes)
		read, err := c.Read(request)
		if err != nil {
			return
		}
		id := requestIDOf(strings.ReplaceAll(string(request[:read]), "\r\n", " "))
		head, end := fmt.Sprintf("VA %d O%s h1\r\n", len(value), id), "\r\n"
		if isOrigin {
			head, end = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(value)), ""
		}
		fmt.Fprint(c, head, value[:len(value)/2])
		c.SetReadDeadline(time.Now().Add(rest))
		if _, err := c.Read(request); err != nil && !strings.Contains(err.Error(), "timeout") {
			cutOff <- struct{}{}
			return
		}
		fmt.Fprint(c, value[len(value)/2:], end)
		c.SetReadDeadline(time.Time{})
		c.Read(request) // until the router closes it
	}), cutOff
}

// Guards against cutting off a long value whose server is cut off for some seconds in its middle.
func TestLongValueIsCompleteThoughItsServerRests(t *testing.T) {
	value := distinctValue(300 << 10)
	for name, isOrigin := range map[string]bool{"cache server": false, "origin": true} {
		for _, rest := range []time.Duration{3 * time.Second, 5 * time.Second, 6500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", ", rest), func(t *testing.T) {
				t.Parallel()
				resting, _ := startRestingServer(t, isOrigin, value, rest)
				cache, origin := resting, startFakeServer(t, originAnswer).addr
				if isOrigin {
					cache, origin = startFakeServer(t, missAnswer).addr, resting
				}
				client := dialClient(t, startCancelingRouter(t, true, cache, origin).addr)
				client.SetDeadline(time.Now().Add(2 * testTimeout))
				client.send(readCommandOfKey(1, "a", 1500) + "\r\n")
				if got, hasEnd := client.readStreamed(t, "a", len(value)); !hasEnd || got != value {
					t.Errorf("%d bytes of the value, end: %t", len(got), hasEnd)
				}
			})
		}
	}
}

// Guards against a server connection that is held for a client that has left.
func TestRestingServerIsNotAwaitedForDisconnectedClient(t *testing.T) {
	resting, cutOff := startRestingServer(t, false, distinctValue(300<<10), time.Hour)
	r := startCancelingRouter(t, true, resting, startFakeServer(t, originAnswer).addr)
	c := dialClient(t, r.addr)
	c.send(readCommandOfKey(1, "a", 1500) + "\r\n")
	c.Read(make([]byte, 1))
	c.disconnect("reset")
	receive(t, cutOff, "the end of the server's connection")
}
