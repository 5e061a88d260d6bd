package node

import (
	"errors"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
)

// recoveryTokenGap is by how much tokens rise when a majority was lost for good: above any that the
// lost coordinators may have given.
const recoveryTokenGap = 1 << 40

// Recover makes a coordinator's directory that of the only voter, after a majority was lost for good,
// and raises all tokens above any that the lost ones may have given: else a holder of theirs could
// still act with a token that is newer than its successor's. What the lost ones had agreed on and
// this one had not received is lost.
func Recover(o Options) error {
	n := newNode(o)
	snapshots, floor, err := openSnapshots(o.Directory, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	n.store, err = openStore(o.Directory, floor, o.OnFatal)
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

// recoveryStateMachine is a state machine whose snapshot has its tokens raised.
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
