package checker

// Bounds of the rule on cold servers.
const (
	maxInformedShare     = 2.0 / 3 // of the work that pushed a server over may come from routers that had been told of its start
	startToleranceMillis = 1000    // by which the start that the list tells may lie before the one that the server booked
)

// toldStart is the word of a server's start to a router.
type toldStart struct{ at, startedAt float64 }

// judgeFalls finds cold servers that were pushed over mostly by routers that knew that they were cold.
func judgeFalls(h *history, r Rules, add report) {
	for _, fall := range h.falls {
		informed, total := h.workBeforeFall(fall, r)
		switch {
		case total == 0:
			add("cold", fall.At, "server %s was pushed over while it was cold", fall.Server)
		case informed > maxInformedShare*total:
			add("cold", fall.At, "server %s was pushed over while it was cold, by %.0f ms of work, %.0f%% of it from routers that had been told of its start",
				fall.Server, total, 100*informed/total)
		}
	}
}

// workBeforeFall is the work that came to a server in the window before it fell, and how much of that came from routers that had been
// told of its start. Work that no client asked for comes from a router all the same, and which one can't be known: none is excused by it.
func (h *history) workBeforeFall(fall Event, r Rules) (informed, total float64) {
	for _, q := range h.requests {
		for _, a := range q.attempts {
			if a.server != fall.Server || a.whole < fall.Began || a.whole > fall.At {
				continue
			}
			total += a.work
			if !q.has || h.knowsStart(q.sent.Router, fall, a.began, r) {
				informed += a.work
			}
		}
	}
	return informed, total
}

// knowsStart reports whether a router had been told by then of the start after which a server fell, by discovery or by the clock.
func (h *history) knowsStart(router string, fall Event, by float64, r Rules) bool {
	startedAt, found := h.lastServerStart(fall)
	if !found { // nobody says when it started: it has been cold for long
		return true
	}
	isOfStart := func(at float64) bool { return at >= startedAt-startToleranceMillis }
	for _, told := range h.toldStarts[routerServer{router, fall.Server}] {
		if told.at <= by && isOfStart(told.startedAt) {
			return true
		}
	}
	for _, change := range h.discovery.listed[fall.Server] {
		if isOfStart(change.ServerStartedAt) && h.discovery.toldByClock(router, change.At, r.HasPushedList) <= by {
			return true
		}
	}
	return false
}

// lastServerStart is when a server's process had started that fell.
func (h *history) lastServerStart(fall Event) (at float64, found bool) {
	for _, startedAt := range h.serverStarts[fall.Server] {
		if startedAt <= fall.At {
			at, found = startedAt, true
		}
	}
	return at, found
}
