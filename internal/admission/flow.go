package admission

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// newTenantRetryTokens is the number of retries that a new unnamed tenant may make at once:
	// enough for a client's usual retries, but too few to evade the retry budget with invented
	// tenant names.
	newTenantRetryTokens = 3
	// maxEvictionTries bounds the number of flows that are examined to find one that can be
	// evicted.
	maxEvictionTries = 4
	// noIndex stands for no flow or no record.
	noIndex = int32(-1)
)

// The lists in which a flow's requests are queued, in the order in which they are admitted.
const (
	// guaranteedList holds requests within the tenant's guaranteed rate.
	guaranteedList = iota
	// priorityList holds requests of a class with priority.
	priorityList
	ordinaryList
	listCount
)

// flow is the state of one tenant, of a bucket of tenants, or of all unnamed tenants together.
type flow struct {
	hash    uint64 // of the tenant's name
	name    [maxNameBytes]byte
	nameLen uint8
	// isAssigned reports whether the flow is assigned to a tenant.
	isAssigned bool
	// isUnnamed reports whether the flow is scheduled among the unnamed tenants, not at the top
	// level.
	isUnnamed bool
	weight    float64
	// finishTag is the virtual time at which the flow's work ends (start-time fair queueing).
	finishTag float64

	// head and tail are the ends of the lists of queued requests.
	head, tail [listCount]int32
	// waiting is the number of queued requests.
	waiting int
	// open is the number of queued and admitted requests.
	open int
	// backlog is the total cost of the queued requests, in ms.
	backlog float64

	// recentWork is the recently admitted work, in ms; it decays with rateTimeConstantMillis.
	recentWork float64
	// recentWorkAt is the time of the last update of recentWork.
	recentWorkAt float64
	// activeSince is when the flow last became active.
	activeSince float64

	// guaranteedRate is in requests per millisecond.
	guaranteedRate  float64
	guaranteedBurst float64
	// guaranteedTokens is the number of guaranteed requests that are available.
	guaranteedTokens float64
	// guaranteedAt is the time of the last update of guaranteedTokens.
	guaranteedAt float64

	// reservedWork is the cost of rejected requests that are expected to be retried, in ms.
	reservedWork float64
	// reservationsDueFrom is approximately when the first reservation is due.
	reservationsDueFrom float64
	// retryTokens is the number of retries that are available.
	retryTokens float64
	// older and newer are the neighbors in the list of exact flows, ordered by last use.
	older, newer int32
	stats        TenantStats
}

// newFlow returns a flow that is not assigned to a tenant.
func newFlow() flow {
	f := flow{weight: 1, older: noIndex, newer: noIndex}
	for list := range listCount {
		f.head[list] = noIndex
		f.tail[list] = noIndex
	}
	return f
}

func (f *flow) tenant() string { return string(f.name[:f.nameLen]) }

func (f *flow) setTenant(name string) { f.nameLen = uint8(copy(f.name[:], name)) }

// isActive reports whether a flow counts among those that share the work.
func (f *flow) isActive() bool { return f.waiting > 0 || f.reservedWork > 0 }

// isIdle reports whether a flow has no open request and no reservation.
func (f *flow) isIdle() bool { return f.open == 0 && f.reservedWork <= 0 }

const millisPerSecond = 1000

// setGuarantee sets the guaranteed rate, which precedes all shares.
func (f *flow) setGuarantee(tenant Tenant) {
	f.guaranteedRate = tenant.GuaranteedPerSecond / millisPerSecond
	f.guaranteedBurst = tenant.GuaranteedBurst
	if tenant.GuaranteedPerSecond == 0 {
		f.guaranteedBurst = 0
	}
	f.guaranteedTokens = min(f.guaranteedTokens, f.guaranteedBurst)
}

// refillGuarantee adds the guaranteed tokens that have accumulated since the last refill.
func (f *flow) refillGuarantee(now float64) {
	accumulated := f.guaranteedRate * max(0, now-f.guaranteedAt)
	f.guaranteedTokens = min(f.guaranteedBurst, f.guaranteedTokens+accumulated)
	f.guaranteedAt = now
}

// unnamedFlow returns the index of the top-level flow that represents all unnamed tenants.
func (a *Admission) unnamedFlow() int32 { return int32(len(a.flows) - 1) }

// assign assigns a flow to a named tenant.
func (a *Admission) assign(i int32, tenant Tenant) {
	f := &a.flows[i]
	f.isAssigned = true
	f.weight = tenant.Weight
	f.retryTokens = a.cfg.RetryBudgetBurst
	f.guaranteedAt = a.now
	f.setGuarantee(tenant)
	f.guaranteedTokens = f.guaranteedBurst
	f.setTenant(tenant.Name)
	a.named[tenant.Name] = i
}

// findFlow returns the flow of a tenant and the hash of its name. A named or tracked tenant has its
// own flow; any other tenant gets one if an exact flow is available, or else shares a bucket.
func (a *Admission) findFlow(tenant string) (flowIndex int32, hash uint64) {
	hash = xxhash.Sum64String(tenant)
	if i, ok := a.named[tenant]; ok {
		return i, hash
	}
	if i, ok := a.exact[hash]; ok {
		a.touch(i)
		return i, hash
	}
	i := a.takeExactFlow()
	if i == noIndex {
		return a.bucketFlow(hash), hash
	}
	f := &a.flows[i]
	f.hash = hash
	f.isAssigned = true
	f.recentWork = 0
	f.finishTag = 0
	f.reservedWork = 0
	f.retryTokens = min(a.cfg.RetryBudgetBurst, newTenantRetryTokens)
	f.stats = TenantStats{}
	f.setTenant(tenant)
	a.exact[hash] = i
	a.link(i)
	return i, hash
}

// takeExactFlow returns an exact flow that is free or can be evicted, or noIndex. Of the flows used
// longest ago, it evicts the first without open requests, reservations or debt: eviction must not
// clear a tenant's debt.
func (a *Admission) takeExactFlow() int32 {
	if last := len(a.freeFlows) - 1; last >= 0 {
		i := a.freeFlows[last]
		a.freeFlows = a.freeFlows[:last]
		return i
	}
	candidate := a.oldest
	for range maxEvictionTries {
		if candidate == noIndex {
			break
		}
		f := &a.flows[candidate]
		if f.isIdle() && f.finishTag <= a.unnamed.virtualTime {
			delete(a.exact, f.hash)
			a.unlink(candidate)
			return candidate
		}
		candidate = f.newer
	}
	return noIndex
}

// bucketFlow returns the flow that a tenant without an exact flow shares with others.
func (a *Admission) bucketFlow(hash uint64) int32 {
	number := combinedHash(hash, a.salt, 0) % uint64(a.cfg.Buckets)
	return int32(maxNamedTenants + a.cfg.Flows + int(number))
}

// combinedHash returns a hash of three numbers.
func combinedHash(x, y, z uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], x)
	binary.LittleEndian.PutUint64(b[8:], y)
	binary.LittleEndian.PutUint64(b[16:], z)
	return xxhash.Sum64(b[:])
}

// touch marks an exact flow as the most recently used.
func (a *Admission) touch(i int32) {
	if a.newest != i {
		a.unlink(i)
		a.link(i)
	}
}

// link adds an exact flow to the list by last use, as the newest.
func (a *Admission) link(i int32) {
	f := &a.flows[i]
	f.older = a.newest
	f.newer = noIndex
	if a.newest != noIndex {
		a.flows[a.newest].newer = i
	} else {
		a.oldest = i
	}
	a.newest = i
}

// unlink removes an exact flow from the list by last use.
func (a *Admission) unlink(i int32) {
	f := &a.flows[i]
	if f.older != noIndex {
		a.flows[f.older].newer = f.newer
	} else {
		a.oldest = f.newer
	}
	if f.newer != noIndex {
		a.flows[f.newer].older = f.older
	} else {
		a.newest = f.older
	}
}
