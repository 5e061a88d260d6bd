// Package metrics holds the figures that a router reports. Each is counted where the event happens;
// readers take a snapshot and wait for nobody.
package metrics

import (
	"encoding/json"
	"sync"
	"sync/atomic"
)

// Outcome says how a request ended.
type Outcome int

// The ways a request can end.
const (
	// Success is a request that was served.
	Success Outcome = iota
	// Overload is a request that was rejected for want of capacity.
	Overload
	// Error is a request that failed.
	Error
	outcomeCount
)

// Class holds the counts of one class. They only grow, as readers take differences.
type Class struct {
	counts [outcomeCount]atomic.Int64
}

// Ended counts the end of a request.
func (c *Class) Ended(outcome Outcome) { c.counts[outcome].Add(1) }

// Router holds the figures of one process. Every count starts at 0 with it. All may be used
// concurrently.
type Router struct {
	mu sync.RWMutex
	// classes also has those that a reload has dropped: what they counted stays.
	classes map[string]*Class

	// Dispatches counts attempts that were written completely.
	Dispatches atomic.Int64
	// Concurrent is how many requests are in flight.
	Concurrent atomic.Int64
	// Targets is how many cache servers the endpoint list has.
	Targets atomic.Int64
	// TargetsDisabled is how many of them get no requests.
	TargetsDisabled atomic.Int64
	// ReloadSuccesses counts configurations that were taken at SIGHUP.
	ReloadSuccesses atomic.Int64
	// ReloadFailures counts configurations that were rejected at SIGHUP.
	ReloadFailures atomic.Int64
}

// New returns the figures of a process that has done nothing yet.
func New() *Router { return &Router{classes: map[string]*Class{}} }

// Class returns the counts of a class, which is reported from then on. Only configured classes may be
// named, as each is kept for good.
func (m *Router) Class(name string) *Class {
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
		c = new(Class)
		m.classes[name] = c
	}
	return c
}

// Snapshot is the report, under the names that operators know.
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
	// ProbeReports is nil where routers do not health-check for one another.
	ProbeReports *ProbeReports `json:"probe_reports,omitempty"`
}

// ProbeReports counts the use of other routers' health checks.
type ProbeReports struct {
	// Hits counts reports that took the place of a health check.
	Hits int `json:"used"`
	// Misses counts health checks for which there was no report that counts.
	Misses int `json:"missed"`
}

// Snapshot reads all figures.
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

// JSON is the report as text, with the counts of health check reports, which are kept elsewhere; nil =
// there are none.
func (m *Router) JSON(reports *ProbeReports) ([]byte, error) {
	s := m.Snapshot()
	s.ProbeReports = reports
	return json.Marshal(s)
}
