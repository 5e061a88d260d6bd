package decide

import (
	"fmt"
	"math"
)

// Effect says whether a request may run more than once.
type Effect int

// The effects that a class of requests can have.
const (
	// Idempotent requests are safe to repeat.
	Idempotent Effect = iota
	// IdempotentByKey requests carry a key by which a group of servers drops repeats for a limited
	// time.
	IdempotentByKey
	// NotIdempotent requests must never run twice.
	NotIdempotent
)

// The groups of servers that drop repeats of an IdempotentByKey request together.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// Class describes one class of requests.
type Class struct {
	// Name identifies the class in Request.Class.
	Name string
	// Effect says whether its requests may run more than once.
	Effect Effect
	// IdempotencyScope is the group of servers that drop repeats together: "all", "zone" or "cell".
	// It is used by IdempotentByKey only.
	IdempotencyScope string
	// IdempotencyWindowMillis is how long servers drop repeats, counted from the send of the first
	// attempt that may have run. It is used by IdempotentByKey only.
	IdempotencyWindowMillis float64
	// LatencyObjectiveMillis is the time within which an answer has its full weight.
	LatencyObjectiveMillis float64
	// ObjectivePerWork is multiplied by the request's work hint and added to the objective.
	ObjectivePerWork float64
	// DeadlineMillis is how long a client waits for an answer, over all its tries.
	DeadlineMillis float64
	// PriorityWeight is the value of an answer within the objective.
	PriorityWeight float64
	// LateWeight is the share of PriorityWeight that an answer after the objective keeps; 0 = none.
	LateWeight float64
	// IsStream says that answers are streamed.
	IsStream bool
}

// Tenant is one of the parties that share the service and have a quota.
type Tenant struct {
	// Name identifies the tenant in Request.Tenant.
	Name string
	// QuotaPerSecond is the number of requests per second, over all routers, that get full
	// priority.
	QuotaPerSecond float64
}

// Config holds the settings of a Balancer.
type Config struct {
	// Routers is the number of routers of the fleet.
	Routers int
	// RouterIndex is the index of this router in the fleet, from 0.
	RouterIndex int
	// Zone is the zone that this router is in.
	Zone string
	// Classes lists the classes of requests that are served.
	Classes []Class
	// Tenants lists the tenants that have a quota.
	Tenants []Tenant
	// OverQuotaWeight is the share of its priority that a request over its tenant's quota keeps.
	OverQuotaWeight float64
	// WeightByWork says that priority is counted per unit of work instead of per request.
	WeightByWork bool

	// CacheAside says that servers return misses and the router fetches from the origin; otherwise
	// servers fetch by themselves.
	CacheAside bool
	// OriginKind is the Endpoint.Kind of the origin. It is used with CacheAside.
	OriginKind string

	// SizesAreLoads says that listed sizes are load figures, which change with each list.
	SizesAreLoads bool
	// LoadByHealthCheck says that loads are reported only in the results of health checks.
	LoadByHealthCheck bool
	// PollEndpoints says that routers have to ask discovery for the endpoint list.
	PollEndpoints bool
	// PollWithinMillis is the time after a change within which all routers should have asked; 0 =
	// no limit.
	PollWithinMillis float64
	// HealthChecksAllowed says that health checks are allowed.
	HealthChecksAllowed bool
	// GossipAllowed says that routers may send messages to each other.
	GossipAllowed bool
	// CancelAllowed says that attempts may be canceled.
	CancelAllowed bool
	// HedgingAllowed says that a request may have two attempts in flight at once.
	HedgingAllowed bool
	// SendRetryAfter says that rejections carry a Retry-After.
	SendRetryAfter bool
	// MaxRetryAfterMillis is the longest Retry-After.
	MaxRetryAfterMillis float64
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int
	// IdleTimeoutMillis is the time after which idle connections close by themselves; 0 = unknown,
	// and no connection is closed earlier.
	IdleTimeoutMillis float64
	// CPUMicrosPerSecond is the CPU time that a router may use; 0 = no limit.
	CPUMicrosPerSecond float64

	// SlowStartMillis is the time after its start at which a server has its full capacity at the
	// latest.
	SlowStartMillis float64
	// SlowStartInitialShare is the share of its capacity that a server has when it starts.
	SlowStartInitialShare float64
	// OverloadFactor is the multiple of its capacity that makes a cold server fail if it is sent
	// that much for OverloadMillis.
	OverloadFactor float64
	// OverloadMillis is the duration that OverloadFactor refers to.
	OverloadMillis float64
}

// ClassNames returns the names of the classes, in the order of Classes.
func (c *Config) ClassNames() (names []string) {
	for _, k := range c.Classes {
		names = append(names, k.Name)
	}
	return names
}

// The names of the Config lists that a SettingError can refer to.
const (
	classList  = "Classes"
	tenantList = "Tenants"
)

// noValue is reported as the value of a setting that is missing.
const noValue = "(none)"

// SettingError reports a setting that is missing or invalid.
type SettingError struct {
	// Field is the name of the field of Config, Class or Tenant.
	Field string
	// List is "Classes" or "Tenants" if Field is in an entry of that list, else "".
	List string
	// Index is the index of the entry in the list.
	Index int
	// Entry is the name of the entry.
	Entry string
	// Value is the invalid value.
	Value any
}

// Error returns a text with the setting and its value.
func (e *SettingError) Error() string {
	name := e.Field
	if e.List != "" {
		name = fmt.Sprintf("%s[%s].%s", e.List, e.Entry, e.Field)
	}
	return fmt.Sprintf("decide: setting %s: impossible value %v", name, e.Value)
}

// Validate returns a *SettingError for the first setting that is missing or invalid, else nil.
func (c *Config) Validate() error {
	if err := c.validateRouter(); err != nil {
		return err
	}
	if err := c.validateSlowStart(); err != nil {
		return err
	}
	if err := c.validateLimits(); err != nil {
		return err
	}
	for i := range c.Classes {
		if err := c.Classes[i].validate(i); err != nil {
			return err
		}
	}
	for i, t := range c.Tenants {
		if t.Name == "" || !isNotNegative(t.QuotaPerSecond) {
			return &SettingError{"QuotaPerSecond", tenantList, i, t.Name, t.QuotaPerSecond}
		}
	}
	return nil
}

// invalidSetting returns a SettingError for a field of Config itself.
func invalidSetting(name string, value any) error { return &SettingError{Field: name, Value: value} }

func isPositive(v float64) bool    { return v > 0 && !math.IsInf(v, 1) }
func isNotNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

func (c *Config) validateRouter() error {
	switch {
	case c.Routers < 1:
		return invalidSetting("Routers", c.Routers)
	case c.RouterIndex < 0 || c.RouterIndex >= c.Routers:
		return invalidSetting("RouterIndex", c.RouterIndex)
	case len(c.Classes) == 0:
		return invalidSetting(classList, noValue)
	case c.MaxAttempts < 1:
		return invalidSetting("MaxAttempts", c.MaxAttempts)
	}
	return nil
}

func (c *Config) validateSlowStart() error {
	switch {
	case !isNotNegative(c.SlowStartMillis):
		return invalidSetting("SlowStartMillis", c.SlowStartMillis)
	case !(c.SlowStartInitialShare > 0 && c.SlowStartInitialShare <= 1):
		return invalidSetting("SlowStartInitialShare", c.SlowStartInitialShare)
	case !isPositive(c.OverloadFactor):
		return invalidSetting("OverloadFactor", c.OverloadFactor)
	case !isPositive(c.OverloadMillis):
		return invalidSetting("OverloadMillis", c.OverloadMillis)
	}
	return nil
}

func (c *Config) validateLimits() error {
	switch {
	case !isNotNegative(c.IdleTimeoutMillis):
		return invalidSetting("IdleTimeoutMillis", c.IdleTimeoutMillis)
	case !isNotNegative(c.CPUMicrosPerSecond):
		return invalidSetting("CPUMicrosPerSecond", c.CPUMicrosPerSecond)
	case !isNotNegative(c.OverQuotaWeight):
		return invalidSetting("OverQuotaWeight", c.OverQuotaWeight)
	case c.CacheAside && c.OriginKind == "":
		return invalidSetting("OriginKind", noValue)
	}
	return nil
}

// validate returns a *SettingError for the first invalid field of the class at an index of
// Config.Classes.
func (c *Class) validate(index int) error {
	invalid := func(field string, value any) error {
		return &SettingError{field, classList, index, c.Name, value}
	}
	switch {
	case c.Name == "":
		return invalid("Name", noValue)
	case !isPositive(c.LatencyObjectiveMillis):
		return invalid("LatencyObjectiveMillis", c.LatencyObjectiveMillis)
	case !isPositive(c.DeadlineMillis):
		return invalid("DeadlineMillis", c.DeadlineMillis)
	case !isNotNegative(c.PriorityWeight):
		return invalid("PriorityWeight", c.PriorityWeight)
	case !isNotNegative(c.ObjectivePerWork):
		return invalid("ObjectivePerWork", c.ObjectivePerWork)
	case c.Effect < Idempotent || c.Effect > NotIdempotent:
		return invalid("Effect", c.Effect)
	}
	if c.Effect != IdempotentByKey {
		return nil
	}
	if !isNotNegative(c.IdempotencyWindowMillis) {
		return invalid("IdempotencyWindowMillis", c.IdempotencyWindowMillis)
	}
	switch c.IdempotencyScope {
	case scopeAll, scopeZone, scopeCell:
		return nil
	}
	return invalid("IdempotencyScope", c.IdempotencyScope)
}
