package router

// Reading commands from a client's connection, on its reader goroutine.

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"dockhinge.example/dockhinge/internal/metrics"
)

// Read reads input for the connection's buffer, until no further input is accepted. If an idle
// connection is ended by an expired read deadline while the rest of a command has already been
// received, the command is still read: its client could not tell that it was dropped.
func (c *clientConn) Read(b []byte) (int, error) {
	if !c.acceptsInput() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.readInput(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForLateInput() {
		return c.readInput(b)
	}
	return n, err
}

// readInput reads from the socket. The reader's work doesn't include the time that it waits for input.
func (c *clientConn) readInput(b []byte) (n int, err error) {
	if !c.valueDeadline.IsZero() {
		c.extendReadDeadline(c.valueDeadline)
	}
	n, err = readNotingWait(c.Conn, b, c.turn.pause)
	c.turn.resume()
	return n, err
}

// extendForLateInput reports whether the draining connection has unread input of a command, and
// restores the command's deadline.
func (c *clientConn) extendForLateInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayExtend := c.isDraining && c.isReadingCommand && !c.isUnwritable && time.Now().Before(c.commandDeadline)
	if !mayExtend || !hasInput(c.Conn) {
		return false
	}
	c.SetReadDeadline(c.commandDeadline)
	return true
}

// beginCommand sets the deadline of a command whose first byte was received. The deadline of the
// first command was set when the connection was accepted.
func (c *clientConn) beginCommand(isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReadingCommand = true
	if !isFirst || c.isDraining {
		c.commandDeadline = time.Now().Add(c.laterCommandTimeout())
		c.SetReadDeadline(c.commandDeadline)
	}
}

// awaitNextCommand waits until the pipeline has capacity for the next command and sets the read
// deadline for its first byte. There is no deadline while commands are unanswered; the read then
// only serves to notice a disconnect.
func (c *clientConn) awaitNextCommand() error {
	c.mu.Lock()
	c.isReadingCommand = false
	c.hasSentCommand = true
	c.mu.Unlock()
	c.turn.pause()
	hasDisconnected := c.watchForDisconnect(func() bool { return c.unanswered() < maxPipelined }, 0)
	c.turn.resume()
	if hasDisconnected {
		return io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isUnwritable:
		return net.ErrClosed
	case c.unanswered() > 0:
		c.SetReadDeadline(time.Time{})
	case c.isDraining: // commands already received are still answered
		c.SetReadDeadline(expiredDeadline)
	default:
		c.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	return nil
}

// awaitOpenRead waits, before a command is carried out, until the answer to the last read is in memory
// or written. A value that is too long for memory can break off, and then nothing behind it can be
// answered on this connection: a request that was forwarded would be lost, another one is sent again
// by its client. The command's time, and the time to receive the rest of it, begin after the wait.
func (c *clientConn) awaitOpenRead() error {
	c.mu.Lock()
	hasOpenRead := c.openRead != nil
	c.mu.Unlock()
	if !hasOpenRead {
		return nil
	}
	c.turn.pause()
	hasDisconnected := c.watchForDisconnect(func() bool { return c.openRead == nil }, 0)
	c.turn.resume()
	if hasDisconnected {
		return io.EOF
	}
	c.mu.Lock()
	isUnwritable := c.isUnwritable
	c.mu.Unlock()
	if isUnwritable {
		return net.ErrClosed
	}
	c.beginCommand(false)
	return nil
}

// acceptsInput reports whether further input is read. Commands that the buffer holds are read even
// if it is not.
func (c *clientConn) acceptsInput() bool {
	return !c.isInputClosed && !c.isBrokenOff.Load() && !c.isEvicted.Load() && !c.clients.inputClosed.Load()
}

// hasMoreInput reports whether input behind the last command has been received.
func (c *clientConn) hasMoreInput() bool { return c.reader.Buffered() > 0 || hasInput(c.Conn) }

// receivedCommand is a completely received command.
type receivedCommand struct {
	command
	// receivedAt is when its last byte was received, in milliseconds on the loop's clock.
	receivedAt float64
	// isRejected is set if there is no capacity for its value or its answer.
	isRejected bool
	// ruleError is the error of a request that the settings don't allow; nil if they do.
	ruleError error
}

// isSoundRequest reports whether the command is a request that the settings allow, though it may have
// been rejected for lack of capacity. Its client waits for the answer and must not be held up for
// others.
func (r *receivedCommand) isSoundRequest() bool { return r.isRequest() && r.ruleError == nil }

// readCommands reads commands until the client disconnects, sends invalid input or quit, or the
// connection's time is up. It reports whether the client was rejected, which includes quit.
func (c *clientConn) readCommands() (isRejected bool) {
	overflowEnd := time.Now().Add(overflowCommandTimeout)
	for commands := 1; ; commands++ {
		isFirst := commands == 1
		if err := c.awaitFirstByte(); err != nil {
			c.endReading(err)
			return false
		}
		c.beginCommand(isFirst)
		received, err := c.receiveCommand()
		if err != nil && !errors.Is(err, errMalformed) {
			return c.endCommand(err)
		}
		if !c.handleCommand(received, err) {
			return true
		}
		if received.isSoundRequest() {
			c.turn.endServed()
		} else {
			c.turn.endLocal()
		}
		if c.isOverflow {
			isFlooding := commands >= overflowFloodCommands
			c.isInputClosed = time.Now().After(overflowEnd) || isFlooding && c.clients.isClientWaiting.Load()
			if !c.hasMoreInput() {
				return false
			}
		}
		if isFirst && !c.isOverflow {
			c.clients.countActive(c)
		}
		if err := c.awaitNextCommand(); err != nil {
			c.endReading(err)
			return false
		}
	}
}

// handleCommand answers a received command or submits it. parseErr is the error of a malformed one.
// It reports whether the connection may carry further commands.
func (c *clientConn) handleCommand(received receivedCommand, parseErr error) bool {
	r := c.appendResponse()
	switch {
	case parseErr != nil:
		r.answer([]byte("CLIENT_ERROR " + parseErr.Error() + "\r\n"))
		return false
	case received.ruleError != nil:
		r.answer([]byte("CLIENT_ERROR " + received.ruleError.Error() + "\r\n"))
		return c.discardValue(&received.command) == nil // the client may have sent valid commands behind it
	case received.isRequest():
		c.awaitTurn(&received)
		c.submit(received, r)
	case received.verb == verbNoOperation:
		r.answer(c.clients.readiness())
	case received.verb == verbQuit:
		r.answer(nil)
		return false
	default:
		r.answer([]byte("ERROR\r\n"))
		c.unknownCommands++
		return c.unknownCommands < maxUnknownCommands
	}
	return true
}

// awaitFirstByte waits for a command's first byte. A command that arrives just as the idle time
// ends is still accepted, because its client can't know that the time is over. Nor can a client that
// is still receiving answers.
func (c *clientConn) awaitFirstByte() error {
	for {
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.acceptsInput() {
			return err
		}
		if hasInput(c.Conn) {
			c.beginCommand(false)
			_, err = c.reader.Peek(1)
			return err
		}
		if !c.awaitsDelivery() {
			return err
		}
	}
}

// receiveCommand reads a command with its value. The value is discarded if there is no capacity for
// it, and not read if the command is malformed or the settings don't allow the request.
func (c *clientConn) receiveCommand() (receivedCommand, error) {
	l := c.clients.loop
	cmd, err := readCommand(c.reader)
	if err != nil {
		return receivedCommand{}, err
	}
	if err := c.awaitOpenRead(); err != nil {
		return receivedCommand{}, err
	}
	received := receivedCommand{ruleError: l.checkCommand(&cmd)}
	if received.ruleError == nil && cmd.isRequest() {
		received.isRejected = c.isOverflow || !l.reserveRequest(&cmd)
	}
	if received.ruleError == nil && cmd.isWrite() {
		received.isRejected, err = c.readWriteValue(&cmd, received.isRejected)
	}
	received.command = cmd
	received.receivedAt = l.now()
	if cmd.upload != nil {
		received.receivedAt -= inMillis(cmd.upload.lag.behind)
	}
	return received, err
}

// awaitTurn waits until a request may begin, and rejects it if that takes so long that less than half of
// its client's time would be left. A large write has begun while it was received. A connection beyond
// the limit is only rejected, and others wait for its descriptor; so is an evicted one, whose buffered
// commands are still answered.
func (c *clientConn) awaitTurn(received *receivedCommand) {
	if c.isOverflow {
		return
	}
	if c.isEvicted.Load() {
		c.reject(received)
		return
	}
	requests := c.clients.requests
	cost := turnCost(received.valueBytes)
	if received.upload != nil {
		requests.charge(&c.turns, cost)
		return
	}
	l := c.clients.loop
	remaining := min(l.clientWaitMillis(&received.command), l.answerDeadline.load()-l.now())
	c.turn.pause()
	mayBegin := requests.await(&c.turns, cost, ms(remaining/2))
	c.turn.resume()
	if !mayBegin {
		slog.Warn("rejecting a request that had no turn within half of its time", "request", received.id,
			"waited", ms(l.now()-received.receivedAt))
		c.reject(received)
	}
}

// reject marks a request as rejected and releases its memory.
func (c *clientConn) reject(received *receivedCommand) {
	if !received.isRejected {
		received.isRejected = true
		c.clients.loop.releaseRequest(&received.command)
	}
}

// submit passes a request to the loop. If there is no capacity for it, it is rejected here, so that
// many concurrent large writes can't exhaust the router's memory.
func (c *clientConn) submit(received receivedCommand, r *response) {
	l := c.clients.loop
	if received.isRejected {
		l.metrics.Class(received.class).CountOutcome(metrics.Overload)
		r.answer(rejectedAnswer(l.rules.Load().retryAfterMillis))
		return
	}
	if received.verb == verbRead {
		r.open()
	}
	l.post(func() { l.handleArrival(received.command, received.receivedAt, r) })
}

// readWriteValue reads the value of a write, or forwards a large value while receiving it. It
// reports whether the write is to be rejected. After a rejection or an error, the memory reserved
// for the value is released.
func (c *clientConn) readWriteValue(cmd *command, hasNoCapacity bool) (isRejected bool, err error) {
	l := c.clients.loop
	if cmd.valueBytes <= maxBufferedValue {
		cmd.value, err = c.readShortValue(cmd.valueBytes, hasNoCapacity)
		if err != nil && !hasNoCapacity {
			l.releaseRequest(cmd)
		}
		return hasNoCapacity, err
	}
	isRejected = hasNoCapacity
	if !hasNoCapacity {
		var uploadErr error
		cmd.upload, uploadErr = l.startUpload(cmd)
		c.turn.endServed()
		isRejected = uploadErr != nil
	}
	err = c.readLargeValue(cmd.valueBytes, cmd.upload, c.turn.endServed)
	if cmd.upload != nil && cmd.upload.lag.isOver() { // the server is only slow, so the Balancer isn't told of it
		isRejected = true
	}
	if !hasNoCapacity && (isRejected || err != nil) {
		l.releaseRequest(cmd)
	}
	return isRejected, err
}

// readShortValue reads a value of up to maxBufferedValue. Each part of it may take commandTimeout, as
// those of a large value.
func (c *clientConn) readShortValue(valueBytes int, isUnwanted bool) ([]byte, error) {
	if !c.isOverflow { // other connections wait for its descriptor
		c.valueDeadline = time.Now().Add(shortValueTimeout)
		defer func() { c.valueDeadline = time.Time{} }()
	}
	return readValue(c.reader, valueBytes, isUnwanted)
}

// discardValue reads the value of a command, if it has one, and discards it.
func (c *clientConn) discardValue(cmd *command) (err error) {
	switch {
	case !cmd.isWrite():
		return nil
	case cmd.valueBytes <= maxBufferedValue:
		_, err = c.readShortValue(cmd.valueBytes, true)
	default:
		err = c.readLargeValue(cmd.valueBytes, nil, c.turn.endLocal)
	}
	return err
}

// endCommand handles the error that ended the reading of a command before its end. If no further
// input is accepted, the command is rejected: its last bytes may be in transit, and its client
// would wait for the answer. It reports whether the client was rejected.
func (c *clientConn) endCommand(err error) (isRejected bool) {
	if c.acceptsInput() || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.endReading(err)
		return false
	}
	c.appendResponse().answer(rejectedAnswer(c.clients.loop.rules.Load().retryAfterMillis))
	return true
}

// endReading handles the error that ended the reading of a connection. If the connection's time was
// up, accepted commands are still answered; if the client has disconnected, they are abandoned.
func (c *clientConn) endReading(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.abandonAnswers()
	}
}
