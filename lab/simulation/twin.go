package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// Days are the days that Twin draws.
var Days = []string{"calm", "herd", "roll", "split", "zone"}

// SlowStarts are further days that Twin draws, of which cold servers may fall to routers that don't know of their start yet.
var SlowStarts = []string{"throng"}

// Twin draws a day of the standing test's kind at the given size from the seed: the site's machines and classes, a load
// about two thirds of what the servers can do with all memory as one cache, and the trouble that the day is named after.
func Twin(kind string, routers, servers int, seed uint64) (Params, error) {
	if !slices.Contains(slices.Concat(Days, SlowStarts, Releases), kind) {
		return Params{}, fmt.Errorf("virtual: no day %q; there are %v, %v and %v", kind, Days, SlowStarts, Releases)
	}
	if routers < 1 || servers < 4 {
		return Params{}, fmt.Errorf("virtual: %d routers before %d servers: at least 1 and 4", routers, servers)
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	in := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	const (
		length = 22000
		zones  = 6
		aim    = 600
	)
	machine := func(cores int, speed, cold float64) model.Params {
		return model.Params{Cores: cores, Speed: speed, Queue: int(in(9, 33) * float64(cores)), Thrash: in(0.045, 0.13), ThrashAt: in(2.9, 5.4),
			ColdFrom: cold, ColdMS: in(3500, 8500), MissWork: 5, Conns: 800 * cores, ConnWork: in(1.3, 6), ProbeWork: in(0.8, 1.5),
			PauseEveryMS: in(4000, 11000), PauseMS: in(0, 60), ErrorRate: 0.0005, KeyedMS: 3000,
			ReportEveryMS: in(70, 490), ReportDelayMS: in(2, 150), ReportNoise: in(0.03, 0.2), FallMultiple: 3, FallForMS: 2000,
			ChokeAt: in(4, 7), ChokeOverMS: in(1500, 2500), ChokeSlower: in(2.2, 3.1), ChokeBelow: in(0.25, 0.4), ChokeRestMS: in(3000, 4600),
			ChokeMostMS: in(17000, 29000)}
	}
	kinds := []model.Params{machine(4, in(1.7, 2.3), in(0.35, 0.53)), machine(5, in(1, 1.4), in(0.41, 0.6)), machine(5, in(0.68, 0.92), in(0.3, 0.59))}
	if kind == "throng" { // small servers: a cold one bears a few dozen requests in a window
		for i := range kinds {
			kinds[i].Queue, kinds[i].Conns, kinds[i].Cores = kinds[i].Queue/kinds[i].Cores, max(1600, 4*routers), 1
		}
	}
	work := in(84, 150)
	capacity := 0.0 // work a millisecond
	for i := range servers {
		k := kinds[i%len(kinds)]
		capacity += float64(k.Cores) * k.Speed
	}
	p := Params{Servers: servers, Kinds: kinds, SpeedCV: in(0.2, 0.35), Rate: 0.62 * capacity / work * 1000, Length: length, Keys: 150 * servers,
		Zipf: in(0.92, 1.2), Offset: in(2, 10), Drift: in(0.0005, 0.003), Warm: true, Work: work, WorkCV: in(0.76, 1.5), Noise: in(0.13, 0.57),
		Keyed: 0.022, Once: 0.013, Zones: zones, Net: 0.2, Cross: in(10, 20), Uneven: 0.8,
		Clients: Clients{Retries: 2, Try: in(0.5, 0.8), Pause: in(25, 200), Honour: in(0.7, 1)}, Conn: Conn{RTTs: in(1, 2), Timeout: 250},
		Prices: Prices{Cross: 0.02, Waste: 0.04, Probe: 0.08, Dial: 0.08, Call: 0.05},
		List:   model.DirectoryParams{LateMS: [2]float64{600, 3500}, CallsPerS: float64(routers) / 6, TimeoutMS: 2000}, Seed: seed}
	// The memory of all servers as one cache holds the most popular keys: so many that this share of the reads finds them.
	hits, total, sum, n := in(0.85, 0.95), 0.0, 0.0, 0
	weight := func(i int) float64 { return math.Pow(float64(i)+p.Offset, -p.Zipf) }
	for i := range p.Keys {
		total += weight(i)
	}
	for ; sum < hits*total; n++ {
		sum += weight(n)
	}
	for i := range kinds {
		kinds[i].Memory = max(1, n/servers)
	}
	// The origin can do about twice what would then be left.
	fetchMS, left := aim*in(0.08, 0.24), 1-hits+p.Keyed+p.Once
	cores := max(1, int(math.Round(in(1.9, 2.8)*left*p.Rate*fetchMS/1000)))
	p.Origin = model.Params{Cores: cores, Speed: work / fetchMS, Queue: int(in(0.3, 3.1)*1000/fetchMS) * cores, Origin: true, KeyedMS: 3000,
		Thrash: in(0.05, 0.2), ThrashAt: 4}
	p.Config = decide.Config{Routers: routers, LoadByHealthCheck: true, HealthChecksAllowed: true, CancelAllowed: true, SendRetryAfter: true, MaxRetryAfterMillis: 1500, MaxAttempts: 3,
		IdleTimeoutMillis: 10000, PollWithinMillis: 10000, SlowStartMillis: 8800, SlowStartInitialShare: 0.3, OverloadFactor: 3, OverloadMillis: 2000, Classes: []decide.Class{
			{Name: "fetch", LatencyObjectiveMillis: aim, DeadlineMillis: 1200, PriorityWeight: 2},
			{Name: "publish", LatencyObjectiveMillis: aim, DeadlineMillis: 1500, PriorityWeight: 10, Effect: decide.IdempotentByKey, IdempotencyScope: "all", IdempotencyWindowMillis: 3000},
			{Name: "release-tag", LatencyObjectiveMillis: aim, DeadlineMillis: 1200, PriorityWeight: 2, Effect: decide.NotIdempotent}}}
	if slices.Contains(Releases, kind) {
		return p, p.release(kind)
	}
	p.trouble(kind, rng)
	return p, nil
}

// trouble puts what a day is named after on its time line.
func (p *Params) trouble(kind string, rng *rand.Rand) {
	routers, zoned := p.Config.Routers, func(n, zone int) (all []int) {
		for i := zone; i < n; i += p.Zones {
			all = append(all, i)
		}
		return all
	}
	lost := rng.IntN(p.Zones)
	switch kind {
	case "calm":
		p.Bursts = []Burst{{At: 8000, For: 4000, Times: 1.5}}
	case "herd":
		dead := rng.Perm(routers)[:routers*7/10]
		p.Faults = append(p.Faults, Fault{At: 6000, Routers: dead, Kind: Kill}, Fault{At: 7000, Routers: dead, Kind: Start})
		for i := rng.IntN(8); i < p.Servers; i += 8 {
			p.Faults = append(p.Faults, Fault{At: 0, Servers: []int{i}, Kind: Slow, Factor: 1.0 / 3})
		}
	case "roll":
		order, half := rng.Perm(routers), rng.Perm(p.Servers)[:p.Servers/2]
		for i := range 10 {
			part := order[i*routers/10 : (i+1)*routers/10]
			at := 3000 + 1500*float64(i)
			p.Faults = append(p.Faults, Fault{At: at, Routers: part, Kind: Kill}, Fault{At: at + 500, Routers: part, Kind: Start},
				Fault{At: at, Servers: half[i*len(half)/10 : (i+1)*len(half)/10], Kind: Replace})
		}
	case "split":
		cut := zoned(p.Servers, lost)
		p.Faults = append(p.Faults, Fault{At: 7000, Servers: cut, Kind: Silent}, Fault{At: 13000, Servers: cut, Kind: Heard})
	case "throng":
		cut := rng.Perm(p.Servers)[:max(1, p.Servers/4)]
		p.Bursts, p.Hints = []Burst{{At: 7000, For: 5000, Times: 2}}, true
		p.Faults = append(p.Faults, Fault{At: 4000, Servers: cut, Kind: Kill}, Fault{At: 6000, Servers: cut, Kind: Start})
	case "zone":
		cut := zoned(p.Servers, lost)
		p.Faults = append(p.Faults, Fault{At: 5000, Servers: cut, Kind: Kill}, Fault{At: 10000, Servers: cut, Kind: Start})
		for i := rng.IntN(8); i < p.Servers; i += 8 {
			p.Faults = append(p.Faults, Fault{At: 0, Servers: []int{i}, Kind: Slow, Factor: 1.0 / 3})
		}
	}
}
