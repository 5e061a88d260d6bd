package settings

import (
	"encoding/json"
	"strings"
	"testing"
)

const whole = `{"balancers":2,"myNumber":1,"zone":"a","kinds":["box","origin"],"familyInfo":{"mode":"aside","originKind":1},
 "categories":[{"name":"read","effect":"repeatable","target":500,"hardLimit":2000,"gain":1},
  {"name":"put","effect":"by_key","keyScope":"all","window":2000,"target":500,"hardLimit":2000,"gain":1}],
 "caps":{"maxAttempts":3,"connectTimeout":250},"rules":{"cold":8000,"coldFrom":0.3,"overloadFactor":3,"overloadFor":2000}}`

func TestWholeSettings(t *testing.T) {
	s, err := Parse([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Config.Validate(); err != nil {
		t.Error(err)
	}
	if got := s.Config; len(got.Classes) != 2 || got.MaxAttempts != 3 || got.OriginKind != "origin" || s.ConnectTimeoutMillis != 250 {
		t.Errorf("got %+v", s)
	}
}

// Each of these must be found before anything of the file is used, and the error names the setting.
func TestBadSettingsAreNamed(t *testing.T) {
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
		text := strings.Replace(whole, c.from, c.to, 1)
		if text == whole {
			t.Fatalf("%s: not there", c.from)
		}
		s, err := Parse([]byte(text))
		if err == nil {
			err = s.Config.Validate()
		}
		if err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(c.names)) {
			t.Errorf("%s for %s: got %v", c.to, c.from, err)
		}
	}
	for cut := range len(whole) {
		if _, err := Parse([]byte(whole[:cut])); err == nil {
			t.Errorf("cut at %d: no error", cut)
		}
	}
}

func TestLostKeys(t *testing.T) {
	was := `{"a":{"b":1,"c":[{"x":1,"y":2},{"x":1}]},"d":{"e":1},"f":[1,2]}`
	for is, want := range map[string]string{
		was: "",
		`{"a":{"b":2,"c":[]},"d":{"e":1},"f":[]}`:           "",
		`{"a":{"b":2,"c":[{"x":1}],"new":1},"d":{},"f":[]}`: "", // inside d anything may differ
		`{"a":{"c":[]},"d":{},"f":[]}`:                      "a.b",
		`{"a":{"b":1,"c":[{"x":1},{"y":1}]},"d":{},"f":[]}`: "a.c[1].x",
		`{"a":1,"d":{},"f":[]}`:                             "a",
		`{"a":{"b":1,"c":[]},"f":[]}`:                       "d",
	} {
		if got, err := MissingKey([]byte(was), []byte(is), "d"); err != nil || got != want {
			t.Errorf("%s: got %q, %v, want %q", is, got, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte(`{"categories":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err == nil && !json.Valid(text) {
			t.Errorf("taken, and no JSON: %q", text)
		}
		if err == nil && s.Config.Validate() == nil && len(s.Config.Classes) == 0 {
			t.Error("no classes")
		}
	})
}
