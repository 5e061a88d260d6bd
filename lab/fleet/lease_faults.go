package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/scenario"
)

// defaultCheckTimeout is the default of CoordinatorOptions.CheckTimeout.
const defaultCheckTimeout = 20 * time.Second

// holderEndTimeout is how long a holder may take to exit.
const holderEndTimeout = 10 * time.Second

// CoordinatorOptions configures a run of coordinators and leaseholders.
type CoordinatorOptions struct {
	CoordinatorCommand []string      // the command of dockhinge-coord, built with the tag faults
	LabCommand         []string      // the command of dockhinge-lab, built with the tag faults
	Dir                string        // for logs and data directories; must exist
	Env                []string      // for all processes
	CheckTimeout       time.Duration // for checking the leases' history; 0 = 20 s
	HeartbeatInterval  string        // of the coordinators; "" = their default
	Version            int           // version of commands and limits to put in force; 0 = this program's
	Logf               func(format string, v ...any)
}

// LeaseFaultsResult is the outcome of a run of RunLeaseFaults.
type LeaseFaultsResult struct {
	Seed            uint64
	Faults          int
	Claims          int
	Operations      int
	Acts            int
	Refused         int // acts that the resource refused for their old token
	Grants          int // acquired leases
	Breaches        []checker.Violation
	Undecided       []string
	Failures        []string // all failures, including breaches of the rules
	RecoverySeconds float64  // from the end of the faults until each lease had been acquired again
}

// link is a connection between two processes, identified by their numbers.
type link struct{ from, to int }

// coordinatorGroup is a group of coordinator processes, and the leaseholders and the resource that
// use it.
type coordinatorGroup struct {
	scenario scenario.Agreement
	options  CoordinatorOptions
	rng      *rand.Rand // chooses what the schedule leaves open: which byte is damaged

	nodes          []*coordinator
	holders        []*restartableProcess
	resource       *restartableProcess
	raftRelays     map[link]*fakes.Relay // between coordinators
	clientRelays   map[link]*fakes.Relay // from a holder to a coordinator
	resourceRelays []*fakes.Relay        // by holder

	mu           sync.Mutex
	relayFaults  map[*fakes.Relay]*relayFaults
	processFault map[*restartableProcess]bool // a fault has it down or stopped
	problems     []string
}

func newCoordinatorGroup(f scenario.Agreement, o CoordinatorOptions, seed uint64) *coordinatorGroup {
	const stream = 41 // random stream for rng
	return &coordinatorGroup{
		scenario:     f,
		options:      o,
		rng:          rand.New(rand.NewPCG(seed, stream)),
		raftRelays:   map[link]*fakes.Relay{},
		clientRelays: map[link]*fakes.Relay{},
		relayFaults:  map[*fakes.Relay]*relayFaults{},
		processFault: map[*restartableProcess]bool{},
	}
}

// RunLeaseFaults runs coordinators and leaseholders with faults and checks the history of the
// leases. It returns an error if the scenario could not be run.
func RunLeaseFaults(ctx context.Context, f scenario.Agreement, o CoordinatorOptions) (res LeaseFaultsResult,
	err error) {
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if o.CheckTimeout == 0 {
		o.CheckTimeout = defaultCheckTimeout
	}
	a := newCoordinatorGroup(f, o, f.Seed)
	defer a.close()
	if err := a.build(); err != nil {
		return res, err
	}
	if err := a.startAll(ctx); err != nil {
		return res, err
	}
	schedule := f.Schedule()
	res.Seed, res.Faults = f.Seed, len(schedule)
	a.playSchedule(ctx, schedule)
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	healingSince := time.Now()
	if err := a.awaitAllLeasesFree(ctx); err != nil {
		a.fail("after the faults: %v", err)
	}
	res.RecoverySeconds = time.Since(healingSince).Seconds()
	a.endHolders()
	a.checkHistory(&res)
	return res, nil
}

// playSchedule plays the faults at their times, until the scenario's duration is over.
func (a *coordinatorGroup) playSchedule(ctx context.Context, schedule []scenario.ScheduledFault) {
	var wg sync.WaitGroup
	running, stop := context.WithTimeout(ctx, time.Duration(a.scenario.DurationS*float64(time.Second)))
	defer stop()
	for _, fault := range schedule {
		wg.Go(func() {
			if wait(running, fault.AtS) {
				a.options.Logf("%6.2f s  %s %d %d for %.2f s",
					fault.AtS, fault.What, fault.Target, fault.Peer, fault.ForS)
				a.play(running, fault)
			}
		})
	}
	<-running.Done()
	wg.Wait()
}

// endHolders stops all holders. Each must exit without an error.
func (a *coordinatorGroup) endHolders() {
	var wg sync.WaitGroup
	for _, holder := range a.holders {
		wg.Go(func() {
			if err := holder.end(holderEndTimeout); err != nil {
				a.fail("%s: %v\n%s", holder.name, err, holder.logTail(5))
			}
		})
	}
	wg.Wait()
}

// fail records a failure.
func (a *coordinatorGroup) fail(format string, v ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.problems = append(a.problems, fmt.Sprintf(format, v...))
}

// close stops everything that was started.
func (a *coordinatorGroup) close() {
	var wg sync.WaitGroup
	for _, holder := range a.holders {
		wg.Go(holder.kill)
	}
	for _, c := range a.nodes {
		wg.Go(c.kill)
	}
	if a.resource != nil {
		wg.Go(a.resource.kill)
	}
	wg.Wait()
	for relay := range a.relayFaults {
		wg.Go(relay.Close)
	}
	wg.Wait()
}
