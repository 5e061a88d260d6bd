package router

// Delivery of answers. A write that has returned is only in the system's send buffer: the client has
// an answer once it has acknowledged its bytes. Until then a close that meets late input resets the
// connection and destroys what the client has not received yet. Everything that ends a connection
// therefore goes by isDelivered, and everything that limits a client's reading by deliveryProgress.

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// deliveryCheckInterval is how often a connection that waits for its end is checked for
	// unacknowledged bytes. The system reports no event for it.
	deliveryCheckInterval = 20 * time.Millisecond
	// deliveryCheckMinInterval is the time until the first of these checks: most clients acknowledge at
	// once, and another client may wait for the descriptor.
	deliveryCheckMinInterval = time.Millisecond
	// writeCheckInterval is how often a blocked write is checked for progress of the client.
	writeCheckInterval = time.Second
	// clientProgressTimeout is how long a client may take until it acknowledges further bytes.
	clientProgressTimeout = 10 * time.Second
)

// deliveryProgress records when a client last acknowledged bytes. The caller synchronizes its use.
type deliveryProgress struct {
	// unacknowledged is how many written bytes were not acknowledged at the last check.
	unacknowledged int
	// changedAt is when that number was last seen to change; zero before the first check.
	changedAt time.Time
}

// update records the number of unacknowledged bytes at the given time.
func (p *deliveryProgress) update(unacknowledged int, now time.Time) {
	if p.changedAt.IsZero() || unacknowledged != p.unacknowledged {
		p.unacknowledged = unacknowledged
		p.changedAt = now
	}
}

// isStalled reports whether the client has acknowledged nothing for clientProgressTimeout.
func (p *deliveryProgress) isStalled(now time.Time) bool {
	return p.unacknowledged > 0 && now.Sub(p.changedAt) >= clientProgressTimeout
}

// isDelivered reports whether the client has acknowledged all that was written to it. It also
// reports true for a client that has stalled, which gets no further time. The caller holds mu.
func (c *clientConn) isDelivered() bool {
	now := time.Now()
	c.delivery.update(unacknowledgedBytes(c.Conn), now)
	if c.delivery.unacknowledged == 0 {
		c.delivery = deliveryProgress{} // what is written later is a new wait
		return true
	}
	return c.delivery.isStalled(now)
}

// isIdle reports whether nothing is unanswered and the client has received all answers. The caller
// holds mu.
func (c *clientConn) isIdle() bool { return c.unanswered() == 0 && c.isDelivered() }

// awaitsDelivery reports whether the connection's time is up while its client is still receiving
// answers, and sets the read deadline for the next check. The idle time of a connection that has
// just become idle begins then.
func (c *clientConn) awaitsDelivery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isUnwritable || c.unanswered() > 0:
		return false
	case !c.isDelivered():
		c.isAwaitingDelivery = true
		c.SetReadDeadline(time.Now().Add(deliveryCheckInterval))
		return true
	case c.isAwaitingDelivery && !c.isDraining:
		c.isAwaitingDelivery = false
		c.idleStart = time.Now()
		c.SetReadDeadline(c.idleStart.Add(idleTimeout))
		return true
	default:
		return false
	}
}

// writeBuffers writes all buffers to the client, however long that takes, unless it stalls.
func (c *clientConn) writeBuffers(buffers net.Buffers) error {
	return c.writeUntilStalled(func() (int64, error) { return buffers.WriteTo(c.Conn) })
}

// writePart writes a part of an answer to the client, however long that takes, unless it stalls.
func (c *clientConn) writePart(part []byte) error {
	return c.writeUntilStalled(func() (int64, error) {
		written, err := c.Write(part)
		part = part[written:]
		return int64(written), err
	})
}

// writeUntilStalled calls write, which continues a write to the client, until all is written or the
// client has acknowledged nothing for clientProgressTimeout.
func (c *clientConn) writeUntilStalled(write func() (written int64, err error)) error {
	progress := deliveryProgress{}
	for {
		c.SetWriteDeadline(time.Now().Add(writeCheckInterval))
		written, err := write()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if written > 0 {
			progress = deliveryProgress{}
		}
		now := time.Now()
		progress.update(unacknowledgedBytes(c.Conn), now)
		if now.Sub(progress.changedAt) >= clientProgressTimeout {
			return err
		}
	}
}

const (
	// maxHiddenEndWait is how long a request may have waited when its attempt begins, if the end of its
	// client's input can't be seen: none may begin 0.1 s after the client has closed.
	maxHiddenEndWait = 80 * time.Millisecond
	// hiddenEndBytes is how much unread input may fill the system's buffer, so that what the client sent
	// after it, the end of the input too, has not arrived.
	hiddenEndBytes = 16 << 10
)

// mayHaveBeenLeft reports whether the client of a request that was read some time ago may have closed
// its connection unseen. Until something is written to it, only the end of its input shows that, which
// is not received while the client has more unread input than the system holds. The first unanswered
// request of a connection is carried out all the same: a client that waits for it may send a large
// value behind it.
func (r *response) mayHaveBeenLeft(waited time.Duration) bool {
	c := r.conn
	if waited <= maxHiddenEndWait || unreadBytes(c.Conn) < hiddenEndBytes {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answersInWrite > 0 || len(c.pending) > 0 && c.pending[0] != r
}
