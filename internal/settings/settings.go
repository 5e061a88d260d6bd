// Package settings reads the platform's settings of an instance: the same object on the simulator's
// wire and in a real router's configuration. It is the one place that knows the platform's words
// (balancers, categories, hardLimit, gain, ...); nothing behind it does.
package settings

import (
	"encoding/json"
	"fmt"

	"dockhinge.example/dockhinge/decide"
)

// Settings is the settings object in the terms of the decide package, with what only its host needs.
type Settings struct {
	Config decide.Config
	// LoadColumns names the values of a load report on the simulator's wire, in their order.
	LoadColumns []string
	// ConnectTimeoutMillis is the time after which connecting has failed; 0 = the platform sets none.
	ConnectTimeoutMillis float64
}

// effects maps the platform's words for what may be repeated.
var effects = map[string]decide.Effect{
	"repeatable": decide.Idempotent,
	"by_key":     decide.IdempotentByKey,
	"once":       decide.NotIdempotent,
}

// Words of the platform that switch a part of the configuration.
const (
	countedByWork   = "work"
	modeCacheAside  = "aside"
	weightsAreLive  = "live"
	loadByProbe     = "probe"
	discoveryByPoll = "ask"
)

// Parse reads the settings of one instance. The error is an *Error where it names a key.
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
			return Settings{}, &Error{Key: "familyInfo.originKind", Reason: "names no entry of kinds"}
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

// config maps the settings that are single values.
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

// classes maps the categories.
func (o *object) classes() ([]decide.Class, error) {
	var classes []decide.Class
	seen := map[string]bool{}
	for i, c := range o.Categories {
		if seen[c.Name] {
			key := fmt.Sprintf("categories[%d].name", i)
			return nil, &Error{Key: key, Reason: fmt.Sprintf("%q is named twice", c.Name)}
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

// SetLoadField sets the field of a load report that the platform has under a name. Sockets and the
// simulator's wire have a name each for the same field; other names have no use and are ignored.
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
