package admission

import (
	"net/netip"
	"slices"
	"strings"
)

// TenantSource is the property of a request that a rule derives the tenant from.
type TenantSource int

// The sources of a request's tenant.
const (
	// TenantFromClient uses the tenant that the client declares.
	TenantFromClient TenantSource = iota
	// TenantFromKey uses the prefix of the key.
	TenantFromKey
	// TenantFromNetwork uses the client's address.
	TenantFromNetwork
)

// TenantRule assigns a tenant to the requests that it matches.
type TenantRule struct {
	Source TenantSource
	// Prefix is the key's prefix, or the declared tenant that Tenant replaces.
	Prefix string
	// Network is the network that contains the client's address.
	Network netip.Prefix
	// Tenant is the assigned tenant. If it is "", the declared tenant is used or, for
	// TenantFromNetwork, the client's address.
	Tenant string
}

// TenantRules assign a tenant to each request by the first rule that matches. A request that no
// rule matches belongs to the shared default tenant, "".
type TenantRules []TenantRule

// UsesNetwork reports whether any rule uses the client's address.
func (rules TenantRules) UsesNetwork() bool {
	return slices.ContainsFunc(rules, func(rule TenantRule) bool { return rule.Source == TenantFromNetwork })
}

// Tenant returns the tenant of a request, given the tenant that its client declares ("" = none),
// its key, and the client's address.
func (rules TenantRules) Tenant(declared, key string, client netip.Addr) string {
	for _, rule := range rules {
		if tenant, applies := rule.tenant(declared, key, client); applies {
			return tenant
		}
	}
	return ""
}

// tenant returns the tenant that the rule assigns, and whether the rule matches the request.
func (rule TenantRule) tenant(declared, key string, client netip.Addr) (tenant string, applies bool) {
	switch rule.Source {
	case TenantFromClient:
		if declared == "" {
			return "", false
		}
		if rule.Tenant == "" {
			return declared, true
		}
		return rule.Tenant, declared == rule.Prefix
	case TenantFromKey:
		return rule.Tenant, strings.HasPrefix(key, rule.Prefix)
	case TenantFromNetwork:
		if !rule.Network.Contains(client) {
			return "", false
		}
		if rule.Tenant == "" {
			return client.String(), true
		}
		return rule.Tenant, true
	}
	return "", false
}
