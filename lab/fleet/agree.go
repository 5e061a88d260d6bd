package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/coord/node"
	"dockhinge.example/dockhinge/lab/referee"
	"dockhinge.example/dockhinge/lab/scenario"
	"dockhinge.example/dockhinge/lab/standin"
)

// AgreeOptions say how to play coordinators and holders.
type AgreeOptions struct {
	Coord    []string // the command of dockhinge-coord, built with the tag faults
	Lab      []string // that of dockhinge-lab, likewise
	Dir      string   // for logs and directories; it must be there
	Env      []string // for all processes
	Patience time.Duration
	Beat     string // of the coordinators; "" = their default
	Version  int    // of commands and bounds in force where costs are measured; 0 = this program's
	Say      func(form string, v ...any)
}

// AgreeResult is what became of a run.
type AgreeResult struct {
	Seed      uint64
	Faults    int
	Claims    int
	Ops       int
	Acts      int
	Refused   int // acts that the resource refused, as their token was old
	Grants    int
	Broken    []referee.Breach
	Undecided []string
	Failures  []string // what did not hold, the broken rules among them
	HealedS   float64  // after the last fault until all leases had been taken again
}

// agreement is a run of coordinators and holders.
type agreement struct {
	f   scenario.Agreement
	o   AgreeOptions
	rng *rand.Rand // of what the schedule leaves to the rig: which byte is damaged

	coords  []*coordinator
	holders []*proc
	res     *proc
	raft    map[[2]int]*standin.Relay // from, to
	api     map[[2]int]*standin.Relay // holder, coordinator
	acts    []*standin.Relay          // by holder

	mu      sync.Mutex
	nets    map[*standin.Relay]*nets
	busy    map[*proc]int // faults that have it down or stopped
	problem []string
}

// delayMS is one way.
const delayMS = 60

// nets counts what is wrong on a relay, as faults may lie over one another.
type nets struct{ cut, there, back, delay int }

type coordinator struct {
	*proc
	n           int
	listen, api string
	data        string
}

// Agree plays coordinators and holders and judges what came of it. The error tells that it could not be played.
func Agree(ctx context.Context, f scenario.Agreement, o AgreeOptions) (res AgreeResult, err error) {
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	if o.Patience == 0 {
		o.Patience = 20 * time.Second
	}
	a := &agreement{f: f, o: o, rng: rand.New(rand.NewPCG(f.Seed, 41)), raft: map[[2]int]*standin.Relay{}, api: map[[2]int]*standin.Relay{},
		nets: map[*standin.Relay]*nets{}, busy: map[*proc]int{}}
	defer a.close()
	if err := a.build(); err != nil {
		return res, err
	}
	if err := a.begin(ctx); err != nil {
		return res, err
	}
	schedule := f.Schedule()
	res.Seed, res.Faults = f.Seed, len(schedule)
	var wg sync.WaitGroup
	running, stop := context.WithTimeout(ctx, time.Duration(f.DurationS*float64(time.Second)))
	defer stop()
	for _, t := range schedule {
		wg.Go(func() {
			if wait(running, t.AtS) {
				o.Say("%6.2f s  %s %d %d for %.2f s", t.AtS, t.What, t.Who, t.With, t.ForS)
				a.play(running, t)
			}
		})
	}
	<-running.Done()
	wg.Wait()
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	began := time.Now()
	if err := a.healed(ctx); err != nil {
		a.fail("after all was mended: %v", err)
	}
	res.HealedS = time.Since(began).Seconds()
	var ends sync.WaitGroup
	for _, p := range a.holders {
		ends.Go(func() {
			if err := p.end(10 * time.Second); err != nil {
				a.fail("%s: %v\n%s", p.name, err, p.logTail(5))
			}
		})
	}
	ends.Wait()
	a.judge(&res)
	return res, nil
}

func (a *agreement) fail(form string, v ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.problem = append(a.problem, fmt.Sprintf(form, v...))
}

// relay starts one to an address that stays the same over all restarts.
func (a *agreement) relay(to string) (*standin.Relay, error) {
	r, err := standin.NewRelay(func() string { return to })
	if err == nil {
		a.nets[r] = &nets{}
	}
	return r, err
}

// rates are those at which the processes' clocks run: at an end of the bound, or true.
func (a *agreement) rate(i int) string {
	return fmt.Sprintf("DOCKHINGE_CLOCK_RATE=%v", 1+a.f.ClockRate*[]float64{1, -1, 0}[(i+int(a.f.Seed))%3])
}

// build makes directories, relays and files.
func (a *agreement) build() error {
	for i := range a.f.Coordinators {
		c := &coordinator{n: i, proc: &proc{name: fmt.Sprintf("c%d", i), dir: a.o.Dir}, data: filepath.Join(a.o.Dir, fmt.Sprintf("c%d", i))}
		var err error
		if c.listen, err = FreeAddr(); err != nil {
			return err
		}
		if c.api, err = FreeAddr(); err != nil {
			return err
		}
		a.coords = append(a.coords, c)
	}
	for _, c := range a.coords {
		var text strings.Builder
		fmt.Fprintf(&text, "version = 1\nname = %q\ndir = %q\nlisten = %q\napi = %q\nclock_rate = %v\nsnapshot_every = %d\nlog_level = \"debug\"\n",
			c.name, c.data, c.listen, c.api, a.f.ClockRate, a.f.SnapshotEach)
		if a.o.Beat != "" {
			fmt.Fprintf(&text, "beat = %q\n", a.o.Beat)
		}
		text.WriteString("[peers]\n")
		for _, d := range a.coords {
			if c == d {
				continue
			}
			r, err := a.relay(d.listen)
			if err != nil {
				return err
			}
			a.raft[[2]int{c.n, d.n}] = r
			fmt.Fprintf(&text, "%s = %q\n", d.name, r.Addr())
		}
		file := filepath.Join(a.o.Dir, c.name+".toml")
		if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
			return err
		}
		c.command = append(slices.Clone(a.o.Coord), "serve", file)
		c.env = append(slices.Clone(a.o.Env), a.rate(c.n))
		if (uint64(c.n)+a.f.Seed)%5 == 0 {
			c.env = append(c.env, "DOCKHINGE_SLOW_SYNC=20ms")
		}
		if (uint64(c.n)+a.f.Seed)%4 == 1 {
			c.env = append(c.env, fmt.Sprintf("DOCKHINGE_WALL_STEP=%s@%ds", []string{"1h", "-1h"}[a.f.Seed%2], 3+c.n))
		}
	}
	resource, err := FreeAddr()
	if err != nil {
		return err
	}
	a.res = &proc{name: "resource", dir: a.o.Dir, env: a.o.Env, command: append(slices.Clone(a.o.Lab), "resource", resource, filepath.Join(a.o.Dir, "acts"))}
	var leases, names []string
	for i := range a.f.Leases {
		leases = append(leases, fmt.Sprintf("l%d", i))
	}
	for i := range a.f.Holders {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	for i, name := range names {
		cfg := HolderConfig{Name: name, Coordinators: map[string]string{}, Leases: leases, Others: slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == name }),
			TTL: time.Duration(a.f.TTLS * float64(time.Second)), Seed: a.f.Seed*1000 + uint64(i), Log: filepath.Join(a.o.Dir, name+".jsonl"), Idle: 300 * time.Millisecond, Hold: 1500 * time.Millisecond}
		for _, c := range a.coords {
			r, err := a.relay(c.api)
			if err != nil {
				return err
			}
			a.api[[2]int{i, c.n}] = r
			cfg.Coordinators[c.name] = r.Addr()
		}
		r, err := a.relay(resource)
		if err != nil {
			return err
		}
		a.acts = append(a.acts, r)
		cfg.Resource = r.Addr()
		text, err := json.Marshal(cfg)
		if err != nil {
			return err
		}
		file := filepath.Join(a.o.Dir, name+".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		a.holders = append(a.holders, &proc{name: name, dir: a.o.Dir, command: append(slices.Clone(a.o.Lab), "holder", file), env: append(slices.Clone(a.o.Env), a.rate(i+1))})
	}
	return nil
}

// status asks a coordinator past all relays.
func (c *coordinator) status(ctx context.Context) (s node.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err = client.Call(ctx, http.MethodGet, c.api, "/v1/status", nil, &s)
	return s, err
}

// until tries again and again until f has no complaint.
func until(ctx context.Context, within time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		if !wait(ctx, 0.05) {
			return err
		}
	}
}

// begin starts all and has the coordinators form a group.
func (a *agreement) begin(ctx context.Context) error {
	if a.res != nil {
		if err := a.res.start(); err != nil {
			return err
		}
	}
	var group []node.Member
	for _, c := range a.coords {
		if err := c.start(); err != nil {
			return err
		}
	}
	for _, c := range a.coords {
		if err := until(ctx, 20*time.Second, func() error {
			s, err := c.status(ctx)
			if err == nil {
				group = append(group, node.Member{Name: c.name, Identity: s.Identity, Address: c.listen})
			}
			return err
		}); err != nil {
			return fmt.Errorf("%s: %w\n%s", c.name, err, c.logTail(5))
		}
	}
	if err := client.Call(ctx, http.MethodPost, a.coords[0].api, "/v1/init", group, nil); err != nil {
		return err
	}
	if err := until(ctx, 20*time.Second, func() error { _, err := a.leader(ctx); return err }); err != nil {
		return err
	}
	for _, h := range a.holders {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// leader finds the coordinator that leads in the highest term.
func (a *agreement) leader(ctx context.Context) (best *coordinator, err error) {
	term := uint64(0)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, c := range a.coords {
		wg.Go(func() {
			s, err := c.status(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && s.State == "Leader" && s.Term > term {
				best, term = c, s.Term
			}
		})
	}
	wg.Wait()
	if best == nil {
		return nil, errors.New("no leader")
	}
	return best, nil
}

// net changes what is wrong on relays and takes it back after a time.
func (a *agreement) net(ctx context.Context, forS float64, what func(*nets) *int, relays ...*standin.Relay) {
	set := func(by int) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, r := range relays {
			n := a.nets[r]
			*what(n) += by
			r.Set(standin.Net{Cut: n.cut > 0, DropThere: n.there > 0, DropBack: n.back > 0, DelayMS: delayMS * float64(n.delay)})
		}
	}
	set(1)
	wait(ctx, forS)
	set(-1)
}

// down has a process down or stopped for a time, by what comes first and last; faults of one process don't overlap.
func (a *agreement) down(ctx context.Context, p *proc, forS float64, first, last func()) {
	a.mu.Lock()
	free := a.busy[p] == 0
	if free {
		a.busy[p]++
	}
	a.mu.Unlock()
	if !free {
		return
	}
	first()
	wait(ctx, forS)
	last()
	a.mu.Lock()
	a.busy[p]--
	a.mu.Unlock()
}

func (a *agreement) up(p *proc) {
	if err := p.start(); err != nil {
		a.fail("%v", err)
	}
}

// play plays one fault of the schedule.
func (a *agreement) play(ctx context.Context, t scenario.Trouble) {
	c := a.coords[t.Who%len(a.coords)]
	switch t.What {
	case "kill-coordinator":
		a.down(ctx, c.proc, t.ForS, c.kill, func() { a.up(c.proc) })
	case "stop-coordinator":
		a.down(ctx, c.proc, t.ForS, func() { c.signal(syscall.SIGSTOP) }, func() { c.signal(syscall.SIGCONT) })
	case "kill-holder":
		h := a.holders[t.Who]
		a.down(ctx, h, t.ForS, h.kill, func() { a.up(h) })
	case "stop-holder":
		h := a.holders[t.Who]
		a.down(ctx, h, t.ForS, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })
	case "cut":
		a.net(ctx, t.ForS, func(n *nets) *int { return &n.cut }, a.raft[[2]int{t.Who, t.With}], a.raft[[2]int{t.With, t.Who}])
	case "hold-there":
		a.net(ctx, t.ForS, func(n *nets) *int { return &n.there }, a.raft[[2]int{t.Who, t.With}])
	case "delay":
		a.net(ctx, t.ForS, func(n *nets) *int { return &n.delay }, a.raft[[2]int{t.Who, t.With}], a.raft[[2]int{t.With, t.Who}])
	case "cut-clients":
		var all []*standin.Relay
		for i := range a.holders {
			all = append(all, a.api[[2]int{i, c.n}])
		}
		a.net(ctx, t.ForS, func(n *nets) *int { return &n.cut }, all...)
	case "hold-answers", "hold-asks":
		which := func(n *nets) *int { return &n.back }
		if t.What == "hold-asks" {
			which = func(n *nets) *int { return &n.there }
		}
		var all []*standin.Relay
		for j := range a.coords {
			if t.U < 0.5 || j == t.With {
				all = append(all, a.api[[2]int{t.Who, j}])
			}
		}
		a.net(ctx, t.ForS, which, all...)
	case "slow-then-cut":
		var all []*standin.Relay
		for j := range a.coords {
			all = append(all, a.api[[2]int{t.Who, j}])
		}
		var both sync.WaitGroup
		both.Go(func() { a.net(ctx, t.ForS, func(n *nets) *int { return &n.delay }, all...) })
		both.Go(func() {
			if wait(ctx, t.ForS/3) {
				a.net(ctx, t.ForS, func(n *nets) *int { return &n.there }, all...)
			}
		})
		both.Wait()
	case "late-acts":
		a.net(ctx, t.ForS, func(n *nets) *int { return &n.there }, a.acts[t.Who])
	case "disk-full":
		a.down(ctx, c.proc, t.ForS, func() { limitFile(c.proc, 4096) }, func() {
			limitFile(c.proc, unix.RLIM_INFINITY)
			wait(context.WithoutCancel(ctx), 0.3)
			if up, _ := c.running(); !up { // it said that it can't go on
				a.up(c.proc)
			}
		})
	case "restart-all":
		var wg sync.WaitGroup
		for _, c := range a.coords {
			wg.Go(func() { a.down(ctx, c.proc, t.ForS, c.kill, func() { a.up(c.proc) }) })
		}
		wg.Wait()
	case "damage", "wipe":
		a.down(ctx, c.proc, t.ForS, c.kill, func() { a.replace(ctx, c, t) })
	}
}

// limitFile bounds the size of the files that a process may write, as a full disk does.
func limitFile(p *proc, bytes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil) // it may have ended
	}
}

// replace damages or empties a dead coordinator's disk and starts it. One that refuses its disk, or has lost it, comes back with an
// empty directory as a new member, after the old one has been taken out.
func (a *agreement) replace(ctx context.Context, c *coordinator, t scenario.Trouble) {
	ctx = context.WithoutCancel(ctx)
	if t.What == "damage" {
		if err := a.damage(filepath.Join(c.data, "log.db"), t.U); err != nil {
			a.fail("%v", err)
			return
		}
		a.up(c.proc)
		if wait(ctx, 1); true {
			if up, _ := c.running(); up {
				return // the damage met nothing that is in use
			}
			if !strings.Contains(c.logTail(20), "damaged") {
				a.fail("%s with a damaged disk ended without a word of it:\n%s", c.name, c.logTail(10))
			}
		}
	}
	if err := os.RemoveAll(c.data); err != nil {
		a.fail("%v", err)
		return
	}
	a.up(c.proc)
	wait(ctx, 0.5) // in which it must not pass for the voter that it was
	err := until(ctx, 60*time.Second, func() error {
		s, err := c.status(ctx)
		if err != nil {
			return err
		}
		l, err := a.leader(ctx)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		if err := client.Call(ctx, http.MethodDelete, l.api, "/v1/members/"+c.name, nil, nil); err != nil && !strings.Contains(err.Error(), "is none") {
			return err
		}
		return client.Call(ctx, http.MethodPost, l.api, "/v1/members", node.Member{Name: c.name, Identity: s.Identity, Address: c.listen, Newest: s.Understands}, nil)
	})
	if err != nil {
		a.fail("%s could not be replaced: %v", c.name, err)
	}
}

// damage cuts a file off or flips one of its bits.
func (a *agreement) damage(path string, u float64) error {
	s, err := os.Stat(path)
	if err != nil {
		return err
	}
	a.mu.Lock()
	at := a.rng.Int64N(s.Size())
	a.mu.Unlock()
	if u < 0.5 {
		return os.Truncate(path, at)
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	b := make([]byte, 1)
	if _, err := f.ReadAt(b, at); err != nil {
		return err
	}
	b[0] ^= 1 << (at % 8)
	_, err = f.WriteAt(b, at)
	return err
}

// healed waits until a fresh client has had each lease: nothing stays held by nobody.
func (a *agreement) healed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.f.HealS*float64(time.Second)))
	defer cancel()
	for _, h := range a.holders { // they would compete for ever
		h.signal(syscall.SIGSTOP)
	}
	defer func() {
		for _, h := range a.holders {
			h.signal(syscall.SIGCONT)
		}
	}()
	all := map[string]string{}
	for _, c := range a.coords {
		if up, err := c.running(); !up {
			return fmt.Errorf("%s has ended: %v\n%s", c.name, err, c.logTail(8))
		}
		all[c.name] = c.api
	}
	c, end := liveClient(ctx, all, "last", 3*time.Second)
	defer end()
	for i := range a.f.Leases {
		if err := c.Hold(ctx, fmt.Sprintf("l%d", i), "healed", 2*time.Second, 500*time.Millisecond, func(context.Context, *client.Lease) error { return nil }); err != nil {
			return fmt.Errorf("lease l%d can't be had: %w", i, err)
		}
	}
	return nil
}

// liveClient runs a client until end is called, which waits for it.
func liveClient(ctx context.Context, coordinators map[string]string, name string, ttl time.Duration) (c *client.Client, end func()) {
	c = client.New(client.Options{Coordinators: coordinators, Client: name, TTL: ttl})
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	return c, func() { cancel(); wg.Wait() }
}

// judge reads what all saw.
func (a *agreement) judge(res *AgreeResult) {
	var claims []referee.Claim
	var ops []referee.Op
	for _, h := range a.holders {
		c, o, err := readHolder(filepath.Join(a.o.Dir, h.name+".jsonl"))
		if err != nil {
			a.fail("%v", err)
		}
		claims, ops = append(claims, c...), append(ops, o...)
	}
	var acts []referee.Act
	if err := lines(filepath.Join(a.o.Dir, "acts"), func(text []byte) {
		var x referee.Act
		if json.Unmarshal(text, &x) == nil {
			acts = append(acts, x)
		}
	}); err != nil {
		a.fail("%v", err)
	}
	res.Claims, res.Ops, res.Acts = len(claims), len(ops), len(acts)
	for _, x := range acts {
		if x.Refused {
			res.Refused++
		}
	}
	for _, o := range ops {
		if o.Kind == "acquire" && o.Code == "ok" {
			res.Grants++
		}
	}
	res.Broken, res.Undecided = referee.JudgeLeases(claims, ops, acts, referee.LeaseRules{Patience: a.o.Patience})
	a.mu.Lock()
	defer a.mu.Unlock()
	res.Failures = a.problem
	if len(res.Broken) > 0 {
		res.Failures = append(res.Failures, fmt.Sprintf("%d breaches, the first: %s", len(res.Broken), res.Broken[0]))
	}
	if res.Grants == 0 || res.Claims == 0 {
		res.Failures = append(res.Failures, "nobody ever held a lease: nothing was tried")
	}
}

// close ends all that was started.
func (a *agreement) close() {
	var wg sync.WaitGroup
	for _, p := range a.holders {
		wg.Go(p.kill)
	}
	for _, c := range a.coords {
		wg.Go(c.kill)
	}
	if a.res != nil {
		wg.Go(a.res.kill)
	}
	wg.Wait()
	for r := range a.nets {
		wg.Go(r.Close)
	}
	wg.Wait()
}
