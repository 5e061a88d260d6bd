// Package metrics holds the metrics of a router. Each is counted where the event happens; readers
// take a snapshot without waiting for the router's event loop.
package metrics

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	// Success means that the request was served.
	Success Outcome = iota
	// Overload means that the request was rejected for lack of capacity.
	Overload
	// Error means that the request failed.
	Error
	outcomeCount
)

// ClassCounters holds the counters of one request class. They never decrease, as readers compute
// differences.
type ClassCounters struct {
	counts [outcomeCount]atomic.Int64
}

// CountOutcome counts the end of a request.
func (c *ClassCounters) CountOutcome(outcome Outcome) { c.counts[outcome].Add(1) }

// Router holds the metrics of one process. All counters start at 0. Fields and methods may be used
// concurrently.
type Router struct {
	mu sync.RWMutex
	// classes includes the classes that a reload has removed, so that their counts are kept.
	classes map[string]*ClassCounters

	// Dispatches counts the attempts that were completely written to a server.
	Dispatches atomic.Int64
	// Concurrent is the number of requests in flight.
	Concurrent atomic.Int64
	// Targets is the number of cache servers in the endpoint list.
	Targets atomic.Int64
	// TargetsDisabled is the number of these that get no requests.
	TargetsDisabled atomic.Int64
	// ReloadSuccesses counts the configurations that were applied after SIGHUP.
	ReloadSuccesses atomic.Int64
	// ReloadFailures counts the configurations that were rejected after SIGHUP.
	ReloadFailures atomic.Int64
	// LongTurns counts the turns of the event loop that took 0.1 s or more.
	LongTurns atomic.Int64
}

// New returns metrics with all values at 0.
func New() *Router { return &Router{classes: map[string]*ClassCounters{}} }

// Class returns the counters of a class, which is included in snapshots from then on. It must only
// be called for configured classes, as the counters are never removed.
func (m *Router) Class(name string) *ClassCounters {
	m.mu.RLock()
	c := m.classes[name]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c = m.classes[name]
	if c == nil {
		c = new(ClassCounters)
		m.classes[name] = c
	}
	return c
}

// Snapshot is a copy of all metrics under their published names.
type Snapshot struct {
	Success         map[string]int64 `json:"success"`
	Overload        map[string]int64 `json:"overload"`
	Error           map[string]int64 `json:"error"`
	Dispatches      int64            `json:"dispatches"`
	Concurrent      int64            `json:"concurrent"`
	Targets         int64            `json:"targets"`
	TargetsDisabled int64            `json:"targets_disabled"`
	ReloadSuccess   int64            `json:"reload_success"`
	ReloadFailure   int64            `json:"reload_failure"`
	LongTurns       int64            `json:"long_turns,omitempty"`
	// ProbeReports is nil if routers do not share health checks.
	ProbeReports *ProbeReports `json:"probe_reports,omitempty"`
}

// ProbeReports counts the use of health checks that other routers have shared.
type ProbeReports struct {
	// Hits counts the shared reports that replaced a health check.
	Hits int `json:"used"`
	// Misses counts the health checks for which there was no current shared report.
	Misses int `json:"missed"`
}

// Snapshot returns the current values of all metrics.
func (m *Router) Snapshot() Snapshot {
	s := Snapshot{
		Success:         map[string]int64{},
		Overload:        map[string]int64{},
		Error:           map[string]int64{},
		Dispatches:      m.Dispatches.Load(),
		Concurrent:      m.Concurrent.Load(),
		Targets:         m.Targets.Load(),
		TargetsDisabled: m.TargetsDisabled.Load(),
		ReloadSuccess:   m.ReloadSuccesses.Load(),
		ReloadFailure:   m.ReloadFailures.Load(),
		LongTurns:       m.LongTurns.Load(),
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for name, class := range m.classes {
		s.Success[name] = class.counts[Success].Load()
		s.Overload[name] = class.counts[Overload].Load()
		s.Error[name] = class.counts[Error].Load()
	}
	return s
}

// JSON returns a snapshot in JSON. It includes reports, which are counted elsewhere, unless they
// are nil.
func (m *Router) JSON(reports *ProbeReports) ([]byte, error) {
	s := m.Snapshot()
	s.ProbeReports = reports
	return json.Marshal(s)
}
