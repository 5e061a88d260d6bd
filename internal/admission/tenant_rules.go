package admission

import (
	"net/netip"
	"slices"
	"strings"
)

// TenantSource is what a rule tells a request's tenant by.
type TenantSource int

// The sources of a request's tenant.
const (
	// TenantFromClient takes the tenant that the client declares.
	TenantFromClient TenantSource = iota
	// TenantFromKey goes by a prefix of the key.
	TenantFromKey
	// TenantFromNetwork goes by the client's address.
	TenantFromNetwork
)

// TenantRule tells whose a request is, where it applies.
type TenantRule struct {
	Source TenantSource
	// Prefix is what the key begins with, or the declared tenant that Tenant stands for.
	Prefix string
	// Network is what the client's address lies in.
	Network netip.Prefix
	// Tenant is whose the request is. Where it is "", that is the declared tenant or, by network,
	// the client's address.
	Tenant string
}

// TenantRules tell a request's tenant by the first rule that applies. Without one, a request is of
// the shared default tenant, "".
type TenantRules []TenantRule

// ByNetwork reports whether the client's address counts.
func (rules TenantRules) ByNetwork() bool {
	return slices.ContainsFunc(rules, func(rule TenantRule) bool { return rule.Source == TenantFromNetwork })
}

// Tenant tells whose a request is, from the tenant that its client declares ("" = none), its key
// and the client's address.
func (rules TenantRules) Tenant(declared, key string, client netip.Addr) string {
	for _, rule := range rules {
		if tenant, applies := rule.tenant(declared, key, client); applies {
			return tenant
		}
	}
	return ""
}

// tenant tells whose a request is, and whether the rule applies to it.
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
