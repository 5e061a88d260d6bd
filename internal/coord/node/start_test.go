package node

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// startNode starts a coordinator that belongs to no group, on an empty directory. It is closed at
// the end of the test.
func startNode(t *testing.T, snapshotEntries uint64) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	n, err := Start(Options{
		Name:             "c1",
		Directory:        t.TempDir(),
		ListenAddress:    address,
		ClientAddress:    "127.0.0.1:1",
		ClockRateBound:   coord.DefaultClockRateBound,
		SnapshotEntries:  snapshotEntries,
		HeartbeatTimeout: 100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
	return n
}

// bootstrapAlone bootstraps a group of this coordinator alone.
func bootstrapAlone(t *testing.T, n *Node) {
	t.Helper()
	self := Member{Name: "c1", Identity: n.Status().Identity, Address: n.options.ListenAddress, IsVoter: true}
	if err := n.Bootstrap([]Member{self}); err != nil {
		t.Fatal(err)
	}
}

// await polls until the condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal("the condition never holds: " + what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// startLeader starts a coordinator that leads a group of one.
func startLeader(t *testing.T) *Node {
	t.Helper()
	n := startNode(t, 100)
	bootstrapAlone(t, n)
	await(t, "a leader", func() bool { return n.Leader() != "" })
	return n
}

// startUpgradedLeader starts a coordinator that leads a group of one at the latest version and
// takes no snapshots.
func startUpgradedLeader(t *testing.T) *Node {
	t.Helper()
	n := startNode(t, 1<<20)
	bootstrapAlone(t, n)
	upgrade := coord.Command{Op: coord.OpUpgrade, TargetVersion: coord.Version}
	await(t, "leadership", func() bool {
		_, err := n.Propose(upgrade)
		return err == nil
	})
	return n
}

// serve passes a request to a handler and returns the recorded response.
func serve(h http.Handler, method, target string, body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, bytes.NewReader(body)))
	return w
}

// postCommand posts a command as a client does.
func postCommand(t *testing.T, n *Node, c coord.Command) (status int, response coord.Response) {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	w := serve(n.Handler(), http.MethodPost, "/v1/command", text)
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil {
		t.Fatalf("%d %s: %v", w.Code, w.Body, err)
	}
	return w.Code, response
}
