package node

import "sync"

// sharedBarrier makes readers that arrive while a barrier is in progress share the next one, so
// that one log entry serves all of them. A change wakes thousands of watchers at the same time, and
// each of them reads. A barrier that was proposed before a reader arrived must not serve it: the
// state could be older than the reader's call.
type sharedBarrier struct {
	propose func() error // proposes one barrier and waits until it is applied

	mu      sync.Mutex
	running bool
	next    *barrierRound // the barrier that waiting readers will share; nil if there are none
}

// barrierRound is one barrier and its result.
type barrierRound struct {
	done chan struct{} // closed when the barrier has ended
	err  error
}

// wait returns once a barrier that was proposed after the call has ended.
func (b *sharedBarrier) wait() error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrierRound{done: make(chan struct{})}
	}
	round := b.next
	if !b.running {
		b.running = true
		go b.run() // ends once no reader waits
	}
	b.mu.Unlock()
	<-round.done
	return round.err
}

// run proposes barriers while readers wait.
func (b *sharedBarrier) run() {
	for {
		b.mu.Lock()
		round := b.next
		b.next = nil // later readers need a barrier of their own
		b.running = round != nil
		b.mu.Unlock()
		if round == nil {
			return
		}
		round.err = b.propose()
		close(round.done)
	}
}
