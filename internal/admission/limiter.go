package admission

import "math"

// Constants of the limit on concurrency.
const (
	windowMillis = 200 // between two adjustments
	// minStretchSamples is how many answers it takes until their mean tells of overload: single ones vary by far more than
	// overload makes them.
	minStretchSamples = 100
	// maxShareOfLimit bounds the part of the limit that one request takes.
	maxShareOfLimit = 0.125
	// inUseShare is the part of the limit that has to be in use for it to rise.
	inUseShare = 0.8
	// originRejectTolerance is the share of requests that the Balancer may reject after a miss, for want of the origin.
	originRejectTolerance = 0.01
	// easyStretch is a mean latency over the class's aim that is well: few are late at that.
	easyStretch = 0.33
	// baseTolerance is how far beyond the stretch that a low limit didn't help against is well, where that is more.
	baseTolerance = 1.25
	// stretchPressure is the pressure for each unit of stretch beyond what is well.
	stretchPressure = 1.5
	// risePerWindow is the rise in a window, in square roots of the limit times the tenants that want more.
	risePerWindow = 0.10
	// maxContenders bounds the tenants that count for the rise: names that are made up would else draw work to a router.
	maxContenders = 16
	// fallPerPressure and maxFall are the fall of the limit in a window, as a share of it.
	fallPerPressure = 1.0
	maxFall         = 0.05
	// lowLimitFactor: a limit is low that is less than its recent high over this.
	lowLimitFactor = 3
	// residualPressure is a pressure that may stay at a low limit; what is above it is taken for one that a low limit
	// doesn't help against.
	residualPressure = 0.03
	// forgetPerMillis is the share by which what was found not to help is forgotten in a millisecond.
	forgetPerMillis = 1e-6
)

// Shares by which averages follow their values, once a window.
const (
	recentHighGain = 0.02 // over ten seconds
	rejectGain     = 0.25
	baseGain       = 0.05
	excessGain     = 0.5
	contendersGain = 0.1
	toleratedGain  = 0.02
)

// limiter is the limit on concurrency, in requests of mean cost. It falls where the Balancer rejects what was admitted, or
// answers take over a third of their class's aim, and rises while it is in use.
//
// What comes of a signal is looked at too: where the limit has fallen to a third of what it was and the signal stays, a
// lower limit doesn't help, and that much of it is tolerated from then on.
type limiter struct {
	limit           float64
	least, greatest float64
	recentHigh      float64
	inUse           float64
	peakInUse       float64 // since the last adjustment
	adjustAt        float64

	ended           int // first tries, since the last adjustment,
	overloadRejects int // of these, rejected by the Balancer with no attempt,
	originRejects   int // and after one

	overloadRejectShare float64 // lately
	originRejectShare   float64
	toleratedPressure   float64 // that a lower limit didn't help against

	stretchCount  int     // answers since stretches were looked at last
	stretchSum    float64 // of their latencies over their classes' costs
	baseStretch   float64 // mean that a low limit didn't help against
	excessStretch float64 // beyond what is well, lately
	contenders    float64 // tenants that want more than they have, lately
}

func newLimiter(cfg Config) limiter {
	return limiter{limit: cfg.InitialLimit, least: cfg.MinLimit, greatest: cfg.MaxLimit, recentHigh: cfg.InitialLimit}
}

// set sets the limit, within its bounds.
func (l *limiter) set(limit float64) { l.limit = min(l.greatest, max(l.least, limit)) }

// setBounds sets the bounds of the limit, which may change it.
func (l *limiter) setBounds(least, greatest float64) {
	l.least = least
	l.greatest = greatest
	l.set(l.limit)
}

// rescale multiplies the limit when the processes that share it become more or fewer.
func (l *limiter) rescale(factor float64) {
	l.set(l.limit * factor)
	l.recentHigh = max(l.limit, l.recentHigh*factor)
}

// slots is what a request takes of the limit. A dear one takes an eighth of it at most: it is charged whole to its tenant,
// but if it needed more it would wait for the fleet to run empty, and all others behind it.
func (l *limiter) slots(cost, meanCost float64) float64 {
	return min(cost/meanCost, max(1, l.limit*maxShareOfLimit))
}

// acquire books that a request has begun.
func (l *limiter) acquire(slots float64) {
	l.inUse += slots
	l.peakInUse = max(l.peakInUse, l.inUse)
}

// release books that a request has ended.
func (l *limiter) release(slots float64) { l.inUse = max(0, l.inUse-slots) }

// observeStretch takes an answer's latency over its class's cost.
func (l *limiter) observeStretch(stretch float64) {
	l.stretchSum += stretch
	l.stretchCount++
}

// adjust follows what the fleet can take, once a window.
//
// Rise and fall balance at a limit of contenders*(risePerWindow/fallPerPressure/pressure)^2. Routers before one fleet feel
// much the same pressure, and so come to limits in the proportion of the tenants that want more there, without a word
// between them: a router at which one tenant crowds gives way to one at which many are short.
func (l *limiter) adjust(now, contenders float64) {
	l.adjustAt = now + windowMillis
	l.recentHigh += recentHighGain * (l.limit - l.recentHigh)
	l.recentHigh = max(l.recentHigh, l.limit)
	isLow := l.limit < l.recentHigh/lowLimitFactor
	l.updateRejectShares()
	l.updateStretch(isLow)
	l.contenders += contendersGain * (min(maxContenders, contenders) - l.contenders)

	pressure := l.pressure()
	if l.ended > 0 && l.peakInUse >= inUseShare*l.limit {
		l.limit += risePerWindow * math.Sqrt(l.limit*max(1, l.contenders))
	}
	l.limit *= 1 - min(maxFall, fallPerPressure*pressure)
	if isLow && pressure > residualPressure {
		l.toleratedPressure += toleratedGain * pressure
	}
	l.toleratedPressure *= 1 - windowMillis*forgetPerMillis
	l.baseStretch *= 1 - windowMillis*forgetPerMillis
	l.set(l.limit)
	l.startWindow()
}

// updateRejectShares follows the shares of requests that the Balancer rejects.
func (l *limiter) updateRejectShares() {
	if l.ended == 0 {
		return
	}
	overload := float64(l.overloadRejects) / float64(l.ended)
	origin := float64(l.originRejects) / float64(l.ended)
	l.overloadRejectShare += rejectGain * (overload - l.overloadRejectShare)
	l.originRejectShare += rejectGain * (origin - l.originRejectShare)
}

// updateStretch follows the mean stretch, once enough answers have come.
func (l *limiter) updateStretch(isLow bool) {
	if l.stretchCount < minStretchSamples {
		return
	}
	mean := l.stretchSum / float64(l.stretchCount)
	if isLow { // it is so slow with little in work too
		l.baseStretch += baseGain * max(0, mean-l.baseStretch)
	}
	l.excessStretch = follow(l.excessStretch, mean-max(easyStretch, baseTolerance*l.baseStretch), excessGain)
	l.stretchCount = 0
	l.stretchSum = 0
}

// pressure is how much the limit should fall: what the Balancer rejects and how slow answers are, beyond what is tolerated.
func (l *limiter) pressure() float64 {
	pressure := l.overloadRejectShare + max(0, l.originRejectShare-originRejectTolerance)
	pressure += stretchPressure * max(0, l.excessStretch)
	pressure -= l.toleratedPressure
	return max(0, pressure)
}

// startWindow forgets the counts of the last window.
func (l *limiter) startWindow() {
	l.ended = 0
	l.overloadRejects = 0
	l.originRejects = 0
	l.peakInUse = l.inUse
}

// follow is an average that goes a share of the way to each value, and begins with the first.
func follow(average, value, share float64) float64 {
	if average == 0 {
		return value
	}
	return average + share*(value-average)
}
