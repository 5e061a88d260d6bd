package node

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// mustPropose proposes a command and fails unless the response has the code.
func mustPropose(t *testing.T, n *Node, c coord.Command, want coord.Code) coord.Response {
	t.Helper()
	a, err := n.Propose(c)
	if err != nil || a.Code != want {
		t.Fatalf("%+v, %v, want %s", a, err, want)
	}
	return a
}

// poll requests changes. It returns the status and either the update or the rejection.
func poll(t *testing.T, n *Node, query string) (int, protocol.Update, protocol.Rejection) {
	t.Helper()
	w := serve(n.Handler(), http.MethodGet, protocol.ChangesPath+"?"+query, nil)
	var update protocol.Update
	var rejection protocol.Rejection
	into := any(&update)
	if w.Code != http.StatusOK {
		into = &rejection
	}
	if err := json.Unmarshal(w.Body.Bytes(), into); err != nil {
		t.Fatalf("%s: %v", w.Body, err)
	}
	return w.Code, update, rejection
}

// An observer polls for changes. It gets the changes after its revision, a progress notice if there
// are none under its prefix, a snapshot if the changes are compacted, and a typed rejection if the
// coordinator is behind the observer. If a coordinator that is behind sent its older state, routers
// would return to old documents.
func TestObserverPollsForChanges(t *testing.T) {
	n := startLeader(t)
	mustPropose(t, n, coord.Command{Op: coord.OpUpgrade, TargetVersion: coord.DocumentVersion}, coord.CodeOK)
	mustPropose(t, n, coord.Command{
		Op: coord.OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute,
	}, coord.CodeOK)
	put := func(sequence uint64, name string) {
		document := &coord.DocumentPut{Name: name, Value: []byte(name)}
		mustPropose(t, n, coord.Command{
			Op: coord.OpPutDocument, SessionID: "s", Document: document,
			Sequence: sequence, AcknowledgedThrough: sequence - 1,
		}, coord.CodeOK)
	}
	got := make(chan protocol.Update, 1)
	done := make(chan struct{})
	go func() { // ends with the first poll that gets a change; done is received below
		defer close(done)
		for {
			code, update, _ := poll(t, n, "after=0")
			if code != http.StatusOK || len(update.Changes) > 0 {
				got <- update
				return
			}
		}
	}()
	put(1, "a/1")
	<-done
	update := <-got
	isOneChange := len(update.Changes) == 1 && string(update.Changes[0].Value) == "a/1"
	if update.Snapshot || update.After != 0 || update.Through != 1 || !isOneChange {
		t.Errorf("%+v", update)
	}
	put(2, "b/1")
	code, update, _ := poll(t, n, "after=1&prefix=a/")
	if code != http.StatusOK || len(update.Changes) != 0 || update.Through != 2 || update.Newest != 2 {
		t.Errorf("%d %+v: changes outside the prefix must only give progress", code, update)
	}
	code, update, _ = poll(t, n, "after=2")
	if code != http.StatusOK || len(update.Changes) != 0 || update.Through != 2 {
		t.Errorf("%d %+v", code, update)
	}
	code, _, rejection := poll(t, n, "after=3")
	if code != http.StatusConflict || rejection.Code != protocol.CodeBehind {
		t.Errorf("%d %+v", code, rejection)
	}
	code, _, rejection = poll(t, n, "after=x")
	if code != http.StatusBadRequest || rejection.Code != protocol.CodeInvalid {
		t.Errorf("%d %+v", code, rejection)
	}
	n.mu.Lock()
	n.state.Documents.Compact(2)
	n.mu.Unlock()
	code, update, _ = poll(t, n, "after=1")
	if code != http.StatusOK || !update.Snapshot || update.Through != 2 || len(update.Changes) != 2 {
		t.Errorf("%d %+v", code, update)
	}
}

// A document is put while an older coordinator may not support documents. The leader must reject
// the put without a log entry: an older coordinator would reject the entry with another text, and
// its state would diverge.
func TestPutBeforeUpgradeIsNotLogged(t *testing.T) {
	n := startLeader(t)
	readAll := func() {
		t.Helper()
		if err := n.LinearizableRead(func(*coord.State) {}); err != nil {
			t.Fatal(err)
		}
	}
	readAll()                         // all earlier entries are applied afterwards
	before := n.Status().AppliedIndex // counts commands only, not the barriers of reads
	put := coord.Command{
		Op: coord.OpPutDocument, SessionID: "s", Sequence: 1, Document: &coord.DocumentPut{Name: "a"},
	}
	code, response := postCommand(t, n, put)
	readAll()
	after := n.Status().AppliedIndex
	if code != http.StatusOK || response.Code != coord.CodeInvalid || after != before {
		t.Errorf("%d %+v, commands up to entry %d, were up to %d", code, response, after, before)
	}
}
