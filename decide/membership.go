package decide

import (
	"cmp"
	"slices"
)

// membership holds the servers that are listed or have attempts in flight. Its size is bounded by
// the endpoint list and the attempts in flight. A change of one server costs no more in a large
// fleet, but for moving a part of the sorted slices, 8 bytes a server.
type membership struct {
	// servers are those listed and those with attempts in flight, by ID.
	servers map[uint32]*server
	// disabledAt is when operators disabled servers, ms, by ID, whether or not they are listed.
	disabledAt map[uint32]float64
	// caches are the listed cache servers, by ascending ID.
	caches []*server
	// origins are the listed origins, by ascending ID, with CacheAside.
	origins []*server
	// origin is the first of origins. It is never a candidate.
	origin *server
	// table is the memento-hash table of caches.
	table hashTable
	// counts are counts over the listed servers.
	counts serverCounts
	// failureShares are the failure shares of caches, ascending.
	failureShares []float64
	// updates counts the updates of the endpoint list.
	updates int
	// unused are servers that an update or the end of their last attempt has left unlisted or without
	// attempts. The next update deletes the records of those that are both.
	unused []*server
}

// serverCounts are counts over the listed servers.
type serverCounts struct {
	// listed is the number of servers, the origin included.
	listed int
	// avoided is the number of those that get no requests because they are disabled or ejected.
	avoided int
	// ejectedCaches is the number of ejected cache servers, draining ones included.
	ejectedCaches int
}

// serverRole is what a listed server is used as.
type serverRole int

const (
	roleNone serverRole = iota // not listed
	roleCache
	roleOrigin
)

func newMembership() membership {
	return membership{
		servers:    map[uint32]*server{},
		disabledAt: map[uint32]float64{},
		table:      newHashTable(),
	}
}

// list applies a list entry to a server.
func (m *membership) list(s *server, e Endpoint, cfg Config) {
	m.change(s, func() {
		s.Endpoint = e
		s.isListed = e.State != Removed
	})
	role := roleNone
	switch {
	case !s.isListed:
		m.noteUnused(s)
	case cfg.CacheAside && s.Kind == cfg.OriginKind:
		role = roleOrigin
	default:
		role = roleCache
	}
	m.setRole(s, role)
}

// unlistAllBut removes all servers from the list that the update with the given number has not named.
func (m *membership) unlistAllBut(update int) {
	for _, s := range slices.Concat(m.caches, m.origins) {
		if s.lastUpdate == update {
			continue
		}
		m.change(s, func() { s.isListed = false })
		m.noteUnused(s)
		m.setRole(s, roleNone)
	}
}

// noteUnused notes a server whose record the end of the update may delete.
func (m *membership) noteUnused(s *server) {
	if !s.isNotedUnused {
		s.isNotedUnused = true
		m.unused = append(m.unused, s)
	}
}

// deleteUnused deletes the records of servers that are neither listed nor have attempts of this
// router in flight.
func (m *membership) deleteUnused() {
	for _, s := range m.unused {
		s.isNotedUnused = false
		if !s.isListed && s.attempts.inFlight == 0 && m.servers[s.ID] == s {
			delete(m.servers, s.ID)
		}
	}
	clear(m.unused)
	m.unused = m.unused[:0]
}

// attemptEnded notes that a server may have no attempt in flight any more.
func (m *membership) attemptEnded(s *server) {
	if !s.isListed && s.attempts.inFlight == 0 {
		m.noteUnused(s)
	}
}

// setRole adds a server to the servers of its role and removes it from those of its former one.
func (m *membership) setRole(s *server, role serverRole) {
	if role == s.role {
		return
	}
	switch s.role {
	case roleCache:
		m.caches = removeByID(m.caches, s)
		m.table.remove(s, m.servers)
		m.removeFailureShare(s.health.failureShare)
		m.counts.ejectedCaches -= countOf(s.health.isEjected)
	case roleOrigin:
		m.origins = removeByID(m.origins, s)
	}
	s.role = role
	switch role {
	case roleCache:
		m.caches = insertByID(m.caches, s)
		m.table.add(s)
		m.addFailureShare(s.health.failureShare)
		m.counts.ejectedCaches += countOf(s.health.isEjected)
	case roleOrigin:
		m.origins = insertByID(m.origins, s)
	}
	m.origin = nil
	if len(m.origins) > 0 {
		m.origin = m.origins[0]
	}
}

// change changes whether a server is listed, in which state, disabled or ejected. Every change of
// those goes through here, so that counts stay right.
func (m *membership) change(s *server, do func()) {
	m.counts.add(s, -1)
	do()
	m.counts.add(s, 1)
}

// add adds a server to the counts, times a factor.
func (c *serverCounts) add(s *server, factor int) {
	c.listed += factor * countOf(s.isListed)
	c.avoided += factor * countOf(s.isAvoided())
	c.ejectedCaches += factor * countOf(s.role == roleCache && s.health.isEjected)
}

// isAvoided reports whether a listed server gets no requests because it is disabled or ejected.
func (s *server) isAvoided() bool {
	return s.isListed && (s.isDisabled || s.health.isEjected && s.State == Ready)
}

func countOf(isCounted bool) int {
	if isCounted {
		return 1
	}
	return 0
}

// setEjected records whether a server is ejected.
func (m *membership) setEjected(s *server, isEjected bool) {
	m.change(s, func() { s.health.isEjected = isEjected })
}

// setDisabled records whether operators have disabled a server.
func (m *membership) setDisabled(s *server, isDisabled bool) {
	m.change(s, func() { s.isDisabled = isDisabled })
}

// setFailureShare sets the failure share of a server.
func (m *membership) setFailureShare(s *server, share float64) {
	if share == s.health.failureShare {
		return
	}
	if s.role == roleCache {
		m.removeFailureShare(s.health.failureShare)
		m.addFailureShare(share)
	}
	s.health.failureShare = share
}

func (m *membership) addFailureShare(share float64) {
	at, _ := slices.BinarySearch(m.failureShares, share)
	m.failureShares = slices.Insert(m.failureShares, at, share)
}

func (m *membership) removeFailureShare(share float64) {
	at, _ := slices.BinarySearch(m.failureShares, share)
	m.failureShares = slices.Delete(m.failureShares, at, at+1)
}

// medianFailureShare returns the share of failed attempts at the median cache server, which a few
// outliers do not change.
func (m *membership) medianFailureShare() float64 {
	if len(m.failureShares) == 0 {
		return 0
	}
	return m.failureShares[(len(m.failureShares)-1)/2]
}

// compareID orders servers by ascending ID.
func compareID(s *server, id uint32) int { return cmp.Compare(s.ID, id) }

// insertByID inserts a server into servers by ascending ID.
func insertByID(servers []*server, s *server) []*server {
	at, _ := slices.BinarySearchFunc(servers, s.ID, compareID)
	return slices.Insert(servers, at, s)
}

// removeByID removes a server from servers by ascending ID.
func removeByID(servers []*server, s *server) []*server {
	at, _ := slices.BinarySearchFunc(servers, s.ID, compareID)
	return slices.Delete(servers, at, at+1)
}
