package node

import (
	"sync"

	"dockhinge.example/dockhinge/internal/coord"
)

// duplicateCommands has a numbered command that a client sends again, while the first still waits to be agreed on, wait with that one: the
// state would give it the first one's answer anyway. Without that a leader that needs longer than clients wait gets each command
// several times, and so needs longer still.
//
// Commands without a number are not joined: what a client may count on by a keep-alive begins when that one was sent.
type duplicateCommands struct {
	mu      sync.Mutex
	pending map[commandKey]*pendingCommand
}

// commandKey names a numbered command.
type commandKey struct {
	session string
	seq     uint64
}

// pendingCommand is a command that waits to be agreed on.
type pendingCommand struct {
	done     chan struct{} // closed once it is answered
	response coord.Response
	err      error
}

// do calls carryOut for a command, or waits for the call that carries out the same one.
func (r *duplicateCommands) do(c coord.Command, carryOut func() (coord.Response, error)) (coord.Response, error) {
	if c.Sequence == 0 {
		return carryOut()
	}
	key := commandKey{c.SessionID, c.Sequence}
	r.mu.Lock()
	if first := r.pending[key]; first != nil {
		r.mu.Unlock()
		<-first.done
		return first.response, first.err
	}
	if r.pending == nil {
		r.pending = map[commandKey]*pendingCommand{}
	}
	first := &pendingCommand{done: make(chan struct{})}
	r.pending[key] = first // bounded by MaxCommands, as each is under way
	r.mu.Unlock()
	first.response, first.err = carryOut()
	r.mu.Lock()
	delete(r.pending, key)
	r.mu.Unlock()
	close(first.done)
	return first.response, first.err
}
