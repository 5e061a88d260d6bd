package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/decide"
)

// The keys that every settings object has. Where one is missing, a zero would stand in for it and might
// pass for a value.
var (
	requiredKeys      = []string{"balancers", "myNumber", "categories", "caps", "rules"}
	requiredCapsKeys  = []string{"maxAttempts"}
	requiredRulesKeys = []string{"cold", "coldFrom", "overloadFactor", "overloadFor"}
	requiredClassKeys = []string{"name", "effect", "target", "hardLimit", "gain"}
	requiredByKeyKeys = []string{"window", "keyScope"}
)

// Error is a mistake in a settings object.
type Error struct {
	// Key is written with dots, as "caps.maxAttempts" or "categories[0].target".
	Key    string
	Reason string
}

// Error names the key and the reason.
func (e *Error) Error() string { return "settings: " + e.Key + ": " + e.Reason }

// settingKeys maps the fields of decide.Config, its lists and their entries to the platform's keys.
var settingKeys = map[string]string{
	"Routers": "balancers", "RouterIndex": "myNumber", "Classes": "categories", "Tenants": "projects",
	"MaxAttempts": "caps.maxAttempts", "IdleTimeoutMillis": "caps.connIdle", "CPUMicrosPerSecond": "caps.cpuUsPerS",
	"SlowStartMillis": "rules.cold", "SlowStartInitialShare": "rules.coldFrom",
	"OverloadFactor": "rules.overloadFactor", "OverloadMillis": "rules.overloadFor",
	"OverQuotaWeight": "overShareWorth", "OriginKind": "familyInfo.originKind",
	"Name": "name", "Effect": "effect", "IdempotencyScope": "keyScope", "IdempotencyWindowMillis": "window",
	"LatencyObjectiveMillis": "target", "ObjectivePerWork": "aimStretch", "DeadlineMillis": "hardLimit",
	"PriorityWeight": "gain", "QuotaPerSecond": "quotaPerS",
}

// Problems lists what is wrong with a settings object: all keys that it lacks, or else the first
// impossible value.
func Problems(text []byte) []error {
	if missing := checkKeys(text); missing != nil {
		return missing
	}
	s, err := Parse(text)
	if err == nil {
		err = s.Config.Validate()
	}
	var settingError *decide.SettingError
	if errors.As(err, &settingError) {
		err = platformError(settingError)
	}
	if err != nil {
		return []error{err}
	}
	return nil
}

// platformError names the setting as the platform writes it.
func platformError(e *decide.SettingError) *Error {
	key := settingKeys[e.Field]
	if e.List != "" {
		key = fmt.Sprintf("%s[%d].%s", settingKeys[e.List], e.Index, key)
	}
	return &Error{Key: key, Reason: fmt.Sprintf("impossible value %v", e.Value)}
}

// checkKeys names the keys that a settings object lacks.
func checkKeys(text []byte) (missing []error) {
	var o struct {
		Categories []map[string]json.RawMessage `json:"categories"`
		Caps       map[string]json.RawMessage   `json:"caps"`
		Rules      map[string]json.RawMessage   `json:"rules"`
	}
	var top map[string]json.RawMessage
	for _, into := range []any{&top, &o} {
		if err := json.Unmarshal(text, into); err != nil {
			return []error{fmt.Errorf("settings: %w", err)}
		}
	}
	require := func(prefix string, object map[string]json.RawMessage, keys []string) {
		for _, key := range keys {
			if value, isThere := object[key]; !isThere || string(value) == "null" {
				missing = append(missing, &Error{Key: prefix + key, Reason: "missing"})
			}
		}
	}
	require("", top, requiredKeys)
	require("caps.", o.Caps, requiredCapsKeys)
	require("rules.", o.Rules, requiredRulesKeys)
	for i, class := range o.Categories {
		keys := requiredClassKeys
		if string(class["effect"]) == `"by_key"` {
			keys = slices.Concat(requiredClassKeys, requiredByKeyKeys)
		}
		require(fmt.Sprintf("categories[%d].", i), class, keys)
	}
	return missing
}
