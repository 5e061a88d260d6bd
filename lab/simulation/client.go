package simulation

import (
	"cmp"

	"dockhinge.example/dockhinge/decide"
)

// clientRequest is a request of a client, with all its tries.
type clientRequest struct {
	class        int
	key          uint64
	rank         int
	arrivedAt    float64
	work         float64
	isWrite      bool
	tryCount     int
	isDone       bool
	zone         int
	firstOutcome string // how its first try ended; empty until then
}

// outcomeRouterDead is the outcome of a first try at a router that was or became dead.
const outcomeRouterDead = "router dead"

// nextInterval draws the time in milliseconds until the next request arrives.
func (d *day) nextInterval() float64 {
	rate := d.params.Rate
	for _, b := range d.params.Bursts {
		if at := d.now - dayStart; at >= b.At && at < b.At+b.For {
			rate *= b.RateFactor
		}
	}
	return d.rng.ExpFloat64() * 1000 / rate
}

// arrive starts a client request and schedules the next one.
func (d *day) arrive() {
	if d.now >= dayStart+d.params.LengthMillis {
		return
	}
	d.after(d.nextInterval(), d.arrive)
	rank := drawIndex(d.rng, d.cumulativePopularity)
	w := &clientRequest{key: d.keyByRank[rank], rank: rank, arrivedAt: d.now, work: d.params.Work}
	if d.params.WorkCV > 0 {
		w.work *= lognormal(d.rng, d.params.WorkCV)
	} else {
		w.work *= d.rng.ExpFloat64()
	}
	switch u := d.rng.Float64(); {
	case u < d.params.IdempotentWriteShare:
		w.class, w.isWrite = 1, true
	case u < d.params.IdempotentWriteShare+d.params.OtherWriteShare:
		w.class, w.isWrite = 2, true
	}
	d.sums.Requests++
	d.sums.Work += w.work
	d.sums.Worth[w.class] += d.params.Config.Classes[w.class].PriorityWeight
	d.secondAt(d.now).Requests++
	d.bandOf(w).Requests++
	router := drawIndex(d.rng, d.cumulativeTraffic)
	w.zone = router % d.params.Zones
	d.sendTry(w, d.routers[router])
}

// sendTry sends one try of a client to a router.
func (d *day) sendTry(w *clientRequest, r *router) {
	c := d.params.Config.Classes[w.class]
	w.tryCount++
	d.sums.Tries++
	d.secondAt(d.now).Tries++
	if w.tryCount > 1 {
		d.sums.Retries++
	}
	if r.isDead { // its connections have been reset, and new ones are refused
		w.firstOutcome = cmp.Or(w.firstOutcome, outcomeRouterDead)
		d.retryLater(w, 0)
		return
	}
	r.lastRequestID++
	left := min(d.params.Clients.TryTimeoutShare*c.DeadlineMillis, c.DeadlineMillis-(d.now-w.arrivedAt))
	q := &request{client: w, id: r.lastRequestID, key: w.key, work: w.work}
	r.requests[q.id] = q
	d.after(left, func() { r.clientLeaves(q) })
	hint := 0.0
	if d.params.SendsWorkHints {
		hint = w.work
	}
	r.balancer.Request(d.now, decide.Request{ID: q.id, Class: c.Name, Key: q.key, HasKey: true,
		RemainingMillis: left, WorkHint: hint, IsRetry: w.tryCount > 1, IsWrite: w.isWrite})
}

// retryLater schedules another try after one that was not served, unless the client has no tries or no time
// left. A positive retryAfterMillis is the retry delay that the router gave, in milliseconds.
func (d *day) retryLater(w *clientRequest, retryAfterMillis float64) {
	c := d.params.Config.Classes[w.class]
	pause := d.params.Clients.BackoffMillis * float64(int(1)<<min(20, w.tryCount-1)) * (0.5 + d.rng.Float64())
	if retryAfterMillis > 0 && d.rng.Float64() < d.params.Clients.HonorProbability {
		pause = retryAfterMillis * (1 + 0.1*d.rng.Float64())
	}
	if w.tryCount > d.params.Clients.Retries || d.now+pause >= w.arrivedAt+c.DeadlineMillis {
		d.recordFailure(w)
		return
	}
	d.after(pause, func() {
		if w.isDone {
			return
		}
		var alive []*router // the load balancer in front of the routers picks a live one in the client's zone
		for i := w.zone; i < len(d.routers); i += d.params.Zones {
			if !d.routers[i].isDead {
				alive = append(alive, d.routers[i])
			}
		}
		if len(alive) == 0 {
			d.recordFailure(w)
			return
		}
		d.sendTry(w, alive[d.rng.IntN(len(alive))])
	})
}

// recordFailure ends a client request that was not served.
func (d *day) recordFailure(w *clientRequest) {
	if !w.isDone {
		w.isDone = true
		d.sums.Failed++
		d.sums.NotInTimeByOutcome[w.firstOutcome]++
	}
}

// recordSuccess ends a client request that was served.
func (d *day) recordSuccess(w *clientRequest) {
	if w.isDone {
		return
	}
	w.isDone = true
	d.sums.Served++
	if c := d.params.Config.Classes[w.class]; d.now-w.arrivedAt <= c.LatencyObjectiveMillis {
		d.sums.InTime++
		d.sums.Gained[w.class] += c.PriorityWeight
		d.secondAt(w.arrivedAt).InTime++
		d.bandOf(w).InTime++
	} else {
		d.sums.NotInTimeByOutcome["late, "+w.firstOutcome]++
	}
}
