package decide

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

const (
	// hashTableBits gives the memento-hash table 8192 buckets, so that servers rarely claim the
	// same one.
	hashTableBits = 13
	// bucketClaims is the number of buckets that a server claims.
	bucketClaims = 64
	// candidateLimit is the length of a key's list. The hottest key needs more than the six largest
	// servers of a large fleet.
	candidateLimit = 20
	// maxDraws bounds the draws over the table for one list if there are few servers.
	maxDraws = 4 << hashTableBits
)

// membership holds the servers that are listed or have attempts in flight.
type membership struct {
	// servers are those listed and those with attempts in flight, by ID.
	servers map[uint32]*server
	// disabledAt is when operators disabled servers, ms, by ID, whether or not they are listed.
	disabledAt map[uint32]float64
	// caches are the listed cache servers, by ascending ID.
	caches []*server
	// origin is the listed origin, with CacheAside. It is never a candidate.
	origin *server
	// hashTable is the memento-hash table: the server of each bucket; nil = removed bucket.
	hashTable []*server
	// hashEpoch is the version of the table; lists made from an earlier version are recomputed.
	hashEpoch int
}

// UpdateEndpoints handles an update of the endpoint list, or a failed watch.
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
	b.membership.rebuildHashTable()
	b.placement.isStale = true
}

// applyEndpoints applies an update to the records and returns the servers that were restarted.
func (b *Balancer) applyEndpoints(kind EndpointUpdateKind, entries []Endpoint) (started []*server) {
	m := &b.membership
	for _, s := range m.servers {
		s.isListed = s.isListed && kind == ChangedEndpoints
	}
	for _, e := range entries {
		s := m.servers[e.ID]
		if s == nil {
			_, isDisabled := m.disabledAt[e.ID]
			s = newServer(b.now, isDisabled)
			m.servers[e.ID] = s
		}
		if e.StartedAt > 0 && e.StartedAt != s.StartedAt {
			started = append(started, s)
		}
		s.Endpoint = e
		s.isListed = e.State != Removed
		if b.cfg.SizesAreLoads {
			s.Size = 0 // a load figure says nothing about the machine
		}
	}
	m.classifyServers(b.cfg)
	return started
}

// classifyServers sets the origin and the cache servers, and removes servers that are neither
// listed nor have attempts of this router in flight.
func (m *membership) classifyServers(cfg Config) {
	m.caches = m.caches[:0]
	m.origin = nil
	for id, s := range m.servers {
		switch {
		case cfg.CacheAside && s.Kind == cfg.OriginKind:
			if s.isListed && (m.origin == nil || id < m.origin.ID) {
				m.origin = s
			}
		case s.isListed:
			m.caches = append(m.caches, s)
		case s.attempts.inFlight == 0:
			delete(m.servers, id)
		}
	}
	slices.SortFunc(m.caches, func(p, q *server) int { return cmp.Compare(p.ID, q.ID) })
}

// rebuildHashTable fills the buckets of the memento-hash table. A bucket that no listed server
// claims counts as removed. The table depends only on the IDs, not on the order of changes, so all
// routers have the same one, and few keys move with a change.
func (m *membership) rebuildHashTable() {
	m.hashEpoch++
	m.hashTable = make([]*server, 1<<hashTableBits)
	for _, s := range m.caches {
		for i := range bucketClaims {
			bucket := splitMix64(uint64(s.ID)<<8|uint64(i)) >> (64 - hashTableBits)
			holder := m.hashTable[bucket]
			if holder == nil || claimRank(bucket, s.ID) < claimRank(bucket, holder.ID) {
				m.hashTable[bucket] = s
			}
		}
	}
}

// claimRank orders the servers that claim the same bucket; the lowest gets it.
func claimRank(bucket uint64, id uint32) uint64 { return splitMix64(bucket ^ uint64(id)<<16) }

// hashList returns the first distinct servers of a key. A draw of a removed bucket is repeated over
// the whole table.
func (m *membership) hashList(k *keyTraffic) []*server {
	if k.hashEpoch == m.hashEpoch {
		return k.hashList
	}
	k.hashEpoch = m.hashEpoch
	k.hashList = nil
	k.copies = nil
	length := min(candidateLimit, len(m.caches))
	hash := splitMix64(k.id)
	for draw := 0; len(k.hashList) < length && draw < maxDraws; draw++ {
		s := m.hashTable[hash>>(64-hashTableBits)]
		if s != nil && !slices.Contains(k.hashList, s) {
			k.hashList = append(k.hashList, s)
		}
		hash = splitMix64(hash)
	}
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
	for _, s := range b.membership.servers {
		if !s.isListed {
			continue
		}
		listed++
		if s.isDisabled || s.health.isEjected && s.State == Ready {
			avoided++
		}
	}
	return listed, avoided
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
