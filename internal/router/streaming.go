package router

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Values that are passed through in pieces, without ever being in memory whole.

const (
	piece       = 16 << 10         // bytes in memory for each value that is passed through
	serverMoves = 4 * time.Second  // within which a server must give something of a value that it has begun
	clientMoves = 10 * time.Second // within which a client must take a piece
)

var pieces = sync.Pool{New: func() any { return new([piece]byte) }}

// sink is the client's side of a value that is passed through.
type sink struct {
	ctx  context.Context
	sl   *slot
	head []byte
	mine bool // its turn has come: it writes to the connection
}

// openSink asks the loop for the client of a value; nil tells that nobody waits for it.
func (l *loop) openSink(ctx context.Context, a *attempt, got reply) *sink {
	to := make(chan *slot, 1)
	l.post(func() { to <- l.pass(a, got) })
	select {
	case sl := <-to:
		if sl == nil {
			return nil
		}
		sl.open()
		return &sink{ctx: ctx, sl: sl, head: servedHead(&a.request.cmd, got.length)}
	case <-l.done:
		return nil
	}
}

// open gives a value that is passed through its place among the answers.
func (sl *slot) open() {
	c := sl.c
	c.mu.Lock()
	defer c.mu.Unlock()
	sl.turn, sl.ready = make(chan struct{}), true
	if !c.broken {
		c.begun()
	}
}

// pass copies the value from a server's connection to the client as fast as both allow. An error leaves the value
// unfinished; the line end behind it, by which the client would take it for whole, is then missing.
func (s *sink) pass(from *upstreamConn, got reply) error {
	c := s.sl.c
	select {
	case <-s.sl.turn:
		s.mine = true
	case <-c.dead:
		return errUnwanted
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	buf := pieces.Get().(*[piece]byte)
	defer pieces.Put(buf)
	from.left += got.length + len("\r\n")
	n := copy(buf[:], s.head)
	for left := got.length; left > 0; {
		from.SetReadDeadline(time.Now().Add(serverMoves))
		m, err := from.r.Read(buf[n:min(piece, n+left)])
		left -= m
		if n += m; n > 0 {
			c.SetWriteDeadline(time.Now().Add(clientMoves))
			if _, err := c.Write(buf[:n]); err != nil {
				return fmt.Errorf("passing a value on: %w", err)
			}
			n = 0
		}
		if err != nil && left > 0 {
			return fmt.Errorf("value broke off: %w", err)
		}
	}
	if got.lineIn {
		from.SetReadDeadline(time.Now().Add(serverMoves))
		if _, err := io.ReadFull(from.r, buf[:2]); err != nil || string(buf[:2]) != "\r\n" {
			return malformed("value without its end")
		}
	}
	c.SetWriteDeadline(time.Now().Add(clientMoves))
	if _, err := io.WriteString(c, "\r\n"); err != nil {
		return fmt.Errorf("passing a value on: %w", err)
	}
	return nil
}

// end gives the connection back to the answers behind the value, or closes it where the value is not whole.
func (s *sink) end(whole bool) {
	c := s.sl.c
	var err error
	if !whole {
		err = errUnwanted
	}
	if !s.mine { // it has written nothing, and never will: the answers behind it can't go out either
		c.mu.Lock()
		c.breakOff()
		c.mu.Unlock()
		c.Close() // which wakes the reader
		return
	}
	out, size := c.written(err)
	c.write(out, size)
}
