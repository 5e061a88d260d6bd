package admission

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSnapshotEntries bounds the number of tenants, and the number of reservations, in a snapshot.
const maxSnapshotEntries = 2048

// Snapshot is the state that a process hands over to its successor: the concurrency limit and cost
// averages, the tenants' debts, and the retry-after times given to clients. Times are relative, as
// the clocks of the two processes may differ. Queued and admitted requests stay with the old
// process.
type Snapshot struct {
	// Limit is the concurrency limit, in requests of mean cost.
	Limit float64 `json:"limit"`
	// BaseStretch is the mean stretch that remains at a low limit.
	BaseStretch float64 `json:"calm"`
	// MeanCostMillis is the mean cost of a request.
	MeanCostMillis float64 `json:"mean_ms"`
	// LatencyMillis is the recent time from a request's admission to its answer.
	LatencyMillis float64 `json:"takes_ms"`
	// CostScale is the ratio of the measured work of all classes to their configured costs.
	CostScale float64 `json:"scale"`
	// ReturnRate is the share of clients rejected with a retry-after that return when it is over.
	ReturnRate float64 `json:"heed"`
	// WorkMillisByClass is the recent work of a request, by class name.
	WorkMillisByClass map[string]float64 `json:"work_ms"`
	// LatencyMillisByClass is the recent latency of a request, by class name.
	LatencyMillisByClass map[string]float64    `json:"usual_ms"`
	Tenants              []TenantSnapshot      `json:"tenants"`
	Reservations         []ReservationSnapshot `json:"promises"`
}

// TenantSnapshot is the debt and the statistics of a tenant.
type TenantSnapshot struct {
	Name string `json:"name"`
	// Debt is how far the tenant's finish tag is ahead of the virtual time: the work that it
	// received beyond its share.
	Debt  float64     `json:"ahead"`
	Stats TenantStats `json:"count"`
}

// ReservationSnapshot is a retry-after that was given to a client.
type ReservationSnapshot struct {
	Tenant string `json:"tenant"`
	// Identity is a hash of tenant, key and class.
	Identity    uint64  `json:"who"`
	DueInMillis float64 `json:"in_ms"`
	CostMillis  float64 `json:"cost"`
}

// Snapshot returns the state for a successor, in bounded size: it prefers the most recently used
// tenants and the reservations due first, and omits reservations of tenants that are not tracked
// individually.
func (a *Admission) Snapshot(nowMillis float64) Snapshot {
	a.advance(nowMillis)
	snapshot := Snapshot{
		Limit:                a.limiter.limit,
		BaseStretch:          a.limiter.baseStretch,
		MeanCostMillis:       a.costs.mean,
		LatencyMillis:        a.costs.latency,
		CostScale:            a.costs.scale,
		ReturnRate:           a.returnStats.rate,
		WorkMillisByClass:    map[string]float64{},
		LatencyMillisByClass: map[string]float64{},
		Tenants:              a.snapshotTenants(),
		Reservations:         a.snapshotReservations(),
	}
	for i, class := range a.cfg.Classes {
		snapshot.WorkMillisByClass[class.Name] = a.costs.workByClass[i]
		snapshot.LatencyMillisByClass[class.Name] = a.costs.latencyByClass[i]
	}
	return snapshot
}

// snapshotTenants returns the named tenants and then the most recently used of the others.
func (a *Admission) snapshotTenants() (tenants []TenantSnapshot) {
	add := func(i int32) {
		f := &a.flows[i]
		if !f.isAssigned || len(tenants) >= maxSnapshotEntries {
			return
		}
		debt := max(0, f.finishTag-a.queueOf(f).virtualTime)
		tenants = append(tenants, TenantSnapshot{Name: f.tenant(), Debt: debt, Stats: f.stats})
	}
	for i := range int32(maxNamedTenants) {
		add(i)
	}
	for i := a.newest; i != noIndex; i = a.flows[i].older {
		add(i)
	}
	return tenants
}

// snapshotReservations returns the reservations of individually tracked tenants, those that expire
// first before the others.
func (a *Admission) snapshotReservations() (reservations []ReservationSnapshot) {
	byExpiry := slices.Clone(a.reservations.expiry.items)
	slices.SortFunc(byExpiry, func(x, y int32) int {
		if a.reservations.expiry.less(x, y) {
			return -1
		}
		return 1
	})
	for _, i := range byExpiry {
		r := a.reservations.entries[i]
		f := &a.flows[r.flow]
		if !f.isAssigned || len(reservations) >= maxSnapshotEntries {
			continue
		}
		reservations = append(reservations, ReservationSnapshot{
			Tenant:      f.tenant(),
			Identity:    r.identity,
			DueInMillis: r.dueAt - a.now,
			CostMillis:  r.cost,
		})
	}
	return reservations
}

// validate returns an error if the snapshot can't be restored.
func (s Snapshot) validate() error {
	for _, value := range []float64{s.Limit, s.MeanCostMillis, s.ReturnRate} {
		if !(value >= 0) || math.IsInf(value, 0) {
			return fmt.Errorf("admission: restoring a snapshot: impossible value %v", value)
		}
	}
	if !(s.Limit > 0) || !(s.MeanCostMillis > 0) {
		return fmt.Errorf("admission: restoring a snapshot: limit %v and mean cost %v must be above 0",
			s.Limit, s.MeanCostMillis)
	}
	if len(s.Tenants) > maxSnapshotEntries || len(s.Reservations) > maxSnapshotEntries {
		return fmt.Errorf("admission: restoring a snapshot: %d tenants and %d reservations, at most %d of each allowed",
			len(s.Tenants), len(s.Reservations), maxSnapshotEntries)
	}
	return nil
}

// Restore applies the snapshot of the predecessor process. It must be called before the first
// request. On an error, nothing has changed.
func (a *Admission) Restore(nowMillis float64, s Snapshot) error {
	if err := s.validate(); err != nil {
		return err
	}
	a.advance(nowMillis)
	a.limiter.set(s.Limit)
	a.limiter.recentHigh = a.limiter.limit
	a.limiter.baseStretch = max(0, s.BaseStretch)
	a.costs.mean = s.MeanCostMillis
	a.costs.latency = max(0, s.LatencyMillis)
	a.costs.scale = max(0, s.CostScale)
	a.returnStats.rate = min(1, s.ReturnRate)
	for i, class := range a.cfg.Classes {
		a.costs.workByClass[i] = max(0, s.WorkMillisByClass[class.Name])
		a.costs.latencyByClass[i] = max(0, s.LatencyMillisByClass[class.Name])
	}
	a.restoreTenants(s.Tenants)
	a.restoreReservations(s.Reservations)
	return nil
}

// restoreTenants restores the tenants' debts and statistics as far as the tables have room for
// them.
func (a *Admission) restoreTenants(tenants []TenantSnapshot) {
	unnamedCount := 0
	for _, tenant := range slices.Backward(tenants) { // the most recently used tenant is added last
		if _, isNamed := a.named[tenant.Name]; !isNamed {
			unnamedCount++
			if unnamedCount > a.cfg.Flows {
				continue
			}
		}
		i, _ := a.findFlow(tenant.Name)
		f := &a.flows[i]
		if f.isAssigned && tenant.Debt >= 0 && !math.IsInf(tenant.Debt, 0) {
			f.finishTag = a.queueOf(f).virtualTime + tenant.Debt
			f.stats = tenant.Stats
		}
	}
}

// restoreReservations restores the reservations with plausible values of tenants that are tracked
// here.
func (a *Admission) restoreReservations(reservations []ReservationSnapshot) {
	earliest := -a.cfg.MaxRetryAfterMillis - reservationGraceMillis
	latest := 2 * a.cfg.MaxRetryAfterMillis
	for _, r := range reservations {
		i, isTracked := a.named[r.Tenant]
		if !isTracked {
			i, isTracked = a.exact[xxhash.Sum64String(r.Tenant)]
		}
		hasTime := r.DueInMillis >= earliest && r.DueInMillis <= latest
		hasCost := r.CostMillis > 0 && r.CostMillis < math.MaxFloat32
		if isTracked && hasTime && hasCost {
			a.reserve(r.Identity, i, max(0, r.DueInMillis), r.CostMillis)
		}
	}
}

// ScaleLimit multiplies the concurrency limit by factor, when the number of processes that share it
// changes.
func (a *Admission) ScaleLimit(nowMillis, factor float64) {
	a.advance(nowMillis)
	a.limiter.rescale(factor)
	a.admitWaiting()
}
