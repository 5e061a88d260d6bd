package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/failpoint"
)

const (
	// tickInterval bounds how far the state's clock lags behind the leader's clock.
	tickInterval = 200 * time.Millisecond

	// maxElapsedPerCommand bounds the time that one command may add. A leader that was paused for
	// long must not expire all sessions with its first command afterwards.
	maxElapsedPerCommand = time.Second
)

// leaderClock measures the time between consecutive commands of a leader.
type leaderClock struct {
	sync.Mutex
	term uint64        // the term in which last was read
	last time.Duration // reading of clock.Now
}

// Propose commits a command to the log, waits until it is applied, and returns its response. The
// error is ErrNotLeader if the caller must ask another coordinator.
func (n *Node) Propose(c coord.Command) (coord.Response, error) {
	limit := maxCommands(c.Op)
	if n.commandsInFlight.Add(1) > int64(limit) {
		n.commandsInFlight.Add(-1)
		text := fmt.Sprintf("commands under way: %d at most", limit)
		return n.withRetryAfter(coord.Response{Code: coord.CodeLimitReached, Text: text}, n.commandRetries), nil
	}
	defer n.commandsInFlight.Add(-1)
	if response, rejected := n.rejectsSession(c); rejected {
		return n.withRetryAfter(response, n.tableRetries), nil
	}
	return n.duplicates.do(c, func() (coord.Response, error) { return n.proposeAndWait(c) })
}

// proposeAndWait writes a command to the log and waits until it is applied.
func (n *Node) proposeAndWait(c coord.Command) (coord.Response, error) {
	began := time.Now()
	n.mu.Lock()
	c.Version = n.state.Version
	n.mu.Unlock()
	future, err := n.submit(c)
	if err != nil {
		return coord.Response{}, err
	}
	if err := future.Error(); err != nil {
		return coord.Response{}, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	response, ok := future.Response().(coord.Response)
	if !ok {
		return response, fmt.Errorf("unexpected response to a command: %v", future.Response())
	}
	if response.Code == coord.CodeLimitReached {
		response = n.withRetryAfter(response, n.tableRetries)
	}
	n.latencyMu.Lock()
	recordLatency(n.commitLatency, began)
	n.latencyMu.Unlock()
	return response, nil
}

// submit measures the time since the previous command and passes the command to the library. Both
// happen under one lock, so that the order of the clock readings is the order of the log.
func (n *Node) submit(c coord.Command) (raft.ApplyFuture, error) {
	n.leaderClock.Lock()
	defer n.leaderClock.Unlock()
	// The clock is read after the term. Time that another leader measured before this term began
	// can't be included, and the state machine ignores Elapsed if the entry is committed under
	// another term.
	c.Term = n.raft.CurrentTerm()
	now := clock.Now()
	if c.Term == n.leaderClock.term {
		c.Elapsed = min(now-n.leaderClock.last, maxElapsedPerCommand)
	}
	if failpoint.IsInjected("wall-clock") {
		now = time.Duration(clock.WallTime().UnixNano())
		if c.Term == n.leaderClock.term {
			c.Elapsed = now - n.leaderClock.last
		}
	}
	n.leaderClock.term = c.Term
	n.leaderClock.last = now
	entry, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if n.raft.State() != raft.Leader {
		return nil, ErrNotLeader
	}
	return n.raft.Apply(entry, proposeTimeout), nil
}

// advanceTime proposes ticks while this coordinator leads, and its configured clock rate bound if
// the state has another one. The next tick repeats a failed proposal. Start starts it; it ends with
// ctx.
func (n *Node) advanceTime(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.raft.State() != raft.Leader {
			continue
		}
		n.mu.Lock()
		isIdle := len(n.state.Sessions) == 0
		bound := n.state.ClockRateBound
		n.mu.Unlock()
		n.leaderClock.Lock()
		isRecent := clock.Now()-n.leaderClock.last < tickInterval/2
		n.leaderClock.Unlock()
		if bound != n.options.ClockRateBound {
			setRate := coord.Command{Op: coord.OpSetClockRate, ClockRateBound: n.options.ClockRateBound}
			_, _ = n.Propose(setRate)
			continue
		}
		if !isIdle && !isRecent {
			_, _ = n.Propose(coord.Command{Op: coord.OpTick})
		}
	}
}

// LinearizableRead calls f with a state that is not older than the call. The error is ErrNotLeader
// if the caller must ask another coordinator. f must not retain the state.
func (n *Node) LinearizableRead(f func(*coord.State)) error {
	if !failpoint.IsInjected("stale-read") {
		if n.raft.State() != raft.Leader {
			return ErrNotLeader
		}
		if err := n.readBarrier.wait(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotLeader, err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.state)
	return nil
}
