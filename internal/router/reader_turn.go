package router

import (
	"runtime"
	"time"
)

// readerTurn measures the work of a connection's reader, which owns it.
type readerTurn struct {
	budget *localWorkBudget
	// localTurns counts the work that was taken from the budget.
	localTurns fairTurns
	// worked is the work for the current command, up to resumedAt.
	worked time.Duration
	// resumedAt is when the reader last began to work; zero while it waits.
	resumedAt time.Time
	// local is the work for commands that needed no server and that the reader has not rested for.
	local time.Duration
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
		t.rest(t.budget.spend(&t.localTurns, t.local, time.Now()))
		t.local = 0
	}
	t.resume()
}

// rest lets others run, until the reader's work is paid for (nil = it is) or it must not rest any more.
func (t *readerTurn) rest(unpaid *fairWaiter) {
	if unpaid == nil {
		runtime.Gosched()
		return
	}
	select {
	case <-unpaid.mayBegin:
	case <-t.budget.end:
	}
}
