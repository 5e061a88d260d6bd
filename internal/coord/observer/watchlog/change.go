// Package watchlog is an ordered log of changes to named documents that can be watched from a
// revision. Coordinators and observers have a Log, which serves watches; routers have a Replica,
// which follows one. Each change has its own revision, one above that of the previous change. A
// watcher that requests changes which the Log has compacted gets a snapshot. The package is
// deterministic, without I/O and without a clock.
package watchlog

// Change is one change of a document.
type Change struct {
	Revision uint64 `json:"revision"`
	Name     string `json:"name"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// changeOverhead is the cost of a change in bytes in addition to its name and value: the JSON
// around them and the struct in memory.
const changeOverhead = 96

// Size returns the cost of the change in bytes, by which batches and logs are limited.
func (c Change) Size() int { return changeOverhead + len(c.Name) + len(c.Value) }

// Batch is an update for a watcher: the changes under its prefix after one revision up to another,
// or a snapshot. A batch without changes is a progress notice.
type Batch struct {
	After uint64 `json:"after"` // the revision that the changes follow
	// Through is the revision up to which the receiver is complete after applying the batch.
	Through uint64 `json:"through"`
	// Snapshot is set if Changes are all documents; documents that are not among them are deleted.
	Snapshot bool     `json:"snapshot,omitempty"`
	Changes  []Change `json:"changes,omitempty"` // by ascending revision
}
