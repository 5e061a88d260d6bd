package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"dockhinge.example/dockhinge/decide"
)

// Every settings object holds these keys. Where one is missing, a zero would stand in for it and
// might pass for a value.
var (
	requiredKeys      = []string{"balancers", "myNumber", "categories", "caps", "rules"}
	requiredCapsKeys  = []string{"maxAttempts"}
	requiredRulesKeys = []string{"cold", "coldFrom", "overloadFactor", "overloadFor"}
	requiredClassKeys = []string{"name", "effect", "target", "hardLimit", "gain"}
	requiredByKeyKeys = []string{"window", "keyScope"}
)

// Error is a mistake in a settings object.
type Error struct {
	Key    string // with dots, as "caps.maxAttempts" or "categories[0].target"
	Reason string
}

func (e *Error) Error() string { return "settings: " + e.Key + ": " + e.Reason }

// settingKeys are the settings' names of what the module calls by others.
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

// Problems lists what is wrong with a settings object: every key that it lacks, or else the first
// impossible value.
func Problems(text []byte) []error {
	if lacking := checkKeys(text); lacking != nil {
		return lacking
	}
	s, err := Parse(text)
	if err == nil {
		err = s.Config.Validate()
	}
	var v *decide.SettingError
	if errors.As(err, &v) {
		key := settingKeys[v.Field]
		if v.List != "" {
			key = fmt.Sprintf("%s[%d].%s", settingKeys[v.List], v.At, key)
		}
		err = &Error{key, fmt.Sprintf("impossible value %v", v.Value)}
	}
	if err != nil {
		return []error{err}
	}
	return nil
}

// checkKeys names the keys that a settings object lacks.
func checkKeys(text []byte) (all []error) {
	var s struct {
		Categories []map[string]json.RawMessage
		Caps       map[string]json.RawMessage
		Rules      map[string]json.RawMessage
	}
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return []error{fmt.Errorf("settings: %w", err)}
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return []error{fmt.Errorf("settings: %w", err)}
	}
	lacks := func(at string, o map[string]json.RawMessage, keys []string) {
		for _, k := range keys {
			if v, ok := o[k]; !ok || string(v) == "null" {
				all = append(all, &Error{at + k, "missing"})
			}
		}
	}
	lacks("", top, requiredKeys)
	lacks("caps.", s.Caps, requiredCapsKeys)
	lacks("rules.", s.Rules, requiredRulesKeys)
	for i, c := range s.Categories {
		keys := requiredClassKeys
		if string(c["effect"]) == `"by_key"` {
			keys = slices.Concat(requiredClassKeys, requiredByKeyKeys)
		}
		lacks(fmt.Sprintf("categories[%d].", i), c, keys)
	}
	return all
}

// MissingKey names the first key that one JSON object holds and a later form of it lacks, as
// "limits.memory_mb", or returns "" where there is none. Of a list of objects, the later ones must
// each have what all of the earlier ones had. Inside the keys named as data, anything may differ.
func MissingKey(was, is []byte, data ...string) (string, error) {
	var a, b any
	if err := json.Unmarshal(was, &a); err != nil {
		return "", err
	}
	if err := json.Unmarshal(is, &b); err != nil {
		return "", err
	}
	return missingKey("", a, b, data), nil
}

func missingKey(at string, was, is any, data []string) string {
	if slices.Contains(data, at) {
		return ""
	}
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		if !ok {
			return at
		}
		keys := make([]string, 0, len(was))
		for k := range was {
			keys = append(keys, k)
		}
		slices.Sort(keys) // the same message every time
		for _, k := range keys {
			name := k
			if at != "" {
				name = at + "." + k
			}
			v, ok := is[k]
			if !ok {
				return name
			}
			if l := missingKey(name, was[k], v, data); l != "" {
				return l
			}
		}
	case []any:
		is, ok := is.([]any)
		if !ok {
			return at
		}
		common := commonKeys(was)
		if common == nil {
			return ""
		}
		for i, v := range is {
			if l := missingKey(fmt.Sprintf("%s[%d]", at, i), common, v, data); l != "" {
				return l
			}
		}
	}
	return ""
}

// commonKeys holds the keys that all objects of a list have; nil where it holds anything else, or
// nothing.
func commonKeys(list []any) any {
	var common map[string]any
	for i, v := range list {
		o, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = map[string]any{}
			for k := range o {
				common[k] = nil // of what is inside, nothing is asked
			}
		}
		for k := range common {
			if _, ok := o[k]; !ok {
				delete(common, k)
			}
		}
	}
	if common == nil {
		return nil
	}
	return common
}
