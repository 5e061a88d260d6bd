package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestPlan() ReleasePlan {
	return ReleasePlan{
		Name: "x", FromVersion: "a", ToVersion: "b", FirstWave: 1, GrowthFactor: 2,
		BakeTime: 10 * time.Second, StepTimeout: time.Minute,
	}
}

// newFleetInRelease returns a fleet of n routers r00, r01 and so on with version a, in which a
// release to version b has just started.
func newFleetInRelease(n int, plan ReleasePlan) *testFleet {
	f := newTestFleet(Budget{Name: "r", Kind: KindRouter, MaxOut: 3, SlowStart: 2 * time.Second})
	for i := range n {
		f.reportVersion(fmt.Sprintf("r%02d", i), "a", 0, 0)
	}
	f.advance(time.Hour)
	f.mustApply(Command{Op: OpStartRelease, Plan: &plan}, "ann")
	return f
}

// reportVersion makes a ready router report its version and its request counts.
func (f *testFleet) reportVersion(name, version string, served, failed int64) {
	report := &RouterReport{
		Zone: "z" + name[len(name)-1:], Version: version, IsReady: true, Served: served, Failed: failed,
	}
	f.mustApply(Command{Op: OpReport, Report: report}, RouterClientPrefix+name)
}

// update updates one router as a release driver does, provided that the permit is granted at once.
// The router comes back with version; "" means that it doesn't come back.
func (f *testFleet) update(name, version string) {
	command := Command{Op: OpRequestPermit, Kind: KindRouter, Name: name, Priority: PriorityRelease}
	permit := f.mustApply(command, "release")
	if permit.Stage != StageGranted {
		f.mustApply(Command{Op: OpCancelPermit, Kind: KindRouter, Name: name}, "release")
		return
	}
	f.mustApply(Command{Op: OpBeginOutage, Kind: KindRouter, Name: name, Token: permit.Token}, "release")
	f.endSession(RouterClientPrefix + name)
	if version != "" {
		f.reportVersion(name, version, 0, 0)
		f.mustApply(Command{Op: OpEndOutage, Kind: KindRouter, Name: name, Token: permit.Token}, "release")
	}
}

// waveRecord is a test's own record of the waves of a release.
type waveRecord struct {
	*testFleet
	t    *rapid.T
	plan ReleasePlan
	// sizes are the sizes of the waves according to the plan.
	sizes []int
	// wave is the index of the current wave.
	wave int
	// isComplete reports whether all routers of the wave have been updated.
	isComplete bool
	// completeAt is since when isComplete is set.
	completeAt time.Duration
}

// check checks the current wave against the record.
func (r *waveRecord) check() {
	release := r.state.Release
	for r.wave < len(r.sizes) && r.sizes[r.wave] != release.WaveSize {
		r.wave++
		if !r.isComplete || r.now < r.completeAt+r.plan.BakeTime {
			r.t.Fatalf("wave %d of %v begins at %v, the previous one was complete at %v",
				r.wave, r.sizes, r.now, r.completeAt)
		}
		r.isComplete = false
	}
	if r.wave == len(r.sizes) {
		r.t.Fatalf("wave size %d is not in %v", release.WaveSize, r.sizes)
	}
	if len(r.state.UpdatedRouters()) >= release.WaveSize && len(r.state.PendingRouters()) == 0 {
		r.recordComplete()
	}
}

func (r *waveRecord) recordComplete() {
	if !r.isComplete {
		r.isComplete = true
		r.completeAt = r.now
	}
}

// Guards against a wave that begins before the previous one is complete and has baked, and against
// a release that stops half-way. A driver updates routers in random order and at a random pace, and
// an operator may roll back at any point. Waves grow as planned, and in the end all routers have
// the goal version.
func TestWavesBeginOnlyAfterThePreviousBakeTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "routers")
		plan := newTestPlan()
		plan.FirstWave = rapid.IntRange(1, 4).Draw(t, "first")
		plan.GrowthFactor = float64(rapid.IntRange(1, 4).Draw(t, "grow"))
		f := newFleetInRelease(n, plan)
		record := &waveRecord{testFleet: f, t: t, plan: plan, sizes: plan.Waves(n)}
		rollBackAt := rapid.IntRange(0, 400).Draw(t, "rolls back at")
		for i := 0; i < 4000 && f.state.Release.State == ReleaseRunning; i++ {
			if i == rollBackAt {
				f.mustApply(Command{Op: OpRollBack}, "ann")
			}
			isRollback := f.state.Release.isRollback()
			if !isRollback {
				record.check()
			}
			pending := f.state.PendingRouters()
			if len(pending) > 0 && rapid.IntRange(0, 3).Draw(t, "updates if not 0") > 0 {
				f.update(rapid.SampledFrom(pending).Draw(t, "router"), f.state.Release.GoalVersion)
				if !isRollback && len(f.state.PendingRouters()) == 0 {
					record.recordComplete()
				}
			}
			f.advance(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		updated := len(f.state.UpdatedRouters())
		if r := f.state.Release; r.State != ReleaseDone || updated != n {
			t.Fatalf("%s, goal %s, %d of %d updated, halt %+v", r.State, r.GoalVersion, updated, n, f.state.Halt)
		}
	})
}

// expectHalted checks that the release has halted the fleet for a reason, and that no routers are
// pending.
func (f *testFleet) expectHalted(t *testing.T, reason string) {
	t.Helper()
	h := f.state.Halt
	if h == nil || !strings.Contains(h.Reason, reason) || h.By != "release x" {
		t.Errorf("halt %+v, want reason %q", h, reason)
	}
	if pending := f.state.PendingRouters(); len(pending) > 0 {
		t.Errorf("pending %v", pending)
	}
}

func (f *testFleet) expectNotHalted(t *testing.T) {
	t.Helper()
	if f.state.Halt != nil {
		t.Errorf("%+v", f.state.Halt)
	}
}

// Guards against a next wave with a version that does not come up, does not stay up or gets no
// requests: each of these halts the release.
func TestFailingReleaseHalts(t *testing.T) {
	t.Run("router not back in time", testRouterNotBackInTime)
	t.Run("updated router down again", func(t *testing.T) {
		f := newFleetInRelease(4, newTestPlan())
		f.update("r00", "b")
		f.endSession(RouterClientPrefix + "r00")
		f.expectHalted(t, "router/r00 had b and is down again")
	})
	t.Run("operator", func(t *testing.T) {
		f := newFleetInRelease(4, newTestPlan())
		f.update("r00", "b")
		f.mustApply(Command{Op: OpHalt, Reason: "by hand"}, "ann")
		f.advance(time.Hour)
		if f.state.Release.WaveSize != 1 || len(f.state.PendingRouters()) > 0 {
			t.Errorf("the halted release has wave size %d", f.state.Release.WaveSize)
		}
	})
	t.Run("command failed", func(t *testing.T) {
		f := newFleetInRelease(4, newTestPlan())
		f.mustApply(Command{Op: OpRouterFailed, Name: "r00", Reason: "no such file"}, "release")
		f.expectHalted(t, "router/r00: no such file")
	})
	t.Run("no requests", testReleaseWithoutRequests)
}

// A router never comes back from its outage. The release halts after the step timeout. A rollback
// gives the router the full timeout again; then it lists the router as not rolled back, and
// continues with the others.
func testRouterNotBackInTime(t *testing.T) {
	f := newFleetInRelease(4, newTestPlan())
	f.update("r00", "")
	f.advance(59 * time.Second)
	f.expectNotHalted(t)
	f.advance(time.Second)
	f.expectHalted(t, "router/r00: it is not ready with b within 1m0s")
	f.mustApply(Command{Op: OpRollBack}, "ann")
	f.advance(59 * time.Second)
	if len(f.state.Release.NotRolledBack) > 0 {
		t.Errorf("%v", f.state.Release.NotRolledBack)
	}
	f.advance(time.Hour)
	f.advance(time.Hour)
	if r := f.state.Release; r.State != ReleaseDone || r.NotRolledBack["r00"] == "" {
		t.Errorf("%+v", r)
	}
}

// The first wave is up, but the new version gets no requests. The release halts after eleven bake
// times. After it is resumed, it continues once the new version has answered enough requests. A
// router's first report does not count, because it is unknown when its requests were answered.
func testReleaseWithoutRequests(t *testing.T) {
	plan := newTestPlan()
	plan.MinRequests = 5
	f := newFleetInRelease(4, plan)
	f.update("r00", "b")
	f.advance(10 * time.Second)
	f.advance(99 * time.Second)
	f.expectNotHalted(t)
	if f.state.Release.WaveSize != 1 {
		t.Errorf("wave size %d", f.state.Release.WaveSize)
	}
	f.advance(time.Second)
	f.expectHalted(t, "b has answered 0 of the 5 requests wanted")
	f.mustApply(Command{Op: OpResume}, "ann")
	f.reportVersion("r00", "b", 1, 0)
	f.reportVersion("r00", "b", 9, 0)
	f.advance(10 * time.Second)
	if f.state.Release.WaveSize != 3 {
		t.Errorf("wave size %d after %d requests", f.state.Release.WaveSize, f.state.Release.RequestsInWave)
	}
}

// A plan that can't be carried out is rejected with the reason.
func TestInvalidPlansAreRejected(t *testing.T) {
	f := newFleetInRelease(4, newTestPlan())
	f.mustApply(Command{Op: OpEndRelease}, "ann")
	otherVersion := newTestPlan()
	otherVersion.FromVersion = "c"
	for name, plan := range map[string]ReleasePlan{
		"empty":                  {},
		"same version":           {Name: "x", FromVersion: "a", ToVersion: "a"},
		"routers of another one": otherVersion,
	} {
		t.Run(name, func(t *testing.T) {
			result := f.apply(Command{Op: OpStartRelease, Plan: &plan}, "ann")
			if result.Code != CodeInvalid || result.Text == "" {
				t.Errorf("%+v", result)
			}
		})
	}
	t.Run("beside another release", func(t *testing.T) {
		plan := newTestPlan()
		f := newFleetInRelease(4, plan)
		result := f.apply(Command{Op: OpStartRelease, Plan: &plan}, "ann")
		if result.Code != CodeInvalid || result.Text == "" {
			t.Errorf("%+v", result)
		}
	})
}

// Guards against unlimited memory: a long release only keeps the newest buckets.
func TestComparisonKeepsTheNewestBuckets(t *testing.T) {
	f := newFleetInRelease(4, newTestPlan())
	for i := range int64(2 * MaxComparisonBuckets) {
		f.reportVersion("r01", "a", 10*i+1, i)
		f.advance(ComparisonInterval)
	}
	if n := len(f.state.Release.Buckets); n != MaxComparisonBuckets {
		t.Errorf("%d buckets", n)
	}
}
