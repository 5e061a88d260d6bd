package coord

import (
	"errors"
	"fmt"
	"strings"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
)

// Limits of the agreed documents.
const (
	MaxDocuments          = 1024
	MaxDocumentBytes      = 32 << 10 // of one document; in base64 it still fits into a command of 64 KiB
	MaxTotalDocumentBytes = 4 << 20  // of all documents, by watchlog.Change.Size
	MaxHistoryChanges     = 8192     // of all documents, kept for watchers that reconnect
	MaxHistoryBytes       = 4 << 20  // of all changes kept, by watchlog.Change.Size
)

// recoveryRevisionGap is how much the revision rises after the permanent loss of a majority: above
// every change that the lost coordinators may have committed. Without the gap a watcher could
// already hold a lost change and never receive the new change with the same revision.
const recoveryRevisionGap = 1 << 32

const documentNameCharacters = "abcdefghijklmnopqrstuvwxyz" + "ABCDEFGHIJKLMNOPQRSTUVWXYZ" + "0123456789" + ".-_/"

// DocumentPut sets or deletes a document if its revision is still the expected one.
type DocumentPut struct {
	Name   string `json:"name"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// Expected is the current revision of the document, or 0 if it must not exist.
	Expected uint64 `json:"expected"`
}

func newDocumentLog() *watchlog.Log {
	return watchlog.NewLog(watchlog.Limits{Changes: HistoryLimit(), Bytes: MaxHistoryBytes})
}

// CheckDocumentName returns an error unless the name is 1 to MaxNameBytes letters, digits, dots,
// dashes, underscores and slashes.
func CheckDocumentName(name string) error {
	if problem := checkName("name", name); problem != "" {
		return errors.New(problem)
	}
	if strings.Trim(name, documentNameCharacters) != "" {
		return fmt.Errorf("name: %q has other than letters, digits, dots, dashes, underscores and slashes", name)
	}
	return nil
}

// Revision returns the revision of the most recent change to any document, or 0 before the first.
func (s *State) Revision() uint64 {
	return s.Documents.NewestRevision()
}

// ChangesAfter returns the changes after a revision for a watcher (see watchlog.Log.ReadAfter), or
// a snapshot if they are compacted.
func (s *State) ChangesAfter(revision uint64, prefix string, maxBytes int) (watchlog.Batch, error) {
	if revision < s.Documents.CompactedRevision() {
		return s.Documents.Snapshot(prefix), nil
	}
	return s.Documents.ReadAfter(revision, prefix, maxBytes)
}

// putDocument executes a change of a document.
func (s *State) putDocument(c Command) Response {
	if response, isRequired := s.RequiresUpgrade(c); isRequired {
		return response
	}
	put := c.Document
	if put == nil {
		return invalidResponse("document: empty")
	}
	if err := put.check(); err != nil {
		return invalidResponse("%v", err)
	}
	current, exists := s.Documents.Document(put.Name)
	if current.Revision != put.Expected {
		text := fmt.Sprintf("document %s: its revision is %d, and %d was expected",
			put.Name, current.Revision, put.Expected)
		return Response{Code: CodeConflict, Revision: current.Revision, Text: text}
	}
	if put.Delete && !exists {
		return invalidResponse("document %s: there is none", put.Name)
	}
	change := watchlog.Change{
		Revision: s.Documents.NewestRevision() + 1,
		Name:     put.Name,
		Value:    put.Value,
		Deleted:  put.Delete,
	}
	growth := documentSize(change, !change.Deleted) - documentSize(current, exists)
	if limit := s.documentLimitReached(change, growth, exists); limit != "" {
		return Response{Code: CodeLimitReached, Text: limit}
	}
	if err := s.Documents.Append(change); err != nil {
		return invalidResponse("%v", err)
	}
	s.documentBytes += growth
	return Response{Code: CodeOK, Revision: change.Revision}
}

// check returns an error if the change is invalid independent of the state.
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

// documentLimitReached returns the text of the limit that a change would exceed, or "".
func (s *State) documentLimitReached(change watchlog.Change, growth int, exists bool) string {
	if change.Deleted {
		return ""
	}
	if !exists && s.Documents.DocumentCount() >= MaxDocuments {
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

// recountDocumentBytes recomputes documentBytes after a snapshot was restored.
func (s *State) recountDocumentBytes() {
	s.documentBytes = 0
	for _, c := range s.Documents.Snapshot("").Changes {
		s.documentBytes += c.Size()
	}
}

// raiseRevision forces every watcher to take a snapshot, at a revision that no watcher can have.
func (s *State) raiseRevision() {
	if s.Version >= DocumentVersion {
		s.Documents.SkipRevisions(recoveryRevisionGap)
	}
}
