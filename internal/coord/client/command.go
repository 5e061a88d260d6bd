package client

import (
	"context"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// outcome is the outcome of a numbered command.
type outcome struct {
	response    coord.Response
	firstSentAt time.Duration // on the client's clock
	sessionID   string        // of the session in which it was sent
	err         error
}

// execute numbers a command, sends it until it is answered, and waits for its response until ctx
// ends. The coordinators execute it once, however often it is sent. If the caller stops waiting,
// the command is still repeated until its outcome is known, and onLateOutcome, if not nil, is
// called with it.
//
// A command that names a session is executed in that session or not at all (ErrLeaseLost).
func (c *Client) execute(ctx context.Context, command coord.Command, onLateOutcome func(outcome)) outcome {
	c.mu.Lock()
	sessionReady := c.sessionReady
	c.mu.Unlock()
	select {
	case <-sessionReady:
	case <-ctx.Done():
		return outcome{err: c.noSessionError()}
	}
	select {
	case c.commandSlots <- struct{}{}:
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	}
	command, sessionContext, err := c.enterWindow(ctx, command)
	if err != nil {
		<-c.commandSlots
		return outcome{err: err}
	}
	result := make(chan outcome)
	callerStopped := make(chan struct{})
	go func() { // ends with the session at the latest; Run waits for it
		defer c.wg.Done()
		o := c.repeatUntilAnswered(sessionContext, command)
		<-c.commandSlots
		select {
		case result <- o:
		case <-callerStopped:
			if onLateOutcome != nil {
				onLateOutcome(o)
			}
		}
	}()
	select {
	case o := <-result:
		return o
	case <-ctx.Done():
		close(callerStopped)
		return outcome{err: ctx.Err()}
	}
}

// enterWindow numbers a command in the current session and counts it in wg.
func (c *Client) enterWindow(ctx context.Context, command coord.Command) (coord.Command, context.Context, error) {
	if err := c.lockWindow(ctx); err != nil {
		return command, nil, err
	}
	defer c.mu.Unlock()
	if !c.leases.HasSession(c.options.Clock()) {
		return command, nil, ErrNoSession
	}
	if command.SessionID != "" && command.SessionID != c.sessionID {
		return command, nil, ErrLeaseLost
	}
	c.lastSequence++
	command.Sequence = c.lastSequence
	command.SessionID = c.sessionID
	c.pending[command.Sequence] = true
	c.wg.Add(1)
	return command, c.sessionContext, nil
}

// lockWindow locks mu once the next sequence number is within the coordinators' window of
// remembered responses. The window begins at the oldest command without a response: while that one
// is repeated, many others may be answered, and the coordinators reject a command beyond the
// window. If it returns an error, mu isn't locked.
func (c *Client) lockWindow(ctx context.Context) error {
	for {
		c.mu.Lock()
		if c.lastSequence-c.acknowledgedThrough() < coord.MaxCachedResponses {
			return nil
		}
		windowMoved := c.windowMoved
		c.mu.Unlock()
		select {
		case <-windowMoved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// acknowledgedThrough returns the sequence number up to which all responses have been received. The
// caller must hold mu.
func (c *Client) acknowledgedThrough() uint64 {
	through := c.lastSequence
	for sequence := range c.pending {
		through = min(through, sequence-1)
	}
	return through
}

// wakeWindow wakes the callers that wait in lockWindow. The caller must hold mu.
func (c *Client) wakeWindow() {
	close(c.windowMoved)
	c.windowMoved = make(chan struct{})
}

// repeatUntilAnswered sends a command until it is answered or the session ends. The coordinators
// execute it once, by its sequence number.
func (c *Client) repeatUntilAnswered(sessionContext context.Context, command coord.Command) outcome {
	o := outcome{firstSentAt: c.options.Clock(), sessionID: command.SessionID}
	timeout := c.newRequestTimeout()
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		c.mu.Lock()
		command.AcknowledgedThrough = c.acknowledgedThrough()
		c.mu.Unlock()
		o.response, o.err = c.sendWithin(sessionContext, timeout.current, command)
		timeout.observe(o.err)
		if o.err == nil {
			break
		}
		if !clock.Sleep(sessionContext, RetryDelay(o.err, jitter(pause))) {
			o.err = ErrNoSession
			return o
		}
	}
	c.mu.Lock()
	if c.sessionID == command.SessionID {
		delete(c.pending, command.Sequence)
	}
	c.wakeWindow()
	c.mu.Unlock()
	if o.response.Code != coord.CodeOK {
		o.err = &RejectedError{o.response}
	}
	return o
}
