package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// largeFleet returns a list of cache servers and the origin, with ids and addresses of typical
// length.
func largeFleet(servers int) endpointList {
	entries := []listEntry{originEntry("127.0.0.1:1")}
	for i := range servers {
		e := cacheEntry(fmt.Sprintf("s-%08x", 0x5be20000+i),
			fmt.Sprintf("10.%d.%d.%d:11211", 100+i>>16, 100+i>>8&0x7f, 100+i&0x7f))
		e.Zone, e.Kind, e.Cell, e.Weight, e.StartedMillis = fmt.Sprintf("region-%02d-zone-%02d", i%13,
			i%47), "box", i%64, 1.25, 1796188180127
		entries = append(entries, e)
	}
	return completeList(entries...)
}

// Guards against limits on list or hand-over sizes that are below a fleet of 2,500 servers: an
// indented list of them is read, and a successor receives all of it.
func TestListOfLargeFleetIsReadAndHandedOver(t *testing.T) {
	const servers = 2500
	want := largeFleet(servers)
	indented, err := json.MarshalIndent(want, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	compact, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	hold := newGate(t)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") != "" {
			<-hold.opened
			return
		}
		w.Write(indented)
	}))
	t.Cleanup(d.Close)
	t.Cleanup(hold.open)
	old := startRouter(t, testConfig(t, d.Listener.Addr().String(), endpointList{}))
	eventually(t, old.router.loop, "the list", func() bool { return len(old.router.loop.targets) == servers+1 })
	successor, end := startSuccessor(t, old, testConfig(t, "127.0.0.1:1", endpointList{}))
	defer end()
	eventually(t, successor.router.loop, "the successor's list",
		func() bool { return len(successor.router.loop.targets) == servers+1 })
	var state handoverState
	onLoop(old.router.loop, func() {
		l := old.router.loop
		state = handoverState{Decisions: l.balancer.HandOver(l.now()), List: l.currentList(),
			ServerIDs: l.serverIDs.clone()}
	})
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d servers: list of %d bytes, indented %d of at most %d, hand-over state of %d", servers, len(compact),
		len(indented), maxListBytes, len(text))
}
