// Package admission decides which requests are passed on to the Balancer. It divides work among
// tenants by weighted fair sharing, in memory of fixed size, and gives each rejected request a
// retry-after at which its tenant's share is expected to be free. It does no I/O and reads no
// clock: each call passes the time in milliseconds, and the same seed and calls lead to the same
// decisions.
//
// Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) on two levels: the top level
// schedules the named tenants and one flow for all other tenants; the second level schedules these
// other tenants among themselves. The concurrency limit follows the capacity of the fleet
// (docs/admission-design.md).
package admission

import (
	"math"
	"math/rand/v2"
	"unsafe"
)

// Request is a request that arrives from a client.
type Request struct {
	// ID identifies the request to the Host. It is unique among the queued and admitted requests.
	ID     uint32
	Tenant string
	// Class is an index into Config.Classes.
	Class int
	// Key is a hash of the request's key.
	Key uint64
	// SizeBytes is the size of its body.
	SizeBytes int
	// RemainingMillis is the time until its deadline.
	RemainingMillis float64
	// IsRetry reports whether the client marked the request as a retry.
	IsRetry bool
}

// Outcome is the result of an admitted request.
type Outcome struct {
	ID uint32
	// Served reports whether the client received the answer that it asked for.
	Served bool
	// Rejected reports whether the Balancer rejected the request for lack of capacity.
	Rejected bool
	// LatencyMillis is the time since its admission.
	LatencyMillis float64
	// Attempts is the number of attempts made for the request.
	Attempts int
	// WorkMillis is the total duration of its attempts.
	WorkMillis float64
	// ResponseBytes is the size of the response.
	ResponseBytes int
}

// Host carries out decisions. Its methods are called during the call of Admission that led to the
// decision, and must not call Admission. For each request, one of the two is called once, unless
// its client disconnects first.
type Host interface {
	// Admit forwards a request to the Balancer.
	Admit(id uint32)
	// Reject answers a request immediately. The client should retry after retryAfterMillis.
	Reject(id uint32, retryAfterMillis float64)
}

// Admission makes the admission decisions of one router. It is not safe for concurrent use.
type Admission struct {
	cfg        Config
	host       Host
	rng        *rand.Rand
	now        float64 // ms
	hasStarted bool    // whether advance has been called

	// flows holds, in this order: maxNamedTenants flows for named tenants, Config.Flows exact
	// flows, Config.Buckets buckets, and the unnamed flow.
	flows []flow
	// named maps the name of a named tenant to its flow.
	named map[string]int32
	// exact maps the hash of an unnamed tenant's name to its exact flow.
	exact map[uint64]int32
	// oldest and newest are the ends of the list of exact flows, ordered by last use.
	oldest, newest int32
	// freeFlows are the exact flows that are assigned to no tenant.
	freeFlows []int32
	// salt is part of the hash that selects a tenant's bucket.
	salt uint64
	// saltedAt is the time at which the salt was generated.
	saltedAt float64

	// top schedules the named tenants and the unnamed flow; unnamed schedules the unnamed tenants.
	top, unnamed fairQueue

	// records are the requests that are queued or admitted.
	records     []record
	freeRecords []int32
	byID        map[uint32]int32
	// waiting is the number of records that are queued.
	waiting int
	// expiry orders the queued records by the time at which they are rejected.
	expiry heap
	// guaranteed holds the flows with queued requests within their guaranteed rate, ordered by the
	// arrival of the first of these requests.
	guaranteed heap
	// guaranteedBacklog is the total cost of these requests, in ms.
	guaranteedBacklog float64

	limiter          limiter
	costs            costModel
	reservations     reservationTable
	returnStats      returnTracker
	recentRejections rejectionMemory
}

// rngStream separates the random numbers of this package from others derived from the same seed.
const rngStream = 11

// New returns an Admission with all its memory allocated. The error is a *SettingError.
func New(cfg Config, seed uint64, host Host) (*Admission, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	// An admitted request needs a record too: as many as the concurrency limit allows, in addition
	// to the queued requests. The limit counts requests of mean cost, so cheaper ones can exceed
	// that number; without a free record a request is rejected.
	recordCount := cfg.QueueLimit + 2*int(cfg.MaxLimit)
	flowCount := maxNamedTenants + cfg.Flows + cfg.Buckets + 1
	a := &Admission{
		cfg:          cfg,
		host:         host,
		rng:          rand.New(rand.NewPCG(seed, rngStream)),
		flows:        make([]flow, flowCount),
		named:        map[string]int32{},
		exact:        make(map[uint64]int32, cfg.Flows),
		oldest:       noIndex,
		newest:       noIndex,
		top:          newFairQueue(flowCount),
		unnamed:      newFairQueue(flowCount),
		records:      make([]record, recordCount),
		byID:         make(map[uint32]int32, recordCount),
		expiry:       newHeap(recordCount),
		guaranteed:   newHeap(flowCount),
		limiter:      newLimiter(cfg),
		costs:        newCostModel(cfg.Classes),
		reservations: newReservationTable(cfg.ReservationLimit),
		returnStats:  returnTracker{rate: 1},
	}
	a.salt = a.rng.Uint64()
	a.freeRecords = descendingStack(recordCount)
	a.initFlows()
	return a, nil
}

// initFlows assigns each flow: to a named tenant, to all unnamed tenants together, to one unnamed
// tenant, or to a bucket of them.
func (a *Admission) initFlows() {
	firstBucket := maxNamedTenants + a.cfg.Flows
	for i := range a.flows {
		f := &a.flows[i]
		*f = newFlow()
		switch {
		case i < len(a.cfg.Tenants):
			a.assign(int32(i), a.cfg.Tenants[i])
		case i < maxNamedTenants:
		case int32(i) == a.unnamedFlow():
			f.weight = a.cfg.OthersWeight
		default:
			f.isUnnamed = true
			f.retryTokens = a.cfg.RetryBudgetBurst
			if i < firstBucket {
				a.freeFlows = append(a.freeFlows, int32(i))
			}
		}
	}
}

// descendingStack returns a stack of the numbers below n with 0 on top.
func descendingStack(n int) []int32 {
	stack := make([]int32, 0, n)
	for i := range n {
		stack = append(stack, int32(n-1-i))
	}
	return stack
}

// advance moves the time forward to now and carries out everything that is due by then.
func (a *Admission) advance(now float64) {
	if !a.hasStarted {
		a.hasStarted = true
		a.saltedAt = now
		a.limiter.adjustAt = now + windowMillis
	}
	a.now = max(now, a.now)
	// A new salt keeps a tenant from sharing a bucket with the same heavy tenant for long.
	if a.now-a.saltedAt >= a.cfg.RehashMillis {
		a.saltedAt = a.now
		a.salt = a.rng.Uint64()
	}
	a.expireReservations()
	a.expireWaiting()
	if a.now >= a.limiter.adjustAt {
		a.limiter.adjust(a.now, a.contenders())
	}
	a.admitWaiting() // a raised limit or a cheaper request at the head may allow more
}

// NextDeadline returns the time by which Tick must be called, in ms; +Inf if no request is queued.
func (a *Admission) NextDeadline() float64 {
	if a.expiry.len() == 0 {
		return math.Inf(1)
	}
	return a.expiry.firstKey()
}

// Tick rejects the requests whose maximum wait is over.
func (a *Admission) Tick(nowMillis float64) { a.advance(nowMillis) }

// TableBytes returns the size of all tables in bytes. It does not depend on the load.
func (a *Admission) TableBytes() int {
	const (
		indexBytes    = 4  // an index in a list of free records
		heapItemBytes = 16 // an index, a position and a key
		mapItemBytes  = 30 // about 20 at a map's initial size, up to twice that after it has grown
	)
	heaps := []*heap{
		&a.top.ready,
		&a.unnamed.ready,
		&a.top.longest,
		&a.unnamed.longest,
		&a.guaranteed,
		&a.expiry,
		&a.reservations.expiry,
	}
	total := int(unsafe.Sizeof(*a))
	total += len(a.flows) * int(unsafe.Sizeof(flow{}))
	total += len(a.records) * int(unsafe.Sizeof(record{})+indexBytes)
	total += len(a.reservations.entries) * int(unsafe.Sizeof(reservation{})+indexBytes)
	for _, h := range heaps {
		total += len(h.positions) * heapItemBytes
	}
	return total + mapItemBytes*(a.cfg.Flows+len(a.records)+len(a.reservations.entries))
}
