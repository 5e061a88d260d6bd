package router

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// upstreamConn is a connection to a target. It carries one attempt at a time: answers come in the
// order of the commands and a cancelled attempt closes its connection, so others on it would wait for
// the first, or be reset with it.
//
// It belongs to the pool while it is idle, and to who has acquired it until it is released.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// remainingBytes is what may still come of the answer that is being read.
	remainingBytes int
	// idleSince is when it was opened or released.
	idleSince time.Time
}

// An answer is bounded in bytes and in time, whatever it says of itself.
const (
	// maxAnswerBytes has capacity for chunk headers and provisional answers.
	maxAnswerBytes = 2*maxHeadBytes + maxBufferedValue + maxValueBytes
	// answerTimeout is the time for the rest of an answer to come once it has begun. It is below the
	// usual latency objective, so a read is retried in time.
	answerTimeout = 250 * time.Millisecond
)

// Read reads from the connection, up to remainingBytes. A read deadline that passes is an answer that
// stopped short.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.remainingBytes <= 0 {
		return 0, malformed("answer over %d bytes", maxAnswerBytes)
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remainingBytes)])
	c.remainingBytes -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = malformed("answer stopped short")
	}
	return n, err
}

// awaitFirstByte waits for an answer's first byte and bounds the rest.
func (c *upstreamConn) awaitFirstByte() error {
	c.remainingBytes = maxAnswerBytes
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(answerTimeout))
}

// isReusable reports whether nothing has come beside the answer that was read: other input belongs to
// no request.
func (c *upstreamConn) isReusable() bool {
	return c.reader.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil && c.isQuiet()
}

// isQuiet reports whether an idle connection is open and has nothing to read: an end, a reset or a
// stray answer makes it useless, and a request written to it would end as a reset.
func (c *upstreamConn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// attemptHooks are what the owner of an attempt decides. They are called on the attempt's goroutine.
type attemptHooks struct {
	// isNotRepeatable is set where the request may not be sent twice at will.
	isNotRepeatable bool
	// beforeWrite is called once, before the first byte, and returns the timeout hint for the server.
	// 0 means that nothing may be written.
	beforeWrite func() timeoutHint
	// afterWrite is called after the last byte.
	afterWrite func()
	// openStream is asked for the client of a value that is to be streamed; nil where there is none.
	openStream func(got reply) *valueStream
}

// errStreamUnwanted ends the connection of a value that nobody waits for any more.
var errStreamUnwanted = errors.New("value unwanted")

// answerReader reads a target's answer to a command.
type answerReader func(*bufio.Reader, *command) (reply, error)

// upstreamExchange is a command that is written completely, and how its answer is read.
type upstreamExchange struct {
	target  *target
	conn    *upstreamConn
	command *command
	read    answerReader
	// stopWatch ends the watch that closes the connection when the attempt's context ends. It returns
	// false if that has happened.
	stopWatch func() bool
}

// roundTrip writes a command to a target once, never twice, and returns how that ended. When ctx ends
// the connection is closed, which cancels the attempt.
func (u *upstreams) roundTrip(ctx context.Context, t *target, c *command, hooks attemptHooks) reply {
	conn, err := u.acquire(ctx, t, hooks.isNotRepeatable)
	switch {
	case errors.Is(err, errNoDescriptor):
		return replyWithoutAnswer(decide.Unprocessed)
	case err != nil:
		return replyWithoutAnswer(decide.ConnectError)
	}
	hint := hooks.beforeWrite()
	if hint == 0 {
		u.releaseUnused(t, conn)
		return replyWithoutAnswer(decide.Unprocessed)
	}
	wire, read, err := u.encode(t, c, hint)
	if err != nil { // it can't be said in HTTP
		u.releaseUnused(t, conn)
		return replyWithoutAnswer(decide.Unprocessed)
	}
	stopWatch := context.AfterFunc(ctx, func() { conn.Close() })
	if _, err := conn.Write(wire); err != nil { // the last byte is not out, so nothing can have run
		stopWatch()
		u.release(t, conn, false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	return u.readAnswer(upstreamExchange{t, conn, c, read, stopWatch}, hooks)
}

// encode returns a command as a target gets it, and the reader of its answers.
func (u *upstreams) encode(t *target, c *command, hint timeoutHint) ([]byte, answerReader, error) {
	if !t.isOrigin {
		return c.append(nil, hint), readReply, nil
	}
	wire, err := originRequest(t.addr, c, hint)
	return wire, u.readOrigin, err
}

// readAnswer reads the answer to a command that is written completely, and releases the connection.
// An answer that can't be understood, or that broke off, shows that the request has run and the
// server was at work; a connection that ends before the answer leaves open whether it has run.
func (u *upstreams) readAnswer(x upstreamExchange, hooks attemptHooks) reply {
	hooks.afterWrite()
	got := reply{load: decide.NoLoadReport}
	err := x.conn.awaitFirstByte()
	hasBegun := err == nil
	if hasBegun {
		got, err = x.read(x.conn.reader, x.command)
	}
	if err == nil && got.streamedBytes > 0 {
		err = errStreamUnwanted
		if stream := hooks.openStream(got); stream != nil {
			err = stream.copyValue(x.conn, got)
		}
	}
	isOpen := x.stopWatch()
	u.release(x.target, x.conn, isOpen && err == nil && !got.closesConnection && x.conn.isReusable())
	switch {
	case hasBegun && err != nil:
		got.status = decide.MalformedResponse
	case err != nil:
		got.status = decide.Reset
	}
	return got
}
