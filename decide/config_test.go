package decide

import (
	"strings"
	"testing"
)

// Guards against an error that does not name the invalid setting and its entry in a list.
func TestNewNamesTheInvalidSetting(t *testing.T) {
	negative := []Tenant{{Name: "x", QuotaPerSecond: -1}}
	for want, invalidate := range map[string]func(*Config){
		"Routers":                              func(c *Config) { c.Routers = 0 },
		"RouterIndex":                          func(c *Config) { c.RouterIndex = 5 },
		"Classes":                              func(c *Config) { c.Classes = nil },
		"Classes[read].LatencyObjectiveMillis": func(c *Config) { c.Classes[0].LatencyObjectiveMillis = 0 },
		"Classes[keyed].IdempotencyScope":      func(c *Config) { c.Classes[2].IdempotencyScope = "planet" },
		"SlowStartInitialShare":                func(c *Config) { c.SlowStartInitialShare = 0 },
		"OverloadFactor":                       func(c *Config) { c.OverloadFactor = 0 },
		"MaxAttempts":                          func(c *Config) { c.MaxAttempts = 0 },
		"OriginKind":                           func(c *Config) { c.CacheAside = true },
		"Tenants[x].QuotaPerSecond":            func(c *Config) { c.Tenants = negative },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that names %s, got %v", want, err)
		}
	}
}
