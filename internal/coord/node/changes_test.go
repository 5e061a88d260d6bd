package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// leading starts a group of one coordinator that leads.
func leading(t *testing.T) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	n, err := Start(Options{Name: "c1", Directory: t.TempDir(), ListenAddress: listen, ClientAddress: "127.0.0.1:1", ClockRateBound: coord.DefaultClockRateBound, SnapshotEntries: 100, HeartbeatTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := n.Bootstrap([]Member{{Name: "c1", Identity: n.Status().Identity, Address: listen, IsVoter: true}}); err != nil {
		t.Fatal(err)
	}
	for n.Leader() == "" {
		select {
		case <-t.Context().Done():
			t.Fatal("no leader")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return n
}

// do has a command agreed on, which must end as it should.
func do(t *testing.T, n *Node, c coord.Command, want coord.Code) coord.Response {
	t.Helper()
	a, err := n.Propose(c)
	if err != nil || a.Code != want {
		t.Fatalf("%+v, %v, want %s", a, err, want)
	}
	return a
}

// poll asks for changes and reads the answer into one of the two.
func poll(t *testing.T, n *Node, query string) (int, protocol.Update, protocol.Rejection) {
	t.Helper()
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, protocol.ChangesPath+"?"+query, nil))
	var update protocol.Update
	var refusal protocol.Rejection
	into := any(&update)
	if w.Code != http.StatusOK {
		into = &refusal
	}
	if err := json.Unmarshal(w.Body.Bytes(), into); err != nil {
		t.Fatalf("%s: %v", w.Body, err)
	}
	return w.Code, update, refusal
}

// A long poll is answered with what comes after its revision, with a notice of progress where nothing comes, with a snapshot
// where the changes are gone, and refused by type where the coordinator is behind the one that asks.
func TestChanges(t *testing.T) {
	n := leading(t)
	do(t, n, coord.Command{Op: coord.OpUpgrade, TargetVersion: coord.DocumentVersion}, coord.CodeOK)
	do(t, n, coord.Command{Op: coord.OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute}, coord.CodeOK)
	put := func(seq uint64, name string) {
		do(t, n, coord.Command{Op: coord.OpPutDocument, SessionID: "s", Sequence: seq, AcknowledgedThrough: seq - 1, Document: &coord.DocumentPut{Name: name, Value: []byte(name)}}, coord.CodeOK)
	}
	got := make(chan protocol.Update, 1)
	done := make(chan struct{})
	go func() { // ends with its one poll, which is waited for below
		defer close(done)
		for after := uint64(0); ; {
			code, update, _ := poll(t, n, fmt.Sprint("after=", after))
			if code != http.StatusOK || len(update.Changes) > 0 {
				got <- update
				return
			}
		}
	}()
	put(1, "a/1")
	<-done
	if update := <-got; update.Snapshot || update.After != 0 || update.Through != 1 || len(update.Changes) != 1 || string(update.Changes[0].Value) != "a/1" {
		t.Errorf("%+v", update)
	}
	put(2, "b/1")
	if code, update, _ := poll(t, n, "after=1&prefix=a/"); code != http.StatusOK || len(update.Changes) != 0 || update.Through != 2 || update.Newest != 2 {
		t.Errorf("%d %+v: what lies outside the prefix is progress alone", code, update)
	}
	if code, update, _ := poll(t, n, "after=2"); code != http.StatusOK || len(update.Changes) != 0 || update.Through != 2 {
		t.Errorf("%d %+v", code, update)
	}
	if code, _, refusal := poll(t, n, "after=3"); code != http.StatusConflict || refusal.Code != protocol.CodeBehind {
		t.Errorf("%d %+v", code, refusal)
	}
	if code, _, refusal := poll(t, n, "after=x"); code != http.StatusBadRequest || refusal.Code != protocol.CodeInvalid {
		t.Errorf("%d %+v", code, refusal)
	}
	n.mu.Lock()
	n.state.Documents.Compact(2)
	n.mu.Unlock()
	if code, update, _ := poll(t, n, "after=1"); code != http.StatusOK || !update.Snapshot || update.Through != 2 || len(update.Changes) != 2 {
		t.Errorf("%d %+v", code, update)
	}
}

// A document is refused before all coordinators understand it, and the refusal never gets into the log.
func TestPutBeforeUpgrade(t *testing.T) {
	n := leading(t)
	if err := n.LinearizableRead(func(*coord.State) {}); err != nil { // what the leader begins with is carried out by then
		t.Fatal(err)
	}
	before := n.Status().AppliedIndex // the last command's entry: the barrier of a read is none
	s := httptest.NewServer(n.Handler())
	defer s.Close()
	code, a := postCommand(t, s, coord.Command{Op: coord.OpPutDocument, SessionID: "s", Sequence: 1, Document: &coord.DocumentPut{Name: "a"}})
	if err := n.LinearizableRead(func(*coord.State) {}); err != nil {
		t.Fatal(err)
	}
	if after := n.Status().AppliedIndex; code != http.StatusOK || a.Code != coord.CodeInvalid || after != before {
		t.Errorf("%d %+v, commands up to entry %d, were up to %d", code, a, after, before)
	}
}

func postCommand(t *testing.T, s *httptest.Server, c coord.Command) (int, coord.Response) {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(s.URL+"/v1/command", "application/json", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a coord.Response
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, a
}
