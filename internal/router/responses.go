package router

// The answers to a connection's commands, which are written in the order of the commands.

import (
	"net"
	"time"
)

// response is the answer to one command. It keeps its place in the order of the connection's
// answers.
type response struct {
	conn *clientConn
	// request is the request that the answer belongs to; nil once it is answered, and for other
	// commands. It belongs to the loop.
	request *request
	// streamTurn is closed when a streamed value may be written; from then on its valueStream owns
	// it. It is nil for other answers. conn.mu guards it and the fields below.
	streamTurn chan struct{}
	// parts is the answer.
	parts answerParts
	// isReady is set once there is an answer or a stream for it.
	isReady bool
}

// answerParts is an answer that is in memory completely.
type answerParts struct {
	// text is the answer, or the part before the value.
	text []byte
	// value is the value if it is not part of text; a line end follows it.
	value net.Buffers
	// memory is reserved for the answer until it is written.
	memory answerMemory
}

// size returns the length of the answer without the line end of a value.
func (p answerParts) size() int {
	size := len(p.text)
	for _, part := range p.value {
		size += len(part)
	}
	return size
}

// appendResponse appends a pending answer for a received command.
func (c *clientConn) appendResponse() *response {
	r := &response{conn: c}
	c.mu.Lock()
	c.pending = append(c.pending, r)
	c.mu.Unlock()
	return r
}

// open marks the response as that of a read whose answer may be long.
func (r *response) open() {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRead = r
}

// closeOpenRead marks a response as complete, in memory or written, and wakes the reader if it waits
// for that. The caller holds mu.
func (c *clientConn) closeOpenRead(r *response) {
	if c.openRead != r {
		return
	}
	c.openRead = nil
	if c.isWatchingForDisconnect {
		c.SetReadDeadline(expiredDeadline)
	}
}

// answer sets an answer in the router's own words. It does not block.
func (r *response) answer(text []byte) {
	r.answerWith(answerParts{text: text, memory: r.conn.clients.loop.answers.newText(len(text))})
}

// answerWith sets the answer to a command. It does not block.
func (r *response) answerWith(answer answerParts) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	r.isReady = true
	c.closeOpenRead(r)
	if c.isUnwritable {
		answer.memory.release()
		return
	}
	r.parts = answer
	c.startWriter()
}

// answerBatch is a batch of answers that are written at once.
type answerBatch struct {
	parts net.Buffers
	// memory is reserved for all answers of the batch.
	memory answerMemory
}

// add adds an answer to the batch.
func (b *answerBatch) add(answer *answerParts) {
	b.parts = append(b.parts, answer.text)
	if len(answer.value) > 0 {
		b.parts = append(b.parts, answer.value...)
		b.parts = append(b.parts, []byte("\r\n"))
	}
	b.memory.add(&answer.memory)
}

// startWriter writes the next answer if it is ready and none is being written: at once if nothing else
// is unanswered and the system takes it whole, otherwise on a writer goroutine, which ends when no
// further answer is ready. An answer that is due thus waits for no other goroutine's turn, and those of
// a pipeline are written together. The caller holds mu.
func (c *clientConn) startWriter() {
	if c.answersInWrite > 0 || !c.pending[0].isReady {
		return
	}
	batch := c.nextBatch()
	if len(batch.parts) == 0 {
		return
	}
	if len(c.pending) == 0 && writeAtOnce(c.Conn, &batch.parts) {
		batch.memory.release()
		c.finishWrite()
		return
	}
	c.clients.wg.Go(func() { c.writeAnswers(batch) })
}

// nextBatch removes the ready answers from pending, in the order of the commands, and returns them.
// If a streamed value is next, it returns none and closes the value's streamTurn: the stream is the
// writer until its finish. The caller holds mu.
func (c *clientConn) nextBatch() (batch answerBatch) {
	c.answersInWrite = 0
	for len(c.pending) > 0 && c.pending[0].isReady {
		next := c.pending[0]
		if next.streamTurn != nil {
			if len(batch.parts) == 0 {
				c.pending = c.pending[1:]
				c.answersInWrite = 1
				close(next.streamTurn)
			}
			return batch
		}
		batch.add(&next.parts)
		next.parts = answerParts{}
		c.pending = c.pending[1:]
		c.answersInWrite++
	}
	return batch
}

// writeAnswers writes batches of answers until none is ready.
func (c *clientConn) writeAnswers(batch answerBatch) {
	for len(batch.parts) > 0 {
		err := c.writeBuffers(batch.parts)
		batch.memory.release()
		batch = c.afterWrite(err)
	}
}

// afterWrite handles the end of a write and returns the next batch. After a failed write it closes the
// connection, which ends the reader; the reader notifies the loop.
func (c *clientConn) afterWrite(err error) (batch answerBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.isUnwritable {
		c.markUnwritable()
		c.Close()
	}
	if c.isUnwritable {
		c.answersInWrite = 0
		return answerBatch{}
	}
	return c.finishWrite()
}

// finishWrite records that the batch in write was written, sets the read deadline that applies now, and
// returns the next batch. The caller holds mu.
func (c *clientConn) finishWrite() (batch answerBatch) {
	c.lastAnswerAt = time.Now()
	batch = c.nextBatch()
	if c.unanswered() == 0 {
		c.pending = nil // its array still references the answers
		c.idleStart = c.lastAnswerAt
	}
	switch {
	case c.isWatchingForDisconnect: // the reader may be waiting for this write
		c.SetReadDeadline(expiredDeadline)
	case c.unanswered() > 0 || c.isReadingCommand && c.isDraining: // a command being read has its own deadline
	case c.isDraining:
		c.SetReadDeadline(expiredDeadline)
	default:
		c.SetReadDeadline(c.idleStart.Add(idleTimeout))
	}
	return batch
}
