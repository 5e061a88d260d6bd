package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, each line with its time in seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// event writes one line.
func (r *record) event(form string, v ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(form, v...))
}

// run is one attempt that a server carried out, or began to.
type run struct {
	server string
	id     string
	key    string
	write  bool
	at     time.Time
	// done says that the server has carried it out.
	done bool
}

// runs are all attempts that reached a server.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (r *runs) add(one *run) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.at = time.Now()
	r.all = append(r.all, one)
	return one
}

func (r *runs) finish(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.done = true
}

// of returns the attempts of a request.
func (r *runs) of(id string) (found []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.all {
		if one.id == id {
			found = append(found, *one)
		}
	}
	return found
}

// since returns how many attempts have reached a server since a time.
func (r *runs) since(server string, at time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.all {
		if one.server == server && one.at.After(at) {
			n++
		}
	}
	return n
}
