package regression

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func programNames(due []Program) (all []string) {
	for _, p := range due {
		all = append(all, p.Name)
	}
	return all
}

func TestPlanPicksProgramsForChangedFiles(t *testing.T) {
	for _, c := range []struct {
		changed string
		want    string
	}{
		{"decide/decide.go", "simulator brink mass operators fleet"},
		{"internal/router/loop.go", "brink mass operators earlier"},
		{"internal/simulator/wire.go", "simulator brink mass operators fleet"},
		{"decide/rules_test.go", ""},
		{"lab/simulation/virtual.go", ""},
		{"docs/regression.md", ""},
		{"go.mod", "brink mass operators"},
		{"deploy/sites/other.toml", ""},
	} {
		if got := strings.Join(programNames(Plan([]string{"README.md", c.changed}, Options{})), " "); got != c.want {
			t.Errorf("a change of %s requires %q, want %q", c.changed, got, c.want)
		}
	}
	full := Plan([]string{"decide/decide.go"}, Options{Full: true})
	if i := slices.IndexFunc(full, func(p Program) bool { return p.Name == "mass" }); slices.Contains(
		full[i].Command("kit", "site", "why"), "--quick") {
		t.Error("a full run is quick")
	}
}

// Other deployments get the quick regression test and the brink days even if the first one gets the
// full test.
func TestOtherDeploymentsArePlayedToo(t *testing.T) {
	var got []string
	for _, p := range Plan([]string{"internal/router/loop.go"}, Options{
		Full: true, Seed: 7, Others: []string{"b.toml", "c.toml"}})[:6] {
		got = append(got, strings.Join(p.Command("kit", "a.toml", "why")[2:], " "))
	}
	want := []string{"a.toml --panel brink --seed 7 --why why", "b.toml --panel brink --seed 7 --why why",
		"c.toml --panel brink --seed 7 --why why",
		"a.toml --why why", "b.toml --quick --why why", "c.toml --quick --why why"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
}

// On brink panels only a broken rule fails a version, not a lower score.
func TestBrinkPanelsFailOnlyByBrokenRules(t *testing.T) {
	dir := t.TempDir()
	writeRun(t, dir, "1", 1, "roll+brink+mass-1", 0.70, "")
	writeRun(t, dir, "2", 12, "roll+brink+mass-1", 0.50, "")
	writeRun(t, dir, "3", 13, "calm+brink+mass-1", 0.50, `,{"name":"b","score":0,"rules":{"drain":2},"fault":null}`)
	runs, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	all := CompareRuns(runs, time.Date(2026, 12, 1, 10, 5, 0, 0, time.UTC))
	if len(all) != 2 || all[0].HasFailed() || !all[1].HasFailed() {
		t.Errorf("got %+v", all)
	}
}

// writeRun writes a scored run into the journal in dir; more is JSON of further days.
func writeRun(t *testing.T, dir, id string, at int, panel string, figure float64, more string) {
	t.Helper()
	text := fmt.Sprintf(`{"id":%q,"at":["2026-12-01T10:%02d:00Z","2026-12-01T10:%02d:30Z"],`+
		`"cmd":"real-score","panel":%q,"ok":true,"score":null,
		"figures":{"real_score":%g,"gate":1},"days":[{"name":"a","score":%g,"rules":{"lost":0},"fault":null}%s]}`,
		id, at, at, panel, figure, figure, more)
	if err := os.WriteFile(filepath.Join(dir, id+".json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestVerdictsCompareRunsOfTheSameDays(t *testing.T) {
	dir := t.TempDir()
	writeRun(t, dir, "1", 1, "mass", 0.70, "")
	writeRun(t, dir, "2", 2, "fleet", 0.90, "")
	writeRun(t, dir, "3", 10, "mass", 0.50, "") // of this change, but not its newest run
	writeRun(t, dir, "4", 11, "mass", 0.66, "")
	writeRun(t, dir, "5", 12, "fleet", 0.88, "")
	writeRun(t, dir, "6", 13, "soak", 0.9, `,{"name":"b","score":0,"rules":{"drain":2},"fault":"crashed"}`)
	if err := os.WriteFile(filepath.Join(dir, "incident.json"),
		[]byte(`{"id":"7","at":["2026-12-01T10:20:00Z",""],"cmd":"real"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	runs, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]Verdict{}
	for _, v := range CompareRuns(runs, time.Date(2026, 12, 1, 10, 5, 0, 0, time.UTC)) {
		got[v.Panel] = v
	}
	if v := got["mass"]; v.ID != "4" || v.Before.ID != "1" || len(v.Decreases) != 2 || !v.HasFailed() {
		t.Errorf("mass: %+v", v)
	}
	if v := got["fleet"]; v.HasFailed() || v.Before.ID != "2" {
		t.Errorf("fleet: a fall of 0.02 is noise: %+v", v)
	}
	if v := got["soak"]; v.Before != nil || len(v.Broken) != 2 {
		t.Errorf("soak: %+v", v)
	}
}

func TestUnreadableJournalIsReported(t *testing.T) {
	dir := t.TempDir()
	if _, err := Read(dir); err == nil {
		t.Error("an empty journal was read without an error")
	}
	path := filepath.Join(dir, "x.json")
	if err := os.WriteFile(path, []byte(`{"id":`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("cut short: %v", err)
	}
	if err := os.Truncate(path, maxEntryBytes+1); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("too large: %v", err)
	}
}
