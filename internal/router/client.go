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
	s               *clients
	r               *bufio.Reader
	taking          atomic.Bool // a large value is coming
	counted         atomic.Bool // among those that have asked
	hasDisconnected atomic.Bool // the client has gone: what waits is not sent on

	mu       sync.Mutex
	queue    []*slot       // whose answers are not being written yet
	writing  int           // answers that are
	broken   bool          // nothing can be written any more,
	dead     chan struct{} // which closes this
	asked    bool          // a command has come
	reading  bool          // another has begun,
	by       time.Time     // and has to be whole by then
	watching bool          // the reader waits for the client to leave: the end of its time wakes it
	closing  bool          // ends as soon as nothing waits for its answer
	since    time.Time     // idle since, while nothing is open
	answered time.Time     // when an answer was last written
}

// past is a time for reading that is up.
var past = time.Unix(1, 0)

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
	if !c.closing || !c.reading || !time.Now().Before(c.by) || !waiting(c.Conn) {
		return false
	}
	c.SetReadDeadline(c.by)
	return true
}

// open counts the commands that are not answered. The caller holds mu.
func (c *clientConn) open() int { return len(c.queue) + c.writing }

// idle tells since when the connection has had no request open.
func (c *clientConn) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since = c.since; !c.asked && time.Since(since) > askSoon { // else silent ones would drive out the usual clients
		since = since.Add(-asksNothing)
	}
	return since, c.open() == 0 && !c.closing && !c.taking.Load()
}

// drain ends the connection once nothing waits for its answer and no command is coming. Until then it is read on: what a
// client sends on a connection that is open is taken, and its leaving is seen.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; !c.reading && c.open() == 0 {
		c.SetReadDeadline(past)
	}
}

// drop ends the connection at once if no request is open: half a command is none.
func (c *clientConn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open() == 0 && !c.taking.Load() {
		c.closing = true
		c.SetReadDeadline(past)
	}
}

// begin tells that a command has begun. The first one's time has run since the connection came.
func (c *clientConn) begin(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading = true; !first || c.closing {
		c.by = time.Now().Add(commandTime)
		c.SetReadDeadline(c.by)
	}
}

// await waits until there is room for the next command and sets the time for it: none while requests are open, as then
// the client's leaving is waited for.
func (c *clientConn) await() error {
	c.mu.Lock()
	c.reading, c.asked = false, true
	c.mu.Unlock()
	if c.watch(func() bool { return c.open() < maxPipelined }, 0) {
		return io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken:
		return net.ErrClosed
	case c.s.over.Load():
		return os.ErrDeadlineExceeded
	case c.open() > 0:
		c.SetReadDeadline(time.Time{})
	case c.closing: // what has come already is answered
		c.SetReadDeadline(past)
	default:
		c.SetReadDeadline(time.Now().Add(idleTime))
	}
	return nil
}

// watch waits until done holds or nothing can be written any more, and tells whether the client has left instead. Up to so many bytes of
// input are thrown away meanwhile, the rest is not read: the client's end is seen behind it. done is asked with mu held.
func (c *clientConn) watch(done func() bool, unwanted int) (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !done() && !c.broken {
		c.watching = true
		c.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		left := awaitEnd(c.Conn, &unwanted)
		c.mu.Lock()
		if c.watching = false; left {
			return true
		}
	}
	return false
}

// disconnected tells whether the client has left, as far as that can be known by now.
func (c *clientConn) disconnected() bool { return c.hasDisconnected.Load() || ended(c.Conn) }

// read reads commands until the client leaves, is turned away for what it sent, or the connection's time is up.
func (c *clientConn) read() (turnedAway bool) {
	unknown := 0
	for first := true; ; first = false {
		_, err := c.r.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.s.over.Load() && waiting(c.Conn) { // a command that crosses the end of the time
			c.begin(false)
			_, err = c.r.Peek(1)
		}
		if err != nil {
			return c.unread(err)
		}
		c.begin(first)
		cmd, err := readCommand(c.r) // the value is read only if the rest makes sense
		if err == nil {
			err = c.s.l.check(&cmd)
		}
		refuse := err == nil && (cmd.verb == "mg" || cmd.verb == "ms") && !c.s.l.room(&cmd)
		if err == nil && cmd.verb == "ms" {
			refuse, err = c.takeValue(&cmd, refuse)
		}
		read := c.s.l.now()
		if err != nil && !errors.Is(err, errMalformed) {
			return c.unread(err)
		}
		sl := c.push()
		switch {
		case err != nil:
			sl.answer([]byte("CLIENT_ERROR " + err.Error() + "\r\n"))
			return true
		case refuse: // many large writes at once must not cost the router its life
			c.s.l.metrics.Class(cmd.class).Ended(metrics.Overload)
			sl.answer(refused(c.s.l.rules.Load().retryAfterMillis))
		case cmd.verb == "mg" || cmd.verb == "ms":
			c.s.l.post(func() { c.s.l.arrive(cmd, read, sl) })
		case cmd.verb == "mn":
			sl.answer(c.s.readiness())
		case cmd.verb == "quit":
			sl.answer(nil)
			return true
		default:
			sl.answer([]byte("ERROR\r\n"))
			if unknown++; unknown == maxUnknown {
				return true
			}
		}
		if first {
			c.s.crowd(c)
		}
		if err := c.await(); err != nil {
			return c.unread(err)
		}
	}
}

// takeValue reads the value of a write, or passes a large one on while it comes. It tells whether the write is to be
// refused; what was held for it is then given back, as after an error.
func (c *clientConn) takeValue(cmd *command, refuse bool) (bool, error) {
	l := c.s.l
	if cmd.length <= maxWhole {
		v, err := readValue(c.r, cmd.length, refuse)
		if cmd.value = v; err != nil && !refuse {
			l.releaseValue(cmd)
		}
		return refuse, err
	}
	full := refuse
	if !refuse {
		up, err := l.startUpload(cmd)
		cmd.up, refuse = up, err != nil
	}
	err := c.readLarge(cmd.length, cmd.up)
	if !full && (refuse || err != nil) {
		l.releaseValue(cmd)
	}
	return refuse, err
}

// unread ends the reading of a connection after an error. Where the client has not left, what was taken is answered.
func (c *clientConn) unread(err error) (turnedAway bool) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.abandonAnswers()
	}
	return false
}

// abandonAnswers gives up what waits for its answer, as nobody takes it any more.
func (c *clientConn) abandonAnswers() {
	c.hasDisconnected.Store(true) // before the loop is told: an attempt that is about to be written sees it
	c.mu.Lock()
	open := c.queue
	c.queue = nil
	c.breakOff()
	for _, sl := range open {
		if sl.ready {
			c.s.l.answerBytes.give(len(sl.text))
		}
	}
	c.mu.Unlock()
	for _, sl := range open {
		c.s.l.post(func() { c.s.l.clientDisconnected(sl) })
	}
}

// breakOff tells that nothing can be written any more. The caller holds mu.
func (c *clientConn) breakOff() {
	if !c.broken {
		c.broken = true
		close(c.dead)
	}
}

// finish waits until all answers are out, or the client has left, and closes the connection. A close with input unread, or
// before input that is on its way, would reset it, and might destroy answers on theirs: a client that was turned away, whose
// next command has crossed the end, or that has just been answered sees the end of the answers first, and is read on for a
// bounded time.
func (c *clientConn) finish(turnedAway bool) {
	unwanted := 0
	if turnedAway {
		unwanted = lingerBytes
	}
	left := c.watch(func() bool { return c.open() == 0 }, unwanted)
	c.mu.Lock()
	broken, until := c.broken, c.answered.Add(rest)
	c.mu.Unlock()
	if turnedAway || c.r.Buffered() > 0 || waiting(c.Conn) {
		until = time.Now().Add(lingerTime)
	}
	if left || broken {
		c.abandonAnswers()
	} else if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && time.Now().Before(until) && half.CloseWrite() == nil {
		c.SetReadDeadline(until)
		io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, maxLine)) //nolint:errcheck // it is unwanted
	}
	c.Close()
}

// onlyReader hides the methods by which a copy would do without the buffer it is given.
type onlyReader struct{ io.Reader }
