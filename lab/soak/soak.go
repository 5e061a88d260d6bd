// Package soak draws scenarios from seeds: fleets of a few routers in which planned stops, signals,
// moves of discovery, drains, cold restarts, faults of cache servers and crowds of idle clients
// coincide. The same seed draws the same scenario.
package soak

import (
	"fmt"
	"math/rand/v2"

	"dockhinge.example/dockhinge/lab/model"
	"dockhinge.example/dockhinge/lab/scenario"
)

const (
	// baseScenario is the shipped scenario whose servers, classes and load a seed varies.
	baseScenario = "ten"
	// randomStream selects the stream of a seed's random numbers.
	randomStream = 77
	// The faults begin at firstFaultS at the earliest and quietEndS before the end of the load at
	// the latest.
	firstFaultS = 2.0
	quietEndS   = 5.0
	// MinSeconds is the shortest load that leaves time for faults, in seconds.
	MinSeconds = 9.0
	// One run in crowdEvery, on average, has a crowd.
	crowdEvery = 3
)

// generator holds a seed's random numbers and the scenario drawn so far.
type generator struct {
	rng  *rand.Rand
	file scenario.File
}

// Scenario draws the scenario of a seed with a load of the given duration. It returns an error if
// seconds is less than MinSeconds.
func Scenario(seed uint64, seconds float64) (scenario.File, error) {
	if !(seconds >= MinSeconds) {
		return scenario.File{}, fmt.Errorf("soak: a load of %v seconds is too short, at least %v are needed",
			seconds, MinSeconds)
	}
	file, err := scenario.Load(baseScenario)
	if err != nil {
		return scenario.File{}, err
	}
	d := generator{rng: rand.New(rand.NewPCG(seed, randomStream)), file: file}
	d.file.Name = fmt.Sprintf("soak-%d", seed)
	d.file.About = "Planned stops, signals, moves of discovery, drains and faults, drawn from a seed."
	d.file.DurationS = seconds
	d.file.WarmS = 0
	d.file.Expect = scenario.Expect{Served: 1}
	d.drawFleet()
	d.drawClasses()
	d.drawDiscovery()
	d.drawFaults()
	if d.rng.IntN(crowdEvery) == 0 {
		d.drawCrowd()
	}
	return d.file.With("seed", fmt.Sprint(seed))
}

// paceStream selects the stream of a seed's random numbers for PacedScenario.
const paceStream = 78

// PacedScenario draws the scenario of a seed, and adds peers that set a pace of their own: clients
// that write values of up to 1 MB, at once or slowly, an origin that reads them slowly or stops, and
// clients that send commands at full speed.
func PacedScenario(seed uint64, seconds float64) (scenario.File, error) {
	file, err := Scenario(seed, seconds)
	if err != nil {
		return scenario.File{}, err
	}
	d := generator{rng: rand.New(rand.NewPCG(seed, paceStream)), file: file}
	d.file.Name = fmt.Sprintf("paced-soak-%d", seed)
	d.file.Classes = append(d.file.Classes[:0:0], d.file.Classes...)
	for i := range d.file.Classes {
		if d.file.Classes[i].Write {
			d.file.Classes[i].Bytes = [2]float64{200, 1e6}
		}
	}
	d.file.Load.LargeWriteBytesS = d.between(100e3, 1e6)
	last := seconds - quietEndS
	for at := firstFaultS; at < last; at += d.between(1, 4) {
		d.file.Faults = append(d.file.Faults, scenario.Fault{AtS: at, What: "origin-slow-read",
			BytesS: []float64{1, 40e3, 100e3, 300e3}[d.rng.IntN(4)], ForS: d.between(0.5, 3)})
	}
	for at := firstFaultS; at < last; at += d.between(1, 5) {
		d.file.Faults = append(d.file.Faults, scenario.Fault{AtS: at, What: "flood",
			Count: []int{1, 6, 32}[d.rng.IntN(3)], ForS: d.between(0.5, 3)})
	}
	return d.file.With("seed", fmt.Sprint(seed))
}

// floodStream selects the stream of a seed's random numbers for FloodedScenario.
const floodStream = 79

// minFloodedDeadlineMS is the shortest deadline of a flooded run, in ms.
const minFloodedDeadlineMS = 100

// FloodedScenario draws the paced scenario of a seed, and adds clients that send sound requests at full
// speed, several at once; the routers share one or two processors in three of four runs.
func FloodedScenario(seed uint64, seconds float64) (scenario.File, error) {
	file, err := PacedScenario(seed, seconds)
	if err != nil {
		return scenario.File{}, err
	}
	d := generator{rng: rand.New(rand.NewPCG(seed, floodStream)), file: file}
	d.file.Name = fmt.Sprintf("flooded-soak-%d", seed)
	d.file.Fleet.Processors = []int{0, 1, 1, 2}[d.rng.IntN(4)]
	for i := range d.file.Classes {
		d.file.Classes[i].LimitMS = max(minFloodedDeadlineMS, d.file.Classes[i].LimitMS)
	}
	last := seconds - quietEndS
	for at := firstFaultS; at < last; at += d.between(0.3, 3) {
		d.file.Faults = append(d.file.Faults, scenario.Fault{AtS: at, What: "request-flood",
			Count: []int{8, 32, 64, 100}[d.rng.IntN(4)], ForS: d.between(1, 6)})
	}
	return d.file.With("seed", fmt.Sprint(seed))
}

// between draws a uniformly distributed number.
func (d *generator) between(low, high float64) float64 { return low + (high-low)*d.rng.Float64() }

// count draws a whole number, both ends included.
func (d *generator) count(low, high int) int { return low + d.rng.IntN(high-low+1) }

func (d *generator) drawFleet() {
	f := &d.file.Fleet
	f.Routers = d.count(3, 8)
	f.MemoryMB = 64
	f.Sockets = 256
	f.MaxAttempts = d.count(2, 4)
	f.Cancel = d.rng.IntN(2) == 0
	servers := d.count(4, 12)
	kinds := append([]scenario.Kind(nil), d.file.Kinds...)
	for i := range kinds {
		kinds[i].Count = max(1, servers/len(kinds))
	}
	d.file.Kinds = kinds
	d.file.Load.Rate = d.between(80, 500)
	d.file.Load.Reconnect = d.between(0, 0.1)
	d.file.Load.LateShare = 1 // a slow machine must not fail the run
	if d.rng.IntN(2) == 0 {
		d.file.Load.DisconnectShare = 0.05
	}
}

// drawClasses draws deadlines, and idempotency windows that may end before them.
func (d *generator) drawClasses() {
	classes := append(d.file.Classes[:0:0], d.file.Classes...)
	deadlineFactor := d.between(0.5, 2)
	windowFactor := d.between(0.1, 1.2)
	for i := range classes {
		classes[i].LimitMS *= deadlineFactor
		classes[i].AimMS *= min(1, deadlineFactor)
		classes[i].WindowMS *= windowFactor
	}
	d.file.Classes = classes
}

// drawDiscovery draws how late discovery learns of changes, and limits its calls or lines per
// second.
func (d *generator) drawDiscovery() {
	d.file.Discovery = model.DirectoryParams{LateMS: [2]float64{20, d.between(50, 1500)}, TimeoutMS: 2000}
	if d.rng.IntN(2) == 0 {
		d.file.Discovery.CallsPerS = 40
		return
	}
	d.file.Discovery.LinesPerS = d.between(30, 120)
	d.file.Discovery.CallLines = 10
}

// drawFaults draws a series of faults, with gaps between them.
func (d *generator) drawFaults() {
	d.file.Faults = nil
	kinds := []func(at float64) scenario.Fault{
		d.drawRouterStops, d.drawRouterStops, d.drawSignals, d.drawSignals, d.drawDiscoveryMove,
		d.drawDiscoveryMove, d.drawDrain, d.drawDrain,
		d.drawCrash, d.drawSilence, d.drawBadAnswers, d.drawSlowServer, d.drawDiscoveryFault, d.drawUpgrade,
	}
	last := d.file.DurationS - quietEndS
	for at := firstFaultS; at < last; at += d.between(0.05, 1.5) {
		d.file.Faults = append(d.file.Faults, kinds[d.rng.IntN(len(kinds))](at))
	}
}

func (d *generator) drawRouterStops(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "end-routers", Count: d.count(1, 2), Batch: d.count(1, 2),
		DownS: d.between(0, 1)}
}

func (d *generator) drawSignals(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "signals", Count: d.count(1, 3), DownS: d.between(0, 1)}
}

func (d *generator) drawDiscoveryMove(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "move-discovery", ForS: d.between(0, 1)}
}

func (d *generator) drawDrain(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "shrink", Count: 1, DrainS: d.between(2, 10)}
}

func (d *generator) drawCrash(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "crash", Count: d.count(1, 2), ForS: d.between(0.3, 3)}
}

func (d *generator) drawSilence(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "silence", Count: d.count(1, 2), ForS: d.between(0.5, 6)}
}

func (d *generator) drawBadAnswers(at float64) scenario.Fault {
	corruptions := []string{"reset", "cut", "noise", "wrong-id", "busy"}
	return scenario.Fault{AtS: at, What: "spoil", Spoil: corruptions[d.rng.IntN(len(corruptions))],
		Answers: d.between(0.1, 1), Count: 1, ForS: d.between(0.5, 4)}
}

func (d *generator) drawSlowServer(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "slow", BytesS: d.between(2000, 20000), Count: 1, ForS: d.between(0.5, 4)}
}

func (d *generator) drawDiscoveryFault(at float64) scenario.Fault {
	faults := []string{"discovery-down", "discovery-silent", "watches-silent"}
	return scenario.Fault{AtS: at, What: faults[d.rng.IntN(len(faults))], ForS: d.between(0.3, 3)}
}

func (d *generator) drawUpgrade(at float64) scenario.Fault {
	return scenario.Fault{AtS: at, What: "upgrade-one"}
}

// drawCrowd adds idle clients that take all descriptors, or a burst of requests.
func (d *generator) drawCrowd() {
	if d.rng.IntN(2) == 0 {
		d.file.Load.Shape = "bursty"
		d.file.Load.Burst = 0.9
		d.file.Load.BurstMS = 1000
		return
	}
	crowd := scenario.Fault{AtS: d.between(firstFaultS, 5), What: "crowd", ForS: d.between(1, 3)}
	d.file.Faults = append(d.file.Faults, crowd)
}
