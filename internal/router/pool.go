package router

// Connection pools: idle connections by server, all under one limit on descriptors.

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

// target is a cache server or the origin, at one address.
type target struct {
	addr     string
	isOrigin bool
	// startedAt is when the server's process started, in milliseconds on the loop's clock. It belongs
	// to the loop.
	startedAt float64
	// idle are the idle connections, longest idle first; guarded by upstreams.mu.
	idle []*upstreamConn
	// isRemoved is set once the server has left the list: no connection is kept any more. It is
	// guarded by upstreams.mu.
	isRemoved bool
}

// upstreams keeps the connections to cache servers and the origin. An idle connection belongs to
// it, an acquired one to who has acquired it. Any goroutine may use it.
type upstreams struct {
	// trace takes the making of connections.
	trace *trace.Trace
	// unsizedValues is for values of unknown length, beyond maxBufferedValue of each.
	unsizedValues byteBudget
	// uploads counts the large writes on their way that are no attempt yet.
	uploads atomic.Int64
	// routerLimit is the limit of all processes of this router together.
	routerLimit int
	// processReserve is how many descriptors each further process needs for other things.
	processReserve int

	// mu guards the fields below, and idle and isRemoved of each target.
	mu     sync.Mutex
	dialer net.Dialer
	// maxIdle is how long a connection may be idle and be used again.
	maxIdle time.Duration
	// limit is this process's limit on connections.
	limit int
	// openConns counts the connections that are open or being opened.
	openConns int
	targets   map[*target]struct{}
}

const (
	// sweepInterval is the time between two looks at all idle connections.
	sweepInterval = 500 * time.Millisecond
	// originIdleMinimum is how long a connection to the origin rests after an answer. Answers in HTTP
	// carry no id: a second copy of the last one that comes a moment later must be there, and end the
	// connection, before the next request is written; else it would be taken for its answer.
	originIdleMinimum = 20 * time.Millisecond
	// maxIdleMargin bounds how much earlier than the server a connection is given up.
	maxIdleMargin = time.Second
	// uploadPart is the part of the connections, one in so many, that large writes may hold for as
	// long as slow clients take: the rest is for attempts.
	uploadPart = 4
)

// errNoDescriptor is the error of a connection that can't be opened within the limit.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// newUpstreams keeps at most limit connections. For the times see setTimeouts.
func newUpstreams(serverIdleTimeout, connectTimeout time.Duration, limit int) *upstreams {
	u := &upstreams{limit: limit, routerLimit: limit, targets: map[*target]struct{}{}}
	u.dialer.KeepAlive = -1
	u.setTimeouts(serverIdleTimeout, connectTimeout)
	return u
}

// setTimeouts sets how long a server keeps an idle connection, where 0 means that the settings
// don't say and it is kept until the server closes it, and how long a connection may take to come
// up.
func (u *upstreams) setTimeouts(serverIdleTimeout, connectTimeout time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer.Timeout = connectTimeout
	// A request written to a connection that the server has just closed ends as a reset: be well
	// ahead of it.
	u.maxIdle = serverIdleTimeout - min(serverIdleTimeout/4, maxIdleMargin)
	if serverIdleTimeout <= 0 {
		u.maxIdle = math.MaxInt64
	}
}

// setProcessCount leaves this process its part of the connections, while several processes are one
// router, and closes idle ones beyond it.
func (u *upstreams) setProcessCount(processes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = processLimit(u.routerLimit, u.processReserve, processes)
	for u.openConns > u.limit && u.evictIdle() {
	}
}

// uploadLimit bounds uploads.
func (u *upstreams) uploadLimit() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int64(max(1, u.limit/uploadPart))
}

// add keeps connections to a server from now on.
func (u *upstreams) add(addr string, isOrigin bool) *target {
	t := &target{addr: addr, isOrigin: isOrigin}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.targets[t] = struct{}{}
	return t
}

// remove keeps no connections to a server any more. Acquired ones are closed when they are released.
func (u *upstreams) remove(t *target) {
	u.mu.Lock()
	t.isRemoved = true
	delete(u.targets, t)
	u.mu.Unlock()
	u.closeIdle(t)
}

// closeIdle closes the idle connections to a server.
func (u *upstreams) closeIdle(t *target) {
	u.mu.Lock()
	idle := t.idle
	t.idle = nil
	u.openConns -= len(idle)
	u.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*upstreamConn) {
	for _, c := range conns {
		c.Close()
	}
}

// sweep closes connections that have been idle for maxIdle or that the other side has closed, until
// ctx ends; then it closes all idle ones.
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
	for t := range u.targets {
		closeAll(t.idle)
		t.idle = nil
	}
}

// takeExpired takes the idle connections out that are not to be used any more.
func (u *upstreams) takeExpired() (expired []*upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for t := range u.targets {
		t.idle = slices.DeleteFunc(t.idle, func(c *upstreamConn) bool {
			if u.isUsable(c) {
				return false
			}
			expired = append(expired, c)
			return true
		})
	}
	u.openConns -= len(expired)
	return expired
}

// isUsable reports whether an idle connection may carry a request. The caller holds mu.
func (u *upstreams) isUsable(c *upstreamConn) bool {
	return time.Since(c.idleSince) < u.maxIdle && c.isQuiet()
}

// acquire returns a connection to a server: an idle one where there is one, else one that it opens.
// errNoDescriptor is the error where the limit does not allow that.
func (u *upstreams) acquire(ctx context.Context, t *target, isNotRepeatable bool) (*upstreamConn, error) {
	u.mu.Lock()
	if c := u.takeIdle(t, isNotRepeatable); c != nil {
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

// takeIdle takes an idle connection that may be used, or returns nil. The caller holds mu.
//
// It is the one that has been idle for longest, so that all connections of a peak stay in use: else
// the others would expire, and the next peak would cost the server as many handshakes. For a
// request that may not be sent twice at will it is the one that was used last: a server may close a
// connection early, and a request that is written just then is lost.
func (u *upstreams) takeIdle(t *target, isNotRepeatable bool) *upstreamConn {
	for {
		rested := len(t.idle)
		for rested > 0 && t.isOrigin && time.Since(t.idle[rested-1].idleSince) < originIdleMinimum {
			rested--
		}
		if rested == 0 {
			return nil
		}
		i := 0
		if isNotRepeatable {
			i = rested - 1
		}
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if u.isUsable(c) {
			return c
		}
		u.openConns--
		c.Close()
	}
}

// dial opens a connection, which counts as open already.
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
	c := &upstreamConn{Conn: conn, idleSince: time.Now()}
	c.reader = bufio.NewReaderSize(c, maxLineBytes)
	return c, nil
}

// evictIdle closes the connection that has been idle for longest, and reports whether there was any.
// The caller holds mu.
func (u *upstreams) evictIdle() bool {
	var from *target
	for t := range u.targets {
		if len(t.idle) > 0 && (from == nil || t.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = t
		}
	}
	if from == nil {
		return false
	}
	from.idle[0].Close()
	from.idle = slices.Delete(from.idle, 0, 1)
	u.openConns--
	return true
}

// release keeps an acquired connection for the next attempt, or closes it.
func (u *upstreams) release(t *target, c *upstreamConn, isReusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !isReusable || t.isRemoved {
		u.openConns--
		c.Close()
		return
	}
	c.idleSince = time.Now()
	t.idle = append(t.idle, c)
}

// releaseUnused returns a connection that was acquired and not written to. Its server counts it as
// idle since its last use, and so does the pool.
func (u *upstreams) releaseUnused(t *target, c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.isRemoved || !c.isQuiet() {
		u.openConns--
		c.Close()
		return
	}
	i := 0
	for i < len(t.idle) && t.idle[i].idleSince.Before(c.idleSince) {
		i++
	}
	t.idle = slices.Insert(t.idle, i, c)
}
