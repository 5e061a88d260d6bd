// Package metrics holds the figures that a router reports. Whoever sees a thing happen counts it
// here; readers take a snapshot and wait for nobody.
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
	Success  Outcome = iota // served
	Overload                // refused
	Error                   // failed
	outcomeCount
)

// Class holds the counts of one class. They only grow, as readers take differences.
type Class struct {
	counts [outcomeCount]atomic.Int64
}

// Ended counts the end of a request.
func (c *Class) Ended(how Outcome) { c.counts[how].Add(1) }

// Router holds the figures of one process. Every count starts at 0 with it.
type Router struct {
	mu      sync.RWMutex
	classes map[string]*Class // also those that a reload has dropped: what they counted is not undone

	Dispatches                      atomic.Int64 // attempts written whole
	Concurrent                      atomic.Int64 // requests taken and not ended
	Targets                         atomic.Int64 // cache servers in the list
	TargetsDisabled                 atomic.Int64 // and those of them that are avoided
	ReloadSuccesses, ReloadFailures atomic.Int64 // files taken and turned down at SIGHUP
}

// New returns the figures of a process that has done nothing yet.
func New() *Router { return &Router{classes: map[string]*Class{}} }

// Class returns the counts of a class, which is reported from then on. Only configured classes may
// be named, as each is kept for good.
func (m *Router) Class(name string) *Class {
	m.mu.RLock()
	c := m.classes[name]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c = m.classes[name]; c == nil {
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
	ProbeReports    *ProbeReports    `json:"probe_reports,omitempty"` // only where routers probe for one another
}

// ProbeReports counts what other routers' probes were worth.
type ProbeReports struct {
	Hits   int `json:"used"`   // times that a report took the place of a probe
	Misses int `json:"missed"` // times that there was none, or a stale one
}

// Snapshot reads all figures.
func (m *Router) Snapshot() Snapshot {
	s := Snapshot{Success: map[string]int64{}, Overload: map[string]int64{}, Error: map[string]int64{},
		Dispatches: m.Dispatches.Load(), Concurrent: m.Concurrent.Load(), Targets: m.Targets.Load(),
		TargetsDisabled: m.TargetsDisabled.Load(), ReloadSuccess: m.ReloadSuccesses.Load(), ReloadFailure: m.ReloadFailures.Load()}
	m.mu.RLock()
	defer m.mu.RUnlock()
	for name, c := range m.classes {
		s.Success[name], s.Overload[name] = c.counts[Success].Load(), c.counts[Overload].Load()
		s.Error[name] = c.counts[Error].Load()
	}
	return s
}

// JSON is the report as text, with what of probe reports was counted elsewhere; nil = nothing.
func (m *Router) JSON(reports *ProbeReports) ([]byte, error) {
	s := m.Snapshot()
	s.ProbeReports = reports
	return json.Marshal(s)
}
