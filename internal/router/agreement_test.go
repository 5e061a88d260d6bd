package router

import (
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// What others found bad is avoided, is never told on as this router's own evidence, and ends by
// this router's clock.
func TestGossipIsNotForwarded(t *testing.T) {
	_, entries := startFlaky(t, 6, func(int, int) bool { return false })
	run, _ := serving(t, append(entries, originAt(startFake(t, originOK).addr))...)
	r := run.router
	look := func() (bad []string, avoided int64) {
		t.Helper()
		all, err := r.loop.observeServers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range all {
			if s.Status != rollout.StatusServing {
				bad = append(bad, s.Name)
			}
		}
		if err := r.loop.call(t.Context(), func() error { r.loop.publishEndpointCounts(); return nil }); err != nil {
			t.Fatal(err)
		}
		return bad, r.metrics.TargetsDisabled.Load()
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
	if bad, avoided := look(); len(bad) > 0 || avoided != 1 {
		t.Errorf("%d servers avoided, told as found bad: %v", avoided, bad)
	}
	timers := func() (n int) {
		t.Helper()
		if err := r.loop.call(t.Context(), func() error { n = len(r.loop.timers); return nil }); err != nil {
			t.Fatal(err)
		}
		return n
	}
	before := timers()
	for range 40 { // the word comes and goes: it is passed on by one timer all the same
		for _, word := range [][]rollout.EjectedServer{nil, {{Name: all[0].Name, Remaining: 300 * time.Millisecond}}} {
			if err := r.loop.setPeerEjections(t.Context(), word); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := timers(); n > before+10 {
		t.Errorf("%d timers after the word came 40 times, %d before", n, before)
	}
	for told := 1; told > 0; { // its time is over by itself
		if err := r.loop.call(t.Context(), func() error { told = len(r.loop.ejectedByPeers); return nil }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	// of a server that has left
	if err := r.loop.call(t.Context(), func() error {
		r.loop.ejectedOnlyByPeers[12345] = true
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	look()
	if err := r.loop.call(t.Context(), func() error {
		if r.loop.ejectedOnlyByPeers[12345] {
			t.Error("what was heard of a server that has left the list is kept")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
}
