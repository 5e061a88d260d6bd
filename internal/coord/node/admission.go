package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
)

// Limits on commands in flight.
const (
	// MaxCommandsInFlight is as many as there are sessions, as all may send their keep-alives at once.
	MaxCommandsInFlight = 8192

	// MaxOtherCommandsInFlight bounds commands other than keep-alives, by about what a busy leader
	// carries out in the second for which clients wait. Beyond it they are rejected with a time to
	// come back, so that the sessions that are there can be kept alive.
	MaxOtherCommandsInFlight = 4096
)

// Bounds on when rejected clients come back.
const (
	minRetryAfter = time.Second

	// Clients that find a table full come back 5 ms apart: it may stay full for long.
	tableReturnsPerSecond = 200
	maxTableRetryAfter    = time.Minute

	// Clients that find too many commands in flight come back half a millisecond apart: the commands
	// are carried out within seconds.
	commandReturnsPerSecond = 2000
	maxCommandRetryAfter    = 5 * time.Second
)

// Limits on connections.
const (
	// maxRejectedConnections lie over the limit, and are kept only until they got their Retry-After.
	maxRejectedConnections = 256
	// reservedDescriptors of the process are for its log, its snapshots and the other coordinators.
	reservedDescriptors = 1024
)

// maxCommands is how many commands may be in flight where one more is to be carried out.
func maxCommands(op coord.Op) int {
	if op == coord.OpKeepAlive {
		return MaxCommandsInFlight
	}
	return MaxOtherCommandsInFlight
}

// returnSchedule gives rejected clients times to come back that lie apart, so that their number
// doesn't decide how many come at once.
type returnSchedule struct {
	perSecond     int
	maxRetryAfter time.Duration

	mu           sync.Mutex
	nextReturnAt time.Duration // given out last, on clock.Now
}

// newTableReturns is the schedule of clients that find a table full.
func newTableReturns() *returnSchedule {
	return &returnSchedule{perSecond: tableReturnsPerSecond, maxRetryAfter: maxTableRetryAfter}
}

// newCommandReturns is the schedule of clients that find too many commands in flight.
func newCommandReturns() *returnSchedule {
	return &returnSchedule{perSecond: commandReturnsPerSecond, maxRetryAfter: maxCommandRetryAfter}
}

// nextRetryAfter is after how long one more client is to come back.
func (r *returnSchedule) nextRetryAfter(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := time.Second / time.Duration(r.perSecond)
	earliest := now + minRetryAfter
	latest := now + r.maxRetryAfter
	r.nextReturnAt = min(max(r.nextReturnAt+gap, earliest), latest)
	return r.nextReturnAt - now
}

// withRetryAfter counts a response that rejects by a limit, and adds when to come back.
func (n *Node) withRetryAfter(response coord.Response, returns *returnSchedule) coord.Response {
	n.rejected.Add(1)
	response.RetryAfter = returns.nextRetryAfter(clock.Now())
	return response
}

// awaitsUpgrade rejects a command for which the version in force is too old. A coordinator that has
// just started may not have read the version yet: only what the leader has from all others counts.
func (n *Node) awaitsUpgrade(c coord.Command) (response coord.Response, awaits bool, err error) {
	n.mu.Lock()
	response, awaits = n.state.AwaitsUpgrade(c)
	n.mu.Unlock()
	if awaits {
		err = n.LinearizableRead(func(s *coord.State) { response, awaits = s.AwaitsUpgrade(c) })
	}
	return response, awaits, err
}

// rejectsSession rejects a session for which there is no capacity before it gets into the log: a
// fleet over the limit that retries costs the other coordinators nothing. Only a leader knows the
// state well enough to do so.
func (n *Node) rejectsSession(c coord.Command) (coord.Response, bool) {
	if c.Op != coord.OpOpenSession || n.raft.State() != raft.Leader {
		return coord.Response{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RejectsSession(c.SessionID)
}

// retryAfterSeconds is HTTP's header Retry-After: whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// connectionLimitForProcess is how many connections of clients are served at once: MaxConnections, or
// fewer where the process may open fewer descriptors.
func connectionLimitForProcess() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return MaxConnections
	}
	available := int(min(limit.Cur, math.MaxInt32)) - reservedDescriptors - maxRejectedConnections
	return max(1, min(MaxConnections, available))
}

// connectionLimit answers what comes over a connection beyond the limit with when to come back, and
// closes the connection.
type connectionLimit struct {
	bound   int
	returns *returnSchedule

	mu   sync.Mutex
	open map[net.Conn]bool // whether it counts against the bound
	used int               // connections that count
}

func newConnectionLimit(bound int) *connectionLimit {
	return &connectionLimit{bound: bound, returns: newTableReturns(), open: map[net.Conn]bool{}}
}

// overBound is the key under which a connection's context has whether it lies beyond the bound.
type overBound struct{}

// opened counts a new connection.
func (l *connectionLimit) opened(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	isWithin := l.used < l.bound
	if isWithin {
		l.used++
	}
	l.open[c] = isWithin
	return context.WithValue(ctx, overBound{}, !isWithin)
}

// changed counts a connection that ended.
func (l *connectionLimit) changed(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[c] {
		l.used--
	}
	delete(l.open, c)
}

// handler serves connections within the bound by another handler.
func (l *connectionLimit) handler(within http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isOver, _ := r.Context().Value(overBound{}).(bool); !isOver {
			within.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		writeLimitReached(w, &LimitError{
			Text:       "connections: " + strconv.Itoa(l.bound) + " at most",
			RetryAfter: l.returns.nextRetryAfter(clock.Now()),
		})
	})
}
