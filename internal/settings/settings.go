// Package settings reads the platform's settings object of a router instance, which is the same on
// the simulator's wire and in a router's configuration file. It maps the platform's terms
// (balancers, categories, hardLimit, gain, ...) to those of package decide; other packages do not
// use them.
package settings

import (
	"encoding/json"
	"fmt"

	"dockhinge.example/dockhinge/decide"
)

// Settings is the settings object in the terms of package decide, plus the values that only its
// host needs.
type Settings struct {
	Config decide.Config
	// LoadColumns are the names of the values of a load report on the simulator's wire, in order.
	LoadColumns []string
	// ConnectTimeoutMillis is the timeout for connecting; 0 = the platform sets none.
	ConnectTimeoutMillis float64
}

// effects maps the platform's values of effect.
var effects = map[string]decide.Effect{
	"repeatable": decide.Idempotent,
	"by_key":     decide.IdempotentByKey,
	"once":       decide.NotIdempotent,
}

// Values of the platform's settings that enable a behavior.
const (
	countedByWork   = "work"
	modeCacheAside  = "aside"
	weightsAreLive  = "live"
	loadByProbe     = "probe"
	discoveryByPoll = "ask"
)

// Parse reads the settings of one instance. The error is an *Error if it concerns a key.
func Parse(text []byte) (Settings, error) {
	if missing := checkKeys(text); missing != nil {
		return Settings{}, missing[0]
	}
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	c := o.config()
	if c.CacheAside {
		kind := o.FamilyInfo.OriginKind
		if kind == nil || *kind < 0 || *kind >= len(o.Kinds) {
			return Settings{}, &Error{Key: "familyInfo.originKind", Reason: "is not an index into kinds"}
		}
		c.OriginKind = o.Kinds[*kind]
	}
	classes, err := o.classes()
	if err != nil {
		return Settings{}, err
	}
	c.Classes = classes
	for _, project := range o.Projects {
		c.Tenants = append(c.Tenants, decide.Tenant{Name: project.Name, QuotaPerSecond: project.QuotaPerS})
	}
	timeout := o.Caps.ConnectTimeout
	if !(timeout >= 0) {
		return Settings{}, &Error{Key: "caps.connectTimeout", Reason: fmt.Sprintf("impossible value %v", timeout)}
	}
	return Settings{Config: c, LoadColumns: o.LoadInfo.Columns, ConnectTimeoutMillis: timeout}, nil
}

// config maps the settings with a single value.
func (o *object) config() decide.Config {
	return decide.Config{
		Routers:               o.Balancers,
		RouterIndex:           o.MyNumber,
		Zone:                  o.Zone,
		OverQuotaWeight:       o.OverShareWorth,
		WeightByWork:          o.CountedBy == countedByWork,
		CacheAside:            o.FamilyInfo.Mode == modeCacheAside,
		SizesAreLoads:         o.Weights == weightsAreLive,
		LoadByHealthCheck:     o.LoadInfo.How == loadByProbe,
		PollEndpoints:         o.Discovery == discoveryByPoll,
		PollWithinMillis:      o.Rules.MustAskIn,
		HealthChecksAllowed:   o.Caps.MayProbe,
		GossipAllowed:         o.Caps.Peers,
		CancelAllowed:         o.Caps.Cancel,
		HedgingAllowed:        o.Caps.SecondCopies,
		SendRetryAfter:        o.Caps.RetryAfter,
		MaxRetryAfterMillis:   o.Caps.MaxRetryAfter,
		MaxAttempts:           o.Caps.MaxAttempts,
		IdleTimeoutMillis:     o.Caps.ConnIdle,
		CPUMicrosPerSecond:    o.Caps.CPUUsPerS,
		SlowStartMillis:       o.Rules.Cold,
		SlowStartInitialShare: o.Rules.ColdFrom,
		OverloadFactor:        o.Rules.OverloadFactor,
		OverloadMillis:        o.Rules.OverloadFor,
	}
}

// classes maps the categories to request classes.
func (o *object) classes() ([]decide.Class, error) {
	var classes []decide.Class
	seen := map[string]bool{}
	for i, c := range o.Categories {
		if seen[c.Name] {
			key := fmt.Sprintf("categories[%d].name", i)
			return nil, &Error{Key: key, Reason: fmt.Sprintf("%q is the name of another category too", c.Name)}
		}
		seen[c.Name] = true
		effect, isKnown := effects[c.Effect]
		if !isKnown {
			key := fmt.Sprintf("categories[%d].effect", i)
			return nil, &Error{Key: key, Reason: fmt.Sprintf("unknown value %q", c.Effect)}
		}
		classes = append(classes, decide.Class{
			Name:                    c.Name,
			Effect:                  effect,
			IdempotencyScope:        c.KeyScope,
			IdempotencyWindowMillis: c.Window,
			LatencyObjectiveMillis:  c.Target,
			ObjectivePerWork:        c.AimStretch,
			DeadlineMillis:          c.HardLimit,
			PriorityWeight:          c.Gain,
			LateWeight:              c.LateWorth,
			IsStream:                c.Stream,
		})
	}
	return classes, nil
}

// SetLoadField sets the field of a load report that the platform has under this name. The real
// servers and the simulator's wire use different names for the same field; unknown names are
// ignored.
func SetLoadField(l *decide.LoadReport, name string, value float64) {
	switch name {
	case "rps", "qps":
		l.RequestsPerSecond = value
	case "err_rps", "eps":
		l.ErrorsPerSecond = value
	case "cpu", "util":
		l.Utilization = value
	case "active", "inflight":
		l.Inflight = value
	case "avg_ms", "latency_ms":
		l.LatencyMillis = value
	}
}
