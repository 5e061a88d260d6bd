package simulation

import (
	"cmp"
	"slices"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// request is one try of a client at a router.
type request struct {
	wish     *wish
	id       uint32
	key      uint64
	over     bool
	work     float64
	tries    []*attempt
	missedAt []*machine
}

type attempt struct {
	r    *router
	q    *request
	n    int
	job  uint64
	to   *machine
	sent float64
	work float64
	conn *conn
	over bool
	st   outcome
}

// outcome is how an attempt ended; 0 = it has not.
type outcome int

func (o outcome) word() string {
	return [...]string{"open", "ok", "failed", "full", "timeout", "connect", "reset", "cancelled", "ignored", "miss", "spoilt"}[o]
}

// conn is a connection of a router to a machine's process.
type conn struct {
	to   *machine
	boot int
	idle float64 // since
}

// router hosts one Balancer.
type router struct {
	d       *day
	b       *decide.Balancer
	zone    string
	reqs    map[uint32]*request
	conns   map[*machine][]*conn // idle ones, longest idle first
	last    uint32
	version int64
	starts  map[uint32]float64 // the latest start of each server that the list has told of
	dead    bool
}

// router starts the process of a router, which knows a list.
func (d *day) router(i int, known model.List) (*router, error) {
	cfg := d.p.Config
	cfg.RouterIndex, cfg.Zone = i, zone(i%d.p.Zones)
	r := &router{d: d, zone: cfg.Zone, reqs: map[uint32]*request{}, conns: map[*machine][]*conn{}, version: known.Version, starts: map[uint32]float64{}}
	var err error
	if r.b, err = decide.New(cfg, d.rng.Uint64(), r); err != nil {
		return nil, err
	}
	r.update(decide.RestoredEndpoints, known)
	for _, v := range d.servers { // one that starts in the middle knows it before its first request
		if d.drained[v.id] {
			r.b.Disable(d.now, v.id)
		}
	}
	return r, nil
}

// update hands a list to the Balancer, and notes which starts of servers it tells of.
func (r *router) update(kind decide.EndpointUpdateKind, list model.List) {
	entries := decided(list)
	for _, entry := range entries {
		r.starts[entry.ID] = max(r.starts[entry.ID], entry.StartedAt)
	}
	r.b.UpdateEndpoints(r.d.now, kind, entries)
}

// die ends a router's process. Its clients see their connections reset, and its servers too.
func (r *router) die() {
	if r.dead {
		return
	}
	r.dead = true
	ids := make([]uint32, 0, len(r.reqs))
	for id := range r.reqs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := r.reqs[id]
		for _, a := range q.tries {
			if a.over {
				continue
			}
			a.over = true
			if a.to.origin {
				r.d.fetching[q.key]--
			}
			r.giveUp(a)
		}
		if !q.over {
			q.over = true
			q.wish.story = cmp.Or(q.wish.story, routerDead)
			r.d.again(q.wish, 0)
		}
	}
	for _, v := range r.d.servers {
		for range r.conns[v] {
			v.m.Disconnect()
		}
	}
	r.reqs, r.conns = nil, nil
}

// giveUp has a machine stop working on an attempt once it hears.
func (r *router) giveUp(a *attempt) {
	r.d.after(r.net(a.to), func() {
		if r.d.out[a.job] == a && a.to.up {
			r.d.look(a.to)
			r.d.sums.Wasted += a.to.m.WorkDone(a.job)
			delete(r.d.out, a.job)
			a.to.m.Cancel(a.job)
			r.d.look(a.to)
		}
	})
}

// net is the way to a machine.
func (r *router) net(v *machine) float64 {
	if r.zone == v.zone || v.origin {
		return r.d.p.Net
	}
	return r.d.p.Cross
}

// leave is the end of a client's wait: what is out has timed out.
func (r *router) leave(q *request) {
	if r.dead {
		return
	}
	for _, a := range q.tries {
		if !a.over {
			r.d.end(a, decide.Timeout, 0, decide.NoLoadReport)
			r.giveUp(a)
		}
	}
	r.finish(q, left, 0)
	r.b.ClientDisconnected(r.d.now, q.id)
	delete(r.reqs, q.id)
}

// The ends of a try.
const (
	served = iota
	refused
	failed
	left
)

func (r *router) finish(q *request, how int, told float64) {
	if q.over {
		return
	}
	q.over = true
	d := r.d
	switch how {
	case served:
		if q.wish.story == "" {
			q.wish.story = "served" + q.path()
		}
		d.serve(q.wish)
		return
	case refused:
		d.sums.TurnedAway++
		d.sums.ByCause[r.b.Cause()]++
		d.second(d.now).TurnedAway++
		d.band(q.wish).TurnedAway++
	}
	if q.wish.story == "" {
		q.wish.story = [...]string{"served", "refused: " + r.b.Cause(), "failed", "left"}[how] + q.path()
	}
	d.again(q.wish, told)
}

// path tells how the attempts of a request ended.
func (q *request) path() (text string) {
	for i, a := range q.tries {
		if i == 0 {
			text = " after"
		}
		if text += " " + a.st.word(); a.to.origin {
			text += " (origin)"
		}
	}
	return text
}

// The methods of decide.Host. None calls the Balancer before it has returned.

// Send starts an attempt.
func (r *router) Send(id, server uint32, timeout float64) {
	d, q, v := r.d, r.reqs[id], r.d.byID[server]
	if q == nil {
		return
	}
	a := &attempt{r: r, q: q, n: len(q.tries), to: v, sent: d.now, work: q.work * lognormal(d.rng, d.p.Noise)}
	q.tries = append(q.tries, a)
	if v == nil { // it is gone, and the list says so late
		a.to = &machine{id: server, zone: r.zone, place: -1}
	} else if v.origin {
		if d.sums.Fetches++; d.fetching[q.key] > 0 {
			d.sums.SameKey++
		}
		d.second(d.now).Fetches++
		d.fetching[q.key]++
	} else {
		d.sums.Attempts++
		d.second(d.now).Attempts++
		d.sums.Servers[v.place].Attempts++
		b := d.band(q.wish)
		b.Attempts++
		if b.at == nil {
			b.at = map[uint64]map[int]int{}
		}
		if b.at[q.key] == nil {
			b.at[q.key] = map[int]int{}
		}
		b.at[q.key][v.place]++
		if v.zone != r.zone {
			d.sums.Crossings++
		}
	}
	d.jobs++
	a.job = d.jobs
	r.connect(a.to, func(c *conn) {
		if a.over {
			r.drop(c)
			return
		}
		if c == nil {
			d.sums.Refusals++
			d.end(a, decide.ConnectError, 0, decide.NoLoadReport)
			return
		}
		a.conn = c
		d.after(r.net(a.to), func() { d.reach(a) })
	})
	if timeout > 0 {
		d.after(timeout, func() { d.end(a, decide.Timeout, 0, decide.NoLoadReport) })
	}
}

// connect brings up a connection to a machine, or takes an idle one, and goes on with it, or with nil.
func (r *router) connect(v *machine, on func(*conn)) {
	d, way := r.d, r.net(v)
	keep := d.p.Config.IdleTimeoutMillis - min(d.p.Config.IdleTimeoutMillis/4, 1000)
	for kept := r.conns[v]; len(kept) > 0; kept = r.conns[v] {
		c := kept[0]
		r.conns[v] = kept[1:]
		if c.boot == v.boot && (keep <= 0 || d.now-c.idle < keep) {
			on(c)
			return
		}
		r.drop(c)
	}
	rtts := max(0, d.p.Conn.RTTs)
	if rtts > 0 && !v.origin {
		d.sums.Dials++
		d.second(d.now).Dials++
	}
	d.after(2*way*rtts, func() {
		switch {
		case r.dead:
		case v.silent:
			d.after(d.p.Conn.Timeout, func() {
				if !r.dead {
					on(nil)
				}
			})
		case !v.up || rtts > 0 && !v.m.Connect():
			on(nil)
		default:
			on(&conn{to: v, boot: v.boot})
		}
	})
}

// drop closes a connection.
func (r *router) drop(c *conn) {
	if c != nil && c.boot == c.to.boot && c.to.up && r.d.p.Conn.RTTs > 0 {
		c.to.m.Disconnect()
	}
}

// release gives the connection of an attempt back, or closes it.
func (r *router) release(a *attempt, reuse bool) {
	c := a.conn
	if a.conn = nil; c == nil {
		return
	}
	if !reuse {
		r.drop(c)
		return
	}
	c.idle = r.d.now
	r.conns[a.to] = append(r.conns[a.to], c)
}

// reach brings an attempt to its machine.
func (d *day) reach(a *attempt) {
	v := a.to
	switch {
	case a.over || v.silent:
	case !v.up || a.conn.boot != v.boot:
		d.back(a, decide.Reset, 0)
	default:
		d.look(v)
		d.recordCold(v, a.r, a.work)
		job := model.Job{ID: a.job, Key: name(a.q.key), Work: a.work, Size: 1, Write: a.q.wish.write}
		if !v.m.Arrive(d.now, job) {
			d.back(a, decide.QueueFull, 0)
			return
		}
		d.out[a.job] = a
		d.look(v)
	}
}

// Cancel gives an attempt up.
func (r *router) Cancel(id uint32, n int) {
	q := r.reqs[id]
	if q == nil || n < 0 || n >= len(q.tries) || q.tries[n].over {
		return
	}
	a := q.tries[n]
	r.d.after(0, func() { r.d.end(a, decide.Canceled, 0, decide.NoLoadReport) })
	r.giveUp(a)
}

// Reject and Fail are final answers.
func (r *router) Reject(id uint32, wait float64) { r.answer(id, refused, wait) }
func (r *router) Fail(id uint32)                 { r.answer(id, failed, 0) }

func (r *router) answer(id uint32, how int, told float64) {
	if q := r.reqs[id]; q != nil {
		r.finish(q, how, told)
	}
}

// HealthCheck asks a server for its load.
func (r *router) HealthCheck(server uint32) {
	d, v := r.d, r.d.byID[server]
	if v == nil {
		return
	}
	if k, ok := d.board[server]; ok && d.now-k.at <= sharedStale { // another router has asked it
		d.after(0, func() {
			if !r.dead {
				r.b.HealthCheckEnded(d.now, server, decide.OK, k.load)
			}
		})
		return
	}
	r.ask(v, func(st decide.AttemptStatus, l decide.LoadReport) { r.b.HealthCheckEnded(d.now, server, st, l) })
}

// What routers tell one another of servers, as docs/agreement.md has it: each server is asked each Params.Shared by the one whose
// task it is, the others hear of it later, and it counts until it is stale.
const (
	sharedLate  = 500
	sharedStale = 2500
)

// share has one router ask a server for all, over and over: the first that lives from the one whose turn it is.
func (d *day) share(i int) {
	v := d.servers[i]
	for k := range d.routers {
		r := d.routers[(i+k)%len(d.routers)]
		if r.dead {
			continue
		}
		at := d.now
		d.sums.ForAll++
		r.ask(v, func(st decide.AttemptStatus, l decide.LoadReport) {
			if st == decide.OK {
				id := v.id
				d.after(sharedLate, func() { d.board[id] = report{l, at} })
			}
		})
		break
	}
	d.after(d.p.Shared, func() { d.share(i) })
}

// report is what a router has told the others.
type report struct {
	load decide.LoadReport
	at   float64
}

// ask probes a server, and tells what became of it once, unless the router dies.
func (r *router) ask(v *machine, tells func(decide.AttemptStatus, decide.LoadReport)) {
	d := r.d
	d.sums.Probes++
	told := false
	tell := func(st decide.AttemptStatus, l decide.LoadReport) {
		if !r.dead && !told {
			told = true
			tells(st, l)
		}
	}
	d.after(probeTimeout, func() { tell(decide.Timeout, decide.NoLoadReport) })
	r.connect(v, func(c *conn) {
		if c == nil {
			tell(decide.ConnectError, decide.NoLoadReport)
			return
		}
		d.after(r.net(v), func() {
			if v.silent || !v.up || r.dead {
				return
			}
			d.look(v)
			d.recordCold(v, r, v.p.ProbeWork)
			got, ok := v.m.Probe(d.now)
			d.look(v)
			d.after(r.net(v), func() {
				if r.dead || told {
					return
				}
				c.idle = d.now
				r.conns[v] = append(r.conns[v], c)
				if l := decide.NoLoadReport; ok {
					l.RequestsPerSecond, l.Utilization = got.QPS, got.Util
					tell(decide.OK, l)
				}
			})
		})
	})
}

// probeTimeout is how long a probe is waited for.
const probeTimeout = 500

// CloseIdle closes the idle connections to a server.
func (r *router) CloseIdle(server uint32) {
	v := r.d.byID[server]
	if v == nil {
		return
	}
	for _, c := range r.conns[v] {
		r.drop(c)
	}
	delete(r.conns, v)
}

// SetTimer calls the Balancer back.
func (r *router) SetTimer(after float64, token uint64) {
	if d := r.d; d.now < begin+d.p.Length+rest {
		d.after(after, func() {
			if !r.dead {
				r.b.TimerExpired(d.now, token)
			}
		})
	}
}

// watchEvery is how often a watch looks for news, in milliseconds.
const watchEvery = 100

// WatchEndpoints asks for the changes since the version that is held, and waits for more once it has them.
func (r *router) WatchEndpoints() { r.d.after(r.d.p.Net, r.watch) }

func (r *router) watch() {
	d := r.d
	if r.dead {
		return
	}
	d.list.Advance(d.now)
	if d.list.Version() == r.version {
		d.after(watchEvery, r.watch)
		return
	}
	d.sums.Calls++
	wait, ok := d.list.Call(d.now)
	d.after(wait+d.p.Net, func() {
		if r.dead {
			return
		}
		if !ok {
			d.sums.Turned++
			r.b.UpdateEndpoints(d.now, decide.WatchFailed, nil)
			return
		}
		l := d.list.ChangesAfter(r.version)
		r.version = l.Version
		kind := decide.ChangedEndpoints
		if l.Full {
			kind = decide.AllEndpoints
		}
		r.update(kind, l)
		d.after(0, r.watch)
	})
}

// Gossip and Log have nobody to reach.
func (r *router) Gossip([]byte) {}
func (r *router) Log(string)    {}

// homes is a Host that notes where requests are sent, and does nothing else.
type homes struct{ sent map[uint32]uint32 }

func (h *homes) Send(id, server uint32, _ float64) { h.sent[id] = server }
func (h *homes) Cancel(uint32, int)                {}
func (h *homes) Reject(uint32, float64)            {}
func (h *homes) Fail(uint32)                       {}
func (h *homes) HealthCheck(uint32)                {}
func (h *homes) CloseIdle(uint32)                  {}
func (h *homes) SetTimer(float64, uint64)          {}
func (h *homes) WatchEndpoints()                   {}
func (h *homes) Gossip([]byte)                     {}
func (h *homes) Log(string)                        {}
