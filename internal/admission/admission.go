// Package admission decides which requests are admitted before the Balancer sees them: weighted
// fair shares of work among tenants, within fixed memory, with an honest retry-after for those that
// are rejected. It does no I/O and has no clock: each call brings the time in milliseconds, and the
// same seed and calls lead to the same decisions.
//
// Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) in two levels: named tenants
// and, as one, all others; and the others among themselves. The limit on concurrency follows what
// the fleet can take (docs/admission-design.md).
package admission

import (
	"math"
	"math/rand/v2"
	"unsafe"
)

// Request is a request that has arrived.
type Request struct {
	// ID names the request to the Host. It is unique among those that wait or are in work.
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
	// IsRetry tells that the client marks it as a retry.
	IsRetry bool
}

// Outcome is what became of a request that was admitted.
type Outcome struct {
	ID uint32
	// Served tells that the client has the answer that it asked for.
	Served bool
	// Rejected tells that the Balancer rejected it for want of capacity.
	Rejected bool
	// LatencyMillis is the time since its admission.
	LatencyMillis float64
	// Attempts is how many it had.
	Attempts int
	// WorkMillis is what its attempts took together.
	WorkMillis float64
	// ResponseBytes is the size of the answer.
	ResponseBytes int
}

// Host carries out decisions. Its methods are called within the call of Admission that led to the
// decision, and must not call Admission. Each request gets one of the two, once.
type Host interface {
	// Admit forwards a request to the Balancer.
	Admit(id uint32)
	// Reject answers a request at once; its client may return after retryAfterMillis.
	Reject(id uint32, retryAfterMillis float64)
}

// Admission decides for one router. It is not safe for concurrent use.
type Admission struct {
	cfg        Config
	host       Host
	rng        *rand.Rand
	now        float64 // ms
	hasStarted bool    // a call has brought the time

	// flows holds maxNamedTenants flows for named tenants, then exact ones, buckets, and last the
	// unnamed flow.
	flows []flow
	// named finds the flow of a named tenant.
	named map[string]int32
	// exact finds the flow of another tenant by the hash of its name.
	exact map[uint64]int32
	// oldest and newest are the ends of the list of exact flows by last use.
	oldest, newest int32
	// freeFlows are the exact flows that hold no tenant.
	freeFlows []int32
	// salt is of the hash that picks a tenant's bucket.
	salt uint64
	// saltedAt is when the salt was drawn.
	saltedAt float64

	// top schedules the named tenants and, as one flow, all others; unnamed schedules these.
	top, unnamed fairQueue

	// records are the requests that wait or are in work.
	records     []record
	freeRecords []int32
	byID        map[uint32]int32
	// waiting is how many of the records are queued.
	waiting int
	// expiry orders the queued records by when they are rejected at the latest.
	expiry heap
	// guaranteed holds the flows with queued requests within their guaranteed rate, by when the first
	// of these arrived.
	guaranteed heap
	// guaranteedBacklog is the cost of these requests, in ms.
	guaranteedBacklog float64

	limiter          limiter
	costs            costModel
	reservations     reservationTable
	returnStats      returnTracker
	recentRejections rejectionMemory
}

// rngStream keeps the random numbers apart from those of other users of the same seed.
const rngStream = 11

// New returns an Admission, or a *SettingError. All memory is allocated here.
func New(cfg Config, seed uint64, host Host) (*Admission, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	// A request in work needs a record too: as many as the limit on concurrency allows, beside those
	// that wait. Requests that cost less than the mean may be more than that; without a free record
	// a request is rejected.
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
	a.freeRecords = descending(recordCount)
	a.initFlows()
	return a, nil
}

// initFlows assigns each flow: to a named tenant, to the unnamed ones together, or to one of these.
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

// descending returns a stack of the numbers below n, the least on top.
func descending(n int) []int32 {
	all := make([]int32, 0, n)
	for i := range n {
		all = append(all, int32(n-1-i))
	}
	return all
}

// advance brings the time up to now and carries out what is due by it.
func (a *Admission) advance(now float64) {
	if !a.hasStarted {
		a.hasStarted = true
		a.saltedAt = now
		a.limiter.adjustAt = now + windowMillis
	}
	a.now = max(now, a.now)
	if a.now-a.saltedAt >= a.cfg.RehashMillis { // so that no tenant shares a bucket with the same heavy one for long
		a.saltedAt = a.now
		a.salt = a.rng.Uint64()
	}
	a.expireReservations()
	a.expireWaiting()
	if a.now >= a.limiter.adjustAt {
		a.limiter.adjust(a.now, a.contenders())
	}
	a.admitWaiting() // a higher limit, or a smaller request at the head, may allow some
}

// NextDeadline is when Tick has to be called, in ms; +Inf where no request waits.
func (a *Admission) NextDeadline() float64 {
	if a.expiry.len() == 0 {
		return math.Inf(1)
	}
	return a.expiry.firstKey()
}

// Tick rejects the requests whose allowed wait is over.
func (a *Admission) Tick(nowMillis float64) { a.advance(nowMillis) }

// TableBytes is the size of all tables. It does not change with the load.
func (a *Admission) TableBytes() int {
	const (
		indexBytes    = 4  // in a list of free records
		heapItemBytes = 16 // an index, a position and a key
		mapItemBytes  = 30 // some 20 at the size a map was made for, up to twice that once it has grown
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
