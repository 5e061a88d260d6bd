package router

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/internal/metrics"
)

// clientConn is a client's connection. One goroutine reads commands; while there are answers to write, another writes
// them in the order of the commands.
type clientConn struct {
	net.Conn
	clients               *clients
	reader                *bufio.Reader
	isReceivingLargeValue atomic.Bool // a large value is coming
	isCountedAsActive     atomic.Bool // among those that have asked
	hasDisconnected       atomic.Bool // the client has gone: what waits is not sent on

	mu                      sync.Mutex
	pending                 []*response   // whose answers are not being written yet
	answersInWrite          int           // answers that are
	isUnwritable            bool          // nothing can be written any more,
	unwritable              chan struct{} // which closes this
	hasSentCommand          bool          // a command has come
	isReadingCommand        bool          // another has begun,
	commandDeadline         time.Time     // and has to be whole by then
	isWatchingForDisconnect bool          // the reader waits for the client to leave: the end of its time wakes it
	isDraining              bool          // ends as soon as nothing waits for its answer
	idleStart               time.Time     // idle since, while nothing is open
	lastAnswerAt            time.Time     // when an answer was last written
}

// expiredDeadline is a time for reading that is up.
var expiredDeadline = time.Unix(1, 0)

// Read is how commands are read. One that is being read when the connection is to give way is not cut off where the rest
// of it is there already: its client can't tell that it was not taken.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForLateInput() {
		return c.Conn.Read(b)
	}
	return n, err
}

// extendForLateInput tells whether the end of the connection has extendForLateInput a command that is being read, which then has its time again.
func (c *clientConn) extendForLateInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isDraining || !c.isReadingCommand || !time.Now().Before(c.commandDeadline) || !hasInput(c.Conn) {
		return false
	}
	c.SetReadDeadline(c.commandDeadline)
	return true
}

// unanswered counts the commands that are not answered. The caller holds mu.
func (c *clientConn) unanswered() int { return len(c.pending) + c.answersInWrite }

// idleSince tells since when the connection has had no request open.
func (c *clientConn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since = c.idleStart; !c.hasSentCommand && time.Since(since) > firstCommandGrace { // else silent ones would drive out the usual clients
		since = since.Add(-silentConnPenalty)
	}
	return since, c.unanswered() == 0 && !c.isDraining && !c.isReceivingLargeValue.Load()
}

// drain ends the connection once nothing waits for its answer and no command is coming. Until then it is read on: what a
// client sends on a connection that is open is taken, and its leaving is seen.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDraining = true; !c.isReadingCommand && c.unanswered() == 0 {
		c.SetReadDeadline(expiredDeadline)
	}
}

// closeIfIdle ends the connection at once if no request is open: half a command is none.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered() == 0 && !c.isReceivingLargeValue.Load() {
		c.isDraining = true
		c.SetReadDeadline(expiredDeadline)
	}
}

// beginCommand tells that a command has begun. The first one's time has run since the connection came.
func (c *clientConn) beginCommand(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isReadingCommand = true; !first || c.isDraining {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.SetReadDeadline(c.commandDeadline)
	}
}

// awaitNextCommand waits until there is room for the next command and sets the time for it: none while requests are open, as then
// the client's leaving is waited for.
func (c *clientConn) awaitNextCommand() error {
	c.mu.Lock()
	c.isReadingCommand, c.hasSentCommand = false, true
	c.mu.Unlock()
	if c.watchForDisconnect(func() bool { return c.unanswered() < maxPipelined }, 0) {
		return io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isUnwritable:
		return net.ErrClosed
	case c.clients.commandsClosed.Load():
		return os.ErrDeadlineExceeded
	case c.unanswered() > 0:
		c.SetReadDeadline(time.Time{})
	case c.isDraining: // what has come already is answered
		c.SetReadDeadline(expiredDeadline)
	default:
		c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	return nil
}

// watchForDisconnect waits until done holds or nothing can be written any more, and tells whether the client has left instead. Up to so many bytes of
// input are thrown away meanwhile, the rest is not read: the client's end is seen behind it. done is asked with mu held.
func (c *clientConn) watchForDisconnect(done func() bool, unwanted int) (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !done() && !c.isUnwritable {
		c.isWatchingForDisconnect = true
		c.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		left := awaitDisconnect(c.Conn, &unwanted)
		c.mu.Lock()
		if c.isWatchingForDisconnect = false; left {
			return true
		}
	}
	return false
}

// disconnected tells whether the client has left, as far as that can be known by now.
func (c *clientConn) disconnected() bool { return c.hasDisconnected.Load() || hasEnded(c.Conn) }

// readCommands reads commands until the client leaves, is turned away for what it sent, or the connection's time is up.
func (c *clientConn) readCommands() (turnedAway bool) {
	unknown := 0
	for first := true; ; first = false {
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.clients.commandsClosed.Load() && hasInput(c.Conn) { // a command that crosses the end of the time
			c.beginCommand(false)
			_, err = c.reader.Peek(1)
		}
		if err != nil {
			return c.endReading(err)
		}
		c.beginCommand(first)
		cmd, err := readCommand(c.reader) // the value is read only if the rest makes sense
		if err == nil {
			err = c.clients.loop.checkCommand(&cmd)
		}
		refuse := err == nil && (cmd.verb == "mg" || cmd.verb == "ms") && !c.clients.loop.reserveValue(&cmd)
		if err == nil && cmd.verb == "ms" {
			refuse, err = c.readWriteValue(&cmd, refuse)
		}
		read := c.clients.loop.now()
		if err != nil && !errors.Is(err, errMalformed) {
			return c.endReading(err)
		}
		sl := c.appendResponse()
		switch {
		case err != nil:
			sl.answer([]byte("CLIENT_ERROR " + err.Error() + "\r\n"))
			return true
		case refuse: // many large writes at once must not cost the router its life
			c.clients.loop.metrics.Class(cmd.class).Ended(metrics.Overload)
			sl.answer(rejectedAnswer(c.clients.loop.rules.Load().retryAfterMillis))
		case cmd.verb == "mg" || cmd.verb == "ms":
			c.clients.loop.post(func() { c.clients.loop.arrive(cmd, read, sl) })
		case cmd.verb == "mn":
			sl.answer(c.clients.readiness())
		case cmd.verb == "quit":
			sl.answer(nil)
			return true
		default:
			sl.answer([]byte("ERROR\r\n"))
			if unknown++; unknown == maxUnknownCommands {
				return true
			}
		}
		if first {
			c.clients.countActive(c)
		}
		if err := c.awaitNextCommand(); err != nil {
			return c.endReading(err)
		}
	}
}

// readWriteValue reads the value of a write, or passes a large one on while it comes. It tells whether the write is to be
// refused; what was held for it is then given back, as after an error.
func (c *clientConn) readWriteValue(cmd *command, refuse bool) (bool, error) {
	l := c.clients.loop
	if cmd.valueBytes <= maxBufferedValue {
		v, err := readValue(c.reader, cmd.valueBytes, refuse)
		if cmd.value = v; err != nil && !refuse {
			l.releaseValue(cmd)
		}
		return refuse, err
	}
	full := refuse
	if !refuse {
		up, err := l.startUpload(cmd)
		cmd.upload, refuse = up, err != nil
	}
	err := c.readLargeValue(cmd.valueBytes, cmd.upload)
	if !full && (refuse || err != nil) {
		l.releaseValue(cmd)
	}
	return refuse, err
}

// endReading ends the reading of a connection after an error. Where the client has not left, what was taken is answered.
func (c *clientConn) endReading(err error) (turnedAway bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.abandonAnswers()
	}
	return false
}

// abandonAnswers gives up what waits for its answer, as nobody takes it any more.
func (c *clientConn) abandonAnswers() {
	c.hasDisconnected.Store(true) // before the loop is told: an attempt that is about to be written sees it
	c.mu.Lock()
	open := c.pending
	c.pending = nil
	c.markUnwritable()
	for _, sl := range open {
		if sl.isReady {
			c.clients.loop.answerBytes.release(len(sl.answerBytes))
		}
	}
	c.mu.Unlock()
	for _, sl := range open {
		c.clients.loop.post(func() { c.clients.loop.clientDisconnected(sl) })
	}
}

// markUnwritable tells that nothing can be written any more. The caller holds mu.
func (c *clientConn) markUnwritable() {
	if !c.isUnwritable {
		c.isUnwritable = true
		close(c.unwritable)
	}
}

// closeAfterAnswers waits until all answers are out, or the client has left, and closes the connection. A close with input unread, or
// before input that is on its way, would reset it, and might destroy answers on theirs: a client that was turned away, whose
// next command has crossed the end, or that has just been answered sees the end of the answers first, and is read on for a
// bounded time.
func (c *clientConn) closeAfterAnswers(turnedAway bool) {
	unwanted := 0
	if turnedAway {
		unwanted = lingerBytes
	}
	left := c.watchForDisconnect(func() bool { return c.unanswered() == 0 }, unwanted)
	c.mu.Lock()
	broken, until := c.isUnwritable, c.lastAnswerAt.Add(restAfterAnswer)
	c.mu.Unlock()
	if turnedAway || c.reader.Buffered() > 0 || hasInput(c.Conn) {
		until = time.Now().Add(lingerTimeout)
	}
	if left || broken {
		c.abandonAnswers()
	} else if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && time.Now().Before(until) && half.CloseWrite() == nil {
		c.SetReadDeadline(until)
		io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, maxLineBytes)) //nolint:errcheck // it is unwanted
	}
	c.Close()
}

// onlyReader hides the methods by which a copy would do without the buffer it is given.
type onlyReader struct{ io.Reader }
