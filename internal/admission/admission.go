// Package admission decides which requests are admitted before the Balancer sees them: weighted fair shares of work among
// tenants, within fixed memory, with an honest retry-after for those that are rejected. It does no I/O and has no clock:
// each call brings the time in milliseconds, and the same seed and calls lead to the same decisions.
//
// Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) in two levels: named tenants and, as one, all others;
// and the others among themselves. The limit on concurrency follows what the fleet can take (docs/admission-design.md).
package admission

import (
	"math"
	"math/rand/v2"
	"unsafe"
)

// Request is a request at the door.
type Request struct {
	ID              uint32
	Tenant          string
	Class           int
	Key             uint64
	SizeBytes       int     // bytes that come with it
	RemainingMillis float64 // ms that remain until its deadline
	IsRetry         bool    // marked as a retry
}

// Outcome is what became of a request that was admitted.
type Outcome struct {
	ID            uint32
	Served        bool
	Rejected      bool    // rejected by the Balancer, for want of capacity
	LatencyMillis float64 // ms since it was admitted
	Attempts      int
	WorkMillis    float64 // ms that its attempts took, together
	ResponseBytes int     // bytes of the answer
}

// Host carries out what is decided, within the call that led to it. Each request gets one of the two, once.
type Host interface {
	// Admit lets a request in.
	Admit(id uint32)
	// Reject rejects a request; its client may come back after so many milliseconds.
	Reject(id uint32, afterMS float64)
}

// notStarted stands for the time of the first call before there was one.
const notStarted = -1

// Admission decides for one router.
type Admission struct {
	cfg       Config
	host      Host
	rng       *rand.Rand
	now       float64
	startedAt float64

	// Flows: maxNamedTenants of them for the named, then exact ones, buckets, and last the unnamed flow.
	flows          []flow
	named          map[string]int32
	exact          map[uint64]int32 // by the hash of the tenant's name
	oldest, newest int32
	freeFlows      []int32 // exact flows that hold no tenant
	salt           uint64  // of the hash that picks a bucket
	saltedAt       float64

	top, unnamed fairQueue

	// Requests that wait or are in work.
	records           []record
	freeRecords       []int32
	byID              map[uint32]int32
	waiting           int
	expiry            heap    // waiting records, by when they are rejected at the latest
	guaranteed        heap    // flows with requests within their guaranteed rate, by when the first of these came
	guaranteedBacklog float64 // their cost

	limiter          limiter
	costs            costModel
	reservations     reservationTable
	returnStats      returnTracker
	recentRejections rejectionMemory
}

// New returns an Admission, or an error that names the setting that is impossible. All memory is taken here.
func New(cfg Config, seed uint64, host Host) (*Admission, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	// A request in work needs a record too: as many as the limit on concurrency allows, beside those that wait. What
	// costs less than the mean may stand there in greater number; beyond the records a request is rejected.
	recordCount := cfg.QueueLimit + 2*int(cfg.MaxLimit)
	flowCount := maxNamedTenants + cfg.Flows + cfg.Buckets + 1
	a := &Admission{
		cfg:          cfg,
		host:         host,
		rng:          rand.New(rand.NewPCG(seed, 11)),
		startedAt:    notStarted,
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

// initFlows gives each flow its part.
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

// descending is a stack of the numbers below n, the least on top.
func descending(n int) []int32 {
	all := make([]int32, 0, n)
	for i := range n {
		all = append(all, int32(n-1-i))
	}
	return all
}

// advance brings the time up to now and carries out what is due by it.
func (a *Admission) advance(now float64) {
	if a.startedAt < 0 {
		a.startedAt = now
		a.saltedAt = now
		a.limiter.adjustAt = now + windowMillis
	}
	a.now = max(now, a.now)
	if a.now-a.saltedAt >= a.cfg.RehashMillis { // so that nobody stays in one bucket with the same heavy tenant
		a.saltedAt = a.now
		a.salt = a.rng.Uint64()
	}
	a.expireReservations()
	a.expireWaiting()
	if a.now >= a.limiter.adjustAt {
		a.limiter.adjust(a.now, a.contenders())
	}
	a.admitWaiting() // a higher limit, or a smaller request at the head, may let some in
}

// NextDeadline is when Tick wants to be called; +Inf where nothing waits.
func (a *Admission) NextDeadline() float64 {
	if a.expiry.len() == 0 {
		return math.Inf(1)
	}
	return a.expiry.firstKey()
}

// Tick carries out what is due at now: a request that has waited for as long as it may is rejected.
func (a *Admission) Tick(now float64) { a.advance(now) }

// TableBytes is what the tables take, in bytes, whatever comes.
func (a *Admission) TableBytes() int {
	const (
		indexBytes    = 4  // of a place in a list of free records
		heapItemBytes = 16 // an index, a position and a key
		mapItemBytes  = 30 // some 20 at the size a map was made for, and up to twice that where it has had to grow
	)
	heaps := []*heap{&a.top.ready, &a.unnamed.ready, &a.top.longest, &a.unnamed.longest, &a.guaranteed, &a.expiry, &a.reservations.expiry}
	total := int(unsafe.Sizeof(*a))
	total += len(a.flows) * int(unsafe.Sizeof(flow{}))
	total += len(a.records) * int(unsafe.Sizeof(record{})+indexBytes)
	total += len(a.reservations.entries) * int(unsafe.Sizeof(reservation{})+indexBytes)
	for _, h := range heaps {
		total += len(h.positions) * heapItemBytes
	}
	return total + mapItemBytes*(a.cfg.Flows+len(a.records)+len(a.reservations.entries))
}
