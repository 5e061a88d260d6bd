package client

import (
	"context"
	"errors"
	"time"
)

// requestTimeout is how long a coordinator is given to answer a command that is sent until it is answered. It grows with each answer that
// didn't come in time: a leader with a queue answers late, and who asks again sooner only makes the queue longer.
type requestTimeout struct{ current, longest time.Duration }

// newRequestTimeout begins with the usual time.
func (c *Client) newRequestTimeout() requestTimeout {
	return requestTimeout{current: c.baseRequestTimeout(), longest: max(c.baseRequestTimeout(), c.options.TTL/2)}
}

// observe doubles it where an answer didn't come in time.
func (p *requestTimeout) observe(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		p.current = min(2*p.current, p.longest)
	}
}

// baseRequestTimeout is how long a coordinator is usually given to answer.
func (c *Client) baseRequestTimeout() time.Duration {
	return time.Duration(c.options.RequestTimeoutMillis) * time.Millisecond
}
