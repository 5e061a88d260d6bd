package node

import (
	"sync"

	"dockhinge.example/dockhinge/internal/coord"
)

// repeats has a numbered command that a client sends again, while the first still waits to be agreed on, wait with that one: the
// state would give it the first one's answer anyway. Without that a leader that needs longer than clients wait gets each command
// several times, and so needs longer still.
//
// Commands without a number are not joined: what a client may count on by a keep-alive begins when that one was sent.
type repeats struct {
	mu      sync.Mutex
	waiting map[commandKey]*repeat
}

// commandKey names a numbered command.
type commandKey struct {
	session string
	seq     uint64
}

// repeat is a command that waits to be agreed on.
type repeat struct {
	done   chan struct{} // closed once it is answered
	answer coord.Answer
	err    error
}

// do calls carryOut for a command, or waits for the call that carries out the same one.
func (r *repeats) do(c coord.Command, carryOut func() (coord.Answer, error)) (coord.Answer, error) {
	if c.Seq == 0 {
		return carryOut()
	}
	key := commandKey{c.Session, c.Seq}
	r.mu.Lock()
	if first := r.waiting[key]; first != nil {
		r.mu.Unlock()
		<-first.done
		return first.answer, first.err
	}
	if r.waiting == nil {
		r.waiting = map[commandKey]*repeat{}
	}
	first := &repeat{done: make(chan struct{})}
	r.waiting[key] = first // bounded by MaxCommands, as each is under way
	r.mu.Unlock()
	first.answer, first.err = carryOut()
	r.mu.Lock()
	delete(r.waiting, key)
	r.mu.Unlock()
	close(first.done)
	return first.answer, first.err
}
