package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// driven is a fleet of n routers with version a, and a release of them to b.
func driven(n int, plan ReleasePlan) *world {
	w := newWorld(Budget{Name: "r", Kind: KindRouter, MaxOut: 3, SlowStart: 2 * time.Second})
	for i := range n {
		w.tell(fmt.Sprintf("r%02d", i), "a", true, 0, 0)
	}
	w.pass(time.Hour)
	w.must(Command{Op: OpStartRelease, Plan: &plan}, "ann")
	return w
}

func (w *world) tell(name, version string, ready bool, good, bad int64) {
	w.must(Command{Op: OpReport, Report: &RouterReport{Zone: "z" + name[len(name)-1:], Version: version, IsReady: ready, Served: good, Failed: bad}}, RouterClientPrefix+name)
}

func plan() ReleasePlan {
	return ReleasePlan{Name: "x", FromVersion: "a", ToVersion: "b", FirstWave: 1, GrowthFactor: 2, BakeTime: 10 * time.Second, StepTimeout: time.Minute}
}

// change plays one router's step by whoever drives; version is what comes back ("" = nothing does).
func (w *world) change(name, version string) {
	a := w.must(Command{Op: OpRequestPermit, Kind: KindRouter, Name: name, Priority: PriorityRelease}, "release")
	if a.Stage != StageGranted {
		w.must(Command{Op: OpCancelPermit, Kind: KindRouter, Name: name}, "release")
		return
	}
	w.must(Command{Op: OpBeginOutage, Kind: KindRouter, Name: name, Token: a.Token}, "release")
	w.end(RouterClientPrefix + name)
	if version != "" {
		w.tell(name, version, true, 0, 0)
		w.must(Command{Op: OpEndOutage, Kind: KindRouter, Name: name, Token: a.Token}, "release")
	}
}

// Whatever the fleet and the plan: waves grow as planned, none begins before the one before it is
// complete and has baked, and in the end all have the version; the way back from any point brings
// all back.
func TestRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "routers")
		p := plan()
		p.FirstWave, p.GrowthFactor = rapid.IntRange(1, 4).Draw(t, "first"), float64(rapid.IntRange(1, 4).Draw(t, "grow"))
		w := driven(n, p)
		waves := p.Waves(n)
		turn := rapid.IntRange(0, 400).Draw(t, "turns back at")
		wave, complete := 0, time.Duration(-1)
		for i := range 4000 {
			c := w.s.Release
			if c.State != ReleaseRunning {
				break
			}
			if i == turn {
				w.must(Command{Op: OpRollBack}, "ann")
				c = w.s.Release
			}
			if c.GoalVersion == "b" {
				for wave < len(waves) && waves[wave] != c.WaveSize {
					if wave++; complete < 0 || w.clock < complete+p.BakeTime {
						t.Fatalf("wave %d of %v at %v, the one before it was complete at %v", wave, waves, w.clock, complete)
					}
					complete = -1
				}
				if wave == len(waves) {
					t.Fatalf("size %d is none of %v", c.WaveSize, waves)
				}
				if complete < 0 && len(w.s.UpdatedRouters()) >= c.WaveSize && len(w.s.PendingRouters()) == 0 {
					complete = w.clock
				}
			}
			if do := w.s.PendingRouters(); len(do) > 0 && rapid.IntRange(0, 3).Draw(t, "drives") > 0 {
				w.change(rapid.SampledFrom(do).Draw(t, "router"), c.GoalVersion)
				if c.GoalVersion == "b" && len(w.s.PendingRouters()) == 0 && complete < 0 {
					complete = w.clock
				}
			}
			w.pass(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		if c := w.s.Release; c.State != ReleaseDone || len(w.s.UpdatedRouters()) != n {
			t.Fatalf("%s towards %s, %d of %d there, halted %+v", c.State, c.GoalVersion, len(w.s.UpdatedRouters()), n, w.s.Halt)
		}
	})
}

// A release halts where a router doesn't come back or its command fails, and where nobody uses the
// new version; on the way back one that can't is named and left.
func TestReleaseHalts(t *testing.T) {
	halted := func(w *world, want string) {
		t.Helper()
		if w.s.Halt == nil || !strings.Contains(w.s.Halt.Reason, want) || w.s.Halt.By != "release x" || len(w.s.PendingRouters()) > 0 {
			t.Errorf("halted %+v, to do %v; want %q", w.s.Halt, w.s.PendingRouters(), want)
		}
	}
	w := driven(4, plan())
	w.change("r00", "")
	w.pass(59 * time.Second)
	if w.s.Halt != nil {
		t.Errorf("%+v", w.s.Halt)
	}
	w.pass(time.Second)
	halted(w, "router/r00: it is not ready with b within 1m0s")
	w.must(Command{Op: OpRollBack}, "ann")
	w.pass(59 * time.Second) // its step has a time of its own on the way back
	if len(w.s.Release.NotRolledBack) > 0 {
		t.Errorf("%v", w.s.Release.NotRolledBack)
	}
	w.pass(time.Hour)
	w.pass(time.Hour)
	if c := w.s.Release; c.State != ReleaseDone || c.NotRolledBack["r00"] == "" {
		t.Errorf("%+v", c)
	}
	w = driven(4, plan())
	w.change("r00", "b")
	w.end(RouterClientPrefix + "r00")
	halted(w, "router/r00 had b and is down again")
	w = driven(4, plan())
	w.change("r00", "b")
	w.must(Command{Op: OpHalt, Reason: "by hand"}, "ann")
	w.pass(time.Hour)
	if w.s.Release.WaveSize != 1 || len(w.s.PendingRouters()) > 0 {
		t.Errorf("halted, the wave has %d", w.s.Release.WaveSize)
	}
	w = driven(4, plan())
	w.must(Command{Op: OpRouterFailed, Name: "r00", Reason: "no such file"}, "release")
	halted(w, "router/r00: no such file")
	p := plan()
	p.MinRequests = 5
	w = driven(4, p)
	w.change("r00", "b")
	w.pass(10 * time.Second)
	w.pass(99 * time.Second)
	if w.s.Halt != nil || w.s.Release.WaveSize != 1 {
		t.Errorf("%+v, size %d", w.s.Halt, w.s.Release.WaveSize)
	}
	w.pass(time.Second)
	halted(w, "b has answered 0 of the 5 requests wanted")
	w.must(Command{Op: OpResume}, "ann")
	w.tell("r00", "b", true, 1, 0) // the first report counts for nothing: it is of who knows when
	w.tell("r00", "b", true, 9, 0)
	w.pass(10 * time.Second)
	if w.s.Release.WaveSize != 3 {
		t.Errorf("size %d after %d requests", w.s.Release.WaveSize, w.s.Release.RequestsInWave)
	}
	for _, x := range []ReleasePlan{{}, {Name: "x", FromVersion: "a", ToVersion: "a"}, {Name: "y", FromVersion: "c", ToVersion: "b", FirstWave: 1, GrowthFactor: 1, BakeTime: time.Minute, StepTimeout: time.Minute}, plan()} {
		if a := w.do(Command{Op: OpStartRelease, Plan: &x}, "ann"); a.Code != CodeInvalid || a.Text == "" {
			t.Errorf("%+v: %+v", x, a)
		}
	}
	for i := range int64(2 * MaxComparisonBuckets) {
		w.tell("r01", "a", true, 10*i+1, i)
		w.pass(ComparisonInterval)
	}
	if n := len(w.s.Release.Buckets); n != MaxComparisonBuckets {
		t.Errorf("%d bins", n)
	}
}

// sampled draws the figures of a canary among n old routers, some 20 requests a second each, until
// the evidence halts it; it returns after how many bins, or -1. The load's own share of failures
// wanders and jumps, alike for both.
func sampled(rng *rand.Rand, routers int, worse float64, bins int) int {
	var all []ComparisonBucket
	base := 0.002 + 0.03*rng.Float64()
	for i := range bins {
		now := base
		if rng.IntN(20) == 0 { // a second of trouble for all
			now = 0.3
		}
		var b ComparisonBucket
		for k, n := range []int{40 * (routers - 1), 40} {
			p := now
			if k == 1 {
				p = min(1, now+worse)
			}
			for range n {
				if rng.Float64() < p {
					b.Failed[k]++
				} else {
					b.Served[k]++
				}
			}
		}
		if all = append(all, b); FailsMoreOften(all, 0.001) {
			return i + 1
		}
	}
	return -1
}

// The test's power and false halts, as docs/rollout-design.md states them.
func TestEvidence(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	alarms, took := 0, []int{}
	for range 200 {
		if sampled(rng, 24, 0, 150) >= 0 {
			alarms++
		}
	}
	for range 50 {
		n := sampled(rng, 24, 0.05, 150)
		if n < 0 {
			n = 1000
		}
		took = append(took, n)
	}
	slices.Sort(took)
	t.Logf("%d false halts in 200 calm releases of 300 s; 5%% more failures are found after %d s in the middle, %d s at 90%%", alarms, 2*took[25], 2*took[45])
	if alarms > 1 || took[45] > 100 {
		t.Errorf("%d false halts of 200, 5%% more failures found after %v bins", alarms, took)
	}
}

// timed draws how long a canary's requests and those of n old routers take, some 20 a second each:
// hits and misses, whose share and speed wander for all alike. times is by how much the canary is
// slower. It returns after how many bins it halts, or -1.
func timed(rng *rand.Rand, routers int, times float64, bins int) int {
	var all []ComparisonBucket
	miss, load := 0.1+0.2*rng.Float64(), 1.0
	for i := range bins {
		load = max(0.7, min(3, load*math.Exp(0.1*rng.NormFloat64())))
		var b ComparisonBucket
		for k, n := range []int{40 * (routers - 1), 40} {
			b.LatencyCounts[k] = make([]int64, LatencyBuckets)
			for range n {
				t := 0.05 * load * math.Exp(0.6*rng.NormFloat64()) // of the aim
				if rng.Float64() < miss {
					t = 0.4 * load * math.Exp(0.3*rng.NormFloat64())
				}
				if k == 1 {
					t *= times
				}
				b.LatencyCounts[k][LatencyBucket(t)]++
			}
		}
		if all = append(all, b); IsSlower(all, 0.001) {
			return i + 1
		}
	}
	return -1
}

// The same of a version that is slower.
func TestSlowness(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	days, alarms := 20, 0
	if os.Getenv("DOCKHINGE_EVIDENCE_LONGER") != "" {
		days = 200
	}
	for range days {
		if timed(rng, 24, 1, 150) >= 0 {
			alarms++
		}
	}
	found := func(times float64) (took []int) {
		for range days / 2 {
			n := timed(rng, 24, times, 250)
			if n < 0 {
				n = 1000
			}
			took = append(took, n)
		}
		slices.Sort(took)
		return took
	}
	tenth, fifth := found(1.1), found(1.2)
	t.Logf("%d false halts in %d calm releases of 300 s; 10%% slower is found after %d s in the middle, %d s at 90%%; 20%% after %d and %d s",
		alarms, days, 2*tenth[days/4], 2*tenth[days*9/20], 2*fifth[days/4], 2*fifth[days*9/20])
	if alarms > 1 || tenth[days/4] > 200 || fifth[days*9/20] > 100 {
		t.Errorf("%d false halts of %d; 10%% slower found after %v bins, 20%% after %v", alarms, days, tenth, fifth)
	}
	fast, slow := make([]int64, LatencyBuckets), make([]int64, LatencyBuckets)
	fast[3], slow[5] = 100, 100
	if times := CompareLatency([]ComparisonBucket{{LatencyCounts: [2][]int64{fast, slow}}}).Ratio; math.Abs(times-2) > 1e-9 { // two half octaves
		t.Errorf("%v times", times)
	}
	for _, none := range [][]ComparisonBucket{nil, {{}}, {{LatencyCounts: [2][]int64{fast, nil}}}, {{LatencyCounts: [2][]int64{fast, fast}}}} {
		if e := CompareLatency(none).Evidence; e != 1 {
			t.Errorf("%v: evidence %v", none, e)
		}
	}
	if LatencyBucket(0) != 0 || LatencyBucket(math.NaN()) != 0 || LatencyBucket(1e9) != LatencyBuckets-1 || LatencyBucket(1) != 12 {
		t.Error("buckets", LatencyBucket(0), LatencyBucket(1e9), LatencyBucket(1))
	}
	w := driven(2, plan())
	for _, speed := range [][]int64{{1}, append(make([]int64, LatencyBuckets-1), -1)} {
		if a := w.do(Command{Op: OpReport, Report: &RouterReport{Version: "a", IsReady: true, LatencyCounts: speed}}, RouterClientPrefix+"r00"); a.Code != CodeInvalid {
			t.Errorf("%v: %+v", speed, a)
		}
	}
}

// A fleet that serves little halts a release, whichever version it is; one second of trouble or few
// requests don't.
func TestLow(t *testing.T) {
	well, ill := ComparisonBucket{Served: [2]int64{90, 9}, Failed: [2]int64{1, 0}}, ComparisonBucket{Served: [2]int64{50, 5}, Failed: [2]int64{40, 5}}
	for _, x := range []struct {
		bins []ComparisonBucket
		low  bool
	}{{nil, false}, {[]ComparisonBucket{ill, ill, ill, ill}, false}, {[]ComparisonBucket{well, well, well, well, ill}, false}, {[]ComparisonBucket{ill, ill, ill, ill, ill}, true},
		{[]ComparisonBucket{ill, ill, ill, ill, ill, well, well, well, well, well}, false}, {[]ComparisonBucket{{}, {}, {}, {}, {Failed: [2]int64{9, 9}}}, false}} {
		if served, low := ServesTooLittle(x.bins, 0.8); low != x.low {
			t.Errorf("%v: %v served, %v", x.bins, served, low)
		}
	}
}
