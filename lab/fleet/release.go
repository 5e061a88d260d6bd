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

// plants are the faults that are planted in a bad version, by what is wrong with it.
var plants = map[string]string{"fails": "fails-some", "slower": "slower"}

// Released is what became of a release of the routers from v1 to v2.
type Released struct {
	Spoil   string         `json:"spoil"`   // what is wrong with v2: never (it isn't ready), crash, fails
	TookS   float64        `json:"took_s"`  // until all had v2, or v1 again
	HaltS   float64        `json:"halt_s"`  // until it halted by itself; 0 = it didn't
	Halt    string         `json:"halt"`    // why
	Exposed int            `json:"exposed"` // routers that ever ran v2
	Actions map[string]int `json:"actions"` // by router and version: how often one was brought to it
	Repeats int            `json:"repeats"` // times that one was asked to be brought to what it had
	Refused int            `json:"refused"` // commands with an old token
	Drivers int            `json:"drivers"` // runs of the tool
}

// release has operators bring all routers from v1 to v2 by two processes of the tool, of which one drives and one waits, and which
// are started again whenever they die. Where v2 is bad, the release must halt by itself; then an operator says 'release back'.
func (fl *Fleet) releaseRouters(ctx context.Context, f scenario.Fault) {
	began := fl.clock.Now()
	rel := &Released{Spoil: f.Spoil, Actions: map[string]int{}}
	fl.mu.Lock()
	fl.released = rel
	fl.mu.Unlock()
	dir := filepath.Join(fl.o.Dir, "agent")
	script := fmt.Sprintf(`f=%s/$1.$2.$DOCKHINGE_TOKEN.$$; echo "$1 $2 $DOCKHINGE_TOKEN" >$f.tmp && mv $f.tmp $f.go; while [ ! -e $f.done ]; do sleep 0.05; done; exit $(cat $f.done)`, dir)
	file := filepath.Join(fl.o.Dir, "release.toml")
	text := fmt.Sprintf("version = 1\nname = \"lab\"\nfrom = \"v1\"\nto = \"v2\"\nbake = \"%gs\"\nstep = \"%gs\"\nlearn = \"10s\"\nleast = %d\nkind = \"checked\"\ncommand = [\"sh\", \"-c\", %q, \"sh\", \"{name}\", \"{to}\"]\n",
		max(1, f.DownS), max(20, f.ForS), f.Count, script)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fl.trouble(err)
		return
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		fl.trouble(err)
		return
	}
	inner, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { fl.agent(inner, dir, rel) })
	fl.mark("a release to v2 begins")
	wg.Go(func() { fl.killAtStep(ctx, inner, "") })
	for i := range 2 {
		wg.Go(func() { fl.drivers(inner, i, file, rel) })
	}
	reader := client.New(client.Options{Coordinators: fl.coords.addresses(), TTL: 20 * time.Second})
	asked := false
	for wait(ctx, 0.1) {
		r, err := reader.RolloutReport(ctx, 0)
		if err != nil || r.Release == nil {
			continue
		}
		x := r.Release
		if r.Halt != nil && x.GoalVersion == "v2" && rel.Halt == "" {
			fl.mu.Lock()
			rel.Halt, rel.HaltS = r.Halt.Reason, (fl.clock.Now()-began)/1000
			fl.mu.Unlock()
			fl.mark("it halts: %s", r.Halt.Reason)
		}
		if rel.Halt != "" && !asked { // an operator has seen it
			asked = fl.say(ctx, "release", "back")
		}
		if x.State == rollout.ReleaseDone {
			fl.mu.Lock()
			rel.TookS = (fl.clock.Now() - began) / 1000
			fl.mu.Unlock()
			fl.mark("all routers have %s", x.GoalVersion)
			return
		}
	}
}

// say runs the operators' tool once, and reports whether it ended well.
func (fl *Fleet) say(ctx context.Context, args ...string) bool {
	p := fl.tool("say-"+strings.Join(args, "-"), args...)
	if err := p.start(); err != nil {
		fl.trouble(err)
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

// drivers runs the tool that drives a release, again whenever it was killed.
func (fl *Fleet) drivers(ctx context.Context, i int, file string, rel *Released) {
	word := "start"
	if i > 0 {
		word = "run"
		if !wait(ctx, 2) {
			return
		}
	}
	for ctx.Err() == nil {
		p := fl.tool(fmt.Sprintf("driver-%d", i), "release", word, file)
		if word == "start" {
			p.env = append(p.env, fl.o.Kill.env(fl.o.Dir)...)
		}
		if err := p.start(); err != nil {
			fl.trouble(err)
			return
		}
		fl.mu.Lock()
		rel.Drivers++
		fl.tools[p.name] = p
		fl.mu.Unlock()
		select {
		case <-p.done:
		case <-ctx.Done():
			_ = p.end(10 * time.Second) // whatever it says: the release is over
		}
		fl.mu.Lock()
		delete(fl.tools, p.name)
		fl.mu.Unlock()
		if text := p.logTail(1); word == "run" || strings.Contains(text, "is not over") || strings.Contains(text, "towards") {
			word = "run" // it has begun, or may have: 'start' would be refused
		}
		if !wait(ctx, 0.3) {
			return
		}
	}
}

// agent is what restarts routers: it refuses a token lower than one that it has seen, and does nothing twice.
func (fl *Fleet) agent(ctx context.Context, dir string, rel *Released) {
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
				fl.trouble(fmt.Errorf("agent: %s: %w", file, err))
				return
			}
			name, to := words[0], words[1]
			token, _ := strconv.ParseUint(words[2], 10, 64)
			i := slices.IndexFunc(fl.allRouters(), func(r *router) bool { return r.name == name })
			r := fl.allRouters()[i]
			wg.Go(func() {
				r.busy.Lock()
				defer r.busy.Unlock()
				code := "0"
				mu.Lock()
				old := token < newest[name]
				newest[name] = max(newest[name], token)
				mu.Unlock()
				fl.mu.Lock()
				same := r.label == to && r.newest() != nil
				switch {
				case old:
					rel.Refused++
					code = "1"
				case same:
					rel.Repeats++
				default:
					rel.Actions[name+" "+to]++
				}
				fl.mu.Unlock()
				if !old && !same {
					fl.bring(ctx, r, to, rel)
				}
				if err := os.WriteFile(strings.TrimSuffix(file, ".go")+".done", []byte(code), 0o600); err != nil {
					fl.trouble(err)
				}
			})
		}
	}
}

// bring restarts a router with a version.
func (fl *Fleet) bring(ctx context.Context, r *router, to string, rel *Released) {
	c := &Change{Thing: "router/" + r.name, Asked: fl.clock.Now(), Gone: fl.clock.Now(), Tools: 1}
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
		c.Back = fl.clock.Now() // what is out from here on is the version's doing
		fl.mu.Unlock()
		return
	}
	err := fl.writeOperator(r)
	if err == nil {
		err = fl.startRouter(ctx, r)
	}
	if err != nil && ctx.Err() == nil {
		fl.trouble(err)
	}
	fl.mu.Lock()
	c.Back = fl.clock.Now()
	fl.mu.Unlock()
	if bad && rel.Spoil == "crash" {
		go func() { // ends with ctx, or soon
			if p := r.newest(); p != nil && wait(ctx, 1.5) {
				fl.kill(r, p)
			}
		}()
	}
}

// judgeRelease tells what did not hold of a release. The caller holds mu.
func (rel *Released) judge(routers []*router) (fails []string) {
	fail := func(form string, v ...any) { fails = append(fails, fmt.Sprintf(form, v...)) }
	for what, n := range rel.Actions {
		if n > 1 && rel.Spoil == "" { // a bad one is down by itself, and whoever takes over tries again
			fail("router %s was brought there %d times", what, n)
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
		fail("the release did not come to its end")
	}
	for _, r := range routers {
		if r.label != want {
			fail("router %s has %s at the end, not %s", r.name, r.label, want)
		}
	}
	return fails
}
