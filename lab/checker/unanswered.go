package checker

// Limits of the rule on requests without an answer at their deadline.
const (
	lateAnswerMillis       = 500       // an answer up to this late only loses its worth; a later one breaks a rule
	unansweredAllowance    = 5         // this many requests,
	unansweredRequestShare = 1.0 / 500 // plus this share of all, may have no answer at their deadline
)

// checkUnanswered limits the requests without an answer at their deadline, whether the answer came
// later or never.
func checkUnanswered(h *history, r Rules, add reportFunc) {
	all, unanswered, lastAt := 0, 0, 0.0
	byRouter := map[string]int{}
	for _, q := range h.requests {
		if !q.isSent {
			continue
		}
		all++
		if h.wasPaused(q, r) || h.wasKilled(q, r) || !q.isUnanswered(r) {
			continue
		}
		unanswered++
		byRouter[q.sent.Router]++
		lastAt = max(lastAt, q.deadline())
	}
	limit := unansweredAllowance + unansweredRequestShare*float64(all)
	if float64(unanswered) > limit {
		add("unanswered", lastAt, "%d of %d requests had no answer at their deadline; by router: %v",
			unanswered, all, byRouter)
	}
}

// isUnanswered reports whether a client that had not disconnected got no answer by its deadline.
func (q *request) isUnanswered(r Rules) bool {
	if len(q.answers) > 0 {
		return q.answers[0].At > q.deadline()+r.SlackMS
	}
	return q.timedOut != nil
}
