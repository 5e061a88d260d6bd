package admin

import (
	"errors"
	"net"
	"sync"
	"time"
)

// MaxConns is how many connections are open at once. One more closes the one that has been without a
// complete call for longest: silent callers must not keep an operator out.
const MaxConns = 16

// acceptRetryInterval is the time between two attempts to accept while no descriptor is free.
const acceptRetryInterval = 50 * time.Millisecond

// boundedListener bounds the connections that are open at once.
type boundedListener struct {
	net.Listener

	mu sync.Mutex
	// open holds connections without a complete call, and those whose call is being answered.
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
	// isComplete tells that its call has arrived. It is guarded by listener.mu.
	isComplete bool
	closeOnce  sync.Once
}

// connContextKey finds a call's *adminConn in its context.
type connContextKey struct{}

// Accept waits for the next connection that there is capacity for. An error other than that of a
// closed listener, as when no descriptor is free, is temporary: the admin address must outlive it.
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

// register adds a connection and returns the one to be closed for it, if any: itself where all others
// have a complete call.
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

// markComplete notes that the connection's call has arrived: it is not closed for another one any more.
func (c *adminConn) markComplete() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isComplete = true
}

// Close closes the connection, which no longer counts. It may be called more than once.
func (c *adminConn) Close() (err error) {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}
