package observer

import (
	"cmp"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// watcherTable holds who watches, what each was given and what it has acknowledged. It has no clock; the Observer's mu guards it.
type watcherTable struct {
	limit                   int
	byName                  map[string]*watcher
	snapshots               int64
	rejectedJoins           int64
	rejectedAhead           int64
	invalidAcknowledgements int64
}

// watcher is one router's watch.
type watcher struct {
	name         string
	sentThrough  uint64 // everything through this revision was sent
	acknowledged uint64
	isLagging    bool
	laggingSince time.Duration
	end          func() // ends the watch
}

func newWatcherTable(limit int) *watcherTable {
	return &watcherTable{limit: limit, byName: map[string]*watcher{}}
}

// join enters a watch from a revision. A watch of the same name ends: its router has come again. It returns nil where the table
// is full.
func (t *watcherTable) join(name string, revision, newest uint64, now time.Duration, end func()) *watcher {
	before := t.byName[name]
	if before == nil && len(t.byName) >= t.limit {
		return nil
	}
	w := &watcher{name: name, sentThrough: revision, end: end}
	if before != nil {
		before.end()
	}
	t.byName[name] = w
	if newest > 0 {
		w.isLagging, w.laggingSince = true, now
	}
	return w
}

// leave takes a watch out, unless another of its name has come.
func (t *watcherTable) leave(w *watcher) {
	if t.byName[w.name] == w {
		delete(t.byName, w.name)
	}
}

// changed tells that there is a newer revision, which nobody has acknowledged yet.
func (t *watcherTable) changed(newest uint64, now time.Duration) {
	for _, w := range t.byName {
		if !w.isLagging && w.acknowledged < newest {
			w.isLagging, w.laggingSince = true, now
		}
	}
}

// acknowledge books that a watcher has a revision in force. It is false for who doesn't watch here or wasn't given it.
func (t *watcherTable) acknowledge(a protocol.Acknowledgement, newest uint64) bool {
	w := t.byName[a.Watcher]
	if w == nil {
		return false
	}
	if a.Revision > w.sentThrough {
		t.invalidAcknowledgements++
		return false
	}
	w.acknowledged = max(w.acknowledged, a.Revision)
	if w.acknowledged >= newest {
		w.isLagging = false
	}
	return true
}

// status sums the watchers up.
func (t *watcherTable) status(newest uint64, now time.Duration) protocol.Status {
	status := protocol.Status{Revision: newest, Watchers: len(t.byName), Snapshots: t.snapshots, RejectedJoins: t.rejectedJoins, RejectedAhead: t.rejectedAhead, InvalidAcknowledgements: t.invalidAcknowledgements, Lagging: []protocol.LaggingWatcher{}}
	for _, w := range t.byName {
		if !w.isLagging {
			status.Acknowledged++
			continue
		}
		since := (now - w.laggingSince).Milliseconds()
		status.Lagging = append(status.Lagging, protocol.LaggingWatcher{Watcher: w.name, Revision: w.acknowledged, SinceMillis: since})
	}
	slices.SortFunc(status.Lagging, func(a, b protocol.LaggingWatcher) int {
		return cmp.Or(cmp.Compare(b.SinceMillis, a.SinceMillis), cmp.Compare(a.Watcher, b.Watcher))
	})
	status.Lagging = status.Lagging[:min(len(status.Lagging), protocol.MaxLagging)]
	return status
}
