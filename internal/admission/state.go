package admission

import (
	"cmp"
	"slices"
)

// Count is what became of a tenant's requests since it was known last, and how it stands.
type Count struct {
	Tenant   string  `json:"tenant"`   // "" = all that are not known by name
	Asked    uint64  `json:"asked"`    // requests at the door
	Admitted uint64  `json:"admitted"` // let in
	Refused  uint64  `json:"refused"`  // at the door, with a retry-after
	Retries  uint64  `json:"retries"`  // of these, retries beyond the retry budget
	Early    uint64  `json:"early"`    // of these, clients that came before the time they were told
	Left     uint64  `json:"left"`     // clients that disconnected while they waited
	Served   uint64  `json:"served"`
	Turned   uint64  `json:"turned"`       // admitted, and rejected by the Balancer
	After    uint64  `json:"turned_after"` // of these, after an attempt: a miss that the origin had no capacity for
	Work     float64 `json:"work_ms"`      // that was admitted, modelled, ms
	Waiting  int     `json:"waiting"`
	Promised float64 `json:"promised_ms"` // work that was told to come back, ms
	Weight   float64 `json:"weight"`
	Told     float64 `json:"told_ms"` // retry-after of those rejected lately, ms
	Share    float64 `json:"share"`   // of all work, were it to want more now
}

// add takes another tenant's counts in, for a line that stands for several.
func (c *Count) add(other Count) {
	c.Asked += other.Asked
	c.Admitted += other.Admitted
	c.Refused += other.Refused
	c.Retries += other.Retries
	c.Early += other.Early
	c.Left += other.Left
	c.Served += other.Served
	c.Turned += other.Turned
	c.After += other.After
	c.Work += other.Work
	c.Waiting += other.Waiting
	c.Promised += other.Promised
}

// State is how admission stands.
type State struct {
	Limit   float64 `json:"limit"`    // on concurrency, in requests of mean cost
	InUse   float64 `json:"in_use"`   // of it
	Waiting int     `json:"waiting"`  // requests
	MeanMS  float64 `json:"mean_ms"`  // cost of a request
	TakesMS float64 `json:"takes_ms"` // until a request that is admitted is answered, lately
	Calm    float64 `json:"calm"`     // the same with little in work, as a share of the class's aim; 0 = all is well then
	Refused float64 `json:"refused"`  // share of what is admitted that the Balancer rejects, lately
	Vain    float64 `json:"vain"`     // of that, what a lower limit doesn't help against
	// Clients that came back when they were told, of these those admitted, and how far the real time was from the told, as a
	// share of it.
	Returned     uint64  `json:"returned"`
	Kept         uint64  `json:"kept"`
	ReturnedFree uint64  `json:"returned_free"` // of those that came back, those whose tenant's share was free,
	KeptFree     uint64  `json:"kept_free"`     // and of these those admitted
	Off50        float64 `json:"off_p50"`
	Off90        float64 `json:"off_p90"`
	Tables       int     `json:"table_bytes"` // that all tables take, whatever comes
	Heed         float64 `json:"heed"`        // share of those told to come back that do, when they were told
	Tenants      []Count `json:"tenants"`
}

// State tells how admission stands, with at most so many tenants by name.
func (a *Admission) State(tenants int) State {
	return State{
		Limit:        a.limiter.limit,
		InUse:        a.limiter.inUse,
		Waiting:      a.waiting,
		MeanMS:       a.costs.mean,
		TakesMS:      a.costs.latency,
		Calm:         a.limiter.baseStretch,
		Refused:      a.limiter.overloadRejectShare + a.limiter.originRejectShare,
		Vain:         a.limiter.toleratedPressure,
		Returned:     a.returns.returned,
		Kept:         a.returns.kept,
		ReturnedFree: a.returns.returnedFree,
		KeptFree:     a.returns.keptFree,
		Off50:        a.returns.errorQuantile(0.5),
		Off90:        a.returns.errorQuantile(0.9),
		Tables:       a.Bytes(),
		Heed:         a.returns.rate,
		Tenants:      a.Tenants(tenants),
	}
}

// Tenants lists those that are known by name and have asked, the named ones first and then by what they have asked, at
// most so many; what the rest has asked and got stands under "".
func (a *Admission) Tenants(limit int) []Count {
	known, rest := a.countsByTenant()
	firstUnnamed := slices.IndexFunc(known, func(c Count) bool {
		_, isNamed := a.named[c.Tenant]
		return !isNamed
	})
	if firstUnnamed >= 0 {
		slices.SortStableFunc(known[firstUnnamed:], func(x, y Count) int { return cmp.Compare(y.Asked, x.Asked) })
	}
	if len(known) > limit {
		for _, count := range known[limit:] {
			rest.add(count)
		}
		known = known[:limit]
	}
	if rest.Asked > 0 {
		known = append(known, rest)
	}
	return known
}

// countsByTenant lists the tenants that are known by name and have asked, in the order of their flows, and what all
// others have asked and got together.
func (a *Admission) countsByTenant() (known []Count, rest Count) {
	rest.Weight = a.cfg.OthersWeight
	for i := range a.unnamedFlow() {
		f := &a.flows[i]
		if f.count.Asked == 0 {
			continue
		}
		count := f.count
		count.Tenant = f.tenant()
		count.Waiting = f.waiting
		count.Promised = f.promisedWork
		count.Weight = f.weight
		count.Share = a.share(i)
		if f.used && count.Tenant != "" {
			known = append(known, count)
		} else {
			rest.add(count)
		}
	}
	return known, rest
}
