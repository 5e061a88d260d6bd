package client

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

const sessionIDBytes = 16

// SessionID returns the id of the open session, or "" if there is none.
func (c *Client) SessionID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leases.HasSession(c.options.Clock()) {
		return ""
	}
	return c.sessionID
}

// noSessionError returns ErrNoSession, joined with the error of the last attempt to open a session.
func (c *Client) noSessionError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessionError == nil {
		return ErrNoSession
	}
	return fmt.Errorf("%w: %w", ErrNoSession, c.sessionError)
}

// startSession generates the id of a new session and restarts the numbering of commands from 1.
func (c *Client) startSession(ctx context.Context) (id string) {
	random := make([]byte, sessionIDBytes)
	_, _ = crand.Read(random) // never fails
	id = hex.EncodeToString(random)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessionID = id
	c.lastSequence = 0
	c.pending = map[uint64]bool{}
	c.sessionContext = ctx
	c.wakeWindow()
	return id
}

// openSession tries to open a session with a new id until it succeeds. It returns false once ctx
// ends.
func (c *Client) openSession(ctx context.Context) bool {
	open := coord.Command{
		Op:        coord.OpOpenSession,
		SessionID: c.startSession(ctx),
		Client:    c.options.ClientName,
		TTL:       c.options.TTL,
	}
	timeout := c.newRequestTimeout()
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		// Expiry is counted from when this attempt was sent. The coordinators count from the latest
		// attempt that they executed, and the session must not appear to last longer here than
		// there.
		sentAt := c.options.Clock()
		response, err := c.sendWithin(ctx, timeout.current, open)
		timeout.observe(err)
		if err == nil && response.Code == coord.CodeOK {
			if c.recordSessionOpened(sentAt) {
				return true
			}
		} else if err == nil {
			c.options.Log.Warn("session rejected", "answer", response.Error())
			pause = maxRetryPause
			err = &RejectedError{response}
		}
		c.mu.Lock()
		c.sessionError = err
		c.mu.Unlock()
		if !clock.Sleep(ctx, RetryDelay(err, jitter(pause))) {
			return false
		}
	}
	return false
}

// recordSessionOpened records the session. It returns false if the session has expired already.
func (c *Client) recordSessionOpened(sentAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases.RecordSessionOpened(c.options.TTL, sentAt, c.options.Clock())
	if !c.leases.HasSession(c.options.Clock()) {
		return false
	}
	c.sessionError = nil
	close(c.sessionReady)
	return true
}

// keepSessionAlive sends keep-alives until the session is lost or ctx ends; in the latter case it
// closes the session.
func (c *Client) keepSessionAlive(ctx context.Context) {
	interval := c.options.TTL / 3
	retryPause := time.Duration(0)
	next := jitter(interval)
	for {
		if !clock.Sleep(ctx, next) {
			c.closeSession(ctx)
			return
		}
		response, isOpen, err := c.keepAliveOnce(ctx)
		if err == nil && response.Code == coord.CodeNoSession || !isOpen {
			c.options.Log.Warn("session lost", "answer", response.Code, "error", err)
			return
		}
		if err == nil && response.Code != coord.CodeOK {
			err = &RejectedError{response}
		}
		if err == nil {
			retryPause = 0
			next = jitter(interval)
			continue
		}
		retryPause = min(max(2*retryPause, minRetryPause), interval)
		next = min(RetryDelay(err, jitter(retryPause)), interval) // a longer delay would lose the session
	}
}

// keepAliveOnce sends a keep-alive and reports whether the session is still open.
func (c *Client) keepAliveOnce(ctx context.Context) (response coord.Response, isOpen bool, err error) {
	sentAt := c.options.Clock()
	response, err = c.send(ctx, coord.Command{Op: coord.OpKeepAlive, SessionID: c.sessionID})
	now := c.options.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && response.Code == coord.CodeOK {
		c.leases.RecordKeepAlive(sentAt, now)
	}
	return response, c.leases.HasSession(now), err
}

// closeSession closes the session at the coordinators after ctx has ended. If that fails, the
// session expires.
func (c *Client) closeSession(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.baseRequestTimeout())
	defer cancel()
	_, _ = c.send(ctx, coord.Command{Op: coord.OpCloseSession, SessionID: c.sessionID})
}
