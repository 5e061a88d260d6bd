package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Case 1, a second copy of a refusal: cache servers with a full queue turn requests away, and some
// of their answers come twice, the copy some milliseconds behind the answer.

const (
	copyCenterDelay = 10 * time.Millisecond // one way between two data centres
	copyLateness    = 5 * time.Millisecond
	copyShare       = 0.1 // of the answers
	copySeed        = 1
	copyRequests    = 6000
	copyPerSecond   = 200
	copyBurst       = 300 // in every third second
	copyKeys        = 200
	copyServers     = 2
	copySlots       = 5
	copyQueue       = 4
	copyWork        = 45 * time.Millisecond
	copyDeadline    = 900 // of the class's 1200 ms
)

// copyServer is a cache server that has every value. It serves a few requests at a time, holds a
// few more, and turns the others away.
type copyServer struct {
	scene *scene
	name  string
	slots chan struct{}
	queue chan struct{}
	runs  *runBook
}

// runBook holds where each request has run, and which answers come twice.
type runBook struct {
	mu   sync.Mutex
	runs map[string][]string
	rng  *rand.Rand
}

// add books a run of a request at a server.
func (b *runBook) add(id, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], server)
}

// of returns where a request has run.
func (b *runBook) of(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// isCopied draws whether an answer comes twice.
func (b *runBook) isCopied() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64() < copyShare
}

// answer serves a read, or turns it away if the queue is full.
func (s *copyServer) answer(c *cacheConn, cmd command) {
	seen := c.received.Load()
	text := "SERVER_ERROR busy\r\n"
	select {
	case s.queue <- struct{}{}:
		s.slots <- struct{}{}
		<-s.queue
		isAwaited := c.work(copyWork)
		<-s.slots
		if !isAwaited {
			s.scene.note(s.name, "stopped   %s: its connection was closed", cmd.id)
			return
		}
		s.runs.add(cmd.id, s.name)
		s.scene.note(s.name, "ran       %s", cmd.id)
		text = hit(cmd.id)
	default:
		s.scene.note(s.name, "busy      %s", cmd.id)
	}
	c.write(text)
	if s.scene.trouble && s.runs.isCopied() {
		time.AfterFunc(copyLateness, func() {
			if c.received.Load() != seen || c.isClosed.Load() {
				return // something else waits on the connection
			}
			s.scene.note(s.name, "again     %s: %.17q", cmd.id, text)
			c.write(text)
		})
	}
}

// playSecondCopy sends requests of a class that must never run twice to two cache servers.
func playSecondCopy(s *scene) error {
	d := &deployment{classes: []class{{"fetch", "once", 600, 1200, 5000}}}
	book := &runBook{runs: map[string][]string{}, rng: rand.New(rand.NewPCG(copySeed, copySeed))}
	for i := range copyServers {
		own := &copyServer{scene: s, name: fmt.Sprint("cache-", i+1), slots: make(chan struct{}, copySlots),
			queue: make(chan struct{}, copyQueue), runs: book}
		server, err := s.startCacheServer(own.name, own.answer)
		if err != nil {
			return err
		}
		path, err := s.startRelay(server.addr, copyCenterDelay)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, entry(fmt.Sprintf("s-0000000%d", i+1), path, "std-4c"))
	}
	if err := s.startQuietOrigin(d); err != nil {
		return err
	}
	r, err := s.startRouter(d, "router")
	if err != nil {
		return err
	}
	answers := s.sendCopyRequests(r.listen)
	time.Sleep(time.Second) // until nothing is out any more
	err = s.judgeCopies(answers, book)
	if err == nil && r.hasEnded() {
		err = errors.New("the router has ended")
	}
	return err
}

// copyID returns the id of a request.
func copyID(n int) string { return fmt.Sprintf("%08x", n) }

// copyPause returns the time until the next request: the load has bursts of half as much again.
func copyPause() time.Duration {
	const thirdSecond = 3
	if time.Now().Unix()%thirdSecond == 0 {
		return time.Second / copyBurst
	}
	return time.Second / copyPerSecond
}

// sendCopyRequests sends the requests and returns the answers by the requests'
// numbers.
func (s *scene) sendCopyRequests(addr string) []answer {
	var wg sync.WaitGroup
	answers := make([]answer, copyRequests)
	for n := range copyRequests {
		time.Sleep(copyPause())
		wg.Go(func() {
			id := copyID(n)
			a, err := ask(addr, readCommand(fmt.Sprintf("%016x", n%copyKeys), id, "fetch", copyDeadline))
			s.note("client", "answer    %s: %q %v", id, a.line, err)
			answers[n] = a
		})
	}
	wg.Wait()
	return answers
}

// judgeCopies counts the requests that ran twice, and those that were refused although they ran:
// trying these again does harm.
func (s *scene) judgeCopies(answers []answer, book *runBook) error {
	served, refused, twice, harmful := 0, 0, 0, 0
	for n, a := range answers {
		id := copyID(n)
		runs := book.of(id)
		if a.value == value(id) {
			served++
		}
		if a.isBusy() {
			refused++
		}
		if len(runs) > 1 {
			twice++
			s.note("check", "%s has run %d times, at %v", id, len(runs), runs)
		}
		if a.isBusy() && len(runs) > 0 {
			harmful++
			s.note("check", "%s was refused (%q) and has run at %v", id, a.line, runs)
		}
	}
	s.note("check", "%d sent, %d served, %d refused; %d ran twice, %d were refused though they had run",
		len(answers), served, refused, twice, harmful)
	if twice+harmful > 0 {
		return fmt.Errorf("%w: of %d requests that must never run twice, %d have; %d were refused though they had run",
			errBroken, len(answers), twice, harmful)
	}
	if 2*served < len(answers) {
		return fmt.Errorf("only %d of %d requests were served", served, len(answers))
	}
	return nil
}

// ask sends a request over a connection of its own and returns the answer.
func ask(addr, text string) (answer, error) {
	c, err := dial(addr)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	if _, err := c.Write([]byte(text)); err != nil {
		return answer{}, err
	}
	return c.readAnswer()
}
