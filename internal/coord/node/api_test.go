package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// The figures' address tells how a coordinator stands, and that it is not ready while it knows no leader; no command gets in there.
func TestFigures(t *testing.T) {
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
	defer n.Close()
	h := n.MetricsHandler()
	ask := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(`{"op":"open"}`)))
		return w
	}
	if w := ask(http.MethodGet, "/-/metrics"); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), `"state":"Waiting"`) || !strings.Contains(w.Body.String(), "commit_p99_ms") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	if w := ask(http.MethodGet, "/-/ready"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("ready without a group: %d", w.Code)
	}
	for _, path := range []string{"/v1/command", "/v1/members", "/v1/init", "/-/metrics"} {
		if w := ask(http.MethodPost, path); w.Code != http.StatusNotFound && w.Code != http.StatusMethodNotAllowed {
			t.Errorf("POST %s: %d", path, w.Code)
		}
	}
	if err := n.Bootstrap([]Member{{Name: "c1", Identity: n.Status().Identity, Address: listen, IsVoter: true}}); err != nil {
		t.Fatal(err)
	}
	for w := ask(http.MethodGet, "/-/ready"); w.Code != http.StatusOK; w = ask(http.MethodGet, "/-/ready") {
		select {
		case <-t.Context().Done():
			t.Fatal("never ready")
		case <-time.After(10 * time.Millisecond):
		}
	}
}
