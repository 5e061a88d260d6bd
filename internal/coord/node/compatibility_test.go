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
// killed: a snapshot through log index 160 and a log that goes on to 173. It holds sessions, leases,
// a record, a budget, a waiting and a begun permit, a release under way and documents with a
// deletion. testdata/coordinator-state.json is what that version's own state machine made of it.
const (
	fixtureDirectory = "testdata/coordinator"
	fixtureState     = "testdata/coordinator-state.json"
	fixtureIdentity  = "19ff5e8dc3e8d22b"
)

// copyFixture copies the fixture, as opening a directory changes it.
func copyFixture(t *testing.T) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), "coordinator")
	if err := os.CopyFS(directory, os.DirFS(fixtureDirectory)); err != nil {
		t.Fatal(err)
	}
	return directory
}

// A rolling upgrade starts the new program on the directory of the old one. The new program restores
// the snapshot and applies the rest of the log. A program that reads a field under another name, or
// carries a command out differently, comes to another state than the coordinators that were not
// upgraded yet, and the group no longer agrees.
func TestReplayOfEarlierDirectory(t *testing.T) {
	directory := copyFixture(t)
	snapshots, floor, err := openSnapshots(directory, hclog.NewNullLogger())
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
	replayLog(t, machine, directory, floor)
	want, err := os.ReadFile(fixtureState)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := node.state.Marshal(); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v, state\n%s\nwant\n%s", err, got, want)
	}
}

// replayLog applies the commands of the directory's log after an index.
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

// The whole coordinator starts on the directory of an earlier version, takes up its identity, leads
// its group of one and goes on from the state: leases have their holders and tokens, documents their
// revisions. A program that lost any of it would give a lease to a second holder.
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
			t.Fatal("never leads")
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
	do(t, n, open, coord.CodeOK)
	acquire := coord.Command{Op: coord.OpAcquire, SessionID: "new", Sequence: 1, Lease: "sweep", TTL: time.Minute}
	if held := do(t, n, acquire, coord.CodeHeld); held.Holder != "router/r2" || held.Token != 2 {
		t.Errorf("%+v", held)
	}
}

// checkFixtureState checks what in the fixture's state doesn't depend on the time since.
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
		if got.Holder != w.Holder || got.Token != w.Token || got.Purpose != w.Purpose || !bytes.Equal(got.Record, w.Record) {
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
		t.Fatal("no state of rollouts")
	}
}
