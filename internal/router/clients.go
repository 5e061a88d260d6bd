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
	maxPipelined        = 16                      // commands of a connection that wait for their answer
	maxUnknownCommands  = 4                       // commands of a connection that the router does not know
	firstCommandTimeout = 2700 * time.Millisecond // for the first command to come whole
	commandTimeout      = 2700 * time.Millisecond // for a later one to come whole once it has begun
	idleTimeout         = 3 * time.Second         // for the next one to begin
	restAfterAnswer     = 100 * time.Millisecond  // a connection that has just been answered is kept for
	answerWriteTimeout  = 5 * time.Second         // for a client to take its answers
	lingerTimeout       = 500 * time.Millisecond  // for a client that was turned away to close
	lingerBytes         = 256 << 10               // of its input that are read meanwhile
	firstCommandGrace   = 200 * time.Millisecond  // a connection that has asked nothing after that
	silentConnPenalty   = time.Second             // counts as idle for that much longer
)

// response is the place of a command's answer among those of its connection.
type response struct {
	conn        *clientConn
	request     *request      // the loop's
	streamTurn  chan struct{} // closed when a value that is passed through may be written; nil = the answer is text
	answerBytes []byte        // guarded by c.mu, as the others
	isReady     bool
}

// clients serves the connections of clients.
type clients struct {
	loop           *loop
	listener       net.Listener
	connections    descriptorQuota // one for each connection that may be open
	readerPool     sync.Pool       // of *bufio.Reader: bad clients come and go by hundreds
	isDraining     atomic.Bool
	commandsClosed atomic.Bool   // no further command is taken
	activeConns    atomic.Int64  // connections that have asked
	acceptDone     chan struct{} // closed when no more are taken
	wg             sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

func newClients(l *loop, ln net.Listener, limit int) *clients {
	return &clients{loop: l, listener: ln, acceptDone: make(chan struct{}), connections: descriptorQuota{limit: limit, routerLimit: limit, released: make(chan struct{}, 1)}, conns: map[*clientConn]struct{}{},
		readerPool: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}}
}

// accept takes connections until the listener is closed or its time is up.
func (s *clients) accept() {
	defer close(s.acceptDone)
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && hasQueuedConnection(s.listener) { // the end of the time comes before the queue, however full
			s.listener.(deadliner).SetDeadline(time.Now().Add(queuedAcceptTimeout)) //nolint:errcheck // closed, and then Accept tells
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
		s.acquireConnection()
		s.serve(c)
	}
}

// queuedAcceptTimeout is how long connections that stand in the listener's queue are taken for once no new one is expected.
const queuedAcceptTimeout = 10 * time.Millisecond

// deadliner is what waits until a time at most.
type deadliner interface{ SetDeadline(time.Time) error }

// acceptQueued has accept end once the listener's queue is empty: closing the listener would reset what stands there.
func (s *clients) acceptQueued() {
	if ln, ok := s.listener.(deadliner); ok && ln.SetDeadline(time.Now().Add(queuedAcceptTimeout)) == nil {
		select {
		case <-s.acceptDone:
		case <-time.After(acceptAfterStop): // each place is taken by a request
		}
	}
}

// acquireConnection takes a place for a connection. When all are taken, the connection that has been idle for longest gives way;
// where each has a request open, the next one waits.
func (s *clients) acquireConnection() {
	for !s.connections.tryAcquire() {
		s.evictIdle(false)
		select {
		case <-s.connections.released:
		case <-time.After(10 * time.Millisecond): // it may have got a request just then
		}
	}
}

// setProcessCount leaves this process an equal part of the places, while several processes are one router.
func (s *clients) setProcessCount(processes int) {
	for range s.connections.setProcessCount(processes) {
		s.evictIdle(false)
	}
}

// evictIdle ends the connection that has been idle for longest. With asked set, only those that have asked and since rested
// for a moment count.
func (s *clients) evictIdle(asked bool) {
	var oldest *clientConn
	var since time.Time
	s.mu.Lock()
	for c := range s.conns {
		at, idle := c.idleSince()
		if asked && (!c.isCountedAsActive.Load() || time.Since(at) < restAfterAnswer) {
			continue
		}
		if idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.closeIfIdle()
	}
}

// countActive counts a connection that has asked for the first time. Where many ask once and keep their connection, its end by
// time comes too late: they would hold all that clients may have, and the next requests had none.
func (s *clients) countActive(c *clientConn) {
	c.isCountedAsActive.Store(true)
	if s.activeConns.Add(1) > s.connections.halfLimit() {
		s.evictIdle(true)
	}
}

func (s *clients) serve(nc net.Conn) {
	r := s.readerPool.Get().(*bufio.Reader)
	c := &clientConn{Conn: nc, clients: s, reader: r, idleStart: time.Now(), unwritable: make(chan struct{})}
	r.Reset(c)
	c.commandDeadline = c.idleStart.Add(firstCommandTimeout)
	nc.SetReadDeadline(c.commandDeadline)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		turnedAway := c.readCommands()
		c.closeAfterAnswers(turnedAway)
		if c.isCountedAsActive.Load() {
			s.activeConns.Add(-1)
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		r.Reset(nil)
		s.readerPool.Put(r)
		s.connections.release()
	})
	if s.isDraining.Load() {
		c.drain()
	}
}

// readiness answers mn: the router is used from MN on, so it must be able to serve.
func (s *clients) readiness() []byte {
	if s.loop.hasEndpoints.Load() && !s.isDraining.Load() {
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
		s.stopReadingCommands()
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

// stopReadingCommands ends the reading of every connection: a client sends what is not read elsewhere. What has come whole of a command
// that has begun is still taken, and so is a large value that is coming.
func (s *clients) stopReadingCommands() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commandsClosed.Store(true)
	for c := range s.conns {
		c.mu.Lock()
		if !c.isReceivingLargeValue.Load() {
			c.SetReadDeadline(expiredDeadline)
		}
		c.mu.Unlock()
	}
}

// startDrain has every connection closed once it has nothing to answer.
func (s *clients) startDrain() {
	s.isDraining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}
