package admission

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// TenantRule says whom a request is of, where it applies.
type TenantRule struct {
	By      string // fact (what the client says in t), key (by its prefix) or network (the client's address)
	Prefix  string // key: that the key begins with
	Network netip.Prefix
	Tenant  string // whom it is of; "" = fact: what the client says, network: its address
}

// TenantRules tells tenants by the first match; without one, a request is of the shared default, "".
type TenantRules []TenantRule

// NewTenantRule checks a match.
func NewTenantRule(by, prefix, network, tenant string) (m TenantRule, err error) {
	m = TenantRule{By: by, Prefix: prefix, Tenant: tenant}
	switch {
	case by == "fact":
	case by == "key" && prefix != "" && tenant != "":
	case by == "key":
		return m, fmt.Errorf("by key needs prefix and tenant")
	case by == "network":
		if m.Network, err = netip.ParsePrefix(network); err != nil {
			return m, fmt.Errorf("by network needs network: %w", err)
		}
	default:
		return m, fmt.Errorf("by: %q is none of fact, key, network", by)
	}
	return m, nil
}

// ByNetwork tells whether the client's address counts.
func (ms TenantRules) ByNetwork() bool {
	return slices.ContainsFunc(ms, func(m TenantRule) bool { return m.By == "network" })
}

// Tenant tells whom a request is of: fact is what its client says, addr where it comes from.
func (ms TenantRules) Tenant(fact, key string, addr netip.Addr) string {
	for _, m := range ms {
		switch {
		case m.By == "fact" && fact != "" && m.Tenant == "":
			return fact
		case m.By == "fact" && fact != "" && fact == m.Prefix, m.By == "key" && strings.HasPrefix(key, m.Prefix):
			return m.Tenant
		case m.By == "network" && m.Network.Contains(addr):
			if m.Tenant == "" {
				return addr.String()
			}
			return m.Tenant
		}
	}
	return ""
}
