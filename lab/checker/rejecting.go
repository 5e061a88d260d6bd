package checker

import (
	"cmp"
	"maps"
	"slices"
)

// Bounds of the rule on routers that serve nobody.
const (
	maxRejectingShare    = 0.1  // of the routers may reject all that they get
	minRejections        = 15   // one after the other, for it to count
	rejectingSpellMillis = 4000 // from the first of them to the last
	maxReportedRejecting = 5    // routers that a breach names
)

// step is one thing that a router did: a request rejected, or something that shows that it serves.
type step struct {
	at         float64
	isRejected bool
}

// judgeRejecting finds fleets of which too many routers reject all that they get, though nothing has gone wrong.
func judgeRejecting(h *history, r Rules, add report) {
	if !r.HasOnlyPlanned {
		return
	}
	steps := stepsByRouter(h)
	var rejecting []string
	foundAt := 0.0
	for _, router := range slices.Sorted(maps.Keys(steps)) {
		if at, found := rejectingSpell(steps[router]); found {
			rejecting = append(rejecting, router)
			foundAt = max(foundAt, at)
		}
	}
	if float64(len(rejecting)) > maxRejectingShare*float64(len(h.routers)) {
		add("rejecting", foundAt, "%d of %d routers rejected all that they got for %d ms, %v among them",
			len(rejecting), len(h.routers), rejectingSpellMillis, rejecting[:min(maxReportedRejecting, len(rejecting))])
	}
}

// stepsByRouter are what each router did, in the order of time.
func stepsByRouter(h *history) map[string][]step {
	steps := map[string][]step{}
	for _, q := range h.requests {
		if !q.has {
			continue
		}
		router := q.sent.Router
		for _, a := range q.attempts {
			steps[router] = append(steps[router], step{a.began, false})
		}
		if at, ok := q.rejectedAt(); ok {
			steps[router] = append(steps[router], step{at, true})
		}
	}
	for router, times := range h.killed { // a new process begins anew
		for _, at := range times {
			steps[router] = append(steps[router], step{at, false})
		}
	}
	for _, list := range steps {
		slices.SortStableFunc(list, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	}
	return steps
}

// rejectedAt is when a request was rejected: refused or failed without any attempt, or its new connection closed.
func (q *request) rejectedAt() (at float64, ok bool) {
	if q.isConnectionRefused() {
		return q.closed.At, true
	}
	if len(q.attempts) > 0 || len(q.answers) == 0 || q.answers[0].Answer == Served {
		return 0, false
	}
	return q.answers[0].At, true
}

// rejectingSpell finds a spell of rejections alone that is long enough, and when it was.
func rejectingSpell(steps []step) (at float64, found bool) {
	rejections, firstAt := 0, 0.0
	for _, s := range steps {
		if !s.isRejected {
			rejections = 0
			continue
		}
		if rejections++; rejections == 1 {
			firstAt = s.at
		}
		if rejections >= minRejections && s.at-firstAt >= rejectingSpellMillis {
			return s.at, true
		}
	}
	return 0, false
}
