package traceanalysis

import (
	"bytes"
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const routerLog = `time=x msg=listening address=10.0.0.1:1
0.016 trace 500.00 list kind=2 lines=61 version=0
0.234 trace 1000.00 ask r=1 class=fetch key=ab retry=false left=700
trace 1000.10 send r=1 n=0 s=0000000a origin=false started=900 key=ab
trace 1000.60 dial to=10.1.0.26:1 ok=true
trace 1100.00 got r=1 n=0 s=0000000a status=8 note=2 ms=99.9
trace 1100.10 send r=1 n=1 s=0000000f origin=true started=0 key=ab
trace 1300.00 got r=1 n=1 s=0000000f status=0 note=0 ms=199.9
trace 1300.10 end r=1 how=0 why=- left=400 tries=2
trace 2100.00 ask r=2 class=fetch key=cd retry=true left=700
trace 2100.10 send r=2 n=0 s=0000000a origin=false started=900 key=cd
trace 2100.20 dial to=10.1.0.26:1 ok=false
trace 2100.30 got r=2 n=0 s=0000000a status=4 note=0 ms=0.2
trace 2100.40 end r=2 how=1 why=no-retry left=699 tries=1
trace 2200.00 list kind=3 lines=0 version=0
`

func TestCountsOfTwoRoutersAreSummed(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a.log", "b.log"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(routerLog), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	events, lineErrors, err := ReadDir(dir)
	if err != nil || len(lineErrors) > 0 {
		t.Fatal(err, lineErrors)
	}
	got := Count(events)
	s := got.Total
	for what, v := range map[string][2]int{
		"asked": {s.Asked, 4}, "retried": {s.Retried, 2}, "sent": {s.Sent, 4}, "cold": {s.Cold, 4},
		"fetched": {s.Fetched, 2}, "of one key": {s.SameKey, 1}, "dialled": {s.Dials, 2},
		"failed dials":  {s.FailedDials, 2},
		"refused lists": {s.FailedLists, 2}, "served": {s.Served, 2}, "turned away": {s.Rejected, 2},
		"by cause": {s.ByCause["no-retry after connect"], 2}, "in the first second": {got.Seconds[0].Asked, 2},
		"peak in a window while cold": {got.Servers["0000000a"].ColdPeak, 4}, "open": {got.Seconds[1].Open, 0}} {
		if v[0] != v[1] {
			t.Errorf("%s: %d, want %d", what, v[0], v[1])
		}
	}
	var out bytes.Buffer
	got.Print(&out)
	if !strings.Contains(out.String(), "no-retry after connect") {
		t.Errorf("the table lacks the cause:\n%s", out.String())
	}
}

func TestMalformedLinesAreReportedAndOthersCounted(t *testing.T) {
	for line, want := range map[string]string{
		"trace":                                   "",
		"trace 12.0":                              "l.log:2: cut short",
		"trace x ask r=1":                         `l.log:2: time "x" is not a number`,
		"trace 12.0 nap a=1":                      `l.log:2: unknown event "nap"`,
		"trace 12.0 dial to=a":                    "l.log:2: dial without ok",
		`time=x msg="trace 12.0 nap a=1"`:         "",
		"0.1 trace 12.0 end r=1 how=1 why= left=": "l.log:2: end without why",
	} {
		events, lineErrors := Read("l.log",
			strings.NewReader("trace 1.0 dial to=a ok=true\n"+line+"\ntrace 2.0 dial to=a ok=true\n"))
		got := ""
		for _, f := range lineErrors {
			got += f.String()
		}
		if len(events) != 2 || got != want {
			t.Errorf("%q: %d events, %q, want 2 and %q", line, len(events), got, want)
		}
	}
	long := strings.Repeat("x", 3*maxLineBytes) + "\ntrace 2.0 dial to=a ok=true\n"
	if events, lineErrors := Read("l.log", strings.NewReader(long)); len(events) != 1 || len(lineErrors) != 1 ||
		lineErrors[0].Line != 1 {
		t.Errorf("a line over the limit: %d events, errors %v", len(events), lineErrors)
	}
	if _, lineErrors := Read("l.log", strings.NewReader("trace 1.0 dial to=a ok=tru")); len(lineErrors) != 1 ||
		lineErrors[0].String() != "l.log:1: cut short" {
		t.Errorf("a last line without a newline: %v", lineErrors)
	}
}

// Reading and counting must terminate for arbitrary logs, and every valid event must be counted.
func TestArbitraryLogsAreCounted(t *testing.T) {
	lines := strings.SplitAfter(routerLog, "\n")
	rapid.Check(t, func(t *rapid.T) {
		var log []byte
		for _, l := range rapid.SliceOfN(rapid.SampledFrom(lines), 0, 40).Draw(t, "lines") {
			if at := rapid.IntRange(-20, len(l)).Draw(t, "cut"); at >= 0 {
				l = l[:at] + rapid.StringN(0, 3, -1).Draw(t, "noise") + l[at:]
			}
			log = append(log, l...)
		}
		events, _ := Read("l.log", bytes.NewReader(log))
		slices.SortStableFunc(events, func(p, q Event) int { return cmp.Compare(p.At, q.At) })
		asks := 0
		for _, e := range events {
			if e.Name == "ask" {
				asks++
			}
		}
		if got := Count(events); got.Total.Asked != asks {
			t.Fatalf("%d asks counted of %d", got.Total.Asked, asks)
		}
	})
}
