package router

// Pace of clients whose commands need no server. A request waits for a server or is rejected by the
// loop, so its client is paced by that. All else is answered by the connection's reader as fast as it
// is sent: no-operations, unknown and refused commands, values that are discarded. The readers'
// work for it is therefore limited to a share of the time, over all connections. The rest is for other
// clients, for the loop with its timers, and for the poller of the network, which the runtime asks at
// once only when nothing else is to be done. Nothing is dropped: while a reader rests, its client's
// input stays in the system.

import (
	"runtime"
	"sync"
	"time"
)

const (
	// maxTurnTime is how long a reader may work before it lets others run, and what it may work for
	// commands that need no server before it has to rest for them.
	maxTurnTime = 200 * time.Microsecond
	// localWorkShare is a divisor: the readers' work for what needs no server may take that part of the
	// time. Writing the answers and switching between goroutines takes several times as much besides.
	localWorkShare = 20
	// localWorkBurst is how much of that time may be saved up: a client that sends many such commands
	// at once and then none is not delayed.
	localWorkBurst = 5 * time.Millisecond
	// minRest and maxRest limit a single rest.
	minRest = time.Millisecond
	maxRest = time.Second
)

// localWorkBudget is the time for what needs no server, shared by all connections. Any goroutine may
// use it.
type localWorkBudget struct {
	mu sync.Mutex
	// paidUntil is when all the time taken so far is paid for.
	paidUntil time.Time
}

// spend takes time from the budget and returns how long the connection has to rest for it.
func (b *localWorkBudget) spend(worked time.Duration, now time.Time) (rest time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	earliest := now.Add(-localWorkBurst * localWorkShare)
	if b.paidUntil.Before(earliest) {
		b.paidUntil = earliest
	}
	b.paidUntil = b.paidUntil.Add(worked * localWorkShare)
	rest = min(maxRest, b.paidUntil.Sub(now))
	if rest < minRest {
		return 0
	}
	return rest
}

// readerTurn measures the work of a connection's reader, which owns it.
type readerTurn struct {
	budget *localWorkBudget
	// worked is the work for the current command, up to resumedAt.
	worked time.Duration
	// resumedAt is when the reader last began to work; zero while it waits.
	resumedAt time.Time
	// local is the work for commands that needed no server and that the reader has not rested for.
	local time.Duration
	// end is closed when the reader must not rest any more.
	end <-chan struct{}
}

// pause is called before the reader waits for its client or for answers.
func (t *readerTurn) pause() {
	if !t.resumedAt.IsZero() {
		t.worked += time.Since(t.resumedAt)
		t.resumedAt = time.Time{}
	}
}

// resume is called after a wait.
func (t *readerTurn) resume() {
	if t.resumedAt.IsZero() {
		t.resumedAt = time.Now()
	}
}

// endServed is called after a part of a command that a server is asked for. It lets others run if the
// work was long.
func (t *readerTurn) endServed() {
	t.pause()
	if t.worked >= maxTurnTime {
		runtime.Gosched()
	}
	t.worked = 0
	t.resume()
}

// endLocal is called after a part of a command that needs no server. Once that work has become long,
// it is taken from the budget, and the reader rests as long as that demands.
func (t *readerTurn) endLocal() {
	t.pause()
	t.local += t.worked
	t.worked = 0
	if t.local >= maxTurnTime {
		t.rest(t.budget.spend(t.local, time.Now()))
		t.local = 0
	}
	t.resume()
}

// rest lets others run, for at least the given time or until the reader must not rest any more.
func (t *readerTurn) rest(duration time.Duration) {
	if duration == 0 {
		runtime.Gosched()
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.end:
	}
}
