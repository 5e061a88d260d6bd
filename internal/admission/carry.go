package admission

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the tenants, and the promises, that a process hands to the one after it.
const maxCarried = 2048

// Carried is what a process tells the one that takes its place: how the fleet bears the load, what tenants are owed or
// owe, and what clients were told. Times are relative, so that clocks need not agree. What waits or is in work stays
// with the process that has taken it.
type Carried struct {
	Limit    float64            `json:"limit"`
	Calm     float64            `json:"calm"`
	MeanMS   float64            `json:"mean_ms"`
	TakesMS  float64            `json:"takes_ms"`
	Scale    float64            `json:"scale"`
	Heed     float64            `json:"heed"`
	Work     map[string]float64 `json:"work_ms"`  // by class
	Usual    map[string]float64 `json:"usual_ms"` // by class
	Tenants  []CarriedTenant    `json:"tenants"`
	Promises []CarriedPromise   `json:"promises"`
}

// CarriedTenant is what a tenant has used.
type CarriedTenant struct {
	Name  string  `json:"name"`
	Ahead float64 `json:"ahead"` // its tag before the virtual time: what it was given beyond its share
	Count Count   `json:"count"`
}

// CarriedPromise is a retry-after that a client was told.
type CarriedPromise struct {
	Tenant string  `json:"tenant"`
	Who    uint64  `json:"who"`
	InMS   float64 `json:"in_ms"`
	Cost   float64 `json:"cost"`
}

// HandOver tells a successor what it is to know, in bounded size: the tenants used last, and the promises due first.
// Promises of tenants that are not known exactly are left behind.
func (a *Admission) HandOver(now float64) Carried {
	a.advance(now)
	carried := Carried{
		Limit:    a.limiter.limit,
		Calm:     a.limiter.baseStretch,
		MeanMS:   a.costs.mean,
		TakesMS:  a.costs.latency,
		Scale:    a.costs.scale,
		Heed:     a.returns.rate,
		Work:     map[string]float64{},
		Usual:    map[string]float64{},
		Tenants:  a.carriedTenants(),
		Promises: a.carriedPromises(),
	}
	for i, class := range a.cfg.Classes {
		carried.Work[class.Name] = a.costs.workByClass[i]
		carried.Usual[class.Name] = a.costs.latencyByClass[i]
	}
	return carried
}

// carriedTenants lists the named tenants and those used last.
func (a *Admission) carriedTenants() (tenants []CarriedTenant) {
	add := func(i int32) {
		f := &a.flows[i]
		if !f.used || len(tenants) >= maxCarried {
			return
		}
		ahead := max(0, f.finishTag-a.queueOf(f).virtualTime)
		tenants = append(tenants, CarriedTenant{Name: f.tenant(), Ahead: ahead, Count: f.count})
	}
	for i := range int32(maxNamedTenants) {
		add(i)
	}
	for i := a.newest; i != noIndex; i = a.flows[i].older {
		add(i)
	}
	return tenants
}

// carriedPromises lists the promises of tenants that are known exactly, those due first before the others.
func (a *Admission) carriedPromises() (promises []CarriedPromise) {
	byExpiry := slices.Clone(a.promises.expiry.items)
	slices.SortFunc(byExpiry, func(x, y int32) int {
		if a.promises.expiry.less(x, y) {
			return -1
		}
		return 1
	})
	for _, i := range byExpiry {
		p := a.promises.entries[i]
		f := &a.flows[p.flow]
		if !f.used || len(promises) >= maxCarried {
			continue
		}
		promises = append(promises, CarriedPromise{Tenant: f.tenant(), Who: p.identity, InMS: p.dueAt - a.now, Cost: p.cost})
	}
	return promises
}

// validate tells whether what was carried is of use.
func (c Carried) validate() error {
	for _, value := range []float64{c.Limit, c.MeanMS, c.Heed} {
		if !(value >= 0) || math.IsInf(value, 0) {
			return fmt.Errorf("admission: carried figure %v", value)
		}
	}
	if !(c.Limit > 0) || !(c.MeanMS > 0) || len(c.Tenants) > maxCarried || len(c.Promises) > maxCarried {
		return fmt.Errorf("admission: carried limit %v, mean %v, %d tenants, %d promises", c.Limit, c.MeanMS, len(c.Tenants), len(c.Promises))
	}
	return nil
}

// TakeOver begins where the process before has got to. It is called before the first request; the error tells that what
// was carried is of no use, and nothing has changed then.
func (a *Admission) TakeOver(now float64, c Carried) error {
	if err := c.validate(); err != nil {
		return err
	}
	a.advance(now)
	a.limiter.set(c.Limit)
	a.limiter.recentHigh = a.limiter.limit
	a.limiter.baseStretch = max(0, c.Calm)
	a.costs.mean = c.MeanMS
	a.costs.latency = max(0, c.TakesMS)
	a.costs.scale = max(0, c.Scale)
	a.returns.rate = min(1, c.Heed)
	for i, class := range a.cfg.Classes {
		a.costs.workByClass[i] = max(0, c.Work[class.Name])
		a.costs.latencyByClass[i] = max(0, c.Usual[class.Name])
	}
	a.takeOverTenants(c.Tenants)
	a.takeOverPromises(c.Promises)
	return nil
}

// takeOverTenants takes the tenants' debts and counts, as far as there is room to know them.
func (a *Admission) takeOverTenants(tenants []CarriedTenant) {
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
		if f.used && tenant.Ahead >= 0 && !math.IsInf(tenant.Ahead, 0) {
			f.finishTag = a.queueOf(f).virtualTime + tenant.Ahead
			f.count = tenant.Count
		}
	}
}

// takeOverPromises takes the promises of tenants that are known here, as far as their figures are possible.
func (a *Admission) takeOverPromises(promises []CarriedPromise) {
	earliest := -a.cfg.MaxAfterMS - promiseGraceMillis
	latest := 2 * a.cfg.MaxAfterMS
	for _, p := range promises {
		i, isKnown := a.named[p.Tenant]
		if !isKnown {
			i, isKnown = a.exact[xxhash.Sum64String(p.Tenant)]
		}
		if isKnown && p.InMS >= earliest && p.InMS <= latest && p.Cost > 0 && p.Cost < math.MaxFloat32 {
			a.promise(p.Who, i, max(0, p.InMS), p.Cost)
		}
	}
}

// Share splits the limit when the processes that are this router become more or fewer.
func (a *Admission) Share(now, of float64) {
	a.advance(now)
	a.limiter.rescale(of)
	a.admitWaiting()
}
