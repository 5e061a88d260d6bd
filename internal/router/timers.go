package router

// Timers of the loop.

import (
	"container/heap"
	"math"
)

// timer is something to do at a time. It belongs to the loop.
type timer struct {
	// at is in milliseconds on the loop's clock.
	at float64
	do func()
	// heapIndex is its place in the heap; notInHeap once it has fired or was stopped.
	heapIndex int
}

// notInHeap is the heapIndex of a timer that is not set.
const notInHeap = -1

// after has do called after so many milliseconds, at once where that is not positive.
func (l *loop) after(millis float64, do func()) *timer {
	if !(millis > 0) { // also where it is no number
		millis = 0
	}
	t := &timer{at: l.now() + min(millis, math.MaxInt32), do: do}
	heap.Push(&l.timers, t)
	return t
}

// timerHeap holds timers, the next one first.
type timerHeap []*timer

// stop takes a timer out, with all that it refers to: left in until it is due, it would keep each
// request in memory for seconds. It does nothing for nil or a timer that is not set.
func (h *timerHeap) stop(t *timer) {
	if t != nil && t.heapIndex >= 0 {
		heap.Remove(h, t.heapIndex)
	}
}

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is called by container/heap.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop is called by container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.heapIndex = notInHeap
	*h = old[:len(old)-1]
	return last
}
