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

// writeClosedStore returns a directory with a closed log of some entries, votes and an identity.
func writeClosedStore(t *testing.T) (directory string, want map[string]string) {
	t.Helper()
	directory = t.TempDir()
	d, err := openStore(directory, 0, func(err error) { t.Fatal(err) })
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
	for k, v := range map[string]string{
		currentTermKey:       "\x05\x00\x00\x00\x00\x00\x00\x00",
		lastVoteTermKey:      "\x05\x00\x00\x00\x00\x00\x00\x00",
		lastVoteCandidateKey: "c1",
		identityKey:          "abc",
		epochKey:             "\x01\x00\x00\x00\x00\x00\x00\x00",
	} {
		if err := d.Set([]byte(k), []byte(v)); err != nil {
			t.Fatal(err)
		}
		want[k] = v
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	return directory, want
}

// A log file is truncated, or has one bit flipped, at a random place. Opening it must either report
// damage or find everything that was written. If a vote were lost silently, the coordinator could
// vote twice in one term.
func TestDamagedLogIsReported(t *testing.T) {
	dir, want := writeClosedStore(t)
	intact, err := os.ReadFile(filepath.Join(dir, "log.db"))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	rejected := 0
	for n := range 300 {
		text := append([]byte(nil), intact...)
		at := rng.IntN(len(text))
		damage := fmt.Sprintf("bit %d of byte %d flipped", n%8, at)
		if n%3 == 0 {
			text, damage = text[:at], fmt.Sprintf("truncated at byte %d", at)
		} else {
			text[at] ^= 1 << (n % 8)
		}
		directory := t.TempDir()
		if err := os.WriteFile(filepath.Join(directory, "log.db"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, err := openStore(directory, 0, func(err error) { t.Fatal(err) })
		if err != nil {
			if !errors.Is(err, errDamaged) {
				t.Errorf("%s: rejected with an error other than errDamaged: %v", damage, err)
			}
			rejected++
			continue
		}
		for i := uint64(1); i <= 40; i++ {
			var l raft.Log
			if err := d.GetLog(i, &l); err != nil || string(l.Data) != want[fmt.Sprint(i)] {
				t.Errorf("%s: entry %d: %q, %v", damage, i, l.Data, err)
			}
		}
		for _, k := range []string{currentTermKey, lastVoteTermKey, lastVoteCandidateKey, identityKey, epochKey} {
			if v, err := d.Get([]byte(k)); err != nil || string(v) != want[k] {
				t.Errorf("%s: %s: %q, %v", damage, k, v, err)
			}
		}
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	}
	if rejected < 50 {
		t.Errorf("%d of 300 rejected, want 50 or more", rejected)
	}
}

// Entries are missing in the middle of a log. This is damage, unless a snapshot covers them: a
// snapshot received from the leader leaves such a gap. Otherwise a store could silently skip
// commands.
func TestGapInLogIsDamageUnlessSnapshotCoversIt(t *testing.T) {
	directory, _ := writeClosedStore(t)
	d, err := openStore(directory, 0, func(err error) { t.Fatal(err) })
	if err != nil {
		t.Fatal(err)
	}
	if err := d.DeleteRange(10, 12); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(directory, 11, nil); !errors.Is(err, errDamaged) {
		t.Errorf("a gap was accepted: %v", err)
	}
	d, err = openStore(directory, 12, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
}
