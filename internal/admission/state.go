package admission

import (
	"cmp"
	"slices"
)

// TenantStats holds the request counts of a tenant since it has been tracked, and its current
// state.
type TenantStats struct {
	// Tenant is the tenant's name; "" stands for all tenants that are not tracked individually.
	Tenant string `json:"tenant"`
	// Requests counts the requests that have arrived.
	Requests uint64 `json:"asked"`
	Admitted uint64 `json:"admitted"`
	// Rejected counts the requests that admission rejected with a retry-after.
	Rejected uint64 `json:"refused"`
	// RejectedRetries counts those of Rejected that were retries in excess of the retry budget.
	RejectedRetries uint64 `json:"retries"`
	// RejectedEarly counts those of Rejected whose clients returned before their retry-after was
	// over.
	RejectedEarly uint64 `json:"early"`
	// Disconnected counts the clients that disconnected while their request was queued.
	Disconnected uint64 `json:"left"`
	Served       uint64 `json:"served"`
	// RejectedDownstream counts the requests that were admitted and then rejected by the Balancer.
	RejectedDownstream uint64 `json:"turned"`
	// RejectedAfterAttempt counts those of RejectedDownstream that had an attempt: a miss for which
	// the origin had no capacity.
	RejectedAfterAttempt uint64 `json:"turned_after"`
	// WorkMillis is the work that was admitted, corrected by the measured work of ended requests.
	WorkMillis float64 `json:"work_ms"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// ReservedMillis is the cost of rejected requests that are expected to be retried.
	ReservedMillis float64 `json:"promised_ms"`
	Weight         float64 `json:"weight"`
	// RetryAfterMillis is the mean retry-after of the recently rejected requests.
	RetryAfterMillis float64 `json:"told_ms"`
	// Share is the part of all work that the tenant would receive if it became active now.
	Share float64 `json:"share"`
}

// add adds the counts of another tenant, for an entry that represents several tenants.
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

// State is the current state of admission.
type State struct {
	// Limit is the concurrency limit, in requests of mean cost.
	Limit float64 `json:"limit"`
	// InUse is the part of the limit that is in use.
	InUse float64 `json:"in_use"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// MeanCostMillis is the mean cost of a request.
	MeanCostMillis float64 `json:"mean_ms"`
	// LatencyMillis is the recent time from a request's admission to its answer.
	LatencyMillis float64 `json:"takes_ms"`
	// BaseStretch is the mean latency that remains at a low limit, divided by the class's latency
	// objective; 0 = the limit has not been low yet.
	BaseStretch float64 `json:"calm"`
	// RejectShare is the recent share of admitted requests that the Balancer rejects.
	RejectShare float64 `json:"refused"`
	// ToleratedPressure is the part of the pressure that a lower limit does not reduce.
	ToleratedPressure float64 `json:"vain"`
	// Returned counts the clients that returned when their retry-after was over.
	Returned uint64 `json:"returned"`
	// ReturnedAdmitted counts those of Returned that were admitted.
	ReturnedAdmitted uint64 `json:"kept"`
	// ReturnedWithinShare counts those of Returned whose tenant's share was free at the time.
	ReturnedWithinShare uint64 `json:"returned_free"`
	// AdmittedWithinShare counts those of ReturnedWithinShare that were admitted.
	AdmittedWithinShare uint64 `json:"kept_free"`
	// RetryAfterErrorP50 is the median relative error of retry-after times: the difference between
	// the actual time until admission and the retry-after, as a share of the retry-after.
	RetryAfterErrorP50 float64 `json:"off_p50"`
	// RetryAfterErrorP90 is the 90th percentile of these errors.
	RetryAfterErrorP90 float64 `json:"off_p90"`
	// TableBytes is the size of all tables in bytes. It does not depend on the load.
	TableBytes int `json:"table_bytes"`
	// ReturnRate is the share of clients rejected with a retry-after that return when it is over.
	ReturnRate float64       `json:"heed"`
	Tenants    []TenantStats `json:"tenants"`
}

// State returns the current state of admission, with individual statistics of at most maxTenants
// tenants.
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

// Tenants returns the statistics of the tenants that are tracked individually and have sent
// requests, at most limit of them: the named ones first, the others in descending order of
// requests. If other tenants have sent requests, the last entry, with the name "", is the sum over
// them.
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

// statsByTenant returns the statistics of the individually tracked tenants that have sent requests,
// in the order of their flows, and the sum over all other tenants.
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
		if f.isAssigned && stats.Tenant != "" {
			tracked = append(tracked, stats)
		} else {
			others.add(stats)
		}
	}
	return tracked, others
}
