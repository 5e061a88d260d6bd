package checker

import (
	"cmp"
	"maps"
	"slices"
)

// Limits of the rule on routers that reject all requests.
const (
	maxRejectingShare    = 0.1  // share of the routers that may reject all their requests
	minRejections        = 15   // consecutive rejections that count as a rejecting period
	minRejectingMillis   = 4000 // least time from the first of them to the last
	maxReportedRejecting = 5    // routers listed in a violation
)

// step is one action of a router: a rejected request, or one that shows that the router serves.
type step struct {
	at         float64
	isRejected bool
}

// checkRejecting reports a run without faults in which too many routers rejected all their requests.
func checkRejecting(h *history, r Rules, add reportFunc) {
	if !r.HasOnlyPlanned {
		return
	}
	steps := stepsByRouter(h)
	var rejecting []string
	foundAt := 0.0
	for _, router := range slices.Sorted(maps.Keys(steps)) {
		if at, found := findRejectingPeriod(steps[router]); found {
			rejecting = append(rejecting, router)
			foundAt = max(foundAt, at)
		}
	}
	if float64(len(rejecting)) > maxRejectingShare*float64(len(h.routers)) {
		add("rejecting", foundAt, "%d of %d routers rejected all their requests for %d ms, %v among them",
			len(rejecting), len(h.routers), minRejectingMillis, rejecting[:min(maxReportedRejecting, len(rejecting))])
	}
}

// stepsByRouter returns the steps of each router, in the order of time.
func stepsByRouter(h *history) map[string][]step {
	steps := map[string][]step{}
	for _, q := range h.requests {
		if !q.isSent {
			continue
		}
		router := q.sent.Router
		for _, a := range q.attempts {
			steps[router] = append(steps[router], step{a.beganAt, false})
		}
		if at, ok := q.rejectedAt(); ok {
			steps[router] = append(steps[router], step{at, true})
		}
	}
	for router, times := range h.killed { // a new process starts a new period
		for _, at := range times {
			steps[router] = append(steps[router], step{at, false})
		}
	}
	for _, list := range steps {
		slices.SortStableFunc(list, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	}
	return steps
}

// rejectedAt returns the time at which a request was rejected: refused or failed without any attempt,
// or its new connection closed.
func (q *request) rejectedAt() (at float64, ok bool) {
	if q.isConnectionRefused() {
		return q.closed.At, true
	}
	if len(q.attempts) > 0 || len(q.answers) == 0 || q.answers[0].Answer == Served {
		return 0, false
	}
	return q.answers[0].At, true
}

// findRejectingPeriod finds a long enough period with only rejections, and returns the time at
// which it became long enough.
func findRejectingPeriod(steps []step) (at float64, found bool) {
	rejections, firstAt := 0, 0.0
	for _, s := range steps {
		if !s.isRejected {
			rejections = 0
			continue
		}
		if rejections++; rejections == 1 {
			firstAt = s.at
		}
		if rejections >= minRejections && s.at-firstAt >= minRejectingMillis {
			return s.at, true
		}
	}
	return 0, false
}
