package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// MissingKey returns the path of the first key of the JSON object earlier that the object later
// lacks, for example "limits.memory_mb", or "" if there is none. Each object in a list of later
// must have the keys that all objects in the list of earlier have in common. The contents of the
// keys at exemptPaths may differ in any way.
func MissingKey(earlier, later []byte, exemptPaths ...string) (string, error) {
	var earlierValue, laterValue any
	if err := json.Unmarshal(earlier, &earlierValue); err != nil {
		return "", err
	}
	if err := json.Unmarshal(later, &laterValue); err != nil {
		return "", err
	}
	return missingKey("", earlierValue, laterValue, exemptPaths), nil
}

// missingKey compares the two values at path.
func missingKey(path string, earlier, later any, exemptPaths []string) string {
	if slices.Contains(exemptPaths, path) {
		return ""
	}
	switch earlier := earlier.(type) {
	case map[string]any:
		return missingKeyOfObject(path, earlier, later, exemptPaths)
	case []any:
		return missingKeyOfList(path, earlier, later, exemptPaths)
	}
	return ""
}

func missingKeyOfObject(path string, earlier map[string]any, later any, exemptPaths []string) string {
	laterObject, isObject := later.(map[string]any)
	if !isObject {
		return path
	}
	for _, key := range slices.Sorted(maps.Keys(earlier)) { // a deterministic order
		name := key
		if path != "" {
			name = path + "." + key
		}
		value, isPresent := laterObject[key]
		if !isPresent {
			return name
		}
		if missing := missingKey(name, earlier[key], value, exemptPaths); missing != "" {
			return missing
		}
	}
	return ""
}

func missingKeyOfList(path string, earlier []any, later any, exemptPaths []string) string {
	laterList, isList := later.([]any)
	if !isList {
		return path
	}
	common := commonKeys(earlier)
	if common == nil {
		return ""
	}
	for i, value := range laterList {
		if missing := missingKey(fmt.Sprintf("%s[%d]", path, i), common, value, exemptPaths); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have in common, without their contents. It
// returns nil if the list is empty or has an element that is not an object.
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
			if _, isPresent := object[key]; !isPresent {
				delete(common, key)
			}
		}
	}
	return common
}
