package fakes

import (
	"math"
	"net/http"
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/model"
)

// The journal has the start time of a server as on the list: with the change of the list, with each
// answer to a router, and with the list in a router's configuration.
func TestServerStartsAreRecordedWithTheList(t *testing.T) {
	const startedAt = 5.0
	r := newRig()
	d := NewDiscovery(model.DirectoryParams{}, 1, nil, r.clock, r.journal)
	t.Cleanup(d.Close)
	addr, err := d.OpenListener("asks", func(e model.Entry) string { return e.Addr })
	if err != nil {
		t.Fatal(err)
	}
	d.ScheduleChange(model.Entry{ID: "s1", State: "active", Started: r.clock.Unix(startedAt)})
	listed := r.waitForEvent(t, "change of the list", func(e checker.Event) bool {
		return e.Kind == checker.ServerStateListed
	})
	resp, err := http.Get("http://" + addr + "/v1/servers")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	asked := r.waitForEvent(t, "state sent to the calling router", func(e checker.Event) bool {
		return e.Kind == checker.ServerStateSent && e.Router == "asks"
	})
	d.RecordConfiguredList("configured")
	known := r.waitForEvent(t, "state sent with the configuration", func(e checker.Event) bool {
		return e.Kind == checker.ServerStateSent && e.Router == "configured"
	})
	for _, e := range []checker.Event{listed, asked, known} {
		if e.Server != "s1" || math.Abs(e.ServerStartedAt-startedAt) > 0.01 {
			t.Errorf("got event %+v, want the start time of s1", e)
		}
	}
}
