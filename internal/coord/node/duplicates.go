package node

import (
	"sync"

	"dockhinge.example/dockhinge/internal/coord"
)

// duplicateCommands joins a retried command that has a sequence number with its first attempt while that
// attempt waits for its commit: the state machine would return the same response anyway. Without this a
// leader that takes longer than the clients' timeout would execute each command several times and become
// even slower.
//
// Commands without a sequence number are not joined: the time that a keep-alive gains is counted from
// when that keep-alive was sent.
type duplicateCommands struct {
	mu      sync.Mutex
	pending map[commandKey]*pendingCommand
}

// commandKey identifies a command that has a sequence number.
type commandKey struct {
	session string
	seq     uint64
}

// pendingCommand is a command whose response is outstanding.
type pendingCommand struct {
	done     chan struct{} // closed when response and err are set
	response coord.Response
	err      error
}

// do calls carryOut for a command, or waits for the result of a pending call for the same command.
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
	r.pending[key] = first // at most MaxCommandsInFlight entries, one per command in flight
	r.mu.Unlock()
	first.response, first.err = carryOut()
	r.mu.Lock()
	delete(r.pending, key)
	r.mu.Unlock()
	close(first.done)
	return first.response, first.err
}
