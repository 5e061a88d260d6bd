package router

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
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
// In each state a disconnect of the client or a failed write makes the connection unwritable: its
// pending answers are abandoned, its requests are cancelled, and it is closed.
//
// The reader goroutine, which clients.serve starts, owns reader and the connection: it runs
// readCommands and then closeAfterAnswers, and ends when the connection is closed. While answers are
// ready, one writer goroutine or one valueStream writes them; which of them it is, startWriter and
// nextBatch decide under mu. Both end before clients.drain returns.
type clientConn struct {
	net.Conn
	clients *clients
	// quota is where its descriptor is from.
	quota *descriptorQuota
	// isOverflow is set where the connection is beyond the limit: its command is rejected.
	isOverflow bool
	// reader buffers the input. It belongs to the reader goroutine.
	reader *bufio.Reader
	// isReceivingLargeValue is set while a value is forwarded as it comes.
	isReceivingLargeValue atomic.Bool
	// isCountedAsActive is set once the connection counts in clients.activeConns.
	isCountedAsActive atomic.Bool
	// hasDisconnected is set once the client has closed or reset the connection: no attempt of its
	// requests may be written any more.
	hasDisconnected atomic.Bool

	// mu guards all fields below, and the order of changes to the read deadline.
	mu sync.Mutex
	// pending holds the answers that no writer has taken yet, in the order of the commands.
	pending []*response
	// answersInWrite counts the answers that the writer has taken and not written.
	answersInWrite int
	// isUnwritable is set once nothing can be written any more.
	isUnwritable bool
	// unwritable is closed when isUnwritable is set.
	unwritable chan struct{}
	// hasSentCommand is set once a complete command has come.
	hasSentCommand bool
	// isReadingCommand is set while part of a command has come.
	isReadingCommand bool
	// commandDeadline is when the command that is being read has to be complete.
	commandDeadline time.Time
	// isWatchingForDisconnect is set while the reader waits in watchForDisconnect; an expired read
	// deadline wakes it.
	isWatchingForDisconnect bool
	// isDraining is set when the connection is to end as soon as nothing is unanswered.
	isDraining bool
	// idleStart is when the connection was accepted or had its last answer written.
	idleStart time.Time
	// lastAnswerAt is when an answer was last written.
	lastAnswerAt time.Time
}

// expiredDeadline is a read deadline in the past: it ends a read that waits.
var expiredDeadline = time.Unix(1, 0)

// unanswered counts the commands that have no answer written. The caller holds mu.
func (c *clientConn) unanswered() int { return len(c.pending) + c.answersInWrite }

// firstCommandTimeout is the time for the connection's first command to be complete.
func (c *clientConn) firstCommandTimeout() time.Duration {
	if c.isOverflow {
		return overflowCommandTimeout
	}
	return firstCommandTimeout
}

// idleSince reports whether the connection has no unanswered command, and since when. A connection
// that has sent no command within firstCommandGrace counts as idle for longer than it is: else
// silent connections, which are always young, would outlive connections that send requests.
func (c *clientConn) idleSince() (since time.Time, isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.idleStart
	if !c.hasSentCommand && time.Since(since) > firstCommandGrace {
		since = since.Add(-silentConnPenalty)
	}
	return since, c.unanswered() == 0 && !c.isDraining && !c.isReceivingLargeValue.Load()
}

// drain ends the connection once nothing is unanswered and no command is coming. Until then it is
// read on: a client may send while its connection is open, and its disconnect has to be seen.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = true
	if !c.isReadingCommand && c.unanswered() == 0 {
		c.SetReadDeadline(expiredDeadline)
	}
}

// closeIfIdle ends the connection at once if nothing is unanswered; part of a command is dropped.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered() == 0 && !c.isReceivingLargeValue.Load() {
		c.isDraining = true
		c.SetReadDeadline(expiredDeadline)
	}
}

// disconnected reports whether the client has disconnected, as far as that can be known by now.
func (c *clientConn) disconnected() bool { return c.hasDisconnected.Load() || hasEnded(c.Conn) }

// watchForDisconnect waits until isDone holds or nothing can be written any more, and reports whether
// the client has disconnected instead. Up to discardBytes of input are thrown away meanwhile and the
// rest is left unread; the end of the input is seen behind it. isDone is called with mu held.
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

// abandonAnswers drops the pending answers and tells the loop that their client has disconnected.
func (c *clientConn) abandonAnswers() {
	// Before the loop knows of it: an attempt that is about to be written checks this flag.
	c.hasDisconnected.Store(true)
	c.mu.Lock()
	abandoned := c.pending
	c.pending = nil
	c.markUnwritable()
	for _, r := range abandoned {
		if r.isReady {
			c.clients.loop.answerBytes.release(len(r.answerBytes))
		}
	}
	c.mu.Unlock()
	for _, r := range abandoned {
		c.clients.loop.post(func() { c.clients.loop.clientDisconnected(r) })
	}
}

// markUnwritable records that nothing can be written any more. The caller holds mu.
func (c *clientConn) markUnwritable() {
	if !c.isUnwritable {
		c.isUnwritable = true
		close(c.unwritable)
	}
}

// closeAfterAnswers waits until all answers are written, or the client has disconnected, and closes
// the connection.
//
// Closing a socket while input is unread, or on its way, resets the connection, and a reset may
// destroy answers that the client has not read yet. So a client that was rejected, whose next command
// is there already, or that has just been answered sees the end of the answers first (a half-close),
// and its input is discarded for a bounded time.
func (c *clientConn) closeAfterAnswers(isRejected bool) {
	discardBytes := 0
	if isRejected {
		discardBytes = lingerBytes
	}
	hasDisconnected := c.watchForDisconnect(func() bool { return c.unanswered() == 0 }, discardBytes)
	c.mu.Lock()
	isUnwritable := c.isUnwritable
	lingerUntil := c.lastAnswerAt.Add(restAfterAnswer)
	c.mu.Unlock()
	if c.isOverflow { // the next one waits for its descriptor
		lingerUntil = time.Time{}
	}
	if isRejected || c.reader.Buffered() > 0 || hasInput(c.Conn) {
		lingerUntil = time.Now().Add(lingerTimeout)
	}
	if hasDisconnected || isUnwritable {
		c.abandonAnswers()
	} else {
		c.linger(lingerUntil)
	}
	c.Close()
}

// linger ends the answers and discards input until the client closes, a time or lingerBytes.
func (c *clientConn) linger(until time.Time) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !time.Now().Before(until) || halfCloser.CloseWrite() != nil {
		return
	}
	c.SetReadDeadline(until)
	input := io.LimitReader(onlyReader{c.Conn}, lingerBytes)
	io.CopyBuffer(io.Discard, input, make([]byte, maxLineBytes)) //nolint:errcheck // the input is unwanted
}

// onlyReader hides the methods by which io.CopyBuffer would bypass the buffer that it is given.
type onlyReader struct{ io.Reader }
