package rollout

import (
	"math"
	"slices"
	"time"
)

// Constants of the comparison of the two versions of a release.
const (
	// MaxComparisonBuckets is how many buckets are kept; the oldest are dropped.
	MaxComparisonBuckets = 256
	// ComparisonInterval is the length of one bucket in agreed time.
	ComparisonInterval = 2 * time.Second
)

// Indexes of the versions in a ComparisonBucket.
const (
	fromVersion = 0
	toVersion   = 1
)

// ComparisonBucket counts the requests that routers of both versions have answered in one interval.
// The arrays are indexed by fromVersion and toVersion. The requests of a router are counted once it
// is out of slow start and its learning time is over.
type ComparisonBucket struct {
	// Served are the numbers of served requests.
	Served [2]int64 `json:"good"`
	// Failed are the numbers of rejected and failed requests.
	Failed [2]int64 `json:"bad"`
	// LatencyCounts are the numbers of served requests by LatencyBucket; empty while routers don't
	// report them.
	LatencyCounts [2][]int64 `json:"speed,omitzero"`
}

// LatencyBuckets is the number of latency buckets.
const LatencyBuckets = 16

// LatencyBucket returns the bucket of a latency, given as a fraction of the latency objective of
// the request's class. Each bucket is half an octave wide: the first holds latencies up to 1/64 of
// the objective, the last those above twice the objective.
func LatencyBucket(objectiveShare float64) int {
	if !(objectiveShare > 0) {
		return 0
	}
	bucket := int(math.Ceil(2 * (math.Log2(objectiveShare) + 6)))
	return max(0, min(LatencyBuckets-1, bucket))
}

// recordRequestCounts records the request counts of a router's report. It adds the requests that
// the router has answered since its last report to the fleet's load and to the comparison of the
// two versions. A first report only sets the counts, because it is unknown when its requests were
// answered.
func (s *State) recordRequestCounts(router *Target, name string, report *RouterReport, now time.Duration) {
	earlierTotal := router.Served + router.Failed
	isFirstReport := earlierTotal == 0 || earlierTotal > report.Served+report.Failed
	added := answeredRequests{
		served: report.Served - router.Served,
		failed: report.Failed - router.Failed,
	}
	if len(router.LatencyCounts) == len(report.LatencyCounts) {
		added.latencyCounts = differences(report.LatencyCounts, router.LatencyCounts)
	}
	router.Served = report.Served
	router.Failed = report.Failed
	router.LatencyCounts = report.LatencyCounts
	if isFirstReport {
		return
	}
	s.countRequests(added.served, added.failed, now)
	if added.served >= 0 && added.failed >= 0 && s.isCompared(router, name, now) {
		s.Release.addToBucket(router.Version, added, now)
	}
}

// answeredRequests are the requests that a router has answered since its last report.
type answeredRequests struct {
	served        int64
	failed        int64
	latencyCounts []int64
}

// differences returns by how much each count has increased; 0 for a count that has decreased.
func differences(counts, earlier []int64) []int64 {
	increases := make([]int64, len(counts))
	for i, n := range counts {
		increases[i] = max(0, n-earlier[i])
	}
	return increases
}

// isCompared reports whether the requests of a router count in the comparison of the two versions.
func (s *State) isCompared(router *Target, name string, now time.Duration) bool {
	r := s.Release
	if r == nil || r.State != ReleaseRunning || !router.IsUp {
		return false
	}
	warmUp := max(r.LearnTime, s.slowStart(targetRef{KindRouter, name}))
	return now >= router.ChangedAt+warmUp && slices.Contains(r.Routers, name)
}

// addToBucket adds requests that a router with a version has answered to the newest bucket. It
// begins a new bucket if the newest one is over.
func (r *ReleaseProgress) addToBucket(version string, added answeredRequests, now time.Duration) {
	index := slices.Index([]string{fromVersion: r.FromVersion, toVersion: r.ToVersion}, version)
	if index < 0 {
		return
	}
	if len(r.Buckets) == 0 || now >= r.BucketOpenedAt+ComparisonInterval {
		if len(r.Buckets) >= MaxComparisonBuckets {
			r.Buckets = slices.Delete(r.Buckets, 0, 1)
		}
		r.Buckets = append(r.Buckets, ComparisonBucket{})
		r.BucketOpenedAt = now
	}
	bucket := &r.Buckets[len(r.Buckets)-1]
	bucket.Served[index] += added.served
	bucket.Failed[index] += added.failed
	if len(added.latencyCounts) > 0 && bucket.LatencyCounts[index] == nil {
		bucket.LatencyCounts[index] = make([]int64, LatencyBuckets)
	}
	for k, n := range added.latencyCounts {
		bucket.LatencyCounts[index][k] += n
	}
	if r.BakeEndsAt > 0 && version == r.GoalVersion {
		r.RequestsInWave += added.served + added.failed
	}
}
