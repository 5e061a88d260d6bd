package client

import (
	"context"
	"errors"
	"time"
)

// requestTimeout is how long one coordinator is given to respond to a command that is sent
// repeatedly. It doubles after each timeout: a leader with a queue responds late, and retrying
// sooner would only lengthen the queue.
type requestTimeout struct {
	current time.Duration
	longest time.Duration
}

// newRequestTimeout returns the base timeout, which can grow to half of the session's TTL.
func (c *Client) newRequestTimeout() requestTimeout {
	base := c.baseRequestTimeout()
	return requestTimeout{current: base, longest: max(base, c.options.TTL/2)}
}

// observe doubles the timeout if the error is a timeout.
func (t *requestTimeout) observe(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		t.current = min(2*t.current, t.longest)
	}
}

// baseRequestTimeout returns how long a coordinator is initially given to respond.
func (c *Client) baseRequestTimeout() time.Duration {
	return time.Duration(c.options.RequestTimeoutMillis) * time.Millisecond
}
