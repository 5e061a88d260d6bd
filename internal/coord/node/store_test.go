package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

// written is a directory with a log of some entries, votes and an identity, closed.
func written(t *testing.T) (dir string, want map[string]string) {
	t.Helper()
	dir = t.TempDir()
	d, err := openStore(dir, 0, func(err error) { t.Fatal(err) })
	if err != nil {
		t.Fatal(err)
	}
	want = map[string]string{}
	for i := uint64(1); i <= 40; i++ {
		l := &raft.Log{Index: i, Term: 1 + i/10, Type: raft.LogCommand, Data: fmt.Appendf(nil, "entry %d", i)}
		if err := d.StoreLog(l); err != nil {
			t.Fatal(err)
		}
		want[fmt.Sprint(i)] = string(l.Data)
	}
	for k, v := range map[string]string{"CurrentTerm": "\x05\x00\x00\x00\x00\x00\x00\x00", "LastVoteTerm": "\x05\x00\x00\x00\x00\x00\x00\x00", "LastVoteCand": "c1", identityKey: "abc", epochKey: "\x01\x00\x00\x00\x00\x00\x00\x00"} {
		if err := d.Set([]byte(k), []byte(v)); err != nil {
			t.Fatal(err)
		}
		want[k] = v
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, want
}

// A log that was cut off anywhere, or has a flipped bit anywhere, is refused, or holds all that was written: nothing is forgotten
// silently.
func TestDamageIsNeverSilent(t *testing.T) {
	dir, want := written(t)
	whole, err := os.ReadFile(filepath.Join(dir, "log.db"))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for n := range 300 {
		text := append([]byte(nil), whole...)
		at := rng.IntN(len(text))
		what := fmt.Sprintf("bit %d of byte %d flipped", n%8, at)
		if n%3 == 0 {
			text, what = text[:at], fmt.Sprintf("cut at byte %d", at)
		} else {
			text[at] ^= 1 << (n % 8)
		}
		into := t.TempDir()
		if err := os.WriteFile(filepath.Join(into, "log.db"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := openStore(into, 0, func(err error) { t.Fatal(err) })
		if err != nil {
			if !errors.Is(err, errDamaged) {
				t.Errorf("%s: refused without saying that it is damaged: %v", what, err)
			}
			refused++
			continue
		}
		for i := uint64(1); i <= 40; i++ {
			var l raft.Log
			if err := d.GetLog(i, &l); err != nil || string(l.Data) != want[fmt.Sprint(i)] {
				t.Errorf("%s: entry %d: %q, %v", what, i, l.Data, err)
			}
		}
		for _, k := range []string{"CurrentTerm", "LastVoteTerm", "LastVoteCand", identityKey, epochKey} {
			if v, err := d.Get([]byte(k)); err != nil || string(v) != want[k] {
				t.Errorf("%s: %s: %q, %v", what, k, v, err)
			}
		}
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	}
	if refused < 50 {
		t.Errorf("%d of 300 refused: the damage met nothing", refused)
	}
}

// A hole in the log is damage, unless a snapshot holds what is missing.
func TestHole(t *testing.T) {
	dir, _ := written(t)
	d, err := openStore(dir, 0, func(err error) { t.Fatal(err) })
	if err != nil {
		t.Fatal(err)
	}
	if err := d.DeleteRange(10, 12); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(dir, 11, nil); !errors.Is(err, errDamaged) {
		t.Errorf("a hole was passed over: %v", err)
	}
	d, err = openStore(dir, 12, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
}
