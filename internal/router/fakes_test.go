package router

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// gate blocks goroutines until it is opened.
type gate struct {
	opened chan struct{}
	open   func()
}

func newGate(t testing.TB) gate {
	ch := make(chan struct{})
	g := gate{ch, sync.OnceFunc(func() { close(ch) })}
	t.Cleanup(g.open)
	return g
}

// blockDials makes each dial report its start on dialing and block until allowDial is opened.
func (u *upstreams) blockDials(dialing chan<- struct{}, allowDial gate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer.Timeout = testTimeout
	u.dialer.Control = func(string, string, syscall.RawConn) error {
		dialing <- struct{}{}
		<-allowDial.opened
		return nil
	}
}

// blockingCloseConn is a connection whose Close reports its start on closing and blocks until
// allowClose is opened.
type blockingCloseConn struct {
	*net.TCPConn
	closing    chan<- struct{}
	allowClose gate
}

func (c blockingCloseConn) Close() error {
	c.closing <- struct{}{}
	<-c.allowClose.opened
	return c.TCPConn.Close()
}

// answerOnce returns an answer function that answers the first request with first and later ones
// with then.
func answerOnce(first string, then func(string) string) func(string) string {
	var mu sync.Mutex
	isAnswered := false
	return func(line string) string {
		mu.Lock()
		defer mu.Unlock()
		if isAnswered {
			return then(line)
		}
		isAnswered = true
		return first
	}
}

// serveConns serves each connection to a loopback address on a goroutine of its own, until the test
// ends, and returns the address.
func serveConns(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	ln := listenLocal(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// fakeServer is a server on a loopback socket. serve handles each connection and records the lines
// and bodies received.
type fakeServer struct {
	addr       string
	received   chan string // the first line and body of each request
	connCount  atomic.Int32
	peerCloses chan struct{} // an element for each connection closed by the other side

	// accepts has an element for each accepted connection, ownCloses for each closed by this
	// side.
	accepts, ownCloses chan struct{}
}

// startFakeServer starts a server that answers each request with the text returned by answer: ""
// means no answer, "close" closes the connection, and the suffix "{cut}" closes it after the text.
func startFakeServer(t testing.TB, answer func(line string) string) *fakeServer {
	t.Helper()
	ln := listenLocal(t)
	f := &fakeServer{addr: ln.Addr().String(), received: make(chan string, 10000),
		peerCloses: make(chan struct{}, 10000),
		accepts:    make(chan struct{}, 10000), ownCloses: make(chan struct{}, 10000)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, c := range open {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.connCount.Add(1)
			f.accepts <- struct{}{}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			wg.Go(func() {
				defer func() { c.Close(); f.ownCloses <- struct{}{} }()
				f.serve(c, answer)
			})
		}
	})
	return f
}

func (f *fakeServer) serve(c net.Conn, answer func(string) string) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			f.peerCloses <- struct{}{}
			return
		}
		line = strings.TrimSpace(line)
		for strings.HasSuffix(line, "HTTP/1.1") { // headers; the id, the metadata and the length are kept
			h, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if h = strings.TrimSpace(h); h == "" {
				line = strings.Replace(line, "HTTP/1.1", "HTTP", 1)
			} else if strings.HasPrefix(h, "X-") || strings.HasPrefix(h, "Content-Length") {
				line = strings.Replace(line, "HTTP/1.1", h+" HTTP/1.1", 1)
			}
		}
		var n int
		if i := strings.Index(line, "Content-Length: "); i >= 0 {
			fmt.Sscanf(line[i:], "Content-Length: %d", &n)
		} else if strings.HasPrefix(line, "ms ") {
			fmt.Sscanf(line, "ms %s %d", new(string), &n)
			n += 2
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		f.received <- line + " " + strings.TrimSpace(string(body))
		switch a := answer(line); a {
		case "":
		case "close":
			return
		default:
			text := strings.TrimSuffix(strings.ReplaceAll(a, "{id}", requestIDOf(line)), "{cut}")
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			if strings.HasSuffix(a, "{cut}") || strings.Contains(a, "Connection: close") {
				return
			}
		}
	}
}

// requestIDOf returns the request's id in either protocol.
func requestIDOf(line string) string {
	for f := range strings.FieldsSeq(line) {
		if f[0] == 'O' && len(f) > 1 {
			return f[1:]
		}
	}
	_, rest, _ := strings.Cut(line, "X-Correlation-Id: ")
	id, _, _ := strings.Cut(rest, " ")
	return id
}

func httpAnswer(status, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body),
		strings.Join(append(headers, ""), "\r\n"), body)
}

func hitAnswer(string) string { return "VA 5 O{id} h1 Lqps=3,util=0.1\r\nhello\r\n" }

func missAnswer(string) string { return "EN O{id} h0\r\n" }

func originAnswer(line string) string {
	if strings.HasPrefix(line, "PUT") {
		return httpAnswer("200 OK", "5c0f")
	}
	return httpAnswer("200 OK", "fresh")
}

// fakeDiscovery is a fake discovery service.
type fakeDiscovery struct {
	*httptest.Server
	mu      sync.Mutex
	lists   []endpointList // the complete list first, then changes
	changed chan struct{}
	calls   chan string
}

func startFakeDiscovery(t testing.TB, first endpointList) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{lists: []endpointList{first}, changed: make(chan struct{}), calls: make(chan string, 1000)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- r.URL.RawQuery
		after := r.URL.Query().Get("after")
		for {
			d.mu.Lock()
			changed := d.changed
			for i, l := range d.lists {
				if after == "" && i == 0 || after != "" && fmt.Sprint(l.Version-1) == after {
					d.mu.Unlock()
					json.NewEncoder(w).Encode(l)
					return
				}
			}
			d.mu.Unlock()
			ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			select {
			case <-changed:
			case <-time.After(time.Duration(ms) * time.Millisecond):
				json.NewEncoder(w).Encode(endpointList{Version: parseVersion(after)})
				return
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

// parseVersion parses the version in a watch call.
func parseVersion(after string) int64 {
	v, _ := strconv.ParseInt(after, 10, 64)
	return v
}

// publishChange publishes changes to the list.
func (d *fakeDiscovery) publishChange(entries ...listEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.lists[len(d.lists)-1]
	d.lists = append(d.lists, endpointList{Version: last.Version + 1, Servers: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

func cacheEntry(id, addr string) listEntry {
	return listEntry{ID: id, Addr: addr, Zone: "a", Kind: "box", State: "active", Weight: 1}
}

func originEntry(addr string) listEntry {
	e := cacheEntry("s-00000063", addr)
	e.Kind = "origin"
	return e
}

func completeList(entries ...listEntry) endpointList {
	return endpointList{Version: 1, IsComplete: true, Servers: entries}
}
