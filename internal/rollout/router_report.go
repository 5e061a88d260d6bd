package rollout

import (
	"slices"
	"time"
)

// RouterReport is what a router reports of itself and of the cache servers.
type RouterReport struct {
	// Zone is the router's failure domain.
	Zone string `json:"zone,omitempty"`
	// Version is the router's program version.
	Version string `json:"version,omitempty"`
	// IsReady is whether the router takes clients.
	IsReady bool `json:"ready"`
	// Servers are the observations that have changed since the last report of the same session.
	Servers []ServerObservation `json:"servers,omitempty"`
	// Served is how many requests were served since the process began; reported while
	// DrainSet.WantsCounts.
	Served int64 `json:"good,omitempty"`
	// Failed is how many requests were rejected or failed since the process began; reported while
	// DrainSet.WantsCounts.
	Failed int64 `json:"bad,omitempty"`
	// LatencyCounts are the served requests by LatencyBucket; reported while DrainSet.WantsLatency.
	LatencyCounts []int64 `json:"speed,omitempty"`
}

// ServerObservation is one cache server as a router observes it.
type ServerObservation struct {
	// Name is the server's.
	Name string `json:"name"`
	// Zone is the server's failure domain, by the endpoint list.
	Zone string `json:"zone,omitempty"`
	// Incarnation tells one start of the server's process from another, by the endpoint list.
	Incarnation string `json:"run,omitempty"`
	// Status is how the router observes the server.
	Status ServerStatus `json:"is"`
}

// textOfEarlierProcess answers a process of a router that a newer one has replaced.
const textOfEarlierProcess = "a newer process of this router speaks for it"

// routerReport is the command that brings a router's report into the state.
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
			return Result{Code: CodeOK, Text: textOfEarlierProcess}
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

// check returns the result for a report that can't be recorded.
func (r *RouterReport) check() (problem Result, isValid bool) {
	if len(r.Servers) > MaxReportedServers {
		return invalid("view: %d servers, %d at most at once", len(r.Servers), MaxReportedServers), false
	}
	for _, server := range r.Servers {
		longest := max(len(server.Name), len(server.Zone), len(server.Incarnation))
		if server.Name == "" || longest > MaxName {
			return invalid("view: server %.32q: its name, zone or run is empty or over %d bytes",
				server.Name, MaxName), false
		}
	}
	n := len(r.LatencyCounts)
	isNegative := func(count int64) bool { return count < 0 }
	if n != 0 && n != LatencyBuckets || slices.ContainsFunc(r.LatencyCounts, isNegative) {
		return invalid("view: speed has %d counts, or some below 0; %d are wanted", n, LatencyBuckets), false
	}
	if max(len(r.Zone), len(r.Version)) > MaxName {
		return invalid("view: zone or version over %d bytes", MaxName), false
	}
	return Result{}, true
}

// beginRouterSession begins the session of a router's new process. What the process before it
// observed is dropped: the new one reports all that it observes anew.
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

// observeServer records one observation of a router. Where a table is full it returns the result
// that names it.
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

// acknowledgeDrains is the command by which a router tells that it sends nothing more to the
// servers drained by a version.
type acknowledgeDrains struct{ version uint64 }

func (c acknowledgeDrains) apply(s *State, sender Sender) Result {
	name, isRouter := sender.router()
	router := s.Routers[name]
	if isRouter && router != nil && router.SessionOrder > sender.SessionOrder {
		return Result{Code: CodeOK, Text: textOfEarlierProcess}
	}
	if !isRouter || router == nil || router.Session != sender.Session {
		return invalid("ack: only a router that has told what it sees acknowledges")
	}
	router.AcknowledgedDrains = max(router.AcknowledgedDrains, min(c.version, s.DrainVersion))
	return Result{Code: CodeOK, isUnchanged: true}
}

// recordFailing records since when a router finds a server failing by its own requests.
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
