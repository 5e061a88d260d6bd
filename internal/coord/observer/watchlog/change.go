// Package watchlog is an ordered log of changes to named documents, with watches from a revision: a pure machine without I/O and
// clock. Coordinators and observers hold a Log, which answers watches; routers hold a Replica, which follows one. Each change has
// a revision of its own, one above the change before it. A watcher that asks for what the Log has compacted gets a snapshot.
package watchlog

import "fmt"

// Change is one change to a document.
type Change struct {
	Revision uint64 `json:"revision"`
	Name     string `json:"name"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// changeOverhead is what a change costs in bytes beside its name and value: the JSON around them, and the struct in memory.
const changeOverhead = 96

// Size is what the change costs in bytes, by which batches and logs are bounded.
func (c Change) Size() int { return changeOverhead + len(c.Name) + len(c.Value) }

// Batch is what a watcher gets: the changes under its prefix after one revision through another, or a snapshot. A batch without
// changes is a progress notice: it tells the newest revision.
type Batch struct {
	After    uint64   `json:"after"`              // the revision that the changes follow
	Through  uint64   `json:"through"`            // with the batch, the receiver has everything up to this revision
	Snapshot bool     `json:"snapshot,omitempty"` // Changes are all documents; what isn't among them is not there
	Changes  []Change `json:"changes,omitempty"`  // by revision, each higher than the one before
}

// CompactedError answers who asks for changes that the log no longer has: only a snapshot helps.
type CompactedError struct{ After, Compacted uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes after revision %d: those through %d are compacted", e.After, e.Compacted)
}

// BehindError answers who has a newer revision than the log: the log is that of a stale observer.
type BehindError struct{ After, Newest uint64 }

func (e *BehindError) Error() string {
	return fmt.Sprintf("changes after revision %d: the newest here is %d", e.After, e.Newest)
}

// GapError tells that a change or batch doesn't follow what is held.
type GapError struct{ Current, Got uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("change of revision %d: it doesn't follow revision %d, which is held", e.Got, e.Current)
}

// StaleError tells that a snapshot is older than what is held.
type StaleError struct{ Current, Got uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("snapshot of revision %d: revision %d is held", e.Got, e.Current)
}
