package rollout

import (
	"math"
	"slices"
	"time"
)

// Constants of the comparison of both versions.
const (
	// MaxComparisonBuckets is how many buckets are kept, the newest.
	MaxComparisonBuckets = 256
	// ComparisonInterval is the agreed time that one bucket covers.
	ComparisonInterval = 2 * time.Second
)

// Indexes of the versions in a ComparisonBucket.
const (
	fromVersion = 0
	toVersion   = 1
)

// ComparisonBucket counts what routers of both versions have answered in one interval, side by
// side. The arrays are indexed by fromVersion and toVersion. A router's requests count once it is
// out of slow start and has learnt.
type ComparisonBucket struct {
	// Served are the served requests.
	Served [2]int64 `json:"good"`
	// Failed are the rejected and failed requests.
	Failed [2]int64 `json:"bad"`
	// LatencyCounts are the served requests by LatencyBucket; empty where routers don't report
	// them.
	LatencyCounts [2][]int64 `json:"speed,omitzero"`
}

// LatencyBuckets is into how many buckets latencies are sorted.
const LatencyBuckets = 16

// LatencyBucket is the bucket of a latency, given as a part of the latency objective of the
// request's class. Buckets are half octaves, from 1/64 of the objective to twice the objective and
// beyond.
func LatencyBucket(objectiveShare float64) int {
	if !(objectiveShare > 0) {
		return 0
	}
	bucket := int(math.Ceil(2 * (math.Log2(objectiveShare) + 6)))
	return max(0, min(LatencyBuckets-1, bucket))
}

// recordRequestCounts records a router's counts of requests, and adds what it has answered since
// its last report to the fleet's load and to the comparison of both versions. A first report only
// sets the counts: its requests are of an unknown time.
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

// differences are the increases of counts; 0 where one has decreased.
func differences(counts, earlier []int64) []int64 {
	increases := make([]int64, len(counts))
	for i, n := range counts {
		increases[i] = max(0, n-earlier[i])
	}
	return increases
}

// isCompared tells whether the requests of a router count in the comparison of both versions.
func (s *State) isCompared(router *Target, name string, now time.Duration) bool {
	r := s.Release
	if r == nil || r.State != ReleaseRunning || !router.IsUp {
		return false
	}
	warmUp := max(r.LearnTime, s.slowStart(targetRef{KindRouter, name}))
	return now >= router.ChangedAt+warmUp && slices.Contains(r.Routers, name)
}

// addToBucket adds requests that a router of a version has answered to the newest bucket.
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
