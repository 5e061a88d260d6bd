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

// defaultLeasePatience is how long the checker of the leases' history may take, where AgreeOptions doesn't say.
const defaultLeasePatience = 20 * time.Second

// holderEndTimeout is how long a holder may take to end.
const holderEndTimeout = 10 * time.Second

// CoordinatorOptions say how to play coordinators and holders.
type CoordinatorOptions struct {
	CoordinatorCommand []string // the command of dockhinge-coord, built with the tag faults
	LabCommand         []string // that of dockhinge-lab, likewise
	Dir                string   // for logs and directories; it must be there
	Env                []string // for all processes
	CheckTimeout       time.Duration
	HeartbeatInterval  string // of the coordinators; "" = their default
	Version            int    // of commands and bounds in force where costs are measured; 0 = this program's
	Logf               func(form string, v ...any)
}

// LeaseFaultsResult is what became of a run.
type LeaseFaultsResult struct {
	Seed            uint64
	Faults          int
	Claims          int
	Operations      int
	Acts            int
	Refused         int // acts that the resource refused, as their token was old
	Grants          int
	Breaches        []checker.Breach
	Undecided       []string
	Failures        []string // what did not hold, the broken rules among them
	RecoverySeconds float64  // after the last fault until all leases had been taken again
}

// link is a way between two processes, by their numbers.
type link struct{ from, to int }

// coordinatorGroup is a run of coordinators and holders.
type coordinatorGroup struct {
	scenario scenario.Agreement
	options  CoordinatorOptions
	rng      *rand.Rand // of what the schedule leaves to the run: which byte is damaged

	coords         []*coordinator
	holders        []*proc
	resource       *proc
	raftRelays     map[link]*fakes.Relay // between coordinators
	clientRelays   map[link]*fakes.Relay // from a holder to a coordinator
	resourceRelays []*fakes.Relay        // by holder

	mu           sync.Mutex
	relayFaults  map[*fakes.Relay]*relayFaults
	processFault map[*proc]bool // a fault has it down or stopped
	problems     []string
}

func newCoordinatorGroup(f scenario.Agreement, o CoordinatorOptions, seed uint64) *coordinatorGroup {
	const stream = 41 // of the seed, for what only this run draws
	return &coordinatorGroup{
		scenario:     f,
		options:      o,
		rng:          rand.New(rand.NewPCG(seed, stream)),
		raftRelays:   map[link]*fakes.Relay{},
		clientRelays: map[link]*fakes.Relay{},
		relayFaults:  map[*fakes.Relay]*relayFaults{},
		processFault: map[*proc]bool{},
	}
}

// RunLeaseFaults plays coordinators and holders and judges what came of it. The error tells that it could not be played.
func RunLeaseFaults(ctx context.Context, f scenario.Agreement, o CoordinatorOptions) (res LeaseFaultsResult, err error) {
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if o.CheckTimeout == 0 {
		o.CheckTimeout = defaultLeasePatience
	}
	a := newCoordinatorGroup(f, o, f.Seed)
	defer a.close()
	if err := a.build(); err != nil {
		return res, err
	}
	if err := a.start(ctx); err != nil {
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
		a.fail("after all was mended: %v", err)
	}
	res.RecoverySeconds = time.Since(healingSince).Seconds()
	a.endHolders()
	a.judge(&res)
	return res, nil
}

// playSchedule plays the faults at their times, until the scenario's time is over.
func (a *coordinatorGroup) playSchedule(ctx context.Context, schedule []scenario.ScheduledFault) {
	var wg sync.WaitGroup
	running, stop := context.WithTimeout(ctx, time.Duration(a.scenario.DurationS*float64(time.Second)))
	defer stop()
	for _, fault := range schedule {
		wg.Go(func() {
			if wait(running, fault.AtS) {
				a.options.Logf("%6.2f s  %s %d %d for %.2f s", fault.AtS, fault.What, fault.Target, fault.Peer, fault.ForS)
				a.play(running, fault)
			}
		})
	}
	<-running.Done()
	wg.Wait()
}

// endHolders has all holders end in order, which they must.
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

// fail books something that did not hold.
func (a *coordinatorGroup) fail(form string, v ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.problems = append(a.problems, fmt.Sprintf(form, v...))
}

// close ends all that was started.
func (a *coordinatorGroup) close() {
	var wg sync.WaitGroup
	for _, holder := range a.holders {
		wg.Go(holder.kill)
	}
	for _, c := range a.coords {
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
