package router

import "sync"

// descriptorQuota bounds the connections of clients that may be open at once: the descriptors that
// the router has for them, or this process's part while several processes are one router.
type descriptorQuota struct {
	// released has an element after a release, until a waiter has taken it. Its capacity is 1.
	released chan struct{}
	// routerLimit is the limit of all processes of this router together.
	routerLimit int
	// processReserve is how many each further process needs for other things.
	processReserve int

	// mu guards the fields below.
	mu sync.Mutex
	// used counts the descriptors in use; it is above limit for a while after limit was lowered.
	used int
	// limit is this process's.
	limit int
}

func newDescriptorQuota(limit int) descriptorQuota {
	return descriptorQuota{released: make(chan struct{}, 1), routerLimit: limit, limit: limit}
}

// tryAcquire takes a descriptor if one is left.
func (q *descriptorQuota) tryAcquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used >= q.limit {
		return false
	}
	q.used++
	return true
}

// release gives a descriptor back and wakes one waiter.
func (q *descriptorQuota) release() {
	q.mu.Lock()
	q.used--
	q.mu.Unlock()
	select {
	case q.released <- struct{}{}:
	default:
	}
}

// setProcessCount sets the limit to this process's part, and returns how many are in use beyond it.
func (q *descriptorQuota) setProcessCount(processes int) (excess int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = processLimit(q.routerLimit, q.processReserve, processes)
	return max(0, q.used-q.limit)
}

func (q *descriptorQuota) halfLimit() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(q.limit / 2)
}

// processLimit is the part of a router's limit that each of its processes has, where each further
// process takes a reserve from the whole.
func processLimit(routerLimit, processReserve, processes int) int {
	return max(1, (routerLimit-(processes-1)*processReserve)/processes)
}
