package rollout

// ServerStatus is the status of a cache server as a router observes it. The values are used in
// reports and in the stored state.
type ServerStatus string

// The statuses.
const (
	// StatusServing is the status of a server that answers.
	StatusServing ServerStatus = "up"
	// StatusFailing is the status of a server that does not answer, or answers incorrectly.
	StatusFailing ServerStatus = "bad"
	// StatusDraining is the status of a server that the endpoint list marks as draining.
	StatusDraining ServerStatus = "leaving"
	// StatusRemoved is the status of a server that is not in the endpoint list any more.
	StatusRemoved ServerStatus = "gone"
)

// observationCounts counts observations by status: either all routers' observations of one server,
// or one router's observations of all servers. The counts can be derived from Target.Observations;
// they are kept so that evaluating a server does not iterate over all routers.
type observationCounts struct {
	total    int
	serving  int
	failing  int
	draining int
	removed  int
}

// notServing returns the number of observations whose status is not StatusServing.
func (n *observationCounts) notServing() int { return n.total - n.serving }

// add counts one observation (delta 1) or removes it from the counts (delta -1).
func (n *observationCounts) add(status ServerStatus, delta int) {
	n.total += delta
	switch status {
	case StatusServing:
		n.serving += delta
	case StatusFailing:
		n.failing += delta
	case StatusDraining:
		n.draining += delta
	case StatusRemoved:
		n.removed += delta
	}
}

// recordObservation records the status of a server as a router observes it.
func (s *State) recordObservation(server *Target, router string, status ServerStatus) {
	s.dropObservation(server, router)
	if server.Observations == nil {
		server.Observations = map[string]ServerStatus{}
	}
	server.Observations[router] = status
	s.countObservation(server, router, status, 1)
}

// dropObservation removes a router's observation of a server.
func (s *State) dropObservation(server *Target, router string) {
	status, isKnown := server.Observations[router]
	if !isKnown {
		return
	}
	delete(server.Observations, router)
	s.countObservation(server, router, status, -1)
}

// dropObservationsOf removes all observations of a router.
func (s *State) dropObservationsOf(router string) {
	s.serversChanged = true
	for _, server := range s.Servers {
		s.dropObservation(server, router)
		delete(server.FailingSince, router)
	}
}

// countObservation updates all counts for one observation that is added (delta 1) or removed (delta
// -1).
func (s *State) countObservation(server *Target, router string, status ServerStatus, delta int) {
	s.observationCount += delta
	server.counts.add(status, delta)
	counts := s.observationsByRouter[router]
	if counts == nil {
		counts = &observationCounts{}
		s.observationsByRouter[router] = counts
	}
	counts.add(status, delta)
	if counts.total == 0 {
		delete(s.observationsByRouter, router)
	}
}

// removeServer removes a server and all observations of it.
func (s *State) removeServer(name string) {
	server := s.Servers[name]
	for router := range server.Observations {
		s.dropObservation(server, router)
	}
	delete(s.Servers, name)
}

// recountObservations rebuilds all counts from the observations.
func (s *State) recountObservations() {
	s.observationCount = 0
	s.observationsByRouter = map[string]*observationCounts{}
	for _, server := range s.Servers {
		server.counts = observationCounts{}
		for router, status := range server.Observations {
			s.countObservation(server, router, status, 1)
		}
	}
}
