package admission

import (
	"net/netip"
	"testing"
)

// A request may fit several rules: its key begins with a tenant's prefix, its client comes from
// another tenant's network and declares a third. The first rule in the operator's order decides; a
// program that took the most specific one, or the last, would charge another tenant.
func TestFirstMatchWins(t *testing.T) {
	rules := TenantRules{
		{Source: TenantFromKey, Prefix: "health:", Tenant: "health"},
		{Source: TenantFromNetwork, Network: netip.MustParsePrefix("10.1.0.0/16"), Tenant: "finance"},
		{Source: TenantFromClient},
		{Source: TenantFromNetwork, Network: netip.MustParsePrefix("0.0.0.0/0")},
	}
	for _, c := range []struct{ name, declared, key, client, want string }{
		{"key before network", "tax", "health:1", "10.1.2.3", "health"},
		{"network before declared", "tax", "k", "10.1.2.3", "finance"},
		{"declared before any network", "tax", "k", "10.2.2.3", "tax"},
		{"the address where nothing is declared", "", "k", "10.2.2.3", "10.2.2.3"},
		{"no rule applies", "", "k", "::1", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := rules.Tenant(c.declared, c.key, netip.MustParseAddr(c.client)); got != c.want {
				t.Errorf("tenant %q, want %q", got, c.want)
			}
		})
	}
}
