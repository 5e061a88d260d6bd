// Package simulation is the laboratory in virtual time: a fleet of real decision modules before modelled cache servers, origin,
// discovery, connections and clients, judged by sums over the fleet. Nothing in it waits or reads a clock, so one seed is
// one day.
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

// MaxAttempts bounds the attempts of a day, as a module that loops would play for ever.
const MaxAttempts = 10_000_000

// begin is the time of a day's start: a server that started at 0 has run for long. Much later, the smallest step of the
// models would be lost to rounding.
const begin = 1e6

// rest is how long a day is played on after the last request.
const rest = 3000

const originID = 1

// day is one day while it is played.
type day struct {
	engine
	p        Params
	rng      *rand.Rand
	servers  []*machine // the origin is the last
	byID     map[uint32]*machine
	list     *model.Directory
	first    model.List // as it was when the day began
	routers  []*router
	parts    []float64 // the routers' traffic, added up
	ranks    []float64 // the popularity of keys, added up
	key      []uint64  // by rank
	nextKey  uint64
	sums     Sums
	fetching map[uint64]int
	jobs     uint64
	out      map[uint64]*attempt
	drained  map[uint32]bool
	cold     map[*machine]*coldWindow // what cold servers were sent lately
	board    map[uint32]report        // what routers have told one another
}

type machine struct {
	id     uint32
	m      *model.Server
	p      model.Params
	origin bool
	up     bool
	silent bool
	boot   int // of its process
	// startedAt is when its process was started in the middle of the day.
	startedAt float64
	at        float64
	place     int
	zone      string
}

// Play plays a day.
func Play(p Params) (Sums, error) {
	if err := p.check(); err != nil {
		return Sums{}, err
	}
	p.Config.CacheAside, p.Config.OriginKind, p.Config.PollEndpoints = true, "origin", true
	d := &day{engine: engine{now: begin}, p: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), byID: map[uint32]*machine{},
		fetching: map[uint64]int{}, out: map[uint64]*attempt{}, drained: map[uint32]bool{}, board: map[uint32]report{}, cold: map[*machine]*coldWindow{}}
	d.sums.Servers, d.sums.ByCause = make([]ServerSum, p.Servers), map[string]int{}
	d.sums.Lost = map[string]int{}
	d.sums.Worth, d.sums.Gained = make([]float64, len(p.Config.Classes)), make([]float64, len(p.Config.Classes))
	d.popularity()
	var known []model.Entry
	for i := range p.Servers + 1 {
		v := &machine{up: true, place: i, zone: zone(i % p.Zones), p: p.Origin}
		if v.origin = i == p.Servers; !v.origin {
			v.p = p.Kinds[i%len(p.Kinds)]
			v.p.Speed *= lognormal(d.rng, p.SpeedCV)
			d.sums.Servers[i].Capacity = float64(v.p.Cores) * v.p.Speed
		}
		d.servers = append(d.servers, v)
		d.name(v)
		v.m = model.New(v.p, d.rng.Uint64(), begin)
		known = append(known, d.entry(v, "active", 0))
	}
	d.list = model.NewDirectory(p.List, p.Seed, known)
	d.first = d.list.FullList()
	total := 0.0
	for i := range p.Config.Routers {
		r, err := d.router(i, d.first)
		if err != nil {
			return Sums{}, err
		}
		part := lognormal(d.rng, p.Uneven)
		if i == 0 && p.Hot > 0 {
			part = p.Hot
		}
		total += part
		d.routers, d.parts = append(d.routers, r), append(d.parts, total)
	}
	if err := d.warm(); err != nil {
		return Sums{}, err
	}
	d.after(d.gap(), d.arrive)
	if p.Drift > 0 {
		d.after(1000, d.drift)
	}
	if p.Shared > 0 {
		for i := range p.Servers {
			d.after(p.Shared*float64(i)/float64(p.Servers), func() { d.share(i) })
		}
	}
	for _, f := range p.Faults {
		d.after(f.At, func() { d.fault(f) })
	}
	d.play(begin+p.Length+rest, func() bool { return d.sums.Attempts < MaxAttempts })
	if d.sums.Attempts >= MaxAttempts {
		return d.sums, fmt.Errorf("virtual: over %d attempts", MaxAttempts)
	}
	for _, v := range d.servers {
		if v.m.HasCollapsed() {
			d.sums.Fallen++
		}
	}
	d.price()
	return d.sums, nil
}

func zone(i int) string { return "z" + strconv.Itoa(i) }

// lognormal draws a factor of mean 1 and the given coefficient of variation.
func lognormal(rng *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s := math.Log(1 + cv*cv)
	return math.Exp(math.Sqrt(s)*rng.NormFloat64() - s/2)
}

// quantile is that of Student's t for 95% and the degrees of freedom.
func quantile(freedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.975)
}

// name gives a machine a new id.
func (d *day) name(v *machine) {
	delete(d.byID, v.id)
	for v.id = originID; !v.origin && (v.id == originID || d.byID[v.id] != nil); {
		v.id = uint32(d.rng.Uint64()>>33) | 2
	}
	d.byID[v.id] = v
}

// entry is a machine on the list.
func (d *day) entry(v *machine, state string, started float64) model.Entry {
	e := model.Entry{ID: strconv.FormatUint(uint64(v.id), 16), Zone: v.zone, Kind: "origin", State: state, Weight: float64(v.p.Cores), Started: started}
	if !v.origin {
		e.Kind = "kind-" + strconv.Itoa(v.place%len(d.p.Kinds))
	}
	return e
}

// popularity deals keys to ranks, by Zipf's law.
func (d *day) popularity() {
	total := 0.0
	for i := range d.p.Keys {
		total += math.Pow(float64(i)+d.p.Offset, -d.p.Zipf)
		d.ranks, d.key = append(d.ranks, total), append(d.key, d.newKey())
	}
}

func (d *day) newKey() uint64 {
	d.nextKey++
	return d.nextKey * 0x9e3779b97f4a7c15
}

// drift has some ranks go over to new keys.
func (d *day) drift() {
	n := d.p.Drift * float64(d.p.Keys)
	for range int(n) + b2i(d.rng.Float64() < n-math.Floor(n)) {
		d.key[d.rng.IntN(len(d.key))] = d.newKey()
	}
	d.after(1000, d.drift)
}

// draw draws an index by sums of weights.
func draw(rng *rand.Rand, sums []float64) int {
	return min(len(sums)-1, sort.SearchFloat64s(sums, rng.Float64()*sums[len(sums)-1]))
}

// warm fills the servers with the most popular keys, the least popular first, at the homes that a router gives them that
// knows nothing but the list.
func (d *day) warm() error {
	if !d.p.Warm {
		return nil
	}
	h := homes{sent: map[uint32]uint32{}}
	cfg := d.p.Config
	cfg.Routers, cfg.RouterIndex = 1, 0
	b, err := decide.New(cfg, d.p.Seed, &h)
	if err != nil {
		return err
	}
	b.UpdateEndpoints(begin, decide.RestoredEndpoints, decided(d.list.FullList()))
	c := cfg.Classes[0]
	for i := len(d.key) - 1; i >= 0; i-- {
		id := uint32(i + 1)
		b.Request(begin, decide.Request{ID: id, Class: c.Name, Key: d.key[i], HasKey: true, RemainingMillis: c.DeadlineMillis})
		if v := d.byID[h.sent[id]]; v != nil && !v.origin {
			v.m.Store(begin, name(d.key[i]), 1)
		}
		b.AttemptEnded(begin, decide.Outcome{RequestID: id, ServerID: h.sent[id], Status: decide.OK, IsFinal: true, Load: decide.NoLoadReport})
	}
	return nil
}

func name(key uint64) string { return strconv.FormatUint(key, 16) }

// fault carries out a fault.
func (d *day) fault(f Fault) {
	for _, i := range f.Routers {
		d.routers[i].die()
		if f.Kind == Start {
			known := d.list.FullList()
			if f.Stale {
				known = d.first
			}
			r, err := d.router(i, known)
			if err != nil { // the first ones took the same settings
				panic(err)
			}
			d.routers[i] = r
		}
	}
	for _, i := range f.Servers {
		v := d.servers[i]
		switch f.Kind {
		case Kill:
			d.stop(v)
			d.happened(d.entry(v, "left", 0))
		case Start:
			d.start(v)
			d.happened(d.entry(v, "active", d.now))
		case Replace:
			d.stop(v)
			d.happened(d.entry(v, "left", 0))
			d.name(v)
			d.start(v)
			d.happened(d.entry(v, "active", d.now))
		case Silent, Heard:
			v.silent = f.Kind == Silent
		case Drain, Undrain:
			d.drained[v.id] = f.Kind == Drain
			for _, r := range d.routers {
				switch {
				case r.dead:
				case f.Kind == Drain:
					r.b.Disable(d.now, v.id)
				default:
					r.b.Enable(d.now, v.id)
				}
			}
		case Slow:
			d.look(v)
			v.m.SetSpeed(v.p.Speed * f.Factor)
			d.look(v)
		}
	}
}

func (d *day) happened(e model.Entry) {
	d.list.ScheduleChange(d.now, e)
	d.after(d.list.Next()-d.now, func() { d.list.Advance(d.now) })
}

// stop ends a machine's process: what is there is lost, and its connections are reset.
func (d *day) stop(v *machine) {
	v.up = false
	v.boot++
	for _, a := range d.lost(v) {
		d.after(d.p.Net, func() { d.end(a, decide.Reset, 0, decide.NoLoadReport) })
	}
}

func (d *day) start(v *machine) {
	v.up = true
	v.m.Advance(d.now)
	v.m.Restart(d.now)
	v.startedAt = d.now
	d.sums.Cold.Starts++
	d.look(v)
}

// lost are the attempts at a machine, in their order.
func (d *day) lost(v *machine) (all []*attempt) {
	var jobs []uint64
	for job, a := range d.out {
		if a.to == v {
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	for _, job := range jobs {
		all = append(all, d.out[job])
		delete(d.out, job)
	}
	return all
}

// look has a machine work, and comes back when it next has something done.
func (d *day) look(v *machine) {
	for _, done := range v.m.Advance(d.now) {
		d.done(v, done)
	}
	if at := v.m.Next(); !math.IsInf(at, 1) && (v.at <= d.now || at < v.at) {
		v.at = at
		d.after(at-d.now, func() {
			if v.at == d.now {
				d.look(v)
			}
		})
	}
}

// done sends a machine's answer back.
func (d *day) done(v *machine, done model.Completion) {
	a := d.out[done.ID]
	if a == nil {
		return
	}
	delete(d.out, done.ID)
	if a.over || a.q.over {
		d.sums.Wasted += done.Work
	}
	st, note := decide.Failed, 0
	switch done.Outcome {
	case model.Served, model.Repeated:
		if st, note = decide.OK, 1; v.origin {
			note = 0
			for _, at := range a.q.missedAt[:min(2, len(a.q.missedAt))] {
				if at.up && !a.over {
					at.m.Store(d.now, done.Key, done.Size)
				}
			}
		}
	case model.Missed:
		st, note = decide.Miss, 2
		a.q.missedAt = append(a.q.missedAt, v)
	case model.Fetching:
		st, note = decide.Miss, 3
		a.q.missedAt = append(a.q.missedAt, v)
	}
	d.back(a, st, note)
}

// back sends an answer from its machine, unless that is cut off.
func (d *day) back(a *attempt, st decide.AttemptStatus, note int) {
	if !a.to.silent {
		d.after(a.r.net(a.to), func() { d.end(a, st, note, decide.NoLoadReport) })
	}
}

// end tells a router the outcome of an attempt, once.
func (d *day) end(a *attempt, st decide.AttemptStatus, note int, l decide.LoadReport) {
	if a.over || a.r.dead {
		return
	}
	a.over, a.st = true, outcome(st)+1
	s := d.second(d.now)
	switch {
	case a.to.origin:
		d.fetching[a.q.key]--
	case st == decide.Miss:
		d.sums.Misses++
		d.band(a.q.wish).Misses++
		s.Misses++
		if a.to.place >= 0 {
			d.sums.Servers[a.to.place].Misses++
		}
	case st == decide.Canceled && !a.q.over:
		d.sums.Cancels++
		d.band(a.q.wish).Cancels++
		s.Cancels++
		if a.to.place >= 0 {
			d.sums.Servers[a.to.place].Cancels++
		}
	case st == decide.OK:
		at := &d.sums.Servers[a.to.place]
		at.Hits++
		at.MS += d.now - a.sent
	case st == decide.QueueFull:
		d.sums.Full++
		s.Full++
	}
	a.r.release(a, st == decide.OK || st == decide.Miss || st == decide.Failed || st == decide.QueueFull)
	if st == decide.OK {
		a.r.finish(a.q, served, 0)
	}
	a.r.b.AttemptEnded(d.now, decide.Outcome{RequestID: a.q.id, Attempt: a.n, ServerID: a.to.id, Status: st, LatencyMillis: d.now - a.sent,
		IsFinal: a.q.over, CacheResult: decide.CacheResult(note), Load: l})
}

// decided is a list in the module's terms.
func decided(l model.List) []decide.Endpoint {
	var es []decide.Endpoint
	for _, e := range l.Servers {
		id, _ := strconv.ParseUint(e.ID, 16, 32) // as it was written above
		state := decide.Ready
		if e.State == "left" {
			state = decide.Removed
		}
		es = append(es, decide.Endpoint{ID: uint32(id), State: state, StartedAt: e.Started, Size: e.Weight, Zone: e.Zone, Kind: e.Kind})
	}
	return es
}
