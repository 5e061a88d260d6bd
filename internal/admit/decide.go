package admit

import (
	"cmp"
	"math"
	"slices"
)

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
	a.pump() // a higher limit, or a smaller request at the head, may let some in
}

// Next is when Tick wants to be called; +Inf where nothing waits.
func (a *Admission) Next() float64 {
	if a.expiry.len() == 0 {
		return math.Inf(1)
	}
	return a.expiry.leastKey()
}

// Tick carries out what is due at now: a request that has waited for as long as it may is refused.
func (a *Admission) Tick(now float64) { a.begin(now) }

// Arrive takes a request at the door. It is let in, refused or has to wait; the Host is told.
func (a *Admission) Arrive(now float64, q Request) {
	a.begin(now)
	i, hash := a.find(q.Tenant)
	f := &a.flows[i]
	f.count.Asked++
	cost := a.cost(q.Class) * (1 + float64(q.Size)/bytesCost)
	who := identity(hash, q.Key, uint64(q.Class))
	again := q.Retry || a.saw(who)
	told, toldAt, early := a.redeem(who)
	due := told > 0
	free := due && f.waiting == 0 && f.finish <= a.levelOf(f).v
	if due {
		a.returned++
	}
	if free {
		a.returnedFree++
	}
	if !again && !due {
		f.tokens = min(a.cfg.RetryBurst, f.tokens+a.cfg.RetryShare)
	}
	f.refill(a.now)
	sure := f.sure >= 1
	if a.waiting == 0 && a.fits(cost) && len(a.spare) > 0 { // there is room: nobody is held back
		if !due && early > 0 {
			a.forget(a.pfind[who])
		}
		n := a.put(q, i, cost, who, again || due, sure)
		a.nodes[n].told, a.nodes[n].toldAt, a.nodes[n].free = told, toldAt, free
		a.start(n)
		return
	}
	allowed := min(a.cfg.MaxWaitMS, q.Left/2, q.Left-1.5*a.usual[q.Class])
	if due { // it came when it was told: while there is a fair chance it is given one
		allowed = min(a.cfg.MaxWaitMS, q.Left-a.usual[q.Class])
		if free { // and its share is: it goes next, so that a moment will do
			allowed = max(allowed, min(a.cfg.MaxWaitMS, q.Left/4))
		}
	}
	switch {
	case early > 0: // told to come later than this: it gains nothing, and what it was told holds
		f.count.Refused++
		f.count.Early++
		a.host.Refuse(q.ID, early)
		return
	case again && !due && !sure && f.tokens < 1 && f.waiting > 0: // who is within its share may try again as it likes
		f.count.Retries++
		a.refuse(q.ID, i, cost, who)
		return
	case len(a.spare) == 0, a.waiting >= a.cfg.Queue && !a.makeRoom(i):
		a.refuse(q.ID, i, cost, who)
		return
	case again && !due:
		f.tokens = max(0, f.tokens-1)
	}
	wait := a.wait(i, max(0, allowed))
	if sure {
		wait = min(wait, (a.sureAll+cost)/a.pace())
	}
	if !due && wait > allowed || allowed <= 0 {
		a.refuse(q.ID, i, cost, who)
		return
	}
	n := a.put(q, i, cost, who, again || due, sure)
	a.nodes[n].told, a.nodes[n].toldAt, a.nodes[n].free = told, toldAt, free
	a.queue(n, a.now+allowed, due)
	a.pump()
}

// cost is what a request of a class is thought to cost, in ms of servers' time: what such requests have taken lately, or
// what the settings say, in the proportion in which that holds for others.
func (a *Admission) cost(class int) float64 {
	if w := a.work[class]; w > 0 {
		return w
	}
	if a.scale > 0 {
		return a.cfg.Classes[class].Cost * a.scale
	}
	return a.cfg.Classes[class].Cost
}

// drift follows a value with a share of each step, beginning with the first.
func drift(was, is, share float64) float64 {
	if was == 0 {
		return is
	}
	return was + share*(is-was)
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
	if a.inUse = max(0, a.inUse-n.slots); len(a.byID) == a.waiting { // nothing is in work: no rounding is left over
		a.inUse = 0
	}
	if !n.again {
		a.ends++
	}
	f := &a.flows[n.flow]
	if e.Served {
		f.count.Served++
	}
	if e.Refused {
		f.count.Turned++
		if e.Attempts > 0 {
			f.count.After++
		}
		if !n.again { // a later try has little time left: that it is refused says nothing of room
			if e.Attempts > 0 {
				a.missing++
			} else {
				a.turnedAway++
			}
		}
		a.note(n.key)
	}
	cost := n.cost / (1 + float64(n.size)/bytesCost)
	if e.Served && e.Latency > 0 && e.Work > 0 {
		a.lat = drift(a.lat, e.Latency, 0.02)
		a.usual[n.class] = drift(a.usual[n.class], e.Latency, 0.02)
		if n.size+e.Size <= bytesCost { // what takes long for its size says nothing of crowding
			a.stretch += e.Latency / a.cfg.Classes[n.class].Cost
			a.timed++
			a.work[n.class] = drift(a.work[n.class], e.Work, 0.01)
			if a.scale == 0 { // from here on costs are in measured terms
				a.mean *= e.Work / a.cfg.Classes[n.class].Cost
			}
			a.scale = drift(a.scale, e.Work/a.cfg.Classes[n.class].Cost, 0.01)
		}
	}
	// What it has cost is known now: its time with servers, and the bytes that went through.
	did := min(e.Work+cost*float64(n.size+e.Size)/bytesCost, dearest*n.cost)
	if e.Attempts == 0 {
		did = 0
	}
	a.correct(n.flow, did-n.cost)
	f.count.Work += did - n.cost
	a.pump()
}

// Gone tells that a client has left; what it waited for is dropped.
func (a *Admission) Gone(now float64, id uint32) {
	a.begin(now)
	if i, ok := a.byID[id]; ok && a.nodes[i].queued {
		a.flows[a.nodes[i].flow].count.Left++
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

// wait is how long a request of a flow would have to wait until its start tag: what the flow was given beyond its share,
// what it has waiting, and those that were told to come meanwhile and do, who go ahead, all at the flow's rate.
func (a *Admission) wait(i int32, within float64) float64 {
	f := &a.flows[i]
	rate := a.rate(f, i)
	debt := max(0, f.finish-a.levelOf(f).v) * f.weight
	coming := min(f.promised, rate*min(within, max(0, a.now+within-f.dueFrom)))
	return (debt + f.backlog + a.heed*coming) / rate
}

// rate is the work that a flow is given in a millisecond while it wants more: its share, and once it has wanted more for a
// while what it did get. That differs, as those within their shares take theirs without ever standing in line.
func (a *Admission) rate(f *flow, i int32) float64 {
	share := a.share(i) * a.pace()
	if !f.active() {
		return share
	}
	got := f.given * math.Exp((f.givenAt-a.now)/givenMS) / givenMS
	known := min(1, (a.now-f.since)/givenMS)
	return share + known*(max(got, leastRate*share)-share)
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
	if !was {
		f.since = a.now
	}
	l, d := a.levelOf(f), f.weight
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
func (a *Admission) put(q Request, flow int32, cost float64, key uint64, again, sure bool) int32 {
	i := a.spare[len(a.spare)-1]
	a.spare = a.spare[:len(a.spare)-1]
	list := uint8(otherList)
	switch {
	case sure:
		list = sureList
		a.flows[flow].sure--
	case a.cfg.Classes[q.Class].First:
		list = firstList
	}
	a.nodes[i] = node{id: q.ID, flow: flow, class: int32(q.Class), cost: cost, size: q.Size, again: again, list: list, next: none, prev: none, key: key}
	a.byID[q.ID] = i
	a.flows[flow].open++
	return i
}

func (a *Admission) release(i int32) {
	delete(a.byID, a.nodes[i].id)
	a.spare = append(a.spare, i)
	a.flows[a.nodes[i].flow].open--
	a.retire(a.nodes[i].flow)
}

// queue has a request wait, until a time at the latest. One that was told to come at this time goes ahead of the others
// of its tenant.
func (a *Admission) queue(i int32, until float64, ahead bool) {
	n := &a.nodes[i]
	f := &a.flows[n.flow]
	was, l := f.active(), n.list
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
	if l == sureList {
		if a.sureAll += n.cost; !a.sure.has(n.flow) {
			a.sure.set(n.flow, a.now)
		}
	}
	if f.waiting == 1 {
		a.ready(n.flow)
	}
	a.levelOf(f).long.set(n.flow, -f.backlog/f.weight)
}

func (a *Admission) levelOf(f *flow) *level {
	if f.inner {
		return &a.in
	}
	return &a.top
}

// ready puts a flow among those that have something to send, at its start tag.
func (a *Admission) ready(i int32) {
	f := &a.flows[i]
	l := a.levelOf(f)
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
	was, l := f.active(), n.list
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
	if l == sureList {
		if a.sureAll -= n.cost; f.head[l] == none {
			a.sure.remove(n.flow)
		}
		if a.sure.len() == 0 {
			a.sureAll = 0
		}
	}
	if f.backlog -= n.cost; f.waiting == 0 {
		f.backlog = 0
		a.unready(n.flow)
		a.levelOf(f).long.remove(n.flow)
	} else {
		a.levelOf(f).long.set(n.flow, -f.backlog/f.weight)
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
	for _, l := range []*level{&a.top, &a.in} {
		if l.long.len() > 0 {
			i := l.long.least()
			if d := a.flows[i].backlog / a.share(i); d > most {
				worst, most = i, d
			}
		}
	}
	if worst == none || worst == wants {
		return false
	}
	f := &a.flows[worst]
	i := f.tail[otherList]
	if i == none {
		i = f.tail[firstList]
	}
	if i == none { // only what is guaranteed
		return false
	}
	n := a.nodes[i]
	a.drop(i)
	a.refuse(n.id, worst, n.cost, n.key)
	return true
}

// pump lets waiting requests in while there is room.
func (a *Admission) pump() {
	for a.waiting > 0 {
		n := a.next()
		if !a.fits(a.nodes[n].cost) {
			return
		}
		a.unqueue(n)
		a.start(n)
	}
}

// slots is what a request takes of the limit. A dear one takes an eighth of it at most: it is charged whole to its tenant, but
// if it needed more room it would wait for the fleet to run empty, and all others behind it.
func (a *Admission) slots(cost float64) float64 { return min(cost/a.mean, max(1, a.limit*largest)) }

func (a *Admission) fits(cost float64) bool { return a.inUse+a.slots(cost) <= a.limit }

// next is the waiting request whose turn it is: of what is guaranteed the one that came first, which goes ahead of all
// shares and counts in them; else by start tags.
func (a *Admission) next() int32 {
	if a.sure.len() > 0 {
		return a.flows[a.sure.least()].head[sureList]
	}
	i := a.top.ready.least()
	if i == a.others() {
		i = a.in.ready.least()
	}
	f := &a.flows[i]
	if f.head[firstList] != none {
		return f.head[firstList]
	}
	return f.head[otherList]
}

// start lets a request in and charges its flow.
func (a *Admission) start(i int32) {
	n := &a.nodes[i]
	f := &a.flows[n.flow]
	a.charge(n.flow, n.cost)
	n.slots = a.slots(n.cost)
	a.inUse += n.slots
	a.peak = max(a.peak, a.inUse)
	a.mean += 0.005 * (n.cost - a.mean)
	f.given = f.given*math.Exp((f.givenAt-a.now)/givenMS) + n.cost
	f.givenAt = a.now
	f.count.Admitted++
	if n.told > 0 {
		a.kept++
		if n.free {
			a.keptFree++
		}
		a.offs[int(min(mostOff, math.Abs(a.now-n.toldAt-n.told)/n.told/offStep))]++
	}
	f.count.Work += n.cost
	a.host.Admit(n.id)
}

// charge moves a flow's tag on by what it was given, and the virtual time to where that began.
func (a *Admission) charge(i int32, cost float64) {
	f := &a.flows[i]
	l := a.levelOf(f)
	if f.inner {
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
	f := &a.flows[i]
	l := a.levelOf(f)
	if f.inner {
		a.correct(a.others(), cost)
	}
	f.finish = max(l.v, f.finish+cost/f.weight)
	if l.ready.has(i) {
		l.ready.set(i, f.finish)
	}
}

// refuse turns a request away and tells when its tenant's share is free: behind all that it has waiting, and behind all
// others of its own that were told to come back before, so that those who are refused together do not return together.
func (a *Admission) refuse(id uint32, i int32, cost float64, who uint64) {
	f := &a.flows[i]
	f.count.Refused++
	after := max(leastAfter, a.wait(i, math.Inf(1))*(1+0.05*a.rng.Float64()))
	f.count.Told = drift(f.count.Told, after, 0.1)
	if after <= a.cfg.MaxAfterMS {
		a.promise(who, i, after, cost)
	}
	a.note(who)
	a.host.Refuse(id, after)
}

// promise remembers a time that was told, while there is room.
func (a *Admission) promise(who uint64, i int32, after, cost float64) {
	if _, told := a.pfind[who]; told || len(a.pspare) == 0 {
		return
	}
	p := a.pspare[len(a.pspare)-1]
	a.pspare = a.pspare[:len(a.pspare)-1]
	a.promises[p] = promise{who: who, flow: i, at: a.now + after, told: max(after, leastAfter), cost: cost}
	a.pfind[who] = p
	a.pexpiry.set(p, a.now+after*1.25+keepMS)
	f := &a.flows[i]
	was := f.active()
	if f.promised == 0 {
		f.dueFrom = a.now + after
	}
	f.promised += cost
	a.weigh(i, was)
}

// redeem looks for what a client was told: after how many ms it was to come, and when it was told, where that is due; or
// else by how much it is too early.
func (a *Admission) redeem(who uint64) (told, toldAt, early float64) {
	i, ok := a.pfind[who]
	if !ok {
		return 0, 0, 0
	}
	p := a.promises[i]
	if early = p.at - a.now; early > earlyMS {
		return 0, 0, early
	}
	a.forget(i)
	a.heed += 0.01 * (1 - a.heed)
	return p.told, p.at - p.told, 0
}

// forget ends a promise.
func (a *Admission) forget(i int32) {
	p := a.promises[i]
	delete(a.pfind, p.who)
	a.pexpiry.remove(i)
	a.pspare = append(a.pspare, i)
	f := &a.flows[p.flow]
	was := f.active()
	f.dueFrom = max(f.dueFrom, p.at) // they fall due in the order in which they were told, or nearly
	if f.promised -= p.cost; f.promised < 1e-6 {
		f.promised = 0
	}
	a.weigh(p.flow, was)
	a.retire(p.flow)
}

// note remembers a request that was turned away, by tenant, key and class.
func (a *Admission) note(who uint64) { a.seen[who%repeats] = repeat{who, a.now} }

// saw reports whether a request was turned away lately: it is tried again, whatever it says of itself.
func (a *Admission) saw(who uint64) bool {
	r := a.seen[who%repeats]
	return r.hash == who && a.now-r.at < repeatMS
}

// look follows what the fleet can take, once a window: the limit falls where the Balancer refuses what was let in, or
// answers take over a third of their class's aim, and rises while it is in use. What comes of a signal is looked at
// too: where the limit has fallen to a third of what it was and the signal stays, fewer at the door don't help, and that
// much of it is borne from then on.
func (a *Admission) look() {
	a.lookAt = a.now + windowMS
	a.high += 0.02 * (a.limit - a.high) // over ten seconds
	a.high = max(a.high, a.limit)
	low := a.limit < a.high/3
	if a.ends > 0 {
		a.refusals += 0.25 * (float64(a.turnedAway)/float64(a.ends) - a.refusals)
		a.missed += 0.25 * (float64(a.missing)/float64(a.ends) - a.missed)
	}
	if a.timed >= timedLeast { // means of many: single answers vary by far more than crowding makes them
		mean := a.stretch / float64(a.timed)
		if low { // it is so slow with little in work too
			a.base += 0.05 * max(0, mean-a.base)
		}
		a.slower = drift(a.slower, mean-max(easy, tolerance*a.base), 0.5)
		a.timed, a.stretch = 0, 0
	}
	// Rise and fall balance at a limit of wanting*(rise/fall/pressure)^2. Routers before one fleet feel much the same
	// pressure, and so come to limits in the proportion of the tenants that want more there, without a word between them:
	// a router at which one tenant crowds gives way to one at which many are short.
	wanting := a.in.weights
	for i := range mostNamed {
		wanting += unless(!a.flows[i].active(), 1)
	}
	a.wanting += 0.1 * (min(mostWanting, wanting) - a.wanting)
	pressure := max(0, a.refusals+max(0, a.missed-dry)+slowness*max(0, a.slower)-a.vain)
	if a.ends > 0 && a.peak >= 0.8*a.limit {
		a.limit += rise * math.Sqrt(a.limit*max(1, a.wanting))
	}
	if a.limit *= 1 - min(steepest, fall*pressure); low && pressure > borne {
		a.vain += 0.02 * pressure
	}
	a.vain *= 1 - windowMS*creep
	a.base *= 1 - windowMS*creep
	a.limit = min(a.cfg.Most, max(a.cfg.Least, a.limit))
	a.ends, a.turnedAway, a.missing, a.peak = 0, 0, 0, a.inUse
}

// Tenants lists those that are known by name and have asked, the named ones first and then by what they have asked, at
// most so many; what the rest has asked and got stands under "".
func (a *Admission) Tenants(most int) (all []Count) {
	rest := Count{Weight: a.cfg.OthersWeight}
	add := func(c Count) {
		rest.Asked, rest.Admitted, rest.Refused, rest.Retries = rest.Asked+c.Asked, rest.Admitted+c.Admitted, rest.Refused+c.Refused, rest.Retries+c.Retries
		rest.Early, rest.Left, rest.Served, rest.Turned = rest.Early+c.Early, rest.Left+c.Left, rest.Served+c.Served, rest.Turned+c.Turned
		rest.After += c.After
		rest.Work, rest.Waiting, rest.Promised = rest.Work+c.Work, rest.Waiting+c.Waiting, rest.Promised+c.Promised
	}
	for i := range a.flows[:a.others()] {
		f := &a.flows[i]
		c := f.count
		if c.Asked == 0 {
			continue
		}
		c.Tenant, c.Waiting, c.Promised, c.Weight, c.Share = string(f.name[:f.nameLen]), f.waiting, f.promised, f.weight, a.share(int32(i))
		if f.used && c.Tenant != "" {
			all = append(all, c)
		} else {
			add(c)
		}
	}
	named := 0
	for ; named < len(all); named++ {
		if _, ok := a.named[all[named].Tenant]; !ok {
			break
		}
	}
	slices.SortStableFunc(all[named:], func(x, y Count) int { return cmp.Compare(y.Asked, x.Asked) })
	if len(all) > most {
		for _, c := range all[most:] {
			add(c)
		}
		all = all[:most]
	}
	if rest.Asked > 0 {
		all = append(all, rest)
	}
	return all
}

// State is how the door stands.
type State struct {
	Limit   float64 `json:"limit"`    // on concurrency, in requests of mean cost
	InUse   float64 `json:"in_use"`   // of it
	Waiting int     `json:"waiting"`  // requests
	MeanMS  float64 `json:"mean_ms"`  // cost of a request
	TakesMS float64 `json:"takes_ms"` // until a request that is let in is answered, lately
	Calm    float64 `json:"calm"`     // the same with little in work, as a share of the class's aim; 0 = all is well then
	Refused float64 `json:"refused"`  // share of what is let in that the Balancer refuses, lately
	Vain    float64 `json:"vain"`     // of that, what fewer at the door don't help against
	// Clients that came back when they were told, of these those let in, and how far the real time was from the told, as a
	// share of it.
	Returned     uint64  `json:"returned"`
	Kept         uint64  `json:"kept"`
	ReturnedFree uint64  `json:"returned_free"` // of those that came back, those whose tenant's share was free,
	KeptFree     uint64  `json:"kept_free"`     // and of these those let in
	Off50        float64 `json:"off_p50"`
	Off90        float64 `json:"off_p90"`
	Tables       int     `json:"table_bytes"` // that all tables take, whatever comes
	Heed         float64 `json:"heed"`        // share of those told to come back that do, when they were told
	Tenants      []Count `json:"tenants"`
}

// off is a quantile of how far real times were from told ones, to the upper end of its step.
func (a *Admission) off(q float64) float64 {
	below := 0.0
	for i, n := range a.offs {
		if below += float64(n); below > 0 && below >= q*float64(a.kept) {
			return float64(i+1) * offStep
		}
	}
	return 0
}

// State tells how the door stands, with at most so many tenants by name.
func (a *Admission) State(tenants int) State {
	return State{Limit: a.limit, InUse: a.inUse, Waiting: a.waiting, MeanMS: a.mean, TakesMS: a.lat, Calm: a.base, Refused: a.refusals + a.missed,
		Vain: a.vain, Returned: a.returned, Kept: a.kept, ReturnedFree: a.returnedFree, KeptFree: a.keptFree, Off50: a.off(0.5), Off90: a.off(0.9), Tables: a.Bytes(),
		Heed: a.heed, Tenants: a.Tenants(tenants)}
}
