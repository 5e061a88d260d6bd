package checker

// Bounds of the rule on routers that start.
const (
	readyMillis         = 10_000 // within which a restarted router is ready,
	readyAtEndMillis    = 6_000  // or within this, where the run ends sooner
	maxSlowRestartShare = 0.1    // of the restarts may take longer
	maxReadyMillis      = 30_000 // no start may
)

// start is one start of a router's process.
type start struct {
	router    string
	at        float64
	readyAt   float64
	isRestart bool // the router had a process before
	isReady   bool
	isKilled  bool // before it was ready
}

// hasStarted reports whether a process of the router was started before.
func (h *history) hasStarted(router string) bool { return h.newestStart(router) != nil }

// newestStart is the last start of a router; nil where there was none.
func (h *history) newestStart(router string) (newest *start) {
	for _, s := range h.starts {
		if s.router == router {
			newest = s
		}
	}
	return newest
}

// readyStart books that the newest process of a router is ready.
func (h *history) readyStart(e Event) {
	if s := h.newestStart(e.Router); s != nil {
		s.isReady, s.readyAt = true, e.At
	}
}

// killStarts books that the processes of a router that were not ready yet never will be.
func (h *history) killStarts(router string) {
	for _, s := range h.starts {
		if s.router == router && !s.isReady {
			s.isKilled = true
		}
	}
}

// judgeReadiness finds starts that took too long, and restarts of which too many were slow.
func judgeReadiness(h *history, r Rules, add report) {
	restarts, slow, lastAt := 0, 0, 0.0
	for _, s := range h.starts {
		if s.isKilled {
			continue
		}
		took := h.startMillis(s)
		if took > maxReadyMillis+r.MachineLateMS {
			add("ready", s.at+took, "router %s was not ready %d s after its start", s.router, maxReadyMillis/1000)
		}
		if !s.isRestart || !s.isReady && took <= readyAtEndMillis { // the run ended too soon to tell
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

// startMillis is how long a start took, up to the end of the run where the process was not ready before.
func (h *history) startMillis(s *start) float64 {
	if s.isReady {
		return s.readyAt - s.at
	}
	return h.endAt - s.at
}
