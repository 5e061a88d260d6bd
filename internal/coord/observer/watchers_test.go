package observer

import (
	"fmt"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// The table refuses beyond its bound, has room for who comes again under its name, and ends that one's watch before.
func TestWatcherTableIsBounded(t *testing.T) {
	table := newWatcherTable(2)
	ended := ""
	one := table.join("a", 0, 0, 0, func() { ended = "a" })
	table.join("b", 0, 0, 0, func() { ended = "b" })
	if table.join("c", 0, 0, 0, nil) != nil {
		t.Error("a third one was let in")
	}
	if table.join("a", 0, 0, 0, nil) == nil || ended != "a" {
		t.Errorf("who came again was refused, or %q ended", ended)
	}
	table.leave(one) // it has come again since
	if len(table.byName) != 2 {
		t.Errorf("%d watch", len(table.byName))
	}
}

// Who has not got the newest revision is told by name and since when, the longest first; what was not given can't be acknowledged.
func TestLagging(t *testing.T) {
	table := newWatcherTable(1000)
	for i := range protocol.MaxLagging + 2 {
		w := table.join(fmt.Sprint("w", i), 0, 0, 0, nil)
		w.sentThrough = 7
	}
	table.changed(7, time.Second)
	acknowledge := func(name string, revision uint64) bool {
		return table.acknowledge(protocol.Acknowledgement{Watcher: name, Revision: revision}, 7)
	}
	if !acknowledge("w0", 7) || !acknowledge("w1", 6) || acknowledge("w2", 8) || acknowledge("nobody", 1) {
		t.Error("an acknowledgement was taken or refused wrongly")
	}
	status := table.status(7, 4*time.Second)
	if status.Watchers != protocol.MaxLagging+2 || status.Acknowledged != 1 || len(status.Lagging) != protocol.MaxLagging || status.InvalidAcknowledgements != 1 {
		t.Errorf("%d watchers, %d acknowledged, %d lagging, %d lies", status.Watchers, status.Acknowledged, len(status.Lagging), status.InvalidAcknowledgements)
	}
	if first := status.Lagging[0]; first.Watcher != "w1" || first.Revision != 6 || first.SinceMillis != 3000 {
		t.Errorf("%+v", first)
	}
	table.join("late", 0, 7, 3*time.Second, nil)
	status = table.status(7, 4*time.Second)
	if last := status.Lagging[len(status.Lagging)-1]; status.Watchers != protocol.MaxLagging+3 || last.SinceMillis != 3000 {
		t.Errorf("%+v", last)
	}
	table.changed(8, 5*time.Second) // who lags since longer stays so
	if first := table.status(8, 6*time.Second).Lagging[0]; first.SinceMillis != 5000 {
		t.Errorf("%+v", first)
	}
}
