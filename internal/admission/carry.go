package admission

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSnapshotEntries bounds the tenants, and the promises, that a process hands to the one after it.
const maxSnapshotEntries = 2048

// Snapshot is what a process tells the one that takes its place: how the fleet bears the load, what tenants are owed or
// owe, and what clients were told. Times are relative, so that clocks need not agree. What waits or is in work stays
// with the process that has taken it.
type Snapshot struct {
	Limit                float64               `json:"limit"`
	BaseStretch          float64               `json:"calm"`
	MeanCostMillis       float64               `json:"mean_ms"`
	LatencyMillis        float64               `json:"takes_ms"`
	CostScale            float64               `json:"scale"`
	ReturnRate           float64               `json:"heed"`
	WorkMillisByClass    map[string]float64    `json:"work_ms"`  // by class
	LatencyMillisByClass map[string]float64    `json:"usual_ms"` // by class
	Tenants              []TenantSnapshot      `json:"tenants"`
	Reservations         []ReservationSnapshot `json:"promises"`
}

// TenantSnapshot is what a tenant has used.
type TenantSnapshot struct {
	Name  string      `json:"name"`
	Debt  float64     `json:"ahead"` // its tag before the virtual time: what it was given beyond its share
	Stats TenantStats `json:"count"`
}

// ReservationSnapshot is a retry-after that a client was told.
type ReservationSnapshot struct {
	Tenant      string  `json:"tenant"`
	Identity    uint64  `json:"who"`
	DueInMillis float64 `json:"in_ms"`
	CostMillis  float64 `json:"cost"`
}

// Snapshot tells a successor what it is to know, in bounded size: the tenants used last, and the promises due first.
// Promises of tenants that are not known exactly are left behind.
func (a *Admission) Snapshot(now float64) Snapshot {
	a.advance(now)
	carried := Snapshot{
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
		carried.WorkMillisByClass[class.Name] = a.costs.workByClass[i]
		carried.LatencyMillisByClass[class.Name] = a.costs.latencyByClass[i]
	}
	return carried
}

// snapshotTenants lists the named tenants and those used last.
func (a *Admission) snapshotTenants() (tenants []TenantSnapshot) {
	add := func(i int32) {
		f := &a.flows[i]
		if !f.used || len(tenants) >= maxSnapshotEntries {
			return
		}
		ahead := max(0, f.finishTag-a.queueOf(f).virtualTime)
		tenants = append(tenants, TenantSnapshot{Name: f.tenant(), Debt: ahead, Stats: f.stats})
	}
	for i := range int32(maxNamedTenants) {
		add(i)
	}
	for i := a.newest; i != noIndex; i = a.flows[i].older {
		add(i)
	}
	return tenants
}

// snapshotReservations lists the promises of tenants that are known exactly, those due first before the others.
func (a *Admission) snapshotReservations() (promises []ReservationSnapshot) {
	byExpiry := slices.Clone(a.reservations.expiry.items)
	slices.SortFunc(byExpiry, func(x, y int32) int {
		if a.reservations.expiry.less(x, y) {
			return -1
		}
		return 1
	})
	for _, i := range byExpiry {
		p := a.reservations.entries[i]
		f := &a.flows[p.flow]
		if !f.used || len(promises) >= maxSnapshotEntries {
			continue
		}
		promises = append(promises, ReservationSnapshot{Tenant: f.tenant(), Identity: p.identity, DueInMillis: p.dueAt - a.now, CostMillis: p.cost})
	}
	return promises
}

// validate tells whether what was carried is of use.
func (c Snapshot) validate() error {
	for _, value := range []float64{c.Limit, c.MeanCostMillis, c.ReturnRate} {
		if !(value >= 0) || math.IsInf(value, 0) {
			return fmt.Errorf("admission: carried figure %v", value)
		}
	}
	if !(c.Limit > 0) || !(c.MeanCostMillis > 0) || len(c.Tenants) > maxSnapshotEntries || len(c.Reservations) > maxSnapshotEntries {
		return fmt.Errorf("admission: carried limit %v, mean %v, %d tenants, %d promises", c.Limit, c.MeanCostMillis, len(c.Tenants), len(c.Reservations))
	}
	return nil
}

// Restore begins where the process before has got to. It is called before the first request; the error tells that what
// was carried is of no use, and nothing has changed then.
func (a *Admission) Restore(now float64, c Snapshot) error {
	if err := c.validate(); err != nil {
		return err
	}
	a.advance(now)
	a.limiter.set(c.Limit)
	a.limiter.recentHigh = a.limiter.limit
	a.limiter.baseStretch = max(0, c.BaseStretch)
	a.costs.mean = c.MeanCostMillis
	a.costs.latency = max(0, c.LatencyMillis)
	a.costs.scale = max(0, c.CostScale)
	a.returnStats.rate = min(1, c.ReturnRate)
	for i, class := range a.cfg.Classes {
		a.costs.workByClass[i] = max(0, c.WorkMillisByClass[class.Name])
		a.costs.latencyByClass[i] = max(0, c.LatencyMillisByClass[class.Name])
	}
	a.restoreTenants(c.Tenants)
	a.restoreReservations(c.Reservations)
	return nil
}

// restoreTenants takes the tenants' debts and counts, as far as there is room to know them.
func (a *Admission) restoreTenants(tenants []TenantSnapshot) {
	exact := 0
	for _, tenant := range slices.Backward(tenants) { // the one used last becomes the newest here too
		if _, isNamed := a.named[tenant.Name]; !isNamed {
			exact++
			if exact > a.cfg.Flows {
				continue
			}
		}
		i, _ := a.find(tenant.Name)
		f := &a.flows[i]
		if f.used && tenant.Debt >= 0 && !math.IsInf(tenant.Debt, 0) {
			f.finishTag = a.queueOf(f).virtualTime + tenant.Debt
			f.stats = tenant.Stats
		}
	}
}

// restoreReservations takes the promises of tenants that are known here, as far as their figures are possible.
func (a *Admission) restoreReservations(promises []ReservationSnapshot) {
	earliest := -a.cfg.MaxRetryAfterMillis - reservationGraceMillis
	latest := 2 * a.cfg.MaxRetryAfterMillis
	for _, p := range promises {
		i, isKnown := a.named[p.Tenant]
		if !isKnown {
			i, isKnown = a.exact[xxhash.Sum64String(p.Tenant)]
		}
		if isKnown && p.DueInMillis >= earliest && p.DueInMillis <= latest && p.CostMillis > 0 && p.CostMillis < math.MaxFloat32 {
			a.reserve(p.Identity, i, max(0, p.DueInMillis), p.CostMillis)
		}
	}
}

// ScaleLimit splits the limit when the processes that are this router become more or fewer.
func (a *Admission) ScaleLimit(now, of float64) {
	a.advance(now)
	a.limiter.rescale(of)
	a.admitWaiting()
}
