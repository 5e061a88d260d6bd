package coord

import (
	"fmt"
	"strings"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// The bounds of the agreed configuration.
const (
	MaxDocuments      = 1024
	MaxDocumentBytes  = 32 << 10 // of one document; in base64 it still fits a command's 64 KiB
	MaxDocumentsBytes = 4 << 20  // of all documents together, by watchlog.Change.Size
	MaxHistory        = 8192     // changes kept, of all documents: about a day's at the size to come
	MaxHistoryBytes   = 4 << 20  // of all changes kept, by watchlog.Change.Size
)

// DocumentVersion is that of the commands from which on there is an agreed configuration.
const DocumentVersion = 4

// raisedRevisions lies above all changes that lost coordinators may have agreed on.
const raisedRevisions = 1 << 32

// DocumentPut puts a document under a name, or deletes it, if its revision is still the expected one.
type DocumentPut struct {
	Name     string `json:"name"`
	Value    []byte `json:"value,omitempty"`
	Delete   bool   `json:"delete,omitempty"`
	Expected uint64 `json:"expected"` // the revision of the document that this one replaces; 0: there is none
}

func newChanges() *watchlog.Log {
	return watchlog.NewLog(watchlog.Limits{Changes: HistoryLimit(), Bytes: MaxHistoryBytes})
}

// CheckDocumentName checks a document's name: letters, digits, dots, dashes, underscores and slashes.
func CheckDocumentName(name string) error {
	if text := named("name", name); text != "" {
		return fmt.Errorf("%s", text)
	}
	if strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_/") != "" {
		return fmt.Errorf("name: %q has other than letters, digits, dots, dashes, underscores and slashes", name)
	}
	return nil
}

// Revision is the newest of the agreed configuration, 0 until the first change.
func (s *State) Revision() uint64 {
	return s.Changes.Newest()
}

// ChangesAfter reads the agreed configuration's changes for a watcher: see watchlog.Log.After. Where they are compacted, it is a
// snapshot.
func (s *State) ChangesAfter(revision uint64, prefix string, maxBytes int) (watchlog.Batch, error) {
	if revision < s.Changes.Compacted() {
		return s.Changes.Snapshot(prefix), nil
	}
	return s.Changes.After(revision, prefix, maxBytes)
}

// put carries out a change of the agreed configuration.
func (s *State) put(c Command) Answer {
	if s.V < DocumentVersion {
		return NeedsVersion(s.V, DocumentVersion)
	}
	put := c.Document
	if put == nil {
		return bad("document: empty")
	}
	if err := CheckDocumentName(put.Name); err != nil {
		return bad("%v", err)
	}
	if len(put.Value) > MaxDocumentBytes {
		return bad("document %s: %d bytes, at most %d", put.Name, len(put.Value), MaxDocumentBytes)
	}
	if put.Delete && len(put.Value) > 0 {
		return bad("document %s: a deletion has no value", put.Name)
	}
	current, exists := s.Changes.Document(put.Name)
	if current.Revision != put.Expected {
		return Answer{Code: Conflict, Revision: current.Revision,
			Text: fmt.Sprintf("document %s: its revision is %d, and %d was expected", put.Name, current.Revision, put.Expected)}
	}
	if put.Delete && !exists {
		return bad("document %s: there is none", put.Name)
	}
	change := watchlog.Change{Revision: s.Changes.Newest() + 1, Name: put.Name, Value: put.Value, Deleted: put.Delete}
	if text := s.documentRoom(change, current, exists); text != "" {
		return Answer{Code: Full, Text: text}
	}
	if err := s.Changes.Append(change); err != nil {
		return bad("%v", err)
	}
	s.docs += documentSize(change, !change.Deleted) - documentSize(current, exists)
	return Answer{Code: OK, Revision: change.Revision}
}

// documentRoom names the bound that a change would pass, or is "".
func (s *State) documentRoom(change, current watchlog.Change, exists bool) string {
	if change.Deleted {
		return ""
	}
	if !exists && s.Changes.Len() >= MaxDocuments {
		return fmt.Sprintf("documents: %d at most", MaxDocuments)
	}
	if s.docs+documentSize(change, true)-documentSize(current, exists) > MaxDocumentsBytes {
		return fmt.Sprintf("documents: %d bytes together at most", MaxDocumentsBytes)
	}
	return ""
}

func documentSize(c watchlog.Change, exists bool) int {
	if !exists {
		return 0
	}
	return c.Size()
}

// restoredDocuments adds up what a snapshot holds.
func (s *State) restoredDocuments() {
	s.docs = 0
	for _, c := range s.Changes.Snapshot("").Changes {
		s.docs += c.Size()
	}
}

// raiseRevision has all watchers take a snapshot of a revision that none of them can have.
func (s *State) raiseRevision() {
	if s.V >= DocumentVersion {
		s.Changes.Raise(raisedRevisions)
	}
}

// NeedsVersion answers a command that not all coordinators understand yet.
func NeedsVersion(inForce, needed int) Answer {
	return bad("version: %d is in force, and this wants %d: once all coordinators run this program, 'members upgrade'", inForce, needed)
}
