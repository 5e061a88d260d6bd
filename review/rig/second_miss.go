package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// secondMiss: cache servers send one in five of their misses a second time, some milliseconds late. Reads are of effect
// once, and groups of clients read the same key.
func secondMiss(s *scene) (isBroken bool, err error) {
	const (
		groups    = 2400
		groupSize = 4
		interval  = 25 * time.Millisecond
		apart     = 150 * time.Millisecond
	)
	s.readEffect = "once"
	s.limits.Sockets = 512
	if err := s.startServers(); err != nil {
		return false, err
	}
	for _, c := range s.caches {
		c.work = 60 * time.Millisecond
		c.spread = 80 * time.Millisecond
		if s.hasTrouble {
			c.copyShare = 0.2
		}
	}
	if _, err := s.startRouter(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	for i := range groups {
		key := fmt.Sprintf("%016x", i)
		for j := range groupSize {
			clients.Go(func() {
				time.Sleep(rand.N(apart))
				s.readOnce(key, fmt.Sprintf("g%d.%d", i, j))
			})
		}
		s.pause(interval)
	}
	clients.Wait()
	s.pause(time.Second)
	twice := s.runTwice()
	s.log("%d of %d requests were run, %d of them more than once: %v", len(s.runs), groups*groupSize, len(twice), twice)
	return len(twice) > 0, nil
}

// readOnce has a new client read a key.
func (s *scene) readOnce(key, id string) {
	c, err := s.connect(0)
	if err != nil {
		s.log("client %s: %v", id, err)
		return
	}
	defer c.Close()
	io.WriteString(c, read(key, id)) //nolint:errcheck // the answer shows it
	s.log("client %s: %v", id, c.readAnswer())
}
