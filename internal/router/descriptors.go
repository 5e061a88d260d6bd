package router

import "sync"

// descriptorQuota limits the number of open client connections to the router's descriptors for
// them, or to this process's share while several processes form one router.
type descriptorQuota struct {
	// released has an element after a release until a waiter takes it. Its capacity is 1.
	released chan struct{}
	// routerLimit is the common limit of all processes of this router.
	routerLimit int
	// processReserve is how many descriptors each additional process needs for other purposes.
	processReserve int

	// mu guards the fields below.
	mu sync.Mutex
	// used counts the descriptors in use. It may exceed limit for a while after limit was lowered.
	used int
	// limit is this process's limit.
	limit int
}

func newDescriptorQuota(limit int) descriptorQuota {
	return descriptorQuota{released: make(chan struct{}, 1), routerLimit: limit, limit: limit}
}

// tryAcquire acquires a descriptor if one is left.
func (q *descriptorQuota) tryAcquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used >= q.limit {
		return false
	}
	q.used++
	return true
}

// release releases a descriptor and wakes one waiter.
func (q *descriptorQuota) release() {
	q.mu.Lock()
	q.used--
	q.mu.Unlock()
	select {
	case q.released <- struct{}{}:
	default:
	}
}

// setProcessCount sets the limit to this process's share, and returns how many descriptors in use
// exceed it.
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

// processLimit returns each process's share of a router's limit, after subtracting processReserve
// for each additional process.
func processLimit(routerLimit, processReserve, processes int) int {
	return max(1, (routerLimit-(processes-1)*processReserve)/processes)
}
