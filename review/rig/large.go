package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

const (
	// maxValue is the longest value that occurs.
	maxValue = 4 << 20
	// theKey is the key of most requests.
	theKey = "7f3a9c21e0b4d655"
	// lateLimit is how long after its time a request counts as lost: half a second, and the slack of time limits.
	lateLimit = 550 * time.Millisecond
)

// overMemory: large values of the origin come without a length, and clients read them slowly. Without the
// disruption the same values have a length.
func overMemory(s *scene) (isBroken bool, err error) {
	const (
		memoryMB = 64
		bursts   = 6
		interval = 8 * time.Second
	)
	s.limits = limits{Cores: 1, MemoryMB: memoryMB, Sockets: 512}
	if err := s.startServers(); err != nil {
		return false, err
	}
	s.origin.valueBytes = maxValue
	s.origin.hasNoLength = s.hasTrouble
	p, err := s.startRouter()
	if err != nil {
		return false, err
	}
	isKilled := make(chan bool, 1)
	allRead := make(chan struct{})
	go func() { isKilled <- s.enforceMemory(p, memoryMB, allRead) }()
	var clients sync.WaitGroup
	for i := 0; i < bursts && !p.hasEnded(); i++ {
		began := time.Now()
		s.readBurst(&clients, i)
		for time.Since(began) < interval && !p.hasEnded() && s.ctx.Err() == nil {
			s.pause(100 * time.Millisecond)
		}
	}
	clients.Wait()
	close(allRead)
	return <-isKilled, nil
}

// readBurst has new clients read a key each, slowly. It returns once all have begun.
func (s *scene) readBurst(clients *sync.WaitGroup, number int) {
	const (
		requests       = 100
		perSecond      = 320
		bytesPerSecond = 600 << 10
	)
	for i := range requests {
		clients.Go(func() {
			key, id := fmt.Sprintf("%08x%08x", number, i), fmt.Sprintf("u%d.%d", number, i)
			c, err := s.connect(bytesPerSecond)
			if err != nil {
				s.log("client %s: %v", id, err)
				return
			}
			defer c.Close()
			io.WriteString(c, read(key, id)) //nolint:errcheck // the answer shows it
			s.log("client %s: %v", id, c.readAnswer())
		})
		s.pause(time.Second / perSecond)
	}
}

// enforceMemory kills a process that is over its limit on memory, as the platform does, and reports whether it
// did.
func (s *scene) enforceMemory(p *process, limitMB float64, end chan struct{}) (isKilled bool) {
	peak := 0.0
	defer func() { s.log("platform: the router had up to %.0f MB of %.0f MB", peak, limitMB) }()
	for {
		select {
		case <-end:
			return false
		case <-time.After(10 * time.Millisecond):
		}
		peak = max(peak, p.memoryMB())
		if peak > limitMB {
			s.log("platform: the router has %.0f MB, its limit is %.0f MB", peak, limitMB)
			s.signal(p, syscall.SIGKILL)
			return true
		}
	}
}

// readAt has a client send a read and then read its answer at a speed.
func (s *scene) readAt(bytesPerSecond int) (answer, error) {
	c, err := s.connect(bytesPerSecond)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	if _, err := io.WriteString(c, read(theKey, "r1")); err != nil {
		return answer{}, err
	}
	s.log("client r1: read written, reads its answer at %d bytes per second (0 = as fast as it can)", bytesPerSecond)
	a := c.readAnswer()
	s.log("client r1: %v", a)
	return a, nil
}

// restartReader: the router is told to end while a client reads a large value slowly.
func restartReader(s *scene) (isBroken bool, err error) {
	p, err := s.start()
	if err != nil {
		return false, err
	}
	s.store(theKey, maxValue)
	if s.hasTrouble {
		time.AfterFunc(500*time.Millisecond, func() { s.signal(p, syscall.SIGTERM) })
		time.AfterFunc(30*time.Second, func() { s.signal(p, syscall.SIGKILL) })
	}
	a, err := s.readAt(200 << 10)
	return !a.isWhole(theKey), err
}

// cutOffValue: a cache server is cut off for 5 s while it gives a large value.
func cutOffValue(s *scene) (isBroken bool, err error) {
	if _, err := s.start(); err != nil {
		return false, err
	}
	s.store(theKey, maxValue)
	if s.hasTrouble {
		for _, c := range s.caches {
			c.relay.cutOffAfter(1<<20, 5*time.Second)
		}
	}
	a, err := s.readAt(0)
	return !a.isWhole(theKey), err
}

// cutOffOrigin: the origin is cut off for 6 s in the middle of a large write.
func cutOffOrigin(s *scene) (isBroken bool, err error) {
	s.originSegment = 1400 // as on an ordinary network
	if _, err := s.start(); err != nil {
		return false, err
	}
	c, err := s.connect(0)
	if err != nil {
		return false, err
	}
	defer c.Close()
	const (
		length = 2 << 20
		first  = 32 << 10
	)
	value := valueOf(theKey, length)
	if _, err := io.WriteString(c, publishHead(theKey, "w1", length)+string(value[:first])); err != nil {
		return false, err
	}
	s.log("client w1: the head and %d bytes of the value are written", first)
	time.Sleep(100 * time.Millisecond)
	if s.hasTrouble {
		s.origin.relay.cutOff(6 * time.Second)
	}
	if _, err := io.WriteString(c, string(value[first:])+"\r\n"); err != nil {
		return false, err
	}
	writtenAt := time.Now()
	s.log("client w1: the last byte is written")
	a := c.readAnswer()
	took := time.Since(writtenAt)
	s.log("client w1: %.3f s after the last byte: %v", took.Seconds(), a)
	return !a.isWhole(theKey) || took > publishTime+lateLimit, nil
}
