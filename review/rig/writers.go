package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// part is a part of a request, and how long the client takes before it.
type part struct {
	text  string
	after time.Duration
}

// writeParts writes a request on a connection that has served one already, and reads the answer.
func (s *scene) writeParts(c *client, id string, parts ...part) (answer, error) {
	for i, p := range parts {
		time.Sleep(p.after)
		_, err := io.WriteString(c, p.text)
		s.log("client %s: part %d of %d, %d bytes, is written, error %v", id, i+1, len(parts), len(p.text), err)
		if err != nil {
			return answer{err: err}, nil
		}
	}
	a := c.readAnswer()
	s.log("client %s: %v", id, a)
	return a, nil
}

// connectUsed returns a connection that has served a request.
func (s *scene) connectUsed() (*client, error) {
	c, err := s.connect(0)
	if err != nil {
		return nil, err
	}
	a, err := s.writeParts(c, "w1", part{read(theKey, "w1"), 0})
	if err == nil && !a.isWhole(theKey) {
		err = fmt.Errorf("the first request: %w", a.err)
	}
	return c, err
}

// slowWriter: a client takes 2 s for the head of its request and 0.95 s for the value.
func slowWriter(s *scene) (isBroken bool, err error) {
	if _, err := s.start(); err != nil {
		return false, err
	}
	s.store(theKey, 1000)
	c, err := s.connectUsed()
	if err != nil {
		return false, err
	}
	defer c.Close()
	const length = 40000
	request := publishHead(theKey, "w2", length) + string(valueOf(theKey, length)) + "\r\n"
	parts := []part{{request, 0}}
	if s.hasTrouble {
		const inHead, inValue = 20, 20000
		parts = []part{
			{request[:inHead], 0},
			{request[inHead:inValue], 2000 * time.Millisecond},
			{request[inValue:], 950 * time.Millisecond},
		}
	}
	a, err := s.writeParts(c, "w2", parts...)
	return !a.isWhole(theKey), err
}

// evictedWriter: a client takes 1.9 s for the head of its request, while other clients come, ask once and keep
// their connections.
func evictedWriter(s *scene) (isBroken bool, err error) {
	if _, err := s.start(); err != nil {
		return false, err
	}
	s.store(theKey, 1000)
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { s.comeAndStay(stop) })
	defer others.Wait()
	defer close(stop)
	time.Sleep(2 * time.Second)
	c, err := s.connectUsed()
	if err != nil {
		return false, err
	}
	defer c.Close()
	request := read(theKey, "w2")
	parts := []part{{request, 0}}
	if s.hasTrouble {
		const inHead = 20
		parts = []part{{request[:inHead], 0}, {request[inHead:], 1900 * time.Millisecond}}
	}
	a, err := s.writeParts(c, "w2", parts...)
	return !a.isWhole(theKey), err
}

// comeAndStay has other clients come: each asks once on a connection of its own and keeps that. The oldest
// connection is closed when there are more than a third of the router's descriptors.
func (s *scene) comeAndStay(stop chan struct{}) {
	const interval = 20 * time.Millisecond
	mostOpen := s.limits.Sockets/3 - 2
	var open []*client
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		c, err := s.connect(0)
		if err != nil {
			s.log("client o%d: %v", i, err)
			continue
		}
		open = append(open, c)
		if len(open) > mostOpen {
			open[0].Close()
			open = open[1:]
		}
		io.WriteString(c, read(theKey, fmt.Sprintf("o%d", i))) //nolint:errcheck // the answer shows it
		if a := c.readAnswer(); !a.isWhole(theKey) {
			s.log("client o%d: %v", i, a)
		}
	}
}
