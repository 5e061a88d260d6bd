package rollout

import "math"

// failureOddsRatios are the alternatives weighed: the odds of a failure at the new version against those at the old one.
var failureOddsRatios = [...]float64{1.2, 1.5, 2, 4, 10}

// maxLogEvidencePerBucket is the most that one bin adds to the evidence, as a logarithm. Requests that fail in a burst at one router are one event,
// not hundreds: a version must be worse in several bins. Less than the ratio keeps the bound on false halts.
var maxLogEvidencePerBucket = math.Log(4)

// FailureEvidence weighs whether the new version fails more often than the old one at the same time. In each bin, given how many failed
// in all, the share of them that falls to the new version is its share of the requests if both are alike; the product over the
// bins of the likelihood ratios, averaged over the alternatives, then is a test martingale: whatever the load does and whenever one
// looks, it exceeds 1/alpha with a probability of alpha at most (Ville's inequality). See Shafer, 'Testing by betting' (2021).
//
// It returns the evidence, and the shares of requests that failed at the old and the new version.
func FailureEvidence(bins []ComparisonBucket) (e, before, after float64) {
	var logs [len(failureOddsRatios)]float64
	var n, x [2]float64
	for _, b := range bins {
		n0, n1 := float64(b.Served[0]+b.Failed[0]), float64(b.Served[1]+b.Failed[1])
		x0, x1 := float64(b.Failed[0]), float64(b.Failed[1])
		n[0], n[1], x[0], x[1] = n[0]+n0, n[1]+n1, x[0]+x0, x[1]+x1
		if n0 == 0 || n1 == 0 || x0+x1 == 0 {
			continue
		}
		p := n1 / (n0 + n1)
		for i, r := range failureOddsRatios {
			logs[i] += min(maxLogEvidencePerBucket, x1*math.Log(r)-(x0+x1)*math.Log(1-p+p*r))
		}
	}
	for _, l := range logs {
		e += math.Exp(l) / float64(len(failureOddsRatios))
	}
	return e, ratio(x[0], n[0]), ratio(x[1], n[1])
}

// LatencyBuckets is into how many the times of served requests are sorted.
const LatencyBuckets = 16

// LatencyBucket is the one of a request that took so much of its class's aim (1 = all of it): half octaves from 1/64 to 2 and beyond.
func LatencyBucket(ofAim float64) int {
	if !(ofAim > 0) {
		return 0
	}
	return max(0, min(LatencyBuckets-1, int(math.Ceil(2*(math.Log2(ofAim)+6)))))
}

// latencyTilts are the alternatives weighed for the speed: how much likelier a request of the new version is for each standard deviation
// by which its bucket lies above the mean, as a logarithm.
var latencyTilts = [...]float64{0.05, 0.1, 0.2, 0.4, 0.8}

// LatencyEvidence weighs whether the new version is slower than the old one at the same time. If both are alike, who answered a request says
// nothing of its bucket: the new version's n requests of a bin are drawn from all of the bin without replacement. The mean of
// exp(tilt x their scores' sum) then is at most the n-th power of the mean of exp(tilt x score) over the bin (Hoeffding 1963, theorem
// 4), so that the product of the ratios over the bins, averaged over the tilts, is a test supermartingale, as Evidence is.
//
// It returns the evidence and by what the new version's times are longer in the geometric mean (1 = not), as far as the buckets tell.
func LatencyEvidence(bins []ComparisonBucket) (e, times float64) {
	var logs [len(latencyTilts)]float64
	var n, sum [2]float64 // over all bins: requests, and their buckets
	for _, b := range bins {
		var all [LatencyBuckets]float64
		var of [2]float64
		mean, square := 0.0, 0.0
		for i, counts := range b.LatencyCounts {
			for k, c := range counts {
				x := float64(c)
				all[k] += x
				of[i] += x
				mean += x * float64(k)
				square += x * float64(k*k)
				n[i], sum[i] = n[i]+x, sum[i]+x*float64(k)
			}
		}
		total := of[0] + of[1]
		if of[0] == 0 || of[1] == 0 {
			continue
		}
		mean /= total
		dev := math.Sqrt(max(0, square/total-mean*mean))
		if dev == 0 {
			continue
		}
		for i, tilt := range latencyTilts {
			drawn, mgf := 0.0, 0.0
			for k, c := range all {
				score := tilt * (float64(k) - mean) / dev
				mgf += c / total * math.Exp(score)
				if b.LatencyCounts[1] != nil {
					drawn += float64(b.LatencyCounts[1][k]) * score
				}
			}
			logs[i] += min(maxLogEvidencePerBucket, drawn-of[1]*math.Log(mgf))
		}
	}
	for _, l := range logs {
		e += math.Exp(l) / float64(len(latencyTilts))
	}
	return e, math.Exp2((ratio(sum[1], n[1]) - ratio(sum[0], n[0])) / 2)
}

// MinLatencyRatio is by how much the new version must be slower at the least to halt a release: less is no reason, however sure.
const MinLatencyRatio = 1.04

// IsSlower tells whether the new version's answers take longer, as Worse does of what fails.
func IsSlower(bins []ComparisonBucket, alpha float64) bool {
	e, times := LatencyEvidence(bins)
	return e >= testsPerRelease/alpha && times >= MinLatencyRatio
}

// testsPerRelease are made of a release at once; each has its part of the false halts.
const testsPerRelease = 2

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// MinFailedShareDifference is the least difference of the shares that fail for which a release is halted: less is no reason, however sure.
const MinFailedShareDifference = 0.005

// FailsMoreOften tells whether the evidence halts a release, with at most alpha false halts of releases in which both versions are alike.
func FailsMoreOften(bins []ComparisonBucket, alpha float64) bool {
	e, before, after := FailureEvidence(bins)
	return e >= testsPerRelease/alpha && after-before >= MinFailedShareDifference
}

// ServesTooLittle tells whether in the newest bins, 10 s of both versions, a smaller share than floor was served, of at least 100 requests.
func ServesTooLittle(bins []ComparisonBucket, floor float64) (served float64, low bool) {
	var good, all int64
	newest := bins[max(0, len(bins)-servedShareBuckets):]
	for _, b := range newest {
		good += b.Served[0] + b.Served[1]
		all += b.Served[0] + b.Served[1] + b.Failed[0] + b.Failed[1]
	}
	served = ratio(float64(good), float64(all))
	return served, len(newest) == servedShareBuckets && all >= 100 && served < floor
}

// servedShareBuckets are looked at by Low.
const servedShareBuckets = 5
