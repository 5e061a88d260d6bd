package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// MissingKey names the first key that one JSON object has and a later form of it lacks, as
// "limits.memory_mb", or returns "" where there is none. Of a list of objects, the later ones must
// each have what all of the earlier ones had. Inside the keys named as data, anything may differ.
func MissingKey(earlier, later []byte, data ...string) (string, error) {
	var earlierValue, laterValue any
	if err := json.Unmarshal(earlier, &earlierValue); err != nil {
		return "", err
	}
	if err := json.Unmarshal(later, &laterValue); err != nil {
		return "", err
	}
	return missingKey("", earlierValue, laterValue, data), nil
}

// missingKey compares two values that stand at the key at.
func missingKey(at string, earlier, later any, data []string) string {
	if slices.Contains(data, at) {
		return ""
	}
	switch earlier := earlier.(type) {
	case map[string]any:
		return missingKeyOfObject(at, earlier, later, data)
	case []any:
		return missingKeyOfList(at, earlier, later, data)
	}
	return ""
}

func missingKeyOfObject(at string, earlier map[string]any, later any, data []string) string {
	laterObject, isObject := later.(map[string]any)
	if !isObject {
		return at
	}
	for _, key := range slices.Sorted(maps.Keys(earlier)) { // the same answer every time
		name := key
		if at != "" {
			name = at + "." + key
		}
		value, isThere := laterObject[key]
		if !isThere {
			return name
		}
		if missing := missingKey(name, earlier[key], value, data); missing != "" {
			return missing
		}
	}
	return ""
}

func missingKeyOfList(at string, earlier []any, later any, data []string) string {
	laterList, isList := later.([]any)
	if !isList {
		return at
	}
	common := commonKeys(earlier)
	if common == nil {
		return ""
	}
	for i, value := range laterList {
		if missing := missingKey(fmt.Sprintf("%s[%d]", at, i), common, value, data); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys holds the keys that all objects of a list have, without what is inside them; nil where
// the list has anything else, or nothing.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for i, value := range list {
		object, isObject := value.(map[string]any)
		if !isObject {
			return nil
		}
		if i == 0 {
			common = map[string]any{}
			for key := range object {
				common[key] = nil
			}
		}
		for key := range common {
			if _, isThere := object[key]; !isThere {
				delete(common, key)
			}
		}
	}
	return common
}
