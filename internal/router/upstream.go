package router

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// upstreamConn is a connection to a target. It carries one attempt at a time: answers come in the
// order of the commands, so a second attempt would wait for the first, and canceling the first
// closes the connection under the second.
//
// While idle it belongs to the pool, otherwise to the goroutine that has acquired it.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// target is the server that it leads to.
	target *target
	// idleElement is its place among the idle connections; nil if it is not idle. upstreams.mu guards it.
	idleElement *list.Element
	// remainingBytes is how many bytes the current answer may still have.
	remainingBytes int
	// idleSince is when the connection was opened or last released.
	idleSince time.Time
	// last is the answer that it carried last; a duplicate of it may still arrive.
	last lastAnswer
	// carried holds the requests that it carried last.
	carried recentRequests
}

// Limits on the size and duration of an answer, whatever length it announces.
const (
	// maxAnswerBytes leaves capacity for chunk headers and provisional answers.
	maxAnswerBytes = 2*maxHeadBytes + maxBufferedValue + maxValueBytes
	// answerTimeout is how long the rest of an answer may take after its first byte, up to a value
	// that is streamed. It is below the usual latency objective, so that a read can still be retried
	// in time.
	answerTimeout = 250 * time.Millisecond
)

// Read reads at most remainingBytes from the connection. If the read deadline passes, the answer is
// incomplete and counts as malformed.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.remainingBytes <= 0 {
		return 0, malformed("answer over %d bytes", maxAnswerBytes)
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remainingBytes)])
	c.remainingBytes -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: answer stopped short: %w", errMalformed, err)
	}
	return n, err
}

// awaitFirstByte waits for an answer's first byte and limits the size and time of the rest.
func (c *upstreamConn) awaitFirstByte() error {
	c.remainingBytes = maxAnswerBytes
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(answerTimeout))
}

// awaitValue waits for the first byte of a value that is to be streamed: an answer counts only once
// its value has begun. The server has accepted the request with the head of its answer, so it may
// take as long as the attempt does: when the attempt's time is up, the connection is closed.
func (c *upstreamConn) awaitValue() error {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

// isReusable reports whether the connection is free of input after the answer that was read. Any
// other input belongs to no request.
func (c *upstreamConn) isReusable() bool {
	return c.reader.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil && c.isQuiet()
}

// isQuiet reports whether an idle connection is open and has nothing to read. A closed or reset
// connection, or one with a stray answer, can't be used: the request would end with a reset.
func (c *upstreamConn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// attemptHooks are the callbacks of an attempt's owner. They run on the attempt's goroutine.
type attemptHooks struct {
	// isNotRepeatable is set if sending the request twice may have a further effect.
	isNotRepeatable bool
	// beforeWrite is called once, before the first byte, and returns the timeout hint for the
	// server. 0 means that nothing may be written.
	beforeWrite func() timeoutHint
	// afterWrite is called after the last byte was written.
	afterWrite func()
	// beforeValue is called when the head of an answer was received whose value is to be streamed.
	beforeValue func()
	// openStream returns the stream to the client for a large value, or nil if the request has
	// ended.
	openStream func(got reply) *valueStream
}

// errStreamAborted is the error for a value that is not streamed to its end. The connections used
// for it are closed.
var errStreamAborted = errors.New("streamed value aborted")

// answerReader reads a target's answer to a command.
type answerReader func(*bufio.Reader, *command, *answerMemory) (reply, error)

// upstreamExchange is a completely written command whose answer is to be read.
type upstreamExchange struct {
	target  *target
	conn    *upstreamConn
	command *command
	read    answerReader
	// memory is for the answer.
	memory *answerMemory
	// stopWatch stops closing the connection when the attempt's context ends. It returns false if
	// the connection has been closed already.
	stopWatch func() bool
}

// roundTrip writes a command to a target, never more than once, and returns the outcome. When ctx
// ends, the connection is closed, which cancels the attempt.
func (u *upstreams) roundTrip(ctx context.Context, t *target, c *command, hooks attemptHooks) reply {
	conn, err := u.acquireFor(ctx, t, c.id, hooks.isNotRepeatable)
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
	if err != nil { // the command has no valid HTTP form
		u.releaseUnused(t, conn)
		return replyWithoutAnswer(decide.Unprocessed)
	}
	conn.carried.add(c.id)
	stopWatch := context.AfterFunc(ctx, func() { conn.Close() })
	if _, err := conn.Write(wire); err != nil { // the last byte was not sent, so the command can't have run
		stopWatch()
		u.release(t, conn, false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	return u.readAnswer(upstreamExchange{t, conn, c, read, u.answers.newAnswer(), stopWatch}, hooks)
}

// encode returns a command in the target's protocol and the reader for its answer.
func (u *upstreams) encode(t *target, c *command, hint timeoutHint) ([]byte, answerReader, error) {
	if !t.isOrigin {
		return c.append(nil, hint), readReply, nil
	}
	wire, err := originRequest(t.addr, c, hint)
	return wire, readOriginReply, err
}

// receiveAnswer reads the answer up to a value that is to be streamed. hasBegun is set once a part of
// the answer was received.
func (x upstreamExchange) receiveAnswer(hooks attemptHooks) (got reply, hasBegun bool, err error) {
	for {
		if err = x.conn.awaitFirstByte(); err != nil {
			return replyWithoutAnswer(decide.Reset), false, err
		}
		got, err = x.read(x.conn.reader, x.command, x.memory)
		if err != nil {
			x.memory.release()
		}
		if err == nil && !x.target.isOrigin { // the origin's answers have no id
			x.conn.last = lastAnswer{requestID: x.command.id}
		}
		if err == nil && got.streamedBytes > 0 {
			hooks.beforeValue()
			err = x.conn.awaitValue()
			return got, true, err
		}
		if err == nil || !x.conn.skipDuplicate(err) {
			return got, true, err
		}
	}
}

// readAnswer reads the answer to a completely written command and releases the connection. A
// malformed or incomplete answer shows that the server has run the request; if the
// connection ends before any answer, it is unknown whether the request has run.
func (u *upstreams) readAnswer(x upstreamExchange, hooks attemptHooks) reply {
	hooks.afterWrite()
	got, hasBegun, err := x.receiveAnswer(hooks)
	if err == nil && got.streamedBytes > 0 {
		err = errStreamAborted
		if stream := hooks.openStream(got); stream != nil {
			err = stream.copyValue(x.conn, got)
		}
	}
	isOpen := x.stopWatch()
	u.release(x.target, x.conn, isOpen && err == nil && !got.closesConnection && x.conn.isReusable())
	switch {
	case errors.Is(err, errNoAnswerMemory):
		got = replyWithoutAnswer(decide.OK)
		got.isOverMemory = true
	case hasBegun && err != nil:
		got.status = decide.MalformedResponse
	case err != nil:
		got.status = decide.Reset
	}
	return got
}
