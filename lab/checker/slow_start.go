package checker

// Bounds of the rule on cold servers.
const (
	maxInformedShare     = 2.0 / 3 // share of the work before a collapse that may come from informed routers
	startToleranceMillis = 1000    // the list may give a start this much before the one that the server recorded
)

// sentStart is a server's start time as discovery sent it to a router, and the time of sending.
type sentStart struct{ at, startedAt float64 }

// checkCollapses finds cold servers that collapsed mostly from the work of routers that had been
// informed of the server's start.
func checkCollapses(h *history, r Rules, add reportFunc) {
	for _, collapse := range h.collapses {
		informed, total := h.workBeforeCollapse(collapse, r)
		switch {
		case total == 0:
			add("cold", collapse.At, "server %s collapsed while cold", collapse.Server)
		case informed > maxInformedShare*total:
			add("cold", collapse.At,
				"server %s collapsed while cold, from %.0f ms of work, %.0f%% of it from routers informed of its start",
				collapse.Server, total, 100*informed/total)
		}
	}
}

// workBeforeCollapse returns the work that arrived at a server in the window before its collapse, and
// the part of it from routers that had been informed of the server's start. Work that no client asked
// for counts as informed, because the router that sent it is unknown.
func (h *history) workBeforeCollapse(collapse Event, r Rules) (informed, total float64) {
	for _, q := range h.requests {
		for _, a := range q.attempts {
			if a.server != collapse.Server || a.receivedAt < collapse.Began || a.receivedAt > collapse.At {
				continue
			}
			total += a.work
			if router := q.router(); router == "" || h.wasInformedOfStart(router, collapse, a.beganAt, r) {
				informed += a.work
			}
		}
	}
	return informed, total
}

// wasInformedOfStart reports whether a router had been informed, before a time, of the start that
// preceded a server's collapse: discovery sent it, or it counts as received (assumedReceivedAt).
func (h *history) wasInformedOfStart(router string, collapse Event, by float64, r Rules) bool {
	startedAt, found := h.lastServerStart(collapse)
	if !found { // no start is recorded: the server has been cold for long
		return true
	}
	isOfStart := func(at float64) bool { return at >= startedAt-startToleranceMillis }
	for _, sent := range h.sentStarts[routerServer{router, collapse.Server}] {
		if sent.at <= by && isOfStart(sent.startedAt) {
			return true
		}
	}
	for _, change := range h.discovery.listed[collapse.Server] {
		if isOfStart(change.ServerStartedAt) &&
			h.discovery.assumedReceivedAt(router, change.At, r.HasPushedList) <= by {
			return true
		}
	}
	return false
}

// lastServerStart returns the last start of a server's process before its collapse.
func (h *history) lastServerStart(collapse Event) (at float64, found bool) {
	for _, startedAt := range h.serverStarts[collapse.Server] {
		if startedAt <= collapse.At {
			at, found = startedAt, true
		}
	}
	return at, found
}
