package config

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// expectStoredForm compares the JSON form of a value with the one that an earlier version of the
// program wrote for the same file.
func expectStoredForm(t *testing.T, value any, name string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(value, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(got, '\n'), want) {
		t.Errorf("%s:\n%s\nwant:\n%s", name, got, want)
	}
}

// Operators keep their files across upgrades. A budgets file with every key must give the command
// that an earlier version sent to the coordinators.
func TestBudgetsFileOfEarlierProgram(t *testing.T) {
	command, err := LoadBudgets("testdata/budgets.toml")
	if err != nil {
		t.Fatal(err)
	}
	expectStoredForm(t, command, "budgets.command.json")
}

// A release file with every key must give the plan that an earlier version sent, and the same
// settings of the release driver.
func TestReleaseFileOfEarlierProgram(t *testing.T) {
	file, plan, err := LoadRelease("testdata/release.toml")
	if err != nil {
		t.Fatal(err)
	}
	expectStoredForm(t, plan, "release.plan.json")
	want := Release{
		Version: 1, Name: "7.2", Match: "r*", FromVersion: "a", ToVersion: "b", FirstWave: 2, GrowthFactor: 1.5,
		BakeTime: "3m", MinRequests: 250, StepTimeout: "90s", LearnTime: "15s",
		FalseHaltShare: 0.002, MinServedShare: 0.75, RerunKind: "harmless", MaxAttempts: 3,
		Command: []string{"deploy", "{name}", "{to}", "{from}"},
	}
	if !reflect.DeepEqual(file, want) {
		t.Errorf("%+v, want %+v", file, want)
	}
}

// A coordinator's file with every key must be read as an earlier version read it.
func TestCoordinatorFileOfEarlierProgram(t *testing.T) {
	file, err := LoadCoordinator("testdata/coordinator.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := Coordinator{
		Version: 1, Name: "c1", Dir: "data/c1",
		Listen: "127.0.0.1:7001", API: "127.0.0.1:7002", MetricsAddress: "127.0.0.1:7003",
		ClockRate: 0.02, SnapshotEvery: 1024, Heartbeat: "300ms", LogLevel: "warn", LogJSON: true,
		Peers: map[string]string{"c2": "127.0.0.1:7011", "c3": "127.0.0.1:7021"},
	}
	if !reflect.DeepEqual(file, want) {
		t.Errorf("%+v, want %+v", file, want)
	}
	if file.HeartbeatTimeout() != 300*time.Millisecond {
		t.Errorf("beat %v", file.HeartbeatTimeout())
	}
}

// An observer's file with every key must be read as an earlier version read it.
func TestObserverFileOfEarlierProgram(t *testing.T) {
	file, err := LoadObserver("testdata/observer.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := Observer{
		Version: 1, Name: "o1", API: "127.0.0.1:7102",
		Coordinators: map[string]string{"c1": "127.0.0.1:7002", "c2": "127.0.0.1:7012"},
		MaxWatchers:  512, JoinsPerSecond: 50.5, WatcherBytesPerSecond: 32768, LogLevel: "debug", LogJSON: true,
	}
	if !reflect.DeepEqual(file, want) {
		t.Errorf("%+v, want %+v", file, want)
	}
}
