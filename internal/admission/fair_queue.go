package admission

// weightEpsilon is the sum of weights below which it counts as 0, to absorb rounding errors.
const weightEpsilon = 1e-9

// fairQueue is one server of start-time fair queueing. There are two: the top level schedules the
// named tenants and, as one flow, all other tenants; the second level schedules these others.
type fairQueue struct {
	virtualTime float64
	// ready holds the flows with queued requests, ordered by start tag.
	ready heap
	// longest holds the same flows ordered by backlog divided by weight, the greatest first.
	longest heap
	// activeWeight is the total weight of the flows with queued requests or reservations.
	activeWeight float64
}

func newFairQueue(flows int) fairQueue {
	return fairQueue{ready: newHeap(flows), longest: newHeap(flows)}
}

// queueOf returns the fair queue that schedules a flow.
func (a *Admission) queueOf(f *flow) *fairQueue {
	if f.isUnnamed {
		return &a.unnamed
	}
	return &a.top
}

// nextQueued returns the queued request to admit next: the first one of the flow that has waited
// longest with guaranteed requests, as these precede all shares and count toward them; otherwise
// the request with the lowest start tag.
func (a *Admission) nextQueued() int32 {
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

// charge advances a flow's finish tag by the work of an admitted request, and the virtual time to
// the request's start tag.
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

// adjustCharge charges a flow for the difference between a request's actual and estimated cost,
// which may be negative.
func (a *Admission) adjustCharge(i int32, cost float64) {
	f := &a.flows[i]
	queue := a.queueOf(f)
	if f.isUnnamed {
		a.adjustCharge(a.unnamedFlow(), cost)
	}
	f.finishTag = max(queue.virtualTime, f.finishTag+cost/f.weight)
	if queue.ready.has(i) {
		queue.ready.set(i, f.finishTag)
	}
}

// markReady adds a flow to those with queued requests, with its start tag.
func (a *Admission) markReady(i int32) {
	f := &a.flows[i]
	queue := a.queueOf(f)
	f.finishTag = max(f.finishTag, queue.virtualTime)
	queue.ready.set(i, f.finishTag)
	if f.isUnnamed && !a.top.ready.has(a.unnamedFlow()) {
		a.markReady(a.unnamedFlow())
	}
}

// unmarkReady removes a flow that no longer has a queued request.
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

// updateWeights updates the sums of weights if a flow has become active or inactive.
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

// setUnnamedActive updates the sum of weights of the top level, where the unnamed tenants count as
// one flow.
func (a *Admission) setUnnamedActive(isActive bool) {
	if isActive {
		a.top.activeWeight += a.cfg.OthersWeight
		return
	}
	a.unnamed.activeWeight = 0
	a.top.activeWeight = max(0, a.top.activeWeight-a.cfg.OthersWeight)
}

// share returns the part of all work that a flow receives while it and the other active flows are
// active.
func (a *Admission) share(i int32) float64 {
	f := &a.flows[i]
	if !f.isUnnamed {
		return f.weight / (a.top.activeWeight + missingWeight(f.isActive(), f.weight))
	}
	group := &a.flows[a.unnamedFlow()]
	groupShare := group.weight / (a.top.activeWeight + missingWeight(a.unnamed.activeWeight > 0, group.weight))
	return groupShare * f.weight / (a.unnamed.activeWeight + missingWeight(f.isActive(), f.weight))
}

// missingWeight returns the weight to add for a flow to a sum that includes it only while it is
// active.
func missingWeight(isActive bool, weight float64) float64 {
	if isActive {
		return 0
	}
	return weight
}

// contenders returns the number of active tenants: each named one counts as 1, each of the others
// by its weight.
func (a *Admission) contenders() float64 {
	count := a.unnamed.activeWeight
	for i := range maxNamedTenants {
		if a.flows[i].isActive() {
			count++
		}
	}
	return count
}
