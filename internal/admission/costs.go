package admission

import "math"

const (
	// sizeUnitBytes is how many bytes cost as much as a request of their class.
	sizeUnitBytes = 64 << 10
	// rateTimeConstantMillis is the time constant of the average of the work that a flow is given.
	rateTimeConstantMillis = 1000
	// minShareOfRate is the part of its share that a flow is assumed to get at least: an estimate near
	// zero would give it an endless retry-after.
	minShareOfRate = 0.1
)

// Shares by which averages follow their values, for each request.
const (
	meanCostGain = 0.005
	latencyGain  = 0.02
	workGain     = 0.01
)

// sizeFactor is the factor on a request's cost for the bytes that come with it.
func sizeFactor(sizeBytes int) float64 { return 1 + float64(sizeBytes)/sizeUnitBytes }

// costModel learns what requests cost, in ms of servers' time, and how long they take.
type costModel struct {
	classes []Class
	// workByClass is the recent time of a request's attempts together, in ms; 0 = not measured yet.
	workByClass []float64
	// latencyByClass is the recent latency of a request, in ms; 0 = not measured yet.
	latencyByClass []float64
	// scale is the measured work of all classes over their configured costs; 0 = not measured yet.
	scale float64
	// mean is the mean cost of the requests that are admitted, in ms.
	mean float64
	// latency is the recent latency of the requests that are served, in ms; 0 = not measured yet.
	latency float64
}

func newCostModel(classes []Class) costModel {
	return costModel{
		classes:        classes,
		workByClass:    make([]float64, len(classes)),
		latencyByClass: make([]float64, len(classes)),
		mean:           classes[0].CostMillis,
	}
}

// estimate is the expected cost of a request of a class: the recent work of such requests or, without
// any, the configured cost on the scale that holds for the other classes.
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

// pace is the work that the limit does in a millisecond, by Little's law: what is in use over how long
// it takes. It is asked for under contention, when the limit is in use. Before anything has ended, work
// is taken to last as long as its cost.
func (a *Admission) pace() float64 {
	if a.costs.latency == 0 {
		return a.limiter.limit
	}
	return a.limiter.limit * a.costs.mean / a.costs.latency
}

// waitFor is how long a request of a flow would have to wait until its start tag, in ms: at the flow's
// rate, what the flow was given beyond its share, what it has waiting, and the reservations that fall due
// meanwhile and go ahead, as far as their clients return.
func (a *Admission) waitFor(i int32, within float64) float64 {
	f := &a.flows[i]
	rate := a.rateOf(i)
	debt := max(0, f.finishTag-a.queueOf(f).virtualTime) * f.weight
	dueWithin := min(within, max(0, a.now+within-f.reservationsDueFrom))
	returning := min(f.reservedWork, rate*dueWithin)
	return (debt + f.backlog + a.returnStats.rate*returning) / rate
}

// rateOf is the work that a flow is given in a millisecond while it wants more: its share, and once it
// has wanted more for a while what it did get. The two differ, as flows within their shares take theirs
// without ever being queued.
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
