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

// upstreamConn is a connection to a target. It carries one attempt at a time: answers come in order and giving up
// closes it, so others behind it would wait for the first, or go down with it.
type upstreamConn struct {
	net.Conn
	reader         *bufio.Reader
	remainingBytes int       // bytes that may still come for what is being read
	idleSince      time.Time // idle since
}

// An answer is bounded in bytes and in time, whatever it says of itself.
const (
	maxAnswerBytes = 2*maxHeadBytes + maxBufferedValue + maxValueBytes // with room for chunks and provisional answers
	answerTimeout  = 250 * time.Millisecond                            // for the rest to come once it has begun; aims are longer, so a read is tried again in time
)

// Read reads from the connection, up to the bound.
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

// isReusable tells whether nothing has come beside the answer that was read. What else is there belongs to no request.
func (c *upstreamConn) isReusable() bool {
	return c.reader.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil && c.isQuiet()
}

// isQuiet reports whether an idle connection is open and has nothing to read: an end, a reset or a stray answer makes
// it useless, and a request written to it would end as a reset.
func (c *upstreamConn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// attemptHooks are what the owner of an attempt has a say in.
type attemptHooks struct {
	isNotRepeatable bool                         // what is sent can't be sent again
	beforeWrite     func() timeoutHint           // asked once, before the first byte, what to tell the server: 0 calls the attempt off
	afterWrite      func()                       // told of the last one
	openStream      func(got reply) *valueStream // asked for the client of a value that is to be passed through; nil = there is none
}

// errStreamUnwanted ends a connection with a value that nobody waits for any more.
var errStreamUnwanted = errors.New("value unwanted")

// roundTrip writes c to t once, never twice, and says how that ended. The end of ctx gives the attempt up by closing
// its connection.
func (u *upstreams) roundTrip(ctx context.Context, t *target, c *command, on attemptHooks) reply {
	conn, err := u.acquire(ctx, t, on.isNotRepeatable)
	switch {
	case errors.Is(err, errNoDescriptor):
		return replyWithoutAnswer(decide.Unprocessed)
	case err != nil:
		return replyWithoutAnswer(decide.ConnectError)
	}
	hint := on.beforeWrite()
	if hint == 0 {
		u.releaseUnused(t, conn)
		return replyWithoutAnswer(decide.Unprocessed) // nothing of it was written
	}
	wire, read := c.append(nil, hint), readReply
	if t.isOrigin {
		if wire, err = originRequest(t.addr, c, hint); err != nil { // it can't be said in HTTP
			u.releaseUnused(t, conn)
			return replyWithoutAnswer(decide.Unprocessed)
		}
		read = u.readOrigin
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	if _, err := conn.Write(wire); err != nil { // the last byte is not out, so nothing can have run
		stop()
		u.release(t, conn, false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	return u.readAnswer(t, conn, c, stop, read, on)
}

// readAnswer reads the answer to c, which is written whole, and gives the connection back. stop ends the watch for the end
// of the attempt and tells whether that has not come.
func (u *upstreams) readAnswer(t *target, conn *upstreamConn, c *command, stop func() bool,
	read func(*bufio.Reader, *command) (reply, error), on attemptHooks) reply {
	on.afterWrite()
	a := reply{load: decide.NoLoadReport}
	err := conn.awaitFirstByte()
	answered := err == nil
	if answered {
		a, err = read(conn.reader, c)
	}
	if err == nil && a.streamedBytes > 0 {
		if sink := on.openStream(a); sink != nil {
			err = sink.copyValue(conn, a)
		} else {
			err = errStreamUnwanted // by now
		}
	}
	u.release(t, conn, stop() && err == nil && !a.closesConnection && conn.isReusable())
	switch {
	case answered && err != nil: // not understood, or it broke off: it has run, and the server was at work
		a.status = decide.MalformedResponse
	case err != nil: // ended after the last byte: it may have run
		a.status = decide.Reset
	}
	return a
}
