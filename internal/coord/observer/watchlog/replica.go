package watchlog

import (
	"cmp"
	"maps"
	"slices"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Replica has the documents of one prefix as a router has them, from the batches of any chain of logs.
// Its revision never goes back.
type Replica struct {
	documents map[string]Change // by name
	revision  uint64            // through which it is complete
	applied   uint64            // that the router applied last
}

// NewReplica returns an empty one, at revision 0.
func NewReplica() *Replica { return &Replica{documents: map[string]Change{}} }

// Revision is the one through which the replica is complete, and from which to watch.
func (r *Replica) Revision() uint64 { return r.revision }

// Documents are all documents, by name.
func (r *Replica) Documents() []Change {
	documents := slices.Collect(maps.Values(r.documents))
	slices.SortFunc(documents, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return documents
}

// Apply applies a batch, completely or not at all. The error is a StaleError for a snapshot that is older
// than the replica, or a GapError for changes that don't follow it; after either the watcher asks another
// observer, from Revision.
func (r *Replica) Apply(batch Batch) error {
	if batch.Snapshot {
		return r.restore(batch)
	}
	if batch.After != r.revision || batch.Through < batch.After {
		return &GapError{Current: r.revision, Got: batch.After + 1}
	}
	last := r.revision
	for _, c := range batch.Changes {
		if c.Revision <= last && !failpoint.Is("change-delivered-twice") {
			return &GapError{Current: last, Got: c.Revision}
		}
		if c.Revision > batch.Through {
			return &GapError{Current: batch.Through, Got: c.Revision}
		}
		last = c.Revision
	}
	for _, c := range batch.Changes {
		if c.Deleted {
			delete(r.documents, c.Name)
		} else {
			r.documents[c.Name] = c
		}
	}
	r.revision = batch.Through
	return nil
}

func (r *Replica) restore(batch Batch) error {
	if batch.Through < r.revision && !failpoint.Is("snapshot-older") {
		return &StaleError{Current: r.revision, Got: batch.Through}
	}
	r.documents = make(map[string]Change, len(batch.Changes))
	for _, c := range batch.Changes {
		r.documents[c.Name] = c
	}
	r.revision = batch.Through
	return nil
}

// MarkApplied records that the router has applied the documents through the revision.
func (r *Replica) MarkApplied(revision uint64) { r.applied = max(r.applied, min(revision, r.revision)) }

// Acknowledged is the revision to acknowledge: the one that the router has applied.
func (r *Replica) Acknowledged() uint64 {
	if failpoint.Is("acknowledged-early") {
		return r.revision
	}
	return r.applied
}
