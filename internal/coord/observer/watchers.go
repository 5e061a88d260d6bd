package observer

import (
	"cmp"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// watcherTable has the watchers, and for each what it was sent and what it has acknowledged. It has
// no clock. The Observer's mu guards it.
type watcherTable struct {
	limit  int
	byName map[string]*watcher

	// Counters since the start; see protocol.Status.
	snapshots               int64
	rejectedJoins           int64
	rejectedAhead           int64
	invalidAcknowledgements int64
}

// watcher is one router's watch.
type watcher struct {
	name         string
	sentThrough  uint64 // revision up to which everything was sent
	acknowledged uint64 // highest revision that was acknowledged
	isLagging    bool
	laggingSince time.Duration
	end          func() // ends the watch
}

func newWatcherTable(limit int) *watcherTable {
	return &watcherTable{limit: limit, byName: map[string]*watcher{}}
}

// join adds a watch from a revision. It ends an existing watch of the same name: the router has
// reconnected, and the previous connection may be half open. It returns nil if the table is full.
func (t *watcherTable) join(name string, revision, newest uint64, now time.Duration, end func()) *watcher {
	previous := t.byName[name]
	if previous == nil && len(t.byName) >= t.limit {
		return nil
	}
	w := &watcher{name: name, sentThrough: revision, end: end}
	if previous != nil {
		previous.end()
	}
	t.byName[name] = w
	if newest > 0 {
		w.markLagging(now)
	}
	return w
}

// remove removes a watch unless another one of the same name has replaced it.
func (t *watcherTable) remove(w *watcher) {
	if t.byName[w.name] == w {
		delete(t.byName, w.name)
	}
}

// recordChange records that there is a newer revision, which no watcher has acknowledged yet.
func (t *watcherTable) recordChange(newest uint64, now time.Duration) {
	for _, w := range t.byName {
		if !w.isLagging && w.acknowledged < newest {
			w.markLagging(now)
		}
	}
}

func (w *watcher) markLagging(now time.Duration) {
	w.isLagging = true
	w.laggingSince = now
}

// acknowledge records that a watcher has applied a revision. It returns false if there is no such
// watcher or if it wasn't sent the revision.
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

// status returns the watchers' part of an observer's status.
func (t *watcherTable) status(newest uint64, now time.Duration) protocol.Status {
	status := protocol.Status{
		Revision:                newest,
		Watchers:                len(t.byName),
		Snapshots:               t.snapshots,
		RejectedJoins:           t.rejectedJoins,
		RejectedAhead:           t.rejectedAhead,
		InvalidAcknowledgements: t.invalidAcknowledgements,
		Lagging:                 []protocol.LaggingWatcher{},
	}
	for _, w := range t.byName {
		if !w.isLagging {
			status.Acknowledged++
			continue
		}
		since := (now - w.laggingSince).Milliseconds()
		lagging := protocol.LaggingWatcher{Watcher: w.name, Revision: w.acknowledged, SinceMillis: since}
		status.Lagging = append(status.Lagging, lagging)
	}
	slices.SortFunc(status.Lagging, func(a, b protocol.LaggingWatcher) int {
		return cmp.Or(cmp.Compare(b.SinceMillis, a.SinceMillis), cmp.Compare(a.Watcher, b.Watcher))
	})
	status.Lagging = status.Lagging[:min(len(status.Lagging), protocol.MaxLagging)]
	return status
}
