package router

// The listener and all client connections: accepting, eviction of idle ones, draining.

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

// Bounds on clients. How long a client waits for an answer is bounded by its own deadline.
const (
	// maxPipelined is how many unanswered commands a connection may have.
	maxPipelined = 16
	// maxUnknownCommands is how many unknown commands end a connection.
	maxUnknownCommands = 4
	// firstCommandTimeout is the time for a connection's first command to be complete.
	firstCommandTimeout = 2700 * time.Millisecond
	// commandTimeout is the time for a later command to be complete once it has begun, and for the
	// next piece of a large value.
	commandTimeout = 2700 * time.Millisecond
	// idleTimeout is the time for the next command to begin.
	idleTimeout = 3 * time.Second
	// restAfterAnswer is how long a connection stays that has just been answered: the client's next
	// command may be on its way.
	restAfterAnswer = 100 * time.Millisecond
	// answerWriteTimeout is the time for a client to take its answers.
	answerWriteTimeout = 5 * time.Second
	// lingerTimeout is the time for a client that was rejected to close.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes is how much of its input is discarded meanwhile.
	lingerBytes = 256 << 10
	// firstCommandGrace is how long a connection may be silent at first and count as any other.
	firstCommandGrace = 200 * time.Millisecond
	// silentConnPenalty is added to the idle time of a connection that stays silent for longer.
	silentConnPenalty = time.Second
	// queuedAcceptTimeout is how long the listener's queue is waited for once no new connection is
	// expected.
	queuedAcceptTimeout = 10 * time.Millisecond
	// acceptRetryDelay keeps accept from a tight loop while, say, no descriptor is left.
	acceptRetryDelay = 100 * time.Millisecond
	// evictRetryDelay is when eviction is tried again: the connection that was to be evicted may have
	// got a command just then.
	evictRetryDelay = 10 * time.Millisecond
	// maxOverflowConns is how many connections beyond the limit may be open at once, to reject their
	// command. They are part of fdReserve.
	maxOverflowConns = 8
	// overflowCommandTimeout is the time for the command of such a connection to be complete.
	overflowCommandTimeout = 300 * time.Millisecond
)

// clients serves the connections of clients. Its goroutines are accept, one reader for each
// connection and their writers; all are counted in wg, and drain waits for them.
type clients struct {
	loop     *loop
	listener net.Listener
	// connections has one descriptor for each connection that may be open.
	connections descriptorQuota
	// overflow has one descriptor for each connection that is beyond that.
	overflow descriptorQuota
	// readerPool holds *bufio.Reader: connections may come and go by the hundred.
	readerPool sync.Pool
	// isDraining is set when each connection is to end once nothing is unanswered on it.
	isDraining atomic.Bool
	// commandsClosed is set when no further command is taken.
	commandsClosed atomic.Bool
	// activeConns counts the connections that have sent a command.
	activeConns atomic.Int64
	// acceptDone is closed when accept has ended.
	acceptDone chan struct{}
	wg         sync.WaitGroup

	// mu guards conns.
	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// newClients serves the clients of a listener, with at most so many connections.
func newClients(l *loop, listener net.Listener, limit int) *clients {
	s := &clients{
		loop:        l,
		listener:    listener,
		connections: newDescriptorQuota(limit),
		overflow:    newDescriptorQuota(maxOverflowConns),
		acceptDone:  make(chan struct{}),
		conns:       map[*clientConn]struct{}{},
	}
	s.readerPool.New = func() any { return bufio.NewReaderSize(nil, maxLineBytes) }
	return s
}

// deadlineSetter is a listener whose Accept can be bounded in time.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// accept takes connections until the listener is closed or its deadline has passed.
func (s *clients) accept() {
	defer close(s.acceptDone)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.serve(conn, s.acquireConnection())
		case errors.Is(err, os.ErrDeadlineExceeded) && hasQueuedConnection(s.listener):
			// Accept looks at its deadline before the queue: connections that stand there are taken
			// all the same.
			deadline := time.Now().Add(queuedAcceptTimeout)
			s.listener.(deadlineSetter).SetDeadline(deadline) //nolint:errcheck // if it is closed, Accept reports it
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			slog.Warn("accepting", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptQueued lets accept take what stands in the listener's queue, and end: closing the listener
// before would reset those connections.
func (s *clients) acceptQueued() {
	listener, ok := s.listener.(deadlineSetter)
	if !ok || listener.SetDeadline(time.Now().Add(queuedAcceptTimeout)) != nil {
		return
	}
	select {
	case <-s.acceptDone:
	case <-time.After(acceptAfterStop): // accept waits for a descriptor, and each has an unanswered command
	}
}

// acquireConnection takes a descriptor for a connection and returns the quota that it is of. When none
// is left, the connection that has been idle for longest is evicted. Where each has an unanswered
// command, a new one may wait past its client's deadline, so it gets a descriptor of overflow, and
// its command is rejected.
func (s *clients) acquireConnection() *descriptorQuota {
	for !s.connections.tryAcquire() {
		if !s.evictIdle(false) && s.overflow.tryAcquire() {
			return &s.overflow
		}
		select {
		case <-s.connections.released:
		case <-s.overflow.released:
		case <-time.After(evictRetryDelay):
		}
	}
	return &s.connections
}

// setProcessCount leaves this process its part of the descriptors, while several processes are one
// router, and evicts idle connections beyond it.
func (s *clients) setProcessCount(processes int) {
	for range s.connections.setProcessCount(processes) {
		s.evictIdle(false)
	}
}

// evictIdle ends the connection that has been idle for longest, and reports whether there is one. With
// onlyActive set, only connections count that have sent a command and have then been idle for
// restAfterAnswer.
func (s *clients) evictIdle(onlyActive bool) bool {
	var longestIdle *clientConn
	var idleSince time.Time
	s.mu.Lock()
	for c := range s.conns {
		since, isIdle := c.idleSince()
		if c.isOverflow {
			continue
		}
		if onlyActive && (!c.isCountedAsActive.Load() || time.Since(since) < restAfterAnswer) {
			continue
		}
		if isIdle && (longestIdle == nil || since.Before(idleSince)) {
			longestIdle = c
			idleSince = since
		}
	}
	s.mu.Unlock()
	if longestIdle == nil {
		return false
	}
	longestIdle.closeIfIdle()
	return true
}

// countActive counts a connection that has sent its first command, and evicts an idle one once these
// hold more than half of the descriptors. Where many clients send one command and keep their
// connection, idleTimeout comes too late: they would hold all descriptors, and the next clients
// would get none.
func (s *clients) countActive(c *clientConn) {
	c.isCountedAsActive.Store(true)
	if s.activeConns.Add(1) > s.connections.halfLimit() {
		s.evictIdle(true)
	}
}

// serve starts the reader goroutine of a connection, which ends when the connection is closed. quota is
// where its descriptor is from.
func (s *clients) serve(conn net.Conn, quota *descriptorQuota) {
	reader := s.readerPool.Get().(*bufio.Reader)
	c := &clientConn{
		Conn:       conn,
		clients:    s,
		quota:      quota,
		isOverflow: quota == &s.overflow,
		reader:     reader,
		idleStart:  time.Now(),
		unwritable: make(chan struct{}),
	}
	reader.Reset(c)
	c.commandDeadline = c.idleStart.Add(c.firstCommandTimeout())
	conn.SetReadDeadline(c.commandDeadline)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		isRejected := c.readCommands()
		c.closeAfterAnswers(isRejected)
		s.remove(c)
	})
	if s.isDraining.Load() {
		c.drain()
	}
}

// remove forgets a closed connection and gives back what it held.
func (s *clients) remove(c *clientConn) {
	if c.isCountedAsActive.Load() {
		s.activeConns.Add(-1)
	}
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.reader.Reset(nil)
	s.readerPool.Put(c.reader)
	c.quota.release()
}

// readiness answers mn: the router is used from MN on, so it must be able to serve.
func (s *clients) readiness() []byte {
	if s.loop.hasEndpoints.Load() && !s.isDraining.Load() {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR not ready\r\n")
}

// drain closes every connection once it has nothing unanswered, and returns when all are closed.
// Connections whose clients keep sending are never idle: no further command is taken once
// commandsEnd is done, and what is open when connectionsEnd is done is closed.
func (s *clients) drain(commandsEnd, connectionsEnd context.Context) {
	s.startDrain()
	allClosed := make(chan struct{})
	go func() { // ends with the last connection, at connectionsEnd at the latest
		s.wg.Wait()
		close(allClosed)
	}()
	select {
	case <-allClosed:
		return
	case <-commandsEnd.Done():
		s.stopReadingCommands()
	case <-connectionsEnd.Done():
	}
	select {
	case <-allClosed:
	case <-connectionsEnd.Done():
		s.mu.Lock()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		<-allClosed
	}
}

// startDrain has every connection closed once it has nothing unanswered.
func (s *clients) startDrain() {
	s.isDraining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// stopReadingCommands ends the reading of every connection: a client sends elsewhere what is not
// read. A command of which all has come is still taken, and so is a large value that is coming.
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
