package admission

import "fmt"

// Upper bounds of the table sizes in a configuration. They limit the memory that an operator file
// can make a router allocate at startup.
const (
	maxNamedTenants = 256
	maxNameBytes    = 64 // the stored part of a tenant's name
	maxFlows        = 1 << 16
	maxBuckets      = 1 << 14
	maxQueueLimit   = 1 << 16
	maxReservations = 1 << 18
)

// Class is a class of requests.
type Class struct {
	// Name is the class's name in the platform's settings.
	Name string
	// CostMillis is the estimated work of one attempt, used until the work has been measured.
	CostMillis float64
	// HasPriority reports whether requests of this class are admitted before other requests of the
	// same tenant.
	HasPriority bool
}

// Tenant is a tenant that the operator has named in the configuration.
type Tenant struct {
	Name string
	// Weight is the tenant's weight relative to those of the other tenants.
	Weight float64
	// GuaranteedPerSecond is the rate of requests that are admitted ahead of all shares; 0 = none.
	GuaranteedPerSecond float64
	// GuaranteedBurst is the number of guaranteed requests that may arrive at once after a period
	// without any.
	GuaranteedBurst float64
}

// Config is the operator's configuration of admission. Every table has a fixed size and is
// allocated at startup.
type Config struct {
	// Classes are the request classes of the platform's settings; Request.Class is an index into
	// them.
	Classes []Class
	// Tenants are the tenants with a share of their own.
	Tenants []Tenant
	// OthersWeight is the weight of all tenants that are not named, together.
	OthersWeight float64

	// Flows is the number of unnamed tenants that are tracked individually at a time.
	Flows int
	// Buckets is the number of flows that the remaining tenants are hashed into.
	Buckets int
	// RehashMillis is the time between two changes of the hash that assigns tenants to buckets.
	RehashMillis float64

	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// MaxWaitMillis is the longest time for which a request may be queued.
	MaxWaitMillis float64
	// ReservationLimit is the maximum number of retry-after times that are stored.
	ReservationLimit int
	// MaxRetryAfterMillis is the longest retry-after that clients obey.
	MaxRetryAfterMillis float64

	// InitialLimit is the concurrency limit at startup, in requests of mean cost.
	InitialLimit float64
	// MinLimit and MaxLimit bound the concurrency limit.
	MinLimit, MaxLimit float64

	// RetryBudgetShare is the number of retries allowed for each first attempt under contention.
	RetryBudgetShare float64
	// RetryBudgetBurst is the maximum number of unused retries that a tenant can accumulate.
	RetryBudgetBurst float64
}

// SettingError reports a missing or invalid setting.
type SettingError struct {
	// Setting is the key in the operator file, relative to the admission section.
	Setting string
	// Reason describes what is wrong with the value.
	Reason string
}

// Error returns the setting's key in the operator file and the reason.
func (e *SettingError) Error() string { return "admission." + e.Setting + ": " + e.Reason }

// Validate returns a *SettingError for the first invalid setting, or nil.
func (c Config) Validate() error {
	if err := c.validateNumbers(); err != nil {
		return err
	}
	if err := c.validateTenants(); err != nil {
		return err
	}
	for i, class := range c.Classes {
		if !(class.CostMillis > 0) {
			return invalidValue(fmt.Sprintf("class[%d].cost", i), class.CostMillis)
		}
	}
	return nil
}

// invalidValue returns the error for a setting whose value is out of range.
func invalidValue(setting string, value any) error {
	return &SettingError{Setting: setting, Reason: fmt.Sprintf("impossible value %v", value)}
}

// validateNumbers checks the settings with a single value.
func (c Config) validateNumbers() error {
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
			return invalidValue(setting.name, setting.value)
		}
	}
	return nil
}

// validateTenants checks the named tenants.
func (c Config) validateTenants() error {
	seen := map[string]bool{}
	for i, tenant := range c.Tenants {
		setting := fmt.Sprintf("tenant[%d]", i)
		hasGuarantee := tenant.GuaranteedPerSecond > 0
		switch {
		case i == maxNamedTenants:
			reason := fmt.Sprintf("%d tenants, at most %d are allowed", len(c.Tenants), maxNamedTenants)
			return &SettingError{Setting: "tenant", Reason: reason}
		case !(tenant.GuaranteedPerSecond >= 0) || hasGuarantee && !(tenant.GuaranteedBurst >= 1):
			reason := "needs a rate of at least 0, and a burst of at least 1 if the rate is above 0"
			return &SettingError{Setting: setting, Reason: reason}
		case tenant.Name == "" || len(tenant.Name) > maxNameBytes || seen[tenant.Name] || !(tenant.Weight > 0):
			reason := fmt.Sprintf("needs a unique name of 1 to %d bytes and a weight above 0", maxNameBytes)
			return &SettingError{Setting: setting, Reason: reason}
		}
		seen[tenant.Name] = true
	}
	return nil
}
