package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/internal/coord/client"
	"dockhinge.example/dockhinge/internal/rollout"
	"dockhinge.example/dockhinge/lab/scenario"
)

// mutantOfFault maps the fault of a bad version to the mutant that causes it.
var mutantOfFault = map[string]string{"fails": "fails-some", "slower": "slower"}

// Released is the outcome of a release of the routers from v1 to v2.
type Released struct {
	Spoil   string         `json:"spoil"`   // fault of v2: never (it never gets ready), crash, fails, slower; "" = none
	TookS   float64        `json:"took_s"`  // until all routers had v2, or v1 again
	HaltS   float64        `json:"halt_s"`  // until the release halted by itself; 0 = it did not
	Halt    string         `json:"halt"`    // reason of the halt
	Exposed int            `json:"exposed"` // routers that ever ran v2
	Actions map[string]int `json:"actions"` // by router and version: how often the version was installed
	Repeats int            `json:"repeats"` // requests to install a version that already ran
	Refused int            `json:"refused"` // commands rejected for an old token
	Drivers int            `json:"drivers"` // runs of the tool
}

// releaseRouters releases v2 to all routers by two processes of the operators' tool, of which one
// drives and one waits. They are restarted whenever they exit. If v2 is bad, the release must halt
// by itself; then an operator runs 'release back'.
func (fl *Fleet) releaseRouters(ctx context.Context, f scenario.Fault) {
	began := fl.clock.Now()
	rel := &Released{Spoil: f.Spoil, Actions: map[string]int{}}
	fl.mu.Lock()
	fl.released = rel
	fl.mu.Unlock()
	dir := filepath.Join(fl.options.Dir, "agent")
	script := fmt.Sprintf(`f=%s/$1.$2.$DOCKHINGE_TOKEN.$$; echo "$1 $2 $DOCKHINGE_TOKEN" >$f.tmp && mv $f.tmp $f.go; while [ ! -e $f.done ]; do sleep 0.05; done; exit $(cat $f.done)`, dir)
	file := filepath.Join(fl.options.Dir, "release.toml")
	text := fmt.Sprintf("version = 1\nname = \"lab\"\nfrom = \"v1\"\nto = \"v2\"\nbake = \"%gs\"\nstep = \"%gs\"\nlearn = \"10s\"\nleast = %d\nkind = \"checked\"\ncommand = [\"sh\", \"-c\", %q, \"sh\", \"{name}\", \"{to}\"]\n",
		max(1, f.DownS), max(20, f.ForS), f.Count, script)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fl.recordLabError(err)
		return
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		fl.recordLabError(err)
		return
	}
	releaseCtx, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { fl.runAgent(releaseCtx, dir, rel) })
	fl.mark("a release to v2 begins")
	wg.Go(func() { fl.killAtStep(ctx, releaseCtx, "") })
	for i := range 2 {
		wg.Go(func() { fl.runDriver(releaseCtx, i, file, rel) })
	}
	reader := client.New(client.Options{Coordinators: fl.coordinators.addresses(), TTL: 20 * time.Second})
	isRollbackRequested := false
	for wait(ctx, 0.1) {
		r, err := reader.RolloutReport(ctx, 0)
		if err != nil || r.Release == nil {
			continue
		}
		release := r.Release
		if r.Halt != nil && release.GoalVersion == "v2" && rel.Halt == "" {
			fl.mu.Lock()
			rel.Halt, rel.HaltS = r.Halt.Reason, (fl.clock.Now()-began)/1000
			fl.mu.Unlock()
			fl.mark("the release halts: %s", r.Halt.Reason)
		}
		if rel.Halt != "" && !isRollbackRequested { // the operator reacts to the halt
			isRollbackRequested = fl.runTool(ctx, "release", "back")
		}
		if release.State == rollout.ReleaseDone {
			fl.mu.Lock()
			rel.TookS = (fl.clock.Now() - began) / 1000
			fl.mu.Unlock()
			fl.mark("all routers have %s", release.GoalVersion)
			return
		}
	}
}

// runTool runs the operators' tool once and reports whether it succeeded.
func (fl *Fleet) runTool(ctx context.Context, args ...string) bool {
	p := fl.newToolProcess("say-"+strings.Join(args, "-"), args...)
	if err := p.start(); err != nil {
		fl.recordLabError(err)
		return false
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		p.kill()
	}
	_, err := p.running()
	return err == nil && ctx.Err() == nil
}

// runDriver runs the tool that drives a release, and runs it again whenever it exits.
func (fl *Fleet) runDriver(ctx context.Context, i int, file string, rel *Released) {
	subcommand := "start"
	if i > 0 {
		subcommand = "run"
		if !wait(ctx, 2) {
			return
		}
	}
	for ctx.Err() == nil {
		p := fl.newToolProcess(fmt.Sprintf("driver-%d", i), "release", subcommand, file)
		if subcommand == "start" {
			p.env = append(p.env, fl.options.Kill.env(fl.options.Dir)...)
		}
		if err := p.start(); err != nil {
			fl.recordLabError(err)
			return
		}
		fl.mu.Lock()
		rel.Drivers++
		fl.runningTools[p.name] = p
		fl.mu.Unlock()
		select {
		case <-p.done:
		case <-ctx.Done():
			_ = p.end(10 * time.Second) // its result doesn't matter: the release is over
		}
		fl.mu.Lock()
		delete(fl.runningTools, p.name)
		fl.mu.Unlock()
		if text := p.logTail(1); subcommand == "run" || strings.Contains(text, "is not over") ||
			strings.Contains(text, "towards") {
			subcommand = "run" // the release has started, or may have: 'start' would be rejected
		}
		if !wait(ctx, 0.3) {
			return
		}
	}
}

// runAgent plays the agent that installs versions on routers: it rejects a token lower than one
// that it has seen, and does not repeat what it has done.
func (fl *Fleet) runAgent(ctx context.Context, dir string, rel *Released) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	newest := map[string]uint64{}
	seen := map[string]bool{}
	for wait(ctx, 0.02) {
		files, _ := filepath.Glob(filepath.Join(dir, "*.go")) // the pattern is well-formed
		for _, file := range files {
			if seen[file] {
				continue
			}
			seen[file] = true
			text, err := os.ReadFile(file)
			words := strings.Fields(string(text))
			if err != nil || len(words) != 3 {
				fl.recordLabError(fmt.Errorf("agent: %s: %w", file, err))
				return
			}
			name, to := words[0], words[1]
			token, _ := strconv.ParseUint(words[2], 10, 64)
			i := slices.IndexFunc(fl.allRouters(), func(r *router) bool { return r.name == name })
			r := fl.allRouters()[i]
			wg.Go(func() {
				r.downMu.Lock()
				defer r.downMu.Unlock()
				code := "0"
				mu.Lock()
				isOldToken := token < newest[name]
				newest[name] = max(newest[name], token)
				mu.Unlock()
				fl.mu.Lock()
				isInstalled := r.label == to && r.newest() != nil
				switch {
				case isOldToken:
					rel.Refused++
					code = "1"
				case isInstalled:
					rel.Repeats++
				default:
					rel.Actions[name+" "+to]++
				}
				fl.mu.Unlock()
				if !isOldToken && !isInstalled {
					fl.installVersion(ctx, r, to, rel)
				}
				if err := os.WriteFile(strings.TrimSuffix(file, ".go")+".done", []byte(code), 0o600); err != nil {
					fl.recordLabError(err)
				}
			})
		}
	}
}

// installVersion restarts a router with a version of its program.
func (fl *Fleet) installVersion(ctx context.Context, r *router, to string, rel *Released) {
	c := &Change{Resource: "router/" + r.name, RequestedAtMS: fl.clock.Now(), StoppedAtMS: fl.clock.Now(), ToolRuns: 1}
	fl.mu.Lock()
	r.label = to
	fl.changes = append(fl.changes, c)
	if to == "v2" {
		rel.Exposed++
	}
	fl.mu.Unlock()
	if p := r.newest(); p != nil {
		fl.front.ReportRouterDeath(r.name, 300)
		r.signal(p, syscall.SIGTERM)
		<-p.done
	}
	bad := to == "v2" && rel.Spoil != ""
	if bad && rel.Spoil == "never" {
		fl.mu.Lock()
		c.RunningAtMS = fl.clock.Now() // from here on the version itself causes the outage
		fl.mu.Unlock()
		return
	}
	err := fl.writeOperator(r)
	if err == nil {
		err = fl.startRouter(ctx, r)
	}
	if err != nil && ctx.Err() == nil {
		fl.recordLabError(err)
	}
	fl.mu.Lock()
	c.RunningAtMS = fl.clock.Now()
	fl.mu.Unlock()
	if bad && rel.Spoil == "crash" {
		go func() { // ends with ctx, or soon
			if p := r.newest(); p != nil && wait(ctx, 1.5) {
				fl.kill(r, p)
			}
		}()
	}
}

// check returns the failures of a release. The caller holds Fleet.mu.
func (rel *Released) check(routers []*router) (fails []string) {
	fail := func(format string, v ...any) { fails = append(fails, fmt.Sprintf(format, v...)) }
	for what, n := range rel.Actions {
		if n > 1 && rel.Spoil == "" { // a bad version goes down by itself, and the driver that takes over tries again
			fail("router and version %s: installed %d times", what, n)
		}
	}
	want := "v2"
	if rel.Spoil != "" {
		want = "v1"
		if rel.Halt == "" {
			fail("v2 is bad (%s), and the release did not halt by itself", rel.Spoil)
		}
	} else if rel.Halt != "" {
		fail("v2 is as good as v1, and the release halted: %s", rel.Halt)
	}
	if rel.TookS == 0 {
		fail("the release did not complete")
	}
	for _, r := range routers {
		if r.label != want {
			fail("router %s has %s at the end, not %s", r.name, r.label, want)
		}
	}
	return fails
}
