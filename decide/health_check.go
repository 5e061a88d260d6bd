package decide

const (
	// checksPerArrival is the number of health checks that each request pays for at most. With a
	// bound on the age of reports instead, a router of a large fleet would send many for each.
	checksPerArrival = 0.15
	// maxHealthChecks is the number of checks that can be saved up.
	maxHealthChecks = 4
	// healthCheckMillis is the least time between two checks of a server.
	healthCheckMillis = 700
	// enoughReporting is the number of servers that have to report until their kinds are known.
	enoughReporting = 24
)

// healthChecks is which server is checked next, and how many checks may be sent.
type healthChecks struct {
	// budget is the number of checks that may be sent now.
	budget float64
	// next is the place of the next server.
	next int
}

// earnHealthChecks adds what an arrival pays for.
func (b *Balancer) earnHealthChecks() {
	earned := checksPerArrival * b.usefulCheckShare()
	b.healthChecks.budget = min(maxHealthChecks, b.healthChecks.budget+earned)
}

// usefulCheckShare is the share of the health checks paid for which are worth sending: all until
// two dozen servers have told of their kinds, then as many as keep reports fresh. Where a server's
// report is old long before its next, reports tell little and cost more.
func (b *Balancer) usefulCheckShare() float64 {
	perSecond := checksPerArrival * b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	perServer := perSecond * trafficTimeConstantMillis / millisPerSecond / max(1, float64(len(b.membership.caches)))
	return max(1-b.capacities.reporting/enoughReporting, min(1, perServer))
}

// checkIfDue sends a health check to a server if one may be sent, and reports whether it did.
func (b *Balancer) checkIfDue(s *server) bool {
	if !b.cfg.LoadByHealthCheck || !b.cfg.HealthChecks || s.isDisabled {
		return false
	}
	if b.healthChecks.budget < 1 || b.now-s.health.checkedAt < healthCheckMillis {
		return false
	}
	b.healthChecks.budget--
	s.health.checkedAt = b.now
	b.host.HealthCheck(s.ID)
	return true
}

// HealthCheckEnded takes the result of a health check. One that got no answer is a sign of silence.
func (b *Balancer) HealthCheckEnded(now float64, serverID uint32, status AttemptStatus, l LoadReport) {
	b.begin(now)
	s := b.membership.servers[serverID]
	if s == nil {
		return
	}
	b.learnLoad(s, l)
	if status != OK && status != QueueFull {
		s.health.unanswered++
		b.eject(s, true)
	}
}
