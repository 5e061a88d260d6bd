package scenario

import "math/rand/v2"

// Release returns the scenario of Changes with a release of the routers in place of the planned
// changes. spoil names the defect of the new version ("" = none). With calm there are no further
// faults.
func Release(seed uint64, routers, servers int, spoil string, calm bool) (File, error) {
	f, err := Changes(seed, routers, servers)
	if err != nil {
		return f, err
	}
	faults := f.Faults[2:]
	f.Faults = []Fault{{AtS: 2.5, What: "release-routers", Spoil: spoil, DownS: 2, Count: 20}}
	for _, x := range faults {
		// Faults that take out routers or all coordinators would halt the release, and rightly so.
		if !calm && x.What != "kill-routers" && x.What != "stop-routers" &&
			x.What != "coordinators-die" && x.What != "cut-routers" {
			f.Faults = append(f.Faults, x)
		}
	}
	return f, f.check()
}

// Changes returns the scenario drains in which operators change every cache server and most
// routers, with faults drawn from the seed: tools and single routers are killed, stopped or cut off
// from the coordinators, a server crashes, or coordinators are killed.
func Changes(seed uint64, routers, servers int) (File, error) {
	f, err := Load("drains")
	if err != nil {
		return f, err
	}
	rng := rand.New(rand.NewPCG(seed, 57))
	f.Seed, f.Load.Seed, f.Fleet.Routers = seed, seed, routers
	for i := range f.Kinds {
		f.Kinds[i].Count = (servers + i) / len(f.Kinds)
	}
	between := func(from, to float64) float64 { return from + rng.Float64()*(to-from) }
	f.Expect = Expect{Served: 100}
	f.Load.LateShare = 1 // only breaches of rules fail the run, not a low service
	f.Faults = []Fault{
		{AtS: between(1, 4), What: "change-servers", Share: 1, DownS: between(0.1, 1), DrainS: float64(rng.IntN(2))},
		{AtS: between(1, 10), What: "change-routers", Count: max(1, routers*2/3), DownS: between(0.1, 1)},
	}
	for at := between(2, 4); at < f.DurationS-6; at += between(1, 5) {
		x := Fault{AtS: at, ForS: between(0.3, 5), Count: 1 + rng.IntN(max(1, routers/6))}
		switch rng.IntN(11) {
		case 0, 1, 2:
			x.What, x.Count = "tools-die", 1+rng.IntN(6)
		case 3:
			x.What = "coordinator-dies"
		case 4:
			x.What = "kill-routers"
		case 5:
			x.What, x.ForS = "stop-routers", between(0.3, 9)
		case 6, 7:
			x.What, x.ForS = "cut-routers", between(0.3, 9)
		case 8:
			x.What, x.Count = "crash", 1
		case 9:
			x.What = "coordinators-die"
		case 10:
			x.What, x.Count, x.ForS = "tools-stop", 1, between(0.3, 15)
		}
		f.Faults = append(f.Faults, x)
	}
	return f, f.check()
}

// FaultyServers returns a scenario in which two cache servers, one after the other, break off all
// their answers for a time but still answer probes. quorum is the number of routers whose reports
// make all routers eject a server; 0 means that each router decides on its own.
func FaultyServers(seed uint64, routers, quorum int) (File, error) {
	f, err := Load("drains")
	if err != nil {
		return f, err
	}
	f.Name, f.About = "suspects", "Two cache servers break off their answers, one after the other."
	f.Seed, f.Load.Seed, f.Fleet.Routers, f.Fleet.Out.Quorum, f.Fleet.Coordinators, f.DurationS =
		seed, seed, routers, quorum, 3, 28
	f.WarmS = 4 // until the routers have received their endpoint lists
	f.Expect = Expect{Served: 100}
	f.Faults = []Fault{
		{AtS: 8, What: "spoil", Spoil: "cut", Answers: 1, Count: 1, ForS: 7},
		{AtS: 18, What: "spoil", Spoil: "cut", Answers: 1, Count: 1, ForS: 7}}
	return f, f.check()
}

// CrashPoints returns a short scenario without further faults in which operators release all
// routers, or else change all cache servers, one at a time. It is played with kills at the steps of
// the operators' tool.
func CrashPoints(seed uint64, release bool) (File, error) {
	f, err := Release(seed, 2, 3, "", true)
	if err != nil {
		return f, err
	}
	f.DurationS, f.Load.Rate, f.Fleet.Out, f.Fleet.Coordinators = 4, 20, Out{Routers: 1, Servers: 1, WarmS: 0.2}, 3
	f.Faults[0].AtS, f.Faults[0].ForS, f.Faults[0].DownS, f.Faults[0].Count = 0.5, 100, 0.5, 0
	if !release {
		f.Faults = []Fault{{AtS: 0.5, What: "change-servers", Share: 1, DownS: 0.2}}
	}
	f.Expect.Served = 1
	return f, f.check()
}
