package router

// Connection pools: idle connections by server under one limit on sockets.

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
	addr      string
	isOrigin  bool
	startedAt float64         // of its process; the loop's
	idle      []*upstreamConn // longest idle first; guarded by upstreams.mu
	isRemoved bool            // no connection to it is kept any more
}

// upstreams keeps the connections to cache servers and origin.
type upstreams struct {
	dialer  net.Dialer
	maxIdle time.Duration

	mu            sync.Mutex
	unsizedValues byteBudget // bytes of values whose length shows at their end, beyond the usual
	limit         int        // of this process's part
	routerLimit   int        // of the router
	openConns     int        // connections open or being opened
	targets       map[*target]struct{}

	trace   *trace.Trace // of connections made
	uploads atomic.Int64 // large writes on their way
}

// uploadLimit bounds the large writes on their way, which slow clients may hold for long: the rest is for attempts.
func (u *upstreams) uploadLimit() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int64(max(1, u.limit/4))
}

// errNoDescriptor tells that the limit on sockets is reached.
var errNoDescriptor = errors.New("no socket left")

func newUpstreams(connIdle, connectTimeout time.Duration, limit int) *upstreams {
	u := &upstreams{limit: limit, routerLimit: limit, targets: map[*target]struct{}{}}
	u.dialer.KeepAlive = -1
	u.setTimeouts(connIdle, connectTimeout)
	return u
}

// setTimeouts sets how long connections may stand idle at a server, and how long one may take to come up.
func (u *upstreams) setTimeouts(connIdle, connectTimeout time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer.Timeout = connectTimeout
	// A request written to a connection that the server has just closed ends as a reset: be well ahead of it.
	if u.maxIdle = connIdle - min(connIdle/4, time.Second); connIdle <= 0 { // not told: they are kept until the server closes them
		u.maxIdle = math.MaxInt64
	}
}

// setProcessCount leaves this process an equal part of the sockets, while several processes are one router.
func (u *upstreams) setProcessCount(processes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = u.routerLimit / processes
	for u.openConns > u.limit && u.evictIdle() {
	}
}

func (u *upstreams) add(addr string, origin bool) *target {
	t := &target{addr: addr, isOrigin: origin}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.targets[t] = struct{}{}
	return t
}

// remove lets a target go once its attempts are back.
func (u *upstreams) remove(t *target) {
	u.mu.Lock()
	t.isRemoved = true
	delete(u.targets, t)
	u.mu.Unlock()
	u.closeIdle(t)
}

// closeIdle closes the idle connections to a target.
func (u *upstreams) closeIdle(t *target) {
	u.mu.Lock()
	old := t.idle
	t.idle = nil
	u.openConns -= len(old)
	u.mu.Unlock()
	closeAll(old)
}

func closeAll(cs []*upstreamConn) {
	for _, c := range cs {
		c.Close()
	}
}

// sweep closes connections that have stood idle for long or that the other side has closed, until ctx ends.
func (u *upstreams) sweep(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.mu.Lock()
			defer u.mu.Unlock()
			for t := range u.targets {
				closeAll(t.idle)
				t.idle = nil
			}
			return
		case <-tick.C:
		}
		var old []*upstreamConn
		u.mu.Lock()
		for t := range u.targets {
			t.idle = slices.DeleteFunc(t.idle, func(c *upstreamConn) bool {
				dead := time.Since(c.idleSince) >= u.maxIdle || !c.isQuiet()
				if dead {
					old = append(old, c)
				}
				return dead
			})
		}
		u.openConns -= len(old)
		u.mu.Unlock()
		closeAll(old)
	}
}

// originIdleMinimum is how long a connection to the origin rests after an answer. Answers in HTTP carry no id: a second copy
// of the last one that comes a moment later must be there before the next request is, and not be taken for its answer.
const originIdleMinimum = 20 * time.Millisecond

// acquire returns a connection to t, a kept one where there is one. For what can't be repeated it is the one that was used
// last: a server may close sooner than it is meant to, and what is written just then is lost.
func (u *upstreams) acquire(ctx context.Context, t *target, once bool) (*upstreamConn, error) {
	u.mu.Lock()
	for {
		rested := len(t.idle)
		for rested > 0 && t.isOrigin && time.Since(t.idle[rested-1].idleSince) < originIdleMinimum {
			rested--
		}
		if rested == 0 {
			break
		}
		// Else the one that has been idle for longest, so that a peak's connections stay in use: taking the latest let the
		// others run out, and twice as many handshakes, each work for the server, had to be made.
		i := 0
		if once {
			i = rested - 1
		}
		c := t.idle[i]
		t.idle = slices.Delete(t.idle, i, i+1)
		if time.Since(c.idleSince) < u.maxIdle && c.isQuiet() {
			u.mu.Unlock()
			return c, nil
		}
		u.openConns--
		c.Close()
	}
	if u.openConns >= u.limit && !u.evictIdle() {
		u.mu.Unlock()
		return nil, errNoDescriptor
	}
	u.openConns++
	dialer := u.dialer
	u.mu.Unlock()
	c, err := dialer.DialContext(ctx, "tcp", t.addr)
	if u.trace.Enabled() {
		u.trace.Event(float64(time.Now().UnixMicro())/1000, "dial", "to=%s ok=%t", t.addr, err == nil)
	}
	if err != nil {
		u.mu.Lock()
		u.openConns--
		u.mu.Unlock()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	uc := &upstreamConn{Conn: c, idleSince: time.Now()}
	uc.reader = bufio.NewReaderSize(uc, maxLineBytes)
	return uc, nil
}

// evictIdle closes the connection that has been idle for longest. The caller holds mu.
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

// release keeps a connection for the next attempt, or closes it.
func (u *upstreams) release(t *target, c *upstreamConn, reuse bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reuse = reuse && !t.isRemoved; reuse {
		c.idleSince = time.Now()
		t.idle = append(t.idle, c)
		return
	}
	u.openConns--
	c.Close()
}

// releaseUnused returns a connection that was taken and not used. Its server counts it as idle since it was: so does this.
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
