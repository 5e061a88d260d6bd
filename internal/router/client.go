package router

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// clientConn is a client's connection.
//
//	         first byte            complete command
//	┌──────┐ ─────────▶ ┌─────────┐ ─────────────▶ ┌───────────┐
//	│ idle │            │ reading │                │ answering │ (up to maxPipelined commands)
//	└──────┘            └─────────┘ ◀───────────── └───────────┘
//	  │  ▲                 │          first byte      │     │
//	  │  └─────────────────│──────────────────────────┘     │
//	  │                    │     last answer written        │
//	  │ idleTimeout,       │ malformed, quit,               │ draining and
//	  │ evicted, draining  │ commandTimeout                 │ nothing more to read
//	  ▼                    ▼                                ▼
//	┌────────────────────────────────────────────────────────┐
//	│ finishing: no command is read, answers are written     │ ─────────▶ closed
//	└────────────────────────────────────────────────────────┘
//
// In each state, a disconnect of the client or a failed write makes the connection unwritable: its
// pending answers are abandoned, its requests are canceled, and it is closed.
//
// The reader goroutine, started by clients.serve, owns reader and the connection: it runs
// readCommands, then closeAfterAnswers, and ends when the connection is closed. Ready answers are
// written by one writer at a time, which is a goroutine or a valueStream; startWriter and nextBatch
// choose it under mu. Both end before clients.drain returns.
type clientConn struct {
	net.Conn
	clients *clients
	// quota is the quota that the connection's descriptor was acquired from.
	quota *descriptorQuota
	// isOverflow is set if the connection is beyond the limit, so that its commands are rejected.
	isOverflow bool
	// reader buffers the input. It belongs to the reader goroutine.
	reader *bufio.Reader
	// valueDeadline is when the short value being read must be complete; zero while none is read. It
	// belongs to the reader goroutine.
	valueDeadline time.Time
	// turn measures the reader's work. It belongs to the reader goroutine.
	turn readerTurn
	// balancerClient is what the Balancer knows of the connection. It belongs to the loop.
	balancerClient decide.Client
	// turns counts the requests that have begun. It belongs to the requests' scheduler.
	turns fairTurns
	// isInputClosed is set when no further input is read from this connection. It belongs to the
	// reader goroutine.
	isInputClosed bool
	// unknownCommands counts the unknown commands received. It belongs to the reader goroutine.
	unknownCommands int
	// isReceivingLargeValue is set while a large value is being received and forwarded.
	isReceivingLargeValue atomic.Bool
	// isCountedAsActive is set once clients.activeConns counts the connection.
	isCountedAsActive atomic.Bool
	// hasDisconnected is set once the client has closed or reset the connection. From then on no
	// attempt of its requests may be written.
	hasDisconnected atomic.Bool

	// isEvicted is set when the connection gives way to a new one though commands are unanswered. No
	// further input is read, and it is closed once what has been read is answered.
	isEvicted atomic.Bool
	// isBrokenOff is set when a value was written in part and can't be completed. Nothing is read or
	// written any more, but the client still receives the answers before the value.
	isBrokenOff atomic.Bool

	// mu guards all fields below and serializes changes of the read deadline.
	mu sync.Mutex
	// pending holds the answers not yet taken by a writer, in the order of the commands.
	pending []*response
	// openRead is the read whose answer may still turn out to be too long for memory; nil if there is
	// none. No command behind it is carried out.
	openRead *response
	// answersInWrite counts the answers that the writer has taken but not written yet.
	answersInWrite int
	// isUnwritable is set once nothing can be written any more.
	isUnwritable bool
	// unwritable is closed when isUnwritable is set.
	unwritable chan struct{}
	// hasSentCommand is set once a complete command has been received.
	hasSentCommand bool
	// isReadingCommand is set while a command has been received in part.
	isReadingCommand bool
	// commandDeadline is when the command being read must be complete.
	commandDeadline time.Time
	// isWatchingForDisconnect is set while the reader waits in watchForDisconnect. Expiring the
	// read deadline wakes it.
	isWatchingForDisconnect bool
	// isDraining is set when the connection is to be closed once nothing is unanswered.
	isDraining bool
	// idleStart is when the connection was accepted or its last answer was written.
	idleStart time.Time
	// lastAnswerAt is when an answer was last written.
	lastAnswerAt time.Time
	// delivery is what the client is still receiving.
	delivery deliveryProgress
	// isAwaitingDelivery is set while the reader waits for the client to receive its answers.
	isAwaitingDelivery bool
}

// expiredDeadline is a read deadline in the past. It ends a blocked read.
var expiredDeadline = time.Unix(1, 0)

// unanswered counts the commands whose answers are not written yet. The caller holds mu.
func (c *clientConn) unanswered() int { return len(c.pending) + c.answersInWrite }

// firstCommandTimeout is how long after its start the connection's first command must be complete.
func (c *clientConn) firstCommandTimeout() time.Duration {
	if c.isOverflow {
		return overflowCommandTimeout
	}
	return firstCommandTimeout
}

// laterCommandTimeout is how long after its first byte a later command must be complete.
func (c *clientConn) laterCommandTimeout() time.Duration {
	if c.isOverflow {
		return overflowCommandTimeout
	}
	return commandTimeout
}

// idleSince reports whether the connection has no unanswered command, and since when. Its client may
// still be receiving answers, which canEvict checks. A connection without a command after
// firstCommandGrace gets silentConnPenalty added to its idle time. Otherwise silent connections,
// which are always young, would outlive those that send requests. A connection that has received a
// command in part is idle only if mayDropCommand is set.
func (c *clientConn) idleSince(mayDropCommand bool) (since time.Time, isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.idleStart
	if !c.hasSentCommand && time.Since(since) > firstCommandGrace {
		since = since.Add(-silentConnPenalty)
	}
	isIdle = c.unanswered() == 0 && !c.isDraining && !c.isReceivingLargeValue.Load()
	return since, isIdle && (mayDropCommand || !c.isReadingCommand)
}

// canEvict reports whether the connection may be evicted: nothing is unanswered and the client has
// received all answers.
func (c *clientConn) canEvict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdle() && !c.isReceivingLargeValue.Load()
}

// drain closes the connection once nothing is unanswered and no command is being received. Until
// then reading continues, as the client may still send commands and its disconnect must be noticed.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = true
	if !c.isReadingCommand && c.unanswered() == 0 {
		c.SetReadDeadline(expiredDeadline)
	}
}

// closeIfIdle closes the connection if nothing is unanswered. A partly received command is dropped if
// mayDropCommand is set; otherwise such a connection stays open.
func (c *clientConn) closeIfIdle(mayDropCommand bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayClose := mayDropCommand || !c.isReadingCommand
	if mayClose && c.isIdle() && !c.isReceivingLargeValue.Load() {
		c.isDraining = true
		c.SetReadDeadline(expiredDeadline)
	}
}

// mayEvictBusy reports whether the client sends further commands though one is unanswered. A client that
// waits for the answer to its only command, or that is still sending it, is not evicted.
func (c *clientConn) mayEvictBusy() bool {
	if c.isOverflow || c.isEvicted.Load() || c.isReceivingLargeValue.Load() || !hasInput(c.Conn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered() > 0
}

// evict closes the connection once what has been read is answered.
func (c *clientConn) evict() {
	c.isEvicted.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetReadDeadline(expiredDeadline)
}

// disconnected reports whether the client is known to have disconnected.
func (c *clientConn) disconnected() bool { return c.hasDisconnected.Load() || hasEnded(c.Conn) }

// watchForDisconnect waits until isDone returns true or nothing can be written any more. It reports
// whether the client has disconnected before that. Up to discardBytes of input are discarded in the
// meantime and the rest is left unread; the end of the input is noticed behind unread input too.
// isDone is called with mu held.
func (c *clientConn) watchForDisconnect(isDone func() bool, discardBytes int) (hasDisconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !isDone() && !c.isUnwritable {
		c.isWatchingForDisconnect = true
		c.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		hasDisconnected = awaitDisconnect(c.Conn, &discardBytes)
		c.mu.Lock()
		c.isWatchingForDisconnect = false
		if hasDisconnected {
			return true
		}
	}
	return false
}

// abandonAnswers drops the pending answers and notifies the loop that their client has
// disconnected.
func (c *clientConn) abandonAnswers() {
	// Set before the loop is notified: an attempt that is about to be written checks this flag.
	c.hasDisconnected.Store(true)
	c.mu.Lock()
	abandoned := c.pending
	c.pending = nil
	c.markUnwritable()
	for _, r := range abandoned {
		if r.isReady {
			r.parts.memory.release()
		}
	}
	c.mu.Unlock()
	for _, r := range abandoned {
		c.clients.loop.post(func() { c.clients.loop.handleDisconnect(r) })
	}
}

// markUnwritable records that nothing can be written any more. The caller holds mu.
func (c *clientConn) markUnwritable() {
	if !c.isUnwritable {
		c.isUnwritable = true
		close(c.unwritable)
	}
}

// closeAfterAnswers waits until the client has received all answers or has disconnected, and closes
// the connection.
//
// Closing a socket with unread or late input resets the connection, and a reset destroys answers
// that the client has not received yet. A half-close therefore comes first, and input is discarded,
// until the client has acknowledged all answers, and for a limited time after that if it was
// rejected, has sent more input, or has just been answered.
func (c *clientConn) closeAfterAnswers(isRejected bool) {
	discardBytes := 0
	if isRejected {
		discardBytes = lingerBytes
	}
	hasDisconnected := c.watchForDisconnect(func() bool { return c.unanswered() == 0 }, discardBytes)
	c.mu.Lock()
	isUnwritable := c.isUnwritable
	lingerUntil := c.lastAnswerAt.Add(lingerAfterAnswer)
	c.mu.Unlock()
	if isRejected || c.hasMoreInput() {
		lingerUntil = time.Now().Add(lingerTimeout)
	}
	if c.isOverflow || c.isEvicted.Load() { // other connections wait for its descriptor
		lingerUntil = time.Time{}
	}
	if hasDisconnected || isUnwritable {
		c.abandonAnswers()
	}
	if !hasDisconnected && (!isUnwritable || c.isBrokenOff.Load()) {
		c.linger(lingerUntil)
	}
	c.Close()
}

// breakOff ends the connection behind a value that was written in part and can't be completed, and
// wakes the reader, which closes the connection. The caller is the connection's writer.
func (c *clientConn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBrokenOff.Store(true)
	c.answersInWrite = 0
	c.lastAnswerAt = time.Now()
	c.markUnwritable()
	c.SetReadDeadline(expiredDeadline)
}

// linger half-closes the connection, then discards input until the client closes its side, or has
// received all answers and the time is up. It discards at most lingerBytes.
func (c *clientConn) linger(until time.Time) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.mustLinger(until) || halfCloser.CloseWrite() != nil {
		return
	}
	discardBytes := lingerBytes
	interval := deliveryCheckMinInterval
	for c.mustLinger(until) {
		c.SetReadDeadline(time.Now().Add(interval))
		if awaitDisconnect(c.Conn, &discardBytes) {
			return
		}
		interval = min(2*interval, deliveryCheckInterval)
	}
}

// mustLinger reports whether a connection that is to be closed has to stay open: the time is not up,
// or the client has not received all answers yet.
func (c *clientConn) mustLinger(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOverflow && time.Since(c.lastAnswerAt) > overflowCommandTimeout {
		return time.Now().Before(until)
	}
	return time.Now().Before(until) || !c.isDelivered()
}
