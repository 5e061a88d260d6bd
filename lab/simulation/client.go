package simulation

import (
	"cmp"

	"dockhinge.example/dockhinge/decide"
)

// wish is a request of a client, with all its tries.
type wish struct {
	class int
	key   uint64
	rank  int
	asked float64
	work  float64
	write bool
	tries int
	over  bool
	zone  int
	story string // how its first try ended; empty until then
}

// routerDead is the outcome of a first try at a router that was or became dead.
const routerDead = "router dead"

// gap draws the time in milliseconds until the next request arrives.
func (d *day) gap() float64 {
	rate := d.p.Rate
	for _, b := range d.p.Bursts {
		if at := d.now - begin; at >= b.At && at < b.At+b.For {
			rate *= b.Times
		}
	}
	return d.rng.ExpFloat64() * 1000 / rate
}

// arrive starts a client request and schedules the next one.
func (d *day) arrive() {
	if d.now >= begin+d.p.Length {
		return
	}
	d.after(d.gap(), d.arrive)
	rank := draw(d.rng, d.ranks)
	w := &wish{key: d.key[rank], rank: rank, asked: d.now, work: d.p.Work}
	if d.p.WorkCV > 0 {
		w.work *= lognormal(d.rng, d.p.WorkCV)
	} else {
		w.work *= d.rng.ExpFloat64()
	}
	switch u := d.rng.Float64(); {
	case u < d.p.Keyed:
		w.class, w.write = 1, true
	case u < d.p.Keyed+d.p.Once:
		w.class, w.write = 2, true
	}
	d.sums.Requests++
	d.sums.Work += w.work
	d.sums.Worth[w.class] += d.p.Config.Classes[w.class].PriorityWeight
	d.second(d.now).Requests++
	d.band(w).Requests++
	router := draw(d.rng, d.parts)
	w.zone = router % d.p.Zones
	d.try(w, d.routers[router])
}

// try sends one try of a client to a router.
func (d *day) try(w *wish, r *router) {
	c := d.p.Config.Classes[w.class]
	w.tries++
	d.sums.Tries++
	d.second(d.now).Tries++
	if w.tries > 1 {
		d.sums.Retries++
	}
	if r.dead { // its connections have been reset, and new ones are refused
		w.story = cmp.Or(w.story, routerDead)
		d.again(w, 0)
		return
	}
	r.last++
	left := min(d.p.Clients.Try*c.DeadlineMillis, c.DeadlineMillis-(d.now-w.asked))
	q := &request{wish: w, id: r.last, key: w.key, work: w.work}
	r.reqs[q.id] = q
	d.after(left, func() { r.leave(q) })
	hint := 0.0
	if d.p.Hints {
		hint = w.work
	}
	r.b.Request(d.now, decide.Request{ID: q.id, Class: c.Name, Key: q.key, HasKey: true,
		RemainingMillis: left, WorkHint: hint, IsRetry: w.tries > 1, IsWrite: w.write})
}

// again schedules another try after one that was not served, unless the client has no tries or no time
// left. A positive told is the retry delay that the router gave, in milliseconds.
func (d *day) again(w *wish, told float64) {
	c := d.p.Config.Classes[w.class]
	pause := d.p.Clients.Pause * float64(int(1)<<min(20, w.tries-1)) * (0.5 + d.rng.Float64())
	if told > 0 && d.rng.Float64() < d.p.Clients.Honour {
		pause = told * (1 + 0.1*d.rng.Float64())
	}
	if w.tries > d.p.Clients.Retries || d.now+pause >= w.asked+c.DeadlineMillis {
		d.lose(w)
		return
	}
	d.after(pause, func() {
		if w.over {
			return
		}
		var alive []*router // the load balancer in front of the routers picks a live one in the client's zone
		for i := w.zone; i < len(d.routers); i += d.p.Zones {
			if !d.routers[i].dead {
				alive = append(alive, d.routers[i])
			}
		}
		if len(alive) == 0 {
			d.lose(w)
			return
		}
		d.try(w, alive[d.rng.IntN(len(alive))])
	})
}

// lose ends a client request that was not served.
func (d *day) lose(w *wish) {
	if !w.over {
		w.over = true
		d.sums.Failed++
		d.sums.NotInTimeByOutcome[w.story]++
	}
}

// serve ends a client request that was served.
func (d *day) serve(w *wish) {
	if w.over {
		return
	}
	w.over = true
	d.sums.Served++
	if c := d.p.Config.Classes[w.class]; d.now-w.asked <= c.LatencyObjectiveMillis {
		d.sums.InTime++
		d.sums.Gained[w.class] += c.PriorityWeight
		d.second(w.asked).InTime++
		d.band(w).InTime++
	} else {
		d.sums.NotInTimeByOutcome["late, "+w.story]++
	}
}
