package checker

import "slices"

// maxRefusedConnectionShare of the requests may have their new connection closed with no answer: it is a rejection then. More are lost.
const maxRefusedConnectionShare = 1.0 / 200

// judgeRefusedConnections bounds the requests whose new connection the router closed unread.
func judgeRefusedConnections(h *history, r Rules, add report) {
	all, refused, lastAt := 0, 0, 0.0
	for _, q := range h.requests {
		if !q.has {
			continue
		}
		all++
		if q.isConnectionRefused() && !h.wasPaused(q, r) && !h.diedBefore(q, r) && !h.wasCrowded(q, r) {
			refused++
			lastAt = max(lastAt, q.closed.At)
		}
	}
	if float64(refused) > maxRefusedConnectionShare*float64(all) {
		add("lost", lastAt, "%d of %d requests had their new connection closed with no answer", refused, all)
	}
}

// isConnectionRefused reports whether the router closed a connection that was new with no answer, and sent the request nowhere.
func (q *request) isConnectionRefused() bool {
	return len(q.answers) == 0 && len(q.attempts) == 0 && q.closed != nil && q.closed.NewConnection
}

// diedBefore reports whether the request's router was killed while it held the request, or just before the request was written: a
// connection that the system had accepted for a process ends with the process.
func (h *history) diedBefore(q *request, r Rules) bool {
	return slices.ContainsFunc(h.killed[q.sent.Router], func(at float64) bool {
		return at >= q.sent.At-r.SlackMS && at <= q.deadline()+r.SlackMS
	})
}
