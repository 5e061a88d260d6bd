// Package simulation runs a fleet of real decision modules in virtual time, against models of cache
// servers, origin, discovery, connections and clients, and sums up the results over the fleet. It neither
// sleeps nor reads a clock, so a day depends on its parameters and seed only.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// MaxAttempts bounds the attempts of a day, since a decision module that loops would never end it.
const MaxAttempts = 10_000_000

// dayStart is the time at which a day starts, in milliseconds. Servers that started at time 0 are long warm by
// then. At a much later time the smallest steps of the models would be lost to rounding.
const dayStart = 1e6

// cooldownMillis is how long a day continues after the last request, in milliseconds.
const cooldownMillis = 3000

const originID = 1

// day is the state of a day in progress.
type day struct {
	engine
	params               Params
	rng                  *rand.Rand
	servers              []*machine // the last one is the origin
	byID                 map[uint32]*machine
	directory            *model.Directory
	initialList          model.List // the endpoint list at the start of the day
	routers              []*router
	cumulativeTraffic    []float64 // running sums of the routers' traffic
	cumulativePopularity []float64 // running sums of the popularity of the keys
	keyByRank            []uint64  // keys by popularity rank
	nextKey              uint64
	sums                 Sums
	fetching             map[uint64]int // attempts in flight at the origin, by key
	lastJobID            uint64
	inFlight             map[uint64]*attempt
	drained              map[uint32]bool
	coldWindows          map[*machine]*coldWindow // recent arrivals at servers in slow start
	sharedReports        map[uint32]sharedReport  // probe results shared between routers, by server ID
}

// machine is a cache server or the origin.
type machine struct {
	id            uint32
	serverModel   *model.Server
	params        model.Params
	isOrigin      bool
	isUp          bool
	isPartitioned bool
	incarnation   int // number of times its process was stopped
	// startedAt is when its process was restarted during the day; 0 before that.
	startedAt   float64
	nextEventAt float64 // time of its next scheduled event
	position    int     // index in day.servers; -1 for a server that no longer exists
	zone        string
}

// Play runs a day and returns its sums. It returns an error for invalid parameters, or when the day
// exceeds MaxAttempts.
func Play(p Params) (Sums, error) {
	if err := p.check(); err != nil {
		return Sums{}, err
	}
	p.Config.CacheAside, p.Config.OriginKind, p.Config.PollEndpoints = true, "origin", true
	d := &day{engine: engine{now: dayStart}, params: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), byID: map[uint32]*machine{},
		fetching: map[uint64]int{}, inFlight: map[uint64]*attempt{}, drained: map[uint32]bool{},
		sharedReports: map[uint32]sharedReport{}, coldWindows: map[*machine]*coldWindow{}}
	d.sums.Servers, d.sums.RejectedByCause = make([]ServerSum, p.Servers), map[string]int{}
	d.sums.NotInTimeByOutcome = map[string]int{}
	d.sums.Worth, d.sums.Gained = make([]float64, len(p.Config.Classes)),
		make([]float64, len(p.Config.Classes))
	d.initKeys()
	var known []model.Entry
	for i := range p.Servers + 1 {
		v := &machine{isUp: true, position: i, zone: zoneName(i % p.Zones), params: p.Origin}
		if v.isOrigin = i == p.Servers; !v.isOrigin {
			v.params = p.Kinds[i%len(p.Kinds)]
			v.params.Speed *= lognormal(d.rng, p.SpeedCV)
			d.sums.Servers[i].Capacity = float64(v.params.Cores) * v.params.Speed
		}
		d.servers = append(d.servers, v)
		d.assignID(v)
		v.serverModel = model.New(v.params, d.rng.Uint64(), dayStart)
		known = append(known, d.entry(v, "active", 0))
	}
	d.directory = model.NewDirectory(p.List, p.Seed, known)
	d.initialList = d.directory.FullList()
	total := 0.0
	for i := range p.Config.Routers {
		r, err := d.startRouter(i, d.initialList)
		if err != nil {
			return Sums{}, err
		}
		traffic := lognormal(d.rng, p.RouterTrafficCV)
		if i == 0 && p.FirstRouterTraffic > 0 {
			traffic = p.FirstRouterTraffic
		}
		total += traffic
		d.routers, d.cumulativeTraffic = append(d.routers, r), append(d.cumulativeTraffic, total)
	}
	if err := d.warmCaches(); err != nil {
		return Sums{}, err
	}
	d.after(d.nextInterval(), d.arrive)
	if p.KeyReplacementShare > 0 {
		d.after(1000, d.driftKeys)
	}
	if p.SharedProbeMillis > 0 {
		for i := range p.Servers {
			d.after(p.SharedProbeMillis*float64(i)/float64(p.Servers), func() { d.probeForAll(i) })
		}
	}
	for _, f := range p.Faults {
		d.after(f.At, func() { d.applyFault(f) })
	}
	d.play(dayStart+p.LengthMillis+cooldownMillis, func() bool { return d.sums.Attempts < MaxAttempts })
	if d.sums.Attempts >= MaxAttempts {
		return d.sums, fmt.Errorf("simulation: more than %d attempts", MaxAttempts)
	}
	for _, v := range d.servers {
		if v.serverModel.HasCollapsed() {
			d.sums.Fallen++
		}
	}
	d.computePrices()
	return d.sums, nil
}

func zoneName(i int) string { return "z" + strconv.Itoa(i) }

// lognormal draws a factor of mean 1 and the given coefficient of variation.
func lognormal(rng *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(s)*rng.NormFloat64() - s/2)
}

// studentQuantile returns the 97.5% quantile of Student's t distribution, for a two-sided 95% interval.
func studentQuantile(degreesOfFreedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
}

// assignID assigns a new ID to a machine.
func (d *day) assignID(v *machine) {
	delete(d.byID, v.id)
	for v.id = originID; !v.isOrigin && (v.id == originID || d.byID[v.id] != nil); {
		v.id = uint32(d.rng.Uint64()>>33) | 2
	}
	d.byID[v.id] = v
}

// entry returns the entry of a machine in the endpoint list.
func (d *day) entry(v *machine, state string, started float64) model.Entry {
	e := model.Entry{ID: strconv.FormatUint(uint64(v.id), 16), Zone: v.zone, Kind: "origin", State: state,
		Weight: float64(v.params.Cores), Started: started}
	if !v.isOrigin {
		e.Kind = "kind-" + strconv.Itoa(v.position%len(d.params.Kinds))
	}
	return e
}

// initKeys creates the keys, with popularities by rank after Zipf's law.
func (d *day) initKeys() {
	total := 0.0
	for i := range d.params.Keys {
		total += math.Pow(float64(i)+d.params.ZipfOffset, -d.params.ZipfExponent)
		d.cumulativePopularity, d.keyByRank = append(d.cumulativePopularity, total), append(d.keyByRank, d.newKey())
	}
}

func (d *day) newKey() uint64 {
	d.nextKey++
	return d.nextKey * 0x9e3779b97f4a7c15
}

// driftKeys replaces the keys of some ranks by new ones, once a second.
func (d *day) driftKeys() {
	n := d.params.KeyReplacementShare * float64(d.params.Keys)
	for range int(n) + boolToInt(d.rng.Float64() < n-math.Floor(n)) {
		d.keyByRank[d.rng.IntN(len(d.keyByRank))] = d.newKey()
	}
	d.after(1000, d.driftKeys)
}

// drawIndex draws an index with probabilities given by the running sums of their weights.
func drawIndex(rng *rand.Rand, sums []float64) int {
	return min(len(sums)-1, sort.SearchFloat64s(sums, rng.Float64()*sums[len(sums)-1]))
}

// warmCaches stores the keys in the servers, the least popular first, each at its home. The homes are those that
// a router computes which has only received the endpoint list.
func (d *day) warmCaches() error {
	if !d.params.StartsWarm {
		return nil
	}
	h := placementHost{sent: map[uint32]uint32{}}
	cfg := d.params.Config
	cfg.Routers, cfg.RouterIndex = 1, 0
	b, err := decide.New(cfg, d.params.Seed, &h)
	if err != nil {
		return err
	}
	b.UpdateEndpoints(dayStart, decide.RestoredEndpoints, toEndpoints(d.directory.FullList()))
	c := cfg.Classes[0]
	for i := len(d.keyByRank) - 1; i >= 0; i-- {
		id := uint32(i + 1)
		b.Request(dayStart, decide.Request{ID: id, Class: c.Name, Key: d.keyByRank[i], HasKey: true,
			RemainingMillis: c.DeadlineMillis})
		if v := d.byID[h.sent[id]]; v != nil && !v.isOrigin {
			v.serverModel.Store(dayStart, keyName(d.keyByRank[i]), 1)
		}
		b.AttemptEnded(dayStart, decide.Outcome{RequestID: id, ServerID: h.sent[id], Status: decide.OK, IsFinal: true,
			Load: decide.NoLoadReport})
	}
	return nil
}

func keyName(key uint64) string { return strconv.FormatUint(key, 16) }

// applyFault applies a fault to servers or routers.
func (d *day) applyFault(f Fault) {
	for _, i := range f.Routers {
		d.routers[i].kill()
		if f.Kind == Start {
			known := d.directory.FullList()
			if f.HasStaleList {
				known = d.initialList
			}
			r, err := d.startRouter(i, known)
			if err != nil { // impossible: the first routers accepted the same settings
				panic(err)
			}
			d.routers[i] = r
		}
	}
	for _, i := range f.Servers {
		v := d.servers[i]
		switch f.Kind {
		case Kill:
			d.stopServer(v)
			d.publish(d.entry(v, "left", 0))
		case Start:
			d.startServer(v)
			d.publish(d.entry(v, "active", d.now))
		case Replace:
			d.stopServer(v)
			d.publish(d.entry(v, "left", 0))
			d.assignID(v)
			d.startServer(v)
			d.publish(d.entry(v, "active", d.now))
		case Isolate, Reconnect:
			v.isPartitioned = f.Kind == Isolate
		case BeginDrain, EndDrain:
			d.drained[v.id] = f.Kind == BeginDrain
			for _, r := range d.routers {
				switch {
				case r.isDead:
				case f.Kind == BeginDrain:
					r.balancer.Disable(d.now, v.id)
				default:
					r.balancer.Enable(d.now, v.id)
				}
			}
		case Slow:
			d.advanceServer(v)
			v.serverModel.SetSpeed(v.params.Speed * f.Factor)
			d.advanceServer(v)
		}
	}
}

// publish reports a change of a server to discovery.
func (d *day) publish(e model.Entry) {
	d.directory.ScheduleChange(d.now, e)
	d.after(d.directory.Next()-d.now, func() { d.directory.Advance(d.now) })
}

// stopServer ends a machine's process: its jobs are lost, and its connections are reset.
func (d *day) stopServer(v *machine) {
	v.isUp = false
	v.incarnation++
	for _, a := range d.removeAttempts(v) {
		d.after(d.params.ZoneDelayMillis, func() { d.endAttempt(a, decide.Reset, 0, decide.NoLoadReport) })
	}
}

// startServer restarts a machine's process, cold and empty.
func (d *day) startServer(v *machine) {
	v.isUp = true
	v.serverModel.Advance(d.now)
	v.serverModel.Restart(d.now)
	v.startedAt = d.now
	d.sums.Cold.Starts++
	d.advanceServer(v)
}

// removeAttempts removes the attempts in flight at a machine and returns them in the order of their jobs.
func (d *day) removeAttempts(v *machine) (all []*attempt) {
	var jobs []uint64
	for job, a := range d.inFlight {
		if a.target == v {
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	for _, job := range jobs {
		all = append(all, d.inFlight[job])
		delete(d.inFlight, job)
	}
	return all
}

// advanceServer advances a machine to the present time, sends the responses of the jobs that are done, and
// schedules the next call for when the machine next changes.
func (d *day) advanceServer(v *machine) {
	for _, done := range v.serverModel.Advance(d.now) {
		d.sendResponse(v, done)
	}
	if at := v.serverModel.Next(); !math.IsInf(at, 1) && (v.nextEventAt <= d.now || at < v.nextEventAt) {
		v.nextEventAt = at
		d.after(at-d.now, func() {
			if v.nextEventAt == d.now {
				d.advanceServer(v)
			}
		})
	}
}

// sendResponse sends the response of a job back to its router, and stores a value fetched from the origin at the
// first two servers that missed.
func (d *day) sendResponse(v *machine, done model.Completion) {
	a := d.inFlight[done.ID]
	if a == nil {
		return
	}
	delete(d.inFlight, done.ID)
	if a.isDone || a.parent.isDone {
		d.sums.Wasted += done.Work
	}
	st, cacheResult := decide.Failed, 0
	switch done.Outcome {
	case model.Served, model.Repeated:
		if st, cacheResult = decide.OK, 1; v.isOrigin {
			cacheResult = 0
			for _, at := range a.parent.missedAt[:min(2, len(a.parent.missedAt))] {
				if at.isUp && !a.isDone {
					at.serverModel.Store(d.now, done.Key, done.Size)
				}
			}
		}
	case model.Missed:
		st, cacheResult = decide.Miss, 2
		a.parent.missedAt = append(a.parent.missedAt, v)
	case model.Fetching:
		st, cacheResult = decide.Miss, 3
		a.parent.missedAt = append(a.parent.missedAt, v)
	}
	d.respond(a, st, cacheResult)
}

// respond sends a response to the router, unless the machine is cut off from the network.
func (d *day) respond(a *attempt, st decide.AttemptStatus, cacheResult int) {
	if !a.target.isPartitioned {
		d.after(a.fromRouter.delayTo(a.target), func() { d.endAttempt(a, st, cacheResult, decide.NoLoadReport) })
	}
}

// endAttempt reports the outcome of an attempt to its router. Only the first outcome counts.
func (d *day) endAttempt(a *attempt, st decide.AttemptStatus, cacheResult int, l decide.LoadReport) {
	if a.isDone || a.fromRouter.isDead {
		return
	}
	a.isDone, a.endedAs = true, outcome(st)+1
	s := d.secondAt(d.now)
	switch {
	case a.target.isOrigin:
		d.fetching[a.parent.key]--
	case st == decide.Miss:
		d.sums.Misses++
		d.bandOf(a.parent.client).Misses++
		s.Misses++
		if a.target.position >= 0 {
			d.sums.Servers[a.target.position].Misses++
		}
	case st == decide.Canceled && !a.parent.isDone:
		d.sums.Cancels++
		d.bandOf(a.parent.client).Cancels++
		s.Cancels++
		if a.target.position >= 0 {
			d.sums.Servers[a.target.position].Cancels++
		}
	case st == decide.OK:
		at := &d.sums.Servers[a.target.position]
		at.Hits++
		at.MS += d.now - a.sentAt
	case st == decide.QueueFull:
		d.sums.QueueFullAttempts++
		s.QueueFullAttempts++
	}
	a.fromRouter.returnConn(a, st == decide.OK || st == decide.Miss || st == decide.Failed || st == decide.QueueFull)
	if st == decide.OK {
		a.fromRouter.finishTry(a.parent, tryServed, 0)
	}
	a.fromRouter.balancer.AttemptEnded(d.now, decide.Outcome{RequestID: a.parent.id, Attempt: a.index,
		ServerID: a.target.id, Status: st,
		LatencyMillis: d.now - a.sentAt,
		IsFinal:       a.parent.isDone, CacheResult: decide.CacheResult(cacheResult), Load: l})
}

// toEndpoints converts an endpoint list to the types of the decision module.
func toEndpoints(l model.List) []decide.Endpoint {
	var es []decide.Endpoint
	for _, e := range l.Servers {
		id, _ := strconv.ParseUint(e.ID, 16, 32) // entry has formatted the ID
		state := decide.Ready
		if e.State == "left" {
			state = decide.Removed
		}
		es = append(es, decide.Endpoint{ID: uint32(id), State: state, StartedAt: e.Started, Size: e.Weight,
			Zone: e.Zone, Kind: e.Kind})
	}
	return es
}
