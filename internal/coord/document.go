package coord

import (
	"fmt"
	"strings"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// The bounds of the agreed configuration.
const (
	MaxDocuments          = 1024
	MaxDocumentBytes      = 32 << 10 // of one document; in base64 it still fits a command's 64 KiB
	MaxTotalDocumentBytes = 4 << 20  // of all documents together, by watchlog.Change.Size
	MaxHistoryChanges     = 8192     // changes kept, of all documents: about a day's at the size to come
	MaxHistoryBytes       = 4 << 20  // of all changes kept, by watchlog.Change.Size
)

// DocumentVersion is that of the commands from which on there is an agreed configuration.
const DocumentVersion = 4

// recoveryRevisionGap lies above all changes that lost coordinators may have agreed on.
const recoveryRevisionGap = 1 << 32

// DocumentPut puts a document under a name, or deletes it, if its revision is still the expected one.
type DocumentPut struct {
	Name     string `json:"name"`
	Value    []byte `json:"value,omitempty"`
	Delete   bool   `json:"delete,omitempty"`
	Expected uint64 `json:"expected"` // the revision of the document that this one replaces; 0: there is none
}

func newDocumentLog() *watchlog.Log {
	return watchlog.NewLog(watchlog.Limits{Changes: HistoryLimit(), Bytes: MaxHistoryBytes})
}

// CheckDocumentName checks a document's name: letters, digits, dots, dashes, underscores and slashes.
func CheckDocumentName(name string) error {
	if text := checkName("name", name); text != "" {
		return fmt.Errorf("%s", text)
	}
	if strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_/") != "" {
		return fmt.Errorf("name: %q has other than letters, digits, dots, dashes, underscores and slashes", name)
	}
	return nil
}

// Revision is the newest of the agreed configuration, 0 until the first change.
func (s *State) Revision() uint64 {
	return s.Documents.Newest()
}

// ChangesAfter reads the agreed configuration's changes for a watcher: see watchlog.Log.After. Where they are compacted, it is a
// snapshot.
func (s *State) ChangesAfter(revision uint64, prefix string, maxBytes int) (watchlog.Batch, error) {
	if revision < s.Documents.Compacted() {
		return s.Documents.Snapshot(prefix), nil
	}
	return s.Documents.After(revision, prefix, maxBytes)
}

// putDocument carries out a change of the agreed configuration.
func (s *State) putDocument(c Command) Response {
	if s.Version < DocumentVersion {
		return RequiresVersion(s.Version, DocumentVersion)
	}
	put := c.Document
	if put == nil {
		return invalid("document: empty")
	}
	if err := CheckDocumentName(put.Name); err != nil {
		return invalid("%v", err)
	}
	if len(put.Value) > MaxDocumentBytes {
		return invalid("document %s: %d bytes, at most %d", put.Name, len(put.Value), MaxDocumentBytes)
	}
	if put.Delete && len(put.Value) > 0 {
		return invalid("document %s: a deletion has no value", put.Name)
	}
	current, exists := s.Documents.Document(put.Name)
	if current.Revision != put.Expected {
		return Response{Code: CodeConflict, Revision: current.Revision,
			Text: fmt.Sprintf("document %s: its revision is %d, and %d was expected", put.Name, current.Revision, put.Expected)}
	}
	if put.Delete && !exists {
		return invalid("document %s: there is none", put.Name)
	}
	change := watchlog.Change{Revision: s.Documents.Newest() + 1, Name: put.Name, Value: put.Value, Deleted: put.Delete}
	if text := s.documentLimitReached(change, current, exists); text != "" {
		return Response{Code: CodeLimitReached, Text: text}
	}
	if err := s.Documents.Append(change); err != nil {
		return invalid("%v", err)
	}
	s.documentBytes += documentSize(change, !change.Deleted) - documentSize(current, exists)
	return Response{Code: CodeOK, Revision: change.Revision}
}

// documentLimitReached names the bound that a change would pass, or is "".
func (s *State) documentLimitReached(change, current watchlog.Change, exists bool) string {
	if change.Deleted {
		return ""
	}
	if !exists && s.Documents.Len() >= MaxDocuments {
		return fmt.Sprintf("documents: %d at most", MaxDocuments)
	}
	if s.documentBytes+documentSize(change, true)-documentSize(current, exists) > MaxTotalDocumentBytes {
		return fmt.Sprintf("documents: %d bytes together at most", MaxTotalDocumentBytes)
	}
	return ""
}

func documentSize(c watchlog.Change, exists bool) int {
	if !exists {
		return 0
	}
	return c.Size()
}

// recountDocumentBytes adds up what a snapshot holds.
func (s *State) recountDocumentBytes() {
	s.documentBytes = 0
	for _, c := range s.Documents.Snapshot("").Changes {
		s.documentBytes += c.Size()
	}
}

// raiseRevision has all watchers take a snapshot of a revision that none of them can have.
func (s *State) raiseRevision() {
	if s.Version >= DocumentVersion {
		s.Documents.SkipRevisions(recoveryRevisionGap)
	}
}

// RequiresVersion answers a command that not all coordinators understand yet.
func RequiresVersion(inForce, needed int) Response {
	return invalid("version: %d is in force, and this wants %d: once all coordinators run this program, 'members upgrade'", inForce, needed)
}
