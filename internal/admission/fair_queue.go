package admission

// weightEpsilon is a sum of weights that counts as none: what rounding leaves of sums and differences.
const weightEpsilon = 1e-9

// fairQueue is one server of start-time fair queueing. There are two: at the top stand the named
// tenants and, as one flow, all others; below it the others among themselves.
type fairQueue struct {
	virtualTime float64
	// ready holds the flows with queued requests, by start tag.
	ready heap
	// longest holds the same flows by backlog over weight, the greatest first.
	longest heap
	// activeWeight is the sum of the weights of the flows with queued requests or reservations.
	activeWeight float64
}

func newFairQueue(flows int) fairQueue {
	return fairQueue{ready: newHeap(flows), longest: newHeap(flows)}
}

// queueOf is the fair queue that schedules a flow.
func (a *Admission) queueOf(f *flow) *fairQueue {
	if f.isUnnamed {
		return &a.unnamed
	}
	return &a.top
}

// next is the queued request whose turn it is: the first to arrive of those within a guaranteed rate,
// which go ahead of all shares and count in them; else the one with the least start tag.
func (a *Admission) next() int32 {
	if a.guaranteed.len() > 0 {
		return a.flows[a.guaranteed.first()].head[guaranteedList]
	}
	i := a.top.ready.first()
	if i == a.unnamedFlow() {
		i = a.unnamed.ready.first()
	}
	f := &a.flows[i]
	if f.head[priorityList] != noIndex {
		return f.head[priorityList]
	}
	return f.head[ordinaryList]
}

// charge moves a flow's tag on by the work it is given, and the virtual time to where that begins.
func (a *Admission) charge(i int32, cost float64) {
	f := &a.flows[i]
	queue := a.queueOf(f)
	if f.isUnnamed {
		a.charge(a.unnamedFlow(), cost)
	}
	queue.virtualTime = max(queue.virtualTime, f.finishTag)
	f.finishTag = queue.virtualTime + cost/f.weight
	if queue.ready.has(i) {
		queue.ready.set(i, f.finishTag)
	}
}

// correct charges a flow for a request's cost beyond its estimate, or refunds it.
func (a *Admission) correct(i int32, cost float64) {
	f := &a.flows[i]
	queue := a.queueOf(f)
	if f.isUnnamed {
		a.correct(a.unnamedFlow(), cost)
	}
	f.finishTag = max(queue.virtualTime, f.finishTag+cost/f.weight)
	if queue.ready.has(i) {
		queue.ready.set(i, f.finishTag)
	}
}

// markReady adds a flow to those with queued requests, at its start tag.
func (a *Admission) markReady(i int32) {
	f := &a.flows[i]
	queue := a.queueOf(f)
	f.finishTag = max(f.finishTag, queue.virtualTime)
	queue.ready.set(i, f.finishTag)
	if f.isUnnamed && !a.top.ready.has(a.unnamedFlow()) {
		a.markReady(a.unnamedFlow())
	}
}

// unmarkReady removes a flow that has no queued request any more.
func (a *Admission) unmarkReady(i int32) {
	if !a.flows[i].isUnnamed {
		a.top.ready.remove(i)
		return
	}
	a.unnamed.ready.remove(i)
	if a.unnamed.ready.len() == 0 {
		a.top.ready.remove(a.unnamedFlow())
	}
}

// updateWeights adjusts the sums of weights where a flow has become active or has ceased to be.
func (a *Admission) updateWeights(i int32, wasActive bool) {
	f := &a.flows[i]
	if f.isActive() == wasActive {
		return
	}
	change := -f.weight
	if !wasActive {
		f.activeSince = a.now
		change = f.weight
	}
	queue := a.queueOf(f)
	hadWeight := queue.activeWeight > weightEpsilon
	queue.activeWeight = max(0, queue.activeWeight+change)
	hasWeight := queue.activeWeight > weightEpsilon
	if f.isUnnamed && hadWeight != hasWeight {
		a.setUnnamedActive(hasWeight)
	}
}

// setUnnamedActive adjusts the sum at the top, where the unnamed tenants count as one.
func (a *Admission) setUnnamedActive(isActive bool) {
	if isActive {
		a.top.activeWeight += a.cfg.OthersWeight
		return
	}
	a.unnamed.activeWeight = 0
	a.top.activeWeight = max(0, a.top.activeWeight-a.cfg.OthersWeight)
}

// share is a flow's part of all work while it is active, beside the others that are.
func (a *Admission) share(i int32) float64 {
	f := &a.flows[i]
	if !f.isUnnamed {
		return f.weight / (a.top.activeWeight + missingWeight(f.isActive(), f.weight))
	}
	all := &a.flows[a.unnamedFlow()]
	outer := all.weight / (a.top.activeWeight + missingWeight(a.unnamed.activeWeight > 0, all.weight))
	return outer * f.weight / (a.unnamed.activeWeight + missingWeight(f.isActive(), f.weight))
}

// missingWeight is what a flow's weight would add to a sum in which it counts only while it is
// active.
func missingWeight(isActive bool, weight float64) float64 {
	if isActive {
		return 0
	}
	return weight
}

// contenders counts the tenants that want more: named ones each as one, the others by their weights.
func (a *Admission) contenders() float64 {
	count := a.unnamed.activeWeight
	for i := range maxNamedTenants {
		if a.flows[i].isActive() {
			count++
		}
	}
	return count
}
