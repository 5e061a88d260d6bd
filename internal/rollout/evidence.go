package rollout

import "math"

// ratios are the alternatives weighed: the odds of a failure at the new version against those at the old one.
var ratios = [...]float64{1.2, 1.5, 2, 4, 10}

// Evidence weighs whether the new version fails more often than the old one at the same time. In each bin, given how many failed
// in all, the share of them that falls to the new version is its share of the requests if both are alike; the product over the
// bins of the likelihood ratios, averaged over the alternatives, then is a test martingale: whatever the load does and whenever one
// looks, it exceeds 1/alpha with a probability of alpha at most (Ville's inequality). See Shafer, 'Testing by betting' (2021).
//
// It returns the evidence, and the shares of requests that failed at the old and the new version.
func Evidence(bins []Bin) (e, before, after float64) {
	var logs [len(ratios)]float64
	var n, x [2]float64
	for _, b := range bins {
		n0, n1 := float64(b.Good[0]+b.Bad[0]), float64(b.Good[1]+b.Bad[1])
		x0, x1 := float64(b.Bad[0]), float64(b.Bad[1])
		n[0], n[1], x[0], x[1] = n[0]+n0, n[1]+n1, x[0]+x0, x[1]+x1
		if n0 == 0 || n1 == 0 || x0+x1 == 0 {
			continue
		}
		p := n1 / (n0 + n1)
		for i, r := range ratios {
			logs[i] += x1*math.Log(r) - (x0+x1)*math.Log(1-p+p*r)
		}
	}
	for _, l := range logs {
		e += math.Exp(l) / float64(len(ratios))
	}
	return e, share(x[0], n[0]), share(x[1], n[1])
}

func share(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// LeastHarm is the least difference of the shares that fail for which a release is halted: less is no reason, however sure.
const LeastHarm = 0.005

// Worse tells whether the evidence halts a release, with at most alpha false halts of releases in which both versions are alike.
func Worse(bins []Bin, alpha float64) bool {
	e, before, after := Evidence(bins)
	return e >= 1/alpha && after-before >= LeastHarm
}

// Low tells whether in the newest bins, 10 s of both versions, a smaller share than floor was served, of at least 100 requests.
func Low(bins []Bin, floor float64) (served float64, low bool) {
	var good, all int64
	newest := bins[max(0, len(bins)-lowBins):]
	for _, b := range newest {
		good += b.Good[0] + b.Good[1]
		all += b.Good[0] + b.Good[1] + b.Bad[0] + b.Bad[1]
	}
	served = share(float64(good), float64(all))
	return served, len(newest) == lowBins && all >= 100 && served < floor
}

// lowBins are looked at by Low.
const lowBins = 5
