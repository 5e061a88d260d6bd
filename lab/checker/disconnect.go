package checker

import (
	"cmp"
	"slices"
)

// Bounds of the rules on clients that have disconnected.
const (
	disconnectNoticeMillis = 100  // an attempt that begins later than this after the client's close is one too many
	maxAttemptsAfterClose  = 2    // that are borne in a run
	waitingNoticeMillis    = 300  // a request that waited for its first attempt at the close, and is sent later than this
	maxWaitingSentShare    = 0.25 // of the requests that waited then
	minWaitingSent         = 5    // fewer are borne, whatever their share
)

// judgeDisconnected finds routers that send on requests of clients that are no longer there.
func judgeDisconnected(h *history, r Rules, add report) {
	judgeAttemptsAfterClose(h, r, add)
	judgeWaitingAtClose(h, r, add)
}

// afterClose is an attempt that began too long after its client's close.
type afterClose struct {
	*attempt
	request    string
	lateMillis float64
}

// judgeAttemptsAfterClose counts attempts, first or further, that begin after the client has gone.
func judgeAttemptsAfterClose(h *history, r Rules, add report) {
	var all []afterClose
	for _, q := range h.requests {
		if !q.has || h.wasPaused(q, r) {
			continue
		}
		for _, a := range q.attempts {
			if late := a.began - q.disconnectedAt(); late > disconnectNoticeMillis+r.MachineLateMS {
				all = append(all, afterClose{a, q.sent.Request, late})
			}
		}
	}
	slices.SortFunc(all, func(a, b afterClose) int { return cmp.Compare(a.began, b.began) })
	for _, a := range all[min(maxAttemptsAfterClose, len(all)):] {
		add("lost", a.began, "request %s: sent to server %s %.0f ms after its client disconnected; %d such attempts in all",
			a.request, a.server, a.lateMillis, len(all))
	}
}

// judgeWaitingAtClose counts requests that waited for their first attempt when their client disconnected, and were sent all the same.
func judgeWaitingAtClose(h *history, r Rules, add report) {
	waiting, sent, lastAt := 0, 0, 0.0
	for _, q := range h.requests {
		if !q.has || q.disconnected == nil || h.wasPaused(q, r) {
			continue
		}
		closedAt := q.disconnectedAt()
		if len(q.attempts) > 0 && q.attempts[0].began <= closedAt {
			continue
		}
		waiting++
		if len(q.attempts) > 0 && q.attempts[0].began > closedAt+waitingNoticeMillis+r.MachineLateMS {
			sent++
			lastAt = max(lastAt, q.attempts[0].began)
		}
	}
	if sent >= minWaitingSent && float64(sent) > maxWaitingSentShare*float64(waiting) {
		add("disconnected", lastAt, "%d of the %d requests that waited for their first attempt when their client disconnected were sent on over %d ms later",
			sent, waiting, waitingNoticeMillis)
	}
}
