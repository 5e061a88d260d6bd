package decide

const (
	// checksPerArrival is the largest number of health checks that each request adds to the budget.
	// A bound on the age of reports instead would make a router of a large fleet send many
	// checks per request.
	checksPerArrival = 0.15
	// maxHealthCheckBudget is the largest budget that can accumulate.
	maxHealthCheckBudget = 4
	// minHealthCheckIntervalMillis is the shortest time between two checks of a server.
	minHealthCheckIntervalMillis = 700
	// enoughReportingServers is the number of servers whose reports suffice to know the capacities
	// by kind.
	enoughReportingServers = 24
)

// healthChecks holds the budget of health checks and the position of the next server.
type healthChecks struct {
	// budget is the number of checks that may be sent now.
	budget float64
	// next is the index of the next server.
	next int
}

// refillHealthCheckBudget adds to the budget of health checks for an arrival.
func (b *Balancer) refillHealthCheckBudget() {
	earned := checksPerArrival * b.usefulCheckShare()
	b.healthChecks.budget = min(maxHealthCheckBudget, b.healthChecks.budget+earned)
}

// usefulCheckShare returns the share of the possible health checks that are worth sending: all
// until two dozen servers have reported, then as many as keep reports up to date. If a server's
// report is outdated long before its next one, checks give little information for their cost.
func (b *Balancer) usefulCheckShare() float64 {
	checksPerSecond := checksPerArrival * b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	perServer := checksPerSecond * trafficTimeConstantMillis / millisPerSecond /
		max(1, float64(len(b.membership.caches)))
	return max(1-b.capacities.reportingServers/enoughReportingServers, min(1, perServer))
}

// mayCheckHealth reports whether the settings and the budget allow a health check.
func (b *Balancer) mayCheckHealth() bool {
	return b.cfg.LoadByHealthCheck && b.cfg.HealthChecksAllowed && b.healthChecks.budget >= 1
}

// checkIfDue sends a health check to a server if it is due and allowed, and reports whether it did.
func (b *Balancer) checkIfDue(s *server) bool {
	if !b.mayCheckHealth() || s.isDisabled || b.now-s.health.checkedAt < minHealthCheckIntervalMillis {
		return false
	}
	b.healthChecks.budget--
	s.health.checkedAt = b.now
	b.host.HealthCheck(s.ID)
	return true
}

// HealthCheckEnded handles the result of a health check. A check without an answer counts like an
// unanswered attempt.
func (b *Balancer) HealthCheckEnded(now float64, serverID uint32, status AttemptStatus, l LoadReport) {
	b.beginEvent(now)
	s := b.membership.servers[serverID]
	if s == nil {
		return
	}
	b.recordLoadReport(s, l)
	if status != OK && status != QueueFull {
		s.health.unanswered++
		b.eject(s, true)
	}
}
