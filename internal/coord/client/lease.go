package client

import (
	"context"
	"errors"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// leaseCheckInterval is how often Lease.Context checks that the lease wasn't lost before its time.
const leaseCheckInterval = 100 * time.Millisecond

// Lease is one that was acquired.
type Lease struct {
	client    *Client
	sessionID string // in which it was acquired: in another session it isn't held
	Name      string
	Token     uint64 // fencing token: what the holder acts on rejects a lower one than it has seen
}

// Remaining is the answer to when a lease holder stops acting: now, where it is 0, and after that
// time at the latest otherwise, unless a keep-alive extends it. It is 0 when the lease's or the
// session's time is over (counted from when the newest successful request was sent), when the
// coordinators said that the session has ended, when the lease was released or transferred, and when
// it is held again under another token.
//
// It is the check before an act. A process may be stopped between the check and the act for longer
// than any lease lasts, so the act itself must be checked by its token or be harmless twice.
func (l *Lease) Remaining() time.Duration {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	token, remaining, ok := l.client.leases.Held(l.Name, l.client.options.Clock())
	if !ok || token != l.Token {
		return 0
	}
	return remaining
}

// Context ends margin before the lease's time is over, or once it is lost, with ErrLeaseLost as its
// cause. The function that is returned ends it too, and waits for its goroutine.
func (l *Lease) Context(parent context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	done := make(chan struct{})
	go func() { // ended by the function that is returned, which waits for it
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

// Acquire asks for a lease once. A RejectedError with CodeHeld says who holds it.
func (c *Client) Acquire(ctx context.Context, name, purpose string, ttl time.Duration) (*Lease, error) {
	command := coord.Command{Op: coord.OpAcquire, Lease: name, Purpose: purpose, TTL: ttl}
	o := c.execute(ctx, command, func(late outcome) { c.releaseUnwanted(name, late) })
	if o.err != nil {
		return nil, o.err
	}
	token := o.response.Token
	c.mu.Lock()
	isHeld := c.sessionID == o.sessionID && c.leases.Granted(name, token, ttl, o.firstSentAt, c.options.Clock())
	c.mu.Unlock()
	if !isHeld {
		return nil, ErrLeaseLost
	}
	return &Lease{client: c, sessionID: o.sessionID, Name: name, Token: token}, nil
}

// releaseUnwanted gives back a lease that was granted after its caller stopped waiting.
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

// Release gives the lease back. Nothing may be acted on it from the call on, whatever the error.
func (l *Lease) Release(ctx context.Context) error {
	l.stopActing()
	return l.client.execute(ctx, l.command(coord.OpRelease), nil).err
}

// Transfer gives the lease to the client of that name, and returns the successor's token. Nothing
// may be acted on it from the call on. Where it is rejected, the lease is this client's to acquire
// again, and Acquire gives it back at once.
func (l *Lease) Transfer(ctx context.Context, successor string) (token uint64, err error) {
	l.stopActing()
	command := l.command(coord.OpTransfer)
	command.Successor = successor
	o := l.client.execute(ctx, command, nil)
	return o.response.Token, o.err
}

// WriteRecord sets the lease's record, if the lease still is held with its token when the write is
// carried out: an act that the agreed state itself checks.
func (l *Lease) WriteRecord(ctx context.Context, record []byte) error {
	command := l.command(coord.OpWriteRecord)
	command.Record = record
	return l.client.execute(ctx, command, nil).err
}

func (l *Lease) command(op coord.Op) coord.Command {
	return coord.Command{Op: op, SessionID: l.sessionID, Lease: l.Name, Token: l.Token}
}

// stopActing has Remaining return 0 before the coordinators may give the lease to another.
func (l *Lease) stopActing() {
	l.client.mu.Lock()
	l.client.leases.Forget(l.Name, l.Token)
	l.client.mu.Unlock()
}

// RunWithLease waits until the lease is held, runs f under it, and releases it. The context of f
// ends margin before the lease's time is over. It returns f's error, or why there is no lease once
// ctx has ended.
func (c *Client) RunWithLease(
	ctx context.Context, name, purpose string, ttl, margin time.Duration, f func(context.Context, *Lease) error,
) error {
	pause := minRetryPause
	for {
		lease, err := c.Acquire(ctx, name, purpose, ttl)
		if err == nil {
			return c.runUnder(ctx, lease, margin, f)
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
			if !clock.Sleep(ctx, jitter(pause)) { // all who wait for the lease must not come at once
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

// runUnder runs f and releases the lease; where the release fails, the lease expires.
func (c *Client) runUnder(
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
