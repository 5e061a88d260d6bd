package router

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/decide"
)

// Large writes. All but the last piece is passed on while it comes; the last one waits for the module's decision.

const (
	lastChunkBytes = 4 << 10
	uploadTimeout  = time.Minute // for all of a large value to come: some bytes now and then are no progress
)

// upload is a large write on its way.
type upload struct {
	server    uint32
	conn      *upstreamConn // nil = the server does not take it
	target    *target
	lastChunk []byte
	isSettled atomic.Bool // its connection is an attempt's, or closed
	upstreams *upstreams
}

// errNoUploadCapacity tells that a large write can't be taken on now.
var errNoUploadCapacity = errors.New("no place for a large write")

// abandon gives up a write that is not to be: its last piece was never sent, so it has not run.
func (p *upload) abandon() {
	if p != nil && p.isSettled.CompareAndSwap(false, true) {
		p.release(false)
	}
}

// release gives the connection back.
func (p *upload) release(reuse bool) {
	if p.conn != nil {
		p.upstreams.release(p.target, p.conn, reuse)
	}
	p.upstreams.uploads.Add(-1)
}

// startUpload opens a connection for a large write to where the module says that writes go.
func (l *loop) startUpload(cmd *command) (*upload, error) {
	if l.upstreams.uploads.Add(1) > l.upstreams.uploadLimit() {
		l.upstreams.uploads.Add(-1)
		return nil, errNoUploadCapacity
	}
	p := &upload{upstreams: l.upstreams}
	found := make(chan bool, 1)
	l.post(func() {
		var open bool
		if p.server, open = l.balancer.WriteServer(l.now()); open {
			p.target = l.targets[p.server]
		}
		found <- p.target != nil && p.target.isOrigin
	})
	select {
	case ok := <-found:
		if !ok {
			l.upstreams.uploads.Add(-1)
			return nil, errNoUploadCapacity
		}
	case <-l.done:
		l.upstreams.uploads.Add(-1)
		return nil, errNoUploadCapacity
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverProgressTimeout)
	defer cancel()
	conn, err := l.upstreams.acquire(ctx, p.target, true)
	if err != nil {
		return p, nil // it has not run, which the module is told once the request is there
	}
	hint := l.uploadHint(cmd)
	if hint == 0 {
		l.upstreams.releaseUnused(p.target, conn)
		return p, nil // likewise
	}
	p.conn = conn
	p.write(uploadHead(p.target.addr, cmd, hint))
	return p, nil
}

// uploadHead is the head of a write in the origin's HTTP.
func uploadHead(addr string, c *command, hint timeoutHint) []byte {
	path := (&url.URL{Path: "/" + c.key}).RequestURI()
	return fmt.Appendf(nil, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nX-Correlation-Id: %s\r\nX-Facts: %s\r\n\r\n",
		path, addr, c.valueBytes, c.id, c.metadataWithHint(hint))
}

// write passes a part on. A server that does not take it is left; the client is still read to the end of its value.
func (p *upload) write(b []byte) {
	if p.conn == nil {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(serverProgressTimeout))
	if _, err := p.conn.Write(b); err != nil {
		p.upstreams.release(p.target, p.conn, false)
		p.conn = nil
		return
	}
	p.conn.SetWriteDeadline(time.Time{})
}

// readLargeValue reads a large value and the line end behind it, handing pieces on as they come; p may be nil, and the value
// is then passed over.
func (c *clientConn) readLargeValue(n int, p *upload) error {
	c.isReceivingLargeValue.Store(true)
	defer c.isReceivingLargeValue.Store(false)
	end := time.Now().Add(uploadTimeout)
	move := func() {
		at := time.Now().Add(commandTimeout)
		if end.Before(at) {
			at = end
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.SetReadDeadline(at)
	}
	buf := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(buf)
	for left := n - lastChunkBytes; left > 0; {
		move()
		m, err := c.reader.Read(buf[:min(left, chunkBytes)])
		if left -= m; m > 0 && p != nil {
			p.write(buf[:m])
		}
		if err != nil {
			return err
		}
	}
	last := make([]byte, 0, lastChunkBytes+2)
	for len(last) < cap(last) {
		move()
		m, err := c.reader.Read(last[len(last):cap(last)])
		last = last[:len(last)+m]
		if over := len(last) - lastChunkBytes; over > 0 && string(last[lastChunkBytes:]) != "\r\n"[:over] {
			return malformed("value without its end")
		}
		if err != nil && len(last) < cap(last) {
			return err
		}
	}
	if p != nil {
		p.lastChunk = last[:lastChunkBytes]
	}
	return nil
}

// finishUpload sends the last piece of a large write, which makes it an attempt, and reads the answer.
func (u *upstreams) finishUpload(ctx context.Context, server uint32, c *command, on attemptHooks) reply {
	p := c.upload
	if p.server != server || !p.isSettled.CompareAndSwap(false, true) { // the value is gone, and can't be sent again
		return replyWithoutAnswer(decide.ConnectError)
	}
	if p.conn == nil || !p.conn.isQuiet() { // it has closed, or answered what it has not got whole
		p.release(false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	if on.beforeWrite() == 0 {
		p.release(false)
		return replyWithoutAnswer(decide.Unprocessed) // nothing of its last piece was written
	}
	u.uploads.Add(-1) // from here on it is an attempt like any other
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	if _, err := p.conn.Write(p.lastChunk); err != nil {
		stop()
		u.release(p.target, p.conn, false)
		return replyWithoutAnswer(decide.ConnectError)
	}
	return u.readAnswer(p.target, p.conn, c, stop, u.readOrigin, on)
}
