package admission

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// newTenantRetryTokens is how many retries a tenant begins with that is not named and was not known.
	newTenantRetryTokens = 3
	// maxEvictionTries bounds the flows that are looked at to find one that can be evicted.
	maxEvictionTries = 4
	// noIndex stands where an index of a flow or a record would.
	noIndex = int32(-1)
)

// The lists in which a flow's requests wait, in the order in which they go.
const (
	guaranteedList = iota // within the tenant's guaranteed rate
	priorityList          // of a class that goes first
	ordinaryList
	listCount
)

// flow is one tenant's state, or that of a bucket of them, or of all tenants together that are not named.
type flow struct {
	hash      uint64
	name      [maxNameBytes]byte
	nameLen   uint8
	used      bool // an exact flow holds a tenant
	isUnnamed bool // it is scheduled among the tenants that are not named, not at the top
	weight    float64
	finishTag float64 // of start-time fair queueing: the tag at which what it was given ends

	head, tail [listCount]int32 // waiting requests
	waiting    int              // requests
	open       int              // requests that wait or are in work
	backlog    float64          // cost that waits

	recentWork   float64 // given lately, which fades with rateTimeConstantMillis,
	recentWorkAt float64 // as it stood at this time
	activeSince  float64

	guaranteedRate   float64 // requests a millisecond
	guaranteedBurst  float64
	guaranteedTokens float64 // requests in hand,
	guaranteedAt     float64 // as they stood at this time

	reservedWork        float64 // cost that was rejected with a retry-after and is expected back
	reservationsDueFrom float64 // when the first of it is due, about
	retryTokens         float64 // retries in hand
	older, newer        int32   // exact flows, by when they were last used
	stats               TenantStats
}

// newFlow is a flow without a tenant.
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

// isActive tells that a flow counts among those that share the work.
func (f *flow) isActive() bool { return f.waiting > 0 || f.reservedWork > 0 }

// isIdle tells that a flow has nothing open and nothing promised.
func (f *flow) isIdle() bool { return f.open == 0 && f.reservedWork <= 0 }

// setGuarantee sets the rate that goes ahead of all shares.
func (f *flow) setGuarantee(tenant Tenant) {
	f.guaranteedRate = tenant.GuaranteedPerSecond / 1000
	f.guaranteedBurst = tenant.GuaranteedBurst
	if tenant.GuaranteedPerSecond == 0 {
		f.guaranteedBurst = 0
	}
	f.guaranteedTokens = min(f.guaranteedTokens, f.guaranteedBurst)
}

// refillGuarantee brings the guaranteed requests in hand up to now.
func (f *flow) refillGuarantee(now float64) {
	earned := f.guaranteedRate * max(0, now-f.guaranteedAt)
	f.guaranteedTokens = min(f.guaranteedBurst, f.guaranteedTokens+earned)
	f.guaranteedAt = now
}

// unnamedFlow is the flow that stands at the top for all tenants that are not named.
func (a *Admission) unnamedFlow() int32 { return int32(len(a.flows) - 1) }

// assign gives a flow to a tenant that the operator names.
func (a *Admission) assign(i int32, tenant Tenant) {
	f := &a.flows[i]
	f.used = true
	f.weight = tenant.Weight
	f.retryTokens = a.cfg.RetryBudgetBurst
	f.guaranteedAt = a.now
	f.setGuarantee(tenant)
	f.guaranteedTokens = f.guaranteedBurst
	f.setTenant(tenant.Name)
	a.named[tenant.Name] = i
}

// find gives the flow of a tenant, and the hash of its name: its own flow where it is named, is known or there is room to
// know it, else a bucket's.
func (a *Admission) find(tenant string) (flowIndex int32, hash uint64) {
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
		return a.bucket(hash), hash
	}
	f := &a.flows[i]
	f.hash = hash
	f.used = true
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

// takeExactFlow gives an exact flow that is free or can be evicted, or noIndex. The tenant that was used longest ago is
// evicted, unless it has something waiting, was told to come back, or is in debt: nobody sheds a debt by being forgotten.
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

// bucket is the flow that a tenant shares with others while it has none of its own.
func (a *Admission) bucket(hash uint64) int32 {
	number := combinedHash(hash, a.salt, 0) % uint64(a.cfg.Buckets)
	return int32(maxNamedTenants + a.cfg.Flows + int(number))
}

// combinedHash is one hash of three numbers.
func combinedHash(x, y, z uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], x)
	binary.LittleEndian.PutUint64(b[8:], y)
	binary.LittleEndian.PutUint64(b[16:], z)
	return xxhash.Sum64(b[:])
}

// touch makes an exact flow the one that was used last.
func (a *Admission) touch(i int32) {
	if a.newest != i {
		a.unlink(i)
		a.link(i)
	}
}

// link puts an exact flow at the newest end of the list by last use.
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

// unlink takes an exact flow off the list by last use.
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
