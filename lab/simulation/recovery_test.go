package simulation

import (
	"reflect"
	"testing"

	"dockhinge.example/dockhinge/internal/rollout"
)

const hardRouters, hardServers = 48, 24

// allBelow returns the numbers below n.
func allBelow(n int) []int { return multiplesBelow(1, n) }

// Difficult conditions in a large fleet, each compared with the same day without it: the loss of service is
// bounded, no cold server collapses, and the fleet recovers within the day, so that the last five seconds
// are nearly as good.
func TestFleetRecoversUnderDifficultConditions(t *testing.T) {
	const routers, servers = hardRouters, hardServers
	calm, calmLast := runCalmDay(t, func(*Params) {})
	for _, c := range []struct {
		name           string
		change         func(p *Params)
		minService     float64 // lowest service, relative to the day without it
		minLastSeconds float64 // likewise, of the last five seconds
	}{
		{"one router sees twenty times the mean", func(p *Params) { p.FirstRouterTraffic = 20 }, 0.94, 0.95},
		{"servers of a third of their kind's speed", func(p *Params) {
			p.Faults = []Fault{{Servers: multiplesBelow(10, servers), Kind: Slow, Factor: 1.0 / 3}}
		}, 0.95, 0.95},
		{"routers start while a zone is away", func(p *Params) {
			zone := multiplesBelow(6, servers)
			p.Faults = []Fault{{At: 3000, Servers: zone, Kind: Kill},
				{At: 4000, Routers: multiplesBelow(2, routers), Kind: Kill},
				{At: 4500, Routers: multiplesBelow(2, routers), Kind: Start, HasStaleList: true},
				{At: 7000, Servers: zone, Kind: Start}}
		}, 0.94, 0.95},
		{"a whole kind becomes slow", func(p *Params) {
			p.Faults = []Fault{{At: 6000, Servers: multiplesBelow(3, servers), Kind: Slow, Factor: 0.6}}
		}, 0.95, 0.95},
		{"all routers start in one second with the same stale list", func(p *Params) {
			p.Faults = []Fault{{At: 3000, Servers: multiplesBelow(4, servers), Kind: Replace},
				{At: 5000, Routers: allBelow(routers), Kind: Kill},
				{At: 5500, Routers: allBelow(routers), Kind: Start, HasStaleList: true}}
		}, 0.9, 0.91},
		{"full tables at every server of two zones", func(p *Params) { p.Kinds[0].Conns = routers / 3 }, 0.94, 0.93},
		{"a server comes back with its old id", func(p *Params) {
			p.Faults = []Fault{{At: 6000, Servers: []int{4}, Kind: Kill}, {At: 6300, Servers: []int{4}, Kind: Start}}
		}, 0.97, 0.96},
	} {
		t.Run(c.name, func(t *testing.T) {
			service, last := runCalmDay(t, c.change)
			t.Logf("service %.3f, without it %.3f; last five seconds %.3f, without it %.3f", service, calm, last, calmLast)
			if service < c.minService*calm {
				t.Errorf("service %.3f, without it %.3f", service, calm)
			}
			if last < c.minLastSeconds*calmLast {
				t.Errorf("the last five seconds %.3f, without it %.3f", last, calmLast)
			}
		})
	}
}

// runCalmDay runs a calm day whose parameters were modified by change.
func runCalmDay(t *testing.T, change func(p *Params)) (service, last float64) {
	p, err := GenerateDay("calm", hardRouters, hardServers, 3)
	if err != nil {
		t.Fatal(err)
	}
	p.LengthMillis, p.Bursts = 15000, nil
	change(&p)
	s, err := Play(p)
	if err != nil {
		t.Fatal(err)
	}
	if s.Fallen > 0 {
		t.Errorf("%d cold servers collapsed", s.Fallen)
	}
	if s.Served+s.Failed != s.Requests {
		t.Errorf("%d of %d requests ended", s.Served+s.Failed, s.Requests)
	}
	return s.Service(), s.shareBetween(10, 15)
}

// The plan of a release never exceeds its budgets but uses them, changes all processes, and is the same for
// the same seed. Losing a zone half way only makes it longer.
func TestReleasePlanKeepsBudgets(t *testing.T) {
	var took float64
	for _, lost := range []bool{false, true} {
		pl, err := PlanRelease(60, 40, 4, lost, 1)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := PlanRelease(60, 40, 4, lost, 1)
		if !reflect.DeepEqual(pl, again) {
			t.Error("two plans of the same seed differ")
		}
		for k, n := range pl.MaxPlannedOut {
			if n > pl.Allowed[k] {
				t.Errorf("%d %ss out by plan, %d allowed", n, k, pl.Allowed[k])
			}
		}
		if pl.MaxPlannedOut[rollout.KindServer] < 3 || pl.MaxPlannedOut[rollout.KindRouter] < 3 || pl.DurationMillis <= took {
			t.Errorf("most out %v, duration %v ms; without the loss of a zone %v ms", pl.MaxPlannedOut, pl.DurationMillis, took)
		}
		took = pl.DurationMillis
	}
}
