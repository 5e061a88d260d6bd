package main

import (
	"bytes"
	"strings"
	"testing"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// Guards against documents that routers could not read: they are not sent to the coordinators.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	for _, bad := range []struct{ name, value, want string }{
		{"a.toml", "x = ", "a.toml"},
		{"a.json", "{", "not valid JSON"},
		{"a b", "", "has other than"},
		{"", "", "empty"},
		{"a", strings.Repeat("x", coord.MaxDocumentBytes+1), "at most"},
	} {
		if err := checkDocument(bad.name, []byte(bad.value)); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("%s: %v, want %q", bad.name, err, bad.want)
		}
	}
	for name, value := range map[string]string{"a.toml": "x = 1", "a.json": "{}", "region/a": "anything"} {
		if err := checkDocument(name, []byte(value)); err != nil {
			t.Error(err)
		}
	}
}

// A revision is found while it is stored; 0 finds the newest.
func TestStoredRevisionIsFound(t *testing.T) {
	history := []watchlog.Change{{Revision: 3}, {Revision: 9}}
	for revision, want := range map[uint64]uint64{0: 9, 3: 3, 9: 9} {
		if got, err := changeAtRevision(history, "a", revision); err != nil || got.Revision != want {
			t.Errorf("%d: %+v, %v", revision, got, err)
		}
	}
	if _, err := changeAtRevision(history, "a", 4); err == nil {
		t.Error("revision 4 was found")
	}
}

// Guards against watchers that count as having the newest revision although their observer lags
// behind or doesn't answer.
func TestWatchersOfLaggingObserversAreNotAcknowledged(t *testing.T) {
	observers := map[string]observerStatus{
		"o1": {Status: protocol.Status{
			Revision: 7, Watchers: 10, Acknowledged: 9,
			Lagging: []protocol.LaggingWatcher{{Watcher: "r1", Revision: 6, SinceMillis: 2500}},
		}},
		"o2": {Status: protocol.Status{Revision: 6, Watchers: 5, Acknowledged: 5, AgeMillis: -1}},
		"o3": {Error: "refused"},
	}
	want := configTotals{Revision: 7, Watchers: 15, Acknowledged: 9, Silent: 1}
	if got := sumStatuses(observers); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	var out bytes.Buffer
	if err := printConfigStatus(&out, observers); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"in force at 9 of 15", "1 observers don't answer", "no state", "r1", "2.5s"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
}
