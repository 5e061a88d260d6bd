// Package fleet plays a scenario on loopback: stand-ins for cache servers, origin, discovery and network, real router
// processes, a load, and faults on a time line. Whatever ends it, it leaves no process and no port behind.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"dockhinge.example/dockhinge/internal/admin"
	"dockhinge.example/dockhinge/internal/admit"
	"dockhinge.example/dockhinge/lab/load"
	"dockhinge.example/dockhinge/lab/model"
	"dockhinge.example/dockhinge/lab/referee"
	"dockhinge.example/dockhinge/lab/scenario"
	"dockhinge.example/dockhinge/lab/standin"
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
	Progress func(load.Now, *Fleet)
	Say      func(format string, v ...any) // what happens, a line each
}

// Mark is something that happened, for the report.
type Mark struct {
	AtS  float64 `json:"at_s"` // from the beginning of the load
	Text string  `json:"text"`
}

// Sample is the state of all parties at a time.
type Sample struct {
	AtS     float64        `json:"at_s"`
	Routers map[string]Use `json:"routers"`
	Held    map[string]int `json:"held"` // requests held by each server
}

// ServerResult is what a server did.
type ServerResult struct {
	ID, Zone, Kind string
	standin.Stats
}

// Result is what became of a run.
type Result struct {
	Scenario     string                    `json:"scenario"`
	Command      string                    `json:"command"`
	Load         load.Result               `json:"load"`
	Doors        map[string]admit.State    `json:"doors,omitempty"` // fair admission at the end of the load, by router
	Service      float64                   `json:"service"`         // after the warm-up
	Tail         float64                   `json:"tail"`            // in the last fifth
	Attempts     float64                   `json:"attempts_a_request"`
	AttemptsBy   []int                     `json:"attempts_by_second"` // written whole in each second of the load
	Broken       []referee.Breach          `json:"broken"`
	TimeoutHints referee.TimeoutHintCounts `json:"timeout_hints"`
	Marks        []Mark                    `json:"marks"`
	Samples      []Sample                  `json:"samples"`
	Servers      []ServerResult            `json:"servers"`
	Probes       int64                     `json:"probes"` // answered by cache servers
	Calls        int                       `json:"discovery_calls"`
	LateMS       float64                   `json:"machine_late_ms"`   // the longest time by which the machine was late
	Rude         [2]int                    `json:"rude"`              // misbehaving clients: told or closed on in time, of all
	Changes      []Change                  `json:"changes,omitempty"` // planned, by the fleet's agreement
	Released     *Released                 `json:"released,omitempty"`
	Out          []OutAt                   `json:"out,omitempty"` // as the agreement saw it, at each change
	Ill          []Ill                     `json:"ill,omitempty"`
	Killed       bool                      `json:"killed,omitempty"` // whom Options.Kill names
	Failures     []string                  `json:"failures"`         // what did not hold
	Cut          bool                      `json:"cut"`              // stopped before its end
}

// Ill is a cache server that was silent, spoilt or slow for a time, and what the routers asked of it meanwhile.
type Ill struct {
	Server   string  `json:"server"`
	From     float64 `json:"from_ms"`
	To       float64 `json:"to_ms"`    // 0 = to the end
	Attempts int     `json:"attempts"` // that were written whole to it,
	Routers  int     `json:"routers"`  // by so many routers
	Late     int     `json:"late"`     // and of these later than a second after it began
	Accused  bool    `json:"accused"`  // it was left out by the word of others
}

// count books what was sent to it.
func (x *Ill) count(events []referee.Event) {
	of, by := map[string]string{}, map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == referee.Sent:
			of[e.Request] = e.Router
		case e.Kind == referee.Whole && e.Server == x.Server && e.Began >= x.From && (x.To == 0 || e.Began <= x.To):
			x.Attempts++
			by[of[e.Request]] = true
			if e.Began > x.From+1000 {
				x.Late++
			}
		}
	}
	x.Routers = len(by)
}

// maxEvents bounds the referee's journal.
const maxEvents = 2_000_000

// Fleet is a scenario that is being played.
type Fleet struct {
	File scenario.File
	o    Options

	clock     *standin.Clock
	journal   *referee.Journal
	front     *standin.Front
	discovery *standin.Discovery
	origin    *standin.Server
	rng       *rand.Rand // of the faults

	mu         sync.Mutex // guards what follows
	coords     *agreement // nil = none
	coordsBusy sync.Mutex // whoever has some of them down; not guarded by mu
	members    []*member
	missed     *simplelru.LRU[string, []*standin.Server] // by request: where a read was missing
	routers    []*router
	relays     map[string]*standin.Relay // router/server
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
	tools      map[string]*proc            // of planned changes that are under way, by thing
	toCoord    map[string][]*standin.Relay // by router: to the coordinators
}

// member is a cache server's place in the fleet.
type member struct {
	*standin.Server
	busy  sync.Mutex // whoever has it down
	entry model.Entry
	gone  bool
}

const maxMissed = 1 << 14

// Run plays a scenario. The error tells that it could not be played; what did not hold stands in the result.
func Run(ctx context.Context, f scenario.File, o Options) (res Result, err error) {
	fl := newFleet(f, o)
	defer fl.close()
	if err := fl.start(ctx); err != nil {
		return res, err
	}
	return fl.play(ctx)
}

func newFleet(f scenario.File, o Options) *Fleet {
	if o.Ready == 0 {
		o.Ready = 20 * time.Second
	}
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	fl := &Fleet{File: f, o: o, clock: standin.NewClock(), journal: referee.NewJournal(maxEvents), relays: map[string]*standin.Relay{}, tools: map[string]*proc{}, toCoord: map[string][]*standin.Relay{},
		rng: rand.New(rand.NewPCG(f.Seed, 10))}
	fl.missed, _ = simplelru.NewLRU[string, []*standin.Server](maxMissed, nil) // the size is positive
	fl.front = standin.NewFront(fl.clock)
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

// build starts the stand-ins.
func (fl *Fleet) build() (err error) {
	f := fl.File
	if fl.origin, err = standin.Start(standin.Host(standin.Servers)+":0", standin.Options{ID: "s-0000ffff", Model: f.Origin, Seed: f.Seed + 1, Clock: fl.clock,
		Journal: fl.journal, Work: fl.work, Asked: fl.originSaid}); err != nil {
		return err
	}
	known := []model.Entry{{ID: fl.origin.ID(), Addr: fl.origin.Addr(), Zone: f.Fleet.Zones[0], Kind: "origin", State: "active", Weight: 1}}
	for _, k := range f.Kinds {
		for range k.Count {
			m, err := fl.newMember(k, false)
			if err != nil {
				return err
			}
			known = append(known, m.entry)
		}
	}
	fl.discovery = standin.NewDiscovery(f.Discovery, f.Seed, known, fl.clock, fl.journal)
	return nil
}

// newMember starts a cache server: one that has run for long, or a new process that is cold.
func (fl *Fleet) newMember(k scenario.Kind, cold bool) (*member, error) {
	fl.mu.Lock()
	n := fl.n
	fl.n++
	fl.mu.Unlock()
	zones := fl.File.Fleet.Zones
	if k.Model.MeanWork == 0 {
		k.Model.MeanWork = fl.meanWork()
	}
	s, err := standin.Start(standin.Host(standin.Servers)+":0", standin.Options{ID: fmt.Sprintf("s-%08x", 0x1000+n*0x9e37%0xe000), Model: k.Model, Seed: fl.File.Seed + uint64(n)*7 + 100,
		Clock: fl.clock, Journal: fl.journal, Work: fl.work, Asked: fl.cacheSaid, Probes: fl.File.Fleet.Probes, IdleMS: connIdleMS})
	if err != nil {
		return nil, err
	}
	m := &member{Server: s, entry: model.Entry{ID: s.ID(), Addr: s.Addr(), Zone: zones[n%len(zones)], Kind: k.Name,
		Cell: n % max(1, fl.File.Fleet.Cells), State: "active", Weight: 1}}
	if cold {
		m.entry.Started = fl.clock.Unix(fl.clock.Now())
		if err := s.Restart(); err != nil {
			s.Close()
			return nil, err
		}
	}
	fl.mu.Lock()
	fl.members = append(fl.members, m)
	fl.mu.Unlock()
	return m, nil
}

// work is that of a request: by its class and id, so that each attempt costs the same.
func (fl *Fleet) work(id, key, class string) (float64, int) {
	for _, c := range fl.File.Classes {
		if c.Name == class {
			return load.Work(c, id), load.Size(c, key)
		}
	}
	return 1, 1
}

// meanWork is that of a request, over all classes.
func (fl *Fleet) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range fl.File.Classes {
		work += c.Share * c.WorkMS
		share += c.Share
	}
	return ratio(work, share)
}

// cacheSaid books where a key was missing.
func (fl *Fleet) cacheSaid(s *standin.Server, _, id string, o model.Outcome, _ bool, _ int) {
	if o != model.Missed && o != model.Fetching {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	at, _ := fl.missed.Get(id)
	fl.missed.Add(id, append(slices.Clip(at), s))
}

// originSaid stores what the origin gave where it was missing, at two servers at most, and voids what a write changed.
func (fl *Fleet) originSaid(_ *standin.Server, key, id string, o model.Outcome, write bool, size int) {
	if o != model.Served {
		return
	}
	fl.mu.Lock()
	at, _ := fl.missed.Get(id)
	fl.missed.Remove(id)
	if write {
		at = nil
		for _, m := range fl.members {
			at = append(at, m.Server)
		}
	}
	fl.mu.Unlock()
	for i, s := range at {
		if write {
			s.Void(key)
		} else if i < 2 {
			s.Store(key, size)
		}
	}
}

// startRouters starts all routers at once and waits until each is ready.
func (fl *Fleet) startRouters(ctx context.Context) error {
	n := fl.File.Fleet.Routers
	fails := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		listen, err := FreeAddr()
		if err != nil {
			return err
		}
		r := &router{name: fmt.Sprintf("r%d", i), zone: fl.File.Fleet.Zones[i%len(fl.File.Fleet.Zones)], listen: listen, number: i,
			dir: filepath.Join(fl.o.Dir, fmt.Sprintf("r%d", i))}
		if r.discovery, err = fl.discovery.Door(r.name, func(e model.Entry) string { return fl.addrFor(r, e) }); err != nil {
			return err
		}
		if slices.ContainsFunc(fl.File.Faults, func(x scenario.Fault) bool { return x.What == "release-routers" }) {
			r.label = "v1"
		}
		if err := fl.writeOperator(r); err != nil {
			return err
		}
		fl.mu.Lock()
		fl.routers = append(fl.routers, r)
		fl.mu.Unlock()
		wg.Go(func() { fails[i] = fl.startRouter(ctx, r) })
	}
	wg.Wait()
	return errors.Join(fails...)
}

func (fl *Fleet) operatorFile(r *router) string { return filepath.Join(fl.o.Dir, r.name+".toml") }

// startCoordinators starts those that the scenario has, and writes the operator file that makes routers their clients.
func (fl *Fleet) startCoordinators(ctx context.Context) (err error) {
	n := fl.File.Fleet.Coordinators
	if n == 0 {
		return nil
	}
	if len(fl.o.Coord) == 0 {
		return errors.New("fleet.coordinators: no command of a coordinator is given")
	}
	if fl.coords, err = calm(ctx, n, AgreeOptions{Coord: fl.o.Coord, Dir: fl.o.Dir, Env: fl.o.CoordEnv}); err != nil {
		return err
	}
	if fl.File.Fleet.Out.On() {
		return fl.setBudgets(ctx)
	}
	return nil
}

// writeOperator writes a router's operator file, which makes it a client of the coordinators. Where there are planned changes, a
// relay stands before each of them.
func (fl *Fleet) writeOperator(r *router) error {
	if fl.coords == nil {
		return nil
	}
	var words []string
	all := fl.coords.addresses()
	for i, name := range slices.Sorted(maps.Keys(all)) {
		addr := all[name]
		if fl.File.Fleet.Out.On() {
			if i < len(fl.toCoord[r.name]) { // written before, with another label
				words = append(words, fmt.Sprintf("%q", name+"="+fl.toCoord[r.name][i].Addr()))
				continue
			}
			target := addr
			relay, err := standin.NewRelay(func() string { return target })
			if err != nil {
				return err
			}
			fl.mu.Lock()
			fl.toCoord[r.name] = append(fl.toCoord[r.name], relay)
			fl.mu.Unlock()
			addr = relay.Addr()
		}
		words = append(words, fmt.Sprintf("%q", name+"="+addr))
	}
	text := fmt.Sprintf("version = 1\n[agreement]\ncoordinators = [%s]\nttl = \"5s\"\nprobes = true\n", strings.Join(words, ", "))
	if fl.File.Fleet.Out.On() {
		text += "drains = true\n"
	}
	fl.mu.Lock()
	label := r.label
	fl.mu.Unlock()
	if label != "" {
		text += fmt.Sprintf("label = %q\n", label)
	}
	return os.WriteFile(fl.operatorFile(r), []byte(text), 0o600)
}

// command is that of one router, with the operator file that the scenario names.
func (fl *Fleet) command(r *router) []string {
	if fl.coords != nil {
		return append(slices.Clip(fl.o.Command), "--operator", fl.operatorFile(r))
	}
	if fl.File.Fleet.Operator == "" {
		return fl.o.Command
	}
	return append(slices.Clip(fl.o.Command), "--operator", fl.File.Fleet.Operator)
}

// startRouter starts a process of a router and has the front use it.
func (fl *Fleet) startRouter(ctx context.Context, r *router) error {
	config := fl.config(r)
	fl.discovery.BookKnown(r.name) // the configuration tells the list, whatever the process before was told
	command, env := fl.command(r), []string(nil)
	fl.mu.Lock()
	if rel := fl.released; rel != nil && r.label == "v2" && plants[rel.Spoil] != "" {
		command, env = append(slices.Clone(fl.o.Spoilt), command[len(fl.o.Command):]...), []string{"DOCKHINGE_MUTANT=" + plants[rel.Spoil]}
	}
	fl.mu.Unlock()
	if fl.o.Lies != "" && r.number == 0 {
		command, env = append(slices.Clone(fl.o.Spoilt), command[len(fl.o.Command):]...), []string{"DOCKHINGE_MUTANT=" + fl.o.Lies}
	}
	if len(command) == 0 || len(env) > 0 && len(fl.o.Spoilt) == 0 {
		return errors.New("a bad version of the router: no build of it is given")
	}
	if err := fl.startProcess(ctx, r, command, env, config); err != nil {
		return err
	}
	fl.front.Up(r.name, r.zone, r.listen)
	return nil
}

// startProcess starts a process of a router, and returns once it is ready.
func (fl *Fleet) startProcess(ctx context.Context, r *router, command, env []string, config map[string]any) error {
	fl.journal.Add(referee.Event{At: fl.clock.Now(), Kind: referee.RouterStarted, Router: r.name})
	if err := r.start(ctx, command, env, config, fl.o.Ready); err != nil {
		return err
	}
	fl.journal.Add(referee.Event{At: fl.clock.Now(), Kind: referee.RouterReady, Router: r.name})
	return nil
}

// addrFor is the address at which a router reaches a server: a relay of its own where the scenario has them.
func (fl *Fleet) addrFor(r *router, e model.Entry) string {
	if !fl.File.Fleet.Relays {
		return e.Addr
	}
	key := r.name + "/" + e.ID
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if relay := fl.relays[key]; relay != nil {
		return relay.Addr()
	}
	target := e.Addr
	relay, err := standin.NewRelay(func() string { return target })
	if err != nil {
		fl.problem = append(fl.problem, err.Error())
		return e.Addr
	}
	fl.relays[key] = relay
	relay.Set(fl.plainNet(r, e.Zone))
	return relay.Addr()
}

// plainNet is the network between a router and a zone when nothing is wrong.
func (fl *Fleet) plainNet(r *router, zone string) standin.Net {
	if r.zone != zone {
		return standin.Net{DelayMS: fl.File.Fleet.ZoneDelayMS}
	}
	return standin.Net{}
}

// connIdleMS is how long a cache server keeps an idle connection.
const connIdleMS = 10000

// config is what the platform would tell a router.
func (fl *Fleet) config(r *router) map[string]any {
	f := fl.File
	known := fl.discovery.List()
	kinds := []string{}
	for i := range known.Servers {
		known.Servers[i].Addr = fl.addrFor(r, known.Servers[i])
	}
	for _, k := range f.Kinds {
		kinds = append(kinds, k.Name)
	}
	kinds = append(kinds, "origin")
	var classes []map[string]any
	for _, c := range f.Classes {
		scope := c.Scope
		if scope == "" {
			scope = "all"
		}
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect, "keyScope": scope, "window": c.WindowMS,
			"target": c.AimMS, "hardLimit": c.LimitMS, "gain": c.Worth, "lateWorth": 0, "stream": false})
	}
	fall, over := 3.0, 2000.0
	cold, from := 1.0, 1.0
	for _, k := range f.Kinds { // the rules are told as loosely as the weakest kind is
		if k.Model.FallMultiple > 0 {
			fall, over = min(fall, k.Model.FallMultiple), k.Model.FallForMS
		}
		if k.Model.ColdFrom > 0 {
			cold, from = max(cold, k.Model.ColdMS), min(from, k.Model.ColdFrom)
		}
	}
	discovery := "push"
	if f.Fleet.AskList {
		discovery = "ask"
	}
	how := "none"
	if f.Fleet.Probes {
		how = "probe"
	}
	return map[string]any{
		"name": r.name, "listen": r.listen, "discovery": r.discovery, "seed": fmt.Sprintf("%016x", f.Seed*1000+uint64(r.number)+fl.fresh()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": f.Fleet.MemoryMB, "sockets": f.Fleet.Sockets}, "known": known,
		"settings": map[string]any{"balancers": f.Fleet.Routers, "myNumber": r.number, "zone": r.zone, "zones": f.Fleet.Zones,
			"categories": classes, "kinds": kinds, "family": "cache", "familyInfo": map[string]any{"mode": "aside", "originKind": len(kinds) - 1},
			"discovery": discovery, "weights": "rough", "projects": []any{}, "loadInfo": map[string]any{"columns": []string{"rps", "cpu", "x0"}, "how": how},
			"caps": map[string]any{"cancel": f.Fleet.Cancel, "connIdle": connIdleMS, "connectTimeout": 250, "cpuUsPerS": 500000, "maxAttempts": f.Fleet.MaxAttempts,
				"maxRetryAfter": f.Load.MaxAfterMS, "mayProbe": f.Fleet.Probes, "retryAfter": f.Fleet.RetryAfter, "peers": false, "secondCopies": false},
			"rules": map[string]any{"cold": cold, "coldFrom": from, "drainGrace": f.Fleet.DrainGrace * 1000, "graceToAnswer": 20, "mustAskIn": 10000,
				"overloadFactor": fall, "overloadFor": over}},
	}
}

// fresh is a number for the seed of a start: a router that starts again must not draw what it drew before.
func (fl *Fleet) fresh() uint64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rng.Uint64() >> 32 << 16
}

// warm puts the most popular keys where a fleet that has run for long would hold them: spread over all servers.
func (fl *Fleet) warm(l *load.Load) {
	if !fl.File.Fleet.Warm {
		return
	}
	reads := fl.File.Classes[0]
	for _, key := range slices.Backward(l.Keys()) { // the most popular last, as the most lately used
		for range 2 {
			fl.members[fl.rng.IntN(len(fl.members))].Store(key, load.Size(reads, key))
		}
	}
}

// play runs load and faults, and judges what came of it.
func (fl *Fleet) play(ctx context.Context) (Result, error) {
	p := fl.File.Load
	if fl.o.Progress != nil {
		p.Progress = func(n load.Now) { fl.o.Progress(n, fl) }
	}
	l, err := load.New(p, fl.front, fl.clock, fl.journal)
	if err != nil {
		return Result{}, err
	}
	fl.warm(l)
	fl.mu.Lock()
	fl.began = fl.clock.Now()
	fl.mu.Unlock()
	running, stop := context.WithTimeout(ctx, time.Duration(fl.File.DurationS*float64(time.Second)))
	defer stop()
	var wg sync.WaitGroup
	over, end := context.WithCancel(context.Background())
	wg.Go(func() { fl.heartbeat(over) })
	wg.Go(func() { fl.sample(over) })
	if fl.File.Fleet.Out.On() {
		wg.Go(func() { fl.hear(over) })
	}
	endLive := context.CancelFunc(func() {})
	live := running // planned changes, and the faults beside them, may last longer than the load
	if fl.o.Patience > 0 {
		live, endLive = context.WithCancel(ctx)
		defer endLive()
	}
	changed := make(chan struct{})
	var changing sync.WaitGroup
	for i, f := range fl.File.Faults {
		if strings.HasPrefix(f.What, "change-") || f.What == "release-routers" {
			changing.Go(func() { fl.fault(live, fl.File.Faults[i]) })
		} else {
			wg.Go(func() { fl.fault(live, fl.File.Faults[i]) })
		}
	}
	wg.Go(func() { changing.Wait(); close(changed) })
	got := l.Run(running)
	if fl.o.Patience > 0 {
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(fl.o.Patience):
		}
		endLive()
	}
	cut := ctx.Err() != nil
	doors := fl.doors(ctx)
	end()
	stop()
	wg.Wait()
	res := fl.result(got, cut)
	res.Doors = doors
	return res, nil
}

// doors asks each router how fair admission stands there; nothing of those where it is off.
func (fl *Fleet) doors(ctx context.Context) map[string]admit.State {
	all := map[string]admit.State{}
	for _, r := range fl.allRouters() {
		var s admit.State
		if p := r.newest(); p != nil {
			if text, err := admin.Call(ctx, p.admin, http.MethodGet, "/-/admission"); err == nil && json.Unmarshal(text, &s) == nil {
				all[r.name] = s
			}
		}
	}
	return all
}

// heartbeat watches whether the machine lets the lab run when it should.
func (fl *Fleet) heartbeat(ctx context.Context) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	last := fl.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := fl.clock.Now()
		fl.mu.Lock()
		late := now - last - 10
		fl.late = max(fl.late, late)
		fl.mu.Unlock()
		if late > 100 {
			fl.mark("the machine was late by %.0f ms", late)
		}
		last = now
	}
}

// sample reads what all use, twice a second.
func (fl *Fleet) sample(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := Sample{Routers: map[string]Use{}, Held: map[string]int{}}
		for _, r := range fl.allRouters() {
			s.Routers[r.name] = r.use()
		}
		for _, m := range fl.allMembers() {
			if m.Up() {
				s.Held[m.ID()], _ = m.Busy()
			}
		}
		s.Held["origin"], _ = fl.origin.Busy()
		fl.mu.Lock()
		s.AtS = (fl.clock.Now() - fl.began) / 1000
		fl.samples = append(fl.samples, s)
		fl.mu.Unlock()
	}
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
		if !m.gone {
			all++
			if m.Up() {
				up++
			}
		}
	}
	return up, all
}

// close ends all that was started.
func (fl *Fleet) close() {
	var wg sync.WaitGroup
	for _, r := range fl.allRouters() {
		wg.Go(func() { r.stop(5 * time.Second) })
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

// result judges.
func (fl *Fleet) result(got load.Result, cut bool) Result {
	for _, r := range fl.allRouters() {
		r.mu.Lock()
		fl.problem = append(fl.problem, r.bad...)
		r.mu.Unlock()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	f := fl.File
	events, whole := fl.journal.Events()
	res := Result{Scenario: f.Name, Command: strings.Join(fl.o.Command, " "), Load: got, Marks: fl.marks, Samples: fl.samples,
		Broken: referee.Judge(events, fl.rules()), TimeoutHints: referee.CountTimeoutHints(events, fl.rules()), Calls: fl.discovery.Calls(), LateMS: fl.late, Rude: fl.rude, Cut: cut, Failures: fl.problem}
	attempts := 0
	res.AttemptsBy = make([]int, len(got.Seconds))
	for _, e := range events {
		if e.Kind == referee.Whole {
			attempts++
			if i := int((e.At - fl.began) / 1000); i >= 0 && i < len(got.Seconds) {
				res.AttemptsBy[i]++
			}
		}
	}
	asked, served := 0, 0
	var worth, gained, tailWorth, tailGained float64
	for i, s := range got.Seconds {
		asked, served = asked+s.Asked, served+s.Served
		if float64(i) >= f.WarmS {
			worth, gained = worth+s.Worth, gained+s.Gained
		}
		if float64(i) >= 0.8*f.DurationS {
			tailWorth, tailGained = tailWorth+s.Worth, tailGained+s.Gained
		}
	}
	res.Service, res.Tail, res.Attempts = ratio(gained, worth), ratio(tailGained, tailWorth), ratio(float64(attempts), float64(asked))
	for _, m := range fl.members {
		res.Servers = append(res.Servers, ServerResult{m.entry.ID, m.entry.Zone, m.entry.Kind, m.Stats()})
		res.Probes += m.Stats().Probes
	}
	res.Servers = append(res.Servers, ServerResult{fl.origin.ID(), "", "origin", fl.origin.Stats()})
	fail := func(form string, v ...any) { res.Failures = append(res.Failures, fmt.Sprintf(form, v...)) }
	if !whole {
		fail("the journal is full at %d events: the rules were not judged to the end", maxEvents)
	}
	if len(res.Broken) > 0 {
		fail("%d breaches of the rules, the first: %s", len(res.Broken), res.Broken[0])
	}
	if !got.Valid {
		fail("the run does not count: %s", got.Why)
	}
	if cut {
		return res
	}
	for _, c := range fl.changes {
		res.Changes = append(res.Changes, *c)
	}
	res.Failures = append(res.Failures, fl.judgeChanges(events)...)
	res.Killed, res.Out = fl.killed, fl.out
	for _, x := range fl.ill {
		x.count(events)
		x.Accused = len(fl.accused[x.Server]) > 0
		res.Ill = append(res.Ill, x)
	}
	res.Failures = append(res.Failures, fl.judgeAccused(events)...)
	if res.Released = fl.released; res.Released != nil {
		res.Failures = append(res.Failures, res.Released.judge(fl.routers)...)
	}
	for _, x := range []struct {
		name       string
		is, atMost float64
		least      float64
	}{{"expect.service", res.Service, 1, f.Expect.Service}, {"expect.tail", res.Tail, 1, f.Expect.Tail},
		{"expect.served", float64(served), 1e18, float64(f.Expect.Served)}} {
		if x.is < x.least {
			fail("%s: %.3f, and %.3f must hold", x.name, x.is, x.least)
		}
	}
	if f.Expect.Tries > 0 && res.Attempts > f.Expect.Tries {
		fail("expect.attempts: %.2f attempts a request, and at most %.2f must hold", res.Attempts, f.Expect.Tries)
	}
	if f.Expect.Rude && res.Rude[0] < res.Rude[1] {
		fail("expect.rude_told: %d of %d misbehaving clients were told or closed on in time", res.Rude[0], res.Rude[1])
	}
	return res
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// LogDir makes a directory for a run's logs under a parent.
func LogDir(parent, name string) (string, error) {
	if err := os.MkdirAll(parent, 0o755); err != nil {
		return "", fmt.Errorf("logs: %w", err)
	}
	return os.MkdirTemp(parent, name+"-")
}
