package router

// Reading commands from a client's connection, on its reader goroutine.

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"dockhinge.example/dockhinge/internal/metrics"
)

// Read reads input for the connection's buffer. An expired read deadline that ends an idle connection
// does not end a command of which the rest has come already: its client could not tell that it was
// not taken.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForLateInput() {
		return c.Conn.Read(b)
	}
	return n, err
}

// extendForLateInput reports whether the connection was ended while input of a command stands there,
// and gives the command its time again.
func (c *clientConn) extendForLateInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isDraining || !c.isReadingCommand || !time.Now().Before(c.commandDeadline) || !hasInput(c.Conn) {
		return false
	}
	c.SetReadDeadline(c.commandDeadline)
	return true
}

// beginCommand sets the time for a command whose first byte has come. The first command's time has
// run since the connection was accepted.
func (c *clientConn) beginCommand(isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReadingCommand = true
	if !isFirst || c.isDraining {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.SetReadDeadline(c.commandDeadline)
	}
}

// awaitNextCommand waits until the pipeline has capacity for the next command and sets the read
// deadline for its first byte. There is none while commands are unanswered, as the read then serves
// to see the client disconnect.
func (c *clientConn) awaitNextCommand() error {
	c.mu.Lock()
	c.isReadingCommand = false
	c.hasSentCommand = true
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
	case c.isDraining: // commands that have come already are still answered
		c.SetReadDeadline(expiredDeadline)
	default:
		c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	return nil
}

// receivedCommand is a command that is complete.
type receivedCommand struct {
	command
	// receivedAt is when it was complete, in milliseconds on the loop's clock.
	receivedAt float64
	// isRejected is set where there is no capacity for its value or its answer.
	isRejected bool
}

// readCommands reads commands until the client disconnects, is rejected for what it sent, or the
// connection's time is up. It reports whether the client was rejected.
func (c *clientConn) readCommands() (isRejected bool) {
	unknownCommands := 0
	for isFirst := true; ; isFirst = false {
		if err := c.awaitFirstByte(); err != nil {
			c.endReading(err)
			return false
		}
		c.beginCommand(isFirst)
		received, err := c.receiveCommand()
		if err != nil && !errors.Is(err, errMalformed) {
			c.endReading(err)
			return false
		}
		r := c.appendResponse()
		switch {
		case err != nil:
			r.answer([]byte("CLIENT_ERROR " + err.Error() + "\r\n"))
			return true
		case received.isRequest():
			c.submit(received, r)
		case received.verb == verbNoOperation:
			r.answer(c.clients.readiness())
		case received.verb == verbQuit:
			r.answer(nil)
			return true
		default:
			r.answer([]byte("ERROR\r\n"))
			unknownCommands++
			if unknownCommands == maxUnknownCommands {
				return true
			}
		}
		if c.isOverflow {
			return false
		}
		if isFirst {
			c.clients.countActive(c)
		}
		if err := c.awaitNextCommand(); err != nil {
			c.endReading(err)
			return false
		}
	}
}

// awaitFirstByte waits for a command's first byte. A command that crosses the end of the connection's
// idle time is still taken: its client can't know.
func (c *clientConn) awaitFirstByte() error {
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.clients.commandsClosed.Load() && hasInput(c.Conn) {
		c.beginCommand(false)
		_, err = c.reader.Peek(1)
	}
	return err
}

// receiveCommand reads a command with its value. The value is read only if the rest makes sense and
// there is capacity for it; else it is discarded.
func (c *clientConn) receiveCommand() (receivedCommand, error) {
	l := c.clients.loop
	cmd, err := readCommand(c.reader)
	if err == nil {
		err = l.checkCommand(&cmd)
	}
	isRejected := false
	if err == nil && cmd.isRequest() {
		isRejected = c.isOverflow || !l.reserveValue(&cmd)
	}
	if err == nil && cmd.isWrite() {
		isRejected, err = c.readWriteValue(&cmd, isRejected)
	}
	return receivedCommand{command: cmd, receivedAt: l.now(), isRejected: isRejected}, err
}

// submit gives a request to the loop. One that there is no capacity for is rejected here: many large
// writes at once must not exhaust the router's memory.
func (c *clientConn) submit(received receivedCommand, r *response) {
	l := c.clients.loop
	if received.isRejected {
		l.metrics.Class(received.class).CountOutcome(metrics.Overload)
		r.answer(rejectedAnswer(l.rules.Load().retryAfterMillis))
		return
	}
	l.post(func() { l.arrive(received.command, received.receivedAt, r) })
}

// readWriteValue reads the value of a write, or forwards a large one while it comes. It reports
// whether the write is to be rejected. What was reserved for the value is then released, as after an
// error.
func (c *clientConn) readWriteValue(cmd *command, hasNoCapacity bool) (isRejected bool, err error) {
	l := c.clients.loop
	if cmd.valueBytes <= maxBufferedValue {
		cmd.value, err = readValue(c.reader, cmd.valueBytes, hasNoCapacity)
		if err != nil && !hasNoCapacity {
			l.releaseValue(cmd)
		}
		return hasNoCapacity, err
	}
	isRejected = hasNoCapacity
	if !hasNoCapacity {
		var uploadErr error
		cmd.upload, uploadErr = l.startUpload(cmd)
		isRejected = uploadErr != nil
	}
	err = c.readLargeValue(cmd.valueBytes, cmd.upload)
	if !hasNoCapacity && (isRejected || err != nil) {
		l.releaseValue(cmd)
	}
	return isRejected, err
}

// endReading ends the reading of a connection after an error. Commands that were taken are still
// answered where the connection's time was up, and abandoned where the client has disconnected.
func (c *clientConn) endReading(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.abandonAnswers()
	}
}
