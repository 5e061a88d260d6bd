package router

// Answers go out in the order of a connection's commands.

import (
	"net"
	"time"
)

// appendResponse makes a place for the answer to a command that has come.
func (c *clientConn) appendResponse() *response {
	sl := &response{conn: c}
	c.mu.Lock()
	c.pending = append(c.pending, sl)
	c.mu.Unlock()
	return sl
}

// answer gives the answer to a command. It does not block.
func (sl *response) answer(text []byte) {
	c := sl.conn
	c.clients.loop.answerBytes.reserve(len(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	if sl.answerBytes, sl.isReady = text, true; c.isUnwritable {
		c.clients.loop.answerBytes.release(len(text))
		return
	}
	c.startWriter()
}

// startWriter has answers written if some are there and none is being written. The caller holds mu.
func (c *clientConn) startWriter() {
	if c.answersInWrite == 0 && c.pending[0].isReady {
		if out, size := c.nextBatch(); len(out) > 0 {
			c.clients.wg.Go(func() { c.writeAnswers(out, size) })
		}
	}
}

// nextBatch takes the answers that are there off the queue, in the order of the commands. Where a value that is passed
// through comes next, it returns none: the writing is then up to the value's sink. The caller holds mu.
func (c *clientConn) nextBatch() (out net.Buffers, size int) {
	c.answersInWrite = 0
	for len(c.pending) > 0 && c.pending[0].isReady {
		if turn := c.pending[0].streamTurn; turn != nil {
			if len(out) == 0 {
				c.pending, c.answersInWrite = c.pending[1:], 1
				close(turn)
			}
			return out, size
		}
		out, size = append(out, c.pending[0].answerBytes), size+len(c.pending[0].answerBytes)
		c.pending, c.answersInWrite = c.pending[1:], c.answersInWrite+1
	}
	return out, size
}

// writeAnswers writes answers until none is there.
func (c *clientConn) writeAnswers(out net.Buffers, size int) {
	for len(out) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, err := out.WriteTo(c.Conn)
		c.clients.loop.answerBytes.release(size)
		out, size = c.afterWrite(err)
	}
}

// afterWrite books what has been written and returns what is next.
func (c *clientConn) afterWrite(err error) (out net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.isUnwritable {
		c.markUnwritable()
		c.Close() // which ends the reader too; it tells the loop
	}
	if c.isUnwritable {
		c.answersInWrite = 0
		return nil, 0
	}
	c.lastAnswerAt = time.Now()
	if out, size = c.nextBatch(); c.unanswered() == 0 {
		c.pending = nil // and the answers that its array holds
		c.idleStart = c.lastAnswerAt
	}
	switch {
	case c.isWatchingForDisconnect: // it may be what is waited for
		c.SetReadDeadline(expiredDeadline)
	case c.unanswered() > 0 || c.isReadingCommand && c.isDraining: // a command that has begun has its own time
	case c.isDraining:
		c.SetReadDeadline(expiredDeadline)
	default:
		c.SetReadDeadline(c.idleStart.Add(idleTimeout))
	}
	return out, size
}
