package router

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// budgetSimulation has connections work for what needs no server, on one processor, in simulated time.
type budgetSimulation struct {
	budget *localWorkBudget
	// now is the time since the start.
	now time.Duration
	// worked is the work of all connections, and rests counts their rests.
	worked time.Duration
	rests  int
	// turns, waits and next are what the budget knows of each connection, what it waits for and when it
	// works next.
	turns []fairTurns
	waits []*fairWaiter
	next  []time.Duration
	// paying is whose payment is in progress, and paidAt when it is made.
	paying *fairWaiter
	paidAt time.Duration
}

func newBudgetSimulation(connections int) *budgetSimulation {
	return &budgetSimulation{
		budget: newLocalWorkBudget(func(func()) {}, nil),
		turns:  make([]fairTurns, connections),
		waits:  make([]*fairWaiter, connections),
		next:   make([]time.Duration, connections),
	}
}

// instant returns a simulated time as the budget sees it.
func (s *budgetSimulation) instant(at time.Duration) time.Time { return time.Unix(1, 0).Add(at) }

// pay makes the payments that are due.
func (s *budgetSimulation) pay() {
	for {
		if s.paying == nil && s.budget.isPaying {
			var at time.Time
			s.paying, at = s.budget.payNext(s.instant(s.now))
			s.paidAt = max(s.now, at.Sub(s.instant(0)))
		}
		if s.paying == nil || s.paidAt > s.now {
			return
		}
		for i, w := range s.waits {
			if w == s.paying {
				s.waits[i] = nil
				s.next[i] = s.paidAt
			}
		}
		s.paying = nil
	}
}

// work has a connection work, and then wait for its client.
func (s *budgetSimulation) work(connection int, work, pause time.Duration) {
	s.now += work
	s.worked += work
	s.next[connection] = s.now + pause
	s.waits[connection] = s.budget.spend(&s.turns[connection], work, s.instant(s.now))
	if s.waits[connection] != nil {
		s.rests++
	}
}

// isRunnable reports whether a connection has something to do.
func (s *budgetSimulation) isRunnable(connection int) bool {
	return s.waits[connection] == nil && s.next[connection] <= s.now
}

// step has the connection that is due first work, or lets a little time pass.
func (s *budgetSimulation) step(connections int, work, pause time.Duration) {
	s.pay()
	for i := range connections {
		if s.isRunnable(i) {
			s.work(i, work, pause)
			return
		}
	}
	s.now += work / 4
}

func TestLocalWorkBudgetLimitsItsShareOfTime(t *testing.T) {
	for name, c := range map[string]struct {
		connections int
		// work is the work of each connection between two of its rests.
		work time.Duration
		// pause is how long each connection waits for its client between two pieces of work.
		pause time.Duration
		// isRested is set if connections must rest.
		isRested bool
		// duration is how long they work.
		duration time.Duration
	}{
		"3,000 commands a second of 5 µs":    {1, maxTurnTime, 40 * maxTurnTime, false, time.Second},
		"a connection at full speed":         {1, maxTurnTime, 0, true, time.Second},
		"a hundred connections":              {100, maxTurnTime, 0, true, time.Second},
		"a hundred that each take 1 percent": {100, maxTurnTime, 99 * maxTurnTime, true, time.Second},
		"four that each take 1 percent":      {4, maxTurnTime, 99 * maxTurnTime, false, time.Second},
		"a thousand connections":             {1000, maxTurnTime, 0, true, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newBudgetSimulation(c.connections)
			for s.now < c.duration {
				s.step(c.connections, c.work, c.pause)
			}
			// What was saved up, the share, and what each connection still has to rest for.
			allowed := localWorkBurst + c.duration/localWorkShare + time.Duration(c.connections)*maxTurnTime
			if s.rests > 0 && s.worked > allowed {
				t.Errorf("worked for %v of %v, allowed %v", s.worked, c.duration, allowed)
			}
			if isRested := s.rests > 0; isRested != c.isRested {
				t.Errorf("rested: %t, want %t", isRested, c.isRested)
			}
		})
	}
}

// Guards against a client whose sound request is held up, behind a few commands that need no server, for
// as long as all others' commands are paid for.
func TestFloodOfLocalWorkHoldsUpNoOther(t *testing.T) {
	const payment = maxTurnTime * localWorkShare
	for _, flooding := range []int{1, 8, 64, 1000} {
		t.Run(fmt.Sprint(flooding), func(t *testing.T) {
			s := newBudgetSimulation(flooding + 1)
			other := flooding
			round := time.Duration(2*flooding) * payment // each has its turn by then
			for s.now < round {
				s.step(flooding, maxTurnTime, 0)
			}
			for range 5 {
				s.work(other, maxTurnTime, 0)
				begin := s.now
				for s.waits[other] != nil {
					s.step(flooding, maxTurnTime, 0)
				}
				if rest := s.now - begin; rest > 2*payment+maxTurnTime {
					t.Errorf("rested for %v, want two payments at most", rest)
				}
				for end := s.now + round; s.now < end; { // a client that works more often takes more than its share
					s.step(flooding, maxTurnTime, 0)
				}
			}
		})
	}
}

// Guards against readers that outlive the time of a shutdown because they rest for a flood.
func TestRestEndsWhenReadingEnds(t *testing.T) {
	_, s, addr := startLoopAndClients(t, 64, 100)
	s.localWork.paidUntil = time.Now().Add(time.Hour)
	flooding := dialClient(t, addr)
	go flooding.Write([]byte(strings.Repeat("mn\r\n", 100_000)))
	flooding.nextAnswer()
	s.listener.Close()
	ended := make(chan struct{})
	inputEnd, cancel := context.WithCancel(context.Background())
	go func() { defer close(ended); s.drain(inputEnd, context.Background()) }()
	cancel()
	flooding.Close()
	receive(t, ended, "end of all connections")
}

// Guards against a sound write that is answered late, as its client is held up for a flood of others.
func TestRejectedLargeWriteIsNotHeldUpByFlood(t *testing.T) {
	origin := startFakeServer(t, originAnswer)
	l, s, addr := startLoopAndClients(t, 64, 100, cacheEntry("s-0000000b", "127.0.0.1:1"), originEntry(origin.addr))
	s.localWork.paidUntil = time.Now().Add(time.Hour)
	l.upstreams.uploads.Store(1000) // no capacity for another large write
	write := upstreamWrite{keyed, maxValueBytes, 100 * time.Millisecond, 0}
	answer, took := write.send(dialClient(t, addr), "w1")
	if !strings.HasPrefix(answer, "SERVER_ERROR busy") || took > write.wait+lateAnswerAllowance {
		t.Errorf("got %q after %v", answer, took)
	}
}
