package coord

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newDocumentState returns a state at DocumentVersion with one session, "s".
func newDocumentState(t *testing.T) *State {
	t.Helper()
	s := New()
	mustApply(t, s, Command{Op: OpUpgrade, TargetVersion: DocumentVersion}, CodeOK)
	mustApply(t, s, Command{Op: OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute}, CodeOK)
	return s
}

// putter puts documents as session "s" and numbers its commands.
type putter struct {
	state    *State
	sequence uint64
}

func (p *putter) put(t *testing.T, put DocumentPut, want Code) Response {
	t.Helper()
	p.sequence++
	return mustApply(t, p.state, p.command(put), want)
}

// command returns the put as the session's most recent command.
func (p *putter) command(put DocumentPut) Command {
	return Command{
		Op: OpPutDocument, SessionID: "s", Document: &put,
		Sequence: p.sequence, AcknowledgedThrough: p.sequence - 1,
	}
}

// Guards against a lost update when two operators put the same document. The second put expects a
// revision that has been replaced and gets a conflict with the current one. Revisions count the
// changes to all documents, and a retried command changes nothing.
func TestPutWithOldRevisionConflicts(t *testing.T) {
	p := putter{state: newDocumentState(t)}
	first := p.put(t, DocumentPut{Name: "a", Value: []byte("1")}, CodeOK)
	other := p.put(t, DocumentPut{Name: "b", Value: []byte("1")}, CodeOK)
	if first.Revision != 1 || other.Revision != 2 {
		t.Errorf("%+v, %+v", first, other)
	}
	if a := p.put(t, DocumentPut{Name: "a", Value: []byte("2")}, CodeConflict); a.Revision != 1 {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "a", Value: []byte("2"), Expected: 2}, CodeConflict)
	second := p.put(t, DocumentPut{Name: "a", Value: []byte("2"), Expected: 1}, CodeOK)
	again := mustApply(t, p.state, p.command(DocumentPut{Name: "a", Value: []byte("2"), Expected: 1}), CodeOK)
	if second != again || p.state.Revision() != 3 {
		t.Errorf("%+v, repeated %+v, newest %d", second, again, p.state.Revision())
	}
	p.put(t, DocumentPut{Name: "a", Delete: true, Expected: 3}, CodeOK)
	p.put(t, DocumentPut{Name: "a", Delete: true}, CodeInvalid)
	p.put(t, DocumentPut{Name: "a", Value: []byte("3")}, CodeOK)
	history := p.state.Documents.History("a")
	if len(history) != 4 || !history[2].Deleted || string(history[3].Value) != "3" {
		t.Errorf("%+v", history)
	}
}

// An invalid put is rejected with the reason. Every put is rejected while an older coordinator may
// not support documents, as the states would diverge.
func TestInvalidPutIsRejected(t *testing.T) {
	p := putter{state: newDocumentState(t)}
	for text, put := range map[string]DocumentPut{
		"name: empty":       {},
		"name: 129 bytes":   {Name: strings.Repeat("n", MaxNameBytes+1)},
		"has other than":    {Name: "a b"},
		"32769 bytes":       {Name: "a", Value: make([]byte, MaxDocumentBytes+1)},
		"has no value":      {Name: "a", Value: []byte("x"), Delete: true},
		"document a: there": {Name: "a", Delete: true},
	} {
		if a := p.put(t, put, CodeInvalid); !strings.Contains(a.Text, text) {
			t.Errorf("%q, want %q", a.Text, text)
		}
	}
	old := New()
	mustApply(t, old, Command{Op: OpUpgrade, TargetVersion: DocumentVersion - 1}, CodeOK)
	mustApply(t, old, Command{Op: OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute}, CodeOK)
	put := Command{Op: OpPutDocument, SessionID: "s", Sequence: 1, Document: &DocumentPut{Name: "a"}}
	a := mustApply(t, old, put, CodeInvalid)
	if !strings.Contains(a.Text, "members upgrade") || old.Revision() != 0 {
		t.Errorf("%+v", a)
	}
}

// Documents are limited in number and in total bytes: a put beyond a limit is rejected with the
// limit's text, and accepted again once a document is deleted. The history is limited without
// rejecting puts: the oldest changes are compacted, and a watcher that is behind gets a snapshot.
func TestDocumentLimitsRejectPutsAndCompactHistory(t *testing.T) {
	p := putter{state: newDocumentState(t)}
	for i := range MaxDocuments {
		p.put(t, DocumentPut{Name: fmt.Sprint(i)}, CodeOK)
	}
	if a := p.put(t, DocumentPut{Name: "more"}, CodeLimitReached); !strings.Contains(a.Text, "1024") {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "0", Delete: true, Expected: 1}, CodeOK)
	p.put(t, DocumentPut{Name: "more"}, CodeOK)

	p = putter{state: newDocumentState(t)}
	large := make([]byte, MaxDocumentBytes)
	count := MaxTotalDocumentBytes / (MaxDocumentBytes + 128)
	for i := range count {
		p.put(t, DocumentPut{Name: fmt.Sprint(i), Value: large}, CodeOK)
	}
	full := p.put(t, DocumentPut{Name: "more", Value: large}, CodeLimitReached)
	if !strings.Contains(full.Text, "bytes together") {
		t.Errorf("%+v", full)
	}
	p.put(t, DocumentPut{Name: "0", Value: large, Expected: 1}, CodeOK) // replaces as many bytes as it adds
	p.put(t, DocumentPut{Name: "0", Delete: true, Expected: p.state.Revision()}, CodeOK)
	p.put(t, DocumentPut{Name: "more", Value: large}, CodeOK)
	if p.state.Documents.CompactedRevision() == 0 {
		t.Error("the history has no bound in bytes")
	}

	p = putter{state: newDocumentState(t)}
	revision := uint64(0)
	for range MaxHistoryChanges + 1 {
		revision = p.put(t, DocumentPut{Name: "a", Expected: revision}, CodeOK).Revision
	}
	if got := p.state.Documents.CompactedRevision(); got != 1 {
		t.Errorf("compacted %d", got)
	}
	if batch, err := p.state.ChangesAfter(0, "", 1000); err != nil || !batch.Snapshot || batch.Through != revision {
		t.Errorf("%+v, %v", batch, err)
	}
}

// Two replicas apply the same random puts and deletions; one is now and then restored from its own
// snapshot, and now and then the revision is raised as after the loss of a majority. Checks that
// both always have the same bytes and that the revision never decreases.
func TestReplicasAgreeOnRandomDocuments(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, b := newDocumentState(t), newDocumentState(t)
		revision := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(r, "commands") {
			c := drawDocumentCommand(r, uint64(i+1), revision)
			if got, other := a.Apply(c, 1), b.Apply(c, 1); got != other {
				r.Fatalf("%+v: %+v and %+v", c, got, other)
			}
			text := sameBytes(r, a, b)
			if rapid.Bool().Draw(r, "restore") {
				restored, err := Unmarshal(text)
				if err != nil {
					r.Fatal(err)
				}
				b = restored
			}
			if a.documentBytes != b.documentBytes {
				r.Fatalf("%d and %d bytes of documents", a.documentBytes, b.documentBytes)
			}
			if a.Revision() < revision {
				r.Fatalf("revision %d after %d", a.Revision(), revision)
			}
			revision = a.Revision()
		}
	})
}

func drawDocumentCommand(r *rapid.T, sequence, revision uint64) Command {
	put := DocumentPut{
		Name:     rapid.SampledFrom([]string{"a", "b", "c c"}).Draw(r, "name"),
		Delete:   rapid.Bool().Draw(r, "delete"),
		Expected: rapid.Uint64Range(0, revision+1).Draw(r, "expected"),
		Value:    make([]byte, rapid.SampledFrom([]int{0, 9, MaxDocumentBytes + 1}).Draw(r, "value")),
	}
	if rapid.IntRange(0, 20).Draw(r, "raise") == 0 {
		return Command{Version: Version, Op: OpRaiseTokens}
	}
	return Command{
		Version: Version, Op: OpPutDocument, SessionID: "s", Document: &put,
		Sequence: sequence, AcknowledgedThrough: sequence - 1,
	}
}
