package admission

import "math"

// Constants of the limit on concurrency.
const (
	// windowMillis is the time between two adjustments.
	windowMillis = 200
	// minStretchSamples is how many answers a mean stretch needs: single latencies vary by far more
	// than overload changes them.
	minStretchSamples = 100
	// maxShareOfLimit bounds the part of the limit that one request takes.
	maxShareOfLimit = 0.125
	// inUseShare is the part of the limit that has to be in use for it to rise.
	inUseShare = 0.8
	// originRejectTolerance is the share of requests that the Balancer may reject after a miss, as
	// the origin has no capacity, before that counts as pressure.
	originRejectTolerance = 0.01
	// easyStretch is a mean latency over the class's latency objective at which few answers are late.
	easyStretch = 0.33
	// baseTolerance is the factor on baseStretch up to which stretch is acceptable, where that is more
	// than easyStretch.
	baseTolerance = 1.25
	// stretchPressure is the pressure for each unit of stretch beyond what is acceptable.
	stretchPressure = 1.5
	// risePerWindow is the rise in a window, in square roots of the limit times the tenants that
	// want more.
	risePerWindow = 0.10
	// maxContenders bounds the tenants that count for the rise: invented names would otherwise draw
	// work to a router.
	maxContenders = 16
	// fallPerPressure and maxFall are the fall of the limit in a window, as a share of it.
	fallPerPressure = 1.0
	maxFall         = 0.05
	// lowLimitFactor makes a limit low that is less than its recent high over this.
	lowLimitFactor = 3
	// residualPressure is a pressure that may stay at a low limit. A higher one is taken for one that
	// a low limit does not help against.
	residualPressure = 0.03
	// forgetPerMillis is the share by which toleratedPressure and baseStretch decay in a millisecond.
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

// limiter is the limit on concurrency, in requests of mean cost. It falls where the Balancer rejects
// admitted requests, or answers take over a third of their class's latency objective, and rises while it
// is in use.
//
// The effect of a fall is checked: where the limit is down to a third of what it was and the signal
// stays, a lower limit does not help, and that much of the signal is tolerated from then on.
type limiter struct {
	limit float64
	// minLimit and maxLimit bound it.
	minLimit, maxLimit float64
	// recentHigh is the recent maximum of the limit.
	recentHigh float64
	inUse      float64
	// peakInUse is the maximum of inUse since the last adjustment.
	peakInUse float64
	// adjustAt is the time of the next adjustment, in ms.
	adjustAt float64

	// ended counts requests, but for retries, that have ended since the last adjustment.
	ended int
	// overloadRejects counts those of them that the Balancer rejected without an attempt.
	overloadRejects int
	// originRejects counts those of them that the Balancer rejected after an attempt.
	originRejects int

	// overloadRejectShare is the EWMA of overloadRejects over ended.
	overloadRejectShare float64
	// originRejectShare is the EWMA of originRejects over ended.
	originRejectShare float64
	// toleratedPressure is the pressure that a lower limit did not help against.
	toleratedPressure float64

	// stretchCount counts answers since updateStretch last used them.
	stretchCount int
	// stretchSum is the sum of their latencies over their classes' costs.
	stretchSum float64
	// baseStretch is the mean stretch that a low limit did not help against.
	baseStretch float64
	// excessStretch is the EWMA of the stretch beyond what is acceptable.
	excessStretch float64
	// contenders is the EWMA of how many tenants want more than they have.
	contenders float64
}

func newLimiter(cfg Config) limiter {
	return limiter{
		limit:      cfg.InitialLimit,
		minLimit:   cfg.MinLimit,
		maxLimit:   cfg.MaxLimit,
		recentHigh: cfg.InitialLimit,
	}
}

// set sets the limit, within its bounds.
func (l *limiter) set(limit float64) { l.limit = min(l.maxLimit, max(l.minLimit, limit)) }

// setBounds sets the bounds of the limit, which may change it.
func (l *limiter) setBounds(minLimit, maxLimit float64) {
	l.minLimit = minLimit
	l.maxLimit = maxLimit
	l.set(l.limit)
}

// rescale multiplies the limit when the processes that share it become more or fewer.
func (l *limiter) rescale(factor float64) {
	l.set(l.limit * factor)
	l.recentHigh = max(l.limit, l.recentHigh*factor)
}

// slots is what a request takes of the limit. An expensive one takes an eighth of it at most: its tenant
// is charged the whole cost, but if the request needed more slots it would wait until nearly nothing is
// in work, and all others behind it.
func (l *limiter) slots(cost, meanCost float64) float64 {
	return min(cost/meanCost, max(1, l.limit*maxShareOfLimit))
}

// acquire takes the slots of a request that begins.
func (l *limiter) acquire(slots float64) {
	l.inUse += slots
	l.peakInUse = max(l.peakInUse, l.inUse)
}

// release frees the slots of a request that has ended.
func (l *limiter) release(slots float64) { l.inUse = max(0, l.inUse-slots) }

// observeStretch adds an answer's latency over its class's cost.
func (l *limiter) observeStretch(stretch float64) {
	l.stretchSum += stretch
	l.stretchCount++
}

// adjust moves the limit towards what the fleet has capacity for, once a window.
//
// Rise and fall balance at a limit of contenders*(risePerWindow/fallPerPressure/pressure)^2.
// Routers before one fleet see much the same pressure, and so their limits settle in proportion to the
// tenants that want more at each, without any messages: a router at which one tenant sends too much
// yields to one at which many tenants lack capacity.
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

// updateStretch follows the mean stretch, once there are enough answers.
func (l *limiter) updateStretch(isLow bool) {
	if l.stretchCount < minStretchSamples {
		return
	}
	mean := l.stretchSum / float64(l.stretchCount)
	if isLow { // answers are this slow with little in work too
		l.baseStretch += baseGain * max(0, mean-l.baseStretch)
	}
	l.excessStretch = follow(l.excessStretch, mean-max(easyStretch, baseTolerance*l.baseStretch), excessGain)
	l.stretchCount = 0
	l.stretchSum = 0
}

// pressure is how much the limit should fall: what the Balancer rejects and how slow answers are,
// beyond what is tolerated.
func (l *limiter) pressure() float64 {
	pressure := l.overloadRejectShare + max(0, l.originRejectShare-originRejectTolerance)
	pressure += stretchPressure * max(0, l.excessStretch)
	pressure -= l.toleratedPressure
	return max(0, pressure)
}

// startWindow resets the counts of the last window.
func (l *limiter) startWindow() {
	l.ended = 0
	l.overloadRejects = 0
	l.originRejects = 0
	l.peakInUse = l.inUse
}

// follow returns an EWMA after one more value; 0 stands for one that has no value yet.
func follow(average, value, share float64) float64 {
	if average == 0 {
		return value
	}
	return average + share*(value-average)
}
