package checker

// Bounds of the rule on timeout hints.
const (
	timeoutHintSlackMillis = 150 // a hint that says more than this beyond what is left to the client is overstated
	maxOverstatedShare     = 0.2 // of the further attempts
	minFurtherAttempts     = 10  // with fewer, a share says too little
)

// TimeoutHint is the time for which the router says that it will wait, as an attempt tells it to its server.
type TimeoutHint struct {
	Millis    float64
	IsPresent bool
}

// TimeoutHintCounts count attempts, and those whose hint said more than was left to the client when their first byte came.
type TimeoutHintCounts struct {
	First             int `json:"first"`
	FirstOverstated   int `json:"first_overstated"`
	Further           int `json:"further"` // second and later attempts of a request, fetches at the origin after a miss among them
	FurtherOverstated int `json:"further_overstated"`
}

// CountTimeoutHints counts over a run. The events are in the order of time.
func CountTimeoutHints(events []Event, r Rules) TimeoutHintCounts {
	counts, _ := countTimeoutHints(newHistory(events, r), r)
	return counts
}

// countTimeoutHints also returns when the last of the further attempts began whose hint was overstated.
func countTimeoutHints(h *history, r Rules) (counts TimeoutHintCounts, lastAt float64) {
	for _, q := range h.requests {
		if !q.has || h.wasPaused(q, r) {
			continue
		}
		for i, a := range q.attempts {
			overstated := isOverstated(q, a, r)
			if i == 0 {
				counts.First++
				counts.FirstOverstated += count(overstated)
				continue
			}
			counts.Further++
			counts.FurtherOverstated += count(overstated)
			if overstated {
				lastAt = max(lastAt, a.began)
			}
		}
	}
	return counts, lastAt
}

// isOverstated reports whether an attempt told its server more than was left to the client.
func isOverstated(q *request, a *attempt, r Rules) bool {
	remainingMillis := q.deadline() - a.began
	return a.hint.IsPresent && a.hint.Millis > remainingMillis+timeoutHintSlackMillis+r.MachineLateMS
}

// judgeTimeoutHints finds routers that tell servers of more time than clients have. First attempts are only counted.
func judgeTimeoutHints(h *history, r Rules, add report) {
	counts, lastAt := countTimeoutHints(h, r)
	if counts.Further < minFurtherAttempts {
		return
	}
	if float64(counts.FurtherOverstated) > maxOverstatedShare*float64(counts.Further) {
		add("timeout-hint", lastAt, "%d of %d further attempts told their server over %d ms more than was left to the client",
			counts.FurtherOverstated, counts.Further, timeoutHintSlackMillis)
	}
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
