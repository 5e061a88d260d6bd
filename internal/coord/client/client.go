// Package client maintains a session and leases with the coordinators, for routers and tools.
// Whether a holder may act under a lease is decided by Lease.Remaining, which uses the local
// LeaseTable at the time of the call. Serving a request never waits for this package.
package client

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// Options configure a client.
type Options struct {
	Coordinators map[string]string // addresses for clients (host:port), by coordinator name
	ClientName   string            // by which other clients transfer leases to this one
	TTL          time.Duration     // of the session

	// RequestTimeoutMillis is how long one coordinator is given to respond. The default for 0 is a
	// sixth of TTL, but at most 1 s.
	RequestTimeoutMillis int

	Clock func() time.Duration // nil: clock.Now
	Log   *slog.Logger         // nil: nothing is logged

	// Dial opens a connection; nil: a net.Dialer with dialTimeout. Tools that count bytes set it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// maxCommandsInFlight is half of the coordinators' window per session: the other half is left
	// for commands whose responses are late.
	maxCommandsInFlight = coord.MaxCachedResponses / 2

	dialTimeout               = time.Second
	idleConnectionTimeout     = time.Minute
	maxIdleConnectionsPerHost = 4
)

// Client maintains a session and its leases. Its methods may be called concurrently.
type Client struct {
	options      Options
	http         *http.Client
	commandSlots chan struct{}  // one for each command in flight
	wg           sync.WaitGroup // goroutines of commands; Run waits for them

	mu     sync.Mutex // guards the fields below
	leases LeaseTable
	// sessionID is set before the session is open, and kept after it is lost.
	sessionID string
	// sessionReady is closed when the session is open, and replaced after each loss.
	sessionReady chan struct{}
	// sessionContext ends with the session.
	sessionContext context.Context
	lastSequence   uint64
	// pending has the sequence numbers of commands without a response yet.
	pending map[uint64]bool
	// windowMoved is closed and replaced when a pending command gets a response or a session
	// starts.
	windowMoved chan struct{}
	// leader is the coordinator that responded last, or "" if none did.
	leader string
	// sessionError is why the coordinators have not opened a session.
	sessionError error
	// transferredBytes counts the bytes of request and response bodies.
	transferredBytes int64
}

// New returns a client. Run opens its session.
func New(options Options) *Client {
	if options.Clock == nil {
		options.Clock = clock.Now
	}
	if options.RequestTimeoutMillis == 0 {
		options.RequestTimeoutMillis = int(min(options.TTL/6, time.Second).Milliseconds())
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         options.Dial,
		MaxConnsPerHost:     2 * maxCommandsInFlight,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
	return &Client{
		options:      options,
		http:         &http.Client{Transport: transport},
		commandSlots: make(chan struct{}, maxCommandsInFlight),
		sessionReady: make(chan struct{}),
		pending:      map[uint64]bool{},
		windowMoved:  make(chan struct{}),
	}
}

// Run opens a session and keeps it alive, and opens another one when it is lost, until ctx ends. It
// then closes the session and waits for the commands in flight.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.wg.Wait()
	for ctx.Err() == nil {
		sessionContext, end := context.WithCancel(ctx)
		if c.openSession(sessionContext) {
			c.keepSessionAlive(sessionContext)
		}
		c.mu.Lock()
		c.leases.RecordSessionLost()
		c.sessionReady = make(chan struct{})
		c.mu.Unlock()
		end()
	}
}

// TransferredBytes returns how many bytes of request and response bodies were transferred so far.
func (c *Client) TransferredBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transferredBytes
}
