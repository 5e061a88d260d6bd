package router

// Large writes: all but the last chunk is forwarded to the server while it is received. The last
// chunk waits for the Balancer's decision, because a server runs a write only once it is complete.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
)

const (
	// lastChunkBytes is the size of the last chunk, which is held back.
	lastChunkBytes = 4 << 10
	// uploadTimeout limits the time for a complete large value, as a client that sends a few bytes
	// at a time never exceeds commandTimeout.
	uploadTimeout = time.Minute
	// sentCheckMinInterval and sentCheckMaxInterval are the times between two checks whether a
	// connection has unsent bytes. The system reports no event for it.
	sentCheckMinInterval = 100 * time.Microsecond
	sentCheckMaxInterval = 10 * time.Millisecond
)

// upload is a large write that is being forwarded. The client's reader goroutine owns it until the
// request is submitted, then the request does. isSettled decides whether the attempt or the end of
// the request gets the connection.
type upload struct {
	loop *loop
	// requestID is the request's id, for the log.
	requestID string
	server    uint32
	target    *target
	// conn is nil if the server does not accept the write.
	conn *upstreamConn
	// lag is how far the reading of the value is behind the client.
	lag uploadLag
	// lastChunk is held back until the attempt.
	lastChunk []byte
	// isSettled is set once, by the attempt or by abandon, which owns the connection from then on.
	isSettled atomic.Bool
}

// errNoUploadCapacity is returned for a large write that can't be accepted now.
var errNoUploadCapacity = errors.New("no capacity for a large write")

// abandon ends an upload without an attempt. Its last chunk was not sent, so the write has not run.
func (p *upload) abandon() {
	if p != nil && p.isSettled.CompareAndSwap(false, true) {
		p.release()
	}
}

// release closes the connection and stops counting the upload.
func (p *upload) release() {
	p.closeConn()
	p.loop.upstreams.uploads.Add(-1)
}

// closeConn closes the connection, if there is one.
func (p *upload) closeConn() {
	if p.conn != nil {
		p.loop.upstreams.release(p.target, p.conn, false)
		p.conn = nil
	}
}

// startUpload opens a connection for a large write to the server that the Balancer currently
// selects for writes. If that fails, the upload has no connection. Its attempt then ends as never
// run, and the Balancer decides how to proceed.
func (l *loop) startUpload(cmd *command) (*upload, error) {
	if l.upstreams.uploads.Add(1) > l.upstreams.uploadLimit() {
		l.upstreams.uploads.Add(-1)
		return nil, errNoUploadCapacity
	}
	startedAt := time.Now()
	p := &upload{loop: l, requestID: cmd.id, lag: newUploadLag(ms(l.uploadWaitMillis(cmd)))}
	if !l.chooseUploadTarget(p) {
		l.upstreams.uploads.Add(-1)
		return nil, errNoUploadCapacity
	}
	p.lag.addServerTime(time.Since(startedAt))
	p.open(cmd)
	return p, nil
}

// open opens the connection and sends the head of the write.
func (p *upload) open(cmd *command) {
	l := p.loop
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), p.serverTimeout())
	defer cancel()
	conn, err := l.upstreams.acquire(ctx, p.target, true)
	p.lag.addServerTime(time.Since(startedAt))
	if err != nil {
		return
	}
	hint := l.uploadHint(cmd)
	if hint == 0 {
		l.upstreams.releaseUnused(p.target, conn)
		return
	}
	p.conn = conn
	p.write(uploadHead(p.target.addr, cmd, hint))
}

// serverTimeout returns how long the router may wait for the server now: until the upload is to be
// given up or, if that is earlier, until the process must have answered.
func (p *upload) serverTimeout() time.Duration {
	return ms(min(inMillis(p.lag.left()), p.loop.answerDeadline.load()-p.loop.now()))
}

// chooseUploadTarget sets the server that writes currently go to, and reports whether that is the
// origin: only the origin's protocol allows forwarding a value in parts.
func (l *loop) chooseUploadTarget(p *upload) bool {
	isOrigin := make(chan bool, 1)
	l.post(func() {
		server, isOpen := l.balancer.WriteServer(l.now())
		p.server = server
		if isOpen {
			p.target = l.targets[server]
		}
		isOrigin <- p.target != nil && p.target.isOrigin
	})
	select {
	case found := <-isOrigin:
		return found
	case <-l.done:
		return false
	}
}

// uploadHead returns the head of a write in the origin's HTTP.
func uploadHead(addr string, c *command, hint timeoutHint) []byte {
	path := (&url.URL{Path: "/" + c.key}).RequestURI()
	const head = "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nX-Correlation-Id: %s\r\nX-Facts: %s\r\n\r\n"
	return fmt.Appendf(nil, head, path, addr, c.valueBytes, c.id, c.metadataWithHint(hint))
}

// write forwards a part of the value. If the server does not accept it in time, the connection is
// closed; the client's value is still read to its end, without waiting for the server any more.
func (p *upload) write(part []byte) {
	if p.conn == nil {
		return
	}
	startedAt := time.Now()
	p.conn.SetWriteDeadline(startedAt.Add(p.serverTimeout()))
	_, err := p.conn.Write(part)
	p.lag.addServerTime(time.Since(startedAt))
	if err != nil {
		slog.Warn("the server takes a large write too slowly or not at all",
			"request", p.requestID, "address", p.target.addr, "behind", p.lag.behind, "error", err)
		p.closeConn()
		return
	}
	p.conn.SetWriteDeadline(time.Time{})
}

// readLargeValue reads a large value and the line end after it, forwarding chunks as they are
// received. If p is nil, the value is discarded. endPart is called after each part.
func (c *clientConn) readLargeValue(valueBytes int, p *upload, endPart func()) error {
	c.isReceivingLargeValue.Store(true)
	defer c.isReceivingLargeValue.Store(false)
	uploadDeadline := time.Now().Add(uploadTimeout)
	var err error
	if p == nil {
		err = c.discardChunks(valueBytes-lastChunkBytes, uploadDeadline, endPart)
	} else {
		err = c.forwardChunks(valueBytes-lastChunkBytes, p, uploadDeadline, endPart)
	}
	if err != nil {
		return err
	}
	lastChunk, err := c.readLastChunk(p, uploadDeadline)
	if err != nil {
		return err
	}
	if p != nil {
		p.lastChunk = lastChunk
	}
	return nil
}

// forwardChunks reads n bytes of a large value and forwards them as they are received.
func (c *clientConn) forwardChunks(n int, p *upload, uploadDeadline time.Time, endPart func()) error {
	chunk := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(chunk)
	for n > 0 {
		received, err := c.readPart(chunk[:min(n, chunkBytes)], p, uploadDeadline)
		n -= received
		if received > 0 {
			p.write(chunk[:received])
			endPart()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// discardChunks reads n bytes of a large value and discards them, in the reader's own memory.
func (c *clientConn) discardChunks(n int, uploadDeadline time.Time, endPart func()) error {
	for n > 0 {
		c.extendReadDeadline(uploadDeadline)
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		discarded, err := c.reader.Discard(min(n, c.reader.Buffered()))
		endPart()
		n -= discarded
		if err != nil {
			return err
		}
	}
	return nil
}

// readPart reads the next part of a large value, up to the length of b. p is nil if the value is
// discarded.
func (c *clientConn) readPart(b []byte, p *upload, uploadDeadline time.Time) (int, error) {
	c.extendReadDeadline(uploadDeadline)
	startedAt := time.Now()
	n, err := c.reader.Read(b)
	if p != nil {
		p.lag.addClientTime(time.Since(startedAt), c.hasMoreInput)
	}
	return n, err
}

// readLastChunk reads the last chunk of a large value and the line end after it.
func (c *clientConn) readLastChunk(p *upload, uploadDeadline time.Time) ([]byte, error) {
	const lineEnd = "\r\n"
	last := make([]byte, 0, lastChunkBytes+len(lineEnd))
	for len(last) < cap(last) {
		n, err := c.readPart(last[len(last):cap(last)], p, uploadDeadline)
		last = last[:len(last)+n]
		behind := len(last) - lastChunkBytes
		if behind > 0 && string(last[lastChunkBytes:]) != lineEnd[:behind] {
			return nil, malformed("value without its end")
		}
		if err != nil && len(last) < cap(last) {
			return nil, err
		}
	}
	return last[:lastChunkBytes], nil
}

// extendReadDeadline gives the client commandTimeout for the next part of its value, limited by the
// deadline for the complete value.
func (c *clientConn) extendReadDeadline(limit time.Time) {
	deadline := time.Now().Add(commandTimeout)
	if limit.Before(deadline) {
		deadline = limit
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsInput() { // the deadline that ends the reading stays
		return
	}
	c.commandDeadline = deadline
	c.SetReadDeadline(deadline)
}

// finishUpload sends the last chunk of a large write, which makes it an attempt, and reads the
// answer. The last byte is written only once all before it has been sent: until then the server can't
// run the write, however long its system has refused further bytes.
func (u *upstreams) finishUpload(ctx context.Context, server uint32, c *command, hooks attemptHooks) reply {
	p := c.upload
	if p.server != server || !p.isSettled.CompareAndSwap(false, true) {
		return replyWithoutAnswer(decide.ConnectError) // the value was not stored, so it can't be sent again
	}
	// A server that has closed the connection, or has answered before it received the complete
	// write, does not run it.
	if p.conn == nil || !p.conn.isQuiet() {
		p.release()
		return replyWithoutAnswer(decide.ConnectError)
	}
	conn := p.conn
	stopWatch := context.AfterFunc(ctx, func() { conn.Close() })
	lastByte := len(p.lastChunk) - 1
	if err := conn.writeAndAwaitSent(ctx, p.lastChunk[:lastByte]); err != nil || !conn.isQuiet() {
		stopWatch()
		p.release()
		return replyWithoutAnswer(decide.ConnectError)
	}
	if hooks.beforeWrite() == 0 {
		stopWatch()
		p.release()
		return replyWithoutAnswer(decide.Unprocessed)
	}
	u.uploads.Add(-1) // from here on it counts as an attempt
	if _, err := conn.Write(p.lastChunk[lastByte:]); err != nil {
		stopWatch()
		u.release(p.target, conn, false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	return u.readAnswer(upstreamExchange{p.target, conn, c, readOriginReply, u.answers.newAnswer(), stopWatch}, hooks)
}

// writeAndAwaitSent writes bytes and waits until the system has sent them. It returns an error if the
// connection breaks or ctx ends before.
func (c *upstreamConn) writeAndAwaitSent(ctx context.Context, b []byte) error {
	if _, err := c.Write(b); err != nil {
		return fmt.Errorf("sending a large write: %w", err)
	}
	for interval := sentCheckMinInterval; unsentBytes(c.Conn) > 0; interval = min(2*interval, sentCheckMaxInterval) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
	return nil
}
