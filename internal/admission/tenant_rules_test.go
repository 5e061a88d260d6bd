package admission

import (
	"net/netip"
	"testing"
)

// Several rules match a request: one by its key, one by the client's network and one by the
// declared tenant. The first rule in the operator's order must decide. If the most specific or the
// last one did, the wrong tenant would be charged.
func TestFirstMatchingTenantRuleDecides(t *testing.T) {
	rules := TenantRules{
		{Source: TenantFromKey, Prefix: "health:", Tenant: "health"},
		{Source: TenantFromNetwork, Network: netip.MustParsePrefix("10.1.0.0/16"), Tenant: "finance"},
		{Source: TenantFromClient},
		{Source: TenantFromNetwork, Network: netip.MustParsePrefix("0.0.0.0/0")},
	}
	for _, c := range []struct{ name, declared, key, client, want string }{
		{"key rule before network rule", "tax", "health:1", "10.1.2.3", "health"},
		{"network rule before client rule", "tax", "k", "10.1.2.3", "finance"},
		{"client rule before rule for any network", "tax", "k", "10.2.2.3", "tax"},
		{"client address without a declared tenant", "", "k", "10.2.2.3", "10.2.2.3"},
		{"no rule matches", "", "k", "::1", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := rules.Tenant(c.declared, c.key, netip.MustParseAddr(c.client)); got != c.want {
				t.Errorf("tenant %q, want %q", got, c.want)
			}
		})
	}
}
