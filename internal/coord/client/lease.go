package client

import (
	"context"
	"errors"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// leaseCheckInterval is how often Lease.Context checks whether the lease was lost before its
// expiry.
const leaseCheckInterval = 100 * time.Millisecond

// Lease is an acquired lease.
type Lease struct {
	client    *Client
	sessionID string // in which it was acquired; it isn't held in any other session
	Name      string
	Token     uint64 // fencing token; the protected resource rejects a lower token than the highest it has seen
}

// Remaining returns for how long the holder may still act under the lease unless a keep-alive
// extends it; 0 means that it must stop now. It is 0 once the lease or the session has expired
// (counted from when the most recent successful request was sent), the coordinators have reported
// the end of the session, or the lease was released, transferred, or acquired again with another
// token.
//
// Callers check it before an act. The process may be paused between the check and the act for
// longer than any lease lasts, so the act itself must be checked by its token or be harmless if
// repeated.
func (l *Lease) Remaining() time.Duration {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	token, remaining, ok := l.client.leases.HeldLease(l.Name, l.client.options.Clock())
	if !ok || token != l.Token {
		return 0
	}
	return remaining
}

// Context returns a context that ends when less than margin of the lease remains or the lease is
// lost, with ErrLeaseLost as its cause. The returned function cancels it and waits for its
// goroutine.
func (l *Lease) Context(parent context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	done := make(chan struct{})
	go func() { // ended by the returned function, which waits for it
		defer close(done)
		for {
			remaining := l.Remaining() - margin
			if remaining <= 0 {
				cancel(ErrLeaseLost)
				return
			}
			if !clock.Sleep(ctx, min(remaining, leaseCheckInterval)) {
				return
			}
		}
	}()
	return ctx, func() {
		cancel(context.Canceled)
		<-done
	}
}

// Acquire tries once to acquire a lease. A RejectedError with CodeHeld names the current holder.
func (c *Client) Acquire(ctx context.Context, name, purpose string, ttl time.Duration) (*Lease, error) {
	command := coord.Command{Op: coord.OpAcquire, Lease: name, Purpose: purpose, TTL: ttl}
	o := c.execute(ctx, command, func(late outcome) { c.releaseUnwanted(name, late) })
	if o.err != nil {
		return nil, o.err
	}
	token := o.response.Token
	c.mu.Lock()
	isHeld := c.sessionID == o.sessionID && c.leases.RecordGrant(name, token, ttl, o.firstSentAt, c.options.Clock())
	c.mu.Unlock()
	if !isHeld {
		return nil, ErrLeaseLost
	}
	return &Lease{client: c, sessionID: o.sessionID, Name: name, Token: token}, nil
}

// releaseUnwanted releases a lease that was granted after its caller stopped waiting.
func (c *Client) releaseUnwanted(name string, granted outcome) {
	if granted.err != nil {
		return
	}
	c.mu.Lock()
	sessionContext := c.sessionContext
	c.mu.Unlock()
	release := coord.Command{
		Op:        coord.OpRelease,
		SessionID: granted.sessionID,
		Lease:     name,
		Token:     granted.response.Token,
	}
	c.execute(sessionContext, release, nil)
}

// Release releases the lease. The holder must not act under it after calling Release, whatever the
// error.
func (l *Lease) Release(ctx context.Context) error {
	l.stopActing()
	return l.client.execute(ctx, l.command(coord.OpRelease), nil).err
}

// Transfer gives the lease to another client, by name, and returns the successor's token. The
// holder must not act under the lease after calling Transfer. After a rejected transfer, a client
// that still holds the lease gets it back with Acquire.
func (l *Lease) Transfer(ctx context.Context, successor string) (token uint64, err error) {
	l.stopActing()
	command := l.command(coord.OpTransfer)
	command.Successor = successor
	o := l.client.execute(ctx, command, nil)
	return o.response.Token, o.err
}

// WriteRecord sets the lease's record if the lease is still held with its token when the command is
// executed. The state machine itself checks the token.
func (l *Lease) WriteRecord(ctx context.Context, record []byte) error {
	command := l.command(coord.OpWriteRecord)
	command.Record = record
	return l.client.execute(ctx, command, nil).err
}

func (l *Lease) command(op coord.Op) coord.Command {
	return coord.Command{Op: op, SessionID: l.sessionID, Lease: l.Name, Token: l.Token}
}

// stopActing makes Remaining return 0 before the coordinators may give the lease to another client.
func (l *Lease) stopActing() {
	l.client.mu.Lock()
	l.client.leases.Forget(l.Name, l.Token)
	l.client.mu.Unlock()
}

// RunWithLease waits until it holds the lease, runs f under it, and releases it. The context of f
// ends when less than margin of the lease remains. It returns f's error, or, once ctx has ended,
// why the lease could not be acquired.
func (c *Client) RunWithLease(
	ctx context.Context, name, purpose string, ttl, margin time.Duration, f func(context.Context, *Lease) error,
) error {
	pause := minRetryPause
	for {
		lease, err := c.Acquire(ctx, name, purpose, ttl)
		if err == nil {
			return c.runAndRelease(ctx, lease, margin, f)
		}
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		var rejected *RejectedError
		isRejected := errors.As(err, &rejected)
		if isRejected && rejected.Code == coord.CodeInvalid {
			return err
		}
		if isRejected && rejected.Code == coord.CodeHeld && c.WatchLease(ctx, name, rejected.Token) == nil {
			pause = minRetryPause
			if !clock.Sleep(ctx, jitter(pause)) { // spreads out the clients that wait for the lease
				return ctx.Err()
			}
			continue
		}
		if !clock.Sleep(ctx, RetryDelay(err, jitter(pause))) {
			return errors.Join(err, ctx.Err())
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// runAndRelease runs f and releases the lease. If the release fails, the lease expires.
func (c *Client) runAndRelease(
	ctx context.Context, lease *Lease, margin time.Duration, f func(context.Context, *Lease) error,
) error {
	leaseContext, end := lease.Context(ctx, margin)
	err := f(leaseContext, lease)
	end()
	releaseContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.baseRequestTimeout())
	defer cancel()
	_ = lease.Release(releaseContext)
	return err
}
