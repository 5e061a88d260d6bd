package decide

import (
	"testing"
)

// One router follows changes of the list, another starts with the list that results. Both must have
// the same candidates for each key, in the same order, or a key would be cached twice as often.
func TestListsAgreeAfterRestart(t *testing.T) {
	es := fleet(10)
	b1, _ := start(t, testConfig(), es[:8])
	b1.UpdateEndpoints(100100, ChangedEndpoints, es[8:])
	b1.UpdateEndpoints(100200, ChangedEndpoints, []Endpoint{{ID: es[2].ID, State: Removed}})
	rest := append(append([]Endpoint{}, es[3:]...), es[:2]...)
	b2, _ := start(t, testConfig(), rest)
	for key := range uint64(500) {
		l1 := b1.membership.hashList(&keyTraffic{id: key})
		l2 := b2.membership.hashList(&keyTraffic{id: key})
		if want := min(candidateLimit, len(rest)); len(l1) != want || len(l2) != want {
			t.Fatalf("key %d: lists of %d and %d", key, len(l1), len(l2))
		}
		for i := range l1 {
			if l1[i].ID != l2[i].ID {
				t.Fatalf("key %d: place %d differs", key, i)
			}
			for _, o := range l1[:i] {
				if o == l1[i] {
					t.Fatalf("key %d: server twice", key)
				}
			}
		}
	}
}

// A server joins or leaves. Only its own keys may move, and each server stays home to a fair share.
func TestChangeMovesFewKeys(t *testing.T) {
	es := fleet(11)
	homes := func(es []Endpoint) map[uint64]uint32 {
		b, _ := start(t, testConfig(), es)
		m := map[uint64]uint32{}
		for key := range uint64(4000) {
			m[key] = b.membership.hashList(&keyTraffic{id: key})[0].ID
		}
		return m
	}
	before := homes(es[:10])
	without := homes(es[1:10])
	with := homes(es)
	moved := 0
	share := map[uint32]int{}
	for key, h := range before {
		share[h]++
		if h != es[0].ID && without[key] != h {
			t.Fatalf("key %d left a server that stayed", key)
		}
		if with[key] != h {
			moved++
			if with[key] != es[10].ID {
				t.Fatalf("key %d moved between servers that stayed", key)
			}
		}
	}
	if moved > 4000*2/11 {
		t.Errorf("%d of 4000 keys moved to one new server of 11", moved)
	}
	for id, n := range share {
		if n < 150 || n > 800 {
			t.Errorf("server %d is home to %d of 4000 keys", id, n)
		}
	}
}

// A server is ejected. It keeps its place in the lists of keys, and the next of the list stands in
// for it, so that its keys come back with it.
func TestHealthDoesNotMoveTheHash(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(8))
	k := &keyTraffic{id: 42}
	home := b.membership.hashList(k)[0]
	home.health.isEjected = true
	b.solve()
	if b.membership.hashList(k)[0] != home {
		t.Error("an ejected server lost its place")
	}
	if c := b.candidates(k); c[0] != b.membership.hashList(k)[1] {
		t.Error("the second does not stand in for an ejected first")
	}
}

// One server drains and another is removed. Of 300 requests none may go to either, and all must be
// sent.
func TestNothingNewToDrainingOrRemoved(t *testing.T) {
	es := fleet(4)
	b, h := start(t, testConfig(), es)
	es[0].State = Draining
	es[1].State = Removed
	b.UpdateEndpoints(100005, ChangedEndpoints, es[:2])
	for i := range uint32(300) {
		now := 100010 + float64(i)
		ask(b, now, i+1, "read", uint64(i))
		b.AttemptEnded(now, served(i+1, h.last().server, 1))
	}
	for _, s := range h.sends {
		if s.server == es[0].ID || s.server == es[1].ID {
			t.Fatalf("request %d sent to a server that drains or is gone", s.id)
		}
	}
	if len(h.sends) != 300 {
		t.Errorf("%d of 300 sent", len(h.sends))
	}
}
