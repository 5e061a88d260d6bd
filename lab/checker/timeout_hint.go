package checker

// Limits of the rule on timeout hints.
const (
	timeoutHintSlackMillis = 150 // a hint that exceeds the client's remaining time by more than this is overstated
	maxOverstatedShare     = 0.2 // share of the further attempts
	minFurtherAttempts     = 10  // with fewer, the share is not meaningful
)

// TimeoutHint is the time for which the router will wait, as an attempt announces it to its server.
type TimeoutHint struct {
	Millis    float64
	IsPresent bool
}

// TimeoutHintCounts counts attempts, and those whose hint exceeded the client's remaining time when
// the first byte of the attempt arrived.
type TimeoutHintCounts struct {
	First           int `json:"first"`
	FirstOverstated int `json:"first_overstated"`
	// Further counts second and later attempts of a request, including fetches from the origin after a
	// miss.
	Further           int `json:"further"`
	FurtherOverstated int `json:"further_overstated"`
}

// CountTimeoutHints counts the hints of a run. The events must be in the order of time.
func CountTimeoutHints(events []Event, r Rules) TimeoutHintCounts {
	counts, _ := countTimeoutHints(newHistory(events, r), r)
	return counts
}

// countTimeoutHints also returns the start of the last further attempt with an overstated hint.
func countTimeoutHints(h *history, r Rules) (counts TimeoutHintCounts, lastAt float64) {
	for _, q := range h.requests {
		if !q.isSent || h.wasPaused(q, r) {
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
				lastAt = max(lastAt, a.beganAt)
			}
		}
	}
	return counts, lastAt
}

// isOverstated reports whether the hint of an attempt exceeded the client's remaining time.
func isOverstated(q *request, a *attempt, r Rules) bool {
	remainingMillis := q.deadline() - a.beganAt
	return a.hint.IsPresent && a.hint.Millis > remainingMillis+timeoutHintSlackMillis+r.MachineLateMS
}

// checkTimeoutHints limits the further attempts with an overstated hint. First attempts are only
// counted.
func checkTimeoutHints(h *history, r Rules, add reportFunc) {
	counts, lastAt := countTimeoutHints(h, r)
	if counts.Further < minFurtherAttempts {
		return
	}
	if float64(counts.FurtherOverstated) > maxOverstatedShare*float64(counts.Further) {
		add("timeout-hint", lastAt,
			"the hint of %d of %d further attempts exceeded the client's remaining time by over %d ms",
			counts.FurtherOverstated, counts.Further, timeoutHintSlackMillis)
	}
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
