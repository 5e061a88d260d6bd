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

// StepKill names a process to kill while the operators' tool is paused at one of its steps. Only
// builds with the tag faults can pause.
type StepKill struct{ Step, Victim string }

// Steps of the driver of a release and of the tool that changes one resource, and the processes
// that can be killed at them. The victims "router" and "server" are the ones that are being
// changed.
var (
	DriverSteps   = []string{"started", "granted", "begun", "step-begun", "step-ran", "step-seen", "step-back"}
	DriverVictims = []string{"tool", "leader", "follower", "router", "other-router", "other-driver"}
	ToolSteps     = []string{"granted", "begun", "drained", "ran", "given-back"}
	ToolVictims   = []string{"tool", "leader", "follower", "other-router", "server"}
)

// env returns the environment that makes the tool pause at the step, or exit there if it is the
// victim.
func (k *StepKill) env(dir string) []string {
	switch {
	case k == nil:
		return nil
	case k.Victim == "tool":
		return []string{"DOCKHINGE_KILL_AT=" + k.Step}
	}
	return []string{"DOCKHINGE_PAUSE_AT=" + k.Step, "DOCKHINGE_PAUSE_FILE=" + filepath.Join(dir, "at-step")}
}

// killAtStep waits until the tool is paused at its step, kills the victim, lets the tool continue,
// and restarts the victim a little later, as a process supervisor would. resource is what is being
// changed; once changeCtx is done, no process is killed any more.
func (fl *Fleet) killAtStep(ctx, changeCtx context.Context, resource string) {
	k := fl.options.Kill
	if k == nil || k.Victim == "tool" {
		return
	}
	file := filepath.Join(fl.options.Dir, "at-step")
	for {
		if _, err := os.Stat(file); err == nil {
			break
		}
		if !wait(changeCtx, 0.01) {
			return
		}
	}
	restartVictim := func() error { return nil }
	switch k.Victim {
	case "leader", "follower":
		fl.coordinatorsDownMu.Lock()
		defer fl.coordinatorsDownMu.Unlock()
		l, err := fl.coordinators.leader(ctx)
		if err != nil {
			fl.recordLabError(err)
			break
		}
		c := l
		if k.Victim == "follower" {
			c = fl.coordinators.nodes[(l.number+1)%len(fl.coordinators.nodes)]
		}
		c.kill()
		restartVictim = c.start
	case "router", "other-router":
		routers := fl.allRouters()
		slices.SortFunc(routers, func(a,
			b *router) int {
			return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.name, b.name))
		})
		i := slices.IndexFunc(routers, func(r *router) bool { return "router/"+r.name == resource })
		r := routers[max(0, i)]
		if k.Victim == "other-router" {
			r = routers[(max(0, i)+1)%len(routers)]
		}
		r.downMu.Lock()
		defer r.downMu.Unlock()
		if p := r.newest(); p != nil {
			fl.kill(r, p)
			<-p.done
			restartVictim = func() error { return fl.startRouter(ctx, r) }
		}
	case "server":
		for _, m := range fl.allMembers() {
			// otherwise the tool's command already has it down
			if "server/"+m.entry.ID == resource && m.downMu.TryLock() {
				defer m.downMu.Unlock()
				m.Kill()
				restartVictim = func() error { fl.restartServer(m); return nil }
			}
		}
	case "other-driver":
		fl.mu.Lock()
		p := fl.runningTools["driver-1"]
		fl.mu.Unlock()
		if p != nil { // runDriver restarts it
			p.kill()
		}
	}
	fl.mark("%s is killed at the step %s", k.Victim, k.Step)
	fl.mu.Lock()
	fl.isVictimKilled = true
	fl.mu.Unlock()
	if err := os.WriteFile(file+".go", nil, 0o600); err != nil {
		fl.recordLabError(err)
	}
	if !wait(ctx, 0.7) {
		return
	}
	if err := restartVictim(); err != nil && ctx.Err() == nil {
		fl.recordLabError(err)
	}
}

// kill sends SIGKILL to a router's process and reports the router's death to the front.
func (fl *Fleet) kill(r *router, p *process) {
	fl.journal.Add(checker.Event{At: fl.clock.Now(), Kind: checker.RouterKilled, Router: r.name})
	r.signal(p, syscall.SIGKILL)
	fl.front.ReportRouterDeath(r.name, fl.File.Fleet.NoticeMS)
}

// StepKillTimeout is the time that a run with a kill at a step may take after the end of its load.
const StepKillTimeout = 2 * time.Minute
