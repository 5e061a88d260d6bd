package router

// The listener and all client connections: places, eviction, draining.

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds on clients. What a client is owed an answer for is bounded by its own deadline.
const (
	maxPipelined = 16                      // commands of a connection that wait for their answer
	maxUnknown   = 4                       // commands of a connection that the router does not know
	firstTime    = 2700 * time.Millisecond // for the first command to come whole
	commandTime  = 2700 * time.Millisecond // for a later one to come whole once it has begun
	idleTime     = 3 * time.Second         // for the next one to begin
	rest         = 100 * time.Millisecond  // a connection that has just been answered is kept for
	answerTime   = 5 * time.Second         // for a client to take its answers
	lingerTime   = 500 * time.Millisecond  // for a client that was turned away to close
	lingerBytes  = 256 << 10               // of its input that are read meanwhile
	askSoon      = 200 * time.Millisecond  // a connection that has asked nothing after that
	asksNothing  = time.Second             // counts as idle for that much longer
)

// slot is the place of a command's answer among those of its connection.
type slot struct {
	c     *clientConn
	req   *request      // the loop's
	turn  chan struct{} // closed when a value that is passed through may be written; nil = the answer is text
	text  []byte        // guarded by c.mu, as the others
	ready bool
}

// clients serves the connections of clients.
type clients struct {
	l        *loop
	ln       net.Listener
	room     places    // one for each connection that may be open
	readers  sync.Pool // of *bufio.Reader: bad clients come and go by hundreds
	draining atomic.Bool
	over     atomic.Bool   // no further command is taken
	asked    atomic.Int64  // connections that have asked
	accepted chan struct{} // closed when no more are taken
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

func newClients(l *loop, ln net.Listener, limit int) *clients {
	return &clients{l: l, ln: ln, accepted: make(chan struct{}), room: places{limit: limit, whole: limit, freed: make(chan struct{}, 1)}, conns: map[*clientConn]struct{}{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLine) }}}
}

// accept takes connections until the listener is closed or its time is up.
func (s *clients) accept() {
	defer close(s.accepted)
	for {
		c, err := s.ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && queued(s.ln) { // the end of the time comes before the queue, however full
			s.ln.(deadliner).SetDeadline(time.Now().Add(lastAccepts)) //nolint:errcheck // closed, and then Accept tells
			continue
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			slog.Warn("accepting", "error", err)
			time.Sleep(100 * time.Millisecond) // as with no descriptor left: not in a tight loop
			continue
		}
		s.place()
		s.serve(c)
	}
}

// lastAccepts is how long connections that stand in the listener's queue are taken for once no new one is expected.
const lastAccepts = 10 * time.Millisecond

// deadliner is what waits until a time at most.
type deadliner interface{ SetDeadline(time.Time) error }

// acceptLast has accept end once the listener's queue is empty: closing the listener would reset what stands there.
func (s *clients) acceptLast() {
	if ln, ok := s.ln.(deadliner); ok && ln.SetDeadline(time.Now().Add(lastAccepts)) == nil {
		select {
		case <-s.accepted:
		case <-time.After(comeAfterStop): // each place is taken by a request
		}
	}
}

// place takes a place for a connection. When all are taken, the connection that has been idle for longest gives way;
// where each has a request open, the next one waits.
func (s *clients) place() {
	for !s.room.take() {
		s.evict(false)
		select {
		case <-s.room.freed:
		case <-time.After(10 * time.Millisecond): // it may have got a request just then
		}
	}
}

// share leaves this process an equal part of the places, while several processes are one router.
func (s *clients) share(processes int) {
	for range s.room.share(processes) {
		s.evict(false)
	}
}

// evict ends the connection that has been idle for longest. With asked set, only those that have asked and since rested
// for a moment count.
func (s *clients) evict(asked bool) {
	var oldest *clientConn
	var since time.Time
	s.mu.Lock()
	for c := range s.conns {
		at, idle := c.idle()
		if asked && (!c.counted.Load() || time.Since(at) < rest) {
			continue
		}
		if idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.drop()
	}
}

// crowd counts a connection that has asked for the first time. Where many ask once and keep their connection, its end by
// time comes too late: they would hold all that clients may have, and the next requests had none.
func (s *clients) crowd(c *clientConn) {
	c.counted.Store(true)
	if s.asked.Add(1) > s.room.half() {
		s.evict(true)
	}
}

func (s *clients) serve(nc net.Conn) {
	r := s.readers.Get().(*bufio.Reader)
	c := &clientConn{Conn: nc, s: s, r: r, since: time.Now(), dead: make(chan struct{})}
	r.Reset(c)
	c.by = c.since.Add(firstTime)
	nc.SetReadDeadline(c.by)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		turnedAway := c.read()
		c.finish(turnedAway)
		if c.counted.Load() {
			s.asked.Add(-1)
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		r.Reset(nil)
		s.readers.Put(r)
		s.room.give()
	})
	if s.draining.Load() {
		c.drain()
	}
}

// readiness answers mn: the router is used from MN on, so it must be able to serve.
func (s *clients) readiness() []byte {
	if s.l.ready.Load() && !s.draining.Load() {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR not ready\r\n")
}

// drain has every connection closed once it has nothing to answer, and returns when all are, or end is over. Some always
// have something open, as their clients send on: no further command is taken once noMore is over.
func (s *clients) drain(noMore, end context.Context) {
	s.startDrain()
	closed := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return
	case <-noMore.Done():
		s.takeNoMore()
	case <-end.Done():
	}
	select {
	case <-closed:
	case <-end.Done():
		s.mu.Lock()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		<-closed
	}
}

// takeNoMore ends the reading of every connection: a client sends what is not read elsewhere. What has come whole of a command
// that has begun is still taken, and so is a large value that is coming.
func (s *clients) takeNoMore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over.Store(true)
	for c := range s.conns {
		c.mu.Lock()
		if !c.taking.Load() {
			c.SetReadDeadline(past)
		}
		c.mu.Unlock()
	}
}

// startDrain has every connection closed once it has nothing to answer.
func (s *clients) startDrain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}
