package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An operator checks files before a reload. Each mistake must be reported with its line and
// setting, and the error must be set only if there is a mistake.
func TestCheckReportsMistakes(t *testing.T) {
	dir := t.TempDir()
	good, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	edited := func(old, with string) string {
		if !strings.Contains(string(good), old) {
			t.Fatalf("%s: not found in the configuration", old)
		}
		return strings.Replace(string(good), old, with, 1)
	}
	for _, c := range []struct {
		name, text string
		want       []string // nil = no mistakes
	}{
		{"good.json", string(good), nil},
		{"good.toml", "version = 1\n", nil},
		{"cut.json", string(good[:300]), []string{"cut.json:4: unexpected end"}},
		{"type.json", edited(`"memory_mb": 192`, `"memory_mb": "x"`), []string{"type.json:2: limits.memory_mb: "}},
		{
			"two.json",
			strings.Replace(edited(`"memory_mb": 192`, `"memory_mb": 1`), `"maxAttempts": 4, `, "", 1),
			[]string{
				"two.json:2: limits.memory_mb: 1 is missing or below the minimum of 16",
				"two.json:9: settings.caps.maxAttempts: missing",
			},
		},
		{
			"class.json",
			edited(`"hardLimit": 2000`, `"hardLimit": -1`),
			[]string{"class.json:7: settings.categories[0].hardLimit: impossible value -1"},
		},
		{
			"rule.json",
			edited(`"overloadFactor": 3`, `"overloadFactor": 0`),
			[]string{"rule.json:10: settings.rules.overloadFactor: impossible value 0"},
		},
		{
			"addr.json",
			edited(`"127.0.0.1:9"`, `"nowhere"`),
			[]string{`addr.json:1: discovery: "nowhere" is not a host:port`},
		},
		{"bad.toml", "version = 1\nfurther = 2\n", []string{"bad.toml:2: further: unknown key"}},
		{"gone.json", "", []string{"gone.json"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(dir, c.name)
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := run(nil, []string{"check", path}, &out, &out); (err == nil) != (c.want == nil) {
				t.Errorf("%v\n%s", err, &out)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("\n got %s\nwant %s", &out, want)
				}
			}
		})
	}
}

// A valid command line must print its result; for an invalid one the error must name the problem.
func TestCommandLine(t *testing.T) {
	for args, want := range map[string]string{
		"version":         "handover 1",
		"completion bash": "serve check tenants version completion",
		"completion zsh":  "bashcompinit",
		"completion fish": "-l operator",
		"serve --help":    "--operator",
		"--help":          "dockhinge check FILE...",
		"help":            "version",
	} {
		t.Run(args, func(t *testing.T) {
			var out bytes.Buffer
			err := run(nil, strings.Fields(args), &out, &out)
			if err != nil || !strings.Contains(out.String(), want) {
				t.Errorf("%v\n%s", err, &out)
			}
		})
	}
	for args, want := range map[string]string{
		"swerve":                         `unknown sub-command "swerve"`,
		"check":                          "check: FILE...: missing",
		"version 3":                      `takes no arguments, got "3"`,
		"serve --oprator x":              "unknown flag",
		"completion tcsh":                "not one of bash, zsh, fish",
		"serve --operator /nowhere.toml": "operator file:",
	} {
		t.Run(args, func(t *testing.T) {
			err := run(nil, strings.Fields(args), &bytes.Buffer{}, &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v", err)
			}
		})
	}
}
