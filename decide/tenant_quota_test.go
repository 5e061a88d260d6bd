package decide

import (
	"math/rand/v2"
	"testing"
)

// A router sees one request a second of a tenant, as much as its share of the quota. A few too many
// are chance and must keep their priority; four times as many must not.
func TestChanceDoesNotPutATenantOverItsQuota(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 100
	cfg.OverQuotaWeight = 0.05
	cfg.Tenants = []Tenant{{Name: "x", QuotaPerSecond: 100}} // one a second here
	for perSecond, want := range map[int]bool{1: false, 4: true} {
		b, h := start(t, cfg, fleet(6))
		over := 0
		rng := rand.New(rand.NewPCG(3, 4))
		for i := range uint32(40 * uint32(perSecond)) {
			now := b.now + rng.ExpFloat64()*1000/float64(perSecond)
			b.Request(now, Request{ID: i + 1, Class: "read", Tenant: "x", Key: uint64(i), HasKey: true,
				RemainingMillis: 600})
			if r := b.requests[i+1]; r != nil && r.priority < 1 {
				over++
			}
			b.AttemptEnded(now, served(i+1, h.last().server, 1))
		}
		if share := float64(over) / float64(40*perSecond); want != (share > 0.5) || !want && share > 0.15 {
			t.Errorf("%d a second for a quota of 1: %v of the requests count as over it", perSecond, share)
		}
	}
}
