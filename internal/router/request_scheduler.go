package router

// Turns of clients at the router's processor. A request takes some tenth of a millisecond of it, in
// several steps that each wait behind all else that is ready to run. If every request that is read
// could begin at once, whoever sends most would have most steps in that queue, and all others would
// wait behind them. So only a few requests begin in each round, which lasts until the network's poller
// has been asked again: until all that was ready, answers of servers first of all, has had its turn.
// Those that have to wait begin in fair order: a connection that has begun little goes first. A round
// lasts as long as its work takes, whatever part of a processor the router has, and no processor time
// is left unused while requests wait.

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// requestsPerRound is the number of requests that may begin in a round.
	requestsPerRound = 8
	// bytesPerTurn is the length of a value whose processing takes as long as the rest of a request.
	bytesPerTurn = 16 << 10
	// idleCredit is how many requests a connection that had none waiting is ahead of those that always
	// have.
	idleCredit = 1
)

// requestScheduler decides when the requests of connections begin. Any goroutine may use it.
type requestScheduler struct {
	// start runs a function on a goroutine that is waited for.
	start func(rounds func())
	// poll separates the rounds.
	poll *pollSignal

	// mu guards the fields below.
	mu sync.Mutex
	// remaining is the number of requests that may still begin in the current round.
	remaining int
	// waiting holds the requests that have to wait: one for each connection at most.
	waiting fairQueue
}

// newRequestScheduler returns a scheduler. start has to run a function on a goroutine that is waited
// for before close is called.
func newRequestScheduler(start func(rounds func())) *requestScheduler {
	poll, err := newPollSignal()
	if err != nil {
		slog.Warn("the requests of clients begin in rounds of the run queue only", "error", err)
	}
	return &requestScheduler{
		start:     start,
		poll:      poll,
		remaining: requestsPerRound,
		waiting:   newFairQueue(idleCredit),
	}
}

// close releases the scheduler's descriptor.
func (s *requestScheduler) close() { s.poll.close() }

// turnCost returns the part of its connection's share that a request takes, in requests with a short
// value.
func turnCost(valueBytes int) float64 { return 1 + float64(valueBytes)/bytesPerTurn }

// charge counts a request that begins without waiting for its turn.
func (s *requestScheduler) charge(turns *fairTurns, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.take(turns, cost)
}

// await waits for a request's turn. It reports false if that has not come after maxWait.
func (s *requestScheduler) await(turns *fairTurns, cost float64, maxWait time.Duration) bool {
	waiter := s.begin(turns, cost, maxWait)
	return waiter == nil || <-waiter.mayBegin
}

// turnsAhead returns how many turns a connection has had more than its share.
func (s *requestScheduler) turnsAhead(turns *fairTurns) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return turns.finishTag - s.waiting.virtualTime
}

// begin begins a request, or adds it to those that wait and returns it.
func (s *requestScheduler) begin(turns *fairTurns, cost float64, maxWait time.Duration) *fairWaiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining == 0 {
		return s.waiting.add(turns, cost, time.Now().Add(maxWait))
	}
	s.waiting.charge(turns, cost)
	s.remaining--
	if s.remaining == 0 {
		s.start(s.runRounds)
	}
	return nil
}

// runRounds runs rounds until one ends in which not all requests that might begin did.
func (s *requestScheduler) runRounds() {
	for {
		s.poll.await()
		if !s.beginRound() {
			return
		}
	}
}

// beginRound lets waiting requests begin, and reports whether there were as many as a round has.
func (s *requestScheduler) beginRound() (isFull bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.giveUpOverdue(time.Now())
	s.remaining = requestsPerRound
	for s.remaining > 0 {
		next := s.waiting.next()
		if next == nil {
			return false
		}
		s.remaining--
		next.mayBegin <- true
	}
	return true
}
