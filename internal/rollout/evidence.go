package rollout

import "math"

// testsPerRelease is how many statistical tests a release must pass: FailsMoreOften and IsSlower.
// The allowed share of false halts is divided evenly between them.
const testsPerRelease = 2

// failureOddsRatios are the alternative hypotheses of CompareFailures: the odds of a failure at the
// new version relative to those at the old one.
var failureOddsRatios = [...]float64{1.2, 1.5, 2, 4, 10}

// maxLogEvidencePerBucket limits the evidence that one bucket contributes, as a natural logarithm.
// Requests that fail in a burst at one router are one event, not hundreds, so a version must be
// worse in several buckets. Counting less than the likelihood ratio preserves the bound on false
// halts.
var maxLogEvidencePerBucket = math.Log(4)

// FailureComparison compares how often the two versions reject or fail requests.
type FailureComparison struct {
	// Evidence is the strength of the evidence that the new version fails more often, as a
	// likelihood ratio; 1 is no evidence.
	Evidence float64
	// FromShare is the share of requests that the old version rejects or fails.
	FromShare float64
	// ToShare is the share of requests that the new version rejects or fails.
	ToShare float64
}

// CompareFailures tests whether the new version fails more often than the old one does at the same
// time.
//
// If both versions are alike, the new version's expected share of the failed requests in a bucket
// equals its share of all requests in the bucket. Under this hypothesis the product of the buckets'
// likelihood ratios, averaged over the alternatives, is a test martingale: it exceeds 1/alpha with
// a probability of at most alpha (Ville's inequality), however the load varies and however often
// the test is repeated. See Shafer, 'Testing by betting' (2021).
func CompareFailures(buckets []ComparisonBucket) FailureComparison {
	var logEvidence [len(failureOddsRatios)]float64
	var total, failed [2]float64
	for _, b := range buckets {
		fromTotal := float64(b.Served[fromVersion] + b.Failed[fromVersion])
		toTotal := float64(b.Served[toVersion] + b.Failed[toVersion])
		fromFailed := float64(b.Failed[fromVersion])
		toFailed := float64(b.Failed[toVersion])
		total[fromVersion] += fromTotal
		total[toVersion] += toTotal
		failed[fromVersion] += fromFailed
		failed[toVersion] += toFailed
		if fromTotal == 0 || toTotal == 0 || fromFailed+toFailed == 0 {
			continue
		}
		toShare := toTotal / (fromTotal + toTotal)
		for i, odds := range failureOddsRatios {
			logRatio := toFailed*math.Log(odds) - (fromFailed+toFailed)*math.Log(1-toShare+toShare*odds)
			logEvidence[i] += min(maxLogEvidencePerBucket, logRatio)
		}
	}
	return FailureComparison{
		Evidence:  meanEvidence(logEvidence[:]),
		FromShare: ratio(failed[fromVersion], total[fromVersion]),
		ToShare:   ratio(failed[toVersion], total[toVersion]),
	}
}

// meanEvidence returns the mean evidence over all alternatives, which have equal weight.
func meanEvidence(logEvidence []float64) (evidence float64) {
	for _, l := range logEvidence {
		evidence += math.Exp(l) / float64(len(logEvidence))
	}
	return evidence
}

// latencyTilts are the alternative hypotheses of CompareLatency: by how much the log-likelihood of
// a request at the new version increases for each standard deviation by which its latency bucket
// lies above the mean.
var latencyTilts = [...]float64{0.05, 0.1, 0.2, 0.4, 0.8}

// LatencyComparison compares the latencies of the two versions.
type LatencyComparison struct {
	// Evidence is the strength of the evidence that the new version is slower, as a likelihood
	// ratio; 1 is no evidence.
	Evidence float64
	// Ratio is the geometric mean latency of the new version divided by that of the old one, within
	// the resolution of the latency buckets.
	Ratio float64
}

// CompareLatency tests whether the new version is slower than the old one is at the same time.
//
// If both versions are alike, a request's latency is independent of the version that answered it:
// the new version's n requests in a bucket are a sample without replacement from all requests of
// the bucket. Then the mean of exp(tilt x the sum of their scores) is at most the n-th power of the
// mean of exp(tilt x score) over the bucket (Hoeffding 1963, theorem 4). The product of the ratios
// over the buckets, averaged over the tilts, is therefore a test supermartingale, and has the same
// bound on false halts as CompareFailures.
func CompareLatency(buckets []ComparisonBucket) LatencyComparison {
	var logEvidence [len(latencyTilts)]float64
	var requests, latencySum [2]float64
	for _, b := range buckets {
		histogram := poolLatency(b)
		for version, counts := range b.LatencyCounts {
			for k, count := range counts {
				requests[version] += float64(count)
				latencySum[version] += float64(count) * float64(k)
			}
		}
		if histogram.requests[fromVersion] == 0 || histogram.requests[toVersion] == 0 {
			continue
		}
		histogram.addLogEvidence(&logEvidence, b.LatencyCounts[toVersion])
	}
	toMean := ratio(latencySum[toVersion], requests[toVersion])
	fromMean := ratio(latencySum[fromVersion], requests[fromVersion])
	return LatencyComparison{
		Evidence: meanEvidence(logEvidence[:]),
		Ratio:    math.Exp2((toMean - fromMean) / latencyBucketsPerOctave),
	}
}

// latencyBucketsPerOctave is how many latency buckets there are for each doubling of the latency.
const latencyBucketsPerOctave = 2

// latencyHistogram is the combined latency distribution of both versions in one comparison bucket.
type latencyHistogram struct {
	// counts are the numbers of requests by LatencyBucket.
	counts [LatencyBuckets]float64
	// requests are the numbers of requests by version.
	requests [2]float64
	// sum is the sum of the latency bucket numbers of all requests.
	sum float64
	// sumOfSquares is the sum of the squares of these bucket numbers.
	sumOfSquares float64
}

func poolLatency(b ComparisonBucket) (h latencyHistogram) {
	for version, counts := range b.LatencyCounts {
		for k, count := range counts {
			n := float64(count)
			h.counts[k] += n
			h.requests[version] += n
			h.sum += n * float64(k)
			h.sumOfSquares += n * float64(k*k)
		}
	}
	return h
}

// addLogEvidence adds the bucket's evidence for each tilt, given the latency counts of the new
// version.
func (h *latencyHistogram) addLogEvidence(logEvidence *[len(latencyTilts)]float64, toCounts []int64) {
	total := h.requests[fromVersion] + h.requests[toVersion]
	mean := h.sum / total
	deviation := math.Sqrt(max(0, h.sumOfSquares/total-mean*mean))
	if deviation == 0 {
		return
	}
	for i, tilt := range latencyTilts {
		sampleScore := 0.0
		meanExp := 0.0
		for k, n := range h.counts {
			score := tilt * (float64(k) - mean) / deviation
			meanExp += n / total * math.Exp(score)
			if toCounts != nil {
				sampleScore += float64(toCounts[k]) * score
			}
		}
		logEvidence[i] += min(maxLogEvidencePerBucket, sampleScore-h.requests[toVersion]*math.Log(meanExp))
	}
}

// MinLatencyRatio is the smallest LatencyComparison.Ratio that halts a release. A smaller slowdown
// does not, however strong the evidence.
const MinLatencyRatio = 1.04

// IsSlower reports whether the latencies are a reason to halt a release. Of the releases whose two
// versions are alike, it halts at most a share of alpha/testsPerRelease.
func IsSlower(buckets []ComparisonBucket, alpha float64) bool {
	c := CompareLatency(buckets)
	return c.Evidence >= testsPerRelease/alpha && c.Ratio >= MinLatencyRatio
}

// MinFailedShareDifference is the smallest difference of the failed shares that halts a release. A
// smaller difference does not, however strong the evidence.
const MinFailedShareDifference = 0.005

// FailsMoreOften reports whether the failures are a reason to halt a release. Of the releases whose
// two versions are alike, it halts at most a share of alpha/testsPerRelease.
func FailsMoreOften(buckets []ComparisonBucket, alpha float64) bool {
	c := CompareFailures(buckets)
	return c.Evidence >= testsPerRelease/alpha && c.ToShare-c.FromShare >= MinFailedShareDifference
}

// Constants of ServesTooLittle.
const (
	// servedShareBuckets is how many of the newest buckets are evaluated: the last 10 s.
	servedShareBuckets = 5
	// servedShareMinRequests is how many requests these buckets must contain; with fewer the check
	// is skipped.
	servedShareMinRequests = 100
)

// ServesTooLittle returns the share of requests that both versions together served in the newest
// buckets, and whether it is below minShare.
func ServesTooLittle(buckets []ComparisonBucket, minShare float64) (served float64, isTooLittle bool) {
	var servedCount, total int64
	newest := buckets[max(0, len(buckets)-servedShareBuckets):]
	for _, b := range newest {
		bothServed := b.Served[fromVersion] + b.Served[toVersion]
		servedCount += bothServed
		total += bothServed + b.Failed[fromVersion] + b.Failed[toVersion]
	}
	served = ratio(float64(servedCount), float64(total))
	hasEnough := len(newest) == servedShareBuckets && total >= servedShareMinRequests
	return served, hasEnough && served < minShare
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
