package fakes

import "time"

// lateDuplicateDelay is how long after an answer its late duplicate is sent.
const lateDuplicateDelay = 5 * time.Millisecond

// duplicateLate sends an answer a second time after lateDuplicateDelay, unless a further request of
// the connection has been received by then. A request that is still on its way gets the duplicate
// ahead of its answer.
func (c *serverConn) duplicateLate(text []byte) {
	c.s.wg.Go(func() {
		select {
		case <-time.After(lateDuplicateDelay):
		case <-c.closed:
			return
		}
		if c.unanswered.Load() == 0 {
			_, _ = c.Write(text)
		}
	})
}
