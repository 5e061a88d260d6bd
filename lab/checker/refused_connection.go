package checker

import "slices"

// maxRefusedConnectionShare is the share of the requests whose new connection may be closed with no
// answer, which counts as a rejection. A larger share counts as lost requests.
const maxRefusedConnectionShare = 1.0 / 200

// checkRefusedConnections limits the requests whose new connection the router closed unread.
func checkRefusedConnections(h *history, r Rules, add reportFunc) {
	all, refused, lastAt := 0, 0, 0.0
	for _, q := range h.requests {
		if !q.isSent {
			continue
		}
		all++
		if q.isConnectionRefused() &&
			!h.wasPaused(q, r) && !h.wasKilledAround(q, r) && !h.hadDescriptorsExhausted(q, r) {
			refused++
			lastAt = max(lastAt, q.closed.At)
		}
	}
	if float64(refused) > maxRefusedConnectionShare*float64(all) {
		add("lost", lastAt, "%d of %d requests had their new connection closed with no answer", refused, all)
	}
}

// isConnectionRefused reports whether the router closed a new connection with no answer, and made no
// attempt for the request.
func (q *request) isConnectionRefused() bool {
	return len(q.answers) == 0 && len(q.attempts) == 0 && q.closed != nil && q.closed.NewConnection
}

// wasKilledAround reports whether the request's router was killed while it held the request, or just
// before the request was written: a connection that the kernel accepted for a process is closed when
// the process exits.
func (h *history) wasKilledAround(q *request, r Rules) bool {
	return slices.ContainsFunc(h.killed[q.sent.Router], func(at float64) bool {
		return at >= q.sent.At-r.SlackMS && at <= q.deadline()+r.SlackMS
	})
}
