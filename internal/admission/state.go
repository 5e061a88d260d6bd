package admission

import (
	"cmp"
	"slices"
)

// TenantStats counts what became of a tenant's requests since it has been tracked, and tells how the
// tenant stands.
type TenantStats struct {
	// Tenant is its name; "" stands for all that are not tracked by name.
	Tenant string `json:"tenant"`
	// Requests counts those that have arrived.
	Requests uint64 `json:"asked"`
	Admitted uint64 `json:"admitted"`
	// Rejected counts those rejected by admission, with a retry-after.
	Rejected uint64 `json:"refused"`
	// RejectedRetries counts those of them that were retries beyond the retry budget.
	RejectedRetries uint64 `json:"retries"`
	// RejectedEarly counts those of them whose clients returned before their retry-after was over.
	RejectedEarly uint64 `json:"early"`
	// Disconnected counts clients that disconnected while their request was queued.
	Disconnected uint64 `json:"left"`
	Served       uint64 `json:"served"`
	// RejectedDownstream counts requests that were admitted and then rejected by the Balancer.
	RejectedDownstream uint64 `json:"turned"`
	// RejectedAfterAttempt counts those of them that had an attempt: a miss that the origin had no
	// capacity for.
	RejectedAfterAttempt uint64 `json:"turned_after"`
	// WorkMillis is the modelled work that was admitted.
	WorkMillis float64 `json:"work_ms"`
	// Waiting is how many requests are queued.
	Waiting int `json:"waiting"`
	// ReservedMillis is the work that was rejected with a retry-after and is expected back.
	ReservedMillis float64 `json:"promised_ms"`
	Weight         float64 `json:"weight"`
	// RetryAfterMillis is the mean retry-after of the requests rejected lately.
	RetryAfterMillis float64 `json:"told_ms"`
	// Share is the tenant's share of all work, were it to want more now.
	Share float64 `json:"share"`
}

// add adds another tenant's counts, for a line that stands for several.
func (s *TenantStats) add(other TenantStats) {
	s.Requests += other.Requests
	s.Admitted += other.Admitted
	s.Rejected += other.Rejected
	s.RejectedRetries += other.RejectedRetries
	s.RejectedEarly += other.RejectedEarly
	s.Disconnected += other.Disconnected
	s.Served += other.Served
	s.RejectedDownstream += other.RejectedDownstream
	s.RejectedAfterAttempt += other.RejectedAfterAttempt
	s.WorkMillis += other.WorkMillis
	s.Waiting += other.Waiting
	s.ReservedMillis += other.ReservedMillis
}

// State is how admission stands.
type State struct {
	// Limit is the limit on concurrency, in requests of mean cost.
	Limit float64 `json:"limit"`
	// InUse is how much of the limit is in use.
	InUse float64 `json:"in_use"`
	// Waiting is how many requests are queued.
	Waiting int `json:"waiting"`
	// MeanCostMillis is the mean cost of a request.
	MeanCostMillis float64 `json:"mean_ms"`
	// LatencyMillis is the recent time from a request's admission to its answer.
	LatencyMillis float64 `json:"takes_ms"`
	// BaseStretch is the latency at a low limit, as a share of the class's latency objective; 0 where
	// a low limit keeps to the objective.
	BaseStretch float64 `json:"calm"`
	// RejectShare is the recent share of admitted requests that the Balancer rejects.
	RejectShare float64 `json:"refused"`
	// ToleratedPressure is how much of that a lower limit does not help against.
	ToleratedPressure float64 `json:"vain"`
	// Returned counts clients that returned when their retry-after was over.
	Returned uint64 `json:"returned"`
	// ReturnedAdmitted counts those of them that were admitted.
	ReturnedAdmitted uint64 `json:"kept"`
	// ReturnedWithinShare counts those of Returned whose tenant's share was free.
	ReturnedWithinShare uint64 `json:"returned_free"`
	// AdmittedWithinShare counts those of ReturnedWithinShare that were admitted.
	AdmittedWithinShare uint64 `json:"kept_free"`
	// RetryAfterErrorP50 is how far the real time was from the retry-after, as a share of it: the
	// median.
	RetryAfterErrorP50 float64 `json:"off_p50"`
	// RetryAfterErrorP90 is its 90th percentile.
	RetryAfterErrorP90 float64 `json:"off_p90"`
	// TableBytes is what all tables take, whatever comes.
	TableBytes int `json:"table_bytes"`
	// ReturnRate is the share of clients rejected with a retry-after that return when it is over.
	ReturnRate float64       `json:"heed"`
	Tenants    []TenantStats `json:"tenants"`
}

// State tells how admission stands, with at most maxTenants tenants by name.
func (a *Admission) State(maxTenants int) State {
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
		Tenants:             a.Tenants(maxTenants),
	}
}

// Tenants lists the tenants that are tracked by name and have sent requests: the named ones first and
// then by the number of requests, at most limit of them. The sums of all others stand under "".
func (a *Admission) Tenants(limit int) []TenantStats {
	tracked, others := a.statsByTenant()
	firstUnnamed := slices.IndexFunc(tracked, func(stats TenantStats) bool {
		_, isNamed := a.named[stats.Tenant]
		return !isNamed
	})
	if firstUnnamed >= 0 {
		slices.SortStableFunc(tracked[firstUnnamed:], func(x, y TenantStats) int {
			return cmp.Compare(y.Requests, x.Requests)
		})
	}
	if len(tracked) > limit {
		for _, stats := range tracked[limit:] {
			others.add(stats)
		}
		tracked = tracked[:limit]
	}
	if others.Requests > 0 {
		tracked = append(tracked, others)
	}
	return tracked
}

// statsByTenant lists the tenants that are tracked by name and have sent requests, in the order of
// their flows, and the sums of all others.
func (a *Admission) statsByTenant() (tracked []TenantStats, others TenantStats) {
	others.Weight = a.cfg.OthersWeight
	for i := range a.unnamedFlow() {
		f := &a.flows[i]
		if f.stats.Requests == 0 {
			continue
		}
		stats := f.stats
		stats.Tenant = f.tenant()
		stats.Waiting = f.waiting
		stats.ReservedMillis = f.reservedWork
		stats.Weight = f.weight
		stats.Share = a.share(i)
		if f.used && stats.Tenant != "" {
			tracked = append(tracked, stats)
		} else {
			others.add(stats)
		}
	}
	return tracked, others
}
