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
	// MaxCommandsInFlight is the maximum number of sessions: all may send keep-alives at the same
	// time.
	MaxCommandsInFlight = 8192

	// MaxOtherCommandsInFlight bounds commands other than keep-alives. It is about the number that
	// a busy leader executes in one second, the time for which clients wait. Commands beyond it are
	// rejected with a Retry-After, so that existing sessions can still be kept alive.
	MaxOtherCommandsInFlight = 4096
)

// Bounds of the Retry-After of rejected clients.
const (
	minRetryAfter = time.Second

	// Clients rejected by a full table retry 5 ms apart, as the table may stay full for long.
	tableRetriesPerSecond = 200
	maxTableRetryAfter    = time.Minute

	// Clients rejected by too many commands in flight retry 0.5 ms apart, as the commands are
	// executed within seconds.
	commandRetriesPerSecond = 2000
	maxCommandRetryAfter    = 5 * time.Second
)

// Limits on connections.
const (
	// maxRejectedConnections is how many connections over the limit are accepted to send a
	// Retry-After.
	maxRejectedConnections = 256
	// reservedDescriptors are kept for the process's log, snapshots and the other coordinators.
	reservedDescriptors = 1024
)

// maxCommands returns the limit on commands in flight that applies to the operation.
func maxCommands(op coord.Op) int {
	if op == coord.OpKeepAlive {
		return MaxCommandsInFlight
	}
	return MaxOtherCommandsInFlight
}

// retrySchedule assigns rejected clients evenly spaced times to retry, so that the rate of retries
// does not depend on the number of clients.
type retrySchedule struct {
	perSecond     int
	maxRetryAfter time.Duration

	mu          sync.Mutex
	lastRetryAt time.Duration // retry time assigned last, on clock.Now
}

// newTableRetrySchedule returns the schedule for clients that are rejected by a full table.
func newTableRetrySchedule() *retrySchedule {
	return &retrySchedule{perSecond: tableRetriesPerSecond, maxRetryAfter: maxTableRetryAfter}
}

// newCommandRetrySchedule returns the schedule for clients that are rejected by too many commands
// in flight.
func newCommandRetrySchedule() *retrySchedule {
	return &retrySchedule{perSecond: commandRetriesPerSecond, maxRetryAfter: maxCommandRetryAfter}
}

// nextRetryAfter assigns the next time to retry and returns how long after now it is.
func (s *retrySchedule) nextRetryAfter(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := time.Second / time.Duration(s.perSecond)
	earliest := now + minRetryAfter
	latest := now + s.maxRetryAfter
	s.lastRetryAt = min(max(s.lastRetryAt+gap, earliest), latest)
	return s.lastRetryAt - now
}

// withRetryAfter counts a rejection by a limit and sets its RetryAfter.
func (n *Node) withRetryAfter(response coord.Response, schedule *retrySchedule) coord.Response {
	n.rejected.Add(1)
	response.RetryAfter = schedule.nextRetryAfter(clock.Now())
	return response
}

// requiresUpgrade returns the response to a command that requires a later version than the one in
// force. A coordinator that has just started may have an outdated version, so only a linearizable
// read at the leader is decisive.
func (n *Node) requiresUpgrade(c coord.Command) (response coord.Response, isRequired bool, err error) {
	n.mu.Lock()
	response, isRequired = n.state.RequiresUpgrade(c)
	n.mu.Unlock()
	if isRequired {
		err = n.LinearizableRead(func(s *coord.State) { response, isRequired = s.RequiresUpgrade(c) })
	}
	return response, isRequired, err
}

// rejectsSession rejects a new session that exceeds the limit before it is written to the log:
// retries of a fleet over the limit must not load the other coordinators. Only the leader's state
// is recent enough to decide that.
func (n *Node) rejectsSession(c coord.Command) (coord.Response, bool) {
	if c.Op != coord.OpOpenSession || n.raft.State() != raft.Leader {
		return coord.Response{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RejectsSession(c.SessionID)
}

// retryAfterSeconds returns the value of the HTTP header Retry-After: whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// connectionLimitForProcess returns how many client connections are served at the same time:
// MaxConnections, or fewer if the process may open fewer descriptors.
func connectionLimitForProcess() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return MaxConnections
	}
	available := int(min(limit.Cur, math.MaxInt32)) - reservedDescriptors - maxRejectedConnections
	return max(1, min(MaxConnections, available))
}

// connectionLimit answers requests on connections beyond the limit with a Retry-After and closes
// these connections.
type connectionLimit struct {
	bound    int
	schedule *retrySchedule

	mu      sync.Mutex
	open    map[net.Conn]bool // open connections; true if the connection counts towards the bound
	counted int               // connections that count towards the bound
}

func newConnectionLimit(bound int) *connectionLimit {
	return &connectionLimit{bound: bound, schedule: newTableRetrySchedule(), open: map[net.Conn]bool{}}
}

// overLimitKey is the context key that says whether the connection exceeds the bound.
type overLimitKey struct{}

// registerConnection registers a new connection. It is the server's ConnContext.
func (l *connectionLimit) registerConnection(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	isWithin := l.counted < l.bound
	if isWithin {
		l.counted++
	}
	l.open[c] = isWithin
	return context.WithValue(ctx, overLimitKey{}, !isWithin)
}

// unregisterConnection unregisters a connection that has ended. It is the server's ConnState.
func (l *connectionLimit) unregisterConnection(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[c] {
		l.counted--
	}
	delete(l.open, c)
}

// wrapHandler returns a handler that passes requests on connections within the bound to another
// handler.
func (l *connectionLimit) wrapHandler(within http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isOver, _ := r.Context().Value(overLimitKey{}).(bool); !isOver {
			within.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		writeLimitReached(w, &LimitError{
			Text:       "connections: " + strconv.Itoa(l.bound) + " at most",
			RetryAfter: l.schedule.nextRetryAfter(clock.Now()),
		})
	})
}
