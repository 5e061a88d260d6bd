package decide

import "math"

// quotaDeviations is how many standard deviations of its count a tenant may exceed its quota by. A
// router that sees few requests sees a few too many by chance.
const quotaDeviations = 2

// tenantQuotas holds the quotas and the usage of tenants.
type tenantQuotas struct {
	// perSecond is the quota over all routers, by tenant.
	perSecond map[string]float64
	// usage counts requests to this router over trafficTimeConstantMillis, by tenant.
	usage map[string]*decayingSum
}

// setTenants sets new quotas and keeps the usage so far.
func (q *tenantQuotas) setTenants(tenants []Tenant) {
	q.perSecond = map[string]float64{}
	for _, t := range tenants {
		q.perSecond[t.Name] = t.QuotaPerSecond
		if q.usage[t.Name] == nil {
			q.usage[t.Name] = &decayingSum{}
		}
	}
}

// recordTenantArrival counts a request of a tenant and reports whether the tenant now exceeds this
// router's share of its quota.
func (b *Balancer) recordTenantArrival(tenant string) bool {
	allowed := b.quotas.perSecond[tenant] * b.placement.trafficShare * trafficTimeConstantMillis / millisPerSecond
	usage := b.quotas.usage[tenant]
	if usage == nil {
		return false
	}
	used := usage.add(b.now, trafficTimeConstantMillis, 1)
	return used > allowed+quotaDeviations*math.Sqrt(allowed)
}
