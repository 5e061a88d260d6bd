package largefleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// MinServers and MaxServers are the fewest and the most cache servers of the fleets that the router is for.
const (
	MinServers = 12
	MaxServers = 3200
)

// drawStream selects the stream of a seed's random numbers for Draw.
const drawStream = 80

// Draw draws a run from a seed, with shortest to longest servers, each order of size equally often. The same
// seed draws the same run.
func Draw(seed uint64, shortest, longest int) Params {
	rng := rand.New(rand.NewPCG(seed, drawStream))
	magnitude := math.Log(float64(shortest)) + rng.Float64()*math.Log(float64(longest)/float64(shortest))
	params := Params{
		Seed:       seed,
		Servers:    int(math.Round(math.Exp(magnitude))),
		BusyLoops:  []int{0, 1, 3, 3, 7}[rng.IntN(5)],
		Change:     ListChanges[rng.IntN(len(ListChanges))],
		Event:      ProcessEvents[rng.IntN(len(ProcessEvents))],
		Duration:   13 * time.Second,
		Wait:       time.Duration(100+rng.IntN(900)) * time.Millisecond,
		PerSecond:  []float64{5, 50, 100}[rng.IntN(3)],
		LeaveShare: []float64{0, 0.1, 0.5}[rng.IntN(3)],
		IsAgent:    rng.IntN(2) == 0,
		MemoryMB:   []int{64, 192}[rng.IntN(2)],
		Sockets:    []int{256, 1024}[rng.IntN(2)],
	}
	if rng.IntN(4) == 0 {
		params.Outage = time.Duration(1+rng.IntN(4)) * time.Second
	}
	params.HangShare = []float64{0, 0, 0, 0.02, 0.25}[rng.IntN(5)]
	params.SilencesWatches = rng.IntN(4) == 0
	return params
}

// String names the run as the flags of the lab's command do.
func (p Params) String() string {
	return fmt.Sprintf("seed %d, %d servers, %d busy, %s, event %s, %v to wait, %g a second, outage %v, "+
		"%g leave, agent %t, %d MB, %d descriptors, %g hang, silent watches %t",
		p.Seed, p.Servers, p.BusyLoops, p.Change, p.Event, p.Wait, p.PerSecond, p.Outage, p.LeaveShare, p.IsAgent,
		p.MemoryMB, p.Sockets, p.HangShare, p.SilencesWatches)
}
