package watchlog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Limits bound the past changes that a Log keeps. The caller of Append must bound the documents.
type Limits struct {
	Changes int // maximum number
	Bytes   int // maximum total Change.Size; the newest change is kept even if it is larger
}

// Log is the state of all documents with the most recent changes that led to it. It keeps no state
// per watcher: a watcher is a revision after which it reads with ReadAfter. Use NewLog to create a
// Log. Its methods must not be called concurrently.
type Log struct {
	limits    Limits
	documents map[string]Change // nil until the first change
	changes   []Change          // the changes after compacted up to newest, without a gap
	bytes     int               // total size of changes
	compacted uint64
	newest    uint64
}

// NewLog returns an empty log.
func NewLog(limits Limits) *Log { return &Log{limits: limits} }

// NewestRevision returns the revision of the newest change, or 0 if there was none.
func (l *Log) NewestRevision() uint64 { return l.newest }

// CompactedRevision returns the revision up to which changes are no longer kept.
func (l *Log) CompactedRevision() uint64 { return l.compacted }

// IsZero reports whether there has been no change.
func (l *Log) IsZero() bool { return l == nil || l.newest == 0 }

// DocumentCount returns the number of documents.
func (l *Log) DocumentCount() int { return len(l.documents) }

// Document returns the newest change of a document, or false if the document doesn't exist.
func (l *Log) Document(name string) (Change, bool) {
	c, ok := l.documents[name]
	return c, ok
}

// History returns the retained changes of a document, the oldest first. It includes the current
// change even if the log has compacted it.
func (l *Log) History(name string) []Change {
	var history []Change
	for _, c := range l.changes {
		if c.Name == name {
			history = append(history, c)
		}
	}
	if current, ok := l.documents[name]; ok && len(history) == 0 {
		history = append(history, current)
	}
	return history
}

// Append adds the next change. Its revision must be one above the newest, or the error is a
// GapError.
func (l *Log) Append(c Change) error {
	if c.Revision != l.newest+1 {
		return &GapError{Current: l.newest, Got: c.Revision}
	}
	l.newest = c.Revision
	if l.documents == nil {
		l.documents = map[string]Change{}
	}
	if c.Deleted {
		delete(l.documents, c.Name)
	} else {
		l.documents[c.Name] = c
	}
	l.changes = append(l.changes, c)
	l.bytes += c.Size()
	l.enforceLimits()
	return nil
}

// enforceLimits compacts the oldest changes while a limit is exceeded.
func (l *Log) enforceLimits() {
	through := l.compacted
	count := len(l.changes)
	bytes := l.bytes
	for _, c := range l.changes {
		isWithin := count <= l.limits.Changes && bytes <= l.limits.Bytes
		if isWithin || count <= 1 {
			break
		}
		through = c.Revision
		count--
		bytes -= c.Size()
	}
	l.Compact(through)
}

// Compact discards the changes up to a revision. The documents stay.
func (l *Log) Compact(through uint64) {
	through = min(through, l.newest)
	if through <= l.compacted {
		return
	}
	compacted := int(through - l.compacted)
	for _, c := range l.changes[:compacted] {
		l.bytes -= c.Size()
	}
	l.changes = slices.Delete(l.changes, 0, compacted)
	l.compacted = through
}

// SkipRevisions raises the newest revision after a permanent loss of changes, above all revisions
// that the lost changes may have. Every watcher then gets a snapshot.
func (l *Log) SkipRevisions(by uint64) {
	l.newest += by
	l.changes = nil
	l.bytes = 0
	l.compacted = l.newest
}

// ReadAfter returns the changes after a revision to documents whose names begin with prefix. The
// batch has at most maxBytes of changes, but at least one change if there is any. The error is a
// CompactedError, after which the caller must send a Snapshot, or a BehindError, if the watcher's
// revision is newer than the log's.
func (l *Log) ReadAfter(revision uint64, prefix string, maxBytes int) (Batch, error) {
	switch {
	case revision > l.newest:
		return Batch{}, &BehindError{After: revision, Newest: l.newest}
	case revision < l.compacted:
		return Batch{}, &CompactedError{After: revision, Compacted: l.compacted}
	}
	batch := Batch{After: revision, Through: l.newest}
	first := l.injectFault(int(revision-l.compacted), prefix)
	bytes := 0
	for _, c := range l.changes[first:] {
		if !strings.HasPrefix(c.Name, prefix) {
			continue
		}
		if bytes > 0 && bytes+c.Size() > maxBytes {
			batch.Through = c.Revision - 1
			break
		}
		bytes += c.Size()
		batch.Changes = append(batch.Changes, c)
	}
	return batch, nil
}

// injectFault moves the first change that ReadAfter returns, for the mutants of delivery. They only
// affect batches with a prefix: Extend, which takes batches without one, would reject a gap or a
// repeated change.
func (l *Log) injectFault(first int, prefix string) int {
	if prefix == "" {
		return first
	}
	if failpoint.IsInjected("change-delivered-twice") && first > 0 {
		return first - 1
	}
	if failpoint.IsInjected("change-skipped") && len(l.changes)-first > 1 {
		return first + 1
	}
	return first
}

// Snapshot returns all documents whose names begin with prefix.
func (l *Log) Snapshot(prefix string) Batch {
	batch := Batch{Through: l.newest, Snapshot: true}
	for name, c := range l.documents {
		if strings.HasPrefix(name, prefix) {
			batch.Changes = append(batch.Changes, c)
		}
	}
	slices.SortFunc(batch.Changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return batch
}

// Extend appends a batch of another log, completely or not at all. The batch must have been read
// without a prefix. The error is a GapError or a StaleError.
func (l *Log) Extend(batch Batch) error {
	if batch.Snapshot {
		return l.restore(batch)
	}
	if batch.After != l.newest {
		return &GapError{Current: l.newest, Got: batch.After + 1}
	}
	for i, c := range batch.Changes {
		if want := l.newest + 1 + uint64(i); c.Revision != want {
			return &GapError{Current: want - 1, Got: c.Revision}
		}
	}
	if want := l.newest + uint64(len(batch.Changes)); batch.Through != want {
		return &GapError{Current: want, Got: batch.Through}
	}
	for _, c := range batch.Changes {
		if err := l.Append(c); err != nil {
			return err
		}
	}
	return nil
}

// restore replaces the content with a snapshot that is newer.
func (l *Log) restore(batch Batch) error {
	if batch.Through < l.newest && !failpoint.IsInjected("snapshot-older") {
		return &StaleError{Current: l.newest, Got: batch.Through}
	}
	if batch.Through == l.newest {
		return nil
	}
	l.documents = make(map[string]Change, len(batch.Changes))
	for _, c := range batch.Changes {
		l.documents[c.Name] = c
	}
	l.changes = nil
	l.bytes = 0
	l.compacted = batch.Through
	l.newest = batch.Through
	return nil
}

// Clone returns a copy that shares no mutable data. The values of documents are never changed.
func (l *Log) Clone() *Log {
	c := *l
	c.documents = maps.Clone(l.documents)
	c.changes = slices.Clone(l.changes)
	return &c
}

// storedLog is the stored form of a Log.
type storedLog struct {
	Compacted uint64            `json:"compacted"`
	Newest    uint64            `json:"newest"`
	Documents map[string]Change `json:"documents"`
	Changes   []Change          `json:"changes,omitempty"`
}

// MarshalJSON encodes the complete log. Equal logs give equal bytes.
func (l *Log) MarshalJSON() ([]byte, error) {
	documents := l.documents
	if documents == nil {
		documents = map[string]Change{}
	}
	return json.Marshal(storedLog{l.compacted, l.newest, documents, l.changes})
}

// UnmarshalJSON decodes a log and rejects one whose changes have a gap. The limits are not changed.
func (l *Log) UnmarshalJSON(text []byte) error {
	var s storedLog
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Newest-s.Compacted != uint64(len(s.Changes)) {
		return fmt.Errorf("changes: %d from revision %d through %d", len(s.Changes), s.Compacted, s.Newest)
	}
	bytes := 0
	for i, c := range s.Changes {
		if want := s.Compacted + 1 + uint64(i); c.Revision != want {
			return &GapError{Current: want - 1, Got: c.Revision}
		}
		bytes += c.Size()
	}
	if s.Documents == nil {
		s.Documents = map[string]Change{}
	}
	l.compacted = s.Compacted
	l.newest = s.Newest
	l.documents = s.Documents
	l.changes = s.Changes
	l.bytes = bytes
	return nil
}
