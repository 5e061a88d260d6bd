package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// expectProblem fails unless the error contains the path and the wanted text.
func expectProblem(t *testing.T, err error, path, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
		t.Errorf("%v, want %q in %s", err, want, path)
	}
}

const goodBudgets = `version = 1
grace = "9s"
routers = 3
[[budget]]
name = "a"
kind = "server"
per = "zone"
share = 0.2
warm = "30s"
`

const goodRelease = `version = 1
name = "x"
from = "a"
to = "b"
kind = "checked"
command = ["true", "{name}"]
`

// Valid files are read with the defaults; each problem is reported with the file and the setting.
func TestMistakesInFilesAreReported(t *testing.T) {
	t.Run("coordinator", func(t *testing.T) {
		text := "version = 1\nname = \"c1\"\ndir = \"d\"\nlisten = \"a:1\"\napi = \"a:2\"\nbeat = \"300ms\"\n"
		f, err := ParseCoordinator("c.toml", []byte(text))
		if err != nil || f.HeartbeatTimeout() != 300*time.Millisecond || f.ClockRate != 0.01 {
			t.Errorf("%+v, %v", f, err)
		}
	})
	t.Run("budgets", func(t *testing.T) {
		command, err := ParseBudgets("b.toml", []byte(goodBudgets))
		want := []rollout.Budget{{
			Name: "a", Kind: rollout.KindServer, Per: "zone", MaxOutShare: 0.2, SlowStart: 30 * time.Second,
		}}
		if err != nil || !reflect.DeepEqual(command.Budgets, want) {
			t.Errorf("%+v, %v", command, err)
		}
		if command.GracePeriod != 9*time.Second || command.ExpectedRouters != 3 {
			t.Errorf("grace %v, %d routers", command.GracePeriod, command.ExpectedRouters)
		}
	})
	secondBudget := goodBudgets[strings.Index(goodBudgets, "[["):]
	for _, mistake := range []struct{ name, text, want string }{
		{"empty", "", "version: 0 is not 1"},
		{"unknown key", "version = 1\nx = 1", "x"},
		{"grace", "version = 1\ngrace = \"1\"", "grace: \"1\" is not a duration"},
		{"no budget", "version = 1", "budget: none"},
		{"name twice", goodBudgets + secondBudget, "budget[2].name: \"a\" is used twice"},
		{"share", strings.Replace(goodBudgets, "0.2", "0", 1), "it would never let anything out"},
		{"kind", strings.Replace(goodBudgets, "server", "cat", 1), "budget[1]: kind: \"cat\""},
		{"routers", strings.Replace(goodBudgets, "= 3", "= -3", 1), "routers: -3 is not from 0 to 8192"},
		{"slow start", strings.Replace(goodBudgets, "30s", "soon", 1), "budget[1].warm: \"soon\" is not a duration"},
		{"match", strings.Replace(goodBudgets, "\"a\"", "\"a\"\nmatch = \"[\"", 1), "match: \"[\""},
	} {
		t.Run("budgets/"+mistake.name, func(t *testing.T) {
			_, err := ParseBudgets("b.toml", []byte(mistake.text))
			expectProblem(t, err, "b.toml", mistake.want)
		})
	}
	for _, mistake := range []struct{ name, text, want string }{
		{"version", "version = 2", "version: 2 is not 1"},
		{"name", "name = \"a b\"", "name: \"a b\" is not a name"},
		{"listen", "listen = \"a\"", "listen: \"a\" is not a host:port"},
		{"clock rate", "clock_rate = 0.5", "clock_rate: 0.5"},
		{"beat", "beat = \"1ms\"", "beat: \"1ms\""},
		{"snapshots", "snapshot_every = 1", "snapshot_every: 1"},
		{"log level", "log_level = \"loud\"", "log_level: \"loud\""},
		{"peers", "[peers]\n\"c 2\" = \"a\"", "peers.c 2"},
	} {
		t.Run("coordinator/"+mistake.name, func(t *testing.T) {
			_, err := ParseCoordinator("c.toml", []byte(mistake.text))
			expectProblem(t, err, "c.toml", mistake.want)
		})
	}
}

// A valid release file is read with the defaults; each problem is reported with the file and the
// setting.
func TestMistakesInReleaseFileAreReported(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		f, plan, err := ParseRelease("r.toml", []byte(goodRelease))
		want := rollout.ReleasePlan{
			Name: "x", FromVersion: "a", ToVersion: "b", FirstWave: 1, GrowthFactor: 2, BakeTime: 2 * time.Minute,
			MinRequests: 100, StepTimeout: 2 * time.Minute, LearnTime: 20 * time.Second,
		}
		if err != nil || f.FalseHaltShare != 0.001 || plan != want {
			t.Errorf("%+v, %+v, %v", f, plan, err)
		}
	})
	for _, mistake := range []struct{ name, text, want string }{
		{"empty", "", "version: 0 is not 1"},
		{"bake", goodRelease + "bake = \"x\"", "bake: \"x\" is not a duration"},
		{"floor", goodRelease + "floor = 1.5", "floor: 1.5 is not from 0 to 1"},
		{"learn", goodRelease + "learn = \"-1s\"", "learn: -1s is not from 0"},
		{"alpha", goodRelease + "alpha = 1", "alpha: 1 is not"},
		{"tries", goodRelease + "tries = 0", "tries: 0 is not"},
		{"first", goodRelease + "first = 0", "first: 0 is not"},
		{"match", goodRelease + "match = \"[\"", "match: \"[\""},
		{"same version", strings.Replace(goodRelease, "\"b\"", "\"a\"", 1), "there is nothing to do, and no way back"},
		{"kind", strings.Replace(goodRelease, "checked", "sure", 1), "kind: \"sure\" is not one of checked, harmless"},
		{"command", strings.Replace(goodRelease, "[\"true\", \"{name}\"]", "[]", 1), "command: empty"},
	} {
		t.Run(mistake.name, func(t *testing.T) {
			_, _, err := ParseRelease("r.toml", []byte(mistake.text))
			expectProblem(t, err, "r.toml", mistake.want)
		})
	}
}
