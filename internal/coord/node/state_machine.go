package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
)

// stateMachine implements raft.FSM. The consensus library calls it from one goroutine.
type stateMachine Node

// Apply applies a log entry and wakes the watches of what it changed.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var c coord.Command
	if err := json.Unmarshal(entry.Data, &c); err != nil { // all coordinators reject it alike
		return coord.Response{Code: coord.CodeInvalid, Text: err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	rolloutVersion, drainsVersion := m.state.RolloutVersions()
	revision := m.state.Revision()
	response := m.state.Apply(c, entry.Term)
	if response.Code == coord.CodeUnknownVersion { // this state would diverge from the others'
		m.options.OnFatal(fmt.Errorf("%s: this program is too old for the version in force", response.Text))
	}
	m.appliedIndex = entry.Index
	node := (*Node)(m)
	for _, name := range m.state.ChangedLeases() {
		node.notifyWatches(name)
	}
	newRolloutVersion, newDrainsVersion := m.state.RolloutVersions()
	if newRolloutVersion != rolloutVersion {
		node.notifyWatches(rolloutWatchKey)
		if newDrainsVersion != drainsVersion {
			node.notifyWatches(drainsWatchKey)
		}
	}
	if m.state.Revision() != revision {
		node.notifyWatches(documentsWatchKey)
	}
	return response
}

// Snapshot encodes the current state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	crashPoint("snapshot-begun")
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.state.Marshal()
	crashPoint("snapshot-taken")
	return stateSnapshot(text), err
}

// Restore replaces the state with a snapshot and wakes all watches, as anything may have changed.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	crashPoint("restore-begun")
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	state, err := coord.Unmarshal(text)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	for key := range m.watches {
		(*Node)(m).notifyWatches(key)
	}
	return nil
}

// stateSnapshot is an encoded state.
type stateSnapshot []byte

// Persist writes the snapshot; the library syncs and renames the file. The crash points lie between
// the two writes and before and after the renaming: a partly written snapshot must never be read.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s[:len(s)/2]); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	crashPoint("snapshot-half-written")
	if _, err := sink.Write(s[len(s)/2:]); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	crashPoint("snapshot-written")
	err := sink.Close()
	crashPoint("snapshot-named") // and the log is not truncated yet
	return err
}

// Release does nothing: the snapshot shares no data with the state.
func (stateSnapshot) Release() {}
