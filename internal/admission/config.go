package admission

import "fmt"

// Greatest sizes of the tables that a configuration asks for.
const (
	maxNamedTenants = 256
	maxNameBytes    = 64 // of a tenant's name that are kept
	maxFlows        = 1 << 16
	maxBuckets      = 1 << 14
	maxQueue        = 1 << 16
	maxPromises     = 1 << 18
)

// Class is a class of requests.
type Class struct {
	Name  string
	Cost  float64 // ms of work of an attempt
	First bool    // goes before others of its own tenant
}

// Tenant is a tenant that the operator names.
type Tenant struct {
	Name   string
	Weight float64 // its share against the others' weights
	Rate   float64 // requests a second that go ahead of all shares; 0 = none
	Burst  float64 // of these at once, after a time without
}

// Config is what the operator sets. Every table has a fixed size, taken at the start.
type Config struct {
	Classes      []Class
	Named        []Tenant
	OthersWeight float64 // of all tenants that are not named, together
	Flows        int     // tenants not named that are known exactly at a time
	Buckets      int     // flows that the rest is hashed into
	TurnMS       float64 // after which they are hashed anew
	Queue        int     // requests that wait, at most
	Promises     int     // retry-after times that are remembered, at most
	MaxWaitMS    float64 // a request waits at most
	MaxAfterMS   float64 // the longest retry-after that clients heed
	Start        float64 // limit on concurrency to begin with, in requests of mean cost
	Least, Most  float64 // its bounds
	RetryShare   float64 // retries as a share of first tries, where there is contention
	RetryBurst   float64
}

// Error is a setting that is missing or impossible.
type Error struct{ Setting, Reason string }

// Error names the setting as the operator writes it, and the reason.
func (e *Error) Error() string { return "admission." + e.Setting + ": " + e.Reason }

// Validate names the first setting that is impossible.
func (c Config) Validate() error {
	if err := c.validateSizes(); err != nil {
		return err
	}
	if err := c.validateTenants(); err != nil {
		return err
	}
	for i, class := range c.Classes {
		if !(class.Cost > 0) {
			return &Error{fmt.Sprintf("class[%d].cost", i), fmt.Sprintf("impossible value %v", class.Cost)}
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
		{"turn_ms", c.TurnMS > 0, c.TurnMS},
		{"queue", c.Queue >= 1 && c.Queue <= maxQueue, c.Queue},
		{"promises", c.Promises >= 1 && c.Promises <= maxPromises, c.Promises},
		{"max_wait_ms", c.MaxWaitMS >= 0, c.MaxWaitMS},
		{"max_after_ms", c.MaxAfterMS > 0, c.MaxAfterMS},
		{"least", c.Least >= 1, c.Least},
		{"most", c.Most >= c.Least, c.Most},
		{"start", c.Start >= c.Least && c.Start <= c.Most, c.Start},
		{"retry_share", c.RetryShare >= 0, c.RetryShare},
	} {
		if !setting.isValid {
			return &Error{setting.name, fmt.Sprintf("impossible value %v", setting.value)}
		}
	}
	return nil
}

// validateTenants checks the named tenants.
func (c Config) validateTenants() error {
	seen := map[string]bool{}
	for i, tenant := range c.Named {
		setting := fmt.Sprintf("tenant[%d]", i)
		switch {
		case i == maxNamedTenants:
			return &Error{"tenant", fmt.Sprintf("%d of them, %d at most", len(c.Named), maxNamedTenants)}
		case !(tenant.Rate >= 0) || tenant.Rate > 0 && !(tenant.Burst >= 1):
			return &Error{setting, "needs a rate of at least 0, and with one a burst of at least 1"}
		case tenant.Name == "" || len(tenant.Name) > maxNameBytes || seen[tenant.Name] || !(tenant.Weight > 0):
			return &Error{setting, fmt.Sprintf("needs a name of its own of up to %d bytes and a weight above 0", maxNameBytes)}
		}
		seen[tenant.Name] = true
	}
	return nil
}
