package simulation

import (
	"cmp"
	"slices"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// request is one try of a client, as its router sees it.
type request struct {
	client   *clientRequest
	id       uint32
	key      uint64
	isDone   bool
	work     float64
	attempts []*attempt
	missedAt []*machine
}

// attempt is one attempt of a router at a machine.
type attempt struct {
	fromRouter *router
	parent     *request
	index      int
	job        uint64
	target     *machine
	sentAt     float64
	work       float64
	conn       *conn
	isDone     bool
	endedAs    outcome
}

// outcome is how an attempt ended: 0 while it is open, else its decide.AttemptStatus plus 1.
type outcome int

func (o outcome) label() string {
	return [...]string{"open", "ok", "failed", "full", "timeout", "connect", "reset", "cancelled", "ignored",
		"miss", "spoilt"}[o]
}

// conn is a connection of a router to one process of a machine.
type conn struct {
	target      *machine
	incarnation int
	idleSince   float64 // time since which it is idle
}

// router is a router process: the host of one Balancer.
type router struct {
	parentDay     *day
	balancer      *decide.Balancer
	zone          string
	requests      map[uint32]*request
	idleConns     map[*machine][]*conn // idle connections, the longest idle first
	lastRequestID uint32
	listVersion   int64
	knownStarts   map[uint32]float64 // latest start time of each server in the lists received
	isDead        bool
}

// startRouter starts a router process with an endpoint list.
func (d *day) startRouter(i int, known model.List) (*router, error) {
	cfg := d.params.Config
	cfg.RouterIndex, cfg.Zone = i, zoneName(i%d.params.Zones)
	r := &router{parentDay: d, zone: cfg.Zone, requests: map[uint32]*request{},
		idleConns: map[*machine][]*conn{}, listVersion: known.Version, knownStarts: map[uint32]float64{}}
	var err error
	if r.balancer, err = decide.New(cfg, d.rng.Uint64(), r); err != nil {
		return nil, err
	}
	r.update(decide.RestoredEndpoints, known)
	for _, v := range d.servers { // drains are in force before the first request of a router
		if d.drained[v.id] {
			r.balancer.Disable(d.now, v.id)
		}
	}
	return r, nil
}

// update passes an endpoint list to the Balancer and records the start times of the servers in it.
func (r *router) update(kind decide.EndpointUpdateKind, list model.List) {
	entries := toEndpoints(list)
	for _, entry := range entries {
		r.knownStarts[entry.ID] = max(r.knownStarts[entry.ID], entry.StartedAt)
	}
	r.balancer.UpdateEndpoints(r.parentDay.now, kind, entries)
}

// kill ends a router process. Its clients and its servers see their connections reset.
func (r *router) kill() {
	if r.isDead {
		return
	}
	r.isDead = true
	ids := make([]uint32, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := r.requests[id]
		for _, a := range q.attempts {
			if a.isDone {
				continue
			}
			a.isDone = true
			if a.target.isOrigin {
				r.parentDay.fetching[q.key]--
			}
			r.cancelAtServer(a)
		}
		if !q.isDone {
			q.isDone = true
			q.client.firstOutcome = cmp.Or(q.client.firstOutcome, outcomeRouterDead)
			r.parentDay.retryLater(q.client, 0)
		}
	}
	for _, v := range r.parentDay.servers {
		for range r.idleConns[v] {
			v.serverModel.Disconnect()
		}
	}
	r.requests, r.idleConns = nil, nil
}

// cancelAtServer cancels an attempt at its machine, after the network delay.
func (r *router) cancelAtServer(a *attempt) {
	r.parentDay.after(r.delayTo(a.target), func() {
		if r.parentDay.inFlight[a.job] == a && a.target.isUp {
			r.parentDay.advanceServer(a.target)
			r.parentDay.sums.Wasted += a.target.serverModel.WorkDone(a.job)
			delete(r.parentDay.inFlight, a.job)
			a.target.serverModel.Cancel(a.job)
			r.parentDay.advanceServer(a.target)
		}
	})
}

// delayTo returns the one-way network delay to a machine.
func (r *router) delayTo(v *machine) float64 {
	if r.zone == v.zone || v.isOrigin {
		return r.parentDay.params.ZoneDelayMillis
	}
	return r.parentDay.params.CrossZoneDelayMillis
}

// clientLeaves ends a try whose client has stopped waiting. Its open attempts time out.
func (r *router) clientLeaves(q *request) {
	if r.isDead {
		return
	}
	for _, a := range q.attempts {
		if !a.isDone {
			r.parentDay.endAttempt(a, decide.Timeout, 0, decide.NoLoadReport)
			r.cancelAtServer(a)
		}
	}
	r.finishTry(q, tryTimedOut, 0)
	r.balancer.ClientDisconnected(r.parentDay.now, q.id)
	delete(r.requests, q.id)
}

// How a try ended.
const (
	tryServed = iota
	tryRejected
	tryFailed
	tryTimedOut
)

// finishTry ends a try and passes the result to its client. A positive retryAfterMillis is the retry
// delay for the client.
func (r *router) finishTry(q *request, how int, retryAfterMillis float64) {
	if q.isDone {
		return
	}
	q.isDone = true
	d := r.parentDay
	switch how {
	case tryServed:
		if q.client.firstOutcome == "" {
			q.client.firstOutcome = "served" + q.attemptOutcomes()
		}
		d.recordSuccess(q.client)
		return
	case tryRejected:
		d.sums.Rejected++
		d.sums.RejectedByCause[r.balancer.Cause()]++
		d.secondAt(d.now).Rejected++
		d.bandOf(q.client).Rejected++
	}
	if q.client.firstOutcome == "" {
		q.client.firstOutcome = [...]string{"served", "refused: " + r.balancer.Cause(), "failed", "left"}[how] +
			q.attemptOutcomes()
	}
	d.retryLater(q.client, retryAfterMillis)
}

// attemptOutcomes describes how the attempts of a request ended.
func (q *request) attemptOutcomes() (text string) {
	for i, a := range q.attempts {
		if i == 0 {
			text = " after"
		}
		if text += " " + a.endedAs.label(); a.target.isOrigin {
			text += " (origin)"
		}
	}
	return text
}

// The methods of decide.Host follow. They never call the Balancer synchronously.

// Send starts an attempt.
func (r *router) Send(id, server uint32, timeout float64) {
	d, q, v := r.parentDay, r.requests[id], r.parentDay.byID[server]
	if q == nil {
		return
	}
	a := &attempt{fromRouter: r, parent: q, index: len(q.attempts), target: v, sentAt: d.now,
		work: q.work * lognormal(d.rng, d.params.AttemptWorkCV)}
	q.attempts = append(q.attempts, a)
	if v == nil { // the server was removed, and the list has not arrived yet
		a.target = &machine{id: server, zone: r.zone, position: -1}
	} else if v.isOrigin {
		if d.sums.Fetches++; d.fetching[q.key] > 0 {
			d.sums.SameKey++
		}
		d.secondAt(d.now).Fetches++
		d.fetching[q.key]++
	} else {
		d.sums.Attempts++
		d.secondAt(d.now).Attempts++
		d.sums.Servers[v.position].Attempts++
		b := d.bandOf(q.client)
		b.Attempts++
		if b.at == nil {
			b.at = map[uint64]map[int]int{}
		}
		if b.at[q.key] == nil {
			b.at[q.key] = map[int]int{}
		}
		b.at[q.key][v.position]++
		if v.zone != r.zone {
			d.sums.Crossings++
		}
	}
	d.lastJobID++
	a.job = d.lastJobID
	r.connect(a.target, func(c *conn) {
		if a.isDone {
			r.closeConn(c)
			return
		}
		if c == nil {
			d.sums.Refusals++
			d.endAttempt(a, decide.ConnectError, 0, decide.NoLoadReport)
			return
		}
		a.conn = c
		d.after(r.delayTo(a.target), func() { d.deliver(a) })
	})
	if timeout > 0 {
		d.after(timeout, func() { d.endAttempt(a, decide.Timeout, 0, decide.NoLoadReport) })
	}
}

// connect takes an idle connection to a machine or dials one, and calls onConn with it, or with nil if the dial
// failed.
func (r *router) connect(v *machine, onConn func(*conn)) {
	d, delay := r.parentDay, r.delayTo(v)
	maxIdleMillis := d.params.Config.IdleTimeoutMillis - min(d.params.Config.IdleTimeoutMillis/4, 1000)
	for kept := r.idleConns[v]; len(kept) > 0; kept = r.idleConns[v] {
		c := kept[0]
		r.idleConns[v] = kept[1:]
		if c.incarnation == v.incarnation && (maxIdleMillis <= 0 || d.now-c.idleSince < maxIdleMillis) {
			onConn(c)
			return
		}
		r.closeConn(c)
	}
	rtts := max(0, d.params.Conn.RTTs)
	if rtts > 0 && !v.isOrigin {
		d.sums.Dials++
		d.secondAt(d.now).Dials++
	}
	d.after(2*delay*rtts, func() {
		switch {
		case r.isDead:
		case v.isPartitioned:
			d.after(d.params.Conn.Timeout, func() {
				if !r.isDead {
					onConn(nil)
				}
			})
		case !v.isUp || rtts > 0 && !v.serverModel.Connect():
			onConn(nil)
		default:
			onConn(&conn{target: v, incarnation: v.incarnation})
		}
	})
}

// closeConn closes a connection.
func (r *router) closeConn(c *conn) {
	if c != nil && c.incarnation == c.target.incarnation && c.target.isUp && r.parentDay.params.Conn.RTTs > 0 {
		c.target.serverModel.Disconnect()
	}
}

// returnConn makes the connection of an attempt idle, or closes it if it can't be reused.
func (r *router) returnConn(a *attempt, reuse bool) {
	c := a.conn
	if a.conn = nil; c == nil {
		return
	}
	if !reuse {
		r.closeConn(c)
		return
	}
	c.idleSince = r.parentDay.now
	r.idleConns[a.target] = append(r.idleConns[a.target], c)
}

// deliver delivers an attempt to its machine.
func (d *day) deliver(a *attempt) {
	v := a.target
	switch {
	case a.isDone || v.isPartitioned:
	case !v.isUp || a.conn.incarnation != v.incarnation:
		d.respond(a, decide.Reset, 0)
	default:
		d.advanceServer(v)
		d.recordCold(v, a.fromRouter, a.work)
		job := model.Job{ID: a.job, Key: keyName(a.parent.key), Work: a.work, Size: 1, Write: a.parent.client.isWrite}
		if !v.serverModel.Arrive(d.now, job) {
			d.respond(a, decide.QueueFull, 0)
			return
		}
		d.inFlight[a.job] = a
		d.advanceServer(v)
	}
}

// Cancel cancels an attempt.
func (r *router) Cancel(id uint32, n int) {
	q := r.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || q.attempts[n].isDone {
		return
	}
	a := q.attempts[n]
	r.parentDay.after(0, func() { r.parentDay.endAttempt(a, decide.Canceled, 0, decide.NoLoadReport) })
	r.cancelAtServer(a)
}

// Reject rejects a request with a retry delay.
func (r *router) Reject(id uint32, wait float64) { r.finishRequest(id, tryRejected, wait) }

// Fail ends a request as failed.
func (r *router) Fail(id uint32) { r.finishRequest(id, tryFailed, 0) }

func (r *router) finishRequest(id uint32, how int, retryAfterMillis float64) {
	if q := r.requests[id]; q != nil {
		r.finishTry(q, how, retryAfterMillis)
	}
}

// HealthCheck probes a server for its load, or uses a recent result that another router has shared.
func (r *router) HealthCheck(server uint32) {
	d, v := r.parentDay, r.parentDay.byID[server]
	if v == nil {
		return
	}
	if k, ok := d.sharedReports[server]; ok && d.now-k.at <= sharedProbeMaxAge { // shared by another router
		d.after(0, func() {
			if !r.isDead {
				r.balancer.HealthCheckEnded(d.now, server, decide.OK, k.load)
			}
		})
		return
	}
	r.probe(v, func(st decide.AttemptStatus, l decide.LoadReport) { r.balancer.HealthCheckEnded(d.now, server, st, l) })
}

// Shared probes, as described in docs/agreement.md: every Params.SharedProbeMillis one router probes a server for all.
// The others receive the result after sharedProbeDelay milliseconds and use it until it is sharedProbeMaxAge
// milliseconds old.
const (
	sharedProbeDelay  = 500
	sharedProbeMaxAge = 2500
)

// probeForAll has one router probe server i for all routers, and schedules the next probe. The router is the first
// live one from router i on.
func (d *day) probeForAll(i int) {
	v := d.servers[i]
	for k := range d.routers {
		r := d.routers[(i+k)%len(d.routers)]
		if r.isDead {
			continue
		}
		at := d.now
		d.sums.ForAll++
		r.probe(v, func(st decide.AttemptStatus, l decide.LoadReport) {
			if st == decide.OK {
				id := v.id
				d.after(sharedProbeDelay, func() { d.sharedReports[id] = sharedReport{l, at} })
			}
		})
		break
	}
	d.after(d.params.SharedProbeMillis, func() { d.probeForAll(i) })
}

// sharedReport is a probe result that a router has shared with the others.
type sharedReport struct {
	load decide.LoadReport
	at   float64
}

// probe probes a server and passes the result to onResult, once, unless the router is dead by then.
func (r *router) probe(v *machine, onResult func(decide.AttemptStatus, decide.LoadReport)) {
	d := r.parentDay
	d.sums.Probes++
	isReported := false
	report := func(st decide.AttemptStatus, l decide.LoadReport) {
		if !r.isDead && !isReported {
			isReported = true
			onResult(st, l)
		}
	}
	d.after(probeTimeout, func() { report(decide.Timeout, decide.NoLoadReport) })
	r.connect(v, func(c *conn) {
		if c == nil {
			report(decide.ConnectError, decide.NoLoadReport)
			return
		}
		d.after(r.delayTo(v), func() {
			if v.isPartitioned || !v.isUp || r.isDead {
				return
			}
			d.advanceServer(v)
			d.recordCold(v, r, v.params.ProbeWork)
			got, ok := v.serverModel.Probe(d.now)
			d.advanceServer(v)
			d.after(r.delayTo(v), func() {
				if r.isDead || isReported {
					return
				}
				c.idleSince = d.now
				r.idleConns[v] = append(r.idleConns[v], c)
				if l := decide.NoLoadReport; ok {
					l.RequestsPerSecond, l.Utilization = got.QPS, got.Util
					report(decide.OK, l)
				}
			})
		})
	})
}

// probeTimeout is the timeout of a probe, in milliseconds.
const probeTimeout = 500

// CloseIdle closes the idle connections to a server.
func (r *router) CloseIdle(server uint32) {
	v := r.parentDay.byID[server]
	if v == nil {
		return
	}
	for _, c := range r.idleConns[v] {
		r.closeConn(c)
	}
	delete(r.idleConns, v)
}

// SetTimer schedules a call of the Balancer, until the day has ended.
func (r *router) SetTimer(after float64, token uint64) {
	if d := r.parentDay; d.now < dayStart+d.params.LengthMillis+cooldownMillis {
		d.after(after, func() {
			if !r.isDead {
				r.balancer.TimerExpired(d.now, token)
			}
		})
	}
}

// watchInterval is the interval at which a watch checks for changes, in milliseconds.
const watchInterval = 100

// WatchEndpoints requests the changes of the endpoint list since the version of this router, and watches
// for further changes.
func (r *router) WatchEndpoints() { r.parentDay.after(r.parentDay.params.ZoneDelayMillis, r.pollWatch) }

// pollWatch passes the next change of the endpoint list to the Balancer, and repeats until the watch fails.
func (r *router) pollWatch() {
	d := r.parentDay
	if r.isDead {
		return
	}
	d.directory.Advance(d.now)
	if d.directory.Version() == r.listVersion {
		d.after(watchInterval, r.pollWatch)
		return
	}
	d.sums.Calls++
	wait, ok := d.directory.Call(d.now)
	d.after(wait+d.params.ZoneDelayMillis, func() {
		if r.isDead {
			return
		}
		if !ok {
			d.sums.Turned++
			r.balancer.UpdateEndpoints(d.now, decide.WatchFailed, nil)
			return
		}
		l := d.directory.ChangesAfter(r.listVersion)
		r.listVersion = l.Version
		kind := decide.ChangedEndpoints
		if l.Full {
			kind = decide.AllEndpoints
		}
		r.update(kind, l)
		d.after(0, r.pollWatch)
	})
}

// Gossip discards the message: the simulation has no gossip.
func (r *router) Gossip([]byte) {}

// Log discards the line.
func (r *router) Log(string) {}

// placementHost is a decide.Host that only records the server to which each request is sent.
type placementHost struct{ sent map[uint32]uint32 }

func (h *placementHost) Send(id, server uint32, _ float64) { h.sent[id] = server }
func (h *placementHost) Cancel(uint32, int)                {}
func (h *placementHost) Reject(uint32, float64)            {}
func (h *placementHost) Fail(uint32)                       {}
func (h *placementHost) HealthCheck(uint32)                {}
func (h *placementHost) CloseIdle(uint32)                  {}
func (h *placementHost) SetTimer(float64, uint64)          {}
func (h *placementHost) WatchEndpoints()                   {}
func (h *placementHost) Gossip([]byte)                     {}
func (h *placementHost) Log(string)                        {}
