package rollout

import (
	"strings"
	"testing"
	"time"
)

// The fleet is over its limit after two counts in a row beyond the bound, and no more after three
// under half of it; meanwhile nothing new goes out but in an emergency, and a permit that was
// granted is taken back. Few requests say nothing, and lost figures end it.
func TestLoad(t *testing.T) {
	for _, x := range []struct {
		shares string // refused in each count, in per cent; - = few requests
		over   string
	}{
		{"0 20 0 20 0 20 0", "......."},
		{"20 20 20", "..o"},
		{"20 20 6 6 6 6 6 6", "..oooooo"},
		{"20 20 4 4 4 4", "..ooo."},
		{"20 20 4 4 6 4 4 4 4", "..oooooo."},
		{"20 20 20 4 4 20 4 4 4 4", "..ooooooo."},
		{"20 - 20 20", "...o"},
	} {
		w := newWorld(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
		w.must(Command{Op: OpSetBudgets, Budgets: w.s.Budgets, Grace: 5 * time.Second, OverloadShare: 0.1}, "operator")
		w.router("r2", "z", "s1:up", "s2:up", "s3:up")
		good, wrong := int64(1), int64(0)
		tell := func() {
			w.must(Command{Op: OpReport, Report: &RouterReport{IsReady: true, Served: good, Failed: wrong}}, RouterClientPrefix+"r1")
		}
		tell()
		w.pass(time.Minute)
		a := w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "s1", Priority: PriorityNormal}, "ann")
		if a.Stage != StageGranted {
			t.Fatalf("%+v", a)
		}
		for i, f := range strings.Fields(x.shares) {
			n := int64(1000)
			share := int64(0)
			if f == "-" {
				n = loadMinRequests - 1
			} else {
				for _, c := range f {
					share = 10*share + int64(c-'0')
				}
			}
			w.pass(loadCountInterval)
			good, wrong = good+n*(100-share)/100, wrong+n*share/100
			tell() // it ends the count before, and begins one with these
			want := x.over[i] == 'o'
			p := w.permit(KindServer, "s1")
			if w.s.Load.IsOverloaded != want || (p.Stage == StageGranted) == want || want && !strings.Contains(p.WaitReason, "over 10% of requests") {
				t.Errorf("%s, count %d: %+v, permit %+v", x.shares, i, w.s.Load, p)
			}
			if want && w.do(Command{Op: OpBeginOutage, Kind: KindServer, Name: "s1", Token: a.Token}, "ann").Code == CodeOK {
				t.Errorf("%s, count %d: the step begins", x.shares, i)
			}
		}
	}
	w := newWorld(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	w.must(Command{Op: OpSetBudgets, Budgets: w.s.Budgets, Grace: 5 * time.Second, OverloadShare: 0.1}, "operator")
	w.router("r2", "z", "s1:up", "s2:up", "s3:up")
	for i := range int64(5) {
		w.must(Command{Op: OpReport, Report: &RouterReport{IsReady: true, Served: 100*i + 1, Failed: 100 * i}}, RouterClientPrefix+"r1")
		w.pass(loadCountInterval)
	}
	if !w.s.Load.IsOverloaded {
		t.Errorf("%+v", w.s.Load)
	}
	if a := w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "s1", Priority: PriorityEmergency}, "ann"); a.Stage != StageGranted {
		t.Errorf("an emergency: %+v", a)
	}
	w.pass(loadMaxAge)
	if w.s.Load.IsOverloaded {
		t.Errorf("without figures: %+v", w.s.Load)
	}
	for _, busy := range []float64{-0.1, 1} {
		if a := w.do(Command{Op: OpSetBudgets, Budgets: w.s.Budgets, Grace: 5 * time.Second, OverloadShare: busy}, "operator"); a.Code != CodeInvalid {
			t.Errorf("busy %v: %+v", busy, a)
		}
	}
}
