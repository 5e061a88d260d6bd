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
	lastPiece  = 4 << 10
	uploadTime = time.Minute // for all of a large value to come: some bytes now and then are no progress
)

// upload is a large write on its way.
type upload struct {
	server uint32
	conn   *upstreamConn // nil = the server does not take it
	t      *target
	last   []byte
	over   atomic.Bool // its connection is an attempt's, or closed
	u      *upstreams
}

// errNoPlace tells that a large write can't be taken on now.
var errNoPlace = errors.New("no place for a large write")

// close gives up a write that is not to be: its last piece was never sent, so it has not run.
func (p *upload) close() {
	if p != nil && p.over.CompareAndSwap(false, true) {
		p.done(false)
	}
}

// done gives the connection back.
func (p *upload) done(reuse bool) {
	if p.conn != nil {
		p.u.put(p.t, p.conn, reuse)
	}
	p.u.uploading.Add(-1)
}

// startUpload opens a connection for a large write to where the module says that writes go.
func (l *loop) startUpload(cmd *command) (*upload, error) {
	if l.up.uploading.Add(1) > l.up.mostUploads() {
		l.up.uploading.Add(-1)
		return nil, errNoPlace
	}
	p := &upload{u: l.up}
	found := make(chan bool, 1)
	l.post(func() {
		var open bool
		if p.server, open = l.b.WriteServer(l.now()); open {
			p.t = l.targets[p.server]
		}
		found <- p.t != nil && p.t.origin
	})
	select {
	case ok := <-found:
		if !ok {
			l.up.uploading.Add(-1)
			return nil, errNoPlace
		}
	case <-l.done:
		l.up.uploading.Add(-1)
		return nil, errNoPlace
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverMoves)
	defer cancel()
	conn, err := l.up.take(ctx, p.t, true)
	if err != nil {
		return p, nil // it has not run, which the module is told once the request is there
	}
	hint := l.uploadHint(cmd)
	if hint == 0 {
		l.up.back(p.t, conn)
		return p, nil // likewise
	}
	p.conn = conn
	p.write(uploadHead(p.t.addr, cmd, hint))
	return p, nil
}

// uploadHead is the head of a write in the origin's HTTP.
func uploadHead(addr string, c *command, hint timeoutHint) []byte {
	path := (&url.URL{Path: "/" + c.key}).RequestURI()
	return fmt.Appendf(nil, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nX-Correlation-Id: %s\r\nX-Facts: %s\r\n\r\n",
		path, addr, c.length, c.id, c.factsWith(hint))
}

// write passes a part on. A server that does not take it is left; the client is still read to the end of its value.
func (p *upload) write(b []byte) {
	if p.conn == nil {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(serverMoves))
	if _, err := p.conn.Write(b); err != nil {
		p.u.put(p.t, p.conn, false)
		p.conn = nil
		return
	}
	p.conn.SetWriteDeadline(time.Time{})
}

// readLarge reads a large value and the line end behind it, handing pieces on as they come; p may be nil, and the value
// is then passed over.
func (c *clientConn) readLarge(n int, p *upload) error {
	c.taking.Store(true)
	defer c.taking.Store(false)
	end := time.Now().Add(uploadTime)
	move := func() {
		at := time.Now().Add(commandTime)
		if end.Before(at) {
			at = end
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.SetReadDeadline(at)
	}
	buf := pieces.Get().(*[piece]byte)
	defer pieces.Put(buf)
	for left := n - lastPiece; left > 0; {
		move()
		m, err := c.r.Read(buf[:min(left, piece)])
		if left -= m; m > 0 && p != nil {
			p.write(buf[:m])
		}
		if err != nil {
			return err
		}
	}
	last := make([]byte, 0, lastPiece+2)
	for len(last) < cap(last) {
		move()
		m, err := c.r.Read(last[len(last):cap(last)])
		last = last[:len(last)+m]
		if over := len(last) - lastPiece; over > 0 && string(last[lastPiece:]) != "\r\n"[:over] {
			return malformed("value without its end")
		}
		if err != nil && len(last) < cap(last) {
			return err
		}
	}
	if p != nil {
		p.last = last[:lastPiece]
	}
	return nil
}

// finish sends the last piece of a large write, which makes it an attempt, and reads the answer.
func (u *upstreams) finish(ctx context.Context, server uint32, c *command, on hooks) reply {
	p := c.up
	if p.server != server || !p.over.CompareAndSwap(false, true) { // the value is gone, and can't be sent again
		return ends(decide.ConnectError)
	}
	if p.conn == nil || !p.conn.quiet() { // it has closed, or answered what it has not got whole
		p.done(false)
		return ends(decide.ConnectError)
	}
	if on.begin() == 0 {
		p.done(false)
		return ends(decide.Unprocessed) // nothing of its last piece was written
	}
	u.uploading.Add(-1) // from here on it is an attempt like any other
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	if _, err := p.conn.Write(p.last); err != nil {
		stop()
		u.put(p.t, p.conn, false)
		return ends(decide.ConnectError)
	}
	return u.receive(p.t, p.conn, c, stop, u.readOrigin, on)
}
