package router

import "sync/atomic"

// byteBudget bounds the bytes that are kept for one purpose.
type byteBudget struct {
	used  atomic.Int64
	limit atomic.Int64
}

// tryReserve takes n bytes if there is room.
func (b *byteBudget) tryReserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.release(n)
	return false
}

func (b *byteBudget) reserve(n int) { b.used.Add(int64(n)) }

func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }
