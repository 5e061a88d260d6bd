// Package settings reads what an instance is told at its start: the same object on the simulator's
// wire and in a real router's configuration.
package settings

import (
	"encoding/json"
	"fmt"

	"dockhinge.example/dockhinge/decide"
)

// Settings is the settings object in the terms of the decide package, with what only its host needs.
type Settings struct {
	Config               decide.Config
	LoadColumns          []string // of the load reports on the simulator's wire
	ConnectTimeoutMillis float64  // a connection not established within these milliseconds has failed; 0 = not told
}

// object mirrors the settings object; unknown keys are ignored.
type object struct {
	Balancers  int `json:"balancers"`
	MyNumber   int `json:"myNumber"`
	Zone       string
	Categories []struct {
		Name       string
		Effect     string
		KeyScope   string
		Window     float64
		Target     float64
		AimStretch float64
		HardLimit  float64
		Gain       float64
		LateWorth  float64
		Stream     bool
	}
	Projects []struct {
		Name      string
		QuotaPerS float64
	}
	OverShareWorth float64
	CountedBy      string
	Kinds          []string
	FamilyInfo     struct {
		Mode       string
		OriginKind *int
	}
	Discovery string
	Weights   string
	LoadInfo  struct {
		Columns []string
		How     string
	}
	Caps struct {
		Cancel, MayProbe, Peers, RetryAfter, SecondCopies bool
		MaxAttempts                                       int
		MaxRetryAfter, CPUUsPerS, ConnIdle                float64
		ConnectTimeout                                    float64
	}
	Rules struct {
		Cold, ColdFrom, OverloadFactor, OverloadFor, MustAskIn float64
	}
}

var effects = map[string]decide.Effect{"repeatable": decide.Idempotent, "by_key": decide.IdempotentByKey, "once": decide.NotIdempotent}

// Parse reads the settings of one instance.
func Parse(text []byte) (Settings, error) {
	if lacking := checkKeys(text); lacking != nil {
		return Settings{}, lacking[0]
	}
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	c := decide.Config{
		Routers: s.Balancers, RouterIndex: s.MyNumber, Zone: s.Zone, OverQuotaWeight: s.OverShareWorth,
		WeightByWork: s.CountedBy == "work", CacheAside: s.FamilyInfo.Mode == "aside",
		SizesAreLoads: s.Weights == "live", LoadByHealthCheck: s.LoadInfo.How == "probe",
		PollEndpoints: s.Discovery == "ask", PollWithinMillis: s.Rules.MustAskIn,
		HealthChecks: s.Caps.MayProbe, GossipAllowed: s.Caps.Peers, CancelAllowed: s.Caps.Cancel, HedgingAllowed: s.Caps.SecondCopies,
		SendRetryAfter: s.Caps.RetryAfter, MaxRetryAfterMillis: s.Caps.MaxRetryAfter,
		MaxAttempts: s.Caps.MaxAttempts, IdleTimeoutMillis: s.Caps.ConnIdle, CPUMicrosPerSecond: s.Caps.CPUUsPerS,
		SlowStartMillis: s.Rules.Cold, SlowStartInitialShare: s.Rules.ColdFrom, OverloadFactor: s.Rules.OverloadFactor, OverloadMillis: s.Rules.OverloadFor,
	}
	if c.CacheAside {
		k := s.FamilyInfo.OriginKind
		if k == nil || *k < 0 || *k >= len(s.Kinds) {
			return Settings{}, &Error{"familyInfo.originKind", "names no entry of kinds"}
		}
		c.OriginKind = s.Kinds[*k]
	}
	seen := map[string]bool{}
	for i, k := range s.Categories {
		if seen[k.Name] {
			return Settings{}, &Error{fmt.Sprintf("categories[%d].name", i), fmt.Sprintf("%q is named twice", k.Name)}
		}
		seen[k.Name] = true
		e, ok := effects[k.Effect]
		if !ok {
			return Settings{}, &Error{fmt.Sprintf("categories[%d].effect", i), fmt.Sprintf("unknown value %q", k.Effect)}
		}
		c.Classes = append(c.Classes, decide.Class{Name: k.Name, Effect: e, IdempotencyScope: k.KeyScope, IdempotencyWindowMillis: k.Window,
			LatencyObjectiveMillis: k.Target, ObjectivePerWork: k.AimStretch, DeadlineMillis: k.HardLimit, PriorityWeight: k.Gain, LateWeight: k.LateWorth, IsStream: k.Stream})
	}
	for _, t := range s.Projects {
		c.Tenants = append(c.Tenants, decide.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaPerS})
	}
	if !(s.Caps.ConnectTimeout >= 0) {
		return Settings{}, &Error{"caps.connectTimeout", fmt.Sprintf("impossible value %v", s.Caps.ConnectTimeout)}
	}
	return Settings{Config: c, LoadColumns: s.LoadInfo.Columns, ConnectTimeoutMillis: s.Caps.ConnectTimeout}, nil
}

// SetLoadField puts one figure of a load report in its place. Sockets and the simulator's wire have
// a name each for the same figure; other figures have no use and are passed over.
func SetLoadField(l *decide.LoadReport, name string, v float64) {
	switch name {
	case "rps", "qps":
		l.RequestsPerSecond = v
	case "err_rps", "eps":
		l.ErrorsPerSecond = v
	case "cpu", "util":
		l.Utilization = v
	case "active", "inflight":
		l.Inflight = v
	case "avg_ms", "latency_ms":
		l.LatencyMillis = v
	}
}
