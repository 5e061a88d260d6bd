package client

import (
	"context"
	"errors"
	"time"
)

// patience is how long a coordinator is given to answer a command that is sent until it is answered. It grows with each answer that
// didn't come in time: a leader with a queue answers late, and who asks again sooner only makes the queue longer.
type patience struct{ now, most time.Duration }

// patience begins with the usual time.
func (c *Client) patience() patience { return patience{now: c.try(), most: max(c.try(), c.o.TTL/2)} }

// after doubles it where an answer didn't come in time.
func (p *patience) after(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		p.now = min(2*p.now, p.most)
	}
}

// try is how long a coordinator is usually given to answer.
func (c *Client) try() time.Duration { return time.Duration(c.o.TryMS) * time.Millisecond }
