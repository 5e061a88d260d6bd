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
	must(t, s, Command{Op: Upgrade, Version: DocumentVersion}, OK)
	must(t, s, Command{Op: Open, Session: "s", Client: "c", TTL: time.Minute}, OK)
	return s
}

// putter numbers a session's commands.
type putter struct {
	state *State
	seq   uint64
}

func (p *putter) put(t *testing.T, put DocumentPut, want Code) Answer {
	t.Helper()
	p.seq++
	return must(t, p.state, Command{Op: Put, Session: "s", Seq: p.seq, Acked: p.seq - 1, Document: &put}, want)
}

// A document is put only over the revision that was expected; one counter goes over all changes; a repeated command changes nothing.
func TestCompareAndSet(t *testing.T) {
	p := putter{state: agreed(t)}
	first := p.put(t, DocumentPut{Name: "a", Value: []byte("1")}, OK)
	other := p.put(t, DocumentPut{Name: "b", Value: []byte("1")}, OK)
	if first.Revision != 1 || other.Revision != 2 {
		t.Errorf("%+v, %+v", first, other)
	}
	if a := p.put(t, DocumentPut{Name: "a", Value: []byte("2")}, Conflict); a.Revision != 1 {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "a", Value: []byte("2"), Expected: 2}, Conflict)
	second := p.put(t, DocumentPut{Name: "a", Value: []byte("2"), Expected: 1}, OK)
	again := must(t, p.state, Command{Op: Put, Session: "s", Seq: p.seq, Acked: p.seq - 1, Document: &DocumentPut{Name: "a", Value: []byte("2"), Expected: 1}}, OK)
	if second != again || p.state.Revision() != 3 {
		t.Errorf("%+v, repeated %+v, newest %d", second, again, p.state.Revision())
	}
	p.put(t, DocumentPut{Name: "a", Delete: true, Expected: 3}, OK)
	p.put(t, DocumentPut{Name: "a", Delete: true}, Bad)
	p.put(t, DocumentPut{Name: "a", Value: []byte("3")}, OK)
	if history := p.state.Changes.History("a"); len(history) != 4 || !history[2].Deleted || string(history[3].Value) != "3" {
		t.Errorf("%+v", history)
	}
}

// What is impossible is refused by words, and so is all of it before every coordinator understands it.
func TestDocumentRefused(t *testing.T) {
	p := putter{state: agreed(t)}
	for text, put := range map[string]DocumentPut{
		"name: empty":       {},
		"name: 129 bytes":   {Name: strings.Repeat("n", MaxName+1)},
		"has other than":    {Name: "a b"},
		"32769 bytes":       {Name: "a", Value: make([]byte, MaxDocumentBytes+1)},
		"has no value":      {Name: "a", Value: []byte("x"), Delete: true},
		"document a: there": {Name: "a", Delete: true},
	} {
		if a := p.put(t, put, Bad); !strings.Contains(a.Text, text) {
			t.Errorf("%q, want %q", a.Text, text)
		}
	}
	old := New()
	must(t, old, Command{Op: Upgrade, Version: DocumentVersion - 1}, OK)
	must(t, old, Command{Op: Open, Session: "s", Client: "c", TTL: time.Minute}, OK)
	a := must(t, old, Command{Op: Put, Session: "s", Seq: 1, Document: &DocumentPut{Name: "a"}}, Bad)
	if !strings.Contains(a.Text, "members upgrade") || old.Revision() != 0 {
		t.Errorf("%+v", a)
	}
}

// Each bound of the documents is reached, named, and has room again; the history is bounded without refusing anything.
func TestDocumentBounds(t *testing.T) {
	p := putter{state: agreed(t)}
	for i := range MaxDocuments {
		p.put(t, DocumentPut{Name: fmt.Sprint(i)}, OK)
	}
	if a := p.put(t, DocumentPut{Name: "more"}, Full); !strings.Contains(a.Text, "1024") {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "0", Delete: true, Expected: 1}, OK)
	p.put(t, DocumentPut{Name: "more"}, OK)

	p = putter{state: agreed(t)}
	large := make([]byte, MaxDocumentBytes)
	count := MaxDocumentsBytes / (MaxDocumentBytes + 128)
	for i := range count {
		p.put(t, DocumentPut{Name: fmt.Sprint(i), Value: large}, OK)
	}
	if a := p.put(t, DocumentPut{Name: "more", Value: large}, Full); !strings.Contains(a.Text, "bytes together") {
		t.Errorf("%+v", a)
	}
	p.put(t, DocumentPut{Name: "0", Value: large, Expected: 1}, OK) // it replaces as much as it brings
	p.put(t, DocumentPut{Name: "0", Delete: true, Expected: p.state.Revision()}, OK)
	p.put(t, DocumentPut{Name: "more", Value: large}, OK)
	if p.state.Changes.Compacted() == 0 {
		t.Error("the history has no bound in bytes")
	}

	p = putter{state: agreed(t)}
	revision := uint64(0)
	for range MaxHistory + 1 {
		revision = p.put(t, DocumentPut{Name: "a", Expected: revision}, OK).Revision
	}
	if got := p.state.Changes.Compacted(); got != 1 {
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
			c := Command{V: Version, Op: Put, Session: "s", Seq: uint64(i + 1), Acked: uint64(i), Document: &put}
			if rapid.IntRange(0, 20).Draw(r, "raise") == 0 {
				c = Command{V: Version, Op: Raise}
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
			if a.docs != b.docs {
				r.Fatalf("%d and %d bytes of documents", a.docs, b.docs)
			}
			if a.Revision() < revision {
				r.Fatalf("revision %d after %d", a.Revision(), revision)
			}
			revision = a.Revision()
		}
	})
}
