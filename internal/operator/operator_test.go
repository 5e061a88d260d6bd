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

// A mistake in the file must be reported with its line and key, so that the operator finds it. If a
// misspelled key passed for an omitted one, the default would silently be used.
func TestMistakesAreReportedWithLineAndSetting(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{
			"misspelled key", "version = 1\n\n[log]\nlevle = \"info\"\n",
			"f.toml:4: log.levle: unknown key",
		},
		{
			"unknown value", "version = 1\n[log]\nlevel = \"loud\"\n",
			`f.toml:3: log.level: "loud" is not one of debug, info, warn, error`,
		},
		{
			"dotted key", "version = 1\nlog.format = \"xml\"\n",
			`f.toml:2: log.format: "xml" is not one of text, json`,
		},
		{
			"invalid duration", "version = 1\n[log]\n\nrepeat_every = \"7d\"\n",
			`f.toml:4: log.repeat_every: "7d" is not a duration from 1s to 1h`,
		},
		{
			"below its lower bound", "version = 1\n[log]\nrepeat_burst = 0\n",
			"f.toml:3: log.repeat_burst: 0 is not from 1 to 1000",
		},
		{
			"no version", "[log]\nlevel = \"info\"\n",
			"f.toml: version: 0 is not 1, the version that this program reads",
		},
		{
			"later version", "version = 2\n",
			"f.toml:1: version: 2 is not 1, the version that this program reads",
		},
		{"invalid TOML", "version = 1\nlog = {\n", "f.toml:2:"},
		{"version of another type", "version = \"1\"\n", "f.toml:1: version:"},
		{"level of another type", "version = 1\n[log]\nlevel = 3\nfurther = 1\n", "f.toml:3: log.level:"},
		{
			"above its upper bound", "version = 1\n[log]\nlevel=\"x\"\nrepeat_burst=5000\n",
			"f.toml:4: log.repeat_burst: 5000 is not from 1 to 1000",
		},
		{
			"unknown tenant source", fileWithIdentifyRule(`by = "name"`),
			`admission.identify[0]: by: "name" is not one of fact, key, network`,
		},
		{
			"key without a tenant", fileWithIdentifyRule(`by = "key"`, `prefix = "x"`),
			`identify[0]: by "key" requires prefix and tenant`,
		},
		{
			"key without a prefix", fileWithIdentifyRule(`by = "key"`, `tenant = "x"`),
			`identify[0]: by "key" requires prefix and tenant`,
		},
		{
			"invalid network", fileWithIdentifyRule(`by = "network"`, `network = "10.0.0.0/40"`, `tenant = "x"`),
			`identify[0]: by "network" requires a valid network: `,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
			}
			var problem configerror.Problem
			if !errors.As(err, &problem) {
				t.Errorf("%q: the error is not a configerror.Problem: %v", c.text, err)
			}
		})
	}
	if _, err := Parse("f.toml", make([]byte, maxFileBytes+1)); err == nil {
		t.Error("a file above the maximum size was accepted")
	}
}

// fileWithIdentifyRule returns an operator file with one rule that assigns a tenant.
func fileWithIdentifyRule(lines ...string) string {
	return "version = 1\n[[admission.identify]]\n" + strings.Join(lines, "\n") + "\n"
}

// The program must accept each operator file that is shipped as an example.
func TestShippedFilesAreValid(t *testing.T) {
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
		t.Error("found no shipped operator file")
	}
}

// Operators write their files from docs/configuration.md, so each key must have a row there with
// its default, and each row must be a key.
func TestDocumentedKeysMatchProgram(t *testing.T) {
	text, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "## The operator file")
	section, _, _ = strings.Cut(section, "\n## ")
	row := regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| `([^`]+)` \\|") // key, values, default
	rows := map[string]string{}
	for _, match := range row.FindAllStringSubmatch(section, -1) {
		rows[match[1]] = match[2]
	}
	var keys func(prefix string, v reflect.Value)
	keys = func(prefix string, v reflect.Value) {
		for i := range v.NumField() {
			name := prefix + v.Type().Field(i).Tag.Get("toml")
			field := v.Field(i)
			switch {
			case field.Kind() == reflect.Struct:
				keys(name+".", field)
			case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
				if !strings.Contains(section, "`[["+name+"]]`") {
					t.Errorf("[[%s]]: not in docs/configuration.md", name)
				}
			default:
				if got, ok := rows[name]; !ok || got != strings.TrimSpace(defaultText(field)) {
					t.Errorf("%s: default is %q in docs/configuration.md, %v in the program", name, got, field)
				}
				delete(rows, name)
			}
		}
	}
	keys("", reflect.ValueOf(Default()))
	for name := range rows {
		t.Errorf("%s: in docs/configuration.md, but not a key", name)
	}
}

// defaultText returns a default in the form used in docs/configuration.md.
func defaultText(v reflect.Value) string {
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
