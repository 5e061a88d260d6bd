// Package client holds a session and leases with the coordinators, for routers and tools. Whether a
// lease may be acted on is answered by Lease.Remaining alone, from LeaseTable, at the moment of
// asking. Nothing here ever waits in a request's path.
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

// Options are those of a client.
type Options struct {
	Coordinators map[string]string // addresses for clients (host:port), by name
	ClientName   string            // by which leases are transferred to this client
	TTL          time.Duration     // of the session

	// RequestTimeoutMillis is how long one coordinator is given to respond; 0: a sixth of TTL, 1 s at
	// most.
	RequestTimeoutMillis int

	Clock func() time.Duration // nil: clock.Now
	Log   *slog.Logger         // nil: nothing is logged

	// Dial opens a connection; nil: a net.Dialer with dialTimeout. Tools that count bytes wrap it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// maxCommandsInFlight of a session leave half of the coordinators' window to commands whose
	// responses are late.
	maxCommandsInFlight = coord.MaxCachedResponses / 2

	dialTimeout               = time.Second
	idleConnectionTimeout     = time.Minute
	maxIdleConnectionsPerHost = 4
)

// Client is a session with what it holds. Its methods may be called concurrently.
type Client struct {
	options      Options
	http         *http.Client
	commandSlots chan struct{}  // one for each command in flight
	wg           sync.WaitGroup // of the goroutines of commands; Run waits for it

	mu     sync.Mutex // guards what follows
	leases LeaseTable
	// sessionID is set before the session is known to be there, and stays after it was lost.
	sessionID string
	// sessionReady is closed once the session is there, and replaced after each loss.
	sessionReady chan struct{}
	// sessionContext ends with the session.
	sessionContext context.Context
	lastSequence   uint64
	// pending are the sequence numbers whose responses have not come.
	pending map[uint64]bool
	// windowMoved is closed, and replaced, once a pending command is answered or the session changes.
	windowMoved chan struct{}
	// leader is the coordinator that responded last, "" where it failed.
	leader string
	// sessionError is why there is no session, as the coordinators said it.
	sessionError error
	// transferredBytes counts the bodies that were sent and received.
	transferredBytes int64
}

// New prepares a client; Run opens its session.
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

// Run opens a session, keeps it alive, and opens another one where it was lost, until ctx ends; then
// it closes the session and waits for the commands in flight.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	defer c.wg.Wait()
	for ctx.Err() == nil {
		sessionContext, end := context.WithCancel(ctx)
		if c.openSession(sessionContext) {
			c.keepSessionAlive(sessionContext)
		}
		c.mu.Lock()
		c.leases.SessionLost()
		c.sessionReady = make(chan struct{})
		c.mu.Unlock()
		end()
	}
}

// TransferredBytes is how much was sent and received so far, bodies only.
func (c *Client) TransferredBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transferredBytes
}
