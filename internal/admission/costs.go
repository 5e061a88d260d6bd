package admission

import "math"

const (
	// sizeUnitBytes is the number of transferred bytes that cost as much as the request itself.
	sizeUnitBytes = 64 << 10
	// rateTimeConstantMillis is the time constant of the moving average of a flow's admitted work.
	rateTimeConstantMillis = 1000
	// minShareOfRate bounds the estimated rate of a flow from below, as a part of its share: an
	// estimate near zero would lead to an almost infinite retry-after.
	minShareOfRate = 0.1
)

// Gains of the moving averages that are updated with each request.
const (
	meanCostGain = 0.005
	latencyGain  = 0.02
	workGain     = 0.01
)

// sizeFactor returns the factor by which transferred bytes increase a request's cost.
func sizeFactor(sizeBytes int) float64 { return 1 + float64(sizeBytes)/sizeUnitBytes }

// costModel estimates from measurements what requests cost, in ms of server time, and how long they
// take.
type costModel struct {
	classes []Class
	// workByClass is the recent total duration of a request's attempts, in ms; 0 = not measured
	// yet.
	workByClass []float64
	// latencyByClass is the recent latency of a request, in ms; 0 = not measured yet.
	latencyByClass []float64
	// scale is the ratio of the measured work of all classes to their configured costs; 0 = not
	// measured yet.
	scale float64
	// mean is the mean cost of the admitted requests, in ms.
	mean float64
	// latency is the recent latency of the served requests, in ms; 0 = not measured yet.
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

// estimate returns the expected cost of a request of a class, in ms: the recent work of such
// requests or, before any was measured, the configured cost multiplied by scale.
func (m *costModel) estimate(class int) float64 {
	if work := m.workByClass[class]; work > 0 {
		return work
	}
	if m.scale > 0 {
		return m.classes[class].CostMillis * m.scale
	}
	return m.classes[class].CostMillis
}

// observeAdmission updates the mean cost with an admitted request.
func (m *costModel) observeAdmission(cost float64) { m.mean += meanCostGain * (cost - m.mean) }

// observeLatency updates the averages with the latency of a served request.
func (m *costModel) observeLatency(class int32, latency float64) {
	m.latency = updateAverage(m.latency, latency, latencyGain)
	m.latencyByClass[class] = updateAverage(m.latencyByClass[class], latency, latencyGain)
}

// observeWork updates the averages with the work of a served request.
func (m *costModel) observeWork(class int32, work float64) {
	scale := work / m.classes[class].CostMillis
	m.workByClass[class] = updateAverage(m.workByClass[class], work, workGain)
	if m.scale == 0 { // from now on costs are measured ones
		m.mean *= scale
	}
	m.scale = updateAverage(m.scale, scale, workGain)
}

// workRate returns the work per millisecond that the concurrency limit allows, by Little's law: the
// work in use divided by the latency. It is used only under contention, when the limit is in use.
// Until a request has been served, the latency of a request is assumed to equal its cost.
func (a *Admission) workRate() float64 {
	if a.costs.latency == 0 {
		return a.limiter.limit
	}
	return a.limiter.limit * a.costs.mean / a.costs.latency
}

// expectedWait returns how long a new request of a flow would have to wait until its start tag, in
// ms: the time that the flow needs, at its rate, for the work that comes first. That is what the
// flow received beyond its share, its queued requests, and, scaled by the return rate, its
// reservations that become due within the given time.
func (a *Admission) expectedWait(i int32, within float64) float64 {
	f := &a.flows[i]
	rate := a.workRateOf(i)
	debt := max(0, f.finishTag-a.queueOf(f).virtualTime) * f.weight
	dueWithin := min(within, max(0, a.now+within-f.reservationsDueFrom))
	returning := min(f.reservedWork, rate*dueWithin)
	return (debt + f.backlog + a.returnStats.rate*returning) / rate
}

// workRateOf returns the work per millisecond that a flow receives while it has more queued: its
// share, blended with the measured rate the longer the flow has been active. The two differ because
// flows within their shares are admitted without being queued.
func (a *Admission) workRateOf(i int32) float64 {
	f := &a.flows[i]
	share := a.share(i) * a.workRate()
	if !f.isActive() {
		return share
	}
	measured := f.recentWork * math.Exp((f.recentWorkAt-a.now)/rateTimeConstantMillis) / rateTimeConstantMillis
	confidence := min(1, (a.now-f.activeSince)/rateTimeConstantMillis)
	return share + confidence*(max(measured, minShareOfRate*share)-share)
}
