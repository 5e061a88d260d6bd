package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/metrics"
)

func (r *runningRouter) metricsSnapshot(t *testing.T) (s metrics.Snapshot) {
	t.Helper()
	text, err := r.router.Metrics()
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestMetricsCountEachOutcomeOnce(t *testing.T) {
	a, o := startFakeServer(t, func(line string) string {
		return map[string]string{"a": hitAnswer(line), "b": "SERVER_ERROR failed\r\n"}[requestIDOf(line)[:1]]
	}), startFakeServer(t, func(string) string { return httpAnswer("500 Internal Server Error", "") })
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", a.addr), originEntry(o.addr))
	c := dialClient(t, r.addr)
	for i := range 3 {
		c.exchange(readCommandOf(fmt.Sprint("a", i), 5000))
	}
	if got := c.exchange(billCommandOf("w", 5000)); got != "SERVER_ERROR failed" {
		t.Fatalf("got %q", got)
	}
	if err := r.router.SetDisabled(t.Context(), "s-0000000b", true); err != nil {
		t.Fatal(err)
	}
	if got := c.exchange(readCommandOf("a9", 5000)); got != "SERVER_ERROR busy" {
		t.Fatalf("with the only server disabled: got %q", got)
	}
	s := r.metricsSnapshot(t)
	if s.Success["read"] != 3 || s.Overload["read"] != 1 || s.Error["read"] != 0 || s.Error["bill"] != 1 ||
		s.Dispatches != 4 || s.Concurrent != 0 || s.Targets != 2 || s.TargetsDisabled != 1 {
		t.Errorf("metrics: %+v", s)
	}
}

func TestDisabledServerStaysDisabledAfterListUpdate(t *testing.T) {
	a, o := startFakeServer(t, hitAnswer), startFakeServer(t, originAnswer)
	r, d := startReadyRouter(t, cacheEntry("s-0000000b", a.addr), originEntry(o.addr))
	if err := r.router.SetDisabled(t.Context(), "s-000000bb", true); !errors.Is(err, admin.ErrUnknownServer) {
		t.Errorf("unlisted server: got %v", err)
	}
	if err := r.router.SetDisabled(t.Context(), "x-0000000b", true); !errors.Is(err, admin.ErrUnknownServer) {
		t.Errorf("unlisted server whose name ends like a listed one: got %v", err)
	}
	if err := r.router.SetDisabled(t.Context(), "s-0000000b", true); err != nil {
		t.Fatal(err)
	}
	d.publishChange(cacheEntry("s-0000000b", a.addr))
	receive(t, d.calls, "watch")
	c := dialClient(t, r.addr)
	if got := c.exchange(readCommandOf("a1", 5000)); got != "SERVER_ERROR busy" {
		t.Errorf("got %q", got)
	}
	if err := r.router.SetDisabled(t.Context(), "s-0000000b", false); err != nil {
		t.Fatal(err)
	}
	for i := 2; ; i++ { // at first there may be no capacity for a cold server
		if got := c.exchange(readCommandOf(fmt.Sprint("a", i), 5000)); got == fmt.Sprintf("VA 5 Oa%d hello", i) {
			break
		} else if got != "SERVER_ERROR busy" {
			t.Fatalf("after enabling the server: got %q", got)
		}
	}
}

// A call that the loop can't run in time returns an error.
func TestCallToBusyLoopReturnsError(t *testing.T) {
	r, err := New(testConfig(t, "127.0.0.1:1", endpointList{}), listenLocal(t), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := r.SetDisabled(ctx, "s-0000000b", true); !errors.Is(err, errLoopBusy) {
		t.Errorf("got %v", err)
	}
}
