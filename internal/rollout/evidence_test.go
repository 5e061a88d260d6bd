package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

const (
	// testAlpha is the share of false halts in the tests of the evidence.
	testAlpha = 0.001
	// canaryRequests is how many requests a router answers in one bucket: 20 a second.
	canaryRequests = 40
	// neverHalted stands for a release that was not halted, where buckets are counted; more than
	// any that is.
	neverHalted = 1000
)

// requestsByVersion are the requests in one bucket at routers of the old version and at one canary.
func requestsByVersion(routers int) [2]int {
	return [2]int{fromVersion: canaryRequests * (routers - 1), toVersion: canaryRequests}
}

// bucketsUntilFailuresHalt draws the requests of a canary, which fails a larger share by worse,
// among routers of the old version, until FailsMoreOften halts it. It returns after how many
// buckets, or neverHalted. The share of failures wanders and jumps, alike for both versions.
func bucketsUntilFailuresHalt(rng *rand.Rand, routers int, worse float64, maxBuckets int) int {
	var buckets []ComparisonBucket
	base := 0.002 + 0.03*rng.Float64()
	for i := range maxBuckets {
		failedShare := base
		if rng.IntN(20) == 0 { // a fault for all
			failedShare = 0.3
		}
		var b ComparisonBucket
		for version, requests := range requestsByVersion(routers) {
			share := failedShare
			if version == toVersion {
				share = min(1, failedShare+worse)
			}
			for range requests {
				if rng.Float64() < share {
					b.Failed[version]++
				} else {
					b.Served[version]++
				}
			}
		}
		buckets = append(buckets, b)
		if FailsMoreOften(buckets, testAlpha) {
			return i + 1
		}
	}
	return neverHalted
}

// The test's power and false halts, as docs/rollout-design.md states them: a release in which both
// versions are alike is not halted, and one whose new version fails 5% more requests is halted
// soon.
func TestEvidence(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	falseHalts := 0
	for range 200 {
		if bucketsUntilFailuresHalt(rng, 24, 0, 150) < neverHalted {
			falseHalts++
		}
	}
	var buckets []int
	for range 50 {
		buckets = append(buckets, bucketsUntilFailuresHalt(rng, 24, 0.05, 150))
	}
	slices.Sort(buckets)
	t.Logf("%d false halts in 200 calm releases of 300 s; "+
		"5%% more failures are found after %d s in the middle, %d s at 90%%",
		falseHalts, 2*buckets[25], 2*buckets[45])
	if falseHalts > 1 || buckets[45] > 100 {
		t.Errorf("%d false halts of 200, 5%% more failures found after %v buckets", falseHalts, buckets)
	}
}

// bucketsUntilLatencyHalts draws the latencies of a canary, which is slower by a ratio, among
// routers of the old version, until IsSlower halts it. It returns after how many buckets, or
// neverHalted. Latencies are those of hits and misses, whose share and latency wander, alike for
// both versions.
func bucketsUntilLatencyHalts(rng *rand.Rand, routers int, ratio float64, maxBuckets int) int {
	var buckets []ComparisonBucket
	missShare := 0.1 + 0.2*rng.Float64()
	load := 1.0
	for i := range maxBuckets {
		load = max(0.7, min(3, load*math.Exp(0.1*rng.NormFloat64())))
		var b ComparisonBucket
		for version, requests := range requestsByVersion(routers) {
			b.LatencyCounts[version] = make([]int64, LatencyBuckets)
			for range requests {
				objectiveShare := 0.05 * load * math.Exp(0.6*rng.NormFloat64())
				if rng.Float64() < missShare {
					objectiveShare = 0.4 * load * math.Exp(0.3*rng.NormFloat64())
				}
				if version == toVersion {
					objectiveShare *= ratio
				}
				b.LatencyCounts[version][LatencyBucket(objectiveShare)]++
			}
		}
		buckets = append(buckets, b)
		if IsSlower(buckets, testAlpha) {
			return i + 1
		}
	}
	return neverHalted
}

// The same of a version that is slower by 10% and by 20%.
func TestSlowness(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	releases := 20
	if os.Getenv("DOCKHINGE_EVIDENCE_LONGER") != "" {
		releases = 200
	}
	falseHalts := 0
	for range releases {
		if bucketsUntilLatencyHalts(rng, 24, 1, 150) < neverHalted {
			falseHalts++
		}
	}
	bucketsFor := func(ratio float64) (buckets []int) {
		for range releases / 2 {
			buckets = append(buckets, bucketsUntilLatencyHalts(rng, 24, ratio, 250))
		}
		slices.Sort(buckets)
		return buckets
	}
	tenth := bucketsFor(1.1)
	fifth := bucketsFor(1.2)
	middle := releases / 4
	late := releases * 9 / 20
	t.Logf("%d false halts in %d calm releases of 300 s; "+
		"10%% slower is found after %d s in the middle, %d s at 90%%; 20%% after %d and %d s",
		falseHalts, releases, 2*tenth[middle], 2*tenth[late], 2*fifth[middle], 2*fifth[late])
	if falseHalts > 1 || tenth[middle] > 200 || fifth[late] > 100 {
		t.Errorf("%d false halts of %d; 10%% slower found after %v buckets, 20%% after %v",
			falseHalts, releases, tenth, fifth)
	}
}

// latencyBucket is a comparison bucket with these latencies only.
func latencyBucket(from, to []int64) ComparisonBucket {
	return ComparisonBucket{LatencyCounts: [2][]int64{fromVersion: from, toVersion: to}}
}

// The ratio of latencies is that of the geometric means; without requests of both versions there is
// no evidence.
func TestCompareLatency(t *testing.T) {
	fast := make([]int64, LatencyBuckets)
	fast[3] = 100
	slow := make([]int64, LatencyBuckets)
	slow[5] = 100 // two half octaves more
	if ratio := CompareLatency([]ComparisonBucket{latencyBucket(fast, slow)}).Ratio; math.Abs(ratio-2) > 1e-9 {
		t.Errorf("ratio %v", ratio)
	}
	for name, buckets := range map[string][]ComparisonBucket{
		"no bucket":       nil,
		"empty bucket":    {{}},
		"one version":     {latencyBucket(fast, nil)},
		"equal latencies": {latencyBucket(fast, fast)},
	} {
		if evidence := CompareLatency(buckets).Evidence; evidence != 1 {
			t.Errorf("%s: evidence %v", name, evidence)
		}
	}
}

// Any latency has a bucket, also one that is none.
func TestLatencyBucket(t *testing.T) {
	for _, x := range []struct {
		objectiveShare float64
		bucket         int
	}{{0, 0}, {math.NaN(), 0}, {1, 12}, {1e9, LatencyBuckets - 1}} {
		if got := LatencyBucket(x.objectiveShare); got != x.bucket {
			t.Errorf("%v: bucket %d, not %d", x.objectiveShare, got, x.bucket)
		}
	}
}

// A report with a wrong number of latency counts, or with one below 0, is rejected.
func TestLatencyCountsChecked(t *testing.T) {
	f := newReleasingFleet(2, testPlan())
	negative := append(make([]int64, LatencyBuckets-1), -1)
	for name, counts := range map[string][]int64{"too few": {1}, "negative": negative} {
		report := &RouterReport{Version: "a", IsReady: true, LatencyCounts: counts}
		result := f.apply(Command{Op: OpReport, Report: report}, RouterClientPrefix+"r00")
		if result.Code != CodeInvalid {
			t.Errorf("%s: %+v", name, result)
		}
	}
}

// A fleet that serves little halts a release, whichever version it is; a short fault or few
// requests don't.
func TestLow(t *testing.T) {
	well := ComparisonBucket{Served: [2]int64{90, 9}, Failed: [2]int64{1, 0}}
	ill := ComparisonBucket{Served: [2]int64{50, 5}, Failed: [2]int64{40, 5}}
	few := ComparisonBucket{Failed: [2]int64{9, 9}}
	for _, x := range []struct {
		name        string
		buckets     []ComparisonBucket
		isTooLittle bool
	}{
		{"no bucket", nil, false},
		{"not long enough", []ComparisonBucket{ill, ill, ill, ill}, false},
		{"short fault", []ComparisonBucket{well, well, well, well, ill}, false},
		{"long fault", []ComparisonBucket{ill, ill, ill, ill, ill}, true},
		{"recovered", []ComparisonBucket{ill, ill, ill, ill, ill, well, well, well, well, well}, false},
		{"few requests", []ComparisonBucket{{}, {}, {}, {}, few}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			if served, isTooLittle := ServesTooLittle(x.buckets, 0.8); isTooLittle != x.isTooLittle {
				t.Errorf("%v served, too little: %v", served, isTooLittle)
			}
		})
	}
}
