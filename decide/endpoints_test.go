package decide

import (
	"testing"
)

// Guards against different candidates for a key at a router that has followed the changes of the
// list and at one that started with the resulting list: the key would be cached on twice as many
// servers.
func TestHashListsAgreeAfterRestart(t *testing.T) {
	endpoints := readyEndpoints(10)
	b1, _ := newTestBalancer(t, testConfig(), endpoints[:8])
	b1.UpdateEndpoints(100100, ChangedEndpoints, endpoints[8:])
	b1.UpdateEndpoints(100200, ChangedEndpoints, []Endpoint{{ID: endpoints[2].ID, State: Removed}})
	resulting := append(append([]Endpoint{}, endpoints[3:]...), endpoints[:2]...)
	b2, _ := newTestBalancer(t, testConfig(), resulting)
	for key := range uint64(500) {
		list1 := b1.membership.hashList(&keyTraffic{id: key})
		list2 := b2.membership.hashList(&keyTraffic{id: key})
		if want := min(candidateLimit, len(resulting)); len(list1) != want || len(list2) != want {
			t.Fatalf("key %d: lists of %d and %d", key, len(list1), len(list2))
		}
		for i := range list1 {
			if list1[i].ID != list2[i].ID {
				t.Fatalf("key %d: server %d of the list differs", key, i)
			}
			for _, earlier := range list1[:i] {
				if earlier == list1[i] {
					t.Fatalf("key %d: a server is listed twice", key)
				}
			}
		}
	}
}

// Guards against keys that move between unchanged servers when one joins or leaves, and against
// servers that are home to far too many or too few keys.
func TestMembershipChangeMovesFewKeys(t *testing.T) {
	endpoints := readyEndpoints(11)
	homes := func(endpoints []Endpoint) map[uint64]uint32 {
		b, _ := newTestBalancer(t, testConfig(), endpoints)
		homeOfKey := map[uint64]uint32{}
		for key := range uint64(4000) {
			homeOfKey[key] = b.membership.hashList(&keyTraffic{id: key})[0].ID
		}
		return homeOfKey
	}
	before := homes(endpoints[:10])
	without := homes(endpoints[1:10])
	with := homes(endpoints)
	moved := 0
	keysOf := map[uint32]int{}
	for key, home := range before {
		keysOf[home]++
		if home != endpoints[0].ID && without[key] != home {
			t.Fatalf("key %d left a server that stayed", key)
		}
		if with[key] != home {
			moved++
			if with[key] != endpoints[10].ID {
				t.Fatalf("key %d moved between servers that stayed", key)
			}
		}
	}
	if moved > 4000*2/11 {
		t.Errorf("%d of 4000 keys moved to one new server of 11", moved)
	}
	for id, n := range keysOf {
		if n < 150 || n > 800 {
			t.Errorf("server %d is home to %d of 4000 keys", id, n)
		}
	}
}

// Guards against keys that move for good when a server is ejected: it keeps its position in the
// keys' lists, and the next server of the list replaces it until it returns.
func TestEjectionKeepsTheHashList(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), readyEndpoints(8))
	k := &keyTraffic{id: 42}
	home := b.membership.hashList(k)[0]
	home.health.isEjected = true
	b.solve()
	if b.membership.hashList(k)[0] != home {
		t.Error("an ejected server lost its position in the list")
	}
	if inUse := b.candidates(k); inUse[0] != b.membership.hashList(k)[1] {
		t.Error("the second server of the list does not replace the ejected first one")
	}
}

// Guards against requests to a draining or a removed server, and against requests that are then not
// sent at all.
func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	endpoints := readyEndpoints(4)
	b, h := newTestBalancer(t, testConfig(), endpoints)
	endpoints[0].State = Draining
	endpoints[1].State = Removed
	b.UpdateEndpoints(100005, ChangedEndpoints, endpoints[:2])
	for i := range uint32(300) {
		now := 100010 + float64(i)
		sendRequest(b, now, i+1, "read", uint64(i))
		b.AttemptEnded(now, servedOutcome(i+1, h.lastSend().server, 1))
	}
	for _, s := range h.sends {
		if s.server == endpoints[0].ID || s.server == endpoints[1].ID {
			t.Fatalf("request %d sent to a server that is draining or removed", s.id)
		}
	}
	if len(h.sends) != 300 {
		t.Errorf("%d of 300 sent", len(h.sends))
	}
}
