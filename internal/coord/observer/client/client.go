// Package client watches the agreed documents as a router does: through one observer of a list, moving
// to another when that one fails, falls silent or is stale. Its revision never goes back. Nothing in a
// request's path waits for it.
package client

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// State is what a router is to apply.
type State struct {
	Revision  uint64
	Documents []watchlog.Change // all under the prefix, by name
	Update    protocol.Update   // what led to it from the state before
}

// Options are those of a client.
type Options struct {
	Observers []string // addresses (host:port)
	Watcher   string   // the router's name, by which its acknowledgements are counted
	Prefix    string   // of the names of the documents to watch

	// Apply applies a state, completely or not at all. Where it fails, the state before stays applied,
	// and nothing is acknowledged until a later state is applied. It is called from one goroutine, for
	// updates that have changes; it must be set.
	Apply func(context.Context, State) error

	Log *slog.Logger // nil: nothing is logged
}

// The client's times.
const (
	minPause = 50 * time.Millisecond // after an observer failed; doubled for each further one
	maxPause = 2 * time.Second

	// silenceTimeout is how long an observer may send no byte; it sends progress notices twice a second.
	silenceTimeout = 2 * time.Second

	// minStaleAge is the age of the state at which a watch moves to another observer; it doubles each
	// time in a row, as all observers may be stale.
	minStaleAge = 5 * time.Second
	maxStaleAge = time.Minute

	minAcknowledgeInterval = 200 * time.Millisecond
	maxAcknowledgeInterval = 2 * time.Second

	// A Retry-After is lengthened by up to one part in retryJitter, so that clients which were rejected
	// together don't come back together.
	retryJitter = 4

	dialTimeout           = time.Second
	idleConnectionTimeout = time.Minute
)

// Client is one watcher.
type Client struct {
	options        Options
	http           *http.Client
	acknowledgeDue chan struct{} // of one: there may be something to acknowledge

	mu             sync.Mutex // guards what follows
	replica        *watchlog.Replica
	observer       string // address of the one that is watched now; "" while none is
	isApplyFailing bool   // Apply has failed, and not succeeded since
	isComplete     bool   // completeAt has been set
	// completeAt is an instant of clock.Now at which the replica had all that there was.
	completeAt time.Duration
}

// New prepares a client; Run has it watch.
func New(options Options) *Client {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{
		options:        options,
		replica:        watchlog.NewReplica(),
		acknowledgeDue: make(chan struct{}, 1),
		http: &http.Client{Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			ResponseHeaderTimeout: silenceTimeout,
			MaxConnsPerHost:       2,
			MaxIdleConnsPerHost:   1,
			IdleConnTimeout:       idleConnectionTimeout,
		}},
	}
}

// Revision is the one through which the replica is complete, and the one that was applied last.
func (c *Client) Revision() (complete, applied uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Revision(), c.replica.Acknowledged()
}

// Age is how long ago the replica had all that there was, at most; false where it never had.
func (c *Client) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Now() - c.completeAt, c.isComplete
}

// Observer is the address of the observer that is watched now; "" while none is.
func (c *Client) Observer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observer
}

// Run watches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.acknowledge(ctx) })
	order := slices.Clone(c.options.Observers)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	pause, stale := minPause, minStaleAge
	for i := 0; ctx.Err() == nil && len(order) > 0; i++ {
		address := order[i%len(order)]
		updates, err := c.watch(ctx, address, stale)
		c.setObserver("")
		if ctx.Err() != nil {
			return
		}
		c.options.Log.Info("watching another observer", "before", address, "error", err)
		if updates > 0 {
			pause = minPause
		}
		if errors.Is(err, errStale) {
			stale = min(2*stale, maxStaleAge)
		} else if updates > 0 {
			stale = minStaleAge
		}
		if !clock.Sleep(ctx, reconnectDelay(err, pause)) {
			return
		}
		pause = min(2*pause, maxPause)
	}
}

// reconnectDelay is how long to wait after a watch ended: what the observer asked for, and up to a part
// more; else the pause, spread over half of it to one and a half.
func reconnectDelay(err error, pause time.Duration) time.Duration {
	var rejection *protocol.Rejection
	if errors.As(err, &rejection) && rejection.RetryAfterMillis > 0 {
		retryAfter := rejection.RetryAfter()
		return retryAfter + rand.N(retryAfter/retryJitter+1)
	}
	return pause/2 + rand.N(pause+1)
}

func (c *Client) setObserver(address string) {
	c.mu.Lock()
	c.observer = address
	c.mu.Unlock()
	c.wake()
}

// receive takes an update into the replica and applies it.
func (c *Client) receive(ctx context.Context, update protocol.Update) error {
	state, err := c.extend(update)
	if err != nil {
		return err
	}
	if update.Snapshot || len(update.Changes) > 0 {
		err = c.options.Apply(ctx, state)
		if err != nil {
			c.options.Log.Warn("the state before stays applied", "revision", state.Revision, "error", err)
		}
		c.recordApplyResult(err)
	}
	c.markApplied(state.Revision)
	return nil
}

func (c *Client) extend(update protocol.Update) (State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.replica.Apply(update.Batch); err != nil {
		return State{}, err
	}
	state := State{Revision: c.replica.Revision(), Update: update}
	if update.Snapshot || len(update.Changes) > 0 {
		state.Documents = c.replica.Documents()
	}
	return state, nil
}

func (c *Client) recordApplyResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isApplyFailing = err != nil
}

// markApplied records that a revision is applied, and has it acknowledged.
func (c *Client) markApplied(revision uint64) {
	c.mu.Lock()
	before := c.replica.Acknowledged()
	if !c.isApplyFailing {
		c.replica.MarkApplied(revision)
	}
	hasNews := c.replica.Acknowledged() != before
	c.mu.Unlock()
	if hasNews {
		c.wake()
	}
}

// wake has the applied revision acknowledged soon.
func (c *Client) wake() {
	select {
	case c.acknowledgeDue <- struct{}{}:
	default: // a signal is waiting already
	}
}
