package admission

import "fmt"

// Greatest sizes of the tables that a configuration asks for.
const (
	maxNamedTenants = 256
	maxNameBytes    = 64 // of a tenant's name that are kept
	maxFlows        = 1 << 16
	maxBuckets      = 1 << 14
	maxQueueLimit   = 1 << 16
	maxReservations = 1 << 18
)

// Class is a class of requests.
type Class struct {
	Name        string
	CostMillis  float64 // ms of work of an attempt
	HasPriority bool    // goes before others of its own tenant
}

// Tenant is a tenant that the operator names.
type Tenant struct {
	Name                string
	Weight              float64 // its share against the others' weights
	GuaranteedPerSecond float64 // requests a second that go ahead of all shares; 0 = none
	GuaranteedBurst     float64 // of these at once, after a time without
}

// Config is what the operator sets. Every table has a fixed size, taken at the start.
type Config struct {
	Classes             []Class
	Tenants             []Tenant
	OthersWeight        float64 // of all tenants that are not named, together
	Flows               int     // tenants not named that are known exactly at a time
	Buckets             int     // flows that the rest is hashed into
	RehashMillis        float64 // after which they are hashed anew
	QueueLimit          int     // requests that wait, at most
	ReservationLimit    int     // retry-after times that are remembered, at most
	MaxWaitMillis       float64 // a request waits at most
	MaxRetryAfterMillis float64 // the longest retry-after that clients heed
	InitialLimit        float64 // limit on concurrency to begin with, in requests of mean cost
	MinLimit, MaxLimit  float64 // its bounds
	RetryBudgetShare    float64 // retries as a share of first tries, where there is contention
	RetryBudgetBurst    float64
}

// SettingError is a setting that is missing or impossible.
type SettingError struct{ Setting, Reason string }

// Error names the setting as the operator writes it, and the reason.
func (e *SettingError) Error() string { return "admission." + e.Setting + ": " + e.Reason }

// Validate names the first setting that is impossible.
func (c Config) Validate() error {
	if err := c.validateSizes(); err != nil {
		return err
	}
	if err := c.validateTenants(); err != nil {
		return err
	}
	for i, class := range c.Classes {
		if !(class.CostMillis > 0) {
			return &SettingError{fmt.Sprintf("class[%d].cost", i), fmt.Sprintf("impossible value %v", class.CostMillis)}
		}
	}
	return nil
}

// validateSizes checks the settings that are single numbers.
func (c Config) validateSizes() error {
	for _, setting := range []struct {
		name    string
		isValid bool
		value   any
	}{
		{"classes", len(c.Classes) > 0, "(none)"},
		{"others_weight", c.OthersWeight > 0, c.OthersWeight},
		{"flows", c.Flows >= 1 && c.Flows <= maxFlows, c.Flows},
		{"buckets", c.Buckets >= 1 && c.Buckets <= maxBuckets, c.Buckets},
		{"turn_ms", c.RehashMillis > 0, c.RehashMillis},
		{"queue", c.QueueLimit >= 1 && c.QueueLimit <= maxQueueLimit, c.QueueLimit},
		{"promises", c.ReservationLimit >= 1 && c.ReservationLimit <= maxReservations, c.ReservationLimit},
		{"max_wait_ms", c.MaxWaitMillis >= 0, c.MaxWaitMillis},
		{"max_after_ms", c.MaxRetryAfterMillis > 0, c.MaxRetryAfterMillis},
		{"least", c.MinLimit >= 1, c.MinLimit},
		{"most", c.MaxLimit >= c.MinLimit, c.MaxLimit},
		{"start", c.InitialLimit >= c.MinLimit && c.InitialLimit <= c.MaxLimit, c.InitialLimit},
		{"retry_share", c.RetryBudgetShare >= 0, c.RetryBudgetShare},
	} {
		if !setting.isValid {
			return &SettingError{setting.name, fmt.Sprintf("impossible value %v", setting.value)}
		}
	}
	return nil
}

// validateTenants checks the named tenants.
func (c Config) validateTenants() error {
	seen := map[string]bool{}
	for i, tenant := range c.Tenants {
		setting := fmt.Sprintf("tenant[%d]", i)
		switch {
		case i == maxNamedTenants:
			return &SettingError{"tenant", fmt.Sprintf("%d of them, %d at most", len(c.Tenants), maxNamedTenants)}
		case !(tenant.GuaranteedPerSecond >= 0) || tenant.GuaranteedPerSecond > 0 && !(tenant.GuaranteedBurst >= 1):
			return &SettingError{setting, "needs a rate of at least 0, and with one a burst of at least 1"}
		case tenant.Name == "" || len(tenant.Name) > maxNameBytes || seen[tenant.Name] || !(tenant.Weight > 0):
			return &SettingError{setting, fmt.Sprintf("needs a name of its own of up to %d bytes and a weight above 0", maxNameBytes)}
		}
		seen[tenant.Name] = true
	}
	return nil
}
