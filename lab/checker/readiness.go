package checker

// Limits of the rule on starting routers.
const (
	readyMillis         = 10_000 // a restarted router has to be ready within this time,
	readyAtEndMillis    = 6_000  // or within this, if the run ends sooner
	maxSlowRestartShare = 0.1    // share of the restarts that may take longer
	maxReadyMillis      = 30_000 // no start may take longer
)

// start is one start of a router's process.
type start struct {
	router    string
	at        float64
	readyAt   float64
	isRestart bool // the router had a process before
	isReady   bool
	isKilled  bool // killed before it was ready
}

// hasStarted reports whether a process of the router was started before.
func (h *history) hasStarted(router string) bool { return h.newestStart(router) != nil }

// newestStart returns the last start of a router; nil if there is none.
func (h *history) newestStart(router string) (newest *start) {
	for _, s := range h.starts {
		if s.router == router {
			newest = s
		}
	}
	return newest
}

// markStartReady marks the newest process of a router as ready.
func (h *history) markStartReady(e Event) {
	if s := h.newestStart(e.Router); s != nil {
		s.isReady, s.readyAt = true, e.At
	}
}

// markStartsKilled marks the processes of a router that were not ready yet as killed.
func (h *history) markStartsKilled(router string) {
	for _, s := range h.starts {
		if s.router == router && !s.isReady {
			s.isKilled = true
		}
	}
}

// checkReadiness reports starts that took too long, and a run with too many slow restarts.
func checkReadiness(h *history, r Rules, add reportFunc) {
	restarts, slow, lastAt := 0, 0, 0.0
	for _, s := range h.starts {
		if s.isKilled {
			continue
		}
		took := h.startMillis(s)
		if took > maxReadyMillis+r.MachineLateMS {
			add("ready", s.at+took, "router %s was not ready %d s after its start", s.router, maxReadyMillis/1000)
		}
		if !s.isRestart || !s.isReady && took <= readyAtEndMillis { // the run ended too soon to decide
			continue
		}
		restarts++
		if isSlow := !s.isReady || took > readyMillis+r.MachineLateMS; isSlow {
			slow++
			lastAt = max(lastAt, s.at+took)
		}
	}
	if float64(slow) > maxSlowRestartShare*float64(restarts) {
		add("ready", lastAt, "%d of %d restarted routers were not ready within %d s", slow, restarts, readyMillis/1000)
	}
}

// startMillis returns the duration of a start, up to the end of the run if the process was not ready.
func (h *history) startMillis(s *start) float64 {
	if s.isReady {
		return s.readyAt - s.at
	}
	return h.endAt - s.at
}
