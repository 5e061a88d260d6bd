package settings

import (
	"encoding/json"
	"strings"
	"testing"
)

const completeSettings = `{
 "balancers":2,"myNumber":1,"zone":"a","kinds":["box","origin"],"familyInfo":{"mode":"aside","originKind":1},
 "categories":[{"name":"read","effect":"repeatable","target":500,"hardLimit":2000,"gain":1},
  {"name":"put","effect":"by_key","keyScope":"all","window":2000,"target":500,"hardLimit":2000,"gain":1}],
 "caps":{"maxAttempts":3,"connectTimeout":250},
 "rules":{"cold":8000,"coldFrom":0.3,"overloadFactor":3,"overloadFor":2000}}`

// A settings object that has only the required keys is accepted.
func TestRequiredKeysSuffice(t *testing.T) {
	s, err := Parse([]byte(completeSettings))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Config.Validate(); err != nil {
		t.Error(err)
	}
	c := s.Config
	if len(c.Classes) != 2 || c.MaxAttempts != 3 || c.OriginKind != "origin" || s.ConnectTimeoutMillis != 250 {
		t.Errorf("got %+v", s)
	}
}

// A settings object lacks a key or has an invalid value. Parse or Validate must return an error
// that names the setting, as a zero used in its place might be a valid value.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for _, c := range []struct{ from, to, names string }{
		{`"maxAttempts":3,`, ``, "caps.maxAttempts"},
		{`"maxAttempts":3`, `"maxAttempts":null`, "caps.maxAttempts"},
		{`"maxAttempts":3`, `"maxAttempts":"three"`, "maxAttempts"},
		{`"maxAttempts":3`, `"maxAttempts":2.5`, "maxAttempts"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "MaxAttempts"},
		{`"maxAttempts":3`, `"maxAttempts":-1`, "MaxAttempts"},
		{`"hardLimit":2000`, `"hardLimit":0`, "Deadline"},
		{`"hardLimit":2000`, `"hardLimit":-5`, "Deadline"},
		{`"hardLimit":2000`, `"hardLimit":"soon"`, "hardLimit"},
		{`"hardLimit":2000,`, ``, "hardLimit"},
		{`"hardLimit":2000`, `"hardLimit":null`, "hardLimit"},
		{`"gain":1}]`, `"x":1}]`, "gain"},
		{`"window":2000,`, ``, "window"},
		{`"effect":"repeatable"`, `"effect":"sometimes"`, "effect"},
		{`"name":"put"`, `"name":"read"`, "categories[1].name"},
		{`"cold":8000,`, ``, "rules.cold"},
		{`"categories"`, `"classes"`, "categories"},
	} {
		t.Run(c.to+" for "+c.from, func(t *testing.T) {
			text := strings.Replace(completeSettings, c.from, c.to, 1)
			if text == completeSettings {
				t.Fatalf("%s: not found in the settings", c.from)
			}
			s, err := Parse([]byte(text))
			if err == nil {
				err = s.Config.Validate()
			}
			if err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(c.names)) {
				t.Errorf("got error %v", err)
			}
		})
	}
	for cut := range len(completeSettings) {
		if _, err := Parse([]byte(completeSettings[:cut])); err == nil {
			t.Errorf("settings cut off after %d bytes were accepted", cut)
		}
	}
}

// The later version of an object must have every key of the earlier one, except inside the keys at
// the exempt paths.
func TestMissingKeyFindsLostKeys(t *testing.T) {
	earlier := `{"a":{"b":1,"c":[{"x":1,"y":2},{"x":1}]},"d":{"e":1},"f":[1,2]}`
	for later, want := range map[string]string{
		earlier: "",
		`{"a":{"b":2,"c":[]},"d":{"e":1},"f":[]}`:           "",
		`{"a":{"b":2,"c":[{"x":1}],"new":1},"d":{},"f":[]}`: "", // the contents of d may differ
		`{"a":{"c":[]},"d":{},"f":[]}`:                      "a.b",
		`{"a":{"b":1,"c":[{"x":1},{"y":1}]},"d":{},"f":[]}`: "a.c[1].x",
		`{"a":1,"d":{},"f":[]}`:                             "a",
		`{"a":{"b":1,"c":[]},"f":[]}`:                       "d",
	} {
		if got, err := MissingKey([]byte(earlier), []byte(later), "d"); err != nil || got != want {
			t.Errorf("%s: got %q, %v, want %q", later, got, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(completeSettings))
	f.Add([]byte(`{"categories":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err == nil && !json.Valid(text) {
			t.Errorf("accepted, but is not valid JSON: %q", text)
		}
		if err == nil && s.Config.Validate() == nil && len(s.Config.Classes) == 0 {
			t.Error("no classes")
		}
	})
}

// Each invalid value must be reported with the platform's key: an operator can't find the name of a
// Go field in the file.
func TestInvalidValuesAreReportedWithPlatformKeys(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{`"balancers":2`, `"balancers":0`, "balancers"},
		{`"myNumber":1`, `"myNumber":2`, "myNumber"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "caps.maxAttempts"},
		{`"cold":8000`, `"cold":-1`, "rules.cold"},
		{`"coldFrom":0.3`, `"coldFrom":2`, "rules.coldFrom"},
		{`"overloadFactor":3`, `"overloadFactor":0`, "rules.overloadFactor"},
		{`"overloadFor":2000`, `"overloadFor":-1`, "rules.overloadFor"},
		{`"target":500,"hardLimit":2000,"gain":1},`, `"target":0,"hardLimit":2000,"gain":1},`, "categories[0].target"},
		{`"hardLimit":2000`, `"hardLimit":0`, "categories[0].hardLimit"},
		{`"gain":1}]`, `"gain":-1}]`, "categories[1].gain"},
		{`"window":2000`, `"window":-1`, "categories[1].window"},
		{`"caps":{`, `"caps":{"connIdle":-1,`, "caps.connIdle"},
		{`"caps":{`, `"caps":{"cpuUsPerS":-1,`, "caps.cpuUsPerS"},
		{`"zone":"a"`, `"zone":"a","overShareWorth":-1`, "overShareWorth"},
		{`"zone":"a"`, `"zone":"a","projects":[{"name":"tax","quotaPerS":-1}]`, "projects[0].quotaPerS"},
	} {
		t.Run(c.key, func(t *testing.T) {
			text := strings.Replace(completeSettings, c.from, c.to, 1)
			problems := Problems([]byte(text))
			if len(problems) != 1 || !strings.HasPrefix(problems[0].Error(), "settings: "+c.key+": impossible value ") {
				t.Errorf("got %v", problems)
			}
		})
	}
}
