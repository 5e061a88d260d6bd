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

// Limits bound what a Log keeps of past changes. Its documents are bounded by who appends.
type Limits struct {
	Changes int // at most this many
	Bytes   int // at most this much, by Change.Size; the newest change is kept whatever its size
}

// Log is the state of all documents with the newest changes that led to it. Its cost of a watcher is nothing: a watcher is a
// revision, from which After reads. The zero Log isn't ready; NewLog makes one.
type Log struct {
	limits    Limits
	documents map[string]Change // nil until the first
	changes   []Change          // those after compacted through newest, without a gap
	bytes     int               // of changes
	compacted uint64
	newest    uint64
}

// NewLog returns an empty log.
func NewLog(limits Limits) *Log { return &Log{limits: limits} }

// Newest is the revision of the newest change, 0 where there was none.
func (l *Log) Newest() uint64 { return l.newest }

// Compacted is the revision through which changes are gone.
func (l *Log) Compacted() uint64 { return l.compacted }

// IsZero reports whether there was never a change.
func (l *Log) IsZero() bool { return l == nil || l.newest == 0 }

// Len is how many documents there are.
func (l *Log) Len() int { return len(l.documents) }

// Document is the newest change of the document, false where it isn't there.
func (l *Log) Document(name string) (Change, bool) {
	c, ok := l.documents[name]
	return c, ok
}

// History are the changes of a document that the log still has, the oldest first. The newest is among them also where the log
// has compacted it.
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

// Append adds the next change; its revision must be one above the newest.
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

// enforceLimits compacts the oldest changes once a bound is passed.
func (l *Log) enforceLimits() {
	through, count, bytes := l.compacted, len(l.changes), l.bytes
	for _, c := range l.changes {
		if count <= l.limits.Changes && bytes <= l.limits.Bytes || count <= 1 {
			break
		}
		through, count, bytes = c.Revision, count-1, bytes-c.Size()
	}
	l.Compact(through)
}

// Compact forgets the changes through a revision. The documents stay.
func (l *Log) Compact(through uint64) {
	through = min(through, l.newest)
	if through <= l.compacted {
		return
	}
	gone := int(through - l.compacted)
	for _, c := range l.changes[:gone] {
		l.bytes -= c.Size()
	}
	l.changes = slices.Delete(l.changes, 0, gone)
	l.compacted = through
}

// SkipRevisions lifts the newest revision, after changes were lost for good, above all that the lost ones may have had. Every watcher
// gets a snapshot.
func (l *Log) SkipRevisions(by uint64) {
	l.newest += by
	l.changes, l.bytes, l.compacted = nil, 0, l.newest
}

// After reads what follows a revision, for who takes the documents whose names begin with prefix. The batch has at most maxBytes
// of changes, but at least one where there is one. A CompactedError asks for a snapshot instead; a BehindError tells that this
// log is stale for the watcher.
func (l *Log) After(revision uint64, prefix string, maxBytes int) (Batch, error) {
	switch {
	case revision > l.newest:
		return Batch{}, &BehindError{After: revision, Newest: l.newest}
	case revision < l.compacted:
		return Batch{}, &CompactedError{After: revision, Compacted: l.compacted}
	}
	batch := Batch{After: revision, Through: l.newest}
	first := int(revision - l.compacted)
	if failpoint.Is("change-delivered-twice") && prefix != "" && first > 0 { // Extend would refuse it without a prefix
		first--
	}
	if failpoint.Is("change-skipped") && prefix != "" && len(l.changes)-first > 1 {
		first++
	}
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

// Snapshot is the state of all documents whose names begin with prefix.
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

// Extend takes a batch of another log, read without a prefix, whole or not at all.
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

// restore replaces all by a snapshot that is newer.
func (l *Log) restore(batch Batch) error {
	if batch.Through < l.newest && !failpoint.Is("snapshot-older") {
		return &StaleError{Current: l.newest, Got: batch.Through}
	}
	if batch.Through == l.newest {
		return nil
	}
	l.documents = make(map[string]Change, len(batch.Changes))
	for _, c := range batch.Changes {
		l.documents[c.Name] = c
	}
	l.changes, l.bytes = nil, 0
	l.compacted, l.newest = batch.Through, batch.Through
	return nil
}

// Clone is a copy that shares nothing that changes; values of documents never do.
func (l *Log) Clone() *Log {
	c := *l
	c.documents, c.changes = maps.Clone(l.documents), slices.Clone(l.changes)
	return &c
}

// stored is a Log as it stands in a file.
type stored struct {
	Compacted uint64            `json:"compacted"`
	Newest    uint64            `json:"newest"`
	Documents map[string]Change `json:"documents"`
	Changes   []Change          `json:"changes,omitempty"`
}

// MarshalJSON writes the log whole. Equal logs give equal bytes.
func (l *Log) MarshalJSON() ([]byte, error) {
	documents := l.documents
	if documents == nil {
		documents = map[string]Change{}
	}
	return json.Marshal(stored{l.compacted, l.newest, documents, l.changes})
}

// UnmarshalJSON reads a log, and refuses one whose changes have a gap. The limits stay as they are.
func (l *Log) UnmarshalJSON(text []byte) error {
	var s stored
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
	l.compacted, l.newest, l.documents, l.changes, l.bytes = s.Compacted, s.Newest, s.Documents, s.Changes, bytes
	return nil
}
