package watchlog

import (
	"cmp"
	"maps"
	"slices"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Replica has a router's copy of the documents under one prefix. It applies batches of any
// observers' logs. Its revision never decreases. Its methods must not be called concurrently.
type Replica struct {
	documents map[string]Change // by name
	revision  uint64            // up to which it is complete
	applied   uint64            // that the router has applied
}

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica { return &Replica{documents: map[string]Change{}} }

// Revision returns the revision up to which the replica is complete, from which to watch.
func (r *Replica) Revision() uint64 { return r.revision }

// Documents returns all documents, sorted by name.
func (r *Replica) Documents() []Change {
	documents := slices.Collect(maps.Values(r.documents))
	slices.SortFunc(documents, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return documents
}

// Apply applies a batch completely or not at all. The error is a StaleError for a snapshot that is
// older than the replica, or a GapError for changes that don't follow it. After either the watcher
// must ask another observer for what follows Revision.
func (r *Replica) Apply(batch Batch) error {
	if batch.Snapshot {
		return r.restore(batch)
	}
	if batch.After != r.revision || batch.Through < batch.After {
		return &GapError{Current: r.revision, Got: batch.After + 1}
	}
	last := r.revision
	for _, c := range batch.Changes {
		if c.Revision <= last && !failpoint.IsInjected("change-delivered-twice") {
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
	if batch.Through < r.revision && !failpoint.IsInjected("snapshot-older") {
		return &StaleError{Current: r.revision, Got: batch.Through}
	}
	r.documents = make(map[string]Change, len(batch.Changes))
	for _, c := range batch.Changes {
		r.documents[c.Name] = c
	}
	r.revision = batch.Through
	return nil
}

// MarkApplied records that the router has applied the documents up to the revision.
func (r *Replica) MarkApplied(revision uint64) { r.applied = max(r.applied, min(revision, r.revision)) }

// Acknowledged returns the revision to acknowledge, which is the one that the router has applied.
func (r *Replica) Acknowledged() uint64 {
	if failpoint.IsInjected("acknowledged-early") {
		return r.revision
	}
	return r.applied
}
