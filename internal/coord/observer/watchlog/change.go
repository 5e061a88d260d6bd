// Package watchlog is an ordered log of changes to named documents, with watches from a revision. It is
// deterministic, without I/O and without a clock. Coordinators and observers have a Log, which answers
// watches; routers have a Replica, which follows one. Each change has a revision of its own, one above
// the change before it. A watcher that asks for what the Log has compacted gets a snapshot.
package watchlog

// Change is one change to a document.
type Change struct {
	Revision uint64 `json:"revision"`
	Name     string `json:"name"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// changeOverhead is what a change costs in bytes beside its name and value: the JSON around them, and
// the struct in memory.
const changeOverhead = 96

// Size is what the change costs in bytes, by which batches and logs are bounded.
func (c Change) Size() int { return changeOverhead + len(c.Name) + len(c.Value) }

// Batch is what a watcher gets: the changes under its prefix after one revision through another, or a
// snapshot. A batch without changes is a progress notice of the newest revision.
type Batch struct {
	After uint64 `json:"after"` // the revision that the changes follow
	// Through is the revision up to which the receiver has everything with the batch.
	Through uint64 `json:"through"`
	// Snapshot says that Changes are all documents; what isn't among them is deleted.
	Snapshot bool     `json:"snapshot,omitempty"`
	Changes  []Change `json:"changes,omitempty"` // by revision, each higher than the one before
}
