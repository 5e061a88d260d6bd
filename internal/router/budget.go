package router

import "sync/atomic"

// byteBudget bounds the bytes that are kept for one purpose. Any goroutine may use it.
type byteBudget struct {
	used  atomic.Int64
	limit atomic.Int64
}

// tryReserve reserves n bytes if there is capacity for them.
func (b *byteBudget) tryReserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.release(n)
	return false
}

// reserve reserves n bytes, beyond the limit too: they are there already.
func (b *byteBudget) reserve(n int) { b.used.Add(int64(n)) }

// release gives n reserved bytes back.
func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// isExhausted reports whether all bytes are in use.
func (b *byteBudget) isExhausted() bool { return b.used.Load() >= b.limit.Load() }
