package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testPlan() ReleasePlan {
	return ReleasePlan{
		Name: "x", FromVersion: "a", ToVersion: "b", FirstWave: 1, GrowthFactor: 2,
		BakeTime: 10 * time.Second, StepTimeout: time.Minute,
	}
}

// newReleasingFleet is a fleet of n routers r00, r01 and so on with version a, and a release of
// them to b.
func newReleasingFleet(n int, plan ReleasePlan) *testFleet {
	f := newTestFleet(Budget{Name: "r", Kind: KindRouter, MaxOut: 3, SlowStart: 2 * time.Second})
	for i := range n {
		f.reportVersion(fmt.Sprintf("r%02d", i), "a", 0, 0)
	}
	f.advance(time.Hour)
	f.mustApply(Command{Op: OpStartRelease, Plan: &plan}, "ann")
	return f
}

// reportVersion has a ready router report its version and its counts of requests.
func (f *testFleet) reportVersion(name, version string, served, failed int64) {
	report := &RouterReport{
		Zone: "z" + name[len(name)-1:], Version: version, IsReady: true, Served: served, Failed: failed,
	}
	f.mustApply(Command{Op: OpReport, Report: report}, RouterClientPrefix+name)
}

// update updates one router as a driver does, if the permit is granted at once. version is the one
// that comes back; "" stands for a router that doesn't.
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

// waveRecord is the test's own record of the waves of a release.
type waveRecord struct {
	*testFleet
	t    *rapid.T
	plan ReleasePlan
	// sizes are the sizes of the waves, by the plan.
	sizes []int
	// wave is the index of the present wave.
	wave int
	// isComplete and completeAt tell whether and since when all routers of the wave have been
	// updated.
	isComplete bool
	completeAt time.Duration
}

// check checks the present wave against the record.
func (r *waveRecord) check() {
	release := r.state.Release
	for r.wave < len(r.sizes) && r.sizes[r.wave] != release.WaveSize {
		r.wave++
		if !r.isComplete || r.now < r.completeAt+r.plan.BakeTime {
			r.t.Fatalf("wave %d of %v at %v, the one before it was complete at %v",
				r.wave, r.sizes, r.now, r.completeAt)
		}
		r.isComplete = false
	}
	if r.wave == len(r.sizes) {
		r.t.Fatalf("size %d is none of %v", release.WaveSize, r.sizes)
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

// A driver updates routers in any order and at any pace, and an operator may roll back at any
// point. Waves grow as planned, none begins before the one before it is complete and has baked, and
// in the end all routers have the version; a rollback brings all back. A wrong program would begin
// a wave beside one that has not baked, or stop half way.
func TestRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "routers")
		plan := testPlan()
		plan.FirstWave = rapid.IntRange(1, 4).Draw(t, "first")
		plan.GrowthFactor = float64(rapid.IntRange(1, 4).Draw(t, "grow"))
		f := newReleasingFleet(n, plan)
		record := &waveRecord{testFleet: f, t: t, plan: plan, sizes: plan.Waves(n)}
		rollBackAt := rapid.IntRange(0, 400).Draw(t, "turns back at")
		for i := 0; i < 4000 && f.state.Release.State == ReleaseRunning; i++ {
			if i == rollBackAt {
				f.mustApply(Command{Op: OpRollBack}, "ann")
			}
			isRollback := f.state.Release.isRollback()
			if !isRollback {
				record.check()
			}
			pending := f.state.PendingRouters()
			if len(pending) > 0 && rapid.IntRange(0, 3).Draw(t, "drives") > 0 {
				f.update(rapid.SampledFrom(pending).Draw(t, "router"), f.state.Release.GoalVersion)
				if !isRollback && len(f.state.PendingRouters()) == 0 {
					record.recordComplete()
				}
			}
			f.advance(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		updated := len(f.state.UpdatedRouters())
		if r := f.state.Release; r.State != ReleaseDone || updated != n {
			t.Fatalf("%s towards %s, %d of %d updated, halted %+v", r.State, r.GoalVersion, updated, n, f.state.Halt)
		}
	})
}

// expectHalted expects the release to have halted the fleet, for a reason.
func (f *testFleet) expectHalted(t *testing.T, reason string) {
	t.Helper()
	h := f.state.Halt
	if h == nil || !strings.Contains(h.Reason, reason) || h.By != "release x" {
		t.Errorf("halted %+v, want %q", h, reason)
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

// What goes wrong in a release halts it: see each case. A wrong program would go on to the next
// wave with a version that does not come up, does not stay up or is used by nobody.
func TestReleaseHalts(t *testing.T) {
	t.Run("router not back in time", testRouterNotBackInTime)
	t.Run("updated router down again", func(t *testing.T) {
		f := newReleasingFleet(4, testPlan())
		f.update("r00", "b")
		f.endSession(RouterClientPrefix + "r00")
		f.expectHalted(t, "router/r00 had b and is down again")
	})
	t.Run("operator", func(t *testing.T) {
		f := newReleasingFleet(4, testPlan())
		f.update("r00", "b")
		f.mustApply(Command{Op: OpHalt, Reason: "by hand"}, "ann")
		f.advance(time.Hour)
		if f.state.Release.WaveSize != 1 || len(f.state.PendingRouters()) > 0 {
			t.Errorf("halted, the wave has %d", f.state.Release.WaveSize)
		}
	})
	t.Run("command failed", func(t *testing.T) {
		f := newReleasingFleet(4, testPlan())
		f.mustApply(Command{Op: OpRouterFailed, Name: "r00", Reason: "no such file"}, "release")
		f.expectHalted(t, "router/r00: no such file")
	})
	t.Run("no requests", testReleaseWithoutRequests)
}

// A router's outage begins and it never comes back. The release halts after the step timeout. On
// rollback the router has the timeout anew; then it is named and left, and the rollback goes on
// with the others.
func testRouterNotBackInTime(t *testing.T) {
	f := newReleasingFleet(4, testPlan())
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

// The first wave is up, and the new version gets no requests. The release waits for eleven bake
// times and halts. Resumed, it goes on once the requests have come; a router's first report counts
// for nothing, as its requests are of an unknown time.
func testReleaseWithoutRequests(t *testing.T) {
	plan := testPlan()
	plan.MinRequests = 5
	f := newReleasingFleet(4, plan)
	f.update("r00", "b")
	f.advance(10 * time.Second)
	f.advance(99 * time.Second)
	f.expectNotHalted(t)
	if f.state.Release.WaveSize != 1 {
		t.Errorf("size %d", f.state.Release.WaveSize)
	}
	f.advance(time.Second)
	f.expectHalted(t, "b has answered 0 of the 5 requests wanted")
	f.mustApply(Command{Op: OpResume}, "ann")
	f.reportVersion("r00", "b", 1, 0)
	f.reportVersion("r00", "b", 9, 0)
	f.advance(10 * time.Second)
	if f.state.Release.WaveSize != 3 {
		t.Errorf("size %d after %d requests", f.state.Release.WaveSize, f.state.Release.RequestsInWave)
	}
}

// A plan that can't be carried out is rejected with the reason.
func TestInvalidPlans(t *testing.T) {
	f := newReleasingFleet(4, testPlan())
	f.mustApply(Command{Op: OpEndRelease}, "ann")
	otherVersion := testPlan()
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
		plan := testPlan()
		f := newReleasingFleet(4, plan)
		result := f.apply(Command{Op: OpStartRelease, Plan: &plan}, "ann")
		if result.Code != CodeInvalid || result.Text == "" {
			t.Errorf("%+v", result)
		}
	})
}

// A long release keeps the newest buckets.
func TestComparisonBucketLimit(t *testing.T) {
	f := newReleasingFleet(4, testPlan())
	for i := range int64(2 * MaxComparisonBuckets) {
		f.reportVersion("r01", "a", 10*i+1, i)
		f.advance(ComparisonInterval)
	}
	if n := len(f.state.Release.Buckets); n != MaxComparisonBuckets {
		t.Errorf("%d buckets", n)
	}
}
