package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// Days lists the kinds of days that GenerateDay generates, apart from SlowStartDays and ReleaseDays.
var Days = []string{"calm", "herd", "roll", "split", "zone"}

// SlowStartDays lists further days, on which cold servers may be overloaded by routers that have not been
// notified of their start yet.
var SlowStartDays = []string{"throng"}

// GenerateDay returns the parameters of a day of the given kind and size, drawn from the seed: machines and
// classes as in the regression test, a load of about two thirds of what the servers can serve with all their
// memory as one cache, and the faults that the day is named after. It returns an error for an unknown kind
// and for sizes that are too small.
func GenerateDay(kind string, routers, servers int, seed uint64) (Params, error) {
	if !slices.Contains(slices.Concat(Days, SlowStartDays, ReleaseDays), kind) {
		return Params{}, fmt.Errorf("simulation: no day is named %q; the days are %v, %v and %v",
			kind, Days, SlowStartDays, ReleaseDays)
	}
	if routers < 1 || servers < 4 {
		return Params{}, fmt.Errorf("simulation: %d routers and %d servers: at least 1 and 4 are required", routers, servers)
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	draw := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	const (
		length          = 22000
		zones           = 6
		objectiveMillis = 600
	)
	machine := func(cores int, speed, cold float64) model.Params {
		return model.Params{Cores: cores, Speed: speed, Queue: int(draw(9, 33) * float64(cores)),
			Thrash: draw(0.045, 0.13), ThrashAt: draw(2.9, 5.4),
			ColdFrom: cold, ColdMS: draw(3500, 8500), MissWork: 5,
			Conns: 800 * cores, ConnWork: draw(1.3, 6), ProbeWork: draw(0.8, 1.5),
			PauseEveryMS: draw(4000, 11000), PauseMS: draw(0, 60), ErrorRate: 0.0005, KeyedMS: 3000,
			ReportEveryMS: draw(70, 490), ReportDelayMS: draw(2, 150), ReportNoise: draw(0.03, 0.2),
			FallMultiple: 3, FallForMS: 2000,
			ChokeAt: draw(4, 7), ChokeOverMS: draw(1500, 2500), ChokeSlower: draw(2.2, 3.1), ChokeBelow: draw(0.25, 0.4),
			ChokeRestMS: draw(3000, 4600),
			ChokeMostMS: draw(17000, 29000)}
	}
	kinds := []model.Params{machine(4, draw(1.7, 2.3), draw(0.35, 0.53)), machine(5, draw(1, 1.4), draw(0.41, 0.6)),
		machine(5, draw(0.68, 0.92), draw(0.3, 0.59))}
	if kind == "throng" { // small servers: a cold one can take only a few dozen requests in a window
		for i := range kinds {
			kinds[i].Queue, kinds[i].Conns, kinds[i].Cores = kinds[i].Queue/kinds[i].Cores,
				max(1600, 4*routers), 1
		}
	}
	work := draw(84, 150)
	capacity := 0.0 // work per millisecond
	for i := range servers {
		k := kinds[i%len(kinds)]
		capacity += float64(k.Cores) * k.Speed
	}
	p := Params{Servers: servers, Kinds: kinds, SpeedCV: draw(0.2, 0.35), Rate: 0.62 * capacity / work * 1000,
		LengthMillis: length, Keys: 150 * servers,
		ZipfExponent: draw(0.92, 1.2), ZipfOffset: draw(2, 10), KeyReplacementShare: draw(0.0005, 0.003),
		StartsWarm: true,
		Work:       work, WorkCV: draw(0.76, 1.5), AttemptWorkCV: draw(0.13, 0.57),
		IdempotentWriteShare: 0.022, OtherWriteShare: 0.013, Zones: zones, ZoneDelayMillis: 0.2,
		CrossZoneDelayMillis: draw(10, 20),
		RouterTrafficCV:      0.8,
		Clients: Clients{Retries: 2, TryTimeoutShare: draw(0.5, 0.8), BackoffMillis: draw(25, 200),
			HonorProbability: draw(0.7, 1)},
		Conn:   Conn{RTTs: draw(1, 2), Timeout: 250},
		Prices: Prices{Cross: 0.02, Waste: 0.04, Probe: 0.08, Dial: 0.08, Call: 0.05},
		List: model.DirectoryParams{LateMS: [2]float64{600, 3500}, CallsPerS: float64(routers) / 6,
			TimeoutMS: 2000},
		Seed: seed}
	// The memory of all servers together holds the n most popular keys, where n is chosen so that they
	// receive this share of the reads.
	hits, total, sum, n := draw(0.85, 0.95), 0.0, 0.0, 0
	weight := func(i int) float64 { return math.Pow(float64(i)+p.ZipfOffset, -p.ZipfExponent) }
	for i := range p.Keys {
		total += weight(i)
	}
	for ; sum < hits*total; n++ {
		sum += weight(n)
	}
	for i := range kinds {
		kinds[i].Memory = max(1, n/servers)
	}
	// The capacity of the origin is about twice the load that then remains for it.
	fetchMS, left := objectiveMillis*draw(0.08, 0.24), 1-hits+p.IdempotentWriteShare+p.OtherWriteShare
	cores := max(1, int(math.Round(draw(1.9, 2.8)*left*p.Rate*fetchMS/1000)))
	p.Origin = model.Params{Cores: cores, Speed: work / fetchMS, Queue: int(draw(0.3, 3.1)*1000/fetchMS) * cores,
		Origin: true, KeyedMS: 3000, Thrash: draw(0.05, 0.2), ThrashAt: 4}
	p.Config = decide.Config{Routers: routers, LoadByHealthCheck: true, HealthChecksAllowed: true, CancelAllowed: true,
		SendRetryAfter: true, MaxRetryAfterMillis: 1500, MaxAttempts: 3,
		IdleTimeoutMillis: 10000, PollWithinMillis: 10000, SlowStartMillis: 8800, SlowStartInitialShare: 0.3,
		OverloadFactor: 3, OverloadMillis: 2000, Classes: []decide.Class{
			{Name: "fetch", LatencyObjectiveMillis: objectiveMillis, DeadlineMillis: 1200, PriorityWeight: 2},
			{Name: "publish", LatencyObjectiveMillis: objectiveMillis, DeadlineMillis: 1500, PriorityWeight: 10,
				Effect: decide.IdempotentByKey, IdempotencyScope: "all", IdempotencyWindowMillis: 3000},
			{Name: "release-tag", LatencyObjectiveMillis: objectiveMillis, DeadlineMillis: 1200, PriorityWeight: 2,
				Effect: decide.NotIdempotent}}}
	if slices.Contains(ReleaseDays, kind) {
		return p, p.addRelease(kind)
	}
	p.addFaults(kind, rng)
	return p, nil
}

// addFaults adds the bursts and faults of a kind of day.
func (p *Params) addFaults(kind string, rng *rand.Rand) {
	routers, zoned := p.Config.Routers, func(n, zone int) (all []int) {
		for i := zone; i < n; i += p.Zones {
			all = append(all, i)
		}
		return all
	}
	lost := rng.IntN(p.Zones)
	switch kind {
	case "calm":
		p.Bursts = []Burst{{At: 8000, For: 4000, RateFactor: 1.5}}
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
			p.Faults = append(p.Faults, Fault{At: at, Routers: part, Kind: Kill},
				Fault{At: at + 500, Routers: part, Kind: Start},
				Fault{At: at, Servers: half[i*len(half)/10 : (i+1)*len(half)/10], Kind: Replace})
		}
	case "split":
		cut := zoned(p.Servers, lost)
		p.Faults = append(p.Faults, Fault{At: 7000, Servers: cut, Kind: Isolate},
			Fault{At: 13000, Servers: cut, Kind: Reconnect})
	case "throng":
		cut := rng.Perm(p.Servers)[:max(1, p.Servers/4)]
		p.Bursts, p.SendsWorkHints = []Burst{{At: 7000, For: 5000, RateFactor: 2}}, true
		p.Faults = append(p.Faults, Fault{At: 4000, Servers: cut, Kind: Kill}, Fault{At: 6000, Servers: cut, Kind: Start})
	case "zone":
		cut := zoned(p.Servers, lost)
		p.Faults = append(p.Faults, Fault{At: 5000, Servers: cut, Kind: Kill}, Fault{At: 10000, Servers: cut, Kind: Start})
		for i := rng.IntN(8); i < p.Servers; i += 8 {
			p.Faults = append(p.Faults, Fault{At: 0, Servers: []int{i}, Kind: Slow, Factor: 1.0 / 3})
		}
	}
}
