package admin

import (
	"errors"
	"net"
	"sync"
	"time"
)

// MaxConns is the maximum number of open connections. One more closes the connection that has been
// open for longest without a complete call, so that silent callers do not lock out an operator.
const MaxConns = 16

// acceptRetryInterval is the time between two attempts to accept when no descriptor is free.
const acceptRetryInterval = 50 * time.Millisecond

// boundedListener limits the number of open connections.
type boundedListener struct {
	net.Listener

	mu sync.Mutex
	// open contains the connections without a complete call, and those whose call is being
	// answered.
	open map[*adminConn]struct{}
}

func newBoundedListener(ln net.Listener) *boundedListener {
	return &boundedListener{Listener: ln, open: map[*adminConn]struct{}{}}
}

// adminConn is the connection of a caller.
type adminConn struct {
	net.Conn
	listener   *boundedListener
	acceptedAt time.Time
	// isComplete reports whether its call has arrived completely. It is guarded by listener.mu.
	isComplete bool
	closeOnce  sync.Once
}

// connContextKey is the context key of a call's *adminConn.
type connContextKey struct{}

// Accept waits for the next connection within the limit. All errors except that of a closed
// listener, for example when no descriptor is free, are treated as temporary, so that the admin
// address stays available.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		c := &adminConn{Conn: conn, listener: l, acceptedAt: time.Now()}
		evicted := l.register(c)
		if evicted != nil {
			evicted.Close()
		}
		if evicted != c {
			return c, nil
		}
	}
}

// register adds a connection, and returns the connection to close in exchange, if any: the new one
// itself if all others have a complete call.
func (l *boundedListener) register(c *adminConn) (evicted *adminConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= MaxConns {
		evicted = c
		for other := range l.open {
			if !other.isComplete && other.acceptedAt.Before(evicted.acceptedAt) {
				evicted = other
			}
		}
	}
	if evicted != c {
		delete(l.open, evicted)
		l.open[c] = struct{}{}
	}
	return evicted
}

// markComplete records that the call has arrived. The connection is no longer closed for a new one.
func (c *adminConn) markComplete() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isComplete = true
}

// Close closes the connection and stops counting it. It may be called more than once.
func (c *adminConn) Close() (err error) {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}
