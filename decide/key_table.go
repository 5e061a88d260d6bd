package decide

import (
	"cmp"
	"container/list"
	"slices"
)

const (
	// maxRememberedKeys is the number of keys whose traffic is remembered. Clients choose the keys.
	maxRememberedKeys = 8192
	// maxFrequentKeys is how many of these may be keys that were requested more than once.
	maxFrequentKeys = maxRememberedKeys * 3 / 4
)

// keyTable holds the traffic of the remembered keys. It is a segmented LRU cache: a new key is on
// probation until its second request, so keys that are requested only once evict one another and no
// others.
type keyTable struct {
	// byID finds a key's traffic.
	byID map[uint64]*keyTraffic
	// probation holds the *keyTraffic of keys requested once, and of those that frequent has no capacity
	// for, the least recently requested first.
	probation list.List
	// frequent holds those of the other keys, in the same order.
	frequent list.List
	// lastSequence is the sequence number of the latest new key.
	lastSequence uint64
}

// find returns the traffic of a requested key. A new key may evict another one.
func (t *keyTable) find(id uint64) *keyTraffic {
	k := t.byID[id]
	if k == nil {
		return t.insert(id)
	}
	if k.isFrequent {
		t.frequent.MoveToBack(k.element)
		return k
	}
	t.probation.Remove(k.element)
	k.isFrequent = true
	k.element = t.frequent.PushBack(k)
	if t.frequent.Len() > maxFrequentKeys {
		t.demoteOldest()
	}
	return k
}

// insert adds a key.
func (t *keyTable) insert(id uint64) *keyTraffic {
	if len(t.byID) >= maxRememberedKeys && !t.evictFrom(&t.probation) {
		t.evictFrom(&t.frequent)
	}
	t.lastSequence++
	k := &keyTraffic{id: id, meanWork: 1, sequence: t.lastSequence}
	k.element = t.probation.PushBack(k)
	t.byID[id] = k
	return k
}

// demoteOldest puts the least recently requested frequent key on probation again.
func (t *keyTable) demoteOldest() {
	oldest := t.frequent.Remove(t.frequent.Front()).(*keyTraffic)
	oldest.isFrequent = false
	oldest.element = t.probation.PushBack(oldest)
}

// evictFrom evicts the least recently requested key of a segment that no fetch is in flight for, and
// reports whether there was one. The limit on fetches bounds the search.
func (t *keyTable) evictFrom(segment *list.List) bool {
	for e := segment.Front(); e != nil; e = e.Next() {
		k := e.Value.(*keyTraffic)
		if k.fetch == nil {
			t.remove(k)
			return true
		}
	}
	return false
}

func (t *keyTable) remove(k *keyTraffic) {
	if k.isFrequent {
		t.frequent.Remove(k.element)
	} else {
		t.probation.Remove(k.element)
	}
	delete(t.byID, k.id)
}

// forEach calls do with each key. It may remove that key.
func (t *keyTable) forEach(do func(k *keyTraffic)) {
	for _, segment := range [...]*list.List{&t.probation, &t.frequent} {
		for e := segment.Front(); e != nil; {
			next := e.Next()
			do(e.Value.(*keyTraffic))
			e = next
		}
	}
}

// hottestKeys are the first keys of an order, up to a limit. Adding a key that is not among them costs
// one comparison.
type hottestKeys struct {
	limit   int
	compare func(p, q *keyTraffic) int
	keys    []*keyTraffic
}

// add adds a key if it is among the hottest so far.
func (h *hottestKeys) add(k *keyTraffic) {
	if len(h.keys) == h.limit {
		if h.compare(k, h.keys[h.limit-1]) > 0 {
			return
		}
		h.keys = h.keys[:h.limit-1]
	}
	at, _ := slices.BinarySearchFunc(h.keys, k, h.compare)
	h.keys = slices.Insert(h.keys, at, k)
}

// compareArrivals orders keys by descending arrivals.
func compareArrivals(p, q *keyTraffic) int {
	return cmp.Or(cmp.Compare(q.arrivals.value, p.arrivals.value), cmp.Compare(p.id, q.id))
}

// compareLoad orders keys by descending load. Keys with the same load are in the order of their first
// request, which makes the solver deterministic.
func compareLoad(p, q *keyTraffic) int {
	return cmp.Or(cmp.Compare(q.channelLoad(), p.channelLoad()), cmp.Compare(p.sequence, q.sequence))
}
