package node

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// The fixture testdata/coordinator is the directory of a coordinator of an earlier version that was
// killed. It has a snapshot through log index 160 and a log through index 173, with sessions,
// leases, a record, a budget, a waiting and a started permit, a release in progress, and documents
// including a deletion. testdata/coordinator-state.json is the state that the earlier version
// computed from it.
const (
	fixtureDirectory = "testdata/coordinator"
	fixtureState     = "testdata/coordinator-state.json"
	fixtureIdentity  = "19ff5e8dc3e8d22b"
)

// copyFixture copies the fixture, as opening the directory modifies it.
func copyFixture(t *testing.T) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), "coordinator")
	if err := os.CopyFS(directory, os.DirFS(fixtureDirectory)); err != nil {
		t.Fatal(err)
	}
	return directory
}

// In a rolling upgrade the new program starts on the directory of the old one, restores the
// snapshot and applies the rest of the log. If it decoded a field or executed a command
// differently, its state would diverge from that of coordinators that are not upgraded yet.
func TestReplayOfEarlierDirectory(t *testing.T) {
	directory := copyFixture(t)
	snapshots, snapshotIndex, err := openSnapshots(directory, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	all, err := snapshots.List()
	if err != nil || len(all) == 0 {
		t.Fatalf("%d snapshots, %v", len(all), err)
	}
	_, from, err := snapshots.Open(all[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	node := &Node{state: coord.New(), watches: map[string]chan struct{}{}}
	machine := (*stateMachine)(node)
	if err := machine.Restore(from); err != nil {
		t.Fatal(err)
	}
	replayLog(t, machine, directory, snapshotIndex)
	want, err := os.ReadFile(fixtureState)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := node.state.Marshal(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v, state\n%s\nwant\n%s", err, got, want)
	}
}

// replayLog applies the commands in the directory's log after the given index.
func replayLog(t *testing.T, machine *stateMachine, directory string, after uint64) {
	t.Helper()
	store, err := openStore(directory, after, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	last, err := store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for index := after + 1; index <= last; index++ {
		var entry raft.Log
		if err := store.GetLog(index, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Type == raft.LogCommand {
			machine.Apply(&entry)
		}
	}
}

// A coordinator starts on the directory of an earlier version. It must keep the identity, become
// leader of its group of one, and keep all holders, tokens and revisions. If it lost any of them,
// it could grant a held lease to a second holder.
func TestStartOnEarlierDirectory(t *testing.T) {
	n, err := Start(Options{Name: "c1", Directory: copyFixture(t), ListenAddress: "127.0.0.1:0",
		ClientAddress: "127.0.0.1:1", ClockRateBound: coord.DefaultClockRateBound,
		HeartbeatTimeout: 100 * time.Millisecond, OnFatal: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	for n.LinearizableRead(func(*coord.State) {}) != nil {
		select {
		case <-t.Context().Done():
			t.Fatal("the coordinator never becomes leader")
		case <-time.After(10 * time.Millisecond):
		}
	}
	if got := n.Status().Identity; got != fixtureIdentity {
		t.Errorf("identity %s, want %s", got, fixtureIdentity)
	}
	err = n.LinearizableRead(func(s *coord.State) { checkFixtureState(t, s) })
	if err != nil {
		t.Error(err)
	}
	_, update, _ := poll(t, n, "after=6")
	if update.Through != 7 || len(update.Changes) != 1 || !update.Changes[0].Deleted {
		t.Errorf("changes after revision 6: %+v", update)
	}
	code, _, rejection := poll(t, n, "after=8")
	if rejection.Code != protocol.CodeBehind {
		t.Errorf("changes after revision 8: %d %+v", code, rejection)
	}
	open := coord.Command{Op: coord.OpOpenSession, SessionID: "new", Client: "c", TTL: time.Minute}
	mustPropose(t, n, open, coord.CodeOK)
	acquire := coord.Command{Op: coord.OpAcquire, SessionID: "new", Sequence: 1, Lease: "sweep", TTL: time.Minute}
	if held := mustPropose(t, n, acquire, coord.CodeHeld); held.Holder != "router/r2" || held.Token != 2 {
		t.Errorf("%+v", held)
	}
}

// checkFixtureState checks the parts of the fixture's state that don't depend on the time since.
func checkFixtureState(t *testing.T, s *coord.State) {
	t.Helper()
	leases := map[string]coord.LeaseStatus{}
	for _, lease := range s.ListLeases(func(string) bool { return true }) {
		leases[lease.Lease] = lease
	}
	want := []coord.LeaseStatus{
		{Lease: "late", Holder: "holder", Token: 5, Purpose: "after the snapshot"},
		{Lease: "probes/1", Holder: "holder", Token: 1, Purpose: "probes for all", Record: []byte("record")},
		{Lease: "sweep", Holder: "router/r2", Token: 2, Purpose: "nightly"},
	}
	for _, w := range want {
		got := leases[w.Lease]
		isHeld := got.Holder == w.Holder && got.Token == w.Token
		if !isHeld || got.Purpose != w.Purpose || !bytes.Equal(got.Record, w.Record) {
			t.Errorf("%+v, want %+v", got, w)
		}
	}
	if s.LastToken < 5 || s.Revision() != 7 || s.Version != 4 {
		t.Errorf("token %d, revision %d, version %d", s.LastToken, s.Revision(), s.Version)
	}
	if document, ok := s.Documents.Document("routers/a"); !ok || document.Revision != 6 {
		t.Errorf("routers/a: %+v", document)
	}
	if s.Rollout == nil {
		t.Fatal("the rollout state is missing")
	}
}
