package decide

import (
	"cmp"
	"math"
	"slices"
)

// The placement of keys on servers, after Zeng and Veeravalli, "On the Design of Distributed Object
// Placement and Load Balancing Strategies in Large-Scale Networked Multimedia Storage Systems".
// The equations and tables that comments cite are the paper's. In the order of the design:
//
//  1. candidates and home: the entries of the key's memento-hash list that are in use,
//  2. prepareModels: each server as an M/G/m queue with the load that others send it,
//  3. solve: keys in descending order of λ_i/μ_i,
//  4. widen: copies of a hot key, in ascending order of their FDL, while the waiting falls,
//  5. equaliseFDL: the shares of the copies,
//  6. pick: a server for a request, drawn by the shares, with regard to queues.

const (
	// solveMillis is the longest time between two solutions.
	solveMillis = 1000
	// solveWhenStaleMillis is the least time, if something has changed that calls for one.
	solveWhenStaleMillis = 250
	// solvedUtilization is the utilisation that the rates are scaled to, as in the paper.
	solvedUtilization = 0.9
	// minTotalPerSecond keeps divisions by rates finite.
	minTotalPerSecond = 1e-3
	// maxChannels bounds the channels of a server, and so the cost of its formulas.
	maxChannels = 256
	// minTrafficShareFactor is the least part of an equal share that this router's share of all
	// traffic is taken for.
	minTrafficShareFactor = 0.5

	// maxSplitKeys is the number of keys that are solved singly.
	maxSplitKeys = 32
	// hotArrivals is the number of arrivals in memory from which a key is solved singly.
	hotArrivals = 1.5
	// maxFetchesPerSecond is the rate of fetches that a copy of a key costs at most: where it is
	// asked often, one for each time that its server forgets it, and one for what it evicts.
	maxFetchesPerSecond = 0.8

	// maxSweeps ends equaliseFDL if it does not converge.
	maxSweeps = 40
	// convergence is the paper's ε: the relative change of F that ends the sweeps.
	convergence = 1e-3
	// sweepStep is the step of equation (10).
	sweepStep = 0.5
	// minCurvature keeps the division of equation (10) finite.
	minCurvature = 1e-12
)

// placementState is the state of the solver.
type placementState struct {
	// solvedAt is when it ran last, ms.
	solvedAt float64
	// isStale says that something has changed that calls for it.
	isStale bool
	// scale is the factor of rates that brings them to solvedUtilization.
	scale float64
	// trafficShare is this router's share of all traffic, as far as reports tell.
	trafficShare float64
}

// candidates are the servers that a key may go to, the home first. Servers that are not in use are
// skipped in their place of the list.
func (b *Balancer) candidates(k *keyTraffic) []*server {
	inUse := slices.Clone(b.membership.hashList(k))
	inUse = slices.DeleteFunc(inUse, func(s *server) bool { return !s.isInUse() })
	moveHomeFirst(k, inUse)
	return inUse
}

// moveHomeFirst moves the home of a key to the front: the first server that takes it. Each takes
// keys by its share of the largest capacity, so that homes are spread by capacity (von Neumann's
// rejection sampling). A key and a server always draw the same number, so that routers agree and
// few keys move.
func moveHomeFirst(k *keyTraffic, list []*server) {
	for i, s := range list {
		if homeDraw(k.id, s.ID) < s.model.homeShare {
			copy(list[1:], list[:i])
			list[0] = s
			return
		}
	}
}

// homeDraw is the number from 0 to 1 that a key and a server draw: the upper 53 bits of a hash.
func homeDraw(key uint64, id uint32) float64 {
	return float64(splitMix64(key^uint64(id)<<32)>>11) / (1 << 53)
}

// solveIfDue renews the placement.
func (b *Balancer) solveIfDue() {
	since := b.now - b.placement.solvedAt
	if since >= solveMillis || b.placement.isStale && since >= solveWhenStaleMillis {
		b.solve()
	}
}

// prepareModels sets channels and background load of all servers, and the scale of rates.
func (b *Balancer) prepareModels() {
	servicePerSecond := millisPerSecond / max(1, b.serviceTime.mean)
	meanPerSecond := b.surveyCapacities()
	largest := 0.0
	for _, s := range b.membership.caches {
		largest = max(largest, b.capacities.typicalPerSecond(s, 1))
	}
	own := 0.0
	total := 0.0
	capacity := 0.0
	for _, s := range b.membership.caches {
		b.prepareModel(s, servicePerSecond, largest)
		ownPerSecond := b.perSecond(&s.attempts.work, workTimeConstantMillis)
		s.model.arrivalsPerSecond = b.othersPerSecond(s, ownPerSecond, meanPerSecond)
		s.model.othersHotPerSecond = 0
		own += ownPerSecond
		if s.isInUse() {
			total = total + ownPerSecond + s.model.arrivalsPerSecond
			capacity += float64(s.model.channels) * servicePerSecond
		}
	}
	b.placement.trafficShare = 1 / float64(b.cfg.Routers)
	if meanPerSecond > 0 {
		least := minTrafficShareFactor * b.placement.trafficShare
		b.placement.trafficShare = max(own/max(total, own, minTotalPerSecond), least)
	}
	b.placement.scale = solvedUtilization * capacity / max(total, minTotalPerSecond)
	for _, s := range b.membership.caches {
		s.model.arrivalsPerSecond *= b.placement.scale
	}
}

// prepareModel sets the channels n_j of a server and the share of keys that it is home to. What it
// does not accept, and what it can't do yet while it is cold, lowers both.
func (b *Balancer) prepareModel(s *server, servicePerSecond, largestCapacity float64) {
	accepted := s.health.acceptedShare
	warm := b.warmShare(s)
	channels := b.capacityPerSecond(s) * accepted * accepted * warm / servicePerSecond
	s.model.servicePerSecond = servicePerSecond
	s.model.channels = int(min(maxChannels, max(1, channels)))
	s.model.homeShare = b.capacities.typicalPerSecond(s, 1) * accepted * accepted * warm / largestCapacity
}

// othersPerSecond is the background load of a server: what it reports less what this router sends
// and what others send there of the keys that are solved singly, which are added later. An old
// report tells no more than the mean.
func (b *Balancer) othersPerSecond(s *server, ownPerSecond, meanPerSecond float64) float64 {
	fresh := math.Exp((s.load.reportedAt - b.now) / trafficTimeConstantMillis)
	reported := max(0, s.load.reportedPerSecond-ownPerSecond-s.model.othersHotPerSecond)
	return fresh*reported + (1-fresh)*meanPerSecond
}

// solve places all keys, in descending order of λ_i/μ_i as in Table 2. The hottest are split over
// several servers; the others stay at their homes, as they would otherwise move with each solution,
// and each move is a miss.
func (b *Balancer) solve() {
	b.placement.solvedAt = b.now
	b.placement.isStale = false
	b.prepareModels()
	keys := b.currentKeys()
	timeConstant := b.keyTimeConstantMillis()
	slices.SortStableFunc(keys, func(p, q *keyTraffic) int { return cmp.Compare(q.channelLoad(), p.channelLoad()) })
	for i, k := range keys {
		k.copies = nil
		candidates := b.candidates(k)
		arrivals := b.perSecond(&k.arrivals, timeConstant) * k.meanWork * b.placement.scale
		switch {
		case len(candidates) == 0:
		case i < maxSplitKeys && k.arrivals.value >= hotArrivals:
			// Without the arrival that made it hot, which is no fair sample.
			ofFleet := arrivals / b.placement.trafficShare * (1 - 1/k.arrivals.value)
			b.widen(k, candidates, ofFleet)
		default:
			candidates[0].model.arrivalsPerSecond += arrivals
		}
	}
}

// widen starts a key at its home; other candidates join, in ascending order of their FDL, while the
// modelled waiting falls. Shares are solved at scaled rates, but a copy must save its requests a
// fetch at the rates as they are. The load of the split is added to the servers.
func (b *Balancer) widen(k *keyTraffic, candidates []*server, arrivalsPerSecond float64) {
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
		b.equaliseFDL(candidates[:i+1], wider)
		gain := b.waitingSaved(candidates[:i+1], rates, wider, momentRatio)
		if gain <= b.copyCost(wider[i])+convergence {
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

// waitingSaved is by how many requests fewer wait at the servers with the new rates than with the
// old ones, both as they are without the scale.
func (b *Balancer) waitingSaved(servers []*server, oldRates, newRates []float64, momentRatio float64) (saved float64) {
	scale := b.placement.scale
	for j, s := range servers {
		m := &s.model
		before, _, _ := mgmWaiting((m.arrivalsPerSecond+oldRates[j])/scale, m.channels, m.servicePerSecond, momentRatio)
		after, _, _ := mgmWaiting((m.arrivalsPerSecond+newRates[j])/scale, m.channels, m.servicePerSecond, momentRatio)
		saved += before - after
	}
	return saved
}

// copyCost is the number of requests that wait for the fetches of a copy which gets the given rate.
func (b *Balancer) copyCost(perSecond float64) float64 {
	fetchesPerSecond := min(perSecond/b.placement.scale, maxFetchesPerSecond)
	return fetchesPerSecond * b.originFetches.latency.value / millisPerSecond
}

// equaliseFDL moves the rates of a key over the servers by the procedure of Table 1, until all have
// the same first derivative length of λ_j·T_j(λ_j), and returns F.
func (b *Balancer) equaliseFDL(servers []*server, rates []float64) float64 {
	var slopes, curvatures [candidateLimit]float64
	momentRatio := b.serviceTime.ratio()
	before := 0.0
	for sweep := 0; ; sweep++ {
		total := 0.0
		rest := 0.0
		lowest := 0
		for j, s := range servers {
			waiting, slope, curvature := mgmWaiting(s.model.arrivalsPerSecond+rates[j], s.model.channels,
				s.model.servicePerSecond, momentRatio)
			slopes[j] = slope
			curvatures[j] = curvature
			total += waiting
			rest += rates[j]
			if slope < slopes[lowest] {
				lowest = j
			}
		}
		if sweep == maxSweeps || sweep > 0 && math.Abs(total-before) <= convergence*total {
			return total
		}
		for j := range servers {
			if j != lowest { // equation (10)
				step := sweepStep * (slopes[j] - slopes[lowest]) / (curvatures[j] + curvatures[lowest] + minCurvature)
				rates[j] = max(0, rates[j]-step)
				rest -= rates[j]
			}
		}
		rates[lowest] = rest // equation (11)
		before = total
	}
}

// pick chooses the server of a request's next attempt, or none, and then notes the cause. The
// server is drawn by the solved shares; that of a cold key is its home. If its queue is too long,
// the next ones of the key's list are tried.
func (b *Balancer) pick(r *request) *server {
	if r.isTooLate(b.now) {
		b.cause = causeLate
		return nil
	}
	var drawn *server
	if candidates := b.candidates(r.key); len(candidates) > 0 {
		drawn = candidates[0]
	}
	first := drawn
	if len(r.key.hashList) > 0 {
		first = r.key.hashList[0]
	}
	if first != drawn && b.mustProbe(first, r) {
		return first
	}
	if copyDrawn := r.key.drawCopy(b.rng.Float64()); copyDrawn != nil {
		drawn = copyDrawn
	}
	return b.pickByQueue(r, drawn)
}

// drawCopy chooses one of a key's copies by their shares and a random number from 0 to 1; nil = it
// has none.
func (k *keyTraffic) drawCopy(random float64) (drawn *server) {
	for j := 0; j < len(k.copies) && random >= 0; j++ {
		drawn = k.copies[j]
		random -= k.shares[j]
	}
	return drawn
}

// pickByQueue takes the first server whose queue a request fits in: where its key was missing, the
// one drawn, and those of the key's list. Ejected ones are a last resort, asked only if no other
// may be. A request that can't be rejected goes to a queue that is too long.
func (b *Balancer) pickByQueue(r *request, drawn *server) *server {
	tolerated := b.toleratedWaitMillis(r)
	list := append([]*server{r.askAgain, drawn}, r.key.hashList...)
	b.cause = causeNoServer
	var fallback *server
	for _, isLastResort := range [...]bool{false, true} {
		for _, s := range list {
			if !b.isCandidateFor(r, s, isLastResort) {
				continue
			}
			wait := b.expectedWaitMillis(s)
			if s != drawn && s != r.askAgain && s != r.key.storedOn {
				// It takes a fetch there: spreading keys would overload a slow origin for good.
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

// isCandidateFor says whether a request's next attempt may go to a server, if its queue allows.
func (b *Balancer) isCandidateFor(r *request, s *server, isLastResort bool) bool {
	if s == nil || s != r.askAgain && r.hasTried(s) || !b.mayAttempt(r, s) {
		return false
	}
	if b.isUsableFor(s, r) {
		return true
	}
	return isLastResort && s.acceptsNewWork() && b.hasSlowStartBudget(s, r.work)
}
