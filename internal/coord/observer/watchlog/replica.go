package watchlog

import (
	"cmp"
	"maps"
	"slices"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Replica holds the documents of one prefix as a router has them, by the batches of any chain of logs. It never goes back.
type Replica struct {
	documents map[string]Change
	revision  uint64 // through which all is held
	applied   uint64 // the revision that was in force last
}

// NewReplica returns one that holds nothing, at revision 0.
func NewReplica() *Replica { return &Replica{documents: map[string]Change{}} }

// Revision is the one through which all is held, and from which to watch.
func (r *Replica) Revision() uint64 { return r.revision }

// Documents are all that are held, by name.
func (r *Replica) Documents() []Change {
	documents := slices.Collect(maps.Values(r.documents))
	slices.SortFunc(documents, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return documents
}

// Apply takes a batch, whole or not at all. A snapshot older than what is held is a StaleError, changes that don't follow what is
// held are a GapError; after either the watcher asks another observer, from Revision.
func (r *Replica) Apply(batch Batch) error {
	if batch.Snapshot {
		return r.restore(batch)
	}
	if batch.After != r.revision || batch.Through < batch.After {
		return &GapError{Current: r.revision, Got: batch.After + 1}
	}
	held := r.revision
	for _, c := range batch.Changes {
		if c.Revision <= held && !failpoint.Is("change-delivered-twice") {
			return &GapError{Current: held, Got: c.Revision}
		}
		if c.Revision > batch.Through {
			return &GapError{Current: batch.Through, Got: c.Revision}
		}
		held = c.Revision
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

// MarkApplied tells that the documents through the revision are in force.
func (r *Replica) MarkApplied(revision uint64) { r.applied = max(r.applied, min(revision, r.revision)) }

// Acknowledged is the revision to acknowledge: the one that is in force.
func (r *Replica) Acknowledged() uint64 {
	if failpoint.Is("acknowledged-early") {
		return r.revision
	}
	return r.applied
}
