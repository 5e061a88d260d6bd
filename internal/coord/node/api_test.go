package node

import (
	"net/http"
	"strings"
	"testing"
)

// The metrics address serves the status and the readiness of a coordinator, before and after it
// belongs to a group. It must accept no commands, as it may be reachable by more clients than the
// API.
func TestMetricsAddressAcceptsNoCommands(t *testing.T) {
	n := startNode(t, 100)
	h := n.MetricsHandler()
	w := serve(h, http.MethodGet, "/-/metrics", nil)
	body := w.Body.String()
	hasFields := strings.Contains(body, `"state":"Waiting"`) && strings.Contains(body, "commit_p99_ms")
	if w.Code != http.StatusOK || !hasFields {
		t.Errorf("%d %s", w.Code, w.Body)
	}
	if w := serve(h, http.MethodGet, "/-/ready", nil); w.Code != http.StatusServiceUnavailable {
		t.Errorf("ready without a group: %d", w.Code)
	}
	for _, path := range []string{"/v1/command", "/v1/members", "/v1/init", "/-/metrics"} {
		w := serve(h, http.MethodPost, path, []byte(`{"op":"open"}`))
		if w.Code != http.StatusNotFound && w.Code != http.StatusMethodNotAllowed {
			t.Errorf("POST %s: %d", path, w.Code)
		}
	}
	bootstrapAlone(t, n)
	await(t, "ready", func() bool {
		return serve(h, http.MethodGet, "/-/ready", nil).Code == http.StatusOK
	})
}
