package router

// Large writes: all but the last chunk is forwarded to the server while it is received. The last
// chunk waits for the Balancer's decision, because a server runs a write only once it is complete.

import (
	"context"
	"errors"
	"fmt"
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
)

// upload is a large write that is being forwarded. The client's reader goroutine owns it until the
// request is submitted, then the request does. isSettled decides whether the attempt or the end of
// the request gets the connection.
type upload struct {
	upstreams *upstreams
	server    uint32
	target    *target
	// conn is nil if the server does not accept the write.
	conn *upstreamConn
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
	if p.conn != nil {
		p.upstreams.release(p.target, p.conn, false)
	}
	p.upstreams.uploads.Add(-1)
}

// startUpload opens a connection for a large write to the server that the Balancer currently
// selects for writes. If that fails, the upload has no connection. Its attempt then ends as never
// run, and the Balancer decides how to proceed.
func (l *loop) startUpload(cmd *command) (*upload, error) {
	if l.upstreams.uploads.Add(1) > l.upstreams.uploadLimit() {
		l.upstreams.uploads.Add(-1)
		return nil, errNoUploadCapacity
	}
	p := &upload{upstreams: l.upstreams}
	if !l.chooseUploadTarget(p) {
		l.upstreams.uploads.Add(-1)
		return nil, errNoUploadCapacity
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverProgressTimeout)
	defer cancel()
	conn, err := l.upstreams.acquire(ctx, p.target, true)
	if err != nil {
		return p, nil
	}
	hint := l.uploadHint(cmd)
	if hint == 0 {
		l.upstreams.releaseUnused(p.target, conn)
		return p, nil
	}
	p.conn = conn
	p.write(uploadHead(p.target.addr, cmd, hint))
	return p, nil
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

// write forwards a part of the value. If the server does not accept it, the connection is closed;
// the client's value is still read to its end.
func (p *upload) write(part []byte) {
	if p.conn == nil {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(serverProgressTimeout))
	if _, err := p.conn.Write(part); err != nil {
		p.upstreams.release(p.target, p.conn, false)
		p.conn = nil
		return
	}
	p.conn.SetWriteDeadline(time.Time{})
}

// readLargeValue reads a large value and the line end after it, forwarding chunks as they are
// received. If p is nil, the value is discarded.
func (c *clientConn) readLargeValue(valueBytes int, p *upload) error {
	c.isReceivingLargeValue.Store(true)
	defer c.isReceivingLargeValue.Store(false)
	uploadDeadline := time.Now().Add(uploadTimeout)
	var err error
	if p == nil {
		err = c.discardChunks(valueBytes-lastChunkBytes, uploadDeadline)
	} else {
		err = c.forwardChunks(valueBytes-lastChunkBytes, p, uploadDeadline)
	}
	if err != nil {
		return err
	}
	lastChunk, err := c.readLastChunk(uploadDeadline)
	if err != nil {
		return err
	}
	if p != nil {
		p.lastChunk = lastChunk
	}
	return nil
}

// forwardChunks reads n bytes of a large value and forwards them as they are received.
func (c *clientConn) forwardChunks(n int, p *upload, uploadDeadline time.Time) error {
	chunk := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(chunk)
	for n > 0 {
		c.extendReadDeadline(uploadDeadline)
		received, err := c.reader.Read(chunk[:min(n, chunkBytes)])
		n -= received
		if received > 0 {
			p.write(chunk[:received])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// discardChunks reads n bytes of a large value and discards them, in the reader's own memory.
func (c *clientConn) discardChunks(n int, uploadDeadline time.Time) error {
	for n > 0 {
		c.extendReadDeadline(uploadDeadline)
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		discarded, err := c.reader.Discard(min(n, c.reader.Buffered()))
		n -= discarded
		if err != nil {
			return err
		}
	}
	return nil
}

// readLastChunk reads the last chunk of a large value and the line end after it.
func (c *clientConn) readLastChunk(uploadDeadline time.Time) ([]byte, error) {
	const lineEnd = "\r\n"
	last := make([]byte, 0, lastChunkBytes+len(lineEnd))
	for len(last) < cap(last) {
		c.extendReadDeadline(uploadDeadline)
		n, err := c.reader.Read(last[len(last):cap(last)])
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
	c.SetReadDeadline(deadline)
}

// finishUpload sends the last chunk of a large write, which makes it an attempt, and reads the
// answer.
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
	if hooks.beforeWrite() == 0 {
		p.release()
		return replyWithoutAnswer(decide.Unprocessed)
	}
	u.uploads.Add(-1) // from here on it counts as an attempt
	stopWatch := context.AfterFunc(ctx, func() { p.conn.Close() })
	if _, err := p.conn.Write(p.lastChunk); err != nil {
		stopWatch()
		u.release(p.target, p.conn, false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	return u.readAnswer(upstreamExchange{p.target, p.conn, c, readOriginReply, u.answers.newAnswer(), stopWatch}, hooks)
}
