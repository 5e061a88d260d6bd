package decide

import (
	"math/rand/v2"
	"testing"
)

// Guards against requests that lose their priority by chance: a router gets one request per second
// of a tenant, its share of the quota, and a few too many must keep their priority. Four times as
// many must lose it.
func TestRandomVariationDoesNotExceedTenantQuota(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 100
	cfg.OverQuotaWeight = 0.05
	cfg.Tenants = []Tenant{{Name: "x", QuotaPerSecond: 100}} // one per second at this router
	for perSecond, want := range map[int]bool{1: false, 4: true} {
		b, h := newTestBalancer(t, cfg, readyEndpoints(6))
		over := 0
		rng := rand.New(rand.NewPCG(3, 4))
		for i := range uint32(40 * uint32(perSecond)) {
			now := b.now + rng.ExpFloat64()*1000/float64(perSecond)
			b.Request(now, Request{ID: i + 1, Class: "read", Tenant: "x", Key: uint64(i), HasKey: true,
				RemainingMillis: 600})
			if r := b.requests[i+1]; r != nil && r.priority < 1 {
				over++
			}
			b.AttemptEnded(now, servedOutcome(i+1, h.lastSend().server, 1))
		}
		if share := float64(over) / float64(40*perSecond); want != (share > 0.5) || !want && share > 0.15 {
			t.Errorf("%d requests per second at a quota of 1: share %v counted as over the quota", perSecond, share)
		}
	}
}
