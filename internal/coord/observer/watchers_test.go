package observer

import (
	"fmt"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// The table is full. A third watcher is rejected. A watcher that reconnects under the same name
// must be admitted, and its previous watch ends; otherwise a router could not reconnect after its
// connection broke.
func TestWatcherTableIsBounded(t *testing.T) {
	table := newWatcherTable(2)
	ended := ""
	first := table.join("a", 0, 0, 0, func() { ended = "a" })
	table.join("b", 0, 0, 0, func() { ended = "b" })
	if table.join("c", 0, 0, 0, nil) != nil {
		t.Error("a third watcher was admitted")
	}
	if table.join("a", 0, 0, 0, nil) == nil || ended != "a" {
		t.Errorf("a reconnecting watcher was rejected, or %q ended", ended)
	}
	table.remove(first) // the watcher has joined again meanwhile
	if len(table.byName) != 2 {
		t.Errorf("%d watchers", len(table.byName))
	}
}

// The status must list the watchers that lag behind the newest revision, the longest-lagging first,
// and a revision that was not sent must not be acknowledged. Otherwise an operator could conclude
// that a change is applied everywhere.
func TestStatusListsLaggingWatchers(t *testing.T) {
	table := newWatcherTable(1000)
	for i := range protocol.MaxLagging + 2 {
		w := table.join(fmt.Sprint("w", i), 0, 0, 0, nil)
		w.sentThrough = 7
	}
	table.recordChange(7, time.Second)
	acknowledge := func(name string, revision uint64) bool {
		return table.acknowledge(protocol.Acknowledgement{Watcher: name, Revision: revision}, 7)
	}
	if !acknowledge("w0", 7) || !acknowledge("w1", 6) || acknowledge("w2", 8) || acknowledge("nobody", 1) {
		t.Error("an acknowledgement was accepted or rejected wrongly")
	}
	status := table.status(7, 4*time.Second)
	isCounted := status.Watchers == protocol.MaxLagging+2 && len(status.Lagging) == protocol.MaxLagging
	if !isCounted || status.Acknowledged != 1 || status.InvalidAcknowledgements != 1 {
		t.Errorf("%d watchers, %d acknowledged, %d lagging, %d invalid acknowledgements",
			status.Watchers, status.Acknowledged, len(status.Lagging), status.InvalidAcknowledgements)
	}
	if first := status.Lagging[0]; first.Watcher != "w1" || first.Revision != 6 || first.SinceMillis != 3000 {
		t.Errorf("%+v", first)
	}
	table.join("late", 0, 7, 3*time.Second, nil)
	status = table.status(7, 4*time.Second)
	last := status.Lagging[len(status.Lagging)-1]
	if status.Watchers != protocol.MaxLagging+3 || last.SinceMillis != 3000 {
		t.Errorf("%+v", last)
	}
	table.recordChange(8, 5*time.Second) // a lagging watcher keeps its start time
	if first := table.status(8, 6*time.Second).Lagging[0]; first.SinceMillis != 5000 {
		t.Errorf("%+v", first)
	}
}
