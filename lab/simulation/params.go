package simulation

import (
	"errors"
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// Params describes a day. Times are in milliseconds, rates in requests per second over the whole fleet,
// work in milliseconds on a core of speed 1.
type Params struct {
	Config               decide.Config // Play sets RouterIndex, Zone, CacheAside, OriginKind and PollEndpoints
	Servers              int
	Kinds                []model.Params // server i has the parameters Kinds[i % len(Kinds)]
	SpeedCV              float64        // coefficient of variation of a server's speed around that of its kind
	Origin               model.Params
	List                 model.DirectoryParams
	Rate                 float64
	Bursts               []Burst
	LengthMillis         float64
	Keys                 int
	ZipfExponent         float64 // exponent of the Zipf distribution of key popularity, above 0
	ZipfOffset           float64 // added to the rank of a key, which starts at 0; 0: 4
	KeyReplacementShare  float64 // share of the keys replaced by new ones each second
	StartsWarm           bool    // servers start with the most popular keys, each at its home as a new router computes it
	Work                 float64 // mean work of a request
	WorkCV               float64 // coefficient of variation of the work, lognormal; 0: exponential
	AttemptWorkCV        float64 // coefficient of variation of an attempt's work around that of its request, lognormal
	SendsWorkHints       bool    // requests carry the work as a hint
	IdempotentWriteShare float64 // share of requests that are writes of the second class
	OtherWriteShare      float64 // share of requests that are writes of the third class
	Zones                int     // servers and routers are assigned to zones in turn; 0: 1
	ZoneDelayMillis      float64 // one-way network delay within a zone
	CrossZoneDelayMillis float64 // one-way network delay between zones; 0: as within a zone
	FirstRouterTraffic   float64 // traffic of router 0 relative to the mean; 0: as the others
	RouterTrafficCV      float64 // coefficient of variation of the routers' traffic, lognormal
	SharedProbeMillis    float64 // interval at which one router probes a server for all; 0: each router probes for itself
	Clients              Clients
	Conn                 Conn
	Prices               Prices
	Seed                 uint64
	Faults               []Fault
}

// Burst multiplies the request rate by RateFactor, for the period For from At on.
type Burst struct{ At, For, RateFactor float64 }

// Clients describes how clients retry.
type Clients struct {
	Retries          int     // tries after the first
	TryTimeoutShare  float64 // share of the class's deadline after which a client abandons a try; 0: 1
	BackoffMillis    float64 // mean backoff before the second try; doubles with each try
	HonorProbability float64 // probability that a client honors the retry delay of a rejection
}

// Conn describes the cost of connections. A server's limit of connections and the work of establishing
// one are in the server's parameters.
type Conn struct {
	RTTs    float64 // round trips to establish a connection; 0: connections cost nothing and are not counted
	Timeout float64 // a connection that is not established by then has failed
}

// Prices are shares of the priority weight of all requests. Each is the price of one zone crossing, probe,
// dial or discovery call per client request; Waste is the price of wasting as much work as the client
// requests contain.
type Prices struct{ Cross, Waste, Probe, Dial, Call float64 }

// Fault is a change of servers or routers at a time of the day.
type Fault struct {
	At           float64
	Servers      []int
	Routers      []int
	Kind         FaultKind
	Factor       float64 // Slow: multiplies the speed
	HasStaleList bool    // Start of routers: they start with the endpoint list of the start of the day
}

// FaultKind is the kind of a Fault.
type FaultKind int

// Kinds of faults. Kill ends processes without notice. Start starts them again: servers cold and empty,
// routers with the current endpoint list of discovery. Isolate cuts servers off from the network until
// Reconnect. Replace ends servers and starts others in their place under new IDs. Slow multiplies the speed of
// servers.
const (
	Kill FaultKind = iota
	Start
	Isolate
	Reconnect
	Replace
	Slow
	BeginDrain // all routers drain the servers
	EndDrain   // all routers end the drain of the servers
)

// check validates the parameters and sets defaults.
func (p *Params) check() error {
	if p.Servers < 1 || len(p.Kinds) == 0 || p.Keys < 1 || !(p.ZipfExponent > 0) || !(p.Rate > 0) ||
		!(p.LengthMillis > 0) ||
		!(p.Work > 0) {
		return errors.New("simulation: Servers, Kinds, Keys, ZipfExponent, Rate, LengthMillis and Work are required")
	}
	for i, k := range append(slices.Clone(p.Kinds), p.Origin) {
		if err := k.Check(); err != nil {
			return fmt.Errorf("simulation: kind %d: %w", i, err)
		}
	}
	if need := 1 + boolToInt(p.IdempotentWriteShare > 0) + boolToInt(p.OtherWriteShare > 0); len(p.Config.Classes) < need {
		return fmt.Errorf("simulation: Config.Classes has %d classes, the shares of writes need %d",
			len(p.Config.Classes), need)
	}
	for i, f := range p.Faults {
		for _, s := range f.Servers {
			if s < 0 || s >= p.Servers {
				return fmt.Errorf("simulation: Faults[%d].Servers: server %d does not exist", i, s)
			}
		}
		for _, r := range f.Routers {
			if r < 0 || r >= p.Config.Routers || f.Kind != Kill && f.Kind != Start {
				return fmt.Errorf("simulation: Faults[%d].Routers: router %d does not exist, or the kind is neither Kill nor Start",
					i, r)
			}
		}
		if f.Kind == Slow && !(f.Factor > 0) {
			return fmt.Errorf("simulation: Faults[%d].Factor: impossible value %v", i, f.Factor)
		}
	}
	p.Zones = max(1, p.Zones)
	if p.CrossZoneDelayMillis == 0 {
		p.CrossZoneDelayMillis = p.ZoneDelayMillis
	}
	if p.Clients.TryTimeoutShare == 0 {
		p.Clients.TryTimeoutShare = 1
	}
	if p.ZipfOffset == 0 {
		p.ZipfOffset = 4
	}
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
