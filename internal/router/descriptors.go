package router

import "sync"

// places bounds the connections that are open.
type places struct {
	mu           sync.Mutex
	used         int
	limit, whole int
	freed        chan struct{} // of capacity 1
}

func (p *places) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used >= p.limit {
		return false
	}
	p.used++
	return true
}

func (p *places) give() {
	p.mu.Lock()
	p.used--
	p.mu.Unlock()
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// share sets the limit and returns how many are over it.
func (p *places) share(processes int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = p.whole / processes
	return max(0, p.used-p.limit)
}

func (p *places) half() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(p.limit / 2)
}
