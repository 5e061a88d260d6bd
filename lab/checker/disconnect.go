package checker

import (
	"cmp"
	"slices"
)

// Limits of the rules on clients that disconnected.
const (
	disconnectNoticeMillis = 100  // an attempt may begin this long after the client's close
	maxAttemptsAfterClose  = 2    // later attempts that are allowed in a run
	waitingNoticeMillis    = 300  // a request waiting for its first attempt at the close may be sent this long after
	maxWaitingSentShare    = 0.25 // share of those waiting requests that may be sent later
	minWaitingSent         = 5    // fewer are allowed whatever their share
)

// checkDisconnected finds requests that routers sent to servers after the client disconnected.
func checkDisconnected(h *history, r Rules, add reportFunc) {
	checkAttemptsAfterClose(h, r, add)
	checkWaitingAtClose(h, r, add)
}

// afterClose is an attempt that began too long after its client closed the connection.
type afterClose struct {
	*attempt
	request    string
	lateMillis float64
}

// checkAttemptsAfterClose counts attempts, first or further, that began after the client's close.
func checkAttemptsAfterClose(h *history, r Rules, add reportFunc) {
	var all []afterClose
	for _, q := range h.requests {
		if !q.isSent || h.wasPaused(q, r) {
			continue
		}
		for _, a := range q.attempts {
			if late := a.beganAt - q.disconnectedAt(); late > disconnectNoticeMillis+r.MachineLateMS {
				all = append(all, afterClose{a, q.sent.Request, late})
			}
		}
	}
	slices.SortFunc(all, func(a, b afterClose) int { return cmp.Compare(a.beganAt, b.beganAt) })
	for _, a := range all[min(maxAttemptsAfterClose, len(all)):] {
		add("lost", a.beganAt,
			"request %s: sent to server %s %.0f ms after its client disconnected; %d such attempts in all",
			a.request, a.server, a.lateMillis, len(all))
	}
}

// checkWaitingAtClose counts requests that were waiting for their first attempt when their client
// disconnected, and were sent nevertheless.
func checkWaitingAtClose(h *history, r Rules, add reportFunc) {
	waiting, sent, lastAt := 0, 0, 0.0
	for _, q := range h.requests {
		if !q.isSent || q.disconnected == nil || h.wasPaused(q, r) {
			continue
		}
		closedAt := q.disconnectedAt()
		if len(q.attempts) > 0 && q.attempts[0].beganAt <= closedAt {
			continue
		}
		waiting++
		if len(q.attempts) > 0 && q.attempts[0].beganAt > closedAt+waitingNoticeMillis+r.MachineLateMS {
			sent++
			lastAt = max(lastAt, q.attempts[0].beganAt)
		}
	}
	if sent >= minWaitingSent && float64(sent) > maxWaitingSentShare*float64(waiting) {
		add("disconnected", lastAt,
			"%d of the %d requests without an attempt when their client disconnected were sent over %d ms later",
			sent, waiting, waitingNoticeMillis)
	}
}
