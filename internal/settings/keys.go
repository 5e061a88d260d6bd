package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/decide"
)

// The keys that every settings object must have. Without this check, a missing key would be read as
// 0, which might be a valid value.
var (
	requiredKeys      = []string{"balancers", "myNumber", "categories", "caps", "rules"}
	requiredCapsKeys  = []string{"maxAttempts"}
	requiredRulesKeys = []string{"cold", "coldFrom", "overloadFactor", "overloadFor"}
	requiredClassKeys = []string{"name", "effect", "target", "hardLimit", "gain"}
	requiredByKeyKeys = []string{"window", "keyScope"}
)

// Error reports a missing key or an invalid value in a settings object.
type Error struct {
	// Key is the path of the key, for example "caps.maxAttempts" or "categories[0].target".
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *Error) Error() string { return "settings: " + e.Key + ": " + e.Reason }

// settingKeys maps the field names of decide.Config and of its list entries to the platform's keys.
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

// Problems returns all problems of a settings object that it can find: all missing keys or, if none
// is missing, the first invalid value.
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

// platformError returns the error for an invalid setting under the platform's key.
func platformError(e *decide.SettingError) *Error {
	key := settingKeys[e.Field]
	if e.List != "" {
		key = fmt.Sprintf("%s[%d].%s", settingKeys[e.List], e.Index, key)
	}
	return &Error{Key: key, Reason: fmt.Sprintf("impossible value %v", e.Value)}
}

// checkKeys returns an error for each missing key of a settings object.
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
			if value, isPresent := object[key]; !isPresent || string(value) == "null" {
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
