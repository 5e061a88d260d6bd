package router

// Pace of clients whose commands need no server. A request waits for its turn (request_scheduler.go) and
// for a server. All else is answered by the connection's reader as fast as it is sent: no-operations,
// unknown and refused commands, values that are discarded. The readers' work for it is therefore limited
// to a share of the time, over all connections, and what exceeds it is paid for in fair order: a reader
// that has worked little rests only until the payment in progress is over, however many others flood. The
// rest of the time is for other clients, for the loop with its timers, and for the poller of the network,
// which the runtime asks at once only when nothing else is to be done. Nothing is dropped: while a reader
// rests, its client's input stays in the system.

import (
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
	// minRest is the shortest rest; a shorter one is left to the next.
	minRest = time.Millisecond
)

// localWorkBudget is the time for what needs no server, shared by all connections. Any goroutine may
// use it.
type localWorkBudget struct {
	// start runs a function on a goroutine that is waited for.
	start func(payments func())
	// end is closed when no reader may rest any more.
	end <-chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// paidUntil is when all the work taken from the budget so far is paid for.
	paidUntil time.Time
	// isPaying is set while a goroutine makes the readers' payments.
	isPaying bool
	// unpaid holds the readers that rest: one for each connection at most. Its unit is a second of work.
	unpaid fairQueue
}

func newLocalWorkBudget(start func(payments func()), end <-chan struct{}) *localWorkBudget {
	return &localWorkBudget{start: start, end: end, unpaid: newFairQueue(maxTurnTime.Seconds())}
}

// spend takes a reader's work from the budget. If the budget is overdrawn, it returns what the reader
// has to wait for.
func (b *localWorkBudget) spend(turns *fairTurns, worked time.Duration, now time.Time) *fairWaiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isPaying {
		b.forgetUnused(now)
		paidUntil := b.paidUntil.Add(worked * localWorkShare)
		if paidUntil.Sub(now) < minRest {
			b.paidUntil = paidUntil
			b.unpaid.charge(turns, worked.Seconds())
			return nil
		}
		b.isPaying = true
		b.start(b.runPayments)
	}
	return b.unpaid.add(turns, worked.Seconds(), time.Time{})
}

// forgetUnused limits the time that is saved up to localWorkBurst. The caller holds mu.
func (b *localWorkBudget) forgetUnused(now time.Time) {
	earliest := now.Add(-localWorkBurst * localWorkShare)
	if b.paidUntil.Before(earliest) {
		b.paidUntil = earliest
	}
}

// runPayments pays for the work of the readers that rest, one after the other, until none does.
func (b *localWorkBudget) runPayments() {
	for {
		paid, at := b.payNext(time.Now())
		if paid == nil {
			return
		}
		b.sleepUntil(at)
		paid.mayBegin <- true
	}
}

// payNext begins the next payment, and returns whose it is and when it is made; nil if no reader rests.
func (b *localWorkBudget) payNext(now time.Time) (paid *fairWaiter, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	paid = b.unpaid.next()
	if paid == nil {
		b.isPaying = false
		return nil, time.Time{}
	}
	b.forgetUnused(now)
	b.paidUntil = b.paidUntil.Add(time.Duration(paid.cost*float64(time.Second)) * localWorkShare)
	return paid, b.paidUntil
}

// sleepUntil waits until a time, or until no reader may rest any more.
func (b *localWorkBudget) sleepUntil(at time.Time) {
	rest := time.Until(at)
	if rest < minRest {
		return
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.end:
	}
}
