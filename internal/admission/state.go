package admission

import (
	"cmp"
	"slices"
)

// TenantStats is what became of a tenant's requests since it was known last, and how it stands.
type TenantStats struct {
	Tenant               string  `json:"tenant"`   // "" = all that are not known by name
	Requests             uint64  `json:"asked"`    // requests at the door
	Admitted             uint64  `json:"admitted"` // let in
	Rejected             uint64  `json:"refused"`  // at the door, with a retry-after
	RejectedRetries      uint64  `json:"retries"`  // of these, retries beyond the retry budget
	RejectedEarly        uint64  `json:"early"`    // of these, clients that came before the time they were told
	Disconnected         uint64  `json:"left"`     // clients that disconnected while they waited
	Served               uint64  `json:"served"`
	RejectedDownstream   uint64  `json:"turned"`       // admitted, and rejected by the Balancer
	RejectedAfterAttempt uint64  `json:"turned_after"` // of these, after an attempt: a miss that the origin had no capacity for
	WorkMillis           float64 `json:"work_ms"`      // that was admitted, modelled, ms
	Waiting              int     `json:"waiting"`
	ReservedMillis       float64 `json:"promised_ms"` // work that was told to come back, ms
	Weight               float64 `json:"weight"`
	RetryAfterMillis     float64 `json:"told_ms"` // retry-after of those rejected lately, ms
	Share                float64 `json:"share"`   // of all work, were it to want more now
}

// add takes another tenant's counts in, for a line that stands for several.
func (c *TenantStats) add(other TenantStats) {
	c.Requests += other.Requests
	c.Admitted += other.Admitted
	c.Rejected += other.Rejected
	c.RejectedRetries += other.RejectedRetries
	c.RejectedEarly += other.RejectedEarly
	c.Disconnected += other.Disconnected
	c.Served += other.Served
	c.RejectedDownstream += other.RejectedDownstream
	c.RejectedAfterAttempt += other.RejectedAfterAttempt
	c.WorkMillis += other.WorkMillis
	c.Waiting += other.Waiting
	c.ReservedMillis += other.ReservedMillis
}

// State is how admission stands.
type State struct {
	Limit             float64 `json:"limit"`    // on concurrency, in requests of mean cost
	InUse             float64 `json:"in_use"`   // of it
	Waiting           int     `json:"waiting"`  // requests
	MeanCostMillis    float64 `json:"mean_ms"`  // cost of a request
	LatencyMillis     float64 `json:"takes_ms"` // until a request that is admitted is answered, lately
	BaseStretch       float64 `json:"calm"`     // the same with little in work, as a share of the class's aim; 0 = all is well then
	RejectShare       float64 `json:"refused"`  // share of what is admitted that the Balancer rejects, lately
	ToleratedPressure float64 `json:"vain"`     // of that, what a lower limit doesn't help against
	// Clients that came back when they were told, of these those admitted, and how far the real time was from the told, as a
	// share of it.
	Returned            uint64        `json:"returned"`
	ReturnedAdmitted    uint64        `json:"kept"`
	ReturnedWithinShare uint64        `json:"returned_free"` // of those that came back, those whose tenant's share was free,
	AdmittedWithinShare uint64        `json:"kept_free"`     // and of these those admitted
	RetryAfterErrorP50  float64       `json:"off_p50"`
	RetryAfterErrorP90  float64       `json:"off_p90"`
	TableBytes          int           `json:"table_bytes"` // that all tables take, whatever comes
	ReturnRate          float64       `json:"heed"`        // share of those told to come back that do, when they were told
	Tenants             []TenantStats `json:"tenants"`
}

// State tells how admission stands, with at most so many tenants by name.
func (a *Admission) State(tenants int) State {
	return State{
		Limit:               a.limiter.limit,
		InUse:               a.limiter.inUse,
		Waiting:             a.waiting,
		MeanCostMillis:      a.costs.mean,
		LatencyMillis:       a.costs.latency,
		BaseStretch:         a.limiter.baseStretch,
		RejectShare:         a.limiter.overloadRejectShare + a.limiter.originRejectShare,
		ToleratedPressure:   a.limiter.toleratedPressure,
		Returned:            a.returnStats.returned,
		ReturnedAdmitted:    a.returnStats.returnedAdmitted,
		ReturnedWithinShare: a.returnStats.returnedWithinShare,
		AdmittedWithinShare: a.returnStats.admittedWithinShare,
		RetryAfterErrorP50:  a.returnStats.errorQuantile(0.5),
		RetryAfterErrorP90:  a.returnStats.errorQuantile(0.9),
		TableBytes:          a.TableBytes(),
		ReturnRate:          a.returnStats.rate,
		Tenants:             a.Tenants(tenants),
	}
}

// Tenants lists those that are known by name and have asked, the named ones first and then by what they have asked, at
// most so many; what the rest has asked and got stands under "".
func (a *Admission) Tenants(limit int) []TenantStats {
	known, rest := a.statsByTenant()
	firstUnnamed := slices.IndexFunc(known, func(c TenantStats) bool {
		_, isNamed := a.named[c.Tenant]
		return !isNamed
	})
	if firstUnnamed >= 0 {
		slices.SortStableFunc(known[firstUnnamed:], func(x, y TenantStats) int { return cmp.Compare(y.Requests, x.Requests) })
	}
	if len(known) > limit {
		for _, count := range known[limit:] {
			rest.add(count)
		}
		known = known[:limit]
	}
	if rest.Requests > 0 {
		known = append(known, rest)
	}
	return known
}

// statsByTenant lists the tenants that are known by name and have asked, in the order of their flows, and what all
// others have asked and got together.
func (a *Admission) statsByTenant() (known []TenantStats, rest TenantStats) {
	rest.Weight = a.cfg.OthersWeight
	for i := range a.unnamedFlow() {
		f := &a.flows[i]
		if f.stats.Requests == 0 {
			continue
		}
		count := f.stats
		count.Tenant = f.tenant()
		count.Waiting = f.waiting
		count.ReservedMillis = f.reservedWork
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
