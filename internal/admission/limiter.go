package admission

import "math"

// Parameters of the concurrency limit.
const (
	// windowMillis is the time between two adjustments of the limit.
	windowMillis = 200
	// minStretchSamples is the number of answers needed for a mean stretch: single latencies vary
	// far more than overload changes them.
	minStretchSamples = 100
	// maxShareOfLimit bounds the part of the limit that one request occupies.
	maxShareOfLimit = 0.125
	// inUseShare is the part of the limit that must be in use for the limit to rise.
	inUseShare = 0.8
	// originRejectTolerance is the share of requests that the Balancer may reject after a miss,
	// because the origin has no capacity, before this counts as pressure.
	originRejectTolerance = 0.01
	// acceptableStretch is a mean stretch at which few answers are late. The stretch of an answer
	// is its latency divided by the configured cost of its class, which routers set to the latency
	// objective.
	acceptableStretch = 0.33
	// baseTolerance is the multiple of baseStretch up to which stretch is acceptable, if that is
	// above acceptableStretch.
	baseTolerance = 1.25
	// stretchPressure is the pressure per unit of stretch above what is acceptable.
	stretchPressure = 1.5
	// risePerWindow is the rise of the limit in one window, as a multiple of the square root of the
	// limit times the number of contenders.
	risePerWindow = 0.10
	// maxContenders bounds the contenders that count for the rise. Without a bound, invented tenant
	// names would raise a router's limit and attract work to it.
	maxContenders = 16
	// fallPerPressure is the fall of the limit in one window per unit of pressure, as a share of
	// the limit; maxFall bounds that share.
	fallPerPressure = 1.0
	maxFall         = 0.05
	// lowLimitFactor defines a low limit: one below its recent maximum divided by this factor.
	lowLimitFactor = 3
	// residualPressure is a pressure that is acceptable at a low limit. A higher one is assumed not
	// to depend on the limit.
	residualPressure = 0.03
	// decayPerMillis is the share by which toleratedPressure and baseStretch decay per
	// millisecond.
	decayPerMillis = 1e-6
)

// Gains of the moving averages that are updated once a window.
const (
	recentHighGain = 0.02 // a time constant of ten seconds
	rejectGain     = 0.25
	baseGain       = 0.05
	excessGain     = 0.5
	contendersGain = 0.1
	toleratedGain  = 0.02
)

// limiter maintains the concurrency limit, in requests of mean cost. The limit falls when the
// Balancer rejects admitted requests or when answers take more than a third of their class's
// latency objective (acceptableStretch), and rises while it is in use.
//
// The limiter checks whether a fall has an effect: if the limit is down to a third of its recent
// maximum and the pressure remains, a lower limit does not help, and from then on that much
// pressure is tolerated.
type limiter struct {
	limit float64
	// minLimit and maxLimit bound the limit.
	minLimit, maxLimit float64
	// recentHigh is the recent maximum of the limit.
	recentHigh float64
	// inUse is the part of the limit that admitted requests occupy.
	inUse float64
	// peakInUse is the maximum of inUse since the last adjustment.
	peakInUse float64
	// adjustAt is the time of the next adjustment, in ms.
	adjustAt float64

	// ended counts the requests that have ended since the last adjustment, without retries.
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

	// stretchCount counts the answers since updateStretch last evaluated them.
	stretchCount int
	// stretchSum is the sum of their stretches: each latency divided by its class's cost.
	stretchSum float64
	// baseStretch is the mean stretch that remains at a low limit.
	baseStretch float64
	// excessStretch is the EWMA of the stretch above what is acceptable.
	excessStretch float64
	// contenders is the EWMA of the number of active tenants.
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

// set sets the limit, bounded by minLimit and maxLimit.
func (l *limiter) set(limit float64) { l.limit = min(l.maxLimit, max(l.minLimit, limit)) }

// setBounds changes the bounds, and the limit if it is outside them.
func (l *limiter) setBounds(minLimit, maxLimit float64) {
	l.minLimit = minLimit
	l.maxLimit = maxLimit
	l.set(l.limit)
}

// rescale multiplies the limit when the number of processes that share it changes.
func (l *limiter) rescale(factor float64) {
	l.set(l.limit * factor)
	l.recentHigh = max(l.limit, l.recentHigh*factor)
}

// slots returns the part of the limit that a request occupies, at most an eighth of the limit: its
// tenant is charged the full cost, but a request that needed more slots could start only when
// almost no other request is in progress, and all others would wait behind it.
func (l *limiter) slots(cost, meanCost float64) float64 {
	return min(cost/meanCost, max(1, l.limit*maxShareOfLimit))
}

// acquire occupies the slots of an admitted request.
func (l *limiter) acquire(slots float64) {
	l.inUse += slots
	l.peakInUse = max(l.peakInUse, l.inUse)
}

// release frees the slots of a request that has ended.
func (l *limiter) release(slots float64) { l.inUse = max(0, l.inUse-slots) }

// observeStretch adds the stretch of an answer: its latency divided by its class's cost.
func (l *limiter) observeStretch(stretch float64) {
	l.stretchSum += stretch
	l.stretchCount++
}

// adjust adapts the limit to the capacity of the fleet, once a window.
//
// Rise and fall balance at a limit of contenders*(risePerWindow/fallPerPressure/pressure)^2. All
// routers of a fleet see about the same pressure, so without exchanging messages their limits
// converge to proportions given by their contenders: a router at which a single tenant sends too
// much yields to one at which many tenants lack capacity.
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
	l.toleratedPressure *= 1 - windowMillis*decayPerMillis
	l.baseStretch *= 1 - windowMillis*decayPerMillis
	l.set(l.limit)
	l.startWindow()
}

// updateRejectShares updates the shares of requests that the Balancer rejects.
func (l *limiter) updateRejectShares() {
	if l.ended == 0 {
		return
	}
	overload := float64(l.overloadRejects) / float64(l.ended)
	origin := float64(l.originRejects) / float64(l.ended)
	l.overloadRejectShare += rejectGain * (overload - l.overloadRejectShare)
	l.originRejectShare += rejectGain * (origin - l.originRejectShare)
}

// updateStretch updates the stretch averages once there are enough answers.
func (l *limiter) updateStretch(isLow bool) {
	if l.stretchCount < minStretchSamples {
		return
	}
	mean := l.stretchSum / float64(l.stretchCount)
	if isLow { // answers are this slow even with few requests in progress
		l.baseStretch += baseGain * max(0, mean-l.baseStretch)
	}
	l.excessStretch = updateAverage(
		l.excessStretch, mean-max(acceptableStretch, baseTolerance*l.baseStretch), excessGain)
	l.stretchCount = 0
	l.stretchSum = 0
}

// pressure returns how strongly the limit should fall: the share of requests that the Balancer
// rejects plus the weighted excess stretch, minus the tolerated pressure.
func (l *limiter) pressure() float64 {
	pressure := l.overloadRejectShare + max(0, l.originRejectShare-originRejectTolerance)
	pressure += stretchPressure * max(0, l.excessStretch)
	pressure -= l.toleratedPressure
	return max(0, pressure)
}

// startWindow resets the counters of the last window.
func (l *limiter) startWindow() {
	l.ended = 0
	l.overloadRejects = 0
	l.originRejects = 0
	l.peakInUse = l.inUse
}

// updateAverage returns an EWMA after one more value. An average of 0 has no value yet.
func updateAverage(average, value, gain float64) float64 {
	if average == 0 {
		return value
	}
	return average + gain*(value-average)
}
