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

// Bounds on when clients that were refused come back.
const (
	minRetryAfter = time.Second

	// Who finds a table full is told to come back at times that lie 5 ms apart: there may be no room for long.
	tableReturnsPerSecond = 200
	maxTableRetryAfter    = time.Minute

	// Who finds too many commands under way, at times half a millisecond apart: they are carried out within seconds.
	commandReturnsPerSecond = 2000
	maxCommandRetryAfter    = 5 * time.Second
)

// Bounds on connections.
const (
	maxRefusedConnections = 256  // over the bound, kept only until they have been told when to come back
	reservedDescriptors   = 1024 // of the process: for its log, its snapshots and the other coordinators
)

// LimitError tells that a bound has been reached, and when to come back.
type LimitError struct {
	Text       string
	RetryAfter time.Duration
}

func (e *LimitError) Error() string { return e.Text }

// returnSchedule gives those who are refused times to come back that lie apart, so that their number doesn't decide how many
// come at once.
type returnSchedule struct {
	perSecond     int           // come back
	maxRetryAfter time.Duration // after it was told

	mu           sync.Mutex
	nextReturnAt time.Duration // the first time that was not given away yet, on the coordinator's clock
}

// tableReturns is the schedule of those who find a table full.
func tableReturns() *returnSchedule {
	return &returnSchedule{perSecond: tableReturnsPerSecond, maxRetryAfter: maxTableRetryAfter}
}

// commandReturns is the schedule of those who find too many commands under way.
func commandReturns() *returnSchedule {
	return &returnSchedule{perSecond: commandReturnsPerSecond, maxRetryAfter: maxCommandRetryAfter}
}

// nextRetryAfter is after how long one more client is to come back.
func (r *returnSchedule) nextRetryAfter(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextReturnAt = min(max(r.nextReturnAt+time.Second/time.Duration(r.perSecond), now+minRetryAfter), now+r.maxRetryAfter)
	return r.nextReturnAt - now
}

// withRetryAfter counts an answer that refuses by a bound, and adds when to come back.
func (n *Node) withRetryAfter(a coord.Response, returns *returnSchedule) coord.Response {
	n.rejected.Add(1)
	a.RetryAfter = returns.nextRetryAfter(clock.Now())
	return a
}

// awaitsUpgrade refuses a command for which the version in force is too old. A coordinator that has just started may not have
// read it yet: only what the leader has from all others counts.
func (n *Node) awaitsUpgrade(c coord.Command) (a coord.Response, awaits bool, err error) {
	n.mu.Lock()
	a, awaits = n.state.AwaitsUpgrade(c)
	n.mu.Unlock()
	if awaits {
		err = n.LinearizableRead(func(s *coord.State) { a, awaits = s.AwaitsUpgrade(c) })
	}
	return a, awaits, err
}

// rejectsSession refuses a session for which there is no room before it gets into the log: a fleet over the bound that tries
// again costs the other coordinators nothing. Only a leader knows the state well enough to do so.
func (n *Node) rejectsSession(c coord.Command) (coord.Response, bool) {
	if c.Op != coord.OpOpenSession || n.raft.State() != raft.Leader {
		return coord.Response{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RejectsSession(c.SessionID)
}

// retryAfterSeconds is a time to come back as HTTP's header has it: whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// connectionLimitForProcess is how many connections of clients are served at once, by the constant and by what the process may open.
func connectionLimitForProcess() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return MaxConnections
	}
	room := int(min(limit.Cur, math.MaxInt32)) - reservedDescriptors - maxRefusedConnections
	return max(1, min(MaxConnections, room))
}

// connectionLimit answers what comes over a connection beyond the bound with when to come back, and closes it.
type connectionLimit struct {
	bound   int
	returns *returnSchedule

	mu   sync.Mutex
	open map[net.Conn]bool // whether it counts against the bound
	used int
}

func newConnectionLimit(bound int) *connectionLimit {
	return &connectionLimit{bound: bound, returns: tableReturns(), open: map[net.Conn]bool{}}
}

// overBound is the key under which a connection's context has whether it lies beyond the bound.
type overBound struct{}

// opened counts a new connection.
func (l *connectionLimit) opened(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	within := l.used < l.bound
	if within {
		l.used++
	}
	l.open[c] = within
	return context.WithValue(ctx, overBound{}, !within)
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

// handler serves connections within the bound by h.
func (l *connectionLimit) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if over, _ := r.Context().Value(overBound{}).(bool); !over {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		writeLimitReached(w, &LimitError{Text: "connections: " + strconv.Itoa(l.bound) + " at most", RetryAfter: l.returns.nextRetryAfter(clock.Now())})
	})
}
