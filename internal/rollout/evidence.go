package rollout

import "math"

// testsPerRelease is how many tests a release is put to at once. Each gets its part of the false
// halts.
const testsPerRelease = 2

// failureOddsRatios are the alternatives weighed by CompareFailures: the odds of a failure at the
// new version against those at the old one.
var failureOddsRatios = [...]float64{1.2, 1.5, 2, 4, 10}

// maxLogEvidencePerBucket is the most that one bucket adds to the evidence, as a logarithm.
// Requests that fail in a burst at one router are one event, not hundreds: a version must be worse
// in several buckets. Counting less than the likelihood ratio keeps the bound on false halts.
var maxLogEvidencePerBucket = math.Log(4)

// FailureComparison is how often both versions reject or fail requests.
type FailureComparison struct {
	// Evidence is that the new version fails more often; 1 is none.
	Evidence float64
	// FromShare is the share of requests that the old version rejects or fails.
	FromShare float64
	// ToShare is the share of requests that the new version rejects or fails.
	ToShare float64
}

// CompareFailures weighs whether the new version fails more often than the old one at the same
// time.
//
// In each bucket, given how many requests failed in all, the share of them that falls to the new
// version is its share of the requests if both are alike. The product over the buckets of the
// likelihood ratios, averaged over the alternatives, then is a test martingale: whatever the load
// does and whenever one looks, it exceeds 1/alpha with a probability of at most alpha (Ville's
// inequality). See Shafer, 'Testing by betting' (2021).
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

// meanEvidence averages the evidence over alternatives of equal weight.
func meanEvidence(logEvidence []float64) (evidence float64) {
	for _, l := range logEvidence {
		evidence += math.Exp(l) / float64(len(logEvidence))
	}
	return evidence
}

// latencyTilts are the alternatives weighed by CompareLatency: how much likelier a request of the
// new version is for each standard deviation by which its latency bucket lies above the mean, as a
// logarithm.
var latencyTilts = [...]float64{0.05, 0.1, 0.2, 0.4, 0.8}

// LatencyComparison is how fast both versions answer.
type LatencyComparison struct {
	// Evidence is that the new version is slower; 1 is none.
	Evidence float64
	// Ratio is the new version's geometric mean latency against the old one's, as far as the
	// buckets tell.
	Ratio float64
}

// CompareLatency weighs whether the new version is slower than the old one at the same time.
//
// If both are alike, who answered a request says nothing of its latency: the new version's n
// requests of a bucket are drawn from all requests of the bucket without replacement. The mean of
// exp(tilt x the sum of their scores) then is at most the n-th power of the mean of exp(tilt x
// score) over the bucket (Hoeffding 1963, theorem 4), so that the product of the ratios over the
// buckets, averaged over the tilts, is a test supermartingale, as that of CompareFailures is.
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

// latencyBucketsPerOctave is how many latency buckets a doubling of the latency takes.
const latencyBucketsPerOctave = 2

// latencyHistogram pools the latencies of both versions in one comparison bucket.
type latencyHistogram struct {
	// counts are the requests by LatencyBucket.
	counts [LatencyBuckets]float64
	// requests are the requests by version.
	requests [2]float64
	// sum is that of all latency bucket numbers.
	sum float64
	// sumOfSquares is that of their squares.
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
		drawn := 0.0
		meanExp := 0.0
		for k, n := range h.counts {
			score := tilt * (float64(k) - mean) / deviation
			meanExp += n / total * math.Exp(score)
			if toCounts != nil {
				drawn += float64(toCounts[k]) * score
			}
		}
		logEvidence[i] += min(maxLogEvidencePerBucket, drawn-h.requests[toVersion]*math.Log(meanExp))
	}
}

// MinLatencyRatio is how much slower the new version must be at least to halt a release: less is no
// reason, however sure.
const MinLatencyRatio = 1.04

// IsSlower tells whether the latencies halt a release, with at most alpha false halts of releases
// in which both versions are alike.
func IsSlower(buckets []ComparisonBucket, alpha float64) bool {
	c := CompareLatency(buckets)
	return c.Evidence >= testsPerRelease/alpha && c.Ratio >= MinLatencyRatio
}

// MinFailedShareDifference is the least difference of the failed shares that halts a release: less
// is no reason, however sure.
const MinFailedShareDifference = 0.005

// FailsMoreOften tells whether the failures halt a release, with at most alpha false halts of
// releases in which both versions are alike.
func FailsMoreOften(buckets []ComparisonBucket, alpha float64) bool {
	c := CompareFailures(buckets)
	return c.Evidence >= testsPerRelease/alpha && c.ToShare-c.FromShare >= MinFailedShareDifference
}

// Constants of ServesTooLittle.
const (
	// servedShareBuckets is how many of the newest buckets are weighed: 10 s.
	servedShareBuckets = 5
	// servedShareMinRequests is how many requests they must have: fewer say nothing.
	servedShareMinRequests = 100
)

// ServesTooLittle returns the share of requests that both versions served in the newest buckets,
// and whether it is below a floor.
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

// ratio divides; 0 where the divisor is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
