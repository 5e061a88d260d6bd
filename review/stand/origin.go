package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// origin is a stand-in for the central store, which speaks HTTP.
type origin struct {
	record *record
	runs   *runs
	ln     net.Listener

	mu   sync.Mutex
	work time.Duration
	// size is the length of the values that it gives.
	size int
	// hidesLength says that it gives values in chunks, without a length in front.
	hidesLength bool
}

func newOrigin(rec *record, all *runs) (*origin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &origin{record: rec, runs: all, ln: ln, work: 20 * time.Millisecond, size: 500}
	go http.Serve(ln, o) //nolint:errcheck // it ends with the process
	return o, nil
}

func (o *origin) addr() string { return o.ln.Addr().String() }

// give sets the length of its values, and whether they come without it.
func (o *origin) give(size int, hidesLength bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.size, o.hidesLength = size, hidesLength
}

// ServeHTTP answers a read with a value and a write with its receipt.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		o.record.event("origin: %s id=%s came in part: %v", r.Method, id, err)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/")
	one := o.runs.add(&run{server: "origin", id: id, key: key, write: r.Method == http.MethodPut})
	o.record.event("origin got %s %s id=%s facts=%s", r.Method, key, id, r.Header.Get("X-Facts"))
	o.mu.Lock()
	work, size, hidesLength := o.work, o.size, o.hidesLength
	o.mu.Unlock()
	time.Sleep(work)
	o.runs.finish(one)
	body := valueFor(key, id, size)
	if one.write {
		body = "receipt-" + id
	}
	if !hidesLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	io.WriteString(w, body) //nolint:errcheck // the router may have given up
	o.record.event("origin carried out %s %s id=%s", r.Method, key, id)
}
