package rollout

// observationCounts counts sightings by what they say: of one server by all routers, or by one router of all servers. They follow from
// Saw, and are kept so that weighing a server doesn't cost a look at what each router says of it.
type observationCounts struct{ total, serving, failing, draining, removed int }

// notServing is how many say that a server is not in service.
func (n *observationCounts) notServing() int { return n.total - n.serving }

// add counts a sighting, or takes it back with -1.
func (n *observationCounts) add(is ServerStatus, by int) {
	n.total += by
	switch is {
	case StatusServing:
		n.serving += by
	case StatusFailing:
		n.failing += by
	case StatusDraining:
		n.draining += by
	case StatusRemoved:
		n.removed += by
	}
}

// recordObservation books how a router sees a server.
func (s *State) recordObservation(t *Target, router string, is ServerStatus) {
	s.dropObservation(t, router)
	if t.Observations == nil {
		t.Observations = map[string]ServerStatus{}
	}
	t.Observations[router] = is
	s.countObservation(t, router, is, 1)
}

// dropObservation drops how a router sees a server.
func (s *State) dropObservation(t *Target, router string) {
	if is, known := t.Observations[router]; known {
		delete(t.Observations, router)
		s.countObservation(t, router, is, -1)
	}
}

// countObservation keeps the counts of one sighting.
func (s *State) countObservation(t *Target, router string, is ServerStatus, by int) {
	s.observationCount += by
	t.counts.add(is, by)
	n := s.observationsByRouter[router]
	if n == nil {
		n = &observationCounts{}
		s.observationsByRouter[router] = n
	}
	if n.add(is, by); n.total == 0 {
		delete(s.observationsByRouter, router)
	}
}

// removeServer drops a server and all sightings of it.
func (s *State) removeServer(name string) {
	t := s.Servers[name]
	for router := range t.Observations {
		s.dropObservation(t, router)
	}
	delete(s.Servers, name)
}

// recountObservations counts all sightings anew.
func (s *State) recountObservations() {
	s.observationCount, s.observationsByRouter = 0, map[string]*observationCounts{}
	for _, t := range s.Servers {
		t.counts = observationCounts{}
		for router, is := range t.Observations {
			s.countObservation(t, router, is, 1)
		}
	}
}
