package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// scene is one play of a case: a router with its servers, and the record of what happened.
type scene struct {
	hasTrouble bool
	startedAt  time.Time
	// folder is a temporary folder.
	folder string
	limits limits
	// ctx ends when the play has to end.
	ctx    context.Context
	cancel context.CancelFunc

	origin     *origin
	caches     []*cacheServer
	discovery  *discovery
	clientAddr string
	// router is the process of the router; nil before its start.
	router *process

	// originSegment is the longest segment on the way to the origin; 0 = as the loopback has it.
	originSegment int
	// readEffect is the effect of the class fetch.
	readEffect string

	// mu guards record and runs.
	mu     sync.Mutex
	record *os.File
	// runs has how often each request was run.
	runs map[string]int
}

// limits are those of the router.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// maxPlay bounds the time of a play.
const maxPlay = 100 * time.Second

// newScene returns a scene without servers that writes its record to a folder.
func newScene(folder string) (*scene, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	s := &scene{
		hasTrouble: os.Getenv("TROUBLE") != "0",
		startedAt:  time.Now(),
		folder:     work,
		limits:     limits{Cores: 1, MemoryMB: 192, Sockets: 256},
		readEffect: "repeatable",
		record:     record,
		runs:       map[string]int{},
	}
	bounded, cancel := context.WithTimeout(context.Background(), maxPlay)
	var stop context.CancelFunc
	s.ctx, stop = signal.NotifyContext(bounded, syscall.SIGTERM, syscall.SIGINT)
	s.cancel = func() {
		stop()
		cancel()
	}
	s.log("with the disruption: %t", s.hasTrouble)
	return s, nil
}

// log adds a line to the record.
func (s *scene) log(form string, v ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(form, v...))
}

// countRun counts that a request was run.
func (s *scene) countRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// runTwice returns the requests that were run more than once.
func (s *scene) runTwice() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// play plays a case. It returns at once when the play has to end.
func (s *scene) play(oneCase func(s *scene) (bool, error)) (isBroken bool, err error) {
	type result struct {
		isBroken bool
		err      error
	}
	ended := make(chan result, 1)
	go func() { // ends with this process
		isBroken, err := oneCase(s)
		ended <- result{isBroken, err}
	}()
	select {
	case r := <-ended:
		return r.isBroken, r.err
	case <-s.ctx.Done():
		return false, errors.New("ended by a signal, or after its time")
	}
}

// pause waits for a time, or until the play has to end.
func (s *scene) pause(length time.Duration) {
	select {
	case <-time.After(length):
	case <-s.ctx.Done():
	}
}

// end ends the router, closes the record and removes the temporary folder.
func (s *scene) end() {
	s.cancel()
	if s.router != nil {
		s.router.cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-s.router.done
	}
	if text, err := os.ReadFile(s.routerLog()); err == nil {
		s.mu.Lock()
		fmt.Fprintf(s.record, "\nthe router's log:\n%s", text)
		s.mu.Unlock()
	}
	os.RemoveAll(s.folder) //nolint:errcheck // temporary
	s.record.Close()
}

func (s *scene) routerLog() string { return filepath.Join(s.folder, "log") }

// The names of the cache servers, in the order of scene.caches.
var cacheNames = []string{"s-5be2a07c", "s-91f03b7c"}

// startServers starts the cache servers, the origin and discovery.
func (s *scene) startServers() error {
	var err error
	var listed []listEntry
	for _, name := range cacheNames {
		c, err := startCacheServer(s, name)
		if err != nil {
			return err
		}
		s.caches = append(s.caches, c)
		listed = append(listed, listEntry{ID: name, Addr: c.relay.addr(), Zone: "adama", Kind: "std-4c", Cell: 1,
			State: "active", Weight: 1})
	}
	if s.origin, err = startOrigin(s); err != nil {
		return err
	}
	listed = append(listed, listEntry{ID: "s-000000f1", Addr: s.origin.relay.addr(), Zone: "adama", Kind: "origin",
		State: "active", Weight: 1})
	s.discovery, err = startDiscovery(listed)
	return err
}

// start starts the servers and the router.
func (s *scene) start() (*process, error) {
	if err := s.startServers(); err != nil {
		return nil, err
	}
	return s.startRouter()
}

// store makes a key a hit at all cache servers.
func (s *scene) store(key string, length int) {
	for _, c := range s.caches {
		c.store(key, length)
	}
}
