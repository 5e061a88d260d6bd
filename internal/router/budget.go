package router

import "sync/atomic"

// byteBudget limits the bytes kept in memory for one purpose. Any goroutine may use it.
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

// reserve reserves n bytes even beyond the limit.
func (b *byteBudget) reserve(n int) { b.used.Add(int64(n)) }

// release releases n reserved bytes.
func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }

// isExhausted reports whether all bytes are reserved.
func (b *byteBudget) isExhausted() bool { return b.used.Load() >= b.limit.Load() }
