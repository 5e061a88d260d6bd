package simulation

import "container/heap"

// engine runs events in the order of their times, and events of the same time in the order in which they
// were scheduled.
type engine struct {
	now      float64
	sequence int
	queue    events
}

type event struct {
	at       float64
	sequence int
	run      func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1].run = nil
	*h = old[:len(old)-1]
	return e
}

// after schedules an event in so many milliseconds.
func (g *engine) after(ms float64, do func()) {
	g.sequence++
	heap.Push(&g.queue, event{g.now + max(0, ms), g.sequence, do})
}

// play runs the events before a time, as long as the condition holds.
func (g *engine) play(until float64, mayContinue func() bool) {
	for len(g.queue) > 0 && g.queue[0].at < until && mayContinue() {
		e := heap.Pop(&g.queue).(event)
		g.now = e.at
		e.run()
	}
}
