package fleet

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"dockhinge.example/dockhinge/lab/checker"
)

// StepKill has a process killed just while the operators' tool stands at one of its steps (a build with the tag faults names them).
type StepKill struct{ Step, Victim string }

// The steps of a driver of a release, those of the tool that changes one thing, and who is killed there. The router, or the cache
// server, is the one that is being changed.
var (
	DriverSteps   = []string{"started", "granted", "begun", "step-begun", "step-ran", "step-seen", "step-back"}
	DriverVictims = []string{"tool", "leader", "follower", "router", "other-router", "other-driver"}
	ToolSteps     = []string{"granted", "begun", "drained", "ran", "given-back"}
	ToolVictims   = []string{"tool", "leader", "follower", "other-router", "server"}
)

// env has the tool wait at the step, or die there.
func (k *StepKill) env(dir string) []string {
	switch {
	case k == nil:
		return nil
	case k.Victim == "tool":
		return []string{"DOCKHINGE_KILL_AT=" + k.Step}
	}
	return []string{"DOCKHINGE_PAUSE_AT=" + k.Step, "DOCKHINGE_PAUSE_FILE=" + filepath.Join(dir, "at-step")}
}

// killAtStep waits until the tool stands at its step, kills the victim, lets the tool go on, and starts the victim again a little
// later, as what supervises processes would. thing is what is being changed; once its change is over, nobody is killed any more.
func (fl *Fleet) killAtStep(ctx, change context.Context, thing string) {
	k := fl.o.Kill
	if k == nil || k.Victim == "tool" {
		return
	}
	file := filepath.Join(fl.o.Dir, "at-step")
	for {
		if _, err := os.Stat(file); err == nil {
			break
		}
		if !wait(change, 0.01) {
			return
		}
	}
	again := func() error { return nil }
	switch k.Victim {
	case "leader", "follower":
		fl.coordsBusy.Lock()
		defer fl.coordsBusy.Unlock()
		l, err := fl.coords.leader(ctx)
		if err != nil {
			fl.trouble(err)
			break
		}
		c := l
		if k.Victim == "follower" {
			c = fl.coords.coords[(l.number+1)%len(fl.coords.coords)]
		}
		c.kill()
		again = c.start
	case "router", "other-router":
		routers := fl.allRouters()
		slices.SortFunc(routers, func(a, b *router) int { return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.name, b.name)) })
		i := slices.IndexFunc(routers, func(r *router) bool { return "router/"+r.name == thing })
		r := routers[max(0, i)]
		if k.Victim == "other-router" {
			r = routers[(max(0, i)+1)%len(routers)]
		}
		r.busy.Lock()
		defer r.busy.Unlock()
		if p := r.newest(); p != nil {
			fl.kill(r, p)
			<-p.done
			again = func() error { return fl.startRouter(ctx, r) }
		}
	case "server":
		for _, m := range fl.allMembers() {
			if "server/"+m.entry.ID == thing && m.busy.TryLock() { // else it is down already, by the tool's command
				defer m.busy.Unlock()
				m.Kill()
				again = func() error { fl.back(m); return nil }
			}
		}
	case "other-driver":
		fl.mu.Lock()
		p := fl.tools["driver-1"]
		fl.mu.Unlock()
		if p != nil { // whoever started it starts it again
			p.kill()
		}
	}
	fl.mark("%s is killed at the step %s", k.Victim, k.Step)
	fl.mu.Lock()
	fl.killed = true
	fl.mu.Unlock()
	if err := os.WriteFile(file+".go", nil, 0o600); err != nil {
		fl.trouble(err)
	}
	if !wait(ctx, 0.7) {
		return
	}
	if err := again(); err != nil && ctx.Err() == nil {
		fl.trouble(err)
	}
}

// kill ends a router's process at once.
func (fl *Fleet) kill(r *router, p *process) {
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.RouterKilled, Router: r.name})
	r.signal(p, syscall.SIGKILL)
	fl.front.ReportRouterDeath(r.name, fl.File.Fleet.NoticeMS)
}

// StepsPatience is how long a run with a kill at a step may last beyond its load.
const StepsPatience = 2 * time.Minute
