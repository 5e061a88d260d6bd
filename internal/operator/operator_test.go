package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"dockhinge.example/dockhinge/internal/configerror"
)

func TestMistakesNameLineAndSetting(t *testing.T) {
	for text, want := range map[string]string{
		"version = 1\n\n[log]\nlevle = \"info\"\n":             "f.toml:4: log.levle: unknown key",
		"version = 1\n[log]\nlevel = \"loud\"\n":               `f.toml:3: log.level: "loud" is none of debug, info, warn, error`,
		"version = 1\nlog.format = \"xml\"\n":                  `f.toml:2: log.format: "xml" is none of text, json`,
		"version = 1\n[log]\n\nrepeat_every = \"7d\"\n":        `f.toml:4: log.repeat_every: "7d" is no duration from 1s to 1h`,
		"version = 1\n[log]\nrepeat_burst = 0\n":               "f.toml:3: log.repeat_burst: 0 is not from 1 to 1000",
		"[log]\nlevel = \"info\"\n":                            "f.toml: version: 0 is not 1, the version that this program reads",
		"version = 2\n":                                        "f.toml:1: version: 2 is not 1, the version that this program reads",
		"version = 1\nlog = {\n":                               "f.toml:2:",
		"version = \"1\"\n":                                    "f.toml:1: version:",
		"version = 1\n[log]\nlevel = 3\nfurther = 1\n":         "f.toml:3: log.level:",
		"version = 1\n[log]\nlevel=\"x\"\nrepeat_burst=5000\n": "f.toml:4: log.repeat_burst: 5000 is not from 1 to 1000",
	} {
		_, err := Parse("f.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q:\n got %v\nwant %s", text, err, want)
		}
		var p configerror.Problem
		if !errors.As(err, &p) {
			t.Errorf("%q: no problem with a place: %v", text, err)
		}
	}
	if _, err := Parse("f.toml", make([]byte, maxFileBytes+1)); err == nil {
		t.Error("a file over the bound passes")
	}
}

func TestShippedFilesPass(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	read := 0
	for _, f := range files {
		if filepath.Base(f) == "balancer.toml" {
			continue
		}
		read++
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
	if read == 0 {
		t.Error("no operator file is shipped")
	}
}

// Each key has a row in the page with its default, and each row is a key.
func TestPageAndStructAgree(t *testing.T) {
	text, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "## The operator file")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| `([^`]+)` \\|").FindAllStringSubmatch(section, -1) {
		rows[m[1]] = m[2]
	}
	var keys func(prefix string, v reflect.Value)
	keys = func(prefix string, v reflect.Value) {
		for i := range v.NumField() {
			name := prefix + v.Type().Field(i).Tag.Get("toml")
			if f := v.Field(i); f.Kind() == reflect.Struct {
				keys(name+".", f)
			} else if f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct {
				if !strings.Contains(section, "`[["+strings.TrimSuffix(name, ".")+"]]`") {
					t.Errorf("[[%s]]: not on the page", name)
				}
			} else {
				if got, ok := rows[name]; !ok || got != strings.TrimSpace(reflectText(f)) {
					t.Errorf("%s: the page says %q, the program %v", name, got, f)
				}
				delete(rows, name)
			}
		}
	}
	keys("", reflect.ValueOf(Default()))
	for name := range rows {
		t.Errorf("%s: on the page, and no key", name)
	}
}

func reflectText(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return strconv.Quote(v.String())
	}
	return fmt.Sprint(v.Interface())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("version = 1\n[log]\nlevel = \"info\"\n"))
	f.Add([]byte("version = 1\nlog = { level = \"x\" }\n[[a]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Parse("f", text)
		if (err == nil) != (got.Version == Version) {
			t.Errorf("version %d with error %v", got.Version, err)
		}
	})
}
