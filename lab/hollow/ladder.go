package hollow

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/lab/fleet"
)

// Options say what is played.
type Options struct {
	Coordinators  int           // processes
	Command       []string      // that starts one
	Dir           string        // for their files; it must be there
	Beat          time.Duration // of the coordinators: how long a leader may be silent
	RegionRouters int           // routers of a region,
	RegionServers int           // and the servers that each of them sees
	TTL           time.Duration // of the routers' sessions
	Idle          time.Duration // over which the fleet at rest is measured
	Drains        int           // drains of a server whose latency is measured
	Patience      time.Duration // for all routers to have what they wait for
}

// Usage is what one process costs.
type Usage struct {
	Name       string  `json:"name"`
	Leader     bool    `json:"leader"`
	Cores      float64 `json:"cores"`       // of processor time a second
	ResidentMB float64 `json:"resident_mb"` // at the end of the measurement
	Open       int     `json:"open"`        // descriptors
	ReadPerS   float64 `json:"read_per_s"`  // bytes read, of sockets
}

// Step is a ladder's step: what so many hollow routers cost.
type Step struct {
	Routers   int     `json:"routers"`
	Sightings int     `json:"sightings"` // pairs of a router and a server that it reports
	SessionS  float64 `json:"session_s"` // all at once: until all have a session,
	FirstS    float64 `json:"first_s"`   // until all have what is drained,
	ReportedS float64 `json:"reported_s"`
	// Join is what the leader and the busiest other voter used until then, in seconds of processor time.
	JoinLeaderCPUS float64 `json:"join_leader_cpu_s"`
	JoinVoterCPUS  float64 `json:"join_voter_cpu_s"`
	// A router's bytes until then.
	JoinRouterIn  float64 `json:"join_router_in"`
	JoinRouterOut float64 `json:"join_router_out"`

	Idle           []Usage `json:"idle"` // of the coordinators,
	HollowCores    float64 `json:"hollow_cores"`
	HollowMB       float64 `json:"hollow_mb"`      // of the process that plays all routers
	RouterInPerS   float64 `json:"router_in_s"`    // bytes a second and router at rest
	RouterOutPerS  float64 `json:"router_out_s"`   // likewise
	ReportBytes    float64 `json:"report_bytes"`   // of what 'fleet' shows
	Connections    float64 `json:"connections"`    // a router
	EntriesPerS    float64 `json:"entries_s"`      // of the log, at rest
	CommitP99MS    float64 `json:"commit_p99_ms"`  // of commands, by the leader's own figures over its life
	Drains         int     `json:"drains"`         // that were measured
	DrainP50MS     float64 `json:"drain_p50_ms"`   // from when the drain was sent until a router had it
	DrainP99MS     float64 `json:"drain_p99_ms"`   // likewise
	DrainLastMS    float64 `json:"drain_last_ms"`  // the last router of the slowest drain
	DrainAckedMS   float64 `json:"drain_acked_ms"` // the slowest drain, until all had acknowledged it
	DrainLeaderCPU float64 `json:"drain_leader_cpu_s"`
	DrainRouterIn  float64 `json:"drain_router_in"` // bytes a router and drain, its end included

	// RestartS is from when all coordinators were killed and started again until the last router had a drain that was set as soon as
	// they took one.
	RestartS      float64 `json:"restart_s"`
	RestartFailed string  `json:"restart_failed,omitempty"` // why that is not known

	Failed string `json:"failed,omitempty"` // why the step was not finished
}

// Play plays one step: coordinators start, so many routers join all at once, rest, and follow drains.
func Play(ctx context.Context, routers int, o Options) (step Step, err error) {
	step.Routers, step.Sightings = routers, routers*o.RegionServers
	if err := fleet.CheckDescriptorLimit(routers); err != nil {
		step.Failed = err.Error()
		return step, err
	}
	g, err := startGroup(ctx, o)
	if err != nil {
		return step, err
	}
	defer g.close()
	f := newFleet(routers, g.addresses(), o)
	run, stop := context.WithCancel(ctx)
	defer f.wg.Wait()
	defer stop()
	operator := f.operator(run, g.addresses())
	if err := f.budget(ctx, operator); err != nil {
		return step, err
	}
	for _, measure := range []func(context.Context) error{
		func(ctx context.Context) error { return f.join(ctx, run, g, operator, &step) },
		func(ctx context.Context) error { return f.rest(ctx, g, &step) },
		func(ctx context.Context) error { return f.follow(ctx, g, operator, &step) }} {
		if err := measure(ctx); err != nil {
			step.Failed = err.Error()
			return step, err
		}
	}
	if err := f.restart(ctx, g, operator, &step); err != nil {
		step.RestartFailed = err.Error()
	}
	return step, nil
}

// roll has a command of the operators' tool carried out, coming back as told where a bound was reached.
func (f *hollowFleet) roll(ctx context.Context, operator *client.Client, c rollout.Command) (a coord.Response, err error) {
	for {
		a, err = operator.ExecuteRollout(ctx, c)
		var refused *client.RejectedError
		if !errors.As(err, &refused) || refused.Code != coord.CodeLimitReached || !clock.Sleep(ctx, client.RetryDelay(err, askAgain)) {
			return a, err
		}
	}
}

// hollowFleet is all routers of a step.
type hollowFleet struct {
	o       Options
	routers []*router
	traffic Traffic
	drains  chan drainSeen
	first   sync.WaitGroup // until all have what is drained
	started atomic.Int64   // routers that have
	wg      sync.WaitGroup
}

func newFleet(n int, coordinators map[string]string, o Options) *hollowFleet {
	f := &hollowFleet{o: o, drains: make(chan drainSeen, n)}
	f.first.Add(n)
	var servers []rollout.ServerObservation
	for i := range n {
		region := i / o.RegionRouters
		if i%o.RegionRouters == 0 {
			servers = regionServers(region, o.RegionServers)
		}
		first := func() {
			f.started.Add(1)
			f.first.Done()
		}
		f.routers = append(f.routers, newRouter(fmt.Sprintf("router-%05d", i), zoneName(region, i%zonesPerRegion), servers, coordinators, o.TTL, &f.traffic, f.drains, first))
	}
	return f
}

// operatorTTL is longer than all coordinators need to start again on a machine that is busy.
const operatorTTL = time.Minute

// operator is a session of the operators' tool.
func (f *hollowFleet) operator(ctx context.Context, coordinators map[string]string) *client.Client {
	c := client.New(client.Options{Coordinators: coordinators, ClientName: "operator", TTL: operatorTTL})
	f.wg.Go(func() { c.Run(ctx) })
	return c
}

// budget allows one server at a time to be out.
func (f *hollowFleet) budget(ctx context.Context, operator *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, f.o.Patience)
	defer cancel()
	_, err := operator.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpSetBudgets, GracePeriod: 2 * f.o.TTL, Budgets: []rollout.Budget{{Name: "servers", Kind: rollout.KindServer, MaxOut: 1}}})
	return err
}

// waitFor waits for a group of routers, within the patience.
func (f *hollowFleet) waitFor(ctx context.Context, what string, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() { // ends with the group, at the latest when the step's routers have ended
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(f.o.Patience):
		return fmt.Errorf("%s: not all of %d routers within %v (%d have what is drained)", what, len(f.routers), f.o.Patience, f.started.Load())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join starts all routers at once and waits until they have a session, what is drained, and have reported what they see.
func (f *hollowFleet) join(ctx, run context.Context, g *group, operator *client.Client, step *Step) error {
	before, err := g.use(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	for _, r := range f.routers {
		f.wg.Go(func() { r.run(run) })
	}
	if err := f.sessions(ctx); err != nil {
		return err
	}
	step.SessionS = time.Since(began).Seconds()
	if err := f.waitFor(ctx, "what is drained", &f.first); err != nil {
		return err
	}
	step.FirstS = time.Since(began).Seconds()
	if err := f.reported(ctx, operator, step); err != nil {
		return err
	}
	step.ReportedS = time.Since(began).Seconds()
	after, err := g.use(ctx)
	if err != nil {
		return err
	}
	step.JoinLeaderCPUS, step.JoinVoterCPUS = after.since(before)
	n := float64(len(f.routers))
	step.JoinRouterIn, step.JoinRouterOut = float64(f.traffic.In.Load())/n, float64(f.traffic.Out.Load())/n
	return nil
}

// sessions waits until all routers have one.
func (f *hollowFleet) sessions(ctx context.Context) error {
	missing := f.routers
	return repeat(ctx, f.o.Patience, func() error {
		missing = slices.DeleteFunc(slices.Clone(missing), func(r *router) bool { return r.client.SessionID() != "" })
		if len(missing) > 0 {
			return fmt.Errorf("sessions: %d of %d routers have none within %v", len(missing), len(f.routers), f.o.Patience)
		}
		return nil
	})
}

// reportShare is how many times as long as a report took nobody asks for the next.
const reportShare = 10

// errNotReported tells that some have not reported yet.
var errNotReported = errors.New("not all routers have reported what they see")

// reported waits until the coordinators count all routers, and no server's state is unknown: its last router has told of it.
func (f *hollowFleet) reported(ctx context.Context, operator *client.Client, step *Step) error {
	regions := (len(f.routers) + f.o.RegionRouters - 1) / f.o.RegionRouters
	return repeat(ctx, f.o.Patience, func() error {
		began, bytes := time.Now(), operator.TransferredBytes()
		report, err := operator.RolloutReport(ctx, 0)
		if err != nil {
			return err
		}
		step.ReportBytes = float64(operator.TransferredBytes() - bytes)
		if report.Routers < len(f.routers) || report.Servers < regions*f.o.RegionServers {
			time.Sleep(reportShare * time.Since(began)) // the leader copies its whole state for each
			return errNotReported
		}
		return nil
	})
}

// groupUse is what the coordinators use, with the leader's name.
type groupUse struct {
	leader  string
	process map[string]use
	at      time.Time
	last    uint64 // entry of the leader's log
	p99MS   float64
}

// use reads what all coordinators use.
func (g *group) use(ctx context.Context) (u groupUse, err error) {
	var l *coordinator
	var status node.Status
	if err := repeat(ctx, startWithin, func() error { l, status, err = g.leader(ctx); return err }); err != nil {
		return u, err
	}
	u = groupUse{leader: l.name, process: map[string]use{}, at: time.Now(), last: status.LastLogIndex, p99MS: status.CommitP99Millis}
	for _, c := range g.all {
		if u.process[c.name], err = processUse(c.cmd.Process.Pid); err != nil {
			return u, err
		}
	}
	return u, nil
}

// since is the processor time in seconds that the leader and the busiest other voter have used.
func (u groupUse) since(before groupUse) (leader, voter float64) {
	for name, p := range u.process {
		cpu := (p.cpu - before.process[name].cpu).Seconds()
		if name == u.leader {
			leader = cpu
		} else {
			voter = max(voter, cpu)
		}
	}
	return leader, voter
}

// rest measures the fleet while nothing happens.
func (f *hollowFleet) rest(ctx context.Context, g *group, step *Step) error {
	own, err := processUse(os.Getpid())
	if err != nil {
		return err
	}
	before, err := g.use(ctx)
	if err != nil {
		return err
	}
	in, out := f.traffic.In.Load(), f.traffic.Out.Load()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.o.Idle):
	}
	after, err := g.use(ctx)
	if err != nil {
		return err
	}
	ownAfter, err := processUse(os.Getpid())
	if err != nil {
		return err
	}
	over := after.at.Sub(before.at).Seconds()
	n := float64(len(f.routers))
	step.RouterInPerS = float64(f.traffic.In.Load()-in) / over / n
	step.RouterOutPerS = float64(f.traffic.Out.Load()-out) / over / n
	step.Connections = float64(f.traffic.Connections.Load()) / n
	step.HollowCores, step.HollowMB = (ownAfter.cpu-own.cpu).Seconds()/over, ownAfter.residentMB
	step.EntriesPerS = float64(after.last-before.last) / over
	step.CommitP99MS = after.p99MS
	for _, c := range g.all {
		a, b := after.process[c.name], before.process[c.name]
		step.Idle = append(step.Idle, Usage{Name: c.name, Leader: c.name == after.leader, Cores: (a.cpu - b.cpu).Seconds() / over, ResidentMB: a.residentMB,
			Open: a.descriptors, ReadPerS: float64(a.readBytes-b.readBytes) / over})
	}
	return nil
}

// follow drains servers of the first region one after the other, and measures until each router has it.
func (f *hollowFleet) follow(ctx context.Context, g *group, operator *client.Client, step *Step) error {
	before, err := g.use(ctx)
	if err != nil {
		return err
	}
	in := f.traffic.In.Load()
	var latency []time.Duration
	for i := range f.o.Drains {
		took, acked, err := f.drain(ctx, operator, serverName(0, i%f.o.RegionServers))
		if err != nil {
			return fmt.Errorf("drain %d: %w", i, err)
		}
		for _, one := range took {
			latency = append(latency, one.latency)
		}
		step.DrainAckedMS = max(step.DrainAckedMS, millis(acked))
	}
	after, err := g.use(ctx)
	if err != nil {
		return err
	}
	if f.o.Drains == 0 {
		return nil
	}
	slices.Sort(latency)
	step.Drains = f.o.Drains
	step.DrainP50MS, step.DrainP99MS, step.DrainLastMS = millis(latency[len(latency)/2]), millis(latency[len(latency)*99/100]), millis(latency[len(latency)-1])
	leader, _ := after.since(before)
	step.DrainLeaderCPU = leader / float64(f.o.Drains)
	step.DrainRouterIn = float64(f.traffic.In.Load()-in) / float64(f.o.Drains) / float64(len(f.routers))
	return nil
}

// restart has all coordinators end and start at once.
func (f *hollowFleet) restart(ctx context.Context, g *group, operator *client.Client, step *Step) error {
	began := time.Now()
	if err := g.restart(); err != nil {
		return err
	}
	took, _, err := f.drain(ctx, operator, serverName(0, f.o.Drains%f.o.RegionServers))
	if err != nil {
		return fmt.Errorf("after all coordinators were restarted: %w", err)
	}
	for _, one := range took {
		step.RestartS = max(step.RestartS, one.at.Sub(began).Seconds())
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// drain takes a server out and back. It tells how long each router took to have it, and how long until all had acknowledged.
func (f *hollowFleet) drain(ctx context.Context, operator *client.Client, server string) (took []reached, acked time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.o.Patience)
	defer cancel()
	thing := rollout.Command{Kind: rollout.KindServer, Name: server}
	var began time.Time
	if err := repeat(ctx, f.o.Patience, func() error {
		thing.Op, thing.Token = rollout.OpRequestPermit, 0
		a, err := f.roll(ctx, operator, thing)
		if err != nil {
			return err
		}
		if a.Stage != rollout.StageGranted {
			return errors.New("waits: " + a.Text)
		}
		began = time.Now()
		thing.Op, thing.Token = rollout.OpBeginOutage, a.Token
		_, err = operator.ExecuteRollout(ctx, thing) // it may have been taken back meanwhile, or a bound was reached
		if err != nil {
			clock.Sleep(ctx, client.RetryDelay(err, 0))
		}
		return err
	}); err != nil {
		return nil, 0, err
	}
	if took, err = f.all(ctx, server, true, began); err != nil {
		return nil, 0, err
	}
	if err := repeat(ctx, f.o.Patience, func() error {
		a, err := f.roll(ctx, operator, thing) // repeated it tells how the permit stands
		if err == nil && !a.IsDrained {
			err = errors.New("not drained: " + a.Text)
		}
		return err
	}); err != nil {
		return nil, 0, err
	}
	acked = time.Since(began)
	thing.Op = rollout.OpEndOutage
	if _, err := f.roll(ctx, operator, thing); err != nil {
		return nil, 0, err
	}
	_, err = f.all(ctx, server, false, time.Now())
	return took, acked, err
}

// reached is when a router had a drain, and how long after it was sent.
type reached struct {
	at      time.Time
	latency time.Duration
}

// all waits until each router has a server out, or back in.
func (f *hollowFleet) all(ctx context.Context, server string, out bool, began time.Time) (took []reached, err error) {
	for len(took) < len(f.routers) {
		select {
		case seen := <-f.drains:
			if seen.server == server && seen.out == out {
				took = append(took, reached{seen.at, seen.at.Sub(began)})
			}
		case <-ctx.Done():
			return nil, fmt.Errorf("%d of %d routers have %s (out: %v): %w", len(took), len(f.routers), server, out, ctx.Err())
		}
	}
	return took, nil
}
