package node

import "sync"

// sharedBarrier lets readers that come while a barrier is under way share the next one: each entry of the log that it takes serves
// all who came before it was proposed. A change wakes thousands of watchers at once, and each of them reads.
type sharedBarrier struct {
	propose func() error // one barrier: an entry of the log that is waited for

	mu      sync.Mutex
	running bool
	next    *barrierRound // of those who wait for the one after; nil where nobody does
}

// barrierRound is one barrier with those who wait for it.
type barrierRound struct {
	done chan struct{} // closed at its end
	err  error
}

// wait returns once a barrier has passed that was proposed after the call.
func (b *sharedBarrier) wait() error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrierRound{done: make(chan struct{})}
	}
	round := b.next
	if !b.running {
		b.running = true
		go b.run() // ends once nobody waits
	}
	b.mu.Unlock()
	<-round.done
	return round.err
}

// run proposes barriers as long as anyone waits for one.
func (b *sharedBarrier) run() {
	for {
		b.mu.Lock()
		round := b.next
		b.next = nil // whoever comes from here on came too late for this one
		b.running = round != nil
		b.mu.Unlock()
		if round == nil {
			return
		}
		round.err = b.propose()
		close(round.done)
	}
}
