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

// Change is one planned change of a router or cache server: the operators' tool waits for the
// permit and runs a command, which here is the lab's own. Times are milliseconds on the lab's
// clock; 0 = not yet.
type Change struct {
	Resource      string   `json:"thing"`
	RequestedAtMS float64  `json:"asked_ms"`
	StoppedAtMS   float64  `json:"gone_ms"` // the command ran: the process may be stopped
	RunningAtMS   float64  `json:"back_ms"` // the process runs again
	ToolRuns      int      `json:"tools"`   // runs of the tool
	Tokens        []uint64 `json:"tokens"`  // of the command's runs; more than one means that the change was made twice
}

// outage is the time in which a fault has a router or cache server down or paused.
type outage struct {
	resource string
	from, to float64 // to is 0 while it lasts
	paused   bool    // the process was paused: when it resumes it may act on old state
}

// noticeTimeoutMS is how long the fleet may take to notice an outage: the time of a session, a
// report and a probe.
const noticeTimeoutMS = 8000

// clockToleranceMS is taken off the warm-up time, since the fleet's clock may run faster.
const clockToleranceMS = 100

// upgradeTimeout bounds the wait for a leader that puts the newest version in force. On a busy
// machine the first leader may be replaced at any moment.
const upgradeTimeout = 20 * time.Second

// upgradeCoordinators requests the current leader to put the newest version in force. It may be
// called again.
func (fl *Fleet) upgradeCoordinators(ctx context.Context) error {
	leader, err := fl.coordinators.leader(ctx)
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
			text += fmt.Sprintf("[[budget]]\nname = \"%ss\"\nkind = \"%s\"\nmost = %d\nwarm = \"%gs\"\n",
				kind, kind, n, o.WarmS)
		}
	}
	path := filepath.Join(fl.options.Dir, "budgets.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if err := retryUntil(ctx, upgradeTimeout, func() error { return fl.upgradeCoordinators(ctx) }); err != nil {
		return err
	}
	p := fl.newToolProcess("budgets", "budgets", "set", path)
	if err := p.start(); err != nil {
		return err
	}
	<-p.done
	if _, err := p.running(); err != nil {
		return fmt.Errorf("budgets: %w\n%s", err, p.logTail(5))
	}
	return nil
}

// newToolProcess returns a process of the operators' tool that has not been started.
func (fl *Fleet) newToolProcess(name string, args ...string) *restartableProcess {
	var all []string
	for n, addr := range fl.coordinators.addresses() {
		all = append(all, n+"="+addr)
	}
	return &restartableProcess{name: name, command: append([]string{fl.options.CoordinatorCommand[0]}, args...),
		env: []string{"DOCKHINGE_COORDINATORS=" + strings.Join(all, ",")}, dir: fl.options.Dir}
}

// draw draws a random number from 0 to n-1.
func (fl *Fleet) draw(n int) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rng.IntN(n)
}

// requestChanges starts planned changes of servers or routers, all at the same time. Each waits
// for a permit of its own.
func (fl *Fleet) requestChanges(ctx context.Context, f scenario.Fault) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if f.What == "change-servers" {
		servers := fl.pickServers(f)
		fl.mark("operators want to change %d cache servers", len(servers))
		for _, m := range servers {
			wg.Go(func() {
				notifyDiscovery := func() {}
				if f.DrainS > 0 { // operators update discovery too, once the change has begun
					notifyDiscovery = func() {
						if !m.downMu.TryLock() { // a fault has the server down and updates discovery
							return
						}
						defer m.downMu.Unlock()
						e := m.entry
						e.State = "leaving"
						fl.discovery.ScheduleChange(e)
					}
				}
				fl.runChange(ctx, "server/"+m.entry.ID, &m.downMu, notifyDiscovery, func() {
					m.Kill()
					wait(ctx, max(f.DownS, 0.1))
					fl.restartServer(m)
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
			fl.runChange(ctx, "router/"+r.name, &r.downMu, func() {}, func() {
				if p := r.newest(); p != nil { // a fault may have it down
					fl.front.ReportRouterDeath(r.name, 300)
					r.signal(p, syscall.SIGTERM)
					<-p.done
				}
				wait(ctx, f.DownS)
				if r.newest() == nil && ctx.Err() == nil {
					if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
						fl.recordLabError(err)
					}
				}
			})
		})
	}
}

// runChange runs the tool until the change is done. If the tool dies before its command has
// run, it is run again, as an operator would do. If it dies later, the change is already being
// made and is not repeated.
func (fl *Fleet) runChange(ctx context.Context, resource string, downMu *sync.Mutex,
	notifyDiscovery, makeChange func()) {
	c := &Change{Resource: resource, RequestedAtMS: fl.clock.Now()}
	fl.mu.Lock()
	first := len(fl.changes) == 0 // Options.Kill refers to the steps of the first change
	fl.changes = append(fl.changes, c)
	fl.mu.Unlock()
	if first {
		changeCtx, end := context.WithCancel(ctx)
		var wg sync.WaitGroup
		defer wg.Wait()
		defer end()
		wg.Go(func() { fl.killAtStep(ctx, changeCtx, resource) })
	}
	base := filepath.Join(fl.options.Dir, strings.ReplaceAll(resource, "/", "-"))
	// The command writes its token to a file for the lab, and waits until the lab has made the
	// change.
	script := fmt.Sprintf(`echo $DOCKHINGE_TOKEN >%[1]s.tmp && mv %[1]s.tmp %[1]s.go; while [ ! -e %[1]s.done ]; do sleep 0.05; done`, base)
	for ctx.Err() == nil {
		p := fl.newToolProcess(filepath.Base(base), "permit", "take", resource, "--as",
			"operator/"+filepath.Base(base), "--why", "the laboratory changes it", "--", "sh", "-c", script)
		if first && c.ToolRuns == 0 {
			p.env = append(p.env, fl.options.Kill.env(fl.options.Dir)...)
		}
		if err := p.start(); err != nil {
			fl.recordLabError(err)
			return
		}
		fl.mu.Lock()
		c.ToolRuns++
		fl.runningTools[resource] = p
		fl.mu.Unlock()
		hasExited, isNotified := false, false
		for !hasExited && c.RunningAtMS == 0 {
			select {
			case <-p.done:
				hasExited = true
			case <-ctx.Done():
				p.kill()
				return
			case <-time.After(20 * time.Millisecond):
			}
			if !isNotified && strings.Contains(p.logTail(1), "until nothing more is sent to it") {
				isNotified = true
				notifyDiscovery()
			}
			text, err := os.ReadFile(base + ".go")
			if err != nil {
				continue
			}
			token, _ := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
			fl.mu.Lock()
			c.StoppedAtMS, c.Tokens = fl.clock.Now(), append(c.Tokens, token)
			fl.mu.Unlock()
			downMu.Lock()                  // a fault may have the process down
			if up, _ := p.running(); !up { // the command ended with its tool before the change began
				downMu.Unlock()
				fl.mu.Lock()
				c.StoppedAtMS, c.Tokens = 0, nil
				fl.mu.Unlock()
				if err := os.Remove(base + ".go"); err != nil {
					fl.recordLabError(err)
				}
				break
			}
			makeChange()
			downMu.Unlock()
			fl.mu.Lock()
			c.RunningAtMS = fl.clock.Now()
			fl.mu.Unlock()
			_ = os.Rename(base+".go", base+".was")
			if err := os.WriteFile(base+".done", nil, 0o600); err != nil {
				fl.recordLabError(err)
			}
		}
		select { // the tool gives the permit back
		case <-p.done:
		case <-ctx.Done():
			p.kill()
		}
		fl.mu.Lock()
		delete(fl.runningTools, resource)
		done := c.RunningAtMS > 0
		fl.mu.Unlock()
		// the tool died during the change: its operator clears the permit
		if _, err := p.running(); done && err != nil {
			fl.clearPermit(ctx, resource)
		}
		if done || !wait(ctx, 0.2) {
			return
		}
	}
}

// clearPermit clears a permit whose holder died, as an operator would. Until then the permit counts
// as used.
func (fl *Fleet) clearPermit(ctx context.Context, resource string) {
	for range 30 {
		p := fl.newToolProcess(strings.ReplaceAll(resource, "/", "-")+"-clear", "permit", "clear", resource)
		if err := p.start(); err != nil {
			fl.recordLabError(err)
			return
		}
		select {
		case <-p.done:
		case <-ctx.Done():
			p.kill()
			return
		}
		if _, err := p.running(); err == nil || strings.Contains(p.logTail(1), "no permit of it is used") ||
			!wait(ctx, 0.5) {
			return
		}
	}
}

// killTools kills or pauses a running tool f.Count times.
func (fl *Fleet) killTools(ctx context.Context, f scenario.Fault) {
	for range f.Count {
		fl.mu.Lock()
		var all []*restartableProcess
		for _, name := range slices.Sorted(maps.Keys(fl.runningTools)) {
			all = append(all, fl.runningTools[name])
		}
		fl.mu.Unlock()
		if len(all) > 0 {
			p := all[fl.draw(len(all))]
			if f.What == "tools-stop" {
				fl.mark("the tool %s is paused", p.name)
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

// faultRouters kills or pauses routers or cuts them off from the coordinators, and reverts that
// when the fault is over.
func (fl *Fleet) faultRouters(ctx context.Context, f scenario.Fault, waitUntilOver func()) {
	routers := fl.allRouters()
	if f.Share > 0 {
		f.Count = int(math.Round(f.Share * float64(len(routers))))
	}
	fl.mu.Lock()
	fl.rng.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	fl.mu.Unlock()
	routers = routers[:min(f.Count, len(routers))]
	fl.mark("%s: %d", f.What, len(routers))
	var faultOutages []*outage
	var killed []*router
	var paused []*process
	for _, r := range routers {
		p := r.newest()
		if p == nil {
			continue
		}
		if f.What == "kill-routers" {
			if !r.downMu.TryLock() {
				continue
			}
			defer r.downMu.Unlock()
			killed = append(killed, r)
		}
		o := &outage{resource: "router/" + r.name, from: fl.clock.Now(), paused: f.What == "stop-routers"}
		if f.What == "cut-routers" {
			for _, relay := range fl.coordinatorRelays[r.name] { // all relays were made before the load
				relay.SetConditions(fakes.NetworkConditions{Cut: true})
				defer relay.SetConditions(fakes.NetworkConditions{})
			}
			continue
		}
		faultOutages = append(faultOutages, o)
		if o.paused {
			_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended
			paused = append(paused, p)
			continue
		}
		fl.kill(r, p)
	}
	waitUntilOver()
	for _, p := range paused {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
	}
	var wg sync.WaitGroup
	for _, r := range killed {
		if ctx.Err() == nil {
			wg.Go(func() {
				if p := r.newest(); p != nil { // killed, but its exit is not recorded yet
					<-p.done
				}
				if err := fl.startRouter(ctx, r); err != nil && ctx.Err() == nil {
					fl.recordLabError(err)
				}
			})
		}
	}
	wg.Wait()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, o := range faultOutages {
		o.to = fl.clock.Now()
		if o.paused {
			fl.journal.Add(checker.Event{At: o.from, Kind: checker.RouterPaused,
				Router: strings.TrimPrefix(o.resource, "router/"), Deadline: o.to - o.from})
		}
		fl.outages = append(fl.outages, *o)
	}
}

// checkChanges returns the failures of planned changes. It uses what the lab did and what the
// servers saw, not what routers or coordinators report. The caller holds mu.
func (fl *Fleet) checkChanges(events []checker.Event) (fails []string) {
	o := fl.File.Fleet.Out
	allowed := map[string]int{"router": o.Routers, "server": o.Servers}
	warm := o.WarmS*1000 - clockToleranceMS
	for _, c := range fl.changes {
		if len(c.Tokens) > 1 {
			fails = append(fails, fmt.Sprintf("%s was changed %d times, with tokens %v",
				c.Resource, len(c.Tokens), c.Tokens))
		}
		if c.RunningAtMS == 0 {
			fails = append(fails, fmt.Sprintf("the change of %s was not completed (%d runs of the tool)",
				c.Resource, c.ToolRuns))
		}
		if c.StoppedAtMS == 0 {
			continue
		}
		kind, _, _ := strings.Cut(c.Resource, "/")
		out := map[string]bool{}
		for _, d := range fl.changes {
			if k, _, _ := strings.Cut(d.Resource, "/"); d != c && k == kind && d.StoppedAtMS > 0 &&
				d.StoppedAtMS <= c.StoppedAtMS && (d.RunningAtMS == 0 || d.RunningAtMS+warm > c.StoppedAtMS) {
				out[fmt.Sprintf("%s (from %.0f, back %.0f)", d.Resource, d.StoppedAtMS, d.RunningAtMS)] = true
			}
		}
		for _, d := range fl.outages {
			if k, _, _ := strings.Cut(d.resource, "/"); k == kind && d.resource != c.Resource &&
				d.from+noticeTimeoutMS < c.StoppedAtMS && (d.to == 0 || d.to > c.StoppedAtMS) {
				out[d.resource] = true
			}
		}
		if len(out)+1 > allowed[kind] {
			fails = append(fails, fmt.Sprintf("%s was stopped at %.0f ms while %v were out, and at most %d may be",
				c.Resource, c.StoppedAtMS, slices.Sorted(maps.Keys(out)), allowed[kind]))
		}
	}
	// No attempt may begin at a server between the report that it is drained and its return.
	routerOf := map[string]string{} // router of a request
	for _, e := range events {
		if e.Kind == checker.Sent {
			routerOf[e.Request] = e.Router
		}
	}
	for _, c := range fl.changes {
		id, ok := strings.CutPrefix(c.Resource, "server/")
		if !ok || c.StoppedAtMS == 0 {
			continue
		}
		late := 0
		for _, e := range events {
			if e.Kind != checker.AttemptReceived || e.Server != id || e.Began <= c.StoppedAtMS ||
				c.RunningAtMS > 0 && e.Began >= c.RunningAtMS {
				continue
			}
			isKnown := true
			for _, d := range fl.outages { // a paused process learns of the drain when it resumes
				isKnown = isKnown && !(d.paused && d.resource == "router/"+routerOf[e.Request] &&
					e.Began >= d.from && (d.to == 0 || e.Began <= d.to+2000))
			}
			if isKnown {
				late++
			}
		}
		if late > 0 {
			fails = append(fails, fmt.Sprintf("%s: %d attempts began after it was reported as drained",
				c.Resource, late))
		}
	}
	return fails
}
