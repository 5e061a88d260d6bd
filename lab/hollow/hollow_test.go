package hollow

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// coordCommand builds dockhinge-coord.
func coordCommand(t *testing.T) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "dockhinge-coord")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", path, "dockhinge.example/dockhinge/cmd/dockhinge-coord")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	return []string{path}
}

// A small fleet joins three coordinators, rests, and applies drains; every figure of a step is measured.
func TestStepMeasuresEveryFigure(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute) // takes 10 s on an idle machine
	defer cancel()
	o := Options{Coordinators: 3, Command: coordCommand(t), RegionRouters: 20, RegionServers: 150, TTL: 3 * time.Second,
		HeartbeatTimeout: time.Second, Idle: 2 * time.Second, Drains: 2, Timeout: 40 * time.Second}
	run := NewRun("test", o)
	for _, n := range []int{10, 20, 40} {
		o.Dir = t.TempDir()
		step, err := MeasureStep(ctx, n, o)
		if err != nil {
			t.Fatalf("%d routers: %v", n, err)
		}
		if step.Routers != n || len(step.Idle) != 3 || step.Drains != 2 || step.ReportedPairs != n*150 {
			t.Errorf("%+v", step)
		}
		l, v := step.Leader(), step.MaxOtherVoter()
		if l.ResidentMB <= 0 || v.ResidentMB <= 0 || l.ReadPerS <= 0 || v.ReadPerS <= 0 || l.Descriptors <= n {
			t.Errorf("leader %+v, voter %+v", l, v)
		}
		if step.RouterInPerS <= 0 || step.RouterOutPerS <= 0 || step.Connections < 1 ||
			step.JoinRouterOut <= 0 || step.DrainRouterIn <= 0 {
			t.Errorf("%+v", step)
		}
		if step.SessionS > step.ReportedS || step.DrainP50MS > step.DrainP99MS || step.DrainP99MS > step.DrainLastMS ||
			step.DrainLastMS > step.DrainAckedMS || step.RestartS <= 0 || step.RestartFailed != "" {
			t.Errorf("durations in the wrong order, or the restart failed: %+v", step)
		}
		run.Steps = append(run.Steps, step)
	}
	if err := run.Fit(); err != nil || len(run.Slopes) != len(figures) {
		t.Errorf("%d slopes of %d figures: %v", len(run.Slopes), len(figures), err)
	}
}

// An unfinished step returns an error and gives no point for the slopes.
func TestUnfinishedStepGivesNoSlopes(t *testing.T) {
	o := Options{Coordinators: 1, Command: coordCommand(t), Dir: t.TempDir(), RegionRouters: 10,
		RegionServers: 4, HeartbeatTimeout: time.Second, TTL: 10 * time.Second, Timeout: time.Nanosecond}
	step, err := MeasureStep(t.Context(), 5, o)
	if err == nil {
		t.Fatal("the step finished within a timeout of 1 ns")
	}
	step.Failed = err.Error()
	run := NewRun("test", o)
	run.Steps = []Step{step, step, step}
	if run.Fit() == nil || len(run.Slopes) > 0 {
		t.Errorf("%d slopes of unfinished steps", len(run.Slopes))
	}
}
