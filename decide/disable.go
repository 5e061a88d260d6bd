package decide

// Disable leaves a server out from now on, as though it were draining, until Enable, whatever the
// endpoint list says. A repeated call changes nothing.
func (b *Balancer) Disable(now float64, serverID uint32) {
	b.begin(now)
	if _, isDisabled := b.membership.disabledAt[serverID]; isDisabled {
		return
	}
	b.membership.disabledAt[serverID] = now
	if s := b.membership.servers[serverID]; s != nil {
		s.isDisabled = true
		s.connection.mayBeOpen = false
		b.placement.isStale = true
		b.host.CloseIdle(serverID)
	}
	b.serveWaiting()
}

// Enable puts a server back, however often it was disabled. Meanwhile it was most likely restarted,
// though the list may not say so yet: unless the list has shown a start since, it counts as just
// started, and so as cold.
func (b *Balancer) Enable(now float64, serverID uint32) {
	b.begin(now)
	since, isDisabled := b.membership.disabledAt[serverID]
	if !isDisabled {
		return
	}
	delete(b.membership.disabledAt, serverID)
	if s := b.membership.servers[serverID]; s != nil {
		s.isDisabled = false
		b.placement.isStale = true
		b.resetServer(s, max(s.slowStart.startedAt, now))
		if s.StartedAt > since {
			s.slowStart.startedAt = s.StartedAt
		}
	}
	b.serveWaiting()
}

// resetServer gives a server the record of a new process that started at the given time. Its budget
// begins with a random part of a request: so each of many routers may rarely send a whole one, and
// all together send as evenly as a few do.
func (b *Balancer) resetServer(s *server, startedAt float64) {
	s.slowStart.startedAt = startedAt
	s.slowStart.budget = slowStartBudget{requests: b.rng.Float64(), updatedAt: b.now}
	s.health.isEjected = false
	s.health.unanswered = 0
	s.health.acceptedShare = 1
	s.health.evidence = 0
	s.health.failureShare = b.usualFailureShare
	s.health.ejectionMillis = 0
}
