package router

// Timers of the loop.

import (
	"container/heap"
	"math"
)

// timer is a function to be called at a given time. It belongs to the loop.
type timer struct {
	// at is the time in milliseconds on the loop's clock.
	at float64
	do func()
	// heapIndex is the position in the heap; notInHeap once the timer has fired or was stopped.
	heapIndex int
}

// notInHeap is the heapIndex of a timer that is not set.
const notInHeap = -1

// after calls do after the given time, or as soon as possible if that is not positive.
func (l *loop) after(millis float64, do func()) *timer {
	if !(millis > 0) { // also for NaN
		millis = 0
	}
	t := &timer{at: l.now() + min(millis, math.MaxInt32), do: do}
	heap.Push(&l.timers, t)
	return t
}

// timerHeap holds timers; the first one is due next.
type timerHeap []*timer

// stop removes a timer and releases what it references: a timer left in the heap would keep its
// request in memory for seconds. It does nothing for nil or for a timer that is not set.
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
