// Package client watches the agreed configuration as a router does: through one observer of a list, moving to another when that
// one fails, falls silent or is stale. Its revision never goes back. Nothing on a request's way waits for it.
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

// State is what a router is to put in force.
type State struct {
	Revision  uint64
	Documents []watchlog.Change // all under the prefix, by name
	Update    protocol.Update   // what led to it from the state before
}

// Options are those of a client.
type Options struct {
	Observers []string // addresses
	Watcher   string   // the router's name, by which its acknowledgements are counted
	Prefix    string   // of the documents that concern it
	// Apply puts a state in force, whole or not at all. Where it fails, what was in force stays, and nothing is acknowledged
	// until a later state is in force. It is called from one goroutine, for updates that have changes; it must be set.
	Apply func(context.Context, State) error
	Log   *slog.Logger
}

// The client's pauses and patience.
const (
	minPause               = 50 * time.Millisecond // after an observer failed, doubled each time
	maxPause               = 2 * time.Second
	silenceTimeout         = 2 * time.Second // without a byte from an observer, which sends progress twice a second
	minStaleAge            = 5 * time.Second // a watch whose state is older moves, twice as late each time in a row
	maxStaleAge            = time.Minute
	minAcknowledgeInterval = 200 * time.Millisecond // between two acknowledgements, at least
	maxAcknowledgeInterval = 2 * time.Second        // likewise, at most
	retryJitter            = 4                      // a come-back time is lengthened by up to this part of it
)

// Client is one watcher.
type Client struct {
	options        Options
	http           *http.Client
	acknowledgeDue chan struct{} // of one: there may be something to acknowledge

	mu             sync.Mutex // guards what follows
	replica        *watchlog.Replica
	observer       string        // that is watched now; "" while none is
	isApplyFailing bool          // Apply has failed, and not succeeded since
	completeAt     time.Duration // on clock.Now: what is held was all there was at this instant, at the earliest
	isComplete     bool          // completeAt has been set
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
			DialContext:           (&net.Dialer{Timeout: time.Second}).DialContext,
			ResponseHeaderTimeout: silenceTimeout,
			MaxConnsPerHost:       2,
			MaxIdleConnsPerHost:   1,
			IdleConnTimeout:       time.Minute,
		}},
	}
}

// Revision is the one through which all is held, and the one that was in force last.
func (c *Client) Revision() (held, inForce uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Revision(), c.replica.Acknowledged()
}

// Age is how long ago what is held was all there was, at most; false where it never was.
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

// reconnectDelay is how long to wait: what the observer told, and a part more; else the pause, spread over half of it to one and a half.
func reconnectDelay(err error, pause time.Duration) time.Duration {
	var refusal *protocol.Rejection
	if errors.As(err, &refusal) && refusal.RetryAfterMillis > 0 {
		told := refusal.RetryAfter()
		return told + rand.N(told/retryJitter+1)
	}
	return pause/2 + rand.N(pause+1)
}

func (c *Client) setObserver(address string) {
	c.mu.Lock()
	c.observer = address
	c.mu.Unlock()
	c.wake()
}

// receive takes an update and puts it in force.
func (c *Client) receive(ctx context.Context, update protocol.Update) error {
	state, err := c.extend(update)
	if err != nil {
		return err
	}
	if update.Snapshot || len(update.Changes) > 0 {
		err = c.options.Apply(ctx, state)
		if err != nil {
			c.options.Log.Warn("what was in force stays", "revision", state.Revision, "error", err)
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

// markApplied books that a revision is in force and has it acknowledged.
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

// wake has the revision that is in force acknowledged soon.
func (c *Client) wake() {
	select {
	case c.acknowledgeDue <- struct{}{}:
	default: // one is waiting already
	}
}
