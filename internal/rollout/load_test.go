package rollout

import (
	"strings"
	"testing"
	"time"
)

// newLoadedFleet is a fleet of one router that observes three servers, and reports an overload
// above 10% of its requests.
func newLoadedFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	if result := f.set(Command{OverloadShare: 0.1}); result.Code != CodeOK {
		t.Fatalf("%+v", result)
	}
	f.report("r2", "z", "s1:up", "s2:up", "s3:up")
	return f
}

// The fleet rejects requests while an operator has the permit of a server. Overload begins after
// two counts in a row above the bound and ends after three below half of it; meanwhile the permit
// is revoked. Counts of few requests say nothing. A wrong program would flap with each count, or
// take a server out of a fleet that can't do without it.
func TestLoad(t *testing.T) {
	const fewRequests = -1
	for _, x := range []struct {
		name     string
		percents []int64 // rejected in each count, or fewRequests
		overload string  // after each count: o if overloaded
	}{
		{"single counts", []int64{0, 20, 0, 20, 0, 20, 0}, "......."},
		{"two in a row", []int64{20, 20, 20}, "..o"},
		{"between both bounds", []int64{20, 20, 6, 6, 6, 6, 6, 6}, "..oooooo"},
		{"recovered", []int64{20, 20, 4, 4, 4, 4}, "..ooo."},
		{"recovery interrupted below the bound", []int64{20, 20, 4, 4, 6, 4, 4, 4, 4}, "..oooooo."},
		{"recovery interrupted above the bound", []int64{20, 20, 20, 4, 4, 20, 4, 4, 4, 4}, "..ooooooo."},
		{"few requests", []int64{20, fewRequests, 20, 20}, "...o"},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newLoadedFleet(t)
			served, failed := int64(1), int64(0)
			f.reportCounts("r1", served, failed)
			f.advance(time.Minute)
			granted := f.request("s1", "ann", PriorityNormal)
			if granted.Stage != StageGranted {
				t.Fatalf("%+v", granted)
			}
			for i, percent := range x.percents {
				requests := int64(1000)
				if percent == fewRequests {
					requests = loadMinRequests - 1
					percent = 0
				}
				f.advance(loadCountInterval)
				served += requests * (100 - percent) / 100
				failed += requests * percent / 100
				f.reportCounts("r1", served, failed) // it ends the count before, and begins one with these
				f.checkOverload(t, i, x.overload[i] == 'o', granted.Token)
			}
		})
	}
}

// checkOverload checks that the fleet is overloaded or not, and that the permit of s1 is revoked or
// granted with it.
func (f *testFleet) checkOverload(t *testing.T, count int, isOverloaded bool, token uint64) {
	t.Helper()
	permit := f.permit(KindServer, "s1")
	isGranted := permit.Stage == StageGranted
	if f.state.Load.IsOverloaded != isOverloaded || isGranted == isOverloaded {
		t.Errorf("count %d: %+v, permit %+v", count, f.state.Load, permit)
	}
	if !isOverloaded {
		return
	}
	if !strings.Contains(permit.WaitReason, "over 10% of requests") {
		t.Errorf("count %d: the permit waits as %q", count, permit.WaitReason)
	}
	if f.applyToServer(OpBeginOutage, "s1", token, "ann").Code == CodeOK {
		t.Errorf("count %d: the outage begins", count)
	}
}

// A fleet is overloaded, and then no router reports counts any more. An emergency passes the
// overload. The overload ends without counts: a wrong program would let nothing out for ever.
func TestLoadWithoutCounts(t *testing.T) {
	f := newLoadedFleet(t)
	for i := range int64(5) {
		f.reportCounts("r1", 100*i+1, 100*i)
		f.advance(loadCountInterval)
	}
	if !f.state.Load.IsOverloaded {
		t.Errorf("%+v", f.state.Load)
	}
	if result := f.request("s1", "ann", PriorityEmergency); result.Stage != StageGranted {
		t.Errorf("an emergency: %+v", result)
	}
	f.advance(loadMaxAge)
	if f.state.Load.IsOverloaded {
		t.Errorf("without counts: %+v", f.state.Load)
	}
}

// A bound that is no share is rejected.
func TestOverloadShare(t *testing.T) {
	f := newLoadedFleet(t)
	for _, share := range []float64{-0.1, 1} {
		if result := f.set(Command{OverloadShare: share}); result.Code != CodeInvalid {
			t.Errorf("share %v: %+v", share, result)
		}
	}
}
