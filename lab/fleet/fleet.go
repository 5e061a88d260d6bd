// Package fleet plays a scenario on loopback: stand-ins for cache servers, origin, discovery and network, real router
// processes, a load, and faults on a time line. Whatever ends it, it leaves no process and no port behind.
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
	defaultReadyTimeout = 20 * time.Second // of a router, where Options doesn't say
	routerEndTimeout    = 5 * time.Second
)

// Options say how to play.
type Options struct {
	Command  []string      // of one router; GW_CONFIG tells it the rest
	Coord    []string      // of one coordinator, where the scenario has them
	CoordEnv []string      // of the coordinators
	Kill     *StepKill     // who is killed at which step of the tool; nil = nobody
	Lies     string        // what the first router tells of servers that is not true: a fault planted in Spoilt; "" = nothing
	Spoilt   []string      // command of a router in which a fault can be planted, for releases of a bad version
	Patience time.Duration // how long planned changes may last beyond the load; 0: not at all
	Dir      string        // for logs and configurations; it must be there
	Ready    time.Duration
	MustEnd  bool // each router has to end by itself, with all that it started, when it is told to after the run
	Progress func(load.ProgressReport, *Fleet)
	Say      func(format string, v ...any) // what happens, a line each
}

// maxEvents bounds the referee's journal.
const maxEvents = 2_000_000

// Fleet is a scenario that is being played.
type Fleet struct {
	File scenario.File
	o    Options

	clock     *fakes.Clock
	journal   *checker.Journal
	front     *fakes.Front
	discovery *fakes.Discovery
	origin    *fakes.Server
	rng       *rand.Rand // of the faults

	mu         sync.Mutex // guards what follows
	coords     *agreement // nil = none
	coordsBusy sync.Mutex // whoever has some of them down; not guarded by mu
	members    []*member
	missed     *simplelru.LRU[string, []*fakes.Server] // by request: where a read was missing
	routers    []*router
	relays     map[string]*fakes.Relay // router/server
	marks      []Mark
	samples    []Sample
	began      float64
	late       float64
	rude       [2]int
	problem    []string
	released   *Released
	killed     bool // by Options.Kill
	ill        []Ill
	out        []OutAt
	accused    map[string][]string // servers that were left out by the word of others, and the routers named
	n          int                 // of ids given
	changes    []*Change
	outages    []outage
	tools      map[string]*proc          // of planned changes that are under way, by thing
	toCoord    map[string][]*fakes.Relay // by router: to the coordinators
}

// member is a cache server's place in the fleet.
type member struct {
	*fakes.Server
	busy  sync.Mutex  // locked by whoever has it down or has it leave
	entry model.Entry // its Started and State belong to whoever has locked busy; the rest never changes
	gone  bool        // it has left for good; guarded by the fleet's mu
}

// Run plays a scenario. The error tells that it could not be played; what did not hold stands in the result.
func Run(ctx context.Context, f scenario.File, o Options) (res Result, err error) {
	fl := newFleet(f, o)
	defer fl.close()
	if err := fl.start(ctx); err != nil {
		return res, err
	}
	res, err = fl.play(ctx)
	if err == nil && o.MustEnd {
		res.Failures = append(res.Failures, fl.endAll()...)
	}
	return res, err
}

func newFleet(f scenario.File, o Options) *Fleet {
	if o.Ready == 0 {
		o.Ready = defaultReadyTimeout
	}
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	const stream = 10 // of the seed, for the faults
	fl := &Fleet{
		File:    f,
		o:       o,
		clock:   fakes.NewClock(),
		journal: checker.NewJournal(maxEvents),
		relays:  map[string]*fakes.Relay{},
		tools:   map[string]*proc{},
		toCoord: map[string][]*fakes.Relay{},
		rng:     rand.New(rand.NewPCG(f.Seed, stream)),
	}
	fl.missed, _ = simplelru.NewLRU[string, []*fakes.Server](maxMissed, nil) // the size is positive
	fl.front = fakes.NewFront(fl.clock)
	return fl
}

// start starts all parties but the load; close ends them.
func (fl *Fleet) start(ctx context.Context) error {
	if err := fl.build(); err != nil {
		return err
	}
	if err := fl.startCoordinators(ctx); err != nil {
		return err
	}
	return fl.startRouters(ctx)
}

// close ends all that was started.
func (fl *Fleet) close() {
	var wg sync.WaitGroup
	for _, r := range fl.allRouters() {
		wg.Go(func() { r.stop(routerEndTimeout) })
	}
	if fl.coords != nil {
		wg.Go(fl.coords.close)
	}
	wg.Wait()
	fl.mu.Lock()
	relays := slices.Collect(maps.Values(fl.relays))
	for _, more := range fl.toCoord {
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

// mark books what happened.
func (fl *Fleet) mark(form string, v ...any) {
	text := fmt.Sprintf(form, v...)
	fl.mu.Lock()
	at := (fl.clock.Now() - fl.began) / 1000
	fl.marks = append(fl.marks, Mark{at, text})
	fl.mu.Unlock()
	fl.o.Say("%6.1f s  %s", at, text)
}

// Routers tells the addresses at which routers can be talked to: clients' and second.
func (fl *Fleet) Routers() (all []string) {
	for _, r := range fl.allRouters() {
		admin := "down"
		if p := r.newest(); p != nil {
			admin = p.admin
		}
		all = append(all, fmt.Sprintf("%s (%s): clients at %s, second address %s", r.name, r.zone, r.listen, admin))
	}
	return all
}

// Up counts cache servers that run.
func (fl *Fleet) Up() (up, all int) {
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

// LogDir makes a directory for a run's logs under a parent.
func LogDir(parent, name string) (string, error) {
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return "", fmt.Errorf("logs: %w", err)
	}
	return os.MkdirTemp(parent, name+"-")
}
