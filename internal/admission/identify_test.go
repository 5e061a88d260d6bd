package admission

import (
	"net/netip"
	"testing"
)

func TestFirstMatchWins(t *testing.T) {
	var ms TenantRules
	for _, m := range [][4]string{{"key", "health:", "", "health"}, {"network", "", "10.1.0.0/16", "finance"}, {"fact"}, {"network", "", "0.0.0.0/0", ""}} {
		one, err := NewTenantRule(m[0], m[1], m[2], m[3])
		if err != nil {
			t.Fatal(err)
		}
		ms = append(ms, one)
	}
	for _, c := range []struct{ fact, key, addr, want string }{
		{"tax", "health:1", "10.1.2.3", "health"}, {"tax", "k", "10.1.2.3", "finance"}, {"tax", "k", "10.2.2.3", "tax"},
		{"", "k", "10.2.2.3", "10.2.2.3"}, {"", "k", "::1", ""},
	} {
		if got := ms.Tenant(c.fact, c.key, netip.MustParseAddr(c.addr)); got != c.want {
			t.Errorf("%+v: %q", c, got)
		}
	}
	for _, m := range [][4]string{{"name"}, {"key", "x", "", ""}, {"key", "", "", "x"}, {"network", "", "10.0.0.0/40", "x"}} {
		if _, err := NewTenantRule(m[0], m[1], m[2], m[3]); err == nil {
			t.Errorf("%v passes", m)
		}
	}
}
