package decide

import "math"

const (
	// workTimeConstantMillis is the time constant of the work that this router sends to a server.
	workTimeConstantMillis = 2000
	// waitTimeConstantMillis is the time constant of the observed waits of a server.
	waitTimeConstantMillis = 2000
	// latencyDecayMillis is the time constant with which an observed latency decays. Without the
	// decay, a server that is rejected for its latency would stay rejected, as no answer could
	// correct it.
	latencyDecayMillis = 1000
	// priorWaits is the number of mean waits over all servers that are added to a server's own
	// waits.
	priorWaits = 2
	// meanWaitCacheMillis is how long the mean wait over all servers is cached.
	meanWaitCacheMillis = 100
	// minWaitCount is the decayed number of waits below which a server is left out of that mean.
	minWaitCount = 1e-3
	// minArrivalsDivisor keeps a division finite.
	minArrivalsDivisor = 0.01
)

// cachedWait is a wait and the time when it was computed.
type cachedWait struct {
	millis     float64
	computedAt float64 // ms
}

// expectedWaitMillis estimates the time that a new request will wait at a server. By Little's law,
// the number of other routers' requests there is their rate times the observed latency. This
// router's own attempts in flight are counted.
func (b *Balancer) expectedWaitMillis(s *server) float64 {
	latency := &s.load.latencyPerWork
	decay := math.Exp((latency.updatedAt - b.now) / latencyDecayMillis)
	ownPerSecond := b.perSecond(&s.attempts.work, workTimeConstantMillis)
	othersPerSecond := max(0, s.load.reportedPerSecond-ownPerSecond)
	othersInFlight := othersPerSecond * latency.value / millisPerSecond * decay
	observed := b.observedWaitMillis(s)
	capacity := b.capacityPerSecond(s) * b.warmShare(s)
	inFlight := float64(s.attempts.inFlight) + othersInFlight + 1
	return observed + max(0, inFlight*millisPerSecond/capacity-latency.floor)
}

// observedWaitMillis returns the mean of a server's recent waits. If each server rarely gets a
// request from this router, the mean wait over all servers is the best, and the only, estimate of
// its queue. The divisor includes the prior for a cold server too, which moves its wait towards 0.
func (b *Balancer) observedWaitMillis(s *server) float64 {
	prior := float64(priorWaits)
	if b.warmShare(s) < 1 {
		prior = 0 // its queue was empty at the start, and the budgets of all routers bound it
	}
	waits := s.load.waits.decayTo(b.now, waitTimeConstantMillis) + prior*b.meanWaitMillis()
	wait := waits / (s.load.waitCount.decayTo(b.now, waitTimeConstantMillis) + priorWaits)
	if s.health.isEjected {
		return wait // an ejected server is tried as a last resort, and there is no better estimate
	}
	return wait * b.lowTrafficFactor()
}

// recordWait records an observed wait of a server.
func (b *Balancer) recordWait(s *server, millis float64) {
	s.load.waits.add(b.now, waitTimeConstantMillis, max(0, millis))
	s.load.waitCount.add(b.now, waitTimeConstantMillis, 1)
}

// meanWaitMillis returns the mean wait over all servers. Each server has the same weight, however
// many requests it got.
func (b *Balancer) meanWaitMillis() float64 {
	if b.now < b.meanWait.computedAt+meanWaitCacheMillis {
		return b.meanWait.millis
	}
	sum := 0.0
	weights := 1.0
	for _, s := range b.membership.caches {
		count := s.load.waitCount.decayTo(b.now, waitTimeConstantMillis)
		if count > minWaitCount {
			weight := min(1, count)
			sum += weight * s.load.waits.decayTo(b.now, waitTimeConstantMillis) / count
			weights += weight
		}
	}
	b.meanWait = cachedWait{millis: sum / weights, computedAt: b.now}
	return b.meanWait.millis
}

// lowTrafficFactor returns a factor that is near 1 if this router sends each server a request only
// every few seconds, and near 0 if it sends many.
func (b *Balancer) lowTrafficFactor() float64 {
	perSecond := b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	return 1 - math.Exp(-float64(len(b.membership.caches))/(2*perSecond+minArrivalsDivisor))
}
