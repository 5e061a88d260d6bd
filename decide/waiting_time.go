package decide

import "math"

const (
	// workTimeConstantMillis is the memory of own work sent to a server.
	workTimeConstantMillis = 2000
	// waitTimeConstantMillis is the memory of waits that servers have shown.
	waitTimeConstantMillis = 2000
	// latencySeenMillis is the time constant by which a latency seen fades: one rejection for it
	// must not last for good, as no answer could correct it.
	latencySeenMillis = 1000
	// priorWaits is the number of waits common to the servers that are added to a server's own.
	priorWaits = 2
	// commonWaitMillis is how long the common wait is cached.
	commonWaitMillis = 100
	// minWaitCount is the number of waits in memory below which a server has none to tell of.
	minWaitCount = 1e-3
	// minArrivalsDivisor keeps a division finite.
	minArrivalsDivisor = 0.01
)

// cachedWait is a wait as it was at a time.
type cachedWait struct {
	millis     float64
	computedAt float64 // ms
}

// expectedWaitMillis is the time that a new request will wait at a server. By Little's law the
// other routers' requests there are their rate times the latency seen; own attempts in flight are
// known.
func (b *Balancer) expectedWaitMillis(s *server) float64 {
	latency := &s.load.latencyPerWork
	faded := math.Exp((latency.updatedAt - b.now) / latencySeenMillis)
	ownPerSecond := b.perSecond(&s.attempts.work, workTimeConstantMillis)
	othersPerSecond := max(0, s.load.reportedPerSecond-ownPerSecond)
	othersInFlight := othersPerSecond * latency.value / millisPerSecond * faded
	observed := b.observedWaitMillis(s)
	capacity := b.capacityPerSecond(s) * b.warmShare(s)
	inFlight := float64(s.attempts.inFlight) + othersInFlight + 1
	return observed + max(0, inFlight*millisPerSecond/capacity-latency.floor)
}

// observedWaitMillis is the mean of the waits that a server has shown lately. Where each server is
// rarely asked, what all show is the best guess of a queue, and the only one. The divisor keeps the
// prior for a cold server too, which draws its wait towards 0.
func (b *Balancer) observedWaitMillis(s *server) float64 {
	prior := float64(priorWaits)
	if b.warmShare(s) < 1 {
		prior = 0 // its queue began empty, and the budgets of all routers bound it
	}
	waits := s.load.waits.decayTo(b.now, waitTimeConstantMillis) + prior*b.commonWaitMillis()
	wait := waits / (s.load.waitCount.decayTo(b.now, waitTimeConstantMillis) + priorWaits)
	if s.health.isEjected {
		return wait // one that is tried as the last resort has no better guess
	}
	return wait * b.rarelyAskedShare()
}

// recordWait books a wait that a server has shown.
func (b *Balancer) recordWait(s *server, millis float64) {
	s.load.waits.add(b.now, waitTimeConstantMillis, max(0, millis))
	s.load.waitCount.add(b.now, waitTimeConstantMillis, 1)
}

// commonWaitMillis is the wait that is common to the servers: each has one vote, however often it
// was asked.
func (b *Balancer) commonWaitMillis() float64 {
	if b.now < b.commonWait.computedAt+commonWaitMillis {
		return b.commonWait.millis
	}
	sum := 0.0
	votes := 1.0
	for _, s := range b.membership.caches {
		count := s.load.waitCount.decayTo(b.now, waitTimeConstantMillis)
		if count > minWaitCount {
			vote := min(1, count)
			sum += vote * s.load.waits.decayTo(b.now, waitTimeConstantMillis) / count
			votes += vote
		}
	}
	b.commonWait = cachedWait{millis: sum / votes, computedAt: b.now}
	return b.commonWait.millis
}

// rarelyAskedShare is near 1 where seconds pass between two own attempts at a server, near 0 where
// there are many.
func (b *Balancer) rarelyAskedShare() float64 {
	perSecond := b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	return 1 - math.Exp(-float64(len(b.membership.caches))/(2*perSecond+minArrivalsDivisor))
}
