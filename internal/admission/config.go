package admission

import "fmt"

// Greatest sizes of the tables that a configuration asks for. They bound the memory that an
// operator file can make a router take at its start.
const (
	maxNamedTenants = 256
	maxNameBytes    = 64 // of a tenant's name that are stored
	maxFlows        = 1 << 16
	maxBuckets      = 1 << 14
	maxQueueLimit   = 1 << 16
	maxReservations = 1 << 18
)

// Class is a class of requests.
type Class struct {
	// Name is the class's name in the platform's settings.
	Name string
	// CostMillis is the work of one attempt, until it has been measured.
	CostMillis float64
	// HasPriority lets the class's requests go before others of the same tenant.
	HasPriority bool
}

// Tenant is a tenant that the operator names.
type Tenant struct {
	Name string
	// Weight is its share against the weights of the others.
	Weight float64
	// GuaranteedPerSecond is the rate of requests that go ahead of all shares; 0 = none.
	GuaranteedPerSecond float64
	// GuaranteedBurst is how many of these may come at once after a time without any.
	GuaranteedBurst float64
}

// Config is what the operator sets. Every table has a fixed size, allocated at the start.
type Config struct {
	// Classes are the platform's classes of requests; Request.Class is an index into them.
	Classes []Class
	// Tenants are those with a share of their own.
	Tenants []Tenant
	// OthersWeight is the weight of all tenants that are not named, together.
	OthersWeight float64

	// Flows is how many unnamed tenants are tracked exactly at a time.
	Flows int
	// Buckets is how many flows the remaining tenants are hashed into.
	Buckets int
	// RehashMillis is the time after which they are hashed anew.
	RehashMillis float64

	// QueueLimit is how many requests may wait.
	QueueLimit int
	// MaxWaitMillis is how long a request may wait.
	MaxWaitMillis float64
	// ReservationLimit is how many retry-after times are remembered.
	ReservationLimit int
	// MaxRetryAfterMillis is the longest retry-after that clients obey.
	MaxRetryAfterMillis float64

	// InitialLimit is the limit on concurrency at the start, in requests of mean cost.
	InitialLimit float64
	// MinLimit and MaxLimit are its bounds.
	MinLimit, MaxLimit float64

	// RetryBudgetShare is how many retries are allowed for each first attempt under contention.
	RetryBudgetShare float64
	// RetryBudgetBurst is how many retries a tenant may save up.
	RetryBudgetBurst float64
}

// SettingError tells that a setting is missing or impossible.
type SettingError struct {
	// Setting is the key in the operator file, below admission.
	Setting string
	// Reason is what is wrong with its value.
	Reason string
}

// Error names the setting as the operator writes it, and the reason.
func (e *SettingError) Error() string { return "admission." + e.Setting + ": " + e.Reason }

// Validate returns a *SettingError for the first setting that is impossible.
func (c Config) Validate() error {
	if err := c.validateNumbers(); err != nil {
		return err
	}
	if err := c.validateTenants(); err != nil {
		return err
	}
	for i, class := range c.Classes {
		if !(class.CostMillis > 0) {
			return impossible(fmt.Sprintf("class[%d].cost", i), class.CostMillis)
		}
	}
	return nil
}

// impossible is the error for a setting whose value is out of its bounds.
func impossible(setting string, value any) error {
	return &SettingError{Setting: setting, Reason: fmt.Sprintf("impossible value %v", value)}
}

// validateNumbers checks the settings that are single numbers.
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
			return impossible(setting.name, setting.value)
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
			reason := fmt.Sprintf("%d of them, %d at most", len(c.Tenants), maxNamedTenants)
			return &SettingError{Setting: "tenant", Reason: reason}
		case !(tenant.GuaranteedPerSecond >= 0) || hasGuarantee && !(tenant.GuaranteedBurst >= 1):
			reason := "needs a rate of at least 0, and with one a burst of at least 1"
			return &SettingError{Setting: setting, Reason: reason}
		case tenant.Name == "" || len(tenant.Name) > maxNameBytes || seen[tenant.Name] || !(tenant.Weight > 0):
			reason := fmt.Sprintf("needs a name of its own of up to %d bytes and a weight above 0", maxNameBytes)
			return &SettingError{Setting: setting, Reason: reason}
		}
		seen[tenant.Name] = true
	}
	return nil
}
