package coord

import (
	"errors"
	"fmt"
	"strings"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// The limits of the agreed documents.
const (
	MaxDocuments          = 1024
	MaxDocumentBytes      = 32 << 10 // of one document; in base64 it still fits a command of 64 KiB
	MaxTotalDocumentBytes = 4 << 20  // of all documents, by watchlog.Change.Size
	MaxHistoryChanges     = 8192     // of all documents, kept for watchers that come back
	MaxHistoryBytes       = 4 << 20  // of all changes kept, by watchlog.Change.Size
)

// recoveryRevisionGap is by how much the revision rises when a majority was lost for good: above
// every change that the lost coordinators may have agreed on. Without it a watcher could have a
// revision of theirs and never see the new change under the same number.
const recoveryRevisionGap = 1 << 32

const documentNameCharacters = "abcdefghijklmnopqrstuvwxyz" + "ABCDEFGHIJKLMNOPQRSTUVWXYZ" + "0123456789" + ".-_/"

// DocumentPut puts a document under a name, or deletes it, if its revision is still the expected one.
type DocumentPut struct {
	Name   string `json:"name"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Expected is the revision of the document that this one replaces; 0: there is none.
	Expected uint64 `json:"expected"`
}

func newDocumentLog() *watchlog.Log {
	return watchlog.NewLog(watchlog.Limits{Changes: HistoryLimit(), Bytes: MaxHistoryBytes})
}

// CheckDocumentName checks a document's name: letters, digits, dots, dashes, underscores and slashes.
func CheckDocumentName(name string) error {
	if problem := checkName("name", name); problem != "" {
		return errors.New(problem)
	}
	if strings.Trim(name, documentNameCharacters) != "" {
		return fmt.Errorf("name: %q has other than letters, digits, dots, dashes, underscores and slashes", name)
	}
	return nil
}

// Revision is that of the newest change of any document; 0 until the first.
func (s *State) Revision() uint64 {
	return s.Documents.Newest()
}

// ChangesAfter reads the changes after a revision for a watcher (see watchlog.Log.After), or a
// snapshot where they are compacted.
func (s *State) ChangesAfter(revision uint64, prefix string, maxBytes int) (watchlog.Batch, error) {
	if revision < s.Documents.Compacted() {
		return s.Documents.Snapshot(prefix), nil
	}
	return s.Documents.After(revision, prefix, maxBytes)
}

// putDocument carries out a change of a document.
func (s *State) putDocument(c Command) Response {
	if response, awaits := s.AwaitsUpgrade(c); awaits {
		return response
	}
	put := c.Document
	if put == nil {
		return invalid("document: empty")
	}
	if err := put.check(); err != nil {
		return invalid("%v", err)
	}
	current, exists := s.Documents.Document(put.Name)
	if current.Revision != put.Expected {
		text := fmt.Sprintf("document %s: its revision is %d, and %d was expected",
			put.Name, current.Revision, put.Expected)
		return Response{Code: CodeConflict, Revision: current.Revision, Text: text}
	}
	if put.Delete && !exists {
		return invalid("document %s: there is none", put.Name)
	}
	change := watchlog.Change{
		Revision: s.Documents.Newest() + 1,
		Name:     put.Name,
		Value:    put.Value,
		Deleted:  put.Delete,
	}
	growth := documentSize(change, !change.Deleted) - documentSize(current, exists)
	if limit := s.documentLimitReached(change, growth, exists); limit != "" {
		return Response{Code: CodeLimitReached, Text: limit}
	}
	if err := s.Documents.Append(change); err != nil {
		return invalid("%v", err)
	}
	s.documentBytes += growth
	return Response{Code: CodeOK, Revision: change.Revision}
}

// check says what is wrong with the change whatever the state.
func (put *DocumentPut) check() error {
	if err := CheckDocumentName(put.Name); err != nil {
		return err
	}
	if len(put.Value) > MaxDocumentBytes {
		return fmt.Errorf("document %s: %d bytes, at most %d", put.Name, len(put.Value), MaxDocumentBytes)
	}
	if put.Delete && len(put.Value) > 0 {
		return fmt.Errorf("document %s: a deletion has no value", put.Name)
	}
	return nil
}

// documentLimitReached names the limit that a change would pass, or is "".
func (s *State) documentLimitReached(change watchlog.Change, growth int, exists bool) string {
	if change.Deleted {
		return ""
	}
	if !exists && s.Documents.Len() >= MaxDocuments {
		return fmt.Sprintf("documents: %d at most", MaxDocuments)
	}
	if s.documentBytes+growth > MaxTotalDocumentBytes {
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

// raiseRevision makes every watcher take a snapshot, of a revision that none of them can have.
func (s *State) raiseRevision() {
	if s.Version >= DocumentVersion {
		s.Documents.SkipRevisions(recoveryRevisionGap)
	}
}
