package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// ReleaseDays lists further days, at 80% load. Every router gets a new version and every server is changed:
// within the budgets of the coordinators (release), likewise with a zone lost half way (release-zone), or
// all at once (release-at-once). On release-none nothing is changed.
var ReleaseDays = []string{"release", "release-zone", "release-at-once", "release-none"}

// Budgets and durations of release days: at most a tenth of the routers, a tenth of the servers and a
// quarter of a zone's servers are out of service. The untyped durations are in milliseconds.
const (
	maxOutShare        = 0.1
	maxZoneOutShare    = 0.25
	routerSlowStart    = 2 * time.Second
	serverSlowStart    = 5 * time.Second
	drainMillis        = 300  // until all routers have acknowledged a drain
	restartMillis      = 1000 // between the end and the next start of a process
	startupMillis      = 300  // until a restarted router reports
	detectionMillis    = 1500 // until routers detect that a server fails, or has recovered
	releaseStartMillis = 3000 // start of the release
	zoneOutageMillis   = 8000 // how long a lost zone is down
)

// ReleaseTimeline is the timeline of a release, as internal/rollout schedules it.
type ReleaseTimeline struct {
	Faults         []Fault
	DurationMillis float64              // from the start until the last process is back, in milliseconds
	MaxPlannedOut  map[rollout.Kind]int // most processes out of service by plan at the same time
	Allowed        map[rollout.Kind]int // the budget, in processes
	OutBySecond    [][2]int             // routers and servers out for any reason, as the coordinators see it
}

// PlanRelease computes the timeline of a release of all routers and a change of all servers, with tools
// that act without delay. If losesZone is set, the servers of one zone are killed half way and come back cold.
func PlanRelease(routers, servers, zones int, losesZone bool, seed uint64) (ReleaseTimeline, error) {
	rng := rand.New(rand.NewPCG(seed, 61))
	timeline := ReleaseTimeline{MaxPlannedOut: map[rollout.Kind]int{}, Allowed: map[rollout.Kind]int{}}
	state := rollout.New()
	var now time.Duration // the replicated clock
	var token, opened uint64
	nextToken := func() uint64 { token++; return token }
	senderFor := func(client string, n int) rollout.Sender {
		return rollout.Sender{Time: now, Session: fmt.Sprint(client, "#", n), Client: client,
			SessionOrder: opened, NextToken: nextToken}
	}
	apply := func(c rollout.Command, sender rollout.Sender) (rollout.Result, error) {
		sender.Time = now
		a := state.Apply(c, sender)
		if a.Code != rollout.CodeOK {
			return a, fmt.Errorf("%s %s: %s: %s", c.Op, c.Name, a.Code, a.Text)
		}
		return a, nil
	}
	if _, err := apply(rollout.Command{Op: rollout.OpSetBudgets, GracePeriod: 5 * time.Second, Budgets: []rollout.Budget{
		{Name: "routers", Kind: rollout.KindRouter, MaxOutShare: maxOutShare, SlowStart: routerSlowStart},
		{Name: "servers", Kind: rollout.KindServer, MaxOutShare: maxOutShare, SlowStart: serverSlowStart},
		{Name: "zones", Kind: rollout.KindServer, Per: "zone", MaxOutShare: maxZoneOutShare}}},
		senderFor("operator", 0)); err != nil {
		return timeline, err
	}
	routerIncarnation := make([]int, routers) // incarnation of each router's process
	serverStatus := make([]rollout.ServerStatus, servers)
	serverIncarnation := make([]int, servers)
	server := func(i int) string { return fmt.Sprintf("s%03d", i) }
	router := func(i int) string { return fmt.Sprintf("r%03d", i) }
	report := func(i int, version string, all []int) error {
		opened++
		for part := range slices.Chunk(all, rollout.MaxReportedServers) {
			v := &rollout.RouterReport{Zone: zoneName(i % zones), Version: version, IsReady: true}
			for _, k := range part {
				v.Servers = append(v.Servers, rollout.ServerObservation{Name: server(k), Zone: zoneName(k % zones),
					Incarnation: fmt.Sprint(serverIncarnation[k]), Status: serverStatus[k]})
			}
			if _, err := apply(rollout.Command{Op: rollout.OpReport, Report: v},
				senderFor(rollout.RouterClientPrefix+router(i), routerIncarnation[i])); err != nil {
				return err
			}
		}
		return nil
	}
	allServers := make([]int, servers)
	for i := range allServers {
		allServers[i], serverStatus[i] = i, rollout.StatusServing
	}
	version := make([]string, routers)
	for i := range routers {
		version[i] = "v1"
		if err := report(i, "v1", allServers); err != nil {
			return timeline, err
		}
	}
	now = releaseStartMillis * time.Millisecond
	state.Advance(now+time.Minute, nextToken) // until all are past slow start
	now += time.Minute
	base := now
	nowMillis := func() float64 { return releaseStartMillis + float64((now-base)/time.Millisecond) }
	if _, err := apply(rollout.Command{Op: rollout.OpStartRelease, Plan: &rollout.ReleasePlan{Name: "twin",
		FromVersion: "v1", ToVersion: "v2", FirstWave: 3, GrowthFactor: 3, BakeTime: 2 * time.Second,
		StepTimeout: time.Minute}}, senderFor("release", 0)); err != nil {
		return timeline, err
	}
	for _, b := range state.Report(now).Budgets {
		if b.Zone == "" {
			timeline.Allowed[b.Kind] = b.Allowed
		}
	}
	// Scheduled steps of the timeline.
	type scheduledStep struct {
		at time.Duration
		do func() error
	}
	var scheduled []scheduledStep
	after := func(ms float64, f func() error) {
		scheduled = append(scheduled, scheduledStep{now + time.Duration(ms*float64(time.Millisecond)), f})
	}
	order := rng.Perm(servers)
	hasPermit, changed := map[string]bool{}, 0
	isLost := map[int]bool{} // servers of the lost zone
	if losesZone {
		after(float64(servers)/(maxOutShare*float64(servers))*(drainMillis+restartMillis+
			float64(serverSlowStart/time.Millisecond))/2, func() error {
			z := rng.IntN(zones)
			var part []int
			for i := z; i < servers; i += zones {
				part, isLost[i] = append(part, i), true
			}
			timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Servers: part, Kind: Kill})
			detectStatus := func(status rollout.ServerStatus) func() error {
				return func() error {
					for _, i := range part {
						serverStatus[i] = status
					}
					for i := range routers {
						if version[i] != "" {
							if err := report(i, version[i], part); err != nil {
								return err
							}
						}
					}
					return nil
				}
			}
			after(detectionMillis, detectStatus(rollout.StatusFailing))
			after(zoneOutageMillis, func() error {
				timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Servers: part, Kind: Start})
				for _, i := range part {
					delete(isLost, i)
				}
				after(detectionMillis, detectStatus(rollout.StatusServing))
				return nil
			})
			return nil
		})
	}
	// The change of a server, and the release of a router.
	changeServer := func(i int, token uint64) {
		name, who := server(i), senderFor("op/"+server(i), 0)
		timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Servers: []int{i}, Kind: BeginDrain})
		after(drainMillis, func() error {
			timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Servers: []int{i}, Kind: Kill})
			var start func() error
			start = func() error {
				if isLost[i] { // wait until its zone is back
					after(500, start)
					return nil
				}
				serverIncarnation[i]++
				changed++
				timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Servers: []int{i}, Kind: Start},
					Fault{At: nowMillis(), Servers: []int{i}, Kind: EndDrain})
				_, err := apply(rollout.Command{Op: rollout.OpEndOutage, Kind: rollout.KindServer, Name: name,
					Token: token}, who)
				return err
			}
			after(restartMillis, start)
			return nil
		})
	}
	changeRouter := func(i int, token uint64) {
		timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Routers: []int{i}, Kind: Kill})
		sender := senderFor(rollout.RouterClientPrefix+router(i), routerIncarnation[i])
		state.SessionEnded(sender.Session, sender.Client, now, nextToken)
		version[i] = ""
		after(restartMillis, func() error {
			timeline.Faults = append(timeline.Faults, Fault{At: nowMillis(), Routers: []int{i}, Kind: Start})
			after(startupMillis, func() error {
				routerIncarnation[i]++
				version[i] = "v2"
				if err := report(i, "v2", allServers); err != nil {
					return err
				}
				_, err := apply(rollout.Command{Op: rollout.OpEndOutage, Kind: rollout.KindRouter, Name: router(i),
					Token: token}, senderFor("release", 0))
				return err
			})
			return nil
		})
	}
	const tick = 100 * time.Millisecond
	for steps := 0; changed < servers || state.Release.State == rollout.ReleaseRunning; steps++ {
		if steps > 100_000 {
			return timeline, fmt.Errorf("the release does not end: %d servers changed, unavailable: %+v",
				changed, state.Report(now).Unavailable)
		}
		for len(scheduled) > 0 {
			i := 0
			for j := range scheduled {
				if scheduled[j].at < scheduled[i].at {
					i = j
				}
			}
			if scheduled[i].at > now {
				break
			}
			f := scheduled[i].do
			scheduled = slices.Delete(scheduled, i, i+1)
			if err := f(); err != nil {
				return timeline, err
			}
		}
		state.Advance(now, nextToken)
		// The tools request a permit for each outstanding change and begin those that are granted.
		type permitRequest struct {
			kind   rollout.Kind
			index  int
			client string
		}
		var permitRequests []permitRequest
		for _, name := range state.PendingRouters() {
			i, err := strconv.Atoi(name[1:])
			if err != nil {
				return timeline, err
			}
			if version[i] == "v1" {
				permitRequests = append(permitRequests, permitRequest{rollout.KindRouter, i, "release"})
			}
		}
		waiting := 0
		for _, i := range order {
			if name := server(i); !hasPermit[name] && waiting < 2*max(1, timeline.Allowed[rollout.KindServer]) && !isLost[i] {
				permitRequests = append(permitRequests, permitRequest{rollout.KindServer, i, "op/" + name})
				waiting++
			}
		}
		for _, x := range permitRequests[:min(len(permitRequests), rollout.MaxPermits/2)] {
			name := router(x.index)
			if x.kind == rollout.KindServer {
				name = server(x.index)
			}
			a, err := apply(rollout.Command{Op: rollout.OpRequestPermit, Kind: x.kind, Name: name},
				senderFor(x.client, 0))
			if err != nil {
				return timeline, err
			}
			if a.Stage != rollout.StageGranted {
				continue
			}
			if _, err := apply(rollout.Command{Op: rollout.OpBeginOutage, Kind: x.kind, Name: name, Token: a.Token},
				senderFor(x.client, 0)); err != nil {
				return timeline, err
			}
			if x.kind == rollout.KindServer {
				hasPermit[name] = true
				changeServer(x.index, a.Token)
			} else {
				changeRouter(x.index, a.Token)
			}
		}
		r := state.Report(now)
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
			timeline.MaxPlannedOut[k] = max(timeline.MaxPlannedOut[k], n)
		}
		if steps%10 == 0 {
			timeline.OutBySecond = append(timeline.OutBySecond, out)
		}
		timeline.DurationMillis = nowMillis() - releaseStartMillis
		now += tick
	}
	slices.SortStableFunc(timeline.Faults, func(a, b Fault) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return timeline, nil
}

// addRelease adds the faults of a release day.
func (p *Params) addRelease(kind string) error {
	p.Rate *= 0.8 / 0.62
	if kind == "release-none" {
		p.LengthMillis = 60000
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
		p.Faults = append(p.Faults, Fault{At: releaseStartMillis, Routers: routers, Servers: servers, Kind: Kill},
			Fault{At: releaseStartMillis + restartMillis, Routers: routers, Servers: servers, Kind: Start})
		p.LengthMillis = 2 * 22000
		return nil
	}
	pl, err := PlanRelease(p.Config.Routers, p.Servers, p.Zones, kind == "release-zone", p.Seed)
	p.Faults, p.LengthMillis = append(p.Faults, pl.Faults...), releaseStartMillis+pl.DurationMillis+5000
	return err
}
