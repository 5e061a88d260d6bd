package simulation

import (
	"errors"
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/lab/model"
)

// Params describe a day. Times are in milliseconds, rates in requests a second over the whole fleet, work in milliseconds
// on a core of speed 1.
type Params struct {
	Config  decide.Config // of each router, but for its number and zone; Aside with the origin's kind is set here
	Servers int
	Kinds   []model.Params // server i is of kind i modulo their number
	SpeedCV float64        // spread of a server's speed around its kind's, as a share
	Origin  model.Params
	List    model.DirectoryParams
	Rate    float64
	Bursts  []Burst
	Length  float64
	Keys    int
	Zipf    float64 // exponent of the popularity of keys, above 0
	Offset  float64 // added to the rank of a key, which begins at 0; 0 = 4
	Drift   float64 // share of the keys that become new ones each second
	Warm    bool    // servers begin with the most popular keys, at their homes as a router sees them that knows nothing
	Work    float64 // mean work of a request,
	WorkCV  float64 // and its spread, lognormal; 0 = exponential,
	Noise   float64 // and that of an attempt around its request's
	Hints   bool    // routers are told the work of a request
	Keyed   float64 // share of requests that are of the second class, written
	Once    float64 // and of the third
	Zones   int     // servers and routers are dealt to them in turn; 0 = 1
	Net     float64 // one way, within a zone
	Cross   float64 // and between two; 0 = as within
	Hot     float64 // times the mean traffic that router 0 sees; 0 = as the others
	Uneven  float64 // spread of the routers' traffic, lognormal: 1 has some see several times the mean
	Shared  float64 // one router probes a server for all, each so many ms; 0 = each router probes for itself
	Clients Clients
	Conn    Conn
	Prices  Prices
	Seed    uint64
	Faults  []Fault
}

// Burst multiplies the rate for a time.
type Burst struct{ At, For, Times float64 }

// Clients say how clients behave.
type Clients struct {
	Retries int     // tries after the first
	Try     float64 // share of its class's deadline after which a client gives a try up; 0 = 1
	Pause   float64 // first pause before another try, which doubles
	Honour  float64 // share of clients that come back when they are told to
}

// Conn says what connections cost. Their number at a server and the work of one are the server's parameters.
type Conn struct {
	RTTs    float64 // round trips before the first request on one; 0 = connections cost nothing and none is counted
	Timeout float64 // one that has not come up by then has failed
}

// Prices are shares of the worth asked for, each for one of what it names for each request of a client. Waste is for as
// much work as was asked for.
type Prices struct{ Cross, Waste, Probe, Dial, Call float64 }

// Fault is something that happens to servers, or to routers.
type Fault struct {
	At      float64
	Servers []int
	Routers []int
	Kind    FaultKind
	Factor  float64 // Slow: the speed is multiplied by it
	Stale   bool    // Start of routers: they know the list as it was when the day began
}

// FaultKind says what.
type FaultKind int

// The faults. Kill ends processes without a word, Start starts them anew, cold and empty (a router: with the list that
// discovery holds). Silent has servers hear and say nothing until Heard. Replace ends servers and starts others in their
// place under new ids. Slow multiplies a server's speed.
const (
	Kill FaultKind = iota
	Start
	Silent
	Heard
	Replace
	Slow
	Drain   // all routers send nothing new to servers, as the fleet's agreement has it,
	Undrain // until they do again
)

func (p *Params) check() error {
	if p.Servers < 1 || len(p.Kinds) == 0 || p.Keys < 1 || !(p.Zipf > 0) || !(p.Rate > 0) || !(p.Length > 0) || !(p.Work > 0) {
		return errors.New("virtual: Servers, Kinds, Keys, Zipf, Rate, Length and Work are needed")
	}
	for i, k := range append(slices.Clone(p.Kinds), p.Origin) {
		if err := k.Check(); err != nil {
			return fmt.Errorf("virtual: kind %d: %w", i, err)
		}
	}
	if need := 1 + b2i(p.Keyed > 0) + b2i(p.Once > 0); len(p.Config.Classes) < need {
		return fmt.Errorf("virtual: Config.Classes: %d of the %d that Keyed and Once need", len(p.Config.Classes), need)
	}
	for i, f := range p.Faults {
		for _, s := range f.Servers {
			if s < 0 || s >= p.Servers {
				return fmt.Errorf("virtual: Faults[%d].Servers: no server %d", i, s)
			}
		}
		for _, r := range f.Routers {
			if r < 0 || r >= p.Config.Routers || f.Kind != Kill && f.Kind != Start {
				return fmt.Errorf("virtual: Faults[%d].Routers: router %d can't have that", i, r)
			}
		}
		if f.Kind == Slow && !(f.Factor > 0) {
			return fmt.Errorf("virtual: Faults[%d].Factor: impossible value %v", i, f.Factor)
		}
	}
	p.Zones = max(1, p.Zones)
	if p.Cross == 0 {
		p.Cross = p.Net
	}
	if p.Clients.Try == 0 {
		p.Clients.Try = 1
	}
	if p.Offset == 0 {
		p.Offset = 4
	}
	return nil
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
