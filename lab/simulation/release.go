package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Releases are further days that Twin draws: every router gets a new version and every server is changed, at 80% load, within
// budgets by the fleet's agreement (release), with a zone lost in the middle (release-zone), or all at once (release-at-once); or nothing is (release-none).
var Releases = []string{"release", "release-zone", "release-at-once", "release-none"}

// Budgets of these days: a tenth of the routers and of the servers, and of a zone's servers a quarter.
const (
	shareOut   = 0.1
	shareZone  = 0.25
	routerWarm = 2 * time.Second
	serverWarm = 5 * time.Second
	drainMS    = 300  // until all routers have said that they send nothing more
	downMS     = 1000 // of a process, between its end and the next start
	readyMS    = 300  // until a router that has started tells of itself
	seenMS     = 1500 // until routers find a server bad, or back
	beginMS    = 3000
	lostMS     = 8000 // a zone is, from the middle on
)

// Planned is a time line that internal/rollout has worked out.
type Planned struct {
	Faults  []Fault
	TookMS  float64              // from the beginning to the last one back
	Most    map[rollout.Kind]int // out by plan at once
	Allowed map[rollout.Kind]int
	Out     [][2]int // by second: routers and servers out for any reason, as the agreement sees it
}

// PlanRelease works out a release of all routers and a change of all servers, with whoever drives being quick. With lost a zone's
// servers die half way and come back cold.
func PlanRelease(routers, servers, zones int, lost bool, seed uint64) (Planned, error) {
	rng := rand.New(rand.NewPCG(seed, 61))
	pl := Planned{Most: map[rollout.Kind]int{}, Allowed: map[rollout.Kind]int{}}
	s := rollout.New()
	var now time.Duration // the agreed clock
	var token, opened uint64
	next := func() uint64 { token++; return token }
	from := func(client string, n int) rollout.Sender {
		return rollout.Sender{Time: now, Session: fmt.Sprint(client, "#", n), Client: client, SessionOrder: opened, NextToken: next}
	}
	do := func(c rollout.Command, f rollout.Sender) (rollout.Result, error) {
		f.Time = now
		a := s.Apply(c, f)
		if a.Code != rollout.CodeOK {
			return a, fmt.Errorf("%s %s: %s: %s", c.Op, c.Name, a.Code, a.Text)
		}
		return a, nil
	}
	if _, err := do(rollout.Command{Op: rollout.OpSetBudgets, GracePeriod: 5 * time.Second, Budgets: []rollout.Budget{
		{Name: "routers", Kind: rollout.KindRouter, MaxOutShare: shareOut, SlowStart: routerWarm},
		{Name: "servers", Kind: rollout.KindServer, MaxOutShare: shareOut, SlowStart: serverWarm},
		{Name: "zones", Kind: rollout.KindServer, Per: "zone", MaxOutShare: shareZone}}}, from("operator", 0)); err != nil {
		return pl, err
	}
	run := make([]int, routers) // of each router's process
	state := make([]rollout.ServerStatus, servers)
	boot := make([]int, servers)
	server := func(i int) string { return fmt.Sprintf("s%03d", i) }
	router := func(i int) string { return fmt.Sprintf("r%03d", i) }
	tell := func(i int, version string, all []int) error {
		opened++
		for part := range slices.Chunk(all, rollout.MaxReportedServers) {
			v := &rollout.RouterReport{Zone: zone(i % zones), Version: version, IsReady: true}
			for _, k := range part {
				v.Servers = append(v.Servers, rollout.ServerObservation{Name: server(k), Zone: zone(k % zones), Incarnation: fmt.Sprint(boot[k]), Status: state[k]})
			}
			if _, err := do(rollout.Command{Op: rollout.OpReport, Report: v}, from(rollout.RouterClientPrefix+router(i), run[i])); err != nil {
				return err
			}
		}
		return nil
	}
	every := make([]int, servers)
	for i := range every {
		every[i], state[i] = i, rollout.StatusServing
	}
	version := make([]string, routers)
	for i := range routers {
		version[i] = "v1"
		if err := tell(i, "v1", every); err != nil {
			return pl, err
		}
	}
	now = beginMS * time.Millisecond
	s.Advance(now+time.Minute, next) // warm
	now += time.Minute
	base := now
	at := func() float64 { return beginMS + float64((now-base)/time.Millisecond) }
	if _, err := do(rollout.Command{Op: rollout.OpStartRelease, Plan: &rollout.ReleasePlan{Name: "twin", FromVersion: "v1", ToVersion: "v2", FirstWave: 3, GrowthFactor: 3, BakeTime: 2 * time.Second,
		StepTimeout: time.Minute}}, from("release", 0)); err != nil {
		return pl, err
	}
	for _, b := range s.Report(now).Budgets {
		if b.Zone == "" {
			pl.Allowed[b.Kind] = b.Allowed
		}
	}
	// What is to happen, by time.
	type todo struct {
		at time.Duration
		do func() error
	}
	var later []todo
	after := func(ms float64, f func() error) {
		later = append(later, todo{now + time.Duration(ms*float64(time.Millisecond)), f})
	}
	order := rng.Perm(servers)
	asked, changed := map[string]bool{}, 0
	down := map[int]bool{} // of the zone that is lost
	if lost {
		after(float64(servers)/(shareOut*float64(servers))*(drainMS+downMS+float64(serverWarm/time.Millisecond))/2, func() error {
			z := rng.IntN(zones)
			var part []int
			for i := z; i < servers; i += zones {
				part, down[i] = append(part, i), true
			}
			pl.Faults = append(pl.Faults, Fault{At: at(), Servers: part, Kind: Kill})
			see := func(is rollout.ServerStatus) func() error {
				return func() error {
					for _, i := range part {
						state[i] = is
					}
					for i := range routers {
						if version[i] != "" {
							if err := tell(i, version[i], part); err != nil {
								return err
							}
						}
					}
					return nil
				}
			}
			after(seenMS, see(rollout.StatusFailing))
			after(lostMS, func() error {
				pl.Faults = append(pl.Faults, Fault{At: at(), Servers: part, Kind: Start})
				for _, i := range part {
					delete(down, i)
				}
				after(seenMS, see(rollout.StatusServing))
				return nil
			})
			return nil
		})
	}
	// A server's change, and a router's.
	changeServer := func(i int, token uint64) {
		name, who := server(i), from("op/"+server(i), 0)
		pl.Faults = append(pl.Faults, Fault{At: at(), Servers: []int{i}, Kind: Drain})
		after(drainMS, func() error {
			pl.Faults = append(pl.Faults, Fault{At: at(), Servers: []int{i}, Kind: Kill})
			var start func() error
			start = func() error {
				if down[i] { // its zone is lost
					after(500, start)
					return nil
				}
				boot[i]++
				changed++
				pl.Faults = append(pl.Faults, Fault{At: at(), Servers: []int{i}, Kind: Start}, Fault{At: at(), Servers: []int{i}, Kind: Undrain})
				_, err := do(rollout.Command{Op: rollout.OpEndOutage, Kind: rollout.KindServer, Name: name, Token: token}, who)
				return err
			}
			after(downMS, start)
			return nil
		})
	}
	changeRouter := func(i int, token uint64) {
		pl.Faults = append(pl.Faults, Fault{At: at(), Routers: []int{i}, Kind: Kill})
		f := from(rollout.RouterClientPrefix+router(i), run[i])
		s.SessionEnded(f.Session, f.Client, now, next)
		version[i] = ""
		after(downMS, func() error {
			pl.Faults = append(pl.Faults, Fault{At: at(), Routers: []int{i}, Kind: Start})
			after(readyMS, func() error {
				run[i]++
				version[i] = "v2"
				if err := tell(i, "v2", every); err != nil {
					return err
				}
				_, err := do(rollout.Command{Op: rollout.OpEndOutage, Kind: rollout.KindRouter, Name: router(i), Token: token}, from("release", 0))
				return err
			})
			return nil
		})
	}
	const tick = 100 * time.Millisecond
	for steps := 0; changed < servers || s.Release.State == rollout.ReleaseRunning; steps++ {
		if steps > 100_000 {
			return pl, fmt.Errorf("the release does not come to its end: %d servers changed, %+v", changed, s.Report(now).Unavailable)
		}
		for len(later) > 0 {
			i := 0
			for j := range later {
				if later[j].at < later[i].at {
					i = j
				}
			}
			if later[i].at > now {
				break
			}
			f := later[i].do
			later = slices.Delete(later, i, i+1)
			if err := f(); err != nil {
				return pl, err
			}
		}
		s.Advance(now, next)
		// Whoever drives asks for what is to be done, and begins what it may.
		type ask struct {
			k      rollout.Kind
			i      int
			client string
		}
		var asks []ask
		for _, name := range s.PendingRouters() {
			i, err := strconv.Atoi(name[1:])
			if err != nil {
				return pl, err
			}
			if version[i] == "v1" {
				asks = append(asks, ask{rollout.KindRouter, i, "release"})
			}
		}
		waiting := 0
		for _, i := range order {
			if name := server(i); !asked[name] && waiting < 2*max(1, pl.Allowed[rollout.KindServer]) && !down[i] {
				asks = append(asks, ask{rollout.KindServer, i, "op/" + name})
				waiting++
			}
		}
		for _, x := range asks[:min(len(asks), rollout.MaxPermits/2)] {
			name := router(x.i)
			if x.k == rollout.KindServer {
				name = server(x.i)
			}
			a, err := do(rollout.Command{Op: rollout.OpRequestPermit, Kind: x.k, Name: name}, from(x.client, 0))
			if err != nil {
				return pl, err
			}
			if a.Stage != rollout.StageGranted {
				continue
			}
			if _, err := do(rollout.Command{Op: rollout.OpBeginOutage, Kind: x.k, Name: name, Token: a.Token}, from(x.client, 0)); err != nil {
				return pl, err
			}
			if x.k == rollout.KindServer {
				asked[name] = true
				changeServer(x.i, a.Token)
			} else {
				changeRouter(x.i, a.Token)
			}
		}
		r := s.Report(now)
		planned := map[rollout.Kind]int{}
		var out [2]int
		for _, m := range r.Unavailable {
			if m.Reason == rollout.OutPlanned {
				planned[m.Kind]++
			}
			if m.Kind == rollout.KindRouter {
				out[0]++
			} else {
				out[1]++
			}
		}
		for k, n := range planned {
			pl.Most[k] = max(pl.Most[k], n)
		}
		if steps%10 == 0 {
			pl.Out = append(pl.Out, out)
		}
		pl.TookMS = at() - beginMS
		now += tick
	}
	slices.SortStableFunc(pl.Faults, func(a, b Fault) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return pl, nil
}

// release puts one of the Releases on a day's time line.
func (p *Params) release(kind string) error {
	p.Rate *= 0.8 / 0.62
	if kind == "release-none" {
		p.Length = 60000
		return nil
	}
	if kind == "release-at-once" {
		var routers, servers []int
		for i := range p.Config.Routers {
			routers = append(routers, i)
		}
		for i := range p.Servers {
			servers = append(servers, i)
		}
		p.Faults = append(p.Faults, Fault{At: beginMS, Routers: routers, Servers: servers, Kind: Kill},
			Fault{At: beginMS + downMS, Routers: routers, Servers: servers, Kind: Start})
		p.Length = 2 * 22000
		return nil
	}
	pl, err := PlanRelease(p.Config.Routers, p.Servers, p.Zones, kind == "release-zone", p.Seed)
	p.Faults, p.Length = append(p.Faults, pl.Faults...), beginMS+pl.TookMS+5000
	return err
}
