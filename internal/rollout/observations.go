package rollout

// ServerStatus is how a router observes a cache server. The values stand in reports and in the
// stored state.
type ServerStatus string

// The statuses.
const (
	// StatusServing is that of a server which answers.
	StatusServing ServerStatus = "up"
	// StatusFailing is that of a server which does not answer, or answers wrongly.
	StatusFailing ServerStatus = "bad"
	// StatusDraining is that of a server which the endpoint list marks as draining.
	StatusDraining ServerStatus = "leaving"
	// StatusRemoved is that of a server which is not in the endpoint list any more.
	StatusRemoved ServerStatus = "gone"
)

// observationCounts counts observations by status: those of one server by all routers, or those of
// one router of all servers. They follow from Target.Observations, and are kept so that weighing a
// server does not walk over all routers.
type observationCounts struct {
	total    int
	serving  int
	failing  int
	draining int
	removed  int
}

// notServing is how many observations have another status than StatusServing.
func (n *observationCounts) notServing() int { return n.total - n.serving }

// add counts an observation with 1, or takes it back with -1.
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

// recordObservation records how a router observes a server.
func (s *State) recordObservation(server *Target, router string, status ServerStatus) {
	s.dropObservation(server, router)
	if server.Observations == nil {
		server.Observations = map[string]ServerStatus{}
	}
	server.Observations[router] = status
	s.countObservation(server, router, status, 1)
}

// dropObservation drops what a router has observed of a server.
func (s *State) dropObservation(server *Target, router string) {
	status, isKnown := server.Observations[router]
	if !isKnown {
		return
	}
	delete(server.Observations, router)
	s.countObservation(server, router, status, -1)
}

// dropObservationsOf drops all that a router has observed.
func (s *State) dropObservationsOf(router string) {
	s.serversChanged = true
	for _, server := range s.Servers {
		s.dropObservation(server, router)
		delete(server.FailingSince, router)
	}
}

// countObservation keeps the counts of one observation: 1 adds it, -1 takes it back.
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

// recountObservations counts all observations anew.
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
