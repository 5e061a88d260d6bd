package largefleet

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

func buildRouter(t *testing.T) (command []string) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "dockhinge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/dockhinge").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{program, "serve"}
}

// playAndCheck plays a run, which must break no rule.
func playAndCheck(t *testing.T, params Params) {
	t.Helper()
	result, err := Play(t.Context(), params, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %s", params, result)
	if len(result.Breaches) > 0 {
		t.Errorf("%s", result.Summary())
	}
}

// Guards against answers that are lost while a router works on a list of thousands of servers.
func TestReplacementOfThousandsOfServersLosesNoAnswer(t *testing.T) {
	params := Params{Command: buildRouter(t), Seed: 1, Servers: MaxServers, BusyLoops: 3, Duration: 8 * time.Second,
		Wait: 300 * time.Millisecond, PerSecond: 100, MemoryMB: 192, Sockets: 1024}
	for slot, change := range []ListChange{ReplaceAtOnce, SucceedInPlace} {
		t.Run(string(change), func(t *testing.T) {
			t.Parallel()
			params := params
			params.Slot = slot
			params.Change = change
			playAndCheck(t, params)
		})
	}
}

// Guards against breaches of the rules when lists of many servers, restarts, signals and outages of discovery
// coincide on a part of a processor.
func TestLargeFleetsKeepTheRules(t *testing.T) {
	command := buildRouter(t)
	for slot, seed := range []uint64{3, 5} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			params := Draw(seed, 300, 1000)
			params.Command = command
			params.Slot = 2 + slot
			playAndCheck(t, params)
		})
	}
}

// Guards against runs that can't be repeated: the same seed must draw the same run.
func TestSeedDeterminesTheRun(t *testing.T) {
	for seed := range uint64(200) {
		drawn := Draw(seed, MinServers, MaxServers)
		if !reflect.DeepEqual(drawn, Draw(seed, MinServers, MaxServers)) {
			t.Fatalf("seed %d drew two runs", seed)
		}
		if drawn.Servers < MinServers || drawn.Servers > MaxServers {
			t.Errorf("seed %d drew %d servers", seed, drawn.Servers)
		}
	}
}
