package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

func shippedModel(t *testing.T) (*Model, []scalingfit.Line) {
	t.Helper()
	sizes, err := ShippedSizes()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	lines, err := scalingfit.Read(text)
	if err != nil {
		t.Fatal(err)
	}
	return NewModel(sizes, lines), lines
}

// docs/CAPACITY.md is what the tool writes from the shipped sizes and slopes.
func TestPageMatchesShippedSizesAndSlopes(t *testing.T) {
	m, lines := shippedModel(t)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	filled, err := FillPage(page, m, lines)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(page, filled) {
		t.Error("docs/CAPACITY.md is out of date; update it with 'dockhinge-lab capacity --page docs/CAPACITY.md'")
	}
}

// A page that lacks a marker is rejected.
func TestPageWithoutMarkersIsRejected(t *testing.T) {
	if _, err := FillPage([]byte("# Capacity\n"+beginMarker), &Model{}, nil); err == nil {
		t.Error("a page without the end marker was filled")
	}
}

// line returns a line through the origin, measured up to a size.
func line(name string, perRouter, to float64) scalingfit.Line {
	return scalingfit.Line{Name: name, Unit: "cores", SizeUnit: "router", Slope: perRouter, MinSize: 1, MaxSize: to, R2: 1}
}

// A row over its budget is red, a row without a line is not measured, and doubling the size doubles a
// figure.
func TestRowStateFollowsValueAndBudget(t *testing.T) {
	sizes, err := ShippedSizes()
	if err != nil {
		t.Fatal(err)
	}
	budget := func(*Model) float64 { return 1 }
	row := Row{Figure: func(m *Model) Figure { return m.at("x", m.Routers) }, Budget: budget}
	if s := row.State(NewModel(sizes, nil)); s != NotMeasured {
		t.Errorf("without a line: %s", s)
	}
	m := NewModel(sizes, []scalingfit.Line{line("x", 0.8/sizes.Routers, sizes.Routers)})
	if s := row.State(m); s != WithinBudget {
		t.Errorf("below the budget: %s", s)
	}
	if text := row.doubledText(m); !strings.HasPrefix(text, "**RED** 1.6") {
		t.Errorf("at twice the size: %s", text)
	}
	if text := row.marginText(m); text != "20%" {
		t.Errorf("margin: %s", text)
	}
	m = NewModel(sizes, []scalingfit.Line{line("x", 1.5/sizes.Routers, sizes.Routers/2)})
	if s := row.State(m); s != OverBudget {
		t.Errorf("over the budget: %s", s)
	}
	if text := row.Figure(m).sourceText(); !strings.Contains(text, "2 times beyond") {
		t.Errorf("beyond the range: %s", text)
	}
	row.Budget = nil
	if s := row.State(m); s != NoBudget {
		t.Errorf("without a budget: %s", s)
	}
}

// A sum with a part that was not measured is not measured.
func TestSumWithUnmeasuredPartIsNotMeasured(t *testing.T) {
	if bySizes(1, "bytes").plus(notMeasured("bytes")).IsKnown {
		t.Error("a sum with an unknown part is known")
	}
	if f := notMeasured("bytes").times(3, "bytes"); f.IsKnown || f.text() != "not measured" {
		t.Errorf("%+v", f)
	}
}

// Sizes are set by key; unknown keys and malformed values are errors.
func TestUnknownSizeKeysAreRejected(t *testing.T) {
	sizes, err := ShippedSizes()
	if err != nil {
		t.Fatal(err)
	}
	if err := sizes.Set([]string{"routers=300", "purge_within_s = 1.5"}); err != nil ||
		sizes.Routers != 300 || sizes.PurgeWithinS != 1.5 || sizes.Servers != 2500 {
		t.Errorf("%+v, %v", sizes, err)
	}
	for _, wrong := range []string{"routers", "router=3", "routers=many"} {
		if sizes.Set([]string{wrong}) == nil {
			t.Errorf("%s was accepted", wrong)
		}
	}
	if _, err := ParseSizes([]byte("routres = 3\n")); err == nil {
		t.Error("an unknown key was accepted")
	}
}

// Each row has an event, a figure and a mechanism, and each role has a table.
func TestRowsAndTablesAreComplete(t *testing.T) {
	m, _ := shippedModel(t)
	tables := Tables()
	const roles = 8
	if len(tables) != roles {
		t.Errorf("%d tables", len(tables))
	}
	for _, table := range tables {
		for i := range table.Rows {
			r := &table.Rows[i]
			if r.Event == "" || r.Quantity == "" || r.Mechanism == "" {
				t.Errorf("%s: %+v", table.Role, r)
			}
			if f := r.Figure(m); f.IsKnown && f.Unit == "" {
				t.Errorf("%s, %s: no unit", table.Role, r.Quantity)
			}
		}
	}
}

// Numbers are rounded to three significant digits.
func TestNumbersKeepThreeDigits(t *testing.T) {
	for want, v := range map[string]float64{"0": 0, "12,800,000": 12.75e6, "0.000181": 0.0001811,
		"246,000": 245535, "1.3": 1.3, "-1,230": -1234, "1,000": 999.9} {
		if got := formatNumber(v); got != want {
			t.Errorf("%v: %s, want %s", v, got, want)
		}
	}
}

// Plot draws the named lines and fails if there are none.
func TestPlotFailsWithoutLines(t *testing.T) {
	_, lines := shippedModel(t)
	path := filepath.Join(t.TempDir(), "plot.svg")
	if err := Plot(path, "Processor time at rest", lines, "rest.leader.cores", "rest.voter.cores"); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("rest.voter.cores")) {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	if Plot(path, "Nothing", lines, "x") == nil {
		t.Error("a plot without lines was accepted")
	}
}
