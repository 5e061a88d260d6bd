package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a server on the list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int64
}

// list is a whole list or the changes to one.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the node list: the whole list, and watches for changes.
type discovery struct {
	record *record
	ln     net.Listener

	mu      sync.Mutex
	version int64
	entries []entry
	// changed is closed at the next change.
	changed chan struct{}
}

func newDiscovery(rec *record) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{record: rec, ln: ln, version: 1, changed: make(chan struct{})}
	go http.Serve(ln, d) //nolint:errcheck // it ends with the process
	return d, nil
}

func (d *discovery) addr() string { return d.ln.Addr().String() }

// set adds or replaces an entry.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	e.version = d.version
	kept := d.entries[:0:0]
	for _, old := range d.entries {
		if old.ID != e.ID {
			kept = append(kept, old)
		}
	}
	d.entries = append(kept, e)
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.event("the list, version %d: %s is %s", d.version, e.ID, e.State)
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Full: true, Servers: []entry{}}
	for _, e := range d.entries {
		if e.State != "left" {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

// since returns the changes after a version, and the channel that the next change closes.
func (d *discovery) since(version int64) (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Servers: []entry{}}
	for _, e := range d.entries {
		if e.version > version {
			l.Servers = append(l.Servers, e)
		}
	}
	return l, d.changed
}

// ServeHTTP answers a call for the whole list, or one call of a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.record.event("the list is asked: %s", r.URL.RequestURI())
	after := r.URL.Query().Get("after")
	if after == "" {
		d.write(w, d.whole())
		return
	}
	version, _ := strconv.ParseInt(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		l, changed := d.since(version)
		if len(l.Servers) > 0 {
			d.write(w, l)
			return
		}
		select {
		case <-changed:
		case <-end:
			d.write(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (d *discovery) write(w http.ResponseWriter, l list) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l) //nolint:errcheck // the caller may have gone
}
