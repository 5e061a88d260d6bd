package node

import (
	"errors"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
)

// recoveryTokenGap is how much tokens rise after the permanent loss of a majority: above any token
// that the lost coordinators may have issued.
const recoveryTokenGap = 1 << 40

// Recover makes the coordinator of a directory the only voter of its group, after the permanent
// loss of a majority. It raises all tokens above any that the lost coordinators may have issued:
// otherwise a holder could act with a token of theirs that is newer than its successor's. Commands
// that they committed and this coordinator has not received are lost.
func Recover(o Options) error {
	n := newNode(o)
	snapshots, snapshotIndex, err := openSnapshots(o.Directory, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	n.store, err = openStore(o.Directory, snapshotIndex, o.OnFatal)
	if err != nil {
		return err
	}
	if err := n.loadIdentity(); err != nil {
		return errors.Join(err, n.store.Close())
	}
	address, transport := raft.NewInmemTransport(raft.ServerAddress(o.peerAddress(n.identity)))
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(n.identity)
	config.Logger = hclog.NewNullLogger()
	group := raft.Configuration{Servers: []raft.Server{{ID: config.LocalID, Address: address}}}
	err = raft.RecoverCluster(config, (*recoveryStateMachine)(n), n.store, n.store, snapshots, transport, group)
	return errors.Join(err, n.store.Close())
}

// recoveryStateMachine is a state machine whose snapshot has raised tokens.
type recoveryStateMachine Node

func (m *recoveryStateMachine) Apply(entry *raft.Log) any     { return (*stateMachine)(m).Apply(entry) }
func (m *recoveryStateMachine) Restore(r io.ReadCloser) error { return (*stateMachine)(m).Restore(r) }

func (m *recoveryStateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Apply(coord.Command{
		Version: coord.Version,
		Op:      coord.OpRaiseTokens,
		Token:   m.state.LastToken + recoveryTokenGap,
	}, 0)
	text, err := m.state.Marshal()
	return stateSnapshot(text), err
}
