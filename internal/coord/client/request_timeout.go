package client

import (
	"context"
	"errors"
	"time"
)

// requestTimeout is how long a coordinator is given to respond to a command that is sent until it is
// answered. It doubles with each response that didn't come in time: a leader with a queue responds
// late, and a client that sends again sooner only makes the queue longer.
type requestTimeout struct {
	current time.Duration
	longest time.Duration
}

// newRequestTimeout begins with the usual time, and ends at half of the session's.
func (c *Client) newRequestTimeout() requestTimeout {
	usual := c.baseRequestTimeout()
	return requestTimeout{current: usual, longest: max(usual, c.options.TTL/2)}
}

// observe doubles the timeout where a response didn't come in time.
func (t *requestTimeout) observe(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		t.current = min(2*t.current, t.longest)
	}
}

// baseRequestTimeout is how long a coordinator is usually given to respond.
func (c *Client) baseRequestTimeout() time.Duration {
	return time.Duration(c.options.RequestTimeoutMillis) * time.Millisecond
}
