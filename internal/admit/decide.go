package admit

import (
	"math"
	"math/rand/v2"
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 11)) }

// begin brings the time up to now and carries out what is due by it.
func (a *Admission) begin(now float64) {
	if a.began < 0 {
		a.began, a.turned, a.lookAt = now, now, now+windowMS
	}
	a.now = max(now, a.now)
	if a.now-a.turned >= a.cfg.TurnMS { // so that nobody stays in one bucket with the same bully
		a.turned, a.salt = a.now, a.rng.Uint64()
	}
	for a.pexpiry.len() > 0 && a.pexpiry.leastKey() <= a.now {
		a.forget(a.pexpiry.least())
		a.heed -= 0.01 * a.heed
	}
	for a.expiry.len() > 0 && a.expiry.leastKey() <= a.now {
		i := a.expiry.least()
		n := a.nodes[i]
		a.drop(i)
		a.refuse(n.id, n.flow, n.cost, n.key)
	}
	if a.now >= a.lookAt {
		a.look()
	}
}

// Next is when Tick wants to be called; +Inf where nothing waits.
func (a *Admission) Next() float64 {
	if a.expiry.len() == 0 {
		return math.Inf(1)
	}
	return a.expiry.leastKey()
}

// Tick carries out what is due at now: a request that has waited for as long as it may is refused.
func (a *Admission) Tick(now float64) {
	a.begin(now)
	a.pump()
}

// Arrive takes a request at the door. It is let in, refused or has to wait; the Host is told.
func (a *Admission) Arrive(now float64, q Request) {
	a.begin(now)
	i, hash := a.find(q.Tenant)
	f := &a.flows[i]
	cost := a.cfg.Classes[q.Class].Cost * (1 + float64(q.Size)/bytesCost)
	who := identity(hash, q.Key, uint64(q.Class))
	again := q.Retry || a.saw(who)
	due, early := a.redeem(who)
	if !again && !due {
		f.tokens = min(a.cfg.RetryBurst, f.tokens+a.cfg.RetryShare)
		a.tokens = min(a.cfg.RetryBurst*4, a.tokens+a.cfg.RetryShare)
	}
	if a.waiting == 0 && a.inUse+cost/a.mean <= a.limit && len(a.spare) > 0 { // there is room: nobody is held back
		if !due && early > 0 {
			a.forget(a.pfind[who])
		}
		a.start(a.put(q, i, cost, who))
		return
	}
	allowed := min(a.cfg.MaxWaitMS, q.Left/2-a.usual[q.Class])
	switch {
	case early > 0: // told to come later than this: it gains nothing, and what it was told holds
		f.refused++
		a.host.Refuse(q.ID, early)
		return
	case again && !due && (f.tokens < 1 || a.tokens < 1), len(a.spare) == 0, a.waiting >= a.cfg.Queue && !a.makeRoom(i):
		a.refuse(q.ID, i, cost, who)
		return
	case again && !due:
		f.tokens--
		a.tokens--
	}
	if wait := a.wait(i, cost, max(0, allowed)); !due && wait > allowed || allowed <= 0 {
		a.refuse(q.ID, i, cost, who)
		return
	}
	n := a.put(q, i, cost, who)
	a.queue(n, a.now+allowed, due)
	a.pump()
}

// Ended tells what became of a request that was let in.
func (a *Admission) Ended(now float64, e End) {
	a.begin(now)
	i, ok := a.byID[e.ID]
	if !ok || a.nodes[i].queued {
		return
	}
	n := a.nodes[i]
	a.release(i)
	a.inUse = max(0, a.inUse-n.slots)
	a.ends++
	if e.Refused {
		a.turnedAway++
		a.note(n.key)
	}
	k := n.class
	if e.Served && e.Latency > 0 {
		u := &a.usual[k]
		if *u == 0 {
			*u = e.Latency
		}
		*u += 0.02 * (e.Latency - *u)
		a.ratio += e.Latency
		a.timed++
		if a.lat == 0 {
			a.lat = e.Latency
		}
		a.lat += 0.02 * (e.Latency - a.lat)
	}
	if e.Attempts != 1 { // it cost more or less than was thought: none has run, or several
		a.correct(n.flow, n.cost*float64(min(e.Attempts, 4)-1))
	}
	a.pump()
}

// Gone tells that a client has left; what it waited for is dropped.
func (a *Admission) Gone(now float64, id uint32) {
	a.begin(now)
	if i, ok := a.byID[id]; ok && a.nodes[i].queued {
		a.drop(i)
	}
	a.pump()
}

// pace is the work that the limit does in a millisecond, by Little's law: what is in use over how long it takes. It is
// asked for where there is contention, when the limit is in use. Before anything has ended, work takes as long as it says.
func (a *Admission) pace() float64 {
	if a.lat == 0 {
		return a.limit
	}
	return a.limit * a.mean / a.lat
}

// wait is how long a request of a flow would have to wait: what the flow has waiting, and those that were told to come
// meanwhile and do, who go ahead, at its share of the pace.
func (a *Admission) wait(i int32, cost, within float64) float64 {
	f, rate := &a.flows[i], a.share(i)*a.pace()
	return (f.backlog + a.heed*min(f.promised, rate*within) + cost) / rate
}

// share is a flow's part of all work while it wants some, beside the others that do.
func (a *Admission) share(i int32) float64 {
	f := &a.flows[i]
	if !f.inner {
		return f.weight / (a.top.weights + unless(f.active(), f.weight))
	}
	o := &a.flows[a.others()]
	outer := o.weight / (a.top.weights + unless(a.in.weights > 0, o.weight))
	return outer * f.weight / (a.in.weights + unless(f.active(), f.weight))
}

func unless(there bool, weight float64) float64 {
	if there {
		return 0
	}
	return weight
}

func (f *flow) active() bool { return f.waiting > 0 || f.promised > 0 }

// weigh books that a flow has become active or has ceased to be.
func (a *Admission) weigh(i int32, was bool) {
	f := &a.flows[i]
	if f.active() == was {
		return
	}
	l, d := &a.top, f.weight
	if f.inner {
		l = &a.in
	}
	if was {
		d = -d
	}
	before := l.weights > 1e-9
	l.weights = max(0, l.weights+d)
	if after := l.weights > 1e-9; f.inner && before != after { // the others together stand at the top as one
		if o := a.cfg.OthersWeight; after {
			a.top.weights += o
		} else {
			l.weights = 0
			a.top.weights = max(0, a.top.weights-o)
		}
	}
}

// put takes a record for a request.
func (a *Admission) put(q Request, flow int32, cost float64, key uint64) int32 {
	i := a.spare[len(a.spare)-1]
	a.spare = a.spare[:len(a.spare)-1]
	first := uint8(1)
	if a.cfg.Classes[q.Class].First {
		first = 0
	}
	a.nodes[i] = node{id: q.ID, flow: flow, class: int32(q.Class), cost: cost, first: first, next: none, prev: none, key: key}
	a.byID[q.ID] = i
	return i
}

func (a *Admission) release(i int32) {
	delete(a.byID, a.nodes[i].id)
	a.spare = append(a.spare, i)
}

// queue has a request wait, until a time at the latest. One that was told to come at this time goes ahead of the others
// of its tenant.
func (a *Admission) queue(i int32, until float64, ahead bool) {
	n := &a.nodes[i]
	f := &a.flows[n.flow]
	was, l := f.active(), n.first
	n.queued = true
	if ahead && f.head[l] != none {
		n.next = f.head[l]
		a.nodes[n.next].prev = i
		f.head[l] = i
	} else if f.tail[l] == none {
		f.head[l], f.tail[l] = i, i
	} else {
		n.prev = f.tail[l]
		a.nodes[n.prev].next = i
		f.tail[l] = i
	}
	f.waiting++
	f.backlog += n.cost
	a.waiting++
	a.expiry.set(i, until)
	a.weigh(n.flow, was)
	if f.waiting == 1 {
		a.ready(n.flow)
	}
}

// ready puts a flow among those that have something to send, at its start tag.
func (a *Admission) ready(i int32) {
	f := &a.flows[i]
	l := &a.top
	if f.inner {
		l = &a.in
	}
	f.finish = max(f.finish, l.v)
	l.ready.set(i, f.finish)
	if f.inner && !a.top.ready.has(a.others()) {
		o := &a.flows[a.others()]
		o.finish = max(o.finish, a.top.v)
		a.top.ready.set(a.others(), o.finish)
	}
}

// unready takes a flow out that has nothing to send any more.
func (a *Admission) unready(i int32) {
	if !a.flows[i].inner {
		a.top.ready.remove(i)
		return
	}
	a.in.ready.remove(i)
	if a.in.ready.len() == 0 {
		a.top.ready.remove(a.others())
	}
}

// unqueue takes a waiting request off its flow's list.
func (a *Admission) unqueue(i int32) {
	n := &a.nodes[i]
	f := &a.flows[n.flow]
	was, l := f.active(), n.first
	if n.prev != none {
		a.nodes[n.prev].next = n.next
	} else {
		f.head[l] = n.next
	}
	if n.next != none {
		a.nodes[n.next].prev = n.prev
	} else {
		f.tail[l] = n.prev
	}
	n.next, n.prev, n.queued = none, none, false
	f.waiting--
	if f.backlog -= n.cost; f.waiting == 0 {
		f.backlog = 0
		a.unready(n.flow)
	}
	a.waiting--
	a.expiry.remove(i)
	a.weigh(n.flow, was)
}

// drop ends a waiting request that is not let in.
func (a *Admission) drop(i int32) {
	a.unqueue(i)
	a.release(i)
}

// makeRoom has the flow with the longest wait for its share give up its newest request, where that is not the flow that
// wants the room.
func (a *Admission) makeRoom(wants int32) bool {
	worst, most := none, 0.0
	for _, i := range a.top.ready.at {
		if i != a.others() {
			if d := a.flows[i].backlog / a.share(i); d > most {
				worst, most = i, d
			}
		}
	}
	for _, i := range a.in.ready.at {
		if d := a.flows[i].backlog / a.share(i); d > most {
			worst, most = i, d
		}
	}
	if worst == none || worst == wants {
		return false
	}
	f := &a.flows[worst]
	i := f.tail[1]
	if i == none {
		i = f.tail[0]
	}
	n := a.nodes[i]
	a.drop(i)
	a.refuse(n.id, worst, n.cost, n.key)
	return true
}

// pump lets waiting requests in while there is room, by start tags.
func (a *Admission) pump() {
	for a.waiting > 0 {
		t := a.top.ready.least()
		i := t
		if t == a.others() {
			i = a.in.ready.least()
		}
		f := &a.flows[i]
		n := f.head[0]
		if n == none {
			n = f.head[1]
		}
		if a.inUse > 0 && a.inUse+a.nodes[n].cost/a.mean > a.limit {
			return
		}
		a.unqueue(n)
		a.start(n)
	}
}

// start lets a request in and charges its flow.
func (a *Admission) start(i int32) {
	n := &a.nodes[i]
	f := &a.flows[n.flow]
	a.charge(n.flow, n.cost)
	n.slots = n.cost / a.mean
	a.inUse += n.slots
	a.peak = max(a.peak, a.inUse)
	a.mean += 0.005 * (n.cost - a.mean)
	f.admitted++
	a.host.Admit(n.id)
}

// charge moves a flow's tag on by what it was given, and the virtual time to where that began.
func (a *Admission) charge(i int32, cost float64) {
	f := &a.flows[i]
	l := &a.top
	if f.inner {
		l = &a.in
		a.charge(a.others(), cost)
	}
	l.v = max(l.v, f.finish)
	f.finish = l.v + cost/f.weight
	if l.ready.has(i) {
		l.ready.set(i, f.finish)
	}
}

// correct charges a flow for what a request cost beyond what was thought, or gives back.
func (a *Admission) correct(i int32, cost float64) {
	for _, j := range []int32{i, a.others()} {
		f := &a.flows[j]
		if j == a.others() && !a.flows[i].inner {
			break
		}
		l := &a.top
		if f.inner {
			l = &a.in
		}
		f.finish = max(l.v, f.finish+cost/f.weight)
		if l.ready.has(j) {
			l.ready.set(j, f.finish)
		}
	}
}

// refuse turns a request away and tells when its tenant's share is free: behind all that it has waiting, and behind all
// others of its own that were told to come back before, so that those who are refused together do not return together.
func (a *Admission) refuse(id uint32, i int32, cost float64, who uint64) {
	f := &a.flows[i]
	f.refused++
	after := max(leastAfter, a.wait(i, 0, math.Inf(1))*(1+0.05*a.rng.Float64()))
	if _, told := a.pfind[who]; !told && after <= a.cfg.MaxAfterMS && len(a.pspare) > 0 {
		p := a.pspare[len(a.pspare)-1]
		a.pspare = a.pspare[:len(a.pspare)-1]
		a.promises[p] = promise{who: who, flow: i, at: a.now + after, cost: cost}
		a.pfind[who] = p
		a.pexpiry.set(p, a.now+after*1.25+keepMS)
		was := f.active()
		f.promised += cost
		a.weigh(i, was)
	}
	a.note(who)
	a.host.Refuse(id, after)
}

// redeem looks for what a client was told: it is due, or it is so much too early.
func (a *Admission) redeem(who uint64) (due bool, early float64) {
	p, ok := a.pfind[who]
	if !ok {
		return false, 0
	}
	if early = a.promises[p].at - a.now; early > earlyMS {
		return false, early
	}
	a.forget(p)
	a.heed += 0.01 * (1 - a.heed)
	return true, 0
}

// forget ends a promise.
func (a *Admission) forget(i int32) {
	p := a.promises[i]
	delete(a.pfind, p.who)
	a.pexpiry.remove(i)
	a.pspare = append(a.pspare, i)
	f := &a.flows[p.flow]
	was := f.active()
	if f.promised -= p.cost; f.promised < 1e-6 {
		f.promised = 0
	}
	a.weigh(p.flow, was)
}

// note remembers a request that was turned away, by tenant, key and class.
func (a *Admission) note(who uint64) { a.seen[who%repeats] = repeat{who, a.now} }

// saw reports whether a request was turned away lately: it is tried again, whatever it says of itself.
func (a *Admission) saw(who uint64) bool {
	r := a.seen[who%repeats]
	return r.hash == who && a.now-r.at < repeatMS
}

// look follows what the fleet can take, once a window. The limit falls where the Balancer has no room or answers take a
// multiple of the usual, and rises while it is in use.
func (a *Admission) look() {
	if a.ends > 0 {
		slower := 0.0
		if a.timed >= 5 { // means of windows: single answers vary by far more than crowding makes them
			mean := a.ratio / float64(a.timed)
			if a.base == 0 {
				a.base = mean
			}
			if slower = mean / a.base; slower < 1 { // it falls soon and rises slowly: what it takes where nothing is crowded
				a.base += 0.3 * (mean - a.base)
			} else {
				a.base += 0.005 * (mean - a.base)
			}
		}
		switch {
		case float64(a.turnedAway) > 0.25*float64(a.ends):
			a.limit *= 0.95
		case slower > tolerance:
			a.limit *= max(0.8, tolerance/slower)
		case a.peak >= 0.8*a.limit:
			a.limit += max(1, math.Sqrt(a.limit)/2)
		}
		a.limit = min(a.cfg.Most, max(a.cfg.Least, a.limit))
	}
	a.ends, a.timed, a.turnedAway, a.ratio, a.peak, a.lookAt = 0, 0, 0, 0, a.inUse, a.now+windowMS
}

// Count is what one tenant was given.
type Count struct {
	Tenant            string
	Admitted, Refused uint64
	Waiting           int
	Promised          float64 // ms of work told to come back
}

// Tenants lists those that are known exactly and have asked, the named ones first; others stand under "".
func (a *Admission) Tenants() (all []Count) {
	rest := Count{}
	for i := range a.flows[:a.others()] {
		f := &a.flows[i]
		if c := (Count{string(f.name[:f.nameLen]), f.admitted, f.refused, f.waiting, f.promised}); f.used {
			if c.Admitted+c.Refused > 0 {
				all = append(all, c)
			}
		} else {
			rest.Admitted, rest.Refused, rest.Waiting, rest.Promised = rest.Admitted+c.Admitted, rest.Refused+c.Refused, rest.Waiting+c.Waiting, rest.Promised+c.Promised
		}
	}
	if rest.Admitted+rest.Refused > 0 {
		all = append(all, rest)
	}
	return all
}

// Limit tells the limit on concurrency and what is in use, in requests of mean cost, and how many requests wait.
func (a *Admission) Limit() (limit, inUse float64, waiting int) { return a.limit, a.inUse, a.waiting }
