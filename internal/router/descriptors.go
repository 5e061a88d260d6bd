package router

import "sync"

// descriptorQuota bounds the connections that are open.
type descriptorQuota struct {
	mu                 sync.Mutex
	used               int
	limit, routerLimit int
	released           chan struct{} // of capacity 1
}

func (p *descriptorQuota) tryAcquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used >= p.limit {
		return false
	}
	p.used++
	return true
}

func (p *descriptorQuota) release() {
	p.mu.Lock()
	p.used--
	p.mu.Unlock()
	select {
	case p.released <- struct{}{}:
	default:
	}
}

// setProcessCount sets the limit and returns how many are over it.
func (p *descriptorQuota) setProcessCount(processes int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = p.routerLimit / processes
	return max(0, p.used-p.limit)
}

func (p *descriptorQuota) halfLimit() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.limit / 2)
}
