package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/fleet"
	"dockhinge.example/dockhinge/lab/load"
)

func TestPageFetchesNothing(t *testing.T) {
	r := fleet.Result{Scenario: "crash <b>", Load: load.Result{
		Seconds: []load.Second{{Asked: 5, Served: 4, Worth: 5, Gained: 3, P50MS: 9, P99MS: 20}, {Asked: 3}},
		Classes: map[string]load.ClassResult{"read": {Asked: 5}}},
		AttemptsBySecond: []int{6, 3}, Marks: []fleet.Mark{{AtS: 1, Text: "crash of <s1>"}},
		Samples: []fleet.Sample{
			{AtS: 0.5, Routers: map[string]fleet.Usage{"r0": {RSSMB: 9}}, Held: map[string]int{"s1": 3}},
			{AtS: 1, Routers: map[string]fleet.Usage{"r0": {RSSMB: 10, FDs: 7, CPUMS: 100}},
				Held: map[string]int{"s1": 4}}},
		Breaches: []checker.Violation{{Rule: "copies", At: 3, Text: "two out"}}, Failures: []string{"1 breaches"},
		Changes: []fleet.Change{{
			Resource: "server/s1", RequestedAtMS: 1000, StoppedAtMS: 2000, RunningAtMS: 3500, ToolRuns: 7}}}
	path := filepath.Join(t.TempDir(), "x.html")
	if err := Write(path, []fleet.Result{r}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	if strings.Count(page, "<svg") != 8 ||
		!strings.Contains(page, "crash of &lt;s1&gt;") || !strings.Contains(page, "copies: two out") {
		t.Errorf("want 8 plots, the mark and the breach; the page has %d plots", strings.Count(page, "<svg"))
	}
	if row := "<td>server/s1</td><td>1.0</td><td>2.0</td><td>3.5</td><td>7</td>"; !strings.Contains(page, row) {
		t.Errorf("the page lacks the planned change %s", row)
	}
	for _, from := range []string{"src=", "<script", "<link", "@import", "url("} {
		if strings.Contains(page, from) {
			t.Errorf("the page refers to an external resource: %s", from)
		}
	}
	text, err = os.ReadFile(strings.TrimSuffix(path, ".html") + ".json")
	if err != nil {
		t.Fatal(err)
	}
	var back []fleet.Result
	if err := json.Unmarshal(text, &back); err != nil || len(back) != 1 || back[0].Samples[1].Routers["r0"].FDs != 7 {
		t.Errorf("%v", err)
	}
}

func TestCompareUsesDifferencesWithinPairs(t *testing.T) {
	run := func(service, attempts float64) fleet.Result {
		return fleet.Result{Service: service, AttemptsPerRequest: attempts}
	}
	var a, b []fleet.Result
	for i := range 6 { // B is better by 0.1 in each pair, though the pairs differ by far more
		x := float64(i) / 10
		a, b = append(a, run(x, x)), append(b, run(x+0.1+float64(i%2)/1000, x+float64(i%2)-0.5))
	}
	got := map[string]Difference{}
	for _, d := range Compare(a, b) {
		got[d.Name] = d
	}
	if d := got["service"]; !d.Conclusive || d.Low < 0.09 || d.High > 0.11 {
		t.Errorf("service: %+v", d)
	}
	if d := got["attempts a request"]; d.Conclusive {
		t.Errorf("noise is reported as a difference: %+v", d)
	}
	if one := Compare(a[:1], b[:1]); one[0].Conclusive {
		t.Errorf("conclusive after a single pair: %+v", one[0])
	}
}

func TestTableShowsOverstatedTimeoutHints(t *testing.T) {
	var text strings.Builder
	Table(&text, fleet.Result{
		TimeoutHints: checker.TimeoutHintCounts{First: 40, FirstOverstated: 3, Further: 20, FurtherOverstated: 1}})
	if !strings.Contains(text.String(), "3 of 40 first ones, 1 of 20 further ones") {
		t.Error(text.String())
	}
}
