package operator

import (
	"errors"
	"fmt"
	"net/netip"

	"dockhinge.example/dockhinge/internal/admission"
)

// Admission is the section that enables and configures fair admission. Its keys are the names that
// operators use; Config maps them to the terms of package admission, which has their bounds.
type Admission struct {
	Enabled         bool           `toml:"enabled"`
	OthersWeight    float64        `toml:"others_weight"`
	Flows           int            `toml:"flows"`
	Buckets         int            `toml:"buckets"`
	RehashMS        float64        `toml:"turn_ms"`
	QueueSize       int            `toml:"queue"`
	Reservations    int            `toml:"promises"`
	MaxWaitMS       float64        `toml:"max_wait_ms"`
	MaxRetryAfterMS float64        `toml:"max_after_ms"`
	LimitAtStart    float64        `toml:"start"`
	LimitMin        float64        `toml:"least"`
	LimitMax        float64        `toml:"most"`
	RetryShare      float64        `toml:"retry_share"`
	RetryBurst      float64        `toml:"retry_burst"`
	Tenants         []Tenant       `toml:"tenant"`
	Identify        []IdentifyRule `toml:"identify"`
}

// Tenant is a tenant with a share of its own.
type Tenant struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	// Rate is the guaranteed number of requests per second.
	Rate float64 `toml:"rate"`
	// Burst is the number of guaranteed requests that may arrive at once.
	Burst float64 `toml:"burst"`
}

// IdentifyRule is a rule that assigns a tenant to the requests that it matches.
type IdentifyRule struct {
	// By is fact (the tenant that the client declares), key (a prefix of the key) or network (the
	// client's address).
	By      string `toml:"by"`
	Prefix  string `toml:"prefix"`
	Network string `toml:"network"`
	Tenant  string `toml:"tenant"`
}

// Config returns the section in the terms of package admission, without the classes, which are
// defined in the platform's settings. The error is an *admission.SettingError.
func (a Admission) Config() (admission.Config, admission.TenantRules, error) {
	c := admission.Config{
		OthersWeight:        a.OthersWeight,
		Flows:               a.Flows,
		Buckets:             a.Buckets,
		RehashMillis:        a.RehashMS,
		QueueLimit:          a.QueueSize,
		ReservationLimit:    a.Reservations,
		MaxWaitMillis:       a.MaxWaitMS,
		MaxRetryAfterMillis: a.MaxRetryAfterMS,
		InitialLimit:        a.LimitAtStart,
		MinLimit:            a.LimitMin,
		MaxLimit:            a.LimitMax,
		RetryBudgetShare:    a.RetryShare,
		RetryBudgetBurst:    a.RetryBurst,
	}
	for _, t := range a.Tenants {
		c.Tenants = append(c.Tenants, admission.Tenant{
			Name:                t.Name,
			Weight:              t.Weight,
			GuaranteedPerSecond: t.Rate,
			GuaranteedBurst:     t.Burst,
		})
	}
	rules, err := a.tenantRules()
	if err != nil {
		return c, rules, err
	}
	withClass := c // Validate requires a class, and the operator file has none
	withClass.Classes = []admission.Class{{Name: "any", CostMillis: 1}}
	return c, rules, withClass.Validate()
}

// tenantRules returns the rules that assign tenants to requests.
func (a Admission) tenantRules() (admission.TenantRules, error) {
	var rules admission.TenantRules
	for i, identify := range a.Identify {
		rule, err := identify.rule()
		if err != nil {
			setting := fmt.Sprintf("identify[%d]", i)
			return rules, &admission.SettingError{Setting: setting, Reason: err.Error()}
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

// rule returns the rule in the terms of package admission.
func (m IdentifyRule) rule() (admission.TenantRule, error) {
	rule := admission.TenantRule{Prefix: m.Prefix, Tenant: m.Tenant}
	switch m.By {
	case "fact":
		rule.Source = admission.TenantFromClient
	case "key":
		if m.Prefix == "" || m.Tenant == "" {
			return rule, errors.New(`by "key" requires prefix and tenant`)
		}
		rule.Source = admission.TenantFromKey
	case "network":
		network, err := netip.ParsePrefix(m.Network)
		if err != nil {
			return rule, fmt.Errorf(`by "network" requires a valid network: %w`, err)
		}
		rule.Source = admission.TenantFromNetwork
		rule.Network = network
	default:
		return rule, fmt.Errorf("by: %q is not one of fact, key, network", m.By)
	}
	return rule, nil
}
