package decide

import "math"

// quotaDeviations is how many standard deviations of a count a tenant may be over its quota: a few
// arrivals too many are chance where a router sees little.
const quotaDeviations = 2

// tenantQuotas is what tenants may use and what they use.
type tenantQuotas struct {
	// perSecond is the quota over all routers, by tenant.
	perSecond map[string]float64
	// usage counts requests at this router over trafficTimeConstantMillis, by tenant.
	usage map[string]*decayingSum
}

// useTenants takes new quotas; what was counted stays.
func (q *tenantQuotas) useTenants(tenants []Tenant) {
	q.perSecond = map[string]float64{}
	for _, t := range tenants {
		q.perSecond[t.Name] = t.QuotaPerSecond
		if q.usage[t.Name] == nil {
			q.usage[t.Name] = &decayingSum{}
		}
	}
}

// recordTenantArrival counts a request of a tenant, and says whether the tenant now uses more than
// this router's share of its quota.
func (b *Balancer) recordTenantArrival(tenant string) bool {
	allowed := b.quotas.perSecond[tenant] * b.placement.trafficShare * trafficTimeConstantMillis / millisPerSecond
	usage := b.quotas.usage[tenant]
	if usage == nil {
		return false
	}
	used := usage.add(b.now, trafficTimeConstantMillis, 1)
	return used > allowed+quotaDeviations*math.Sqrt(allowed)
}
