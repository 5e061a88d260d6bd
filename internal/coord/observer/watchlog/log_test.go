package watchlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

func put(t *testing.T, l *Log, name string, size int) {
	t.Helper()
	if err := l.Append(Change{Revision: l.NewestRevision() + 1, Name: name, Value: make([]byte, size)}); err != nil {
		t.Fatal(err)
	}
}

// A log exceeds its limit of changes, then that of bytes. The oldest changes must be compacted, and
// a watcher that requests them gets a CompactedError. Without the limits a log would use up the
// memory.
func TestLogCompactsBeyondItsLimits(t *testing.T) {
	l := NewLog(Limits{Changes: 3, Bytes: 1000})
	for range 5 {
		put(t, l, "a", 1)
	}
	if l.CompactedRevision() != 2 || l.NewestRevision() != 5 || len(l.History("a")) != 3 {
		t.Errorf("compacted %d, newest %d, %d kept", l.CompactedRevision(), l.NewestRevision(), len(l.History("a")))
	}
	put(t, l, "b", 700)
	put(t, l, "c", 700)
	if l.CompactedRevision() != 6 {
		t.Errorf("compacted %d by bytes", l.CompactedRevision())
	}
	put(t, l, "d", 5000)
	if got, err := l.ReadAfter(7, "", 1); err != nil || len(got.Changes) != 1 {
		t.Errorf("%+v, %v: the newest change must be kept even if it exceeds the limit", got, err)
	}
	var compacted *CompactedError
	if _, err := l.ReadAfter(1, "", 1000); !errors.As(err, &compacted) || compacted.Compacted != 7 {
		t.Errorf("%v", err)
	}
	var behind *BehindError
	if _, err := l.ReadAfter(9, "", 1000); !errors.As(err, &behind) || behind.Newest != 8 {
		t.Errorf("%v", err)
	}
	if history := l.History("b"); len(history) != 1 || history[0].Revision != 6 {
		t.Errorf("%+v: the current change must be in the history", history)
	}
}

// A watcher with a prefix reads more changes than fit into a batch. Batches are limited in bytes,
// and the next one must continue where the previous one ended, even if the prefix excludes changes
// in between.
func TestBatchesSkipNoChange(t *testing.T) {
	l := NewLog(Limits{Changes: 100, Bytes: 1 << 20})
	for _, name := range []string{"a/1", "b/1", "a/2", "b/2", "a/3"} {
		put(t, l, name, 100)
	}
	first, err := l.ReadAfter(0, "a/", 250)
	if err != nil || len(first.Changes) != 1 || first.Through != 2 {
		t.Fatalf("%+v, %v", first, err)
	}
	rest, err := l.ReadAfter(first.Through, "a/", 1000)
	if err != nil || len(rest.Changes) != 2 || rest.Through != 5 {
		t.Errorf("%+v, %v", rest, err)
	}
	progress, err := l.ReadAfter(5, "a/", 1000)
	if err != nil || len(progress.Changes) != 0 || progress.Through != 5 {
		t.Errorf("%+v, %v", progress, err)
	}
}

// A stored log is decoded to an equal log, byte for byte, as in a coordinator's snapshot. A log
// with a gap must be rejected; otherwise a coordinator could send watchers an incomplete history.
func TestStoredLogIsDecodedUnchanged(t *testing.T) {
	l := NewLog(Limits{Changes: 2, Bytes: 1000})
	for _, name := range []string{"a", "b", "c"} {
		put(t, l, name, 1)
	}
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	decoded := NewLog(Limits{Changes: 2, Bytes: 1000})
	if err := json.Unmarshal(text, decoded); err != nil {
		t.Fatal(err)
	}
	put(t, l, "d", 1)
	put(t, decoded, "d", 1)
	want, _ := json.Marshal(l)
	got, _ := json.Marshal(decoded)
	if !bytes.Equal(want, got) {
		t.Errorf("%s\n%s", want, got)
	}
	gap := bytes.Replace(text, []byte(`"compacted":1`), []byte(`"compacted":0`), 1)
	if err := json.Unmarshal(gap, decoded); err == nil {
		t.Error("a log with a gap was decoded")
	}
}

// Revisions are skipped after the permanent loss of a majority. Every watcher must get a snapshot,
// as a revision number could otherwise stand for a lost change at a watcher and for a new one in
// the log.
func TestSkippedRevisionsForceSnapshot(t *testing.T) {
	l := NewLog(Limits{Changes: 10, Bytes: 1000})
	put(t, l, "a", 1)
	l.SkipRevisions(100)
	var compacted *CompactedError
	if _, err := l.ReadAfter(1, "", 1000); !errors.As(err, &compacted) {
		t.Errorf("%v", err)
	}
	put(t, l, "b", 1)
	if got, err := l.ReadAfter(101, "", 1000); err != nil || len(got.Changes) != 1 || got.Through != 102 {
		t.Errorf("%+v, %v", got, err)
	}
}

// A batch that doesn't follow (with a gap, a repeated change, or an older snapshot) must change
// nothing. If a part of it were applied, the documents would be in a state that never existed.
func TestBatchThatDoesNotFollowChangesNothing(t *testing.T) {
	r, l := NewReplica(), NewLog(Limits{Changes: 10, Bytes: 1000})
	good := Batch{Through: 2, Changes: []Change{{Revision: 1, Name: "a"}, {Revision: 2, Name: "b"}}}
	if err := errors.Join(r.Apply(good), l.Extend(good)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []Batch{
		{After: 1, Through: 3},
		{After: 3, Through: 4},
		{After: 2, Through: 1},
		{After: 2, Through: 4, Changes: []Change{{Revision: 3, Name: "c"}, {Revision: 3, Name: "d"}}},
		{After: 2, Through: 3, Changes: []Change{{Revision: 4, Name: "c"}}},
		{After: 2, Through: 3, Changes: []Change{{Revision: 2, Name: "c"}}},
		{Snapshot: true, Through: 1},
	} {
		if r.Apply(bad) == nil || r.Revision() != 2 || len(r.Documents()) != 2 {
			t.Errorf("the replica accepted %+v", bad)
		}
		if l.Extend(bad) == nil || l.NewestRevision() != 2 || l.DocumentCount() != 2 {
			t.Errorf("the log accepted %+v", bad)
		}
	}
	if r.MarkApplied(9); r.Acknowledged() != 2 {
		t.Errorf("revision %d is acknowledged, want 2", r.Acknowledged())
	}
}
