package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

const (
	// testAlpha is the allowed share of false halts.
	testAlpha = 0.001
	// canaryRequests is how many requests a router answers in one bucket, at 20 per second.
	canaryRequests = 40
	// neverHalted stands for a release that was not halted where a number of buckets is expected.
	// It is larger than any such number.
	neverHalted = 1000
)

// requestsPerBucketByVersion returns how many requests the routers of the old version and the one
// canary answer in one bucket.
func requestsPerBucketByVersion(routers int) [2]int {
	return [2]int{fromVersion: canaryRequests * (routers - 1), toVersion: canaryRequests}
}

// bucketsUntilFailuresHalt simulates a release with one canary, whose share of failed requests is
// larger by extraFailedShare than that of the other routers. It returns after how many buckets
// FailsMoreOften halts the release, or neverHalted. The share of failures varies randomly, in the
// same way for both versions.
func bucketsUntilFailuresHalt(rng *rand.Rand, routers int, extraFailedShare float64, maxBuckets int) int {
	var buckets []ComparisonBucket
	base := 0.002 + 0.03*rng.Float64()
	for i := range maxBuckets {
		failedShare := base
		if rng.IntN(20) == 0 { // a fault that affects all routers
			failedShare = 0.3
		}
		var b ComparisonBucket
		for version, requests := range requestsPerBucketByVersion(routers) {
			share := failedShare
			if version == toVersion {
				share = min(1, failedShare+extraFailedShare)
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

// Guards against false halts and against halts that come too late, as stated in
// docs/rollout-design.md: a release whose two versions are alike is not halted, and one whose new
// version fails 5% more requests is halted soon.
func TestFailuresHaltOnlyWorseReleases(t *testing.T) {
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
	t.Logf("%d false halts in 200 releases of 300 s with equal versions; "+
		"5%% more failures are detected after %d s (median), %d s (90th percentile)",
		falseHalts, 2*buckets[25], 2*buckets[45])
	if falseHalts > 1 || buckets[45] > 100 {
		t.Errorf("%d false halts of 200, 5%% more failures detected after %v buckets", falseHalts, buckets)
	}
}

// bucketsUntilLatencyHalts simulates a release with one canary, whose latencies are larger by a
// ratio than those of the other routers. It returns after how many buckets IsSlower halts the
// release, or neverHalted. Latencies are those of cache hits and misses. The share of misses and
// the load vary randomly, in the same way for both versions.
func bucketsUntilLatencyHalts(rng *rand.Rand, routers int, ratio float64, maxBuckets int) int {
	var buckets []ComparisonBucket
	missShare := 0.1 + 0.2*rng.Float64()
	load := 1.0
	for i := range maxBuckets {
		load = max(0.7, min(3, load*math.Exp(0.1*rng.NormFloat64())))
		var b ComparisonBucket
		for version, requests := range requestsPerBucketByVersion(routers) {
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

// Guards against false halts because of latency, and against halts that come too late for a version
// that is slower by 10% or 20%, as stated in docs/rollout-design.md.
func TestLatencyHaltsOnlySlowerReleases(t *testing.T) {
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
	median := releases / 4
	percentile90 := releases * 9 / 20
	t.Logf("%d false halts in %d releases of 300 s with equal versions; 10%% slower is detected "+
		"after %d s (median), %d s (90th percentile); 20%% slower after %d and %d s",
		falseHalts, releases, 2*tenth[median], 2*tenth[percentile90], 2*fifth[median], 2*fifth[percentile90])
	if falseHalts > 1 || tenth[median] > 200 || fifth[percentile90] > 100 {
		t.Errorf("%d false halts of %d; 10%% slower detected after %v buckets, 20%% after %v",
			falseHalts, releases, tenth, fifth)
	}
}

// latencyBucket returns a comparison bucket that only has latency counts.
func latencyBucket(from, to []int64) ComparisonBucket {
	return ComparisonBucket{LatencyCounts: [2][]int64{fromVersion: from, toVersion: to}}
}

// The ratio compares the geometric means of the latencies. Without requests of both versions, or
// with equal latencies, there is no evidence.
func TestLatencyRatioComparesGeometricMeans(t *testing.T) {
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

// Guards against an index out of range: any value has a bucket, even one that is no latency.
func TestLatencyBucketIsInRangeForAnyValue(t *testing.T) {
	for _, tc := range []struct {
		objectiveShare float64
		bucket         int
	}{{0, 0}, {math.NaN(), 0}, {1, 12}, {1e9, LatencyBuckets - 1}} {
		if got := LatencyBucket(tc.objectiveShare); got != tc.bucket {
			t.Errorf("%v: bucket %d, not %d", tc.objectiveShare, got, tc.bucket)
		}
	}
}

// A report with a wrong number of latency counts, or with one below 0, is rejected.
func TestInvalidLatencyCountsAreRejected(t *testing.T) {
	f := newFleetInRelease(2, newTestPlan())
	negative := append(make([]int64, LatencyBuckets-1), -1)
	for name, counts := range map[string][]int64{"too few": {1}, "negative": negative} {
		report := &RouterReport{Version: "a", IsReady: true, LatencyCounts: counts}
		result := f.apply(Command{Op: OpReport, Report: report}, RouterClientPrefix+"r00")
		if result.Code != CodeInvalid {
			t.Errorf("%s: %+v", name, result)
		}
	}
}

// Guards against a release that continues while the fleet serves too small a share of all requests,
// and against halts because of a short fault or of few requests.
func TestLowServedShareHaltsRelease(t *testing.T) {
	good := ComparisonBucket{Served: [2]int64{90, 9}, Failed: [2]int64{1, 0}}
	bad := ComparisonBucket{Served: [2]int64{50, 5}, Failed: [2]int64{40, 5}}
	fewRequests := ComparisonBucket{Failed: [2]int64{9, 9}}
	for _, tc := range []struct {
		name        string
		buckets     []ComparisonBucket
		isTooLittle bool
	}{
		{"no bucket", nil, false},
		{"not long enough", []ComparisonBucket{bad, bad, bad, bad}, false},
		{"short fault", []ComparisonBucket{good, good, good, good, bad}, false},
		{"long fault", []ComparisonBucket{bad, bad, bad, bad, bad}, true},
		{"recovered", []ComparisonBucket{bad, bad, bad, bad, bad, good, good, good, good, good}, false},
		{"few requests", []ComparisonBucket{{}, {}, {}, {}, fewRequests}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if served, isTooLittle := ServesTooLittle(tc.buckets, 0.8); isTooLittle != tc.isTooLittle {
				t.Errorf("%v served, too little: %v", served, isTooLittle)
			}
		})
	}
}
