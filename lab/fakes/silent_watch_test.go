package fakes

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/model"
)

// A silenced watch is never answered. The journal has the silence and the changes of the list during it,
// and the next call is answered at once.
func TestSilencedWatchIsNeverAnswered(t *testing.T) {
	r := newRig()
	s1 := model.Entry{ID: "s1", Addr: "x", State: "active"}
	d := NewDiscovery(model.DirectoryParams{}, 1, []model.Entry{s1}, r.clock, r.journal)
	t.Cleanup(d.Close)
	addr, err := d.OpenListener("r0", func(e model.Entry) string { return e.Addr })
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + addr + "/v1/servers"
	watch := connect(t, addr)
	watch.send("GET /v1/servers?after=1&wait_ms=60000 HTTP/1.1\r\nHost: d\r\n\r\n")
	r.waitForEvent(t, "call", func(e checker.Event) bool { return e.Kind == checker.ListCalled && e.Router == "r0" })
	var silent checker.Event
	for silent.Kind != checker.WatchSilent { // the watch may not be open yet
		d.SilenceWatches()
		events, _ := r.journal.Events()
		silent = events[len(events)-1]
		time.Sleep(time.Millisecond)
	}
	if silent.Router != "r0" || silent.Deadline <= 0 || silent.Deadline > 60000 {
		t.Errorf("got event %+v", silent)
	}
	s1.State = "leaving"
	d.ScheduleChange(s1)
	r.waitForEvent(t, "change of the list", func(e checker.Event) bool {
		return e.Kind == checker.ServerStateListed && e.Server == "s1" && e.State == "leaving"
	})
	resp, err := http.Get(url + "?after=1&wait_ms=60000")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l model.List
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil || len(l.Servers) != 1 {
		t.Errorf("next call: got list %+v, error %v", l, err)
	}
	if err := watch.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := watch.r.Peek(1); err == nil {
		t.Error("the silent watch was answered")
	}
}

// The journal has one event for each time that discovery becomes unreachable or reachable.
func TestDiscoveryOutageIsRecordedOnce(t *testing.T) {
	r := newRig()
	d := NewDiscovery(model.DirectoryParams{}, 1, nil, r.clock, r.journal)
	t.Cleanup(d.Close)
	for _, down := range []bool{false, true, true, false} {
		d.SetDown(down)
	}
	events, _ := r.journal.Events()
	if len(events) != 2 || events[0].Kind != checker.DiscoveryDown || events[1].Kind != checker.DiscoveryUp {
		t.Errorf("got events %+v", events)
	}
}
