package router

import (
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Guards against routers that repeat each other's reports of failing servers. A server ejected by
// other routers is avoided, is not reported as this router's own evidence, and is used again when
// the ejection expires by this router's clock.
func TestPeerEjectionIsNotReportedAsOwnEvidence(t *testing.T) {
	_, entries := startFlakyFleet(t, 6, func(int, int) bool { return false })
	run, _ := startReadyRouter(t, append(entries, originEntry(startFakeServer(t, originAnswer).addr))...)
	r := run.router
	observe := func() (failing []string, avoided int64) {
		t.Helper()
		all, err := r.loop.observeServers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range all {
			if s.Status != rollout.StatusServing {
				failing = append(failing, s.Name)
			}
		}
		if err := r.loop.call(t.Context(), func() error { r.loop.publishEndpointCounts(); return nil }); err != nil {
			t.Fatal(err)
		}
		return failing, r.metrics.TargetsDisabled.Load()
	}
	all, err := r.loop.observeServers(t.Context())
	if err != nil || len(all) != 6 {
		t.Fatalf("%v, %v", all, err)
	}
	if err := r.loop.setPeerEjections(t.Context(),
		[]rollout.EjectedServer{{Name: all[0].Name, Remaining: 300 * time.Millisecond},
			{Name: "nobody", Remaining: time.Hour}}); err != nil {
		t.Fatal(err)
	}
	if failing, avoided := observe(); len(failing) > 0 || avoided != 1 {
		t.Errorf("%d servers avoided, reported as failing: %v", avoided, failing)
	}
	timers := func() (n int) {
		t.Helper()
		if err := r.loop.call(t.Context(), func() error { n = len(r.loop.timers); return nil }); err != nil {
			t.Fatal(err)
		}
		return n
	}
	before := timers()
	for range 40 { // repeated reports start only one timer
		for _, ejected := range [][]rollout.EjectedServer{nil, {{Name: all[0].Name,
			Remaining: 300 * time.Millisecond}}} {
			if err := r.loop.setPeerEjections(t.Context(), ejected); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := timers(); n > before+10 {
		t.Errorf("%d timers after 40 reports, %d before", n, before)
	}
	for left := 1; left > 0; { // it expires without a further report
		if err := r.loop.call(t.Context(), func() error { left = len(r.loop.ejectedByPeers); return nil }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// An ejection of a server that is no longer listed is forgotten.
	if err := r.loop.call(t.Context(), func() error {
		r.loop.ejectedOnlyByPeers[12345] = true
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	observe()
	if err := r.loop.call(t.Context(), func() error {
		if r.loop.ejectedOnlyByPeers[12345] {
			t.Error("the ejection of an unlisted server is kept")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}
