package fleet

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/scenario"
)

// routerStartEvents returns the kinds of the recorded events of routers' starts.
func routerStartEvents(fl *Fleet) (kinds []checker.Kind) {
	events, _ := fl.journal.Events()
	for _, e := range events {
		if e.Kind == checker.RouterStarted || e.Kind == checker.RouterReady {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// newFakeFleet returns a fleet with one fake router that has not been started.
func newFakeFleet(t *testing.T, mode string, ready time.Duration) *Fleet {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := scenario.Parse("fake", []byte(fakeScenario))
	if err != nil {
		t.Fatal(err)
	}
	fl := newFleet(f, Options{RouterCommand: []string{"/usr/bin/env", "FAKE_ROUTER=" + mode, self},
		Dir: t.TempDir(), ReadyTimeout: ready})
	t.Cleanup(fl.close)
	return fl
}

// The journal must record each start of a router and when it was ready.
func TestRouterStartsAreRecorded(t *testing.T) {
	fl := newFakeFleet(t, "right", 0)
	if err := fl.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	r := fl.allRouters()[0]
	p := r.newest()
	fl.kill(r, p)
	<-p.done
	if err := fl.startRouter(t.Context(), r); err != nil {
		t.Fatal(err)
	}
	want := []checker.Kind{checker.RouterStarted, checker.RouterReady, checker.RouterStarted, checker.RouterReady}
	if got := routerStartEvents(fl); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A router that never gets ready must not be recorded as ready.
func TestUnreadyRouterIsNotRecordedAsReady(t *testing.T) {
	fl := newFakeFleet(t, "never-ready", 300*time.Millisecond)
	if err := fl.start(t.Context()); err == nil {
		t.Error("the fleet started")
	}
	if got := routerStartEvents(fl); !slices.Equal(got, []checker.Kind{checker.RouterStarted}) {
		t.Errorf("got %v", got)
	}
}

// The exit of a router before it is ready must be reported with its exit status or signal, even if
// the router logged nothing.
func TestExitBeforeReadyIsReported(t *testing.T) {
	f, err := scenario.Parse("fake", []byte(fakeScenario))
	if err != nil {
		t.Fatal(err)
	}
	for script, want := range map[string]string{"exit 0": "exit status 0", "exit 4": "exit status 4",
		"kill -9 $$": "signal: killed"} {
		fl := newFleet(f, Options{RouterCommand: []string{"/bin/sh", "-c", script}, Dir: t.TempDir()})
		t.Cleanup(fl.close)
		if err := fl.start(t.Context()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, without %q", script, err, want)
		}
	}
}
