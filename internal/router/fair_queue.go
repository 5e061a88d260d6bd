package router

import (
	"container/heap"
	"time"
)

// fairQueue orders what connections wait for by start-time fair queueing: the start tag of a turn is
// the finish tag of its connection's last one, or a credit before the current virtual time if that is
// later, and the lowest start tag is next. Its owner serializes its use.
type fairQueue struct {
	// credit is how much a connection that has had nothing waiting is ahead of those that always have.
	credit float64
	// virtualTime is the largest start tag of the turns that have begun.
	virtualTime float64
	// lastSequence numbers the waiters, so that equal tags are in the order of arrival.
	lastSequence uint64
	waiters      fairWaiters
}

// newFairQueue returns a queue at a virtual time that gives the first connections the credit too.
func newFairQueue(credit float64) fairQueue { return fairQueue{credit: credit, virtualTime: credit} }

// fairTurns is what a queue knows of a connection.
type fairTurns struct {
	// finishTag is the virtual time at which the connection has used up the turns that it has asked for.
	finishTag float64
}

// fairWaiter is a turn that has not begun.
type fairWaiter struct {
	startTag float64
	sequence uint64
	// cost is the length of the turn, in the unit of the tags.
	cost float64
	// giveUpAt is when the wait has lasted too long; zero = never.
	giveUpAt time.Time
	// mayBegin receives whether the turn may begin, once. Its capacity is 1.
	mayBegin chan bool
}

// charge begins a turn without a wait.
func (q *fairQueue) charge(turns *fairTurns, cost float64) {
	q.virtualTime = max(q.virtualTime, q.take(turns, cost))
}

// take takes a turn of a connection and returns its start tag.
func (q *fairQueue) take(turns *fairTurns, cost float64) (startTag float64) {
	startTag = max(turns.finishTag, q.virtualTime-q.credit)
	turns.finishTag = startTag + cost
	return startTag
}

// add adds a turn that has to wait.
func (q *fairQueue) add(turns *fairTurns, cost float64, giveUpAt time.Time) *fairWaiter {
	q.lastSequence++
	w := &fairWaiter{
		startTag: q.take(turns, cost),
		sequence: q.lastSequence,
		cost:     cost,
		giveUpAt: giveUpAt,
		mayBegin: make(chan bool, 1),
	}
	heap.Push(&q.waiters, w)
	return w
}

// next removes the next turn and returns it; nil if none waits. The caller lets it begin.
func (q *fairQueue) next() *fairWaiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := heap.Pop(&q.waiters).(*fairWaiter)
	q.virtualTime = max(q.virtualTime, w.startTag)
	return w
}

// giveUpOverdue ends the waits that have lasted too long.
func (q *fairQueue) giveUpOverdue(now time.Time) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if w.giveUpAt.IsZero() || now.Before(w.giveUpAt) {
			kept = append(kept, w)
		} else {
			w.mayBegin <- false
		}
	}
	if len(kept) < len(q.waiters) {
		clear(q.waiters[len(kept):])
		q.waiters = kept
		heap.Init(&q.waiters)
	}
}

// fairWaiters is a heap; the next turn is the first.
type fairWaiters []*fairWaiter

func (w fairWaiters) Len() int { return len(w) }

func (w fairWaiters) Less(i, j int) bool {
	if w[i].startTag != w[j].startTag {
		return w[i].startTag < w[j].startTag
	}
	return w[i].sequence < w[j].sequence
}

func (w fairWaiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push is called by container/heap.
func (w *fairWaiters) Push(x any) { *w = append(*w, x.(*fairWaiter)) }

// Pop is called by container/heap.
func (w *fairWaiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}
