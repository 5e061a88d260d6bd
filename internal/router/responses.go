package router

// Answers are written in the order of a connection's commands.

import (
	"net"
	"time"
)

// response is the answer to one command, in its place among those of its connection.
type response struct {
	conn *clientConn
	// request is what the answer is waited for; nil once it is answered, and for other commands. It
	// belongs to the loop.
	request *request
	// streamTurn is closed when a value that is streamed may be written, and belongs to the value's
	// stream then; nil where the answer is answerBytes. It is guarded by conn.mu, as all below.
	streamTurn chan struct{}
	// answerBytes is the answer.
	answerBytes []byte
	// isReady is set once there is an answer, or a stream for it.
	isReady bool
}

// appendResponse appends the pending answer of a command that has come.
func (c *clientConn) appendResponse() *response {
	r := &response{conn: c}
	c.mu.Lock()
	c.pending = append(c.pending, r)
	c.mu.Unlock()
	return r
}

// answer gives the answer to a command. It does not block.
func (r *response) answer(text []byte) {
	c := r.conn
	c.clients.loop.answerBytes.reserve(len(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answerBytes = text
	r.isReady = true
	if c.isUnwritable {
		c.clients.loop.answerBytes.release(len(text))
		return
	}
	c.startWriter()
}

// startWriter starts the writer goroutine if the next answer is ready and none is being written. The
// writer ends when no answer is ready. The caller holds mu.
func (c *clientConn) startWriter() {
	if c.answersInWrite > 0 || !c.pending[0].isReady {
		return
	}
	batch, size := c.nextBatch()
	if len(batch) > 0 {
		c.clients.wg.Go(func() { c.writeAnswers(batch, size) })
	}
}

// nextBatch takes the answers that are ready, in the order of the commands, and returns them with
// their size in bytes. Where a value that is streamed comes next, it returns none and gives the
// value's stream its turn: the stream is the writer until its finish. The caller holds mu.
func (c *clientConn) nextBatch() (batch net.Buffers, size int) {
	c.answersInWrite = 0
	for len(c.pending) > 0 && c.pending[0].isReady {
		next := c.pending[0]
		if next.streamTurn != nil {
			if len(batch) == 0 {
				c.pending = c.pending[1:]
				c.answersInWrite = 1
				close(next.streamTurn)
			}
			return batch, size
		}
		batch = append(batch, next.answerBytes)
		size += len(next.answerBytes)
		c.pending = c.pending[1:]
		c.answersInWrite++
	}
	return batch, size
}

// writeAnswers writes batches of answers until none is ready.
func (c *clientConn) writeAnswers(batch net.Buffers, size int) {
	for len(batch) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, err := batch.WriteTo(c.Conn)
		c.clients.loop.answerBytes.release(size)
		batch, size = c.afterWrite(err)
	}
}

// afterWrite records the end of a write, sets the read deadline that now applies, and returns the
// next batch. After a failed write the connection is closed, which ends the reader; the reader tells
// the loop.
func (c *clientConn) afterWrite(err error) (batch net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.isUnwritable {
		c.markUnwritable()
		c.Close()
	}
	if c.isUnwritable {
		c.answersInWrite = 0
		return nil, 0
	}
	c.lastAnswerAt = time.Now()
	batch, size = c.nextBatch()
	if c.unanswered() == 0 {
		c.pending = nil // its array still refers to the answers
		c.idleStart = c.lastAnswerAt
	}
	switch {
	case c.isWatchingForDisconnect: // the reader may wait for just this
		c.SetReadDeadline(expiredDeadline)
	case c.unanswered() > 0 || c.isReadingCommand && c.isDraining: // a command that has begun has its own deadline
	case c.isDraining:
		c.SetReadDeadline(expiredDeadline)
	default:
		c.SetReadDeadline(c.idleStart.Add(idleTimeout))
	}
	return batch, size
}
