package router

import (
	"cmp"
	"slices"
)

// addressIndex finds the targets at an address, by ascending start time. It has an entry for each
// target; an operation costs a binary search among those of one address.
type addressIndex map[string][]*target

func compareStart(p, q *target) int {
	return cmp.Or(cmp.Compare(p.startedAt, q.startedAt), cmp.Compare(p.id, q.id))
}

func (x addressIndex) add(t *target) {
	at, _ := slices.BinarySearchFunc(x[t.addr], t, compareStart)
	x[t.addr] = slices.Insert(x[t.addr], at, t)
}

// remove removes a target, whose start time must be the one that it was added with.
func (x addressIndex) remove(t *target) {
	at, isFound := slices.BinarySearchFunc(x[t.addr], t, compareStart)
	if !isFound {
		return
	}
	x[t.addr] = slices.Delete(x[t.addr], at, at+1)
	if len(x[t.addr]) == 0 {
		delete(x, t.addr)
	}
}

// startedBefore returns the targets at an address that started before a time.
func (x addressIndex) startedBefore(addr string, startedAt float64) (older []*target) {
	for _, t := range x[addr] {
		if t.startedAt >= startedAt {
			break
		}
		older = append(older, t)
	}
	return older
}
