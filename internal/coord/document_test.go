package coord

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// agreed is a state of the version with documents, with one session.
func agreed(t *testing.T) *State {
	t.Helper()
	s := New()
	must(t, s, Command{Op: OpUpgrade, TargetVersion: DocumentVersion}, CodeOK)
	must(t, s, Command{Op: OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute}, CodeOK)
	return s
}

// putter numbers a session's commands.
type putter struct {
	state *State
	seq   uint64
}

func (p *putter) put(t *testing.T, put DocumentPut, want Code) Response {
	t.Helper()
	p.seq++
	return must(t, p.state, Command{Op: OpPutDocument, SessionID: "s", Sequence: p.seq, AcknowledgedThrough: p.seq - 1, Document: &put}, want)
}

// A document is put only over the revision that was expected; one counter goes over all changes; a repeated command changes nothing.
func TestCompareAndSet(t *testing.T) {
	p := putter{state: agreed(t)}
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
	again := must(t, p.state, Command{Op: OpPutDocument, SessionID: "s", Sequence: p.seq, AcknowledgedThrough: p.seq - 1, Document: &DocumentPut{Name: "a", Value: []byte("2"), Expected: 1}}, CodeOK)
	if second != again || p.state.Revision() != 3 {
		t.Errorf("%+v, repeated %+v, newest %d", second, again, p.state.Revision())
	}
	p.put(t, DocumentPut{Name: "a", Delete: true, Expected: 3}, CodeOK)
	p.put(t, DocumentPut{Name: "a", Delete: true}, CodeInvalid)
	p.put(t, DocumentPut{Name: "a", Value: []byte("3")}, CodeOK)
	if history := p.state.Documents.History("a"); len(history) != 4 || !history[2].Deleted || string(history[3].Value) != "3" {
		t.Errorf("%+v", history)
	}
}

// What is impossible is refused by words, and so is all of it before every coordinator understands it.
func TestDocumentRefused(t *testing.T) {
	p := putter{state: agreed(t)}
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
	must(t, old, Command{Op: OpUpgrade, TargetVersion: DocumentVersion - 1}, CodeOK)
	must(t, old, Command{Op: OpOpenSession, SessionID: "s", Client: "c", TTL: time.Minute}, CodeOK)
	a := must(t, old, Command{Op: OpPutDocument, SessionID: "s", Sequence: 1, Document: &DocumentPut{Name: "a"}}, CodeInvalid)
	if !strings.Contains(a.Text, "members upgrade") || old.Revision() != 0 {
		t.Errorf("%+v", a)
	}
}

// Each bound of the documents is reached, named, and has room again; the history is bounded without refusing anything.
func TestDocumentBounds(t *testing.T) {
	p := putter{state: agreed(t)}
	for i := range MaxDocuments {
		p.put(t, DocumentPut{Name: fmt.Sprint(i)}, CodeOK)
	}
	if a := p.put(t, DocumentPut{Name: "more"}, CodeLimitReached); !strings.Contains(a.Text, "1024") {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "0", Delete: true, Expected: 1}, CodeOK)
	p.put(t, DocumentPut{Name: "more"}, CodeOK)

	p = putter{state: agreed(t)}
	large := make([]byte, MaxDocumentBytes)
	count := MaxTotalDocumentBytes / (MaxDocumentBytes + 128)
	for i := range count {
		p.put(t, DocumentPut{Name: fmt.Sprint(i), Value: large}, CodeOK)
	}
	if a := p.put(t, DocumentPut{Name: "more", Value: large}, CodeLimitReached); !strings.Contains(a.Text, "bytes together") {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "0", Value: large, Expected: 1}, CodeOK) // it replaces as much as it brings
	p.put(t, DocumentPut{Name: "0", Delete: true, Expected: p.state.Revision()}, CodeOK)
	p.put(t, DocumentPut{Name: "more", Value: large}, CodeOK)
	if p.state.Documents.Compacted() == 0 {
		t.Error("the history has no bound in bytes")
	}

	p = putter{state: agreed(t)}
	revision := uint64(0)
	for range MaxHistoryChanges + 1 {
		revision = p.put(t, DocumentPut{Name: "a", Expected: revision}, CodeOK).Revision
	}
	if got := p.state.Documents.Compacted(); got != 1 {
		t.Errorf("compacted %d", got)
	}
	if batch, err := p.state.ChangesAfter(0, "", 1000); err != nil || !batch.Snapshot || batch.Through != revision {
		t.Errorf("%+v, %v", batch, err)
	}
}

// All replicas agree on the documents whatever comes, also one that began from a snapshot, and after a majority was lost.
func TestAnyDocuments(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, b := agreed(t), agreed(t)
		revision := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(r, "commands") {
			put := DocumentPut{Name: rapid.SampledFrom([]string{"a", "b", "c c"}).Draw(r, "name"), Delete: rapid.Bool().Draw(r, "delete"),
				Expected: rapid.Uint64Range(0, revision+1).Draw(r, "expected"), Value: make([]byte, rapid.SampledFrom([]int{0, 9, MaxDocumentBytes + 1}).Draw(r, "value"))}
			c := Command{Version: Version, Op: OpPutDocument, SessionID: "s", Sequence: uint64(i + 1), AcknowledgedThrough: uint64(i), Document: &put}
			if rapid.IntRange(0, 20).Draw(r, "raise") == 0 {
				c = Command{Version: Version, Op: OpRaiseTokens}
			}
			if got, other := a.Apply(c, 1), b.Apply(c, 1); got != other {
				r.Fatalf("%+v: %+v and %+v", c, got, other)
			}
			one, err := a.Marshal()
			if err != nil {
				r.Fatal(err)
			}
			two, err := b.Marshal()
			if err != nil || !bytes.Equal(one, two) {
				r.Fatalf("%v\n%s\n%s", err, one, two)
			}
			if rapid.Bool().Draw(r, "restore") {
				if b, err = Unmarshal(two); err != nil {
					r.Fatal(err)
				}
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
