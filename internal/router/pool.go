package router

// Connection pools: idle connections by server, under one common limit on descriptors.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/internal/trace"
)

// target is a cache server or the origin at one address.
type target struct {
	// id is the Balancer's id of the server. It belongs to the loop.
	id       uint32
	addr     string
	isOrigin bool
	// startedAt is when the server's process started, in milliseconds on the loop's clock. It
	// belongs to the loop.
	startedAt float64
	// idle holds the idle connections, the one idle for longest first; guarded by upstreams.mu. An idle
	// connection is also in upstreams.idle.
	idle []*upstreamConn
	// isRemoved is set once the server was removed from the list: its connections are closed
	// instead of kept. It is guarded by upstreams.mu.
	isRemoved bool
}

// upstreams is the pool of connections to cache servers and the origin. An idle connection belongs
// to the pool, an acquired one to the goroutine that acquired it. Any goroutine may use the pool.
type upstreams struct {
	// trace records the opening of connections.
	trace *trace.Trace
	// answers is the memory for answers, until they are written to their clients.
	answers answerBudgets
	// uploads counts the large writes being received that are not attempts yet.
	uploads atomic.Int64
	// routerLimit is the limit on connections of all processes of this router together.
	routerLimit int
	// processReserve is how many descriptors each additional process needs for other purposes.
	processReserve int

	// mu guards the fields below, and idle and isRemoved of each target.
	mu     sync.Mutex
	dialer net.Dialer
	// maxIdle is how long a connection may be idle before it is no longer used.
	maxIdle time.Duration
	// limit is this process's limit on connections.
	limit int
	// openConns counts the connections that are open or being opened.
	openConns int
	// idle holds the idle connections to all servers, the one idle for longest first.
	idle idleList
}

const (
	// sweepInterval is how often all idle connections are checked.
	sweepInterval = 500 * time.Millisecond
	// sweepBatch is the number of connections that are checked without letting others use the pool.
	sweepBatch = 16
	// originIdleMinimum is how long a connection to the origin stays unused after an answer. HTTP
	// answers carry no request id, so a late duplicate of the last answer would be taken for the
	// answer to the next request. If it arrives within this time, the connection is closed.
	originIdleMinimum = 100 * time.Millisecond
	// maxIdleMargin limits how much earlier than the server the pool closes an idle connection.
	maxIdleMargin = time.Second
	// uploadConnDivisor is a divisor: large writes, which last as long as slow clients take, may
	// hold at most one in uploadConnDivisor connections. The rest is for attempts.
	uploadConnDivisor = 4
)

// errNoDescriptor is returned if another connection would exceed the limit.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// newUpstreams returns a pool of at most limit connections. For the durations see setTimeouts.
func newUpstreams(serverIdleTimeout, connectTimeout time.Duration, limit int) *upstreams {
	u := &upstreams{limit: limit, routerLimit: limit}
	u.answers.setMemory(math.MaxInt64) // until the router's limit is set
	u.dialer.KeepAlive = -1
	u.setTimeouts(serverIdleTimeout, connectTimeout)
	return u
}

// setTimeouts sets how long a server keeps an idle connection open, and the timeout for opening a
// connection. A serverIdleTimeout of 0 means that the settings don't specify it; connections are
// then kept until the server closes them.
func (u *upstreams) setTimeouts(serverIdleTimeout, connectTimeout time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer.Timeout = connectTimeout
	// A request written to a connection that the server has just closed ends with a reset, so
	// connections are closed well before that.
	u.maxIdle = serverIdleTimeout - min(serverIdleTimeout/4, maxIdleMargin)
	if serverIdleTimeout <= 0 {
		u.maxIdle = math.MaxInt64
	}
}

// setProcessCount sets the limit to this process's share while several processes form one router,
// and closes idle connections beyond it.
func (u *upstreams) setProcessCount(processes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = processLimit(u.routerLimit, u.processReserve, processes)
	for u.openConns > u.limit && u.evictIdle() {
	}
}

// uploadLimit returns the limit on concurrent uploads.
func (u *upstreams) uploadLimit() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int64(max(1, u.limit/uploadConnDivisor))
}

// add registers a server, whose idle connections are kept from now on.
func (u *upstreams) add(addr string, isOrigin bool) *target {
	return &target{addr: addr, isOrigin: isOrigin}
}

// remove unregisters a server and closes its idle connections. Acquired connections are closed when
// they are released.
func (u *upstreams) remove(t *target) {
	u.mu.Lock()
	t.isRemoved = true
	u.mu.Unlock()
	u.closeIdle(t)
}

// closeIdle closes the idle connections to a server.
func (u *upstreams) closeIdle(t *target) {
	u.mu.Lock()
	idle := t.idle
	t.idle = nil
	for _, c := range idle {
		u.idle.remove(c)
	}
	u.openConns -= len(idle)
	u.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*upstreamConn) {
	for _, c := range conns {
		c.Close()
	}
}

// sweep closes connections that have been idle for maxIdle or were closed by the other side. When
// ctx ends, it closes all idle connections and returns.
func (u *upstreams) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.closeAllIdle()
			return
		case <-tick.C:
			closeAll(u.takeExpired())
		}
	}
}

func (u *upstreams) closeAllIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle.all() {
		u.removeIdle(c)
		c.Close()
	}
}

// takeExpired removes and returns the idle connections that may not be used any more.
func (u *upstreams) takeExpired() (expired []*upstreamConn) {
	u.mu.Lock()
	idle := u.idle.all()
	u.mu.Unlock()
	for batch := range slices.Chunk(idle, sweepBatch) {
		expired = append(expired, u.takeExpiredOf(batch)...)
	}
	return expired
}

// takeExpiredOf is takeExpired for some connections, those of which are passed over that are not idle
// any more.
func (u *upstreams) takeExpiredOf(batch []*upstreamConn) (expired []*upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range batch {
		if c.idleElement != nil && !u.isUsable(c) {
			u.removeIdle(c)
			u.openConns--
			expired = append(expired, c)
		}
	}
	return expired
}

// addIdle adds a connection to the idle ones, by idleSince. The caller holds mu.
func (u *upstreams) addIdle(c *upstreamConn) {
	idle := c.target.idle
	at := len(idle)
	for at > 0 && c.idleSince.Before(idle[at-1].idleSince) {
		at--
	}
	c.target.idle = slices.Insert(idle, at, c)
	u.idle.add(c)
}

// removeIdle removes a connection from the idle ones. The caller holds mu.
func (u *upstreams) removeIdle(c *upstreamConn) {
	at := slices.Index(c.target.idle, c)
	c.target.idle = slices.Delete(c.target.idle, at, at+1)
	u.idle.remove(c)
}

// isUsable reports whether an idle connection may carry a request. The caller holds mu.
func (u *upstreams) isUsable(c *upstreamConn) bool {
	return time.Since(c.idleSince) < u.maxIdle && c.isQuiet()
}

// acquire returns an idle connection to a server, or opens one if there is none. It returns
// errNoDescriptor if the limit does not allow that.
func (u *upstreams) acquire(ctx context.Context, t *target, isNotRepeatable bool) (*upstreamConn, error) {
	return u.acquireFor(ctx, t, "", isNotRepeatable)
}

// acquireFor is acquire for an attempt of the request with the given id. It returns no connection to a
// cache server that has carried an attempt of the same request: a duplicate of the answer to that one
// could not be told from the answer to this one.
func (u *upstreams) acquireFor(
	ctx context.Context, t *target, requestID string, isNotRepeatable bool,
) (*upstreamConn, error) {
	u.mu.Lock()
	if c := u.takeIdle(t, requestID, isNotRepeatable); c != nil {
		u.mu.Unlock()
		return c, nil
	}
	if u.openConns >= u.limit && !u.evictIdle() {
		u.mu.Unlock()
		return nil, errNoDescriptor
	}
	u.openConns++
	dialer := u.dialer
	u.mu.Unlock()
	return u.dial(ctx, dialer, t)
}

// takeIdle returns a usable idle connection that has not carried the request, or nil. The caller holds
// mu.
//
// It prefers the connection that has been idle for longest, so that all connections opened during a
// load peak stay in use. Otherwise the others would expire, and the next peak would cost the server
// as many handshakes again. For a request that is not repeatable it prefers the one used last: a
// server may close an idle connection early, and a request written at that moment is lost.
func (u *upstreams) takeIdle(t *target, requestID string, isNotRepeatable bool) *upstreamConn {
	for {
		i := t.indexOfIdle(requestID, isNotRepeatable)
		if i < 0 {
			return nil
		}
		c := t.idle[i]
		u.removeIdle(c)
		if u.isUsable(c) {
			return c
		}
		u.openConns--
		c.Close()
	}
}

// indexOfIdle returns the position of the idle connection that takeIdle prefers, or -1. The caller
// holds upstreams.mu.
func (t *target) indexOfIdle(requestID string, isNotRepeatable bool) int {
	eligible := len(t.idle)
	for eligible > 0 && t.isOrigin && time.Since(t.idle[eligible-1].idleSince) < originIdleMinimum {
		eligible--
	}
	mayCarry := func(c *upstreamConn) bool { return t.isOrigin || !c.carried.contains(requestID) }
	if !isNotRepeatable {
		return slices.IndexFunc(t.idle[:eligible], mayCarry)
	}
	for i := eligible - 1; i >= 0; i-- {
		if mayCarry(t.idle[i]) {
			return i
		}
	}
	return -1
}

// dial opens a connection that openConns already counts.
func (u *upstreams) dial(ctx context.Context, dialer net.Dialer, t *target) (*upstreamConn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", t.addr)
	if u.trace.Enabled() {
		u.trace.Event(float64(time.Now().UnixMicro())/1000, "dial", "to=%s ok=%t", t.addr, err == nil)
	}
	if err != nil {
		u.mu.Lock()
		u.openConns--
		u.mu.Unlock()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	c := &upstreamConn{Conn: conn, target: t, idleSince: time.Now()}
	c.reader = bufio.NewReaderSize(c, maxLineBytes)
	return c, nil
}

// evictIdle closes the connection that has been idle for longest, and reports whether there was
// one. The caller holds mu.
func (u *upstreams) evictIdle() bool {
	c := u.idle.oldest()
	if c == nil {
		return false
	}
	u.removeIdle(c)
	u.openConns--
	c.Close()
	return true
}

// release returns an acquired connection to the pool, or closes it.
func (u *upstreams) release(t *target, c *upstreamConn, isReusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !isReusable || t.isRemoved {
		u.openConns--
		c.Close()
		return
	}
	c.idleSince = time.Now()
	u.addIdle(c)
}

// releaseUnused returns an acquired connection that nothing was written to. As for its server, its
// idle time continues from its last use.
func (u *upstreams) releaseUnused(t *target, c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.isRemoved || !c.isQuiet() {
		u.openConns--
		c.Close()
		return
	}
	u.addIdle(c)
}
