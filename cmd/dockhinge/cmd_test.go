package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	good, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	edit := func(old, with string) string {
		if !strings.Contains(string(good), old) {
			t.Fatalf("no %s to change", old)
		}
		return strings.Replace(string(good), old, with, 1)
	}
	for _, c := range []struct {
		name, text string
		want       []string // "" = no mistake
	}{
		{"good.json", string(good), nil},
		{"good.toml", "version = 1\n", nil},
		{"cut.json", string(good[:300]), []string{"cut.json:4: unexpected end"}},
		{"type.json", edit(`"memory_mb": 192`, `"memory_mb": "x"`), []string{"type.json:2: limits.memory_mb: "}},
		{"two.json", strings.Replace(edit(`"memory_mb": 192`, `"memory_mb": 1`), `"maxAttempts": 4, `, "", 1), []string{
			"two.json:2: limits.memory_mb: 1 is missing or under 16", "two.json:9: settings.caps.maxAttempts: missing"}},
		{"class.json", edit(`"hardLimit": 2000`, `"hardLimit": -1`), []string{"class.json:7: settings.categories[0].hardLimit: impossible value -1"}},
		{"rule.json", edit(`"overloadFactor": 3`, `"overloadFactor": 0`), []string{"rule.json:10: settings.rules.overloadFactor: impossible value 0"}},
		{"addr.json", edit(`"127.0.0.1:9"`, `"nowhere"`), []string{`addr.json:1: discovery: "nowhere" is no host:port`}},
		{"bad.toml", "version = 1\nfurther = 2\n", []string{"bad.toml:2: further: unknown key"}},
		{"gone.json", "", []string{"gone.json"}},
	} {
		var said bytes.Buffer
		if err := run(nil, []string{"check", file(c.name, c.text)}, &said, &said); (err == nil) != (c.want == nil) {
			t.Errorf("%s: %v\n%s", c.name, err, &said)
		}
		for _, w := range c.want {
			if !strings.Contains(said.String(), w) {
				t.Errorf("%s:\n got %s\nwant %s", c.name, &said, w)
			}
		}
	}
}

func TestCommandLine(t *testing.T) {
	for args, want := range map[string]string{
		"version": "handover 1", "completion bash": "serve check tenants version completion", "completion zsh": "bashcompinit",
		"completion fish": "-l operator", "serve --help": "--operator", "--help": "dockhinge check FILE...", "help": "version",
	} {
		var said bytes.Buffer
		if err := run(nil, strings.Fields(args), &said, &said); err != nil || !strings.Contains(said.String(), want) {
			t.Errorf("%s: %v\n%s", args, err, &said)
		}
	}
	for args, want := range map[string]string{
		"swerve": `"swerve" is no sub-command`, "check": "check: FILE...: missing", "version 3": `"3" is one`,
		"serve --oprator x": "unknown flag", "completion tcsh": "none of bash, zsh, fish", "serve --operator /nowhere.toml": "operator file:",
	} {
		if err := run(nil, strings.Fields(args), &bytes.Buffer{}, &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", args, err)
		}
	}
}
