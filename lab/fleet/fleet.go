// Package fleet runs a scenario on loopback: fake cache servers, origin, discovery and network,
// real router processes, a load, and faults on a timeline. However a run ends, it leaves no process
// and no open port behind.
package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/model"
	"dockhinge.example/dockhinge/lab/scenario"
)

const (
	defaultReadyTimeout = 20 * time.Second // of a router, if Options sets none
	routerEndTimeout    = 5 * time.Second
)

// Options configure a run.
type Options struct {
	RouterCommand      []string      // of one router; GW_CONFIG names its configuration
	CoordinatorCommand []string      // of one coordinator, if the scenario has any
	CoordinatorEnv     []string      // added to the coordinators' environment
	Kill               *StepKill     // the process to kill at a step of the tool; nil = none
	FirstRouterMutant  string        // mutant that makes the first router report false facts on servers; "" = none
	MutantCommand      []string      // of a router built with mutants, for bad versions and false reports
	ChangeTimeout      time.Duration // time for planned changes after the end of the load; 0 = none
	Dir                string        // for logs and configurations; must exist
	ReadyTimeout       time.Duration
	MustExit           bool // after the run, each router must exit on SIGTERM, with all that it started
	Progress           func(load.ProgressReport, *Fleet)
	Logf               func(format string, v ...any) // reports events, one line each
}

// maxEvents bounds the checker's journal.
const maxEvents = 2_000_000

// Fleet is a running scenario.
type Fleet struct {
	File    scenario.File
	options Options

	clock     *fakes.Clock
	journal   *checker.Journal
	front     *fakes.Front
	discovery *fakes.Discovery
	origin    *fakes.Server
	rng       *rand.Rand // for the faults

	mu                 sync.Mutex        // guards what follows
	coordinators       *coordinatorGroup // nil = none
	coordinatorsDownMu sync.Mutex        // held while a fault has coordinators down; not guarded by mu
	members            []*member
	missedReads        *simplelru.LRU[string, []*fakes.Server] // by request ID: the servers at which the read missed
	routers            []*router
	relays             map[string]*fakes.Relay // router/server
	marks              []Mark
	samples            []Sample
	loadStartMS        float64
	maxLateMS          float64
	misbehavingClients [2]int
	problems           []string
	released           *Released
	isVictimKilled     bool // the victim of Options.Kill was killed
	faultySpells       []FaultySpell
	budgetUse          []BudgetSample
	excludedBy         map[string][]string // by server excluded on routers' reports: those routers
	serversStarted     int                 // from which the servers' IDs are made
	changes            []*Change
	outages            []outage
	runningTools       map[string]*restartableProcess // in progress, by resource or process name
	coordinatorRelays  map[string][]*fakes.Relay      // from each router to the coordinators
}

// member is a cache server and its entry in the endpoint list.
type member struct {
	*fakes.Server
	downMu    sync.Mutex  // held by a fault or planned change that has the server down or drains it
	entry     model.Entry // downMu guards Started and State; the rest never changes
	isRemoved bool        // it has left for good; guarded by Fleet.mu
}

// Run runs a scenario. It returns an error if the scenario could not be run; violated rules and
// expectations are listed in Result.Failures.
func Run(ctx context.Context, f scenario.File, o Options) (res Result, err error) {
	fl := newFleet(f, o)
	defer fl.close()
	if err := fl.start(ctx); err != nil {
		return res, err
	}
	res, err = fl.play(ctx)
	if err == nil && o.MustExit {
		res.Failures = append(res.Failures, fl.stopAllRouters()...)
	}
	return res, err
}

func newFleet(f scenario.File, o Options) *Fleet {
	if o.ReadyTimeout == 0 {
		o.ReadyTimeout = defaultReadyTimeout
	}
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	const stream = 10 // random stream for the faults
	fl := &Fleet{
		File:              f,
		options:           o,
		clock:             fakes.NewClock(),
		journal:           checker.NewJournal(maxEvents),
		relays:            map[string]*fakes.Relay{},
		runningTools:      map[string]*restartableProcess{},
		coordinatorRelays: map[string][]*fakes.Relay{},
		rng:               rand.New(rand.NewPCG(f.Seed, stream)),
	}
	fl.missedReads, _ = simplelru.NewLRU[string, []*fakes.Server](maxMissed, nil) // the size is positive
	fl.front = fakes.NewFront(fl.clock)
	return fl
}

// start starts all processes and fakes, but not the load; close stops them.
func (fl *Fleet) start(ctx context.Context) error {
	if err := fl.build(); err != nil {
		return err
	}
	if err := fl.startCoordinators(ctx); err != nil {
		return err
	}
	return fl.startRouters(ctx)
}

// close stops everything that was started.
func (fl *Fleet) close() {
	var wg sync.WaitGroup
	for _, r := range fl.allRouters() {
		wg.Go(func() { r.stop(routerEndTimeout) })
	}
	if fl.coordinators != nil {
		wg.Go(fl.coordinators.close)
	}
	wg.Wait()
	fl.mu.Lock()
	relays := slices.Collect(maps.Values(fl.relays))
	for _, more := range fl.coordinatorRelays {
		relays = append(relays, more...)
	}
	fl.mu.Unlock()
	if fl.discovery != nil {
		fl.discovery.Close()
	}
	for _, r := range relays {
		wg.Go(r.Close)
	}
	for _, m := range fl.allMembers() {
		wg.Go(m.Close)
	}
	if fl.origin != nil {
		wg.Go(fl.origin.Close)
	}
	wg.Wait()
}

func (fl *Fleet) allRouters() []*router {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.routers)
}

func (fl *Fleet) allMembers() []*member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.members)
}

// mark records and logs an event.
func (fl *Fleet) mark(format string, v ...any) {
	text := fmt.Sprintf(format, v...)
	fl.mu.Lock()
	at := (fl.clock.Now() - fl.loadStartMS) / 1000
	fl.marks = append(fl.marks, Mark{at, text})
	fl.mu.Unlock()
	fl.options.Logf("%6.1f s  %s", at, text)
}

// RouterAddresses returns a line for each router with its client address and its admin address.
func (fl *Fleet) RouterAddresses() (all []string) {
	for _, r := range fl.allRouters() {
		admin := "down"
		if p := r.newest(); p != nil {
			admin = p.admin
		}
		all = append(all, fmt.Sprintf("%s (%s): clients at %s, admin address %s", r.name, r.zone, r.listen, admin))
	}
	return all
}

// CountServers returns how many cache servers are up and how many there are, without those that
// have left.
func (fl *Fleet) CountServers() (up, all int) {
	for _, m := range fl.allMembers() {
		if !fl.hasLeft(m) {
			all++
			if m.IsUp() {
				up++
			}
		}
	}
	return up, all
}

// LogDir creates a directory for a run's logs under parent, which it creates too if needed.
func LogDir(parent, name string) (string, error) {
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return "", fmt.Errorf("logs: %w", err)
	}
	return os.MkdirTemp(parent, name+"-")
}
