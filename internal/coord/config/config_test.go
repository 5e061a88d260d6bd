package config

import (
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Each mistake is told with file and setting; what is right is read.
func TestFiles(t *testing.T) {
	f, err := Parse("c.toml", []byte("version = 1\nname = \"c1\"\ndir = \"d\"\nlisten = \"a:1\"\napi = \"a:2\"\nbeat = \"300ms\"\n"))
	if err != nil || f.BeatTime() != 300*time.Millisecond || f.ClockRate != 0.01 {
		t.Errorf("%+v, %v", f, err)
	}
	good := "version = 1\ngrace = \"9s\"\nrouters = 3\n[[budget]]\nname = \"a\"\nkind = \"server\"\nper = \"zone\"\nshare = 0.2\nwarm = \"30s\"\n"
	set, err := ParseBudgets("b.toml", []byte(good))
	if err != nil || set.Grace != 9*time.Second || set.ExpectedRouters != 3 || len(set.Budgets) != 1 || set.Budgets[0] != (rollout.Budget{Name: "a", Kind: rollout.KindServer, Per: "zone", MaxOutShare: 0.2, SlowStart: 30 * time.Second}) {
		t.Errorf("%+v, %v", set, err)
	}
	for text, want := range map[string]string{
		"":                                        "version: 0 is not 1",
		"version = 1\nx = 1":                      "x",
		"version = 1\ngrace = \"1\"":              "grace: \"1\" is no duration",
		"version = 1":                             "budget: none",
		good + good[strings.Index(good, "[["):]:   "budget[2].name: \"a\" is there twice",
		strings.Replace(good, "0.2", "0", 1):      "it would never let anything out",
		strings.Replace(good, "server", "cat", 1): "budget[1]: kind: \"cat\"",
		strings.Replace(good, "= 3", "= -3", 1):   "routers: -3 is not from 0 to 8192",
		strings.Replace(good, "30s", "soon", 1):   "budget[1].warm: \"soon\" is no duration",
		strings.Replace(good, "\"a\"", "\"a\"\nmatch = \"[\"", 1): "match: \"[\"",
	} {
		if _, err := ParseBudgets("b.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "b.toml") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for text, want := range map[string]string{
		"version = 2":              "version: 2 is not 1",
		"name = \"a b\"":           "name: \"a b\" is no name",
		"listen = \"a\"":           "listen: \"a\" is no host:port",
		"clock_rate = 0.5":         "clock_rate: 0.5",
		"beat = \"1ms\"":           "beat: \"1ms\"",
		"snapshot_every = 1":       "snapshot_every: 1",
		"log_level = \"loud\"":     "log_level: \"loud\"",
		"[peers]\n\"c 2\" = \"a\"": "peers.c 2",
	} {
		if _, err := Parse("c.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// A release's file, and each mistake in it.
func TestReleaseFile(t *testing.T) {
	good := "version = 1\nname = \"x\"\nfrom = \"a\"\nto = \"b\"\nkind = \"checked\"\ncommand = [\"true\", \"{name}\"]\n"
	f, p, err := ParseRelease("r.toml", []byte(good))
	if err != nil || f.Alpha != 0.001 || p != (rollout.ReleasePlan{Name: "x", FromVersion: "a", ToVersion: "b", FirstWave: 1, GrowthFactor: 2, BakeTime: 2 * time.Minute, MinRequests: 100, StepTimeout: 2 * time.Minute, LearnTime: 20 * time.Second}) {
		t.Errorf("%+v, %+v, %v", f, p, err)
	}
	for text, want := range map[string]string{
		"":                       "version: 0 is not 1",
		good + "bake = \"x\"":    "bake: \"x\" is no duration",
		good + "floor = 1.5":     "floor: 1.5 is not from 0 to 1",
		good + "learn = \"-1s\"": "learn: -1s is not from 0",
		good + "alpha = 1":       "alpha: 1 is not",
		good + "tries = 0":       "tries: 0 is not",
		good + "first = 0":       "first: 0 is not",
		good + "match = \"[\"":   "match: \"[\"",
		strings.Replace(good, "\"b\"", "\"a\"", 1):               "there is nothing to do, and no way back",
		strings.Replace(good, "checked", "sure", 1):              "kind: \"sure\" is none of checked, harmless",
		strings.Replace(good, "[\"true\", \"{name}\"]", "[]", 1): "command: empty",
	} {
		if _, _, err := ParseRelease("r.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "r.toml") {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
