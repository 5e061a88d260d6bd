package rollout

// sightCounts counts sightings by what they say: of one server by all routers, or by one router of all servers. They follow from
// Saw, and are kept so that weighing a server doesn't cost a look at what each router says of it.
type sightCounts struct{ all, up, bad, leaving, gone int }

// against is how many say that a server is not in service.
func (n *sightCounts) against() int { return n.all - n.up }

// add counts a sighting, or takes it back with -1.
func (n *sightCounts) add(is Sight, by int) {
	n.all += by
	switch is {
	case Up:
		n.up += by
	case Bad:
		n.bad += by
	case Leaving:
		n.leaving += by
	case Gone:
		n.gone += by
	}
}

// sight books how a router sees a server.
func (s *State) sight(t *Thing, router string, is Sight) {
	s.unsight(t, router)
	if t.Saw == nil {
		t.Saw = map[string]Sight{}
	}
	t.Saw[router] = is
	s.countSighting(t, router, is, 1)
}

// unsight drops how a router sees a server.
func (s *State) unsight(t *Thing, router string) {
	if is, known := t.Saw[router]; known {
		delete(t.Saw, router)
		s.countSighting(t, router, is, -1)
	}
}

// countSighting keeps the counts of one sighting.
func (s *State) countSighting(t *Thing, router string, is Sight, by int) {
	s.sightings += by
	t.counts.add(is, by)
	n := s.sees[router]
	if n == nil {
		n = &sightCounts{}
		s.sees[router] = n
	}
	if n.add(is, by); n.all == 0 {
		delete(s.sees, router)
	}
}

// forgetServer drops a server and all sightings of it.
func (s *State) forgetServer(name string) {
	t := s.Servers[name]
	for router := range t.Saw {
		s.unsight(t, router)
	}
	delete(s.Servers, name)
}

// recount counts all sightings anew.
func (s *State) recount() {
	s.sightings, s.sees = 0, map[string]*sightCounts{}
	for _, t := range s.Servers {
		t.counts = sightCounts{}
		for router, is := range t.Saw {
			s.countSighting(t, router, is, 1)
		}
	}
}
