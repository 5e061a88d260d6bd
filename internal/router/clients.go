package router

// The listener and all client connections: accepting, evicting idle connections, draining.

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

// Limits on clients. How long a client waits for an answer is limited by its own deadline.
const (
	// maxPipelined is the maximum number of unanswered commands of a connection.
	maxPipelined = 16
	// maxUnknownCommands is the number of unknown commands after which a connection is closed.
	maxUnknownCommands = 4
	// firstCommandTimeout is how long after the accept the line of a connection's first command must
	// be complete.
	firstCommandTimeout = 2700 * time.Millisecond
	// commandTimeout is how long a later command may take from its first byte until its line is
	// complete, and how long the next part of a value may take.
	commandTimeout = 2700 * time.Millisecond
	// shortValueTimeout is how long a value of up to maxBufferedValue may take, for which memory is
	// reserved.
	shortValueTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle before its next command begins.
	idleTimeout = 3 * time.Second
	// lingerAfterAnswer is how long a connection is kept open after an answer was written: the
	// client's next command may be in transit.
	lingerAfterAnswer = 100 * time.Millisecond
	// lingerTimeout is how long a rejected client has to close its connection. It has longer while
	// it is still receiving answers.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes is how much of its input is discarded in that time.
	lingerBytes = 256 << 10
	// firstCommandGrace is how long a new connection may be silent without a penalty.
	firstCommandGrace = 200 * time.Millisecond
	// silentConnPenalty is added to the idle time of a connection that stays silent for longer.
	silentConnPenalty = time.Second
	// queuedAcceptTimeout is how long accept waits for a further connection in the listener's queue
	// once no new connections are expected.
	queuedAcceptTimeout = 10 * time.Millisecond
	// acceptRetryDelay prevents a busy loop in accept, for example while no descriptor is left.
	acceptRetryDelay = 100 * time.Millisecond
	// evictRetryDelay is the time until eviction is tried again: the chosen connection may have
	// received a command at that moment.
	evictRetryDelay = 10 * time.Millisecond
	// maxOverflowConns is the maximum number of open connections beyond the limit, which only have
	// their commands rejected. Their descriptors are part of fdReserve.
	maxOverflowConns = 8
	// overflowCommandTimeout is how long a command of such a connection may take to be complete, and
	// how long after its start the connection is read.
	overflowCommandTimeout = 300 * time.Millisecond
	// overflowFloodCommands is the number of commands after which such a connection gives way to a new
	// client. It is well above the length of usual pipelines.
	overflowFloodCommands = 128
)

// clients serves the client connections. Its goroutines are accept, one reader for each connection,
// and the writers. All are counted in wg, and drain waits for them.
type clients struct {
	loop     *loop
	listener net.Listener
	// connections limits the client connections that are served.
	connections descriptorQuota
	// overflow limits the connections beyond that, which are only rejected.
	overflow descriptorQuota
	// readerPool holds *bufio.Reader: hundreds of connections may be opened and closed at once.
	readerPool sync.Pool
	// isDraining is set when each connection is to be closed once nothing is unanswered on it.
	isDraining atomic.Bool
	// inputClosed is set when no further input is read from any connection. Commands that have been
	// read are still answered.
	inputClosed atomic.Bool
	// inputEnd is closed when inputClosed is set.
	inputEnd chan struct{}
	// localWork is the time for commands that need no server.
	localWork *localWorkBudget
	// requests decides when the requests of connections begin.
	requests *requestScheduler
	// isClientWaiting is set while a new client waits for a descriptor.
	isClientWaiting atomic.Bool
	// activeConns counts the open connections that have sent a command.
	activeConns atomic.Int64
	// acceptDone is closed when accept has ended.
	acceptDone chan struct{}
	wg         sync.WaitGroup

	// mu guards conns.
	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// newClients returns a server for the clients of a listener, with at most limit connections.
func newClients(l *loop, listener net.Listener, limit int) *clients {
	s := &clients{
		loop:        l,
		listener:    listener,
		connections: newDescriptorQuota(limit),
		overflow:    newDescriptorQuota(maxOverflowConns),
		acceptDone:  make(chan struct{}),
		inputEnd:    make(chan struct{}),
		conns:       map[*clientConn]struct{}{},
	}
	s.requests = newRequestScheduler(s.wg.Go)
	s.localWork = newLocalWorkBudget(s.wg.Go, s.inputEnd)
	s.readerPool.New = func() any { return bufio.NewReaderSize(nil, maxLineBytes) }
	return s
}

// deadlineSetter is a listener that supports a deadline for Accept.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// accept accepts connections until the listener is closed or its deadline has passed.
func (s *clients) accept() {
	defer close(s.acceptDone)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.serve(conn, s.acquireConnection())
		case errors.Is(err, os.ErrDeadlineExceeded) && hasQueuedConnection(s.listener):
			// Accept checks its deadline before the queue. Connections that are already queued are
			// still accepted.
			deadline := time.Now().Add(queuedAcceptTimeout)
			s.listener.(deadlineSetter).SetDeadline(deadline) //nolint:errcheck // if it is closed, Accept reports it
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			slog.Warn("accepting a client connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptQueued lets accept take the connections in the listener's queue, then stops it. Closing the
// listener first would reset those connections.
func (s *clients) acceptQueued() {
	listener, ok := s.listener.(deadlineSetter)
	if !ok || listener.SetDeadline(time.Now().Add(queuedAcceptTimeout)) != nil {
		return
	}
	select {
	case <-s.acceptDone:
	case <-time.After(acceptAfterStop): // accept waits for a descriptor, and every connection has an unanswered command
	}
}

// acquireConnection acquires a descriptor for a connection and returns its quota. If none is left,
// it evicts the connection that has been idle for longest; if every connection has an unanswered
// command, one that floods. While that is being answered, a new one could wait past its client's
// deadline. It then gets a descriptor from overflow, and its commands are rejected.
func (s *clients) acquireConnection() *descriptorQuota {
	defer s.isClientWaiting.Store(false)
	for !s.connections.tryAcquire() {
		if !s.evictIdle(false) {
			s.evictBusiest() // frees a descriptor once its commands are answered
			if s.overflow.tryAcquire() {
				return &s.overflow
			}
		}
		s.isClientWaiting.Store(true)
		select {
		case <-s.connections.released:
		case <-s.overflow.released:
		case <-time.After(evictRetryDelay):
		}
	}
	return &s.connections
}

// setProcessCount sets the limit to this process's share while several processes form one router,
// and evicts idle connections beyond it.
func (s *clients) setProcessCount(processes int) {
	for range s.connections.setProcessCount(processes) {
		s.evictIdle(false)
	}
}

// evictIdle closes the connection that has been idle for longest, and reports whether there was one.
// If onlyActive is set, it considers only connections that have sent a command and then have been
// idle for lingerAfterAnswer. Otherwise, if none has been idle for firstCommandGrace, it also considers
// younger ones and those that have received a command only in part: clients that stop in the middle
// must not hold all descriptors.
func (s *clients) evictIdle(onlyActive bool) bool {
	if onlyActive {
		return evict(s.longestIdle(lingerAfterAnswer, func(c *clientConn) (time.Time, bool) {
			since, isIdle := c.idleSince(false)
			return since, isIdle && c.isCountedAsActive.Load()
		}), false)
	}
	withoutCommand := func(c *clientConn) (time.Time, bool) { return c.idleSince(false) }
	orInPart := func(c *clientConn) (time.Time, bool) { return c.idleSince(true) }
	return evict(s.longestIdle(firstCommandGrace, withoutCommand), false) ||
		evict(s.longestIdle(0, orInPart), true)
}

// evictBusiest evicts the connection that has had most turns, if it has had more than its share and its
// client sends on: a client that floods over as many connections as there are descriptors must not keep
// new clients out.
func (s *clients) evictBusiest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var busiest *clientConn
	most := 0.0
	for c := range s.conns {
		if ahead := s.requests.turnsAhead(&c.turns); ahead > most && c.mayEvictBusy() {
			most = ahead
			busiest = c
		}
	}
	if busiest != nil {
		slog.Warn("closing the connection that has had most turns, as a new client waits",
			"client", busiest.RemoteAddr().String())
		busiest.evict()
	}
}

// evict closes a connection if it is still idle, and reports whether there is one.
func evict(c *clientConn, mayDropCommand bool) bool {
	if c == nil {
		return false
	}
	c.closeIfIdle(mayDropCommand)
	return true
}

// longestIdle returns the connection that has been idle for longest, and for at least the given time,
// by idleSince; nil if there is none.
func (s *clients) longestIdle(
	atLeast time.Duration, idleSince func(*clientConn) (time.Time, bool),
) (longestIdle *clientConn) {
	earliest := time.Now().Add(-atLeast)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		since, isIdle := idleSince(c)
		isCandidate := isIdle && !c.isOverflow && since.Before(earliest)
		if isCandidate && c.canEvict() {
			longestIdle = c
			earliest = since
		}
	}
	return longestIdle
}

// countActive counts a connection that has sent its first command. Once such connections hold more
// than half of the descriptors, it evicts an idle one. Otherwise, if many clients sent one command
// and kept their connections, they could hold all descriptors until idleTimeout, and new clients
// would get none.
func (s *clients) countActive(c *clientConn) {
	c.isCountedAsActive.Store(true)
	if s.activeConns.Add(1) > s.connections.halfLimit() {
		s.evictIdle(true)
	}
}

// serve starts the reader goroutine of a connection, which ends when the connection is closed.
// quota is the quota that the connection's descriptor was acquired from.
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
		turn:       readerTurn{budget: s.localWork},
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

// remove unregisters a closed connection and releases its resources.
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

// readiness returns the answer to mn. Clients use the router once they get MN, so it must be able
// to serve by then.
func (s *clients) readiness() []byte {
	if s.loop.hasEndpoints.Load() && !s.isDraining.Load() {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR not ready\r\n")
}

// drain closes every connection once nothing is unanswered on it, and returns when all are closed.
// Connections whose clients keep sending may never be idle. Therefore no further input is read once
// inputEnd is done, and connections still open when connectionsEnd is done are closed.
func (s *clients) drain(inputEnd, connectionsEnd context.Context) {
	s.startDrain()
	allClosed := make(chan struct{})
	go func() { // ends with the last connection, at connectionsEnd at the latest
		s.wg.Wait()
		close(allClosed)
	}()
	select {
	case <-allClosed:
		return
	case <-inputEnd.Done():
		s.closeInput()
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

// startDrain makes every connection close once nothing is unanswered on it.
func (s *clients) startDrain() {
	s.isDraining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// closeInput stops the reading of every connection. Commands that a connection's buffer holds are
// still answered, one that it holds in part is rejected; clients send unread commands to another
// router.
func (s *clients) closeInput() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inputClosed.Swap(true) {
		close(s.inputEnd)
	}
	for c := range s.conns {
		c.mu.Lock()
		c.SetReadDeadline(expiredDeadline)
		c.mu.Unlock()
	}
}
