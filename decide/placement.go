package decide

import (
	"cmp"
	"math"
	"slices"
)

// This file places keys on servers as described by Zeng and Veeravalli in "On the Design of
// Distributed Object Placement and Load Balancing Strategies in Large-Scale Networked Multimedia
// Storage Systems". The equations and tables that comments cite are from that paper. The steps are:
//
//  1. candidates: the servers of the key's memento-hash list that are in use, the home first.
//  2. prepareModels: each server as an M/G/m queue with the load that other routers send it.
//  3. solve: the hottest keys, in descending order of λ_i/μ_i.
//  4. chooseCopies: copies of a hot key, in ascending order of their first derivative length (FDL),
//     while waiting decreases.
//  5. equalizeFDL: the shares of the copies.
//  6. pick: a server for a request, drawn by the shares and subject to the queues.

const (
	// maxSolveIntervalMillis is the longest time between two solutions.
	maxSolveIntervalMillis = 1000
	// minSolveIntervalMillis is the shortest time between two solutions, after a change of the
	// input.
	minSolveIntervalMillis = 250
	// solvedUtilization is the utilization that the rates are scaled to, as in the paper.
	solvedUtilization = 0.9
	// minTotalPerSecond keeps divisions by rates finite.
	minTotalPerSecond = 1e-3
	// maxChannels bounds the channels of a server, and thereby the cost of its formulas.
	maxChannels = 256
	// minTrafficShareFactor is the smallest estimate of this router's share of all traffic, as a
	// multiple of an equal share.
	minTrafficShareFactor = 0.5

	// maxSplitKeys is the number of keys that may be split.
	maxSplitKeys = 32
	// minHotArrivals is the decayed number of arrivals from which a key may be split.
	minHotArrivals = 1.5
	// maxFetchesPerSecond bounds the rate of fetches that a copy of a key adds. A frequently
	// requested copy costs one fetch each time its server drops the value, and one for the other
	// value that storing it evicts.
	maxFetchesPerSecond = 0.8

	// maxSweeps ends equalizeFDL if it does not converge.
	maxSweeps = 40
	// convergenceTolerance is the paper's ε: the relative change of F that ends the sweeps.
	convergenceTolerance = 1e-3
	// sweepStep is the step of equation (10).
	sweepStep = 0.5
	// minCurvature keeps the division of equation (10) finite.
	minCurvature = 1e-12
)

// placementState holds the state of the solver.
type placementState struct {
	// solvedAt is when the solver last ran, ms.
	solvedAt float64
	// isStale says that the input of the solver has changed since.
	isStale bool
	// scale is the factor that brings the rates to solvedUtilization.
	scale float64
	// trafficShare is this router's estimated share of all traffic.
	trafficShare float64
}

// candidates returns the servers that a key may be sent to, the home first. Servers of the key's
// list that are not in use are skipped.
func (b *Balancer) candidates(k *keyTraffic) []*server {
	inUse := slices.Clone(b.membership.hashList(k))
	inUse = slices.DeleteFunc(inUse, func(s *server) bool { return !s.isInUse() })
	moveHomeFirst(k, inUse)
	return inUse
}

// moveHomeFirst moves the home of a key to the front: the first server that accepts the key. Each
// accepts keys in proportion to its share of the largest capacity, so that homes are distributed by
// capacity (von Neumann's rejection sampling). The draw depends only on the key and the server, so
// routers agree and few keys move.
func moveHomeFirst(k *keyTraffic, list []*server) {
	for i, s := range list {
		if homeDraw(k.id, s.ID) < s.model.homeShare {
			copy(list[1:], list[:i])
			list[0] = s
			return
		}
	}
}

// homeDraw returns the pseudorandom number from 0 to 1 of a key and a server: the upper 53 bits of
// a hash.
func homeDraw(key uint64, id uint32) float64 {
	return float64(splitMix64(key^uint64(id)<<32)>>11) / (1 << 53)
}

// solveIfDue recomputes the placement if it is old, or stale and not too recent.
func (b *Balancer) solveIfDue() {
	since := b.now - b.placement.solvedAt
	if since >= maxSolveIntervalMillis || b.placement.isStale && since >= minSolveIntervalMillis {
		b.solve()
	}
}

// prepareModels sets the channels and the background load of all servers, and the scale of the
// rates.
func (b *Balancer) prepareModels() {
	servicePerSecond := millisPerSecond / max(1, b.serviceTime.mean)
	meanPerSecond := b.updateTypicalCapacities()
	largestCapacity := 0.0
	for _, s := range b.membership.caches {
		largestCapacity = max(largestCapacity, b.capacities.typicalPerSecond(s, 1))
	}
	ownTotal := 0.0
	total := 0.0
	capacity := 0.0
	for _, s := range b.membership.caches {
		b.prepareModel(s, servicePerSecond, largestCapacity)
		ownPerSecond := b.perSecond(&s.attempts.work, workTimeConstantMillis)
		s.model.arrivalsPerSecond = b.othersPerSecond(s, ownPerSecond, meanPerSecond)
		s.model.othersHotPerSecond = 0
		ownTotal += ownPerSecond
		if s.isInUse() {
			total = total + ownPerSecond + s.model.arrivalsPerSecond
			capacity += float64(s.model.channels) * servicePerSecond
		}
	}
	b.placement.trafficShare = 1 / float64(b.cfg.Routers)
	if meanPerSecond > 0 {
		minShare := minTrafficShareFactor * b.placement.trafficShare
		b.placement.trafficShare = max(ownTotal/max(total, ownTotal, minTotalPerSecond), minShare)
	}
	b.placement.scale = solvedUtilization * capacity / max(total, minTotalPerSecond)
	for _, s := range b.membership.caches {
		s.model.arrivalsPerSecond *= b.placement.scale
	}
}

// prepareModel sets the channels n_j of a server and the share of keys that it is home to. Failed
// attempts and a slow start lower both.
func (b *Balancer) prepareModel(s *server, servicePerSecond, largestCapacity float64) {
	accepted := s.health.acceptedShare
	warm := b.warmShare(s)
	channels := b.capacityPerSecond(s) * accepted * accepted * warm / servicePerSecond
	s.model.servicePerSecond = servicePerSecond
	s.model.channels = int(min(maxChannels, max(1, channels)))
	s.model.homeShare = b.capacities.typicalPerSecond(s, 1) * accepted * accepted * warm / largestCapacity
}

// othersPerSecond estimates the background load of a server: its reported rate without what this
// router sends and without what others send for individually solved keys, which is added later. The
// older a report is, the more weight the mean over all servers has.
func (b *Balancer) othersPerSecond(s *server, ownPerSecond, meanPerSecond float64) float64 {
	reportWeight := math.Exp((s.load.reportedAt - b.now) / trafficTimeConstantMillis)
	reported := max(0, s.load.reportedPerSecond-ownPerSecond-s.model.othersHotPerSecond)
	return reportWeight*reported + (1-reportWeight)*meanPerSecond
}

// solve places the hottest keys, in descending order of λ_i/μ_i as in Table 2, and splits them over
// several servers. All others stay at their homes, where nothing is to be computed for them: each
// solution would otherwise move them, and each move causes a miss.
func (b *Balancer) solve() {
	b.placement.solvedAt = b.now
	b.placement.isStale = false
	b.prepareModels()
	hottest := hottestKeys{limit: maxSplitKeys, compare: compareLoad}
	b.forEachKey(func(k *keyTraffic) {
		k.copies = nil
		hottest.add(k)
	})
	timeConstant := b.keyTimeConstantMillis()
	for _, k := range hottest.keys {
		candidates := b.candidates(k)
		keyPerSecond := b.perSecond(&k.arrivals, timeConstant) * k.meanWork * b.placement.scale
		switch {
		case len(candidates) == 0:
		case k.arrivals.value >= minHotArrivals:
			// Excludes the arrival that made the key hot, as it biases the rate upwards.
			fleetPerSecond := keyPerSecond / b.placement.trafficShare * (1 - 1/k.arrivals.value)
			b.chooseCopies(k, candidates, fleetPerSecond)
		default:
			candidates[0].model.arrivalsPerSecond += keyPerSecond
		}
	}
}

// chooseCopies places a key on its home and adds other candidates, in ascending order of their FDL,
// while the modeled waiting decreases. The shares are solved at scaled rates, but a copy must save
// more waiting than its fetches cost at the actual rates. The load of the copies is added to the
// servers.
func (b *Balancer) chooseCopies(k *keyTraffic, candidates []*server, arrivalsPerSecond float64) {
	momentRatio := b.serviceTime.ratio()
	fdl := func(s *server) float64 {
		_, slope, _ := mgmWaiting(s.model.arrivalsPerSecond, s.model.channels, s.model.servicePerSecond, momentRatio)
		return slope
	}
	slices.SortStableFunc(candidates[1:], func(p, q *server) int { return cmp.Compare(fdl(p), fdl(q)) })
	rates := []float64{arrivalsPerSecond}
	for i := 1; i < len(candidates); i++ {
		rates = append(rates, 0)
		wider := slices.Clone(rates)
		b.equalizeFDL(candidates[:i+1], wider)
		gain := b.waitingSaved(candidates[:i+1], rates, wider, momentRatio)
		if gain <= b.copyCost(wider[i])+convergenceTolerance {
			rates = rates[:i]
			break
		}
		rates = wider
	}
	k.copies = candidates[:len(rates)]
	k.shares = rates
	for j, s := range k.copies {
		s.model.arrivalsPerSecond += rates[j]
		s.model.othersHotPerSecond += rates[j] / b.placement.scale * (1 - b.placement.trafficShare)
		rates[j] /= arrivalsPerSecond
	}
}

// waitingSaved returns by how much the new rates reduce the number of requests waiting at the
// servers, compared with the old rates, both without the scale.
func (b *Balancer) waitingSaved(servers []*server, oldRates, newRates []float64, momentRatio float64) (saved float64) {
	scale := b.placement.scale
	for j, s := range servers {
		m := &s.model
		oldWaiting, _, _ := mgmWaiting((m.arrivalsPerSecond+oldRates[j])/scale, m.channels, m.servicePerSecond,
			momentRatio)
		newWaiting, _, _ := mgmWaiting((m.arrivalsPerSecond+newRates[j])/scale, m.channels, m.servicePerSecond,
			momentRatio)
		saved += oldWaiting - newWaiting
	}
	return saved
}

// copyCost returns the mean number of requests that wait for fetches of a copy with the given rate.
func (b *Balancer) copyCost(perSecond float64) float64 {
	fetchesPerSecond := min(perSecond/b.placement.scale, maxFetchesPerSecond)
	return fetchesPerSecond * b.originFetches.latency.value / millisPerSecond
}

// equalizeFDL distributes the rates of a key over the servers by the procedure of Table 1, until
// all have the same first derivative length of λ_j·T_j(λ_j), and returns F.
func (b *Balancer) equalizeFDL(servers []*server, rates []float64) float64 {
	var slopes, curvatures [candidateLimit]float64
	momentRatio := b.serviceTime.ratio()
	previousTotal := 0.0
	for sweep := 0; ; sweep++ {
		total := 0.0
		remainingRate := 0.0
		lowest := 0
		for j, s := range servers {
			waiting, slope, curvature := mgmWaiting(s.model.arrivalsPerSecond+rates[j], s.model.channels,
				s.model.servicePerSecond, momentRatio)
			slopes[j] = slope
			curvatures[j] = curvature
			total += waiting
			remainingRate += rates[j]
			if slope < slopes[lowest] {
				lowest = j
			}
		}
		if sweep == maxSweeps || sweep > 0 && math.Abs(total-previousTotal) <= convergenceTolerance*total {
			return total
		}
		for j := range servers {
			if j != lowest { // equation (10)
				step := sweepStep * (slopes[j] - slopes[lowest]) / (curvatures[j] + curvatures[lowest] + minCurvature)
				rates[j] = max(0, rates[j]-step)
				remainingRate -= rates[j]
			}
		}
		rates[lowest] = remainingRate // equation (11)
		previousTotal = total
	}
}

// pick returns the server for a request's next attempt, or nil after setting the cause. A split
// key's server is drawn by the solved shares; any other key's is its home. If that server's queue
// is too long, the others of the key's list are tried.
func (b *Balancer) pick(r *request) *server {
	if r.isTooLate(b.now) {
		b.cause = causeLate
		return nil
	}
	var drawn *server
	if candidates := b.candidates(r.key); len(candidates) > 0 {
		drawn = candidates[0]
	}
	firstListed := drawn
	if len(r.key.hashList) > 0 {
		firstListed = r.key.hashList[0]
	}
	if firstListed != drawn && b.mustProbe(firstListed, r) {
		return firstListed
	}
	if copyDrawn := r.key.drawCopy(b.rng.Float64()); copyDrawn != nil {
		drawn = copyDrawn
	}
	return b.pickByQueue(r, drawn)
}

// drawCopy returns one of a key's copies, chosen by their shares and a random number from 0 to 1,
// or nil if the key has none.
func (k *keyTraffic) drawCopy(random float64) (drawn *server) {
	for j := 0; j < len(k.copies) && random >= 0; j++ {
		drawn = k.copies[j]
		random -= k.shares[j]
	}
	return drawn
}

// pickByQueue returns the first server whose queue is short enough for a request. It tries the
// server to prefer for a repeat, the drawn one, and those of the key's list. Ejected servers are
// tried only if no other server may be. A request that can't be rejected is sent even if the queue
// is too long.
func (b *Balancer) pickByQueue(r *request, drawn *server) *server {
	tolerated := b.toleratedWaitMillis(r)
	tryOrder := append([]*server{r.preferredServer, drawn}, r.key.hashList...)
	b.cause = causeNoServer
	var fallback *server
	for _, isLastResort := range [...]bool{false, true} {
		for _, s := range tryOrder {
			if !b.isCandidateFor(r, s, isLastResort) {
				continue
			}
			wait := b.expectedWaitMillis(s)
			if s != drawn && s != r.preferredServer && s != r.key.storedOn {
				// The server has to fetch the value: spreading keys would keep a slow origin
				// overloaded.
				wait += b.originFetches.latency.value
			}
			b.cause = causeQueue
			fallback = s
			if b.fitsInQueue(r, s, wait, tolerated) {
				return s
			}
		}
		if fallback != nil {
			break
		}
	}
	if r.inFlight > 0 || b.mayReject(r, b.retryAfterMillis(r)) {
		return nil
	}
	return fallback
}

// isCandidateFor reports whether a request's next attempt may go to a server, apart from its queue.
func (b *Balancer) isCandidateFor(r *request, s *server, isLastResort bool) bool {
	if s == nil || s != r.preferredServer && r.hasTried(s) || !b.mayAttempt(r, s) {
		return false
	}
	if b.isUsableFor(s, r) {
		return true
	}
	return isLastResort && s.acceptsNewWork() && b.hasSlowStartBudget(s, r.work)
}
