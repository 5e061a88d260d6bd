package rollout

import (
	"slices"
	"time"
)

// RouterReport is a router's report about itself and the cache servers.
type RouterReport struct {
	// Zone is the router's failure domain.
	Zone string `json:"zone,omitempty"`
	// Version is the router's program version.
	Version string `json:"version,omitempty"`
	// IsReady is whether the router accepts clients.
	IsReady bool `json:"ready"`
	// Servers are the observations that have changed since the last report of the same session.
	Servers []ServerObservation `json:"servers,omitempty"`
	// Served is the number of served requests since the process started; reported while
	// DrainSet.NeedsCounts is set.
	Served int64 `json:"good,omitempty"`
	// Failed is the number of rejected or failed requests since the process started; reported while
	// DrainSet.NeedsCounts is set.
	Failed int64 `json:"bad,omitempty"`
	// LatencyCounts are the numbers of served requests by LatencyBucket; reported while
	// DrainSet.NeedsLatency is set.
	LatencyCounts []int64 `json:"speed,omitempty"`
}

// ServerObservation is the status of one cache server as a router observes it.
type ServerObservation struct {
	// Name is the server's name.
	Name string `json:"name"`
	// Zone is the server's failure domain, from the endpoint list.
	Zone string `json:"zone,omitempty"`
	// Incarnation identifies one run of the server's process, from the endpoint list.
	Incarnation string `json:"run,omitempty"`
	// Status is the observed status.
	Status ServerStatus `json:"is"`
}

// replacedProcessText is the result text for a process of a router that a newer process has
// replaced.
const replacedProcessText = "a newer process of this router speaks for it"

// routerReport is the command that records a router's report.
type routerReport struct{ report *RouterReport }

func (c routerReport) apply(s *State, sender Sender) Result {
	name, isRouter := sender.router()
	if !isRouter || c.report == nil {
		return invalid("see: only a router tells what it sees, in its view")
	}
	if problem, isValid := c.report.check(); !isValid {
		return problem
	}
	router := s.Routers[name]
	if router == nil {
		if limit := sender.limits().routers; len(s.Routers) >= limit {
			return limitReached("routers", limit)
		}
		router = &Target{ChangedAt: sender.Time}
		s.Routers[name] = router
	}
	if router.Session != sender.Session {
		if router.Session != "" && router.SessionOrder > sender.SessionOrder {
			return Result{Code: CodeOK, Text: replacedProcessText}
		}
		s.beginRouterSession(name, router, sender)
	}
	s.recordRequestCounts(router, name, c.report, sender.Time)

	isUnchanged := router.Zone == c.report.Zone && router.Version == c.report.Version &&
		router.IsReady == c.report.IsReady && len(c.report.Servers) == 0
	router.Zone = c.report.Zone
	router.Version = c.report.Version
	router.IsReady = c.report.IsReady
	s.changedRouters = append(s.changedRouters, router)
	s.serversChanged = s.serversChanged || len(c.report.Servers) > 0
	for _, observation := range c.report.Servers {
		if problem, isRecorded := s.observeServer(name, observation, sender); !isRecorded {
			return problem
		}
	}
	return Result{Code: CodeOK, isUnchanged: isUnchanged}
}

// check validates the report. If it is invalid, problem is the result to return.
func (r *RouterReport) check() (problem Result, isValid bool) {
	if len(r.Servers) > MaxReportedServers {
		return invalid("view: %d servers, %d at most at once", len(r.Servers), MaxReportedServers), false
	}
	for _, server := range r.Servers {
		longest := max(len(server.Name), len(server.Zone), len(server.Incarnation))
		if server.Name == "" || longest > MaxNameBytes {
			return invalid("view: server %.32q: its name, zone or run is empty or over %d bytes",
				server.Name, MaxNameBytes), false
		}
	}
	n := len(r.LatencyCounts)
	isNegative := func(count int64) bool { return count < 0 }
	if n != 0 && n != LatencyBuckets || slices.ContainsFunc(r.LatencyCounts, isNegative) {
		return invalid("view: speed has %d counts, or some below 0; %d are wanted", n, LatencyBuckets), false
	}
	if max(len(r.Zone), len(r.Version)) > MaxNameBytes {
		return invalid("view: zone or version over %d bytes", MaxNameBytes), false
	}
	return Result{}, true
}

// beginRouterSession records the session of a router's new process. It drops the observations of
// the previous process, because the new one reports all of its own.
func (s *State) beginRouterSession(name string, router *Target, sender Sender) {
	s.dropObservationsOf(name)
	router.Session = sender.Session
	router.SessionOrder = sender.SessionOrder
	router.Incarnation = sender.Session
	router.AcknowledgedDrains = 0
	router.Served = 0
	router.Failed = 0
	router.LatencyCounts = nil
}

// observeServer records one observation of a router. If a table is full, problem is the result that
// names the table.
func (s *State) observeServer(router string, o ServerObservation, sender Sender) (problem Result, isRecorded bool) {
	server := s.Servers[o.Name]
	if server == nil {
		if o.Status == StatusRemoved {
			return Result{}, true
		}
		if limit := sender.limits().servers; len(s.Servers) >= limit {
			return limitReached("servers", limit), false
		}
		server = &Target{ChangedAt: sender.Time, DelistedAt: notDelisted}
		s.Servers[o.Name] = server
	}
	if _, isKnown := server.Observations[router]; !isKnown && s.observationCount >= MaxObservations {
		return limitReached("sightings of servers by routers", MaxObservations), false
	}
	if o.Status != StatusRemoved {
		server.Zone = o.Zone
		server.Incarnation = o.Incarnation
	}
	s.recordObservation(server, router, o.Status)
	server.recordFailing(router, o.Status, sender.Time)
	return Result{}, true
}

// acknowledgeDrains is the command with which a router confirms that it sends nothing more to the
// servers in a version of the drain set.
type acknowledgeDrains struct{ version uint64 }

func (c acknowledgeDrains) apply(s *State, sender Sender) Result {
	name, isRouter := sender.router()
	router := s.Routers[name]
	if isRouter && router != nil && router.SessionOrder > sender.SessionOrder {
		return Result{Code: CodeOK, Text: replacedProcessText}
	}
	if !isRouter || router == nil || router.Session != sender.Session {
		return invalid("ack: only a router that has told what it sees acknowledges")
	}
	router.AcknowledgedDrains = max(router.AcknowledgedDrains, min(c.version, s.DrainVersion))
	return Result{Code: CodeOK, isUnchanged: true}
}

// recordFailing records since when a router's own requests to a server fail.
func (t *Target) recordFailing(router string, status ServerStatus, now time.Duration) {
	if status != StatusFailing {
		delete(t.FailingSince, router)
		return
	}
	if _, isKnown := t.FailingSince[router]; isKnown {
		return
	}
	if t.FailingSince == nil {
		t.FailingSince = map[string]time.Duration{}
	}
	t.FailingSince[router] = now
}
