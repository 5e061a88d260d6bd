package admission

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// newTenantRetryTokens is how many retries a new unnamed tenant may make at once: enough for a
	// client's usual retries, too few for invented names to get around the retry budget.
	newTenantRetryTokens = 3
	// maxEvictionTries bounds the flows that are looked at to find one that can be evicted.
	maxEvictionTries = 4
	// noIndex is no flow or record.
	noIndex = int32(-1)
)

// The lists in which a flow's requests wait, in the order in which they are served.
const (
	// guaranteedList is for requests within the tenant's guaranteed rate.
	guaranteedList = iota
	// priorityList is for requests of a class with priority.
	priorityList
	ordinaryList
	listCount
)

// flow is the state of one tenant, of a bucket of tenants, or of all unnamed tenants together.
type flow struct {
	hash    uint64 // of the tenant's name
	name    [maxNameBytes]byte
	nameLen uint8
	// used tells that the flow belongs to a tenant.
	used bool
	// isUnnamed tells that it is scheduled among the unnamed tenants, not at the top.
	isUnnamed bool
	weight    float64
	// finishTag is that of start-time fair queueing: where in virtual time the flow's work ends.
	finishTag float64

	// head and tail are the ends of the lists of queued requests.
	head, tail [listCount]int32
	// waiting is how many requests are queued.
	waiting int
	// open is how many requests are queued or in work.
	open int
	// backlog is the cost of the queued requests, in ms.
	backlog float64

	// recentWork is the work given lately, in ms; it decays with rateTimeConstantMillis.
	recentWork float64
	// recentWorkAt is the time at which recentWork was brought up to date.
	recentWorkAt float64
	// activeSince is when the flow last became active.
	activeSince float64

	// guaranteedRate is in requests a millisecond.
	guaranteedRate  float64
	guaranteedBurst float64
	// guaranteedTokens is how many guaranteed requests are available.
	guaranteedTokens float64
	// guaranteedAt is the time at which guaranteedTokens was brought up to date.
	guaranteedAt float64

	// reservedWork is the cost that was rejected with a retry-after and is expected back, in ms.
	reservedWork float64
	// reservationsDueFrom is about when the first of it is due.
	reservationsDueFrom float64
	// retryTokens is how many retries are available.
	retryTokens float64
	// older and newer are the neighbours in the list of exact flows by last use.
	older, newer int32
	stats        TenantStats
}

// newFlow returns a flow without a tenant.
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

// setGuarantee sets the rate that goes ahead of all shares.
func (f *flow) setGuarantee(tenant Tenant) {
	f.guaranteedRate = tenant.GuaranteedPerSecond / millisPerSecond
	f.guaranteedBurst = tenant.GuaranteedBurst
	if tenant.GuaranteedPerSecond == 0 {
		f.guaranteedBurst = 0
	}
	f.guaranteedTokens = min(f.guaranteedTokens, f.guaranteedBurst)
}

// refillGuarantee brings the tokens of the guaranteed rate up to now.
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

// find returns the flow of a tenant and the hash of its name: the flow of its own where it is named, is
// tracked or can be tracked from now on, else a bucket's.
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

// takeExactFlow returns an exact flow that is free or can be evicted, or noIndex. The tenant that was
// used longest ago is evicted, unless it has queued requests, reservations or debt: a tenant must not
// lose its debt by being evicted.
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
