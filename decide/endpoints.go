package decide

import (
	"math"
	"strconv"
)

// UpdateEndpoints handles an update of the endpoint list, or a failed watch. An update of changes
// costs what its entries cost, whatever the size of the fleet; one of a whole list also looks at each
// listed server once.
func (b *Balancer) UpdateEndpoints(now float64, kind EndpointUpdateKind, entries []Endpoint) {
	b.beginEvent(now)
	if kind == WatchFailed {
		b.discovery.pollAt = now + b.pollBackoffMillis()
		return
	}
	b.discovery.pollAt = math.Inf(1)
	b.discovery.failures = 0
	if b.cfg.PollEndpoints && kind == RestoredEndpoints {
		b.discovery.pollAt = now + b.firstPollMillis()
	}
	for _, s := range b.applyEndpoints(kind, entries) {
		if s.StartedAt > now-b.cfg.SlowStartMillis {
			b.resetServer(s, s.StartedAt)
		}
	}
	b.membership.table.epoch++
	b.placement.isStale = true
}

// applyEndpoints applies an update to the records and returns the servers that were restarted.
func (b *Balancer) applyEndpoints(kind EndpointUpdateKind, entries []Endpoint) (started []*server) {
	m := &b.membership
	m.updates++
	for _, e := range entries {
		s := m.servers[e.ID]
		if s == nil {
			_, isDisabled := m.disabledAt[e.ID]
			s = newServer(b.now, isDisabled)
			s.ID = e.ID
			m.servers[e.ID] = s
		}
		if e.StartedAt > 0 && e.StartedAt != s.StartedAt {
			started = append(started, s)
		}
		if b.cfg.SizesAreLoads {
			e.Size = 0 // a load figure says nothing about the machine
		}
		s.lastUpdate = m.updates
		m.list(s, e, b.cfg)
	}
	if kind != ChangedEndpoints {
		m.unlistAllBut(m.updates)
	}
	m.deleteUnused()
	return started
}

// hashList returns the first distinct servers of a key.
func (m *membership) hashList(k *keyTraffic) []*server {
	if k.hashEpoch == m.table.epoch {
		return k.hashList
	}
	k.hashEpoch = m.table.epoch
	k.copies = nil
	k.hashList = m.table.list(k.id, min(candidateLimit, len(m.caches)))
	return k.hashList
}

// idempotencyGroup returns the name of the group of servers that drop repeats together with s.
func (s *server) idempotencyGroup(scope string) string {
	switch scope {
	case scopeZone:
		return s.Zone
	case scopeCell:
		return strconv.Itoa(s.Cell)
	}
	return ""
}

// CountEndpoints returns the number of listed servers, and how many of those get no requests
// because they are disabled or ejected. An ejected server that is draining is not counted as
// avoided.
func (b *Balancer) CountEndpoints() (listed, avoided int) {
	counts := &b.membership.counts
	return counts.listed, counts.avoided
}

// WriteServer returns the server that a write will go to, if there is one. The router streams large
// values to it while they are still arriving.
func (b *Balancer) WriteServer(now float64) (serverID uint32, isAvailable bool) {
	b.beginEvent(now)
	origin := b.membership.origin
	if !b.cfg.CacheAside || origin == nil || !origin.acceptsNewWork() {
		return 0, false
	}
	return origin.ID, true
}
