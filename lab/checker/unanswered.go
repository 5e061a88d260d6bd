package checker

// Bounds of the rule on requests that have no answer when their time is up.
const (
	lateAnswerMillis       = 500       // an answer that is late by no more only earns nothing; one that is later has been lost
	unansweredAllowance    = 5         // so many requests,
	unansweredRequestShare = 1.0 / 500 // and this share of all, may be without an answer when their time is up
)

// judgeUnanswered bounds the requests that had no answer when their time was up, whether it came later or never.
func judgeUnanswered(h *history, r Rules, add report) {
	all, unanswered, lastAt := 0, 0, 0.0
	byRouter := map[string]int{}
	for _, q := range h.requests {
		if !q.has {
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
		add("unanswered", lastAt, "%d of %d requests had no answer when their time was up; by router: %v", unanswered, all, byRouter)
	}
}

// isUnanswered reports whether a client that was still there had no answer when its time was up.
func (q *request) isUnanswered(r Rules) bool {
	if len(q.answers) > 0 {
		return q.answers[0].At > q.deadline()+r.SlackMS
	}
	return q.left != nil
}
