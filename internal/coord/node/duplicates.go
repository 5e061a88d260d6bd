package node

import (
	"sync"

	"dockhinge.example/dockhinge/internal/coord"
)

// duplicateCommands joins a retried command that has a sequence number with its first attempt while
// that attempt waits for its commit: the state machine would return the same response anyway.
// Without this a leader that takes longer than the clients' timeout would execute each command
// several times and become even slower.
//
// Commands without a sequence number are not joined: the time that a keep-alive gains is counted
// from when that keep-alive was sent.
type duplicateCommands struct {
	mu      sync.Mutex
	pending map[commandKey]*pendingCommand
}

// commandKey identifies a command that has a sequence number.
type commandKey struct {
	session  string
	sequence uint64
}

// pendingCommand is a command whose response is outstanding.
type pendingCommand struct {
	done     chan struct{} // closed when response and err are set
	response coord.Response
	err      error
}

// do calls execute for a command, or waits for the result of a pending call for the same command.
func (d *duplicateCommands) do(c coord.Command, execute func() (coord.Response, error)) (coord.Response, error) {
	if c.Sequence == 0 {
		return execute()
	}
	key := commandKey{c.SessionID, c.Sequence}
	d.mu.Lock()
	if inProgress := d.pending[key]; inProgress != nil {
		d.mu.Unlock()
		<-inProgress.done
		return inProgress.response, inProgress.err
	}
	if d.pending == nil {
		d.pending = map[commandKey]*pendingCommand{}
	}
	inProgress := &pendingCommand{done: make(chan struct{})}
	d.pending[key] = inProgress // at most MaxCommandsInFlight entries, one per command in flight
	d.mu.Unlock()
	inProgress.response, inProgress.err = execute()
	d.mu.Lock()
	delete(d.pending, key)
	d.mu.Unlock()
	close(inProgress.done)
	return inProgress.response, inProgress.err
}
