// Package client watches the agreed documents for a router. It uses one observer of a list and
// switches to another when that one fails, becomes silent or is stale. Its revision never
// decreases. Serving a request never waits for this package.
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

// State is a state of the documents for the router to apply.
type State struct {
	Revision  uint64
	Documents []watchlog.Change // all documents under the prefix, by name
	Update    protocol.Update   // the update that led from the previous state to this one
}

// Options configure a client.
type Options struct {
	Observers   []string // addresses (host:port)
	WatcherName string   // name of the router, by which its acknowledgements are counted
	Prefix      string   // of the names of the documents to watch

	// Apply applies a state completely or not at all. If it fails, the previous state stays applied
	// and nothing is acknowledged until a later state is applied. It is called from one goroutine,
	// for updates that have changes. It must be set.
	Apply func(context.Context, State) error

	Log *slog.Logger // nil: nothing is logged
}

// Timeouts and delays of the client.
const (
	minReconnectPause = 50 * time.Millisecond // after an observer failed; doubles for each further one
	maxReconnectPause = 2 * time.Second

	// silenceTimeout is how long an observer may send nothing; it sends two progress notices per
	// second.
	silenceTimeout = 2 * time.Second

	// minStaleAge is the age of the state at which the client switches to another observer. It
	// doubles each time in a row, as all observers may be stale.
	minStaleAge = 5 * time.Second
	maxStaleAge = time.Minute

	minAcknowledgeInterval = 200 * time.Millisecond
	maxAcknowledgeInterval = 2 * time.Second

	// A Retry-After is lengthened by a random amount of up to 1/retryJitter, so that clients that
	// were rejected together don't retry at the same time.
	retryJitter = 4

	dialTimeout           = time.Second
	idleConnectionTimeout = time.Minute
)

// Client watches documents through one observer at a time. Its methods may be called concurrently.
type Client struct {
	options        Options
	http           *http.Client
	acknowledgeDue chan struct{} // capacity 1: signals that there may be something to acknowledge

	mu             sync.Mutex // guards the fields below
	replica        *watchlog.Replica
	observer       string // address of the observer that is watched; "" if none is
	isApplyFailing bool   // the most recent call of Apply failed
	isComplete     bool   // whether completeAt is set
	// completeAt is the latest instant of clock.Now at which the replica is known to have been
	// complete.
	completeAt time.Duration
}

// New returns a client. Run starts watching.
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

// Revisions returns the revision up to which the replica is complete, and the one that was applied
// last.
func (c *Client) Revisions() (complete, applied uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Revision(), c.replica.Acknowledged()
}

// Age returns an upper bound on how long ago the replica was complete, or false if it never was.
func (c *Client) Age() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Now() - c.completeAt, c.isComplete
}

// Observer returns the address of the observer that is watched, or "" if none is.
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
	pause, stale := minReconnectPause, minStaleAge
	for i := 0; ctx.Err() == nil && len(order) > 0; i++ {
		address := order[i%len(order)]
		updates, err := c.watch(ctx, address, stale)
		c.setObserver("")
		if ctx.Err() != nil {
			return
		}
		c.options.Log.Info("switching to another observer", "before", address, "error", err)
		if updates > 0 {
			pause = minReconnectPause
		}
		if errors.Is(err, errStale) {
			stale = min(2*stale, maxStaleAge)
		} else if updates > 0 {
			stale = minStaleAge
		}
		if !clock.Sleep(ctx, reconnectDelay(err, pause)) {
			return
		}
		pause = min(2*pause, maxReconnectPause)
	}
}

// reconnectDelay returns how long to wait after a watch ended: the observer's Retry-After and up to
// 1/retryJitter of it longer, or else a random duration between half of the pause and one and a
// half times the pause.
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
	c.signalAcknowledgement()
}

// receive adds an update to the replica and applies the new state.
func (c *Client) receive(ctx context.Context, update protocol.Update) error {
	state, err := c.extend(update)
	if err != nil {
		return err
	}
	if update.Snapshot || len(update.Changes) > 0 {
		err = c.options.Apply(ctx, state)
		if err != nil {
			c.options.Log.Warn("state not applied; the previous state stays in force",
				"revision", state.Revision, "error", err)
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

// markApplied records that a revision is applied, and signals that it can be acknowledged.
func (c *Client) markApplied(revision uint64) {
	c.mu.Lock()
	before := c.replica.Acknowledged()
	if !c.isApplyFailing {
		c.replica.MarkApplied(revision)
	}
	hasAdvanced := c.replica.Acknowledged() != before
	c.mu.Unlock()
	if hasAdvanced {
		c.signalAcknowledgement()
	}
}

// signalAcknowledgement signals that there may be something to acknowledge.
func (c *Client) signalAcknowledgement() {
	select {
	case c.acknowledgeDue <- struct{}{}:
	default: // a signal is pending already
	}
}
