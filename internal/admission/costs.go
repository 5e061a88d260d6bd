package admission

import "math"

const (
	// sizeUnitBytes is how many bytes cost as much as a request of their class.
	sizeUnitBytes = 64 << 10
	// rateTimeConstantMillis is the memory of the work that a flow gets.
	rateTimeConstantMillis = 1000
	// minShareOfRate is the part of its share that a flow is thought to get at least.
	minShareOfRate = 0.1
)

// Shares by which averages follow their values, for each request.
const (
	meanCostGain = 0.005
	latencyGain  = 0.02
	workGain     = 0.01
)

// sizeFactor is how much dearer a request is for the bytes that come with it.
func sizeFactor(size int) float64 { return 1 + float64(size)/sizeUnitBytes }

// costModel learns what requests cost, in ms of servers' time, and how long they take.
type costModel struct {
	classes        []Class
	workByClass    []float64 // time of attempts, lately, ms; 0 = not known
	latencyByClass []float64 // lately, ms; 0 = not known
	scale          float64   // work of all classes over what they were said to cost; 0 = not known
	mean           float64   // cost of what is admitted
	latency        float64   // of what is served, lately; 0 = not known
}

func newCostModel(classes []Class) costModel {
	return costModel{
		classes:        classes,
		workByClass:    make([]float64, len(classes)),
		latencyByClass: make([]float64, len(classes)),
		mean:           classes[0].CostMillis,
	}
}

// estimate is what a request of a class is thought to cost: what such requests have taken lately, or what the settings
// say, in the proportion in which that holds for others.
func (m *costModel) estimate(class int) float64 {
	if work := m.workByClass[class]; work > 0 {
		return work
	}
	if m.scale > 0 {
		return m.classes[class].CostMillis * m.scale
	}
	return m.classes[class].CostMillis
}

// admitted follows the mean cost.
func (m *costModel) admitted(cost float64) { m.mean += meanCostGain * (cost - m.mean) }

// observeLatency learns from the time that a request took.
func (m *costModel) observeLatency(class int32, latency float64) {
	m.latency = follow(m.latency, latency, latencyGain)
	m.latencyByClass[class] = follow(m.latencyByClass[class], latency, latencyGain)
}

// observeWork learns from the work that a request took.
func (m *costModel) observeWork(class int32, work float64) {
	scale := work / m.classes[class].CostMillis
	m.workByClass[class] = follow(m.workByClass[class], work, workGain)
	if m.scale == 0 { // from here on costs are in measured terms
		m.mean *= scale
	}
	m.scale = follow(m.scale, scale, workGain)
}

// pace is the work that the limit does in a millisecond, by Little's law: what is in use over how long it takes. It is
// asked for where there is contention, when the limit is in use. Before anything has ended, work takes as long as it says.
func (a *Admission) pace() float64 {
	if a.costs.latency == 0 {
		return a.limiter.limit
	}
	return a.limiter.limit * a.costs.mean / a.costs.latency
}

// waitFor is how long a request of a flow would have to wait until its start tag: what the flow was given beyond its
// share, what it has waiting, and those that were told to come meanwhile and do, who go ahead, all at the flow's rate.
func (a *Admission) waitFor(i int32, within float64) float64 {
	f := &a.flows[i]
	rate := a.rateOf(i)
	debt := max(0, f.finishTag-a.queueOf(f).virtualTime) * f.weight
	dueWithin := min(within, max(0, a.now+within-f.reservationsDueFrom))
	returning := min(f.reservedWork, rate*dueWithin)
	return (debt + f.backlog + a.returnStats.rate*returning) / rate
}

// rateOf is the work that a flow is given in a millisecond while it wants more: its share, and once it has wanted more
// for a while what it did get. That differs, as those within their shares take theirs without ever standing in line.
func (a *Admission) rateOf(i int32) float64 {
	f := &a.flows[i]
	share := a.share(i) * a.pace()
	if !f.isActive() {
		return share
	}
	measured := f.recentWork * math.Exp((f.recentWorkAt-a.now)/rateTimeConstantMillis) / rateTimeConstantMillis
	confidence := min(1, (a.now-f.activeSince)/rateTimeConstantMillis)
	return share + confidence*(max(measured, minShareOfRate*share)-share)
}
