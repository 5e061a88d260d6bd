package fleet

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fakes"
	"dockhinge.example/dockhinge/lab/scenario"
)

// Change is one planned change of a router or cache server: the operators' tool waits for the permit and runs a command, which
// here is the laboratory's own. Times are in milliseconds on the laboratory's clock; 0 = not yet.
type Change struct {
	Thing  string   `json:"thing"`
	Asked  float64  `json:"asked_ms"`
	Gone   float64  `json:"gone_ms"` // the command was run: it may be stopped
	Back   float64  `json:"back_ms"` // it runs again
	Tools  int      `json:"tools"`   // runs of the tool
	Tokens []uint64 `json:"tokens"`  // with which the command was run; more than one is a change done twice
}

// outage is what a fault takes out, whatever is planned.
type outage struct {
	thing    string
	from, to float64 // 0 = it lasts
	stopped  bool    // the process is there and does nothing: what it then sends it may not have known better
}

// noticedMS is how long the fleet may take to notice that something is out: a session's time, a report, a probe.
const noticedMS = 8000

// warmed takes off what the fleet's clock may be faster, in milliseconds.
const warmedMS = 100

// upgradeWithin bounds the wait for a leader that puts the newest version in force: on a busy machine the first one may be
// replaced at any moment.
const upgradeWithin = 20 * time.Second

// upgradeCoordinators has the leader of this moment put the newest version in force. It may be repeated.
func (fl *Fleet) upgradeCoordinators(ctx context.Context) error {
	leader, err := fl.coords.leader(ctx)
	if err != nil {
		return err
	}
	var answer coord.Response
	upgrade := coord.Command{TargetVersion: coord.Version}
	if err := client.Call(ctx, http.MethodPost, leader.api, "/v1/upgrade", upgrade, &answer); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	if answer.Code != coord.CodeOK {
		return fmt.Errorf("upgrade: %s", answer.Text)
	}
	return nil
}

// setBudgets puts the scenario's budgets in force.
func (fl *Fleet) setBudgets(ctx context.Context) error {
	o := fl.File.Fleet.Out
	text := fmt.Sprintf("version = 1\ngrace = \"8s\"\nquorum = %d\nbusy = %v\n", o.Quorum, o.Busy)
	for kind, n := range map[string]int{"router": o.Routers, "server": o.Servers} {
		if n > 0 {
			text += fmt.Sprintf("[[budget]]\nname = \"%ss\"\nkind = \"%s\"\nmost = %d\nwarm = \"%gs\"\n", kind, kind, n, o.WarmS)
		}
	}
	path := filepath.Join(fl.o.Dir, "budgets.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if err := until(ctx, upgradeWithin, func() error { return fl.upgradeCoordinators(ctx) }); err != nil {
		return err
	}
	p := fl.tool("budgets", "budgets", "set", path)
	if err := p.start(); err != nil {
		return err
	}
	<-p.done
	if _, err := p.running(); err != nil {
		return fmt.Errorf("budgets: %w\n%s", err, p.logTail(5))
	}
	return nil
}

// tool is a run of the operators' tool.
func (fl *Fleet) tool(name string, args ...string) *proc {
	var all []string
	for n, addr := range fl.coords.addresses() {
		all = append(all, n+"="+addr)
	}
	return &proc{name: name, command: append([]string{fl.o.Coord[0]}, args...), env: []string{"DOCKHINGE_COORDINATORS=" + strings.Join(all, ",")}, dir: fl.o.Dir}
}

func (fl *Fleet) draw(n int) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rng.IntN(n)
}

// change has operators change servers or routers, all at once as far as they may: each asks for a permit of its own.
func (fl *Fleet) change(ctx context.Context, f scenario.Fault) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if f.What == "change-servers" {
		part := fl.pick(f)
		fl.mark("operators want to change %d cache servers", len(part))
		for _, m := range part {
			wg.Go(func() {
				tell := func() {}
				if f.DrainS > 0 { // operators tell discovery too, once the step has begun
					tell = func() {
						if !m.busy.TryLock() { // a fault has it down, and tells discovery so
							return
						}
						defer m.busy.Unlock()
						e := m.entry
						e.State = "leaving"
						fl.discovery.ScheduleChange(e)
					}
				}
				fl.changeOne(ctx, "server/"+m.entry.ID, &m.busy, tell, func() {
					m.Kill()
					wait(ctx, max(f.DownS, 0.1))
					fl.back(m)
				})
			})
		}
		return
	}
	routers := fl.allRouters()
	if f.Share > 0 {
		f.Count = int(math.Round(f.Share * float64(len(routers))))
	}
	routers = routers[:min(f.Count, len(routers))]
	fl.mark("operators want to change %d routers", len(routers))
	for _, r := range routers {
		wg.Go(func() {
			fl.changeOne(ctx, "router/"+r.name, &r.busy, func() {}, func() {
				if p := r.newest(); p != nil { // a fault may have it down
					fl.front.ReportRouterDeath(r.name, 300)
					r.signal(p, syscall.SIGTERM)
					<-p.done
				}
				wait(ctx, f.DownS)
				if r.newest() == nil && ctx.Err() == nil {
					if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
						fl.trouble(err)
					}
				}
			})
		})
	}
}

// changeOne runs the tool until the change is done. Where the tool dies before its command has run, it is run again, as an
// operator would; where it dies after it, the change is under way, and nobody does it twice.
func (fl *Fleet) changeOne(ctx context.Context, thing string, busy *sync.Mutex, tell, act func()) {
	c := &Change{Thing: thing, Asked: fl.clock.Now()}
	fl.mu.Lock()
	first := len(fl.changes) == 0 // at its steps Options.Kill has somebody killed
	fl.changes = append(fl.changes, c)
	fl.mu.Unlock()
	if first {
		inner, end := context.WithCancel(ctx)
		var wg sync.WaitGroup
		defer wg.Wait()
		defer end()
		wg.Go(func() { fl.killAtStep(ctx, inner, thing) })
	}
	base := filepath.Join(fl.o.Dir, strings.ReplaceAll(thing, "/", "-"))
	// The operators' own command: it tells the laboratory its token, and waits until the thing is back.
	script := fmt.Sprintf(`echo $DOCKHINGE_TOKEN >%[1]s.tmp && mv %[1]s.tmp %[1]s.go; while [ ! -e %[1]s.done ]; do sleep 0.05; done`, base)
	for ctx.Err() == nil {
		p := fl.tool(filepath.Base(base), "permit", "take", thing, "--as", "operator/"+filepath.Base(base), "--why", "the laboratory changes it", "--", "sh", "-c", script)
		if first && c.Tools == 0 {
			p.env = append(p.env, fl.o.Kill.env(fl.o.Dir)...)
		}
		if err := p.start(); err != nil {
			fl.trouble(err)
			return
		}
		fl.mu.Lock()
		c.Tools++
		fl.tools[thing] = p
		fl.mu.Unlock()
		over, told := false, false
		for !over && c.Back == 0 {
			select {
			case <-p.done:
				over = true
			case <-ctx.Done():
				p.kill()
				return
			case <-time.After(20 * time.Millisecond):
			}
			if !told && strings.Contains(p.logTail(1), "until nothing more is sent to it") {
				told = true
				tell()
			}
			text, err := os.ReadFile(base + ".go")
			if err != nil {
				continue
			}
			token, _ := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
			fl.mu.Lock()
			c.Gone, c.Tokens = fl.clock.Now(), append(c.Tokens, token)
			fl.mu.Unlock()
			busy.Lock()                    // a fault may have it down
			if up, _ := p.running(); !up { // the command ended with its tool before it did anything
				busy.Unlock()
				fl.mu.Lock()
				c.Gone, c.Tokens = 0, nil
				fl.mu.Unlock()
				if err := os.Remove(base + ".go"); err != nil {
					fl.trouble(err)
				}
				break
			}
			act()
			busy.Unlock()
			fl.mu.Lock()
			c.Back = fl.clock.Now()
			fl.mu.Unlock()
			_ = os.Rename(base+".go", base+".was")
			if err := os.WriteFile(base+".done", nil, 0o600); err != nil {
				fl.trouble(err)
			}
		}
		select { // it gives the permit back
		case <-p.done:
		case <-ctx.Done():
			p.kill()
		}
		fl.mu.Lock()
		delete(fl.tools, thing)
		done := c.Back > 0
		fl.mu.Unlock()
		if _, err := p.running(); done && err != nil { // it died in the step: its operator says that it is over
			fl.clear(ctx, thing)
		}
		if done || !wait(ctx, 0.2) {
			return
		}
	}
}

// clear has an operator say that a permit whose holder died isn't used any more. Until then it is.
func (fl *Fleet) clear(ctx context.Context, thing string) {
	for range 30 {
		p := fl.tool(strings.ReplaceAll(thing, "/", "-")+"-clear", "permit", "clear", thing)
		if err := p.start(); err != nil {
			fl.trouble(err)
			return
		}
		select {
		case <-p.done:
		case <-ctx.Done():
			p.kill()
			return
		}
		if _, err := p.running(); err == nil || strings.Contains(p.logTail(1), "no permit of it is used") || !wait(ctx, 0.5) {
			return
		}
	}
}

// killTools kills one of the tools that are under way, again and again, or stops one for a time.
func (fl *Fleet) killTools(ctx context.Context, f scenario.Fault) {
	for range f.Count {
		fl.mu.Lock()
		var all []*proc
		for _, name := range slices.Sorted(maps.Keys(fl.tools)) {
			all = append(all, fl.tools[name])
		}
		fl.mu.Unlock()
		if len(all) > 0 {
			p := all[fl.draw(len(all))]
			if f.What == "tools-stop" {
				fl.mark("the tool %s is stopped", p.name)
				p.signal(syscall.SIGSTOP)
				wait(ctx, max(f.ForS, 0.1))
				p.signal(syscall.SIGCONT)
				continue
			}
			fl.mark("the tool %s is killed", p.name)
			p.kill()
		}
		if !wait(ctx, max(f.ForS, 0.1)/float64(f.Count)) {
			return
		}
	}
}

// hitRouters kills or stops routers or cuts them from the coordinators, and has them go on when the fault is over.
func (fl *Fleet) hitRouters(ctx context.Context, f scenario.Fault, over func()) {
	routers := fl.allRouters()
	if f.Share > 0 {
		f.Count = int(math.Round(f.Share * float64(len(routers))))
	}
	fl.mu.Lock()
	fl.rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	fl.mu.Unlock()
	routers = routers[:min(f.Count, len(routers))]
	fl.mark("%s: %d", f.What, len(routers))
	var hit []*outage
	var down []*router
	var resume []*process
	for _, r := range routers {
		p := r.newest()
		if p == nil {
			continue
		}
		if f.What == "kill-routers" {
			if !r.busy.TryLock() {
				continue
			}
			defer r.busy.Unlock()
			down = append(down, r)
		}
		o := &outage{thing: "router/" + r.name, from: fl.clock.Now(), stopped: f.What == "stop-routers"}
		if f.What == "cut-routers" {
			for _, relay := range fl.toCoord[r.name] { // made before the load
				relay.SetConditions(fakes.NetworkConditions{Cut: true})
				defer relay.SetConditions(fakes.NetworkConditions{})
			}
			continue
		}
		hit = append(hit, o)
		if o.stopped {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended
			resume = append(resume, p)
			continue
		}
		fl.kill(r, p)
	}
	over()
	for _, p := range resume {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // likewise
	}
	var wg sync.WaitGroup
	for _, r := range down {
		if ctx.Err() == nil {
			wg.Go(func() {
				if p := r.newest(); p != nil { // killed, and its end not booked yet
					<-p.done
				}
				if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
					fl.trouble(err)
				}
			})
		}
	}
	wg.Wait()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, o := range hit {
		o.to = fl.clock.Now()
		if o.stopped {
			fl.journal.Add(checker.Event{At: o.from, Kind: checker.RouterPaused, Router: strings.TrimPrefix(o.thing, "router/"), Deadline: o.to - o.from})
		}
		fl.outages = append(fl.outages, *o)
	}
}

// judgeChanges tells what did not hold of planned changes. It goes by what the laboratory did and by what servers saw: the words
// of neither routers nor coordinators count. The caller holds mu.
func (fl *Fleet) judgeChanges(events []checker.Event) (fails []string) {
	o := fl.File.Fleet.Out
	allowed := map[string]int{"router": o.Routers, "server": o.Servers}
	warm := o.WarmS*1000 - warmedMS
	for _, c := range fl.changes {
		if len(c.Tokens) > 1 {
			fails = append(fails, fmt.Sprintf("%s was changed %d times, with tokens %v", c.Thing, len(c.Tokens), c.Tokens))
		}
		if c.Back == 0 {
			fails = append(fails, fmt.Sprintf("%s was not changed to the end (%d runs of the tool)", c.Thing, c.Tools))
		}
		if c.Gone == 0 {
			continue
		}
		kind, _, _ := strings.Cut(c.Thing, "/")
		out := map[string]bool{}
		for _, d := range fl.changes {
			if k, _, _ := strings.Cut(d.Thing, "/"); d != c && k == kind && d.Gone > 0 && d.Gone <= c.Gone && (d.Back == 0 || d.Back+warm > c.Gone) {
				out[fmt.Sprintf("%s (from %.0f, back %.0f)", d.Thing, d.Gone, d.Back)] = true
			}
		}
		for _, d := range fl.outages {
			if k, _, _ := strings.Cut(d.thing, "/"); k == kind && d.thing != c.Thing && d.from+noticedMS < c.Gone && (d.to == 0 || d.to > c.Gone) {
				out[d.thing] = true
			}
		}
		if len(out)+1 > allowed[kind] {
			fails = append(fails, fmt.Sprintf("%s went at %.0f ms, when %v were out and %d may be", c.Thing, c.Gone, slices.Sorted(maps.Keys(out)), allowed[kind]))
		}
	}
	// Nothing begins at a server between the word that it is drained and its return.
	of := map[string]string{} // router of a request
	for _, e := range events {
		if e.Kind == checker.Sent {
			of[e.Request] = e.Router
		}
	}
	for _, c := range fl.changes {
		id, ok := strings.CutPrefix(c.Thing, "server/")
		if !ok || c.Gone == 0 {
			continue
		}
		late := 0
		for _, e := range events {
			if e.Kind != checker.AttemptReceived || e.Server != id || e.Began <= c.Gone || c.Back > 0 && e.Began >= c.Back {
				continue
			}
			known := true
			for _, d := range fl.outages { // a process that was stopped hears of it when it goes on
				known = known && !(d.stopped && d.thing == "router/"+of[e.Request] && e.Began >= d.from && (d.to == 0 || e.Began <= d.to+2000))
			}
			if known {
				late++
			}
		}
		if late > 0 {
			fails = append(fails, fmt.Sprintf("%s: %d attempts began after it was said to be drained", c.Thing, late))
		}
	}
	return fails
}
