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

// Options configure a step.
type Options struct {
	Coordinators     int           // number of processes
	Command          []string      // starts one coordinator
	Dir              string        // of the coordinators' files; must exist
	HeartbeatTimeout time.Duration // of the coordinators: how long a leader may be silent before an election
	RegionRouters    int           // routers of a region
	RegionServers    int           // servers of a region, each seen by all routers of the region
	TTL              time.Duration // of the routers' sessions
	Idle             time.Duration // duration of the measurement at rest
	Drains           int           // number of drains to measure
	Timeout          time.Duration // of each wait for all routers
}

// Usage is the resource use of one process.
type Usage struct {
	Name        string  `json:"name"`
	Leader      bool    `json:"leader"`
	Cores       float64 `json:"cores"`       // CPU seconds per second
	ResidentMB  float64 `json:"resident_mb"` // at the end of the measurement
	Descriptors int     `json:"open"`        // file descriptors
	ReadPerS    float64 `json:"read_per_s"`  // bytes read from sockets per second
}

// Step is the measurement at one fleet size: what this number of hollow routers costs the coordinators.
type Step struct {
	Routers        int     `json:"routers"`
	ReportedPairs  int     `json:"sightings"` // pairs of a router and a server in its reports
	SessionS       float64 `json:"session_s"` // from when all routers started until all have a session
	FirstDrainSetS float64 `json:"first_s"`   // likewise, until all have the first set of drained servers
	ReportedS      float64 `json:"reported_s"`
	// CPU seconds of the leader and of the busiest other voter until all routers had reported.
	JoinLeaderCPUS float64 `json:"join_leader_cpu_s"`
	JoinVoterCPUS  float64 `json:"join_voter_cpu_s"`
	// Bytes received and sent per router until all had reported.
	JoinRouterIn  float64 `json:"join_router_in"`
	JoinRouterOut float64 `json:"join_router_out"`

	Idle           []Usage `json:"idle"` // of the coordinators at rest
	HollowCores    float64 `json:"hollow_cores"`
	HollowMB       float64 `json:"hollow_mb"`      // of the process that runs all hollow routers
	RouterInPerS   float64 `json:"router_in_s"`    // bytes per second and router at rest
	RouterOutPerS  float64 `json:"router_out_s"`   // likewise
	ReportBytes    float64 `json:"report_bytes"`   // size of the answer that the operators' tool shows as 'fleet'
	Connections    float64 `json:"connections"`    // per router
	EntriesPerS    float64 `json:"entries_s"`      // log entries per second at rest
	CommitP99MS    float64 `json:"commit_p99_ms"`  // of commands, as the leader reports it since its start
	Drains         int     `json:"drains"`         // number of drains measured
	DrainP50MS     float64 `json:"drain_p50_ms"`   // from when the drain was sent until a router applied it
	DrainP99MS     float64 `json:"drain_p99_ms"`   // likewise
	DrainLastMS    float64 `json:"drain_last_ms"`  // of the last router of the slowest drain
	DrainAckedMS   float64 `json:"drain_acked_ms"` // of the slowest drain, until all routers had acknowledged it
	DrainLeaderCPU float64 `json:"drain_leader_cpu_s"`
	DrainRouterIn  float64 `json:"drain_router_in"` // bytes per router and drain, including the end of the drain

	// RestartS is the time from when all coordinators were killed and restarted until the last router
	// applied a drain that was begun as soon as the coordinators accepted one.
	RestartS      float64 `json:"restart_s"`
	RestartFailed string  `json:"restart_failed,omitempty"` // why RestartS is unknown

	Failed string `json:"failed,omitempty"` // why the step was not finished
}

// MeasureStep starts coordinators, has the routers join all at once, and measures the join, the fleet
// at rest, drains, and a restart of all coordinators.
func MeasureStep(ctx context.Context, routers int, o Options) (step Step, err error) {
	step.Routers, step.ReportedPairs = routers, routers*o.RegionServers
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
	runCtx, stop := context.WithCancel(ctx)
	defer f.wg.Wait()
	defer stop()
	operator := f.operator(runCtx, g.addresses())
	if err := f.setBudget(ctx, operator); err != nil {
		return step, err
	}
	for _, measure := range []func(context.Context) error{
		func(ctx context.Context) error { return f.measureJoin(ctx, runCtx, g, operator, &step) },
		func(ctx context.Context) error { return f.measureIdle(ctx, g, &step) },
		func(ctx context.Context) error { return f.measureDrains(ctx, g, operator, &step) }} {
		if err := measure(ctx); err != nil {
			step.Failed = err.Error()
			return step, err
		}
	}
	if err := f.measureRestart(ctx, g, operator, &step); err != nil {
		step.RestartFailed = err.Error()
	}
	return step, nil
}

// execute executes a command of the operators' tool. It retries commands that are rejected because a
// limit was reached, after the delay that the rejection gives.
func (f *hollowFleet) execute(ctx context.Context, operator *client.Client, c rollout.Command,
) (a coord.Response, err error) {
	for {
		a, err = operator.ExecuteRollout(ctx, c)
		var refused *client.RejectedError
		if !errors.As(err, &refused) || refused.Code != coord.CodeLimitReached ||
			!clock.Sleep(ctx, client.RetryDelay(err, pollInterval)) {
			return a, err
		}
	}
}

// hollowFleet holds all routers of a step.
type hollowFleet struct {
	options           Options
	routers           []*router
	traffic           Traffic
	drains            chan drainUpdate
	firstDrainSets    sync.WaitGroup // done once all routers have the first set of drained servers
	withFirstDrainSet atomic.Int64   // number of routers that have it
	wg                sync.WaitGroup
}

func newFleet(n int, coordinators map[string]string, o Options) *hollowFleet {
	f := &hollowFleet{options: o, drains: make(chan drainUpdate, n)}
	f.firstDrainSets.Add(n)
	var servers []rollout.ServerObservation
	for i := range n {
		region := i / o.RegionRouters
		if i%o.RegionRouters == 0 {
			servers = regionServers(region, o.RegionServers)
		}
		first := func() {
			f.withFirstDrainSet.Add(1)
			f.firstDrainSets.Done()
		}
		f.routers = append(f.routers, newRouter(fmt.Sprintf("router-%05d", i), zoneName(region, i%zonesPerRegion),
			servers, coordinators, o.TTL, &f.traffic, f.drains, first))
	}
	return f
}

// operatorTTL is longer than all coordinators need to restart on a busy machine.
const operatorTTL = time.Minute

// operator opens a session as the operators' tool does.
func (f *hollowFleet) operator(ctx context.Context, coordinators map[string]string) *client.Client {
	c := client.New(client.Options{Coordinators: coordinators, ClientName: "operator", TTL: operatorTTL})
	f.wg.Go(func() { c.Run(ctx) })
	return c
}

// setBudget sets a budget of one server out of service at a time.
func (f *hollowFleet) setBudget(ctx context.Context, operator *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	_, err := operator.ExecuteRollout(ctx, rollout.Command{Op: rollout.OpSetBudgets, GracePeriod: 2 * f.options.TTL,
		Budgets: []rollout.Budget{{Name: "servers", Kind: rollout.KindServer, MaxOut: 1}}})
	return err
}

// waitFor waits until a wait group of the routers is done, for Options.Timeout at most.
func (f *hollowFleet) waitFor(ctx context.Context, what string, group *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() { // returns when the group is done, at the latest when the routers of the step have ended
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(f.options.Timeout):
		return fmt.Errorf("%s: not all of %d routers within %v (%d have the first set of drained servers)",
			what, len(f.routers), f.options.Timeout, f.withFirstDrainSet.Load())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureJoin starts all routers at once and measures until all have a session, have the first set of drained
// servers, and have reported their servers.
func (f *hollowFleet) measureJoin(ctx, runCtx context.Context, g *group, operator *client.Client, step *Step) error {
	before, err := g.usage(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	for _, r := range f.routers {
		f.wg.Go(func() { r.run(runCtx) })
	}
	if err := f.waitForSessions(ctx); err != nil {
		return err
	}
	step.SessionS = time.Since(began).Seconds()
	if err := f.waitFor(ctx, "first set of drained servers", &f.firstDrainSets); err != nil {
		return err
	}
	step.FirstDrainSetS = time.Since(began).Seconds()
	if err := f.waitForReports(ctx, operator, step); err != nil {
		return err
	}
	step.ReportedS = time.Since(began).Seconds()
	after, err := g.usage(ctx)
	if err != nil {
		return err
	}
	step.JoinLeaderCPUS, step.JoinVoterCPUS = after.cpuSecondsSince(before)
	n := float64(len(f.routers))
	step.JoinRouterIn, step.JoinRouterOut = float64(f.traffic.In.Load())/n, float64(f.traffic.Out.Load())/n
	return nil
}

// waitForSessions waits until all routers have a session.
func (f *hollowFleet) waitForSessions(ctx context.Context) error {
	missing := f.routers
	return retryUntil(ctx, f.options.Timeout, func() error {
		missing = slices.DeleteFunc(slices.Clone(missing), func(r *router) bool { return r.client.SessionID() != "" })
		if len(missing) > 0 {
			return fmt.Errorf("sessions: %d of %d routers have none after %v", len(missing), len(f.routers), f.options.Timeout)
		}
		return nil
	})
}

// reportPauseFactor is the pause before the next report is requested, in multiples of the time that the last
// one took.
const reportPauseFactor = 10

// errNotReported is returned while some routers have not reported their servers.
var errNotReported = errors.New("not all routers have reported their servers")

// waitForReports waits until the report of the coordinators counts all routers and all servers. A server is
// counted once the last of its routers has reported it.
func (f *hollowFleet) waitForReports(ctx context.Context, operator *client.Client, step *Step) error {
	regions := (len(f.routers) + f.options.RegionRouters - 1) / f.options.RegionRouters
	return retryUntil(ctx, f.options.Timeout, func() error {
		began, bytes := time.Now(), operator.TransferredBytes()
		report, err := operator.RolloutReport(ctx, 0)
		if err != nil {
			return err
		}
		step.ReportBytes = float64(operator.TransferredBytes() - bytes)
		if report.Routers < len(f.routers) || report.Servers < regions*f.options.RegionServers {
			time.Sleep(reportPauseFactor * time.Since(began)) // the leader copies its whole state for each report
			return errNotReported
		}
		return nil
	})
}

// groupUsage is the resource use of all coordinators at one time.
type groupUsage struct {
	leader       string
	byName       map[string]processUsage
	at           time.Time
	lastLogIndex uint64 // index of the last entry in the leader's log
	p99MS        float64
}

// usage reads the resource use of all coordinators.
func (g *group) usage(ctx context.Context) (u groupUsage, err error) {
	var l *coordinator
	var status node.Status
	if err := retryUntil(ctx, startTimeout, func() error { l, status, err = g.leader(ctx); return err }); err != nil {
		return u, err
	}
	u = groupUsage{leader: l.name, byName: map[string]processUsage{}, at: time.Now(),
		lastLogIndex: status.LastLogIndex, p99MS: status.CommitP99Millis}
	for _, c := range g.all {
		if u.byName[c.name], err = readProcessUsage(c.cmd.Process.Pid); err != nil {
			return u, err
		}
	}
	return u, nil
}

// cpuSecondsSince returns the CPU seconds that the leader and the busiest other voter used since before.
func (u groupUsage) cpuSecondsSince(before groupUsage) (leader, voter float64) {
	for name, p := range u.byName {
		cpu := (p.cpu - before.byName[name].cpu).Seconds()
		if name == u.leader {
			leader = cpu
		} else {
			voter = max(voter, cpu)
		}
	}
	return leader, voter
}

// measureIdle measures the fleet at rest, without changes.
func (f *hollowFleet) measureIdle(ctx context.Context, g *group, step *Step) error {
	own, err := readProcessUsage(os.Getpid())
	if err != nil {
		return err
	}
	before, err := g.usage(ctx)
	if err != nil {
		return err
	}
	in, out := f.traffic.In.Load(), f.traffic.Out.Load()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.options.Idle):
	}
	after, err := g.usage(ctx)
	if err != nil {
		return err
	}
	ownAfter, err := readProcessUsage(os.Getpid())
	if err != nil {
		return err
	}
	over := after.at.Sub(before.at).Seconds()
	n := float64(len(f.routers))
	step.RouterInPerS = float64(f.traffic.In.Load()-in) / over / n
	step.RouterOutPerS = float64(f.traffic.Out.Load()-out) / over / n
	step.Connections = float64(f.traffic.Connections.Load()) / n
	step.HollowCores, step.HollowMB = (ownAfter.cpu-own.cpu).Seconds()/over, ownAfter.residentMB
	step.EntriesPerS = float64(after.lastLogIndex-before.lastLogIndex) / over
	step.CommitP99MS = after.p99MS
	for _, c := range g.all {
		a, b := after.byName[c.name], before.byName[c.name]
		step.Idle = append(step.Idle, Usage{Name: c.name, Leader: c.name == after.leader,
			Cores: (a.cpu - b.cpu).Seconds() / over, ResidentMB: a.residentMB,
			Descriptors: a.descriptors, ReadPerS: float64(a.readBytes-b.readBytes) / over})
	}
	return nil
}

// measureDrains drains servers of the first region one after the other and measures how long each router takes
// to apply the drain.
func (f *hollowFleet) measureDrains(ctx context.Context, g *group, operator *client.Client, step *Step) error {
	before, err := g.usage(ctx)
	if err != nil {
		return err
	}
	in := f.traffic.In.Load()
	var latency []time.Duration
	for i := range f.options.Drains {
		took, acked, err := f.drain(ctx, operator, serverName(0, i%f.options.RegionServers))
		if err != nil {
			return fmt.Errorf("drain %d: %w", i, err)
		}
		for _, one := range took {
			latency = append(latency, one.latency)
		}
		step.DrainAckedMS = max(step.DrainAckedMS, millis(acked))
	}
	after, err := g.usage(ctx)
	if err != nil {
		return err
	}
	if f.options.Drains == 0 {
		return nil
	}
	slices.Sort(latency)
	step.Drains = f.options.Drains
	step.DrainP50MS, step.DrainP99MS, step.DrainLastMS = millis(latency[len(latency)/2]),
		millis(latency[len(latency)*99/100]), millis(latency[len(latency)-1])
	leader, _ := after.cpuSecondsSince(before)
	step.DrainLeaderCPU = leader / float64(f.options.Drains)
	step.DrainRouterIn = float64(f.traffic.In.Load()-in) / float64(f.options.Drains) / float64(len(f.routers))
	return nil
}

// measureRestart kills and restarts all coordinators at once and measures until the last router applies a drain.
func (f *hollowFleet) measureRestart(ctx context.Context, g *group, operator *client.Client, step *Step) error {
	began := time.Now()
	if err := g.restart(); err != nil {
		return err
	}
	took, _, err := f.drain(ctx, operator, serverName(0, f.options.Drains%f.options.RegionServers))
	if err != nil {
		return fmt.Errorf("after all coordinators were restarted: %w", err)
	}
	for _, one := range took {
		step.RestartS = max(step.RestartS, one.at.Sub(began).Seconds())
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// drain drains a server and ends the drain. It returns how long each router took to apply the drain, and
// how long it took until all had acknowledged it.
func (f *hollowFleet) drain(ctx context.Context, operator *client.Client, server string,
) (took []drainReceipt, acked time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	permit := rollout.Command{Kind: rollout.KindServer, Name: server}
	var began time.Time
	if err := retryUntil(ctx, f.options.Timeout, func() error {
		permit.Op, permit.Token = rollout.OpRequestPermit, 0
		a, err := f.execute(ctx, operator, permit)
		if err != nil {
			return err
		}
		if a.Stage != rollout.StageGranted {
			return errors.New("waiting for the permit: " + a.Text)
		}
		began = time.Now()
		permit.Op, permit.Token = rollout.OpBeginOutage, a.Token
		_, err = operator.ExecuteRollout(ctx, permit) // fails if the permit was withdrawn meanwhile or a limit was reached
		if err != nil {
			clock.Sleep(ctx, client.RetryDelay(err, 0))
		}
		return err
	}); err != nil {
		return nil, 0, err
	}
	if took, err = f.waitForDrain(ctx, server, true, began); err != nil {
		return nil, 0, err
	}
	if err := retryUntil(ctx, f.options.Timeout, func() error {
		a, err := f.execute(ctx, operator, permit) // repeating the command returns the state of the permit
		if err == nil && !a.IsDrained {
			err = errors.New("not drained: " + a.Text)
		}
		return err
	}); err != nil {
		return nil, 0, err
	}
	acked = time.Since(began)
	permit.Op = rollout.OpEndOutage
	if _, err := f.execute(ctx, operator, permit); err != nil {
		return nil, 0, err
	}
	_, err = f.waitForDrain(ctx, server, false, time.Now())
	return took, acked, err
}

// drainReceipt is when a router applied a drain, and how long after it was sent.
type drainReceipt struct {
	at      time.Time
	latency time.Duration
}

// waitForDrain waits until each router has drained a server, or has ended the drain.
func (f *hollowFleet) waitForDrain(ctx context.Context, server string, out bool, began time.Time,
) (took []drainReceipt, err error) {
	for len(took) < len(f.routers) {
		select {
		case seen := <-f.drains:
			if seen.server == server && seen.isDrained == out {
				took = append(took, drainReceipt{seen.at, seen.at.Sub(began)})
			}
		case <-ctx.Done():
			return nil, fmt.Errorf("%d of %d routers applied the change of %s (drained: %v): %w",
				len(took), len(f.routers), server, out, ctx.Err())
		}
	}
	return took, nil
}
