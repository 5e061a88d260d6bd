package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// distinctValue returns a value of n bytes in which every part differs.
func distinctValue(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:n]
}

// readStreamed reads a streamed answer and reports whether the value's line end followed.
func (c *client) readStreamed(t *testing.T, id string, n int) (value string, hasEnd bool) {
	t.Helper()
	want := fmt.Sprintf("VA %d O%s\r\n", n, id)
	head := make([]byte, len(want))
	if _, err := io.ReadFull(c.r, head); err != nil || string(head) != want {
		t.Fatalf("got %q, %v, want %q", head, err, want)
	}
	b := make([]byte, n+2)
	m, err := io.ReadFull(c.r, b)
	return string(b[:min(m, n)]), err == nil && string(b[n:]) == "\r\n"
}

func TestLargeValuesAreStreamed(t *testing.T) {
	const n = 3 << 20
	value := distinctValue(n)
	a, o := startFakeServer(t, func(line string) string {
		if requestIDOf(line)[0] == 'o' {
			return "EN O{id} h0\r\n"
		}
		return fmt.Sprintf("VA %d O{id} h1\r\n%s\r\n", n, value)
	}), startFakeServer(t, func(string) string { return httpAnswer("200 OK", value) })
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", a.addr), originEntry(o.addr))
	c := dialClient(t, r.addr)
	// Two values on one connection, from a cache server and from the origin, with a short answer in
	// between.
	c.send(readCommandOf("a1", 5000) + "\r\nmn\r\n")
	if got, hasEnd := c.readStreamed(t, "a1", n); got != value || !hasEnd {
		t.Errorf("from a cache server: %d bytes, line end %t", len(got), hasEnd)
	}
	if got := c.nextAnswer(); got != "MN" {
		t.Errorf("after the value: got %q", got)
	}
	c.send(readCommandOf("o1", 5000) + "\r\n")
	if got, hasEnd := c.readStreamed(t, "o1", n); got != value || !hasEnd {
		t.Errorf("from the origin: %d bytes, line end %t", len(got), hasEnd)
	}
	for r.metricsSnapshot(t).Success["read"] != 2 {
	}
	if got := r.metricsSnapshot(t); got.Concurrent != 0 || got.Error["read"] != 0 {
		t.Errorf("metrics: %+v", got)
	}
}

// Guards against a client that takes an incomplete value for complete: the value ends early, or its
// line end is not where its length says.
func TestIncompleteLargeValueIsDetectable(t *testing.T) {
	const n = 300 << 10
	for name, answer := range map[string]string{
		"cut":    fmt.Sprintf("VA %d O{id} h1\r\n%s{cut}", n, strings.Repeat("v", n/2)),
		"no end": fmt.Sprintf("VA %d O{id} h1\r\n%s{cut}", n, strings.Repeat("v", n+100)),
	} {
		t.Run(name, func(t *testing.T) {
			a, o := startFakeServer(t, func(string) string { return answer }), startFakeServer(t, originAnswer)
			r, _ := startReadyRouter(t, cacheEntry("s-0000000b", a.addr), originEntry(o.addr))
			c := dialClient(t, r.addr)
			c.send(readCommandOf("a1", 5000) + "\r\n")
			if got, hasEnd := c.readStreamed(t, "a1", n); hasEnd {
				t.Errorf("%d bytes appear as a complete value", len(got))
			}
			if got := c.nextAnswer(); got != "EOF" {
				t.Errorf("after the value: got %q", got)
			}
			for r.metricsSnapshot(t).Error["read"] != 1 {
			}
		})
	}
}

// Guards against buffering a value for a client that does not read: the server is not read either,
// and the bytes in between are limited.
func TestSlowClientAppliesBackpressureToServer(t *testing.T) {
	const n, step = 1 << 20, 1 << 10
	server, up := net.Pipe() // pipes have no buffers of their own
	down, reader := net.Pipe()
	for _, c := range []net.Conn{server, up, down, reader} {
		t.Cleanup(func() { c.Close() })
	}
	from := &upstreamConn{Conn: up}
	from.reader = bufio.NewReaderSize(from, maxLineBytes)
	turn := make(chan struct{})
	close(turn)
	s := &valueStream{ctx: t.Context(), response: &response{conn: &clientConn{Conn: down,
		unwritable: make(chan struct{})}, streamTurn: turn}}
	var sent atomic.Int64
	go func() {
		for range n / step {
			if _, err := server.Write(make([]byte, step)); err != nil {
				return
			}
			sent.Add(step)
		}
		io.WriteString(server, "\r\n")
	}()
	done := make(chan error, 1)
	go func() { done <- s.copyValue(from, reply{streamedBytes: n, hasLineEnd: true}) }()
	b := make([]byte, step)
	for taken := int64(0); taken < n; {
		m, err := reader.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		taken += int64(m)
		if buffered := sent.Load() - taken; buffered > chunkBytes+2*maxLineBytes {
			t.Fatalf("%d bytes are buffered", buffered)
		}
	}
	if got, err := io.ReadAll(io.LimitReader(reader, 2)); err != nil || string(got) != "\r\n" {
		t.Errorf("line end: got %q, %v", got, err)
	}
	if err := receive(t, done, "end"); err != nil {
		t.Error(err)
	}
}

// largeWrite returns a write of a class that must never run twice.
func largeWrite(id, value string) string {
	return fmt.Sprintf("ms 7f3a9c21e0b4d655 %d O%s Pc=bill,t=t,d=2000\r\n%s\r\n", len(value), id, value)
}

func TestLargeWritesAreForwardedWhileReceived(t *testing.T) {
	value := distinctValue(3<<20 + 7)
	o := startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(o.addr))
	c := dialClient(t, r.addr)
	for _, id := range []string{"w1", "w2"} { // the second write uses the same connections
		text := largeWrite(id, value)
		for len(text) > 0 { // pieces of any size
			n := min(len(text), 70_001)
			c.send(text[:n])
			text = text[n:]
		}
		if got := c.nextAnswer(); got != "HD O"+id+" c5c0f" {
			t.Fatalf("got %q", got)
		}
		if got := receive(t, o.received, "write"); !strings.HasSuffix(got, " "+value) || requestIDOf(got) != id {
			t.Errorf("the origin received %.100q and %d bytes", got, len(got))
		}
	}
	if got := r.metricsSnapshot(t); got.Success["bill"] != 2 || got.Dispatches != 2 ||
		r.router.loop.requestBytes.used.Load() != 0 {
		t.Errorf("metrics: %+v, %d bytes reserved", got, r.router.loop.requestBytes.used.Load())
	}
	if n := r.router.upstreams.uploads.Load(); n != 0 {
		t.Errorf("%d uploads are counted", n)
	}
}

// A large write whose last chunk was not sent has not run, even if the rest was sent: it is
// rejected and not failed.
func TestUndeliverableLargeWriteIsRejected(t *testing.T) {
	value := distinctValue(1 << 20)
	ln := listenLocal(t) // an origin that closes each connection in the middle of a value
	closed := make(chan struct{}, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			io.ReadFull(c, make([]byte, 100<<10))
			c.Close()
			closed <- struct{}{}
		}
	}()
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(ln.Addr().String()))
	c := dialClient(t, r.addr)
	text := largeWrite("w1", value)
	c.send(text[:len(text)/2])
	receive(t, closed, "close at the origin")
	c.send(text[len(text)/2:])
	if got := c.nextAnswer(); got != "SERVER_ERROR busy" {
		t.Errorf("origin that closes: got %q", got)
	}
	if err := r.router.SetDisabled(t.Context(), "s-00000063", true); err != nil {
		t.Fatal(err)
	}
	c.send(largeWrite("w2", value)) // the client's connection is still usable
	if got := c.nextAnswer(); got != "SERVER_ERROR busy" {
		t.Errorf("disabled origin: got %q", got)
	}
	if got := r.metricsSnapshot(t); got.Overload["bill"] != 2 || got.Dispatches != 0 {
		t.Errorf("metrics: %+v", got)
	}
}

// Guards against a partial write that runs, and against resources left behind by a client that
// disconnects in the middle of a value.
func TestIncompleteLargeWriteNeverRuns(t *testing.T) {
	o := startFakeServer(t, originAnswer)
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(o.addr))
	for _, cut := range []int{100 << 10, 1<<20 + 30} { // in the middle, and within the last chunk
		c := dialClient(t, r.addr)
		c.send(largeWrite("w1", distinctValue(1<<20))[:cut])
		for o.connCount.Load() == 0 {
		}
		c.Close()
	}
	for r.router.upstreams.uploads.Load() != 0 || r.router.loop.requestBytes.used.Load() != 0 {
	}
	if len(o.received) != 0 || r.metricsSnapshot(t).Dispatches != 0 {
		t.Error("an incomplete write has run")
	}
	bad := dialClient(t, r.addr)
	bad.send(strings.TrimSuffix(largeWrite("w2", distinctValue(1<<20)), "\r\n") + "xx")
	if got := bad.nextAnswer(); !strings.HasPrefix(got, "CLIENT_ERROR") {
		t.Errorf("value without its line end: got %q", got)
	}
}
