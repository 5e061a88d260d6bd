package decide

// Disable stops sending requests to a server, as if it were draining, until Enable is called,
// whatever the endpoint list says. A repeated call has no effect.
func (b *Balancer) Disable(now float64, serverID uint32) {
	b.beginEvent(now)
	if _, isDisabled := b.membership.disabledAt[serverID]; isDisabled {
		return
	}
	b.membership.disabledAt[serverID] = now
	if s := b.membership.servers[serverID]; s != nil {
		b.membership.setDisabled(s, true)
		s.connection.mayBeOpen = false
		b.placement.isStale = true
		b.host.CloseIdle(serverID)
	}
	b.resumeWaiting()
}

// Enable ends all earlier Disable calls of a server. The server was most likely restarted
// meanwhile, even if the endpoint list does not show it yet: unless the list has shown a start
// since the server was disabled, it is treated as just started and therefore cold.
func (b *Balancer) Enable(now float64, serverID uint32) {
	b.beginEvent(now)
	since, isDisabled := b.membership.disabledAt[serverID]
	if !isDisabled {
		return
	}
	delete(b.membership.disabledAt, serverID)
	if s := b.membership.servers[serverID]; s != nil {
		b.membership.setDisabled(s, false)
		b.placement.isStale = true
		b.resetServer(s, max(s.slowStart.startedAt, now))
		if s.StartedAt > since {
			s.slowStart.startedAt = s.StartedAt
		}
	}
	b.resumeWaiting()
}

// resetServer gives a server the record of a process that started at the given time. The slow-start
// budget begins with a random fraction of a request, so that each of many routers rarely sends a
// whole request at once and all together send as evenly as a few do.
func (b *Balancer) resetServer(s *server, startedAt float64) {
	s.slowStart.startedAt = startedAt
	s.slowStart.budget = slowStartBudget{requests: b.rng.Float64(), updatedAt: b.now}
	b.membership.setEjected(s, false)
	s.health.unanswered = 0
	s.health.acceptedShare = 1
	s.health.evidence = 0
	b.membership.setFailureShare(s, b.usualFailureShare)
	s.health.ejectionMillis = 0
}
