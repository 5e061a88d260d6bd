package rollout

import (
	"strings"
	"testing"
	"time"
)

// newFleetWithOverloadCheck returns a fleet of one router and three servers that is overloaded if
// more than 10% of its requests fail.
func newFleetWithOverloadCheck(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(Budget{Name: "s", Kind: KindServer, MaxOut: 1})
	if result := f.set(Command{OverloadShare: 0.1}); result.Code != CodeOK {
		t.Fatalf("%+v", result)
	}
	f.report("r2", "z", "s1:up", "s2:up", "s3:up")
	return f
}

// Guards against an overload state that flaps, and against outages during an overload. An overload
// begins after two consecutive windows above the threshold and ends after three below half of it.
// While it lasts, a granted permit is revoked. Windows with few requests are ignored.
func TestOverloadRevokesPermitsAndDoesNotFlap(t *testing.T) {
	const fewRequests = -1
	for _, tc := range []struct {
		name     string
		percents []int64 // rejected percentage in each window, or fewRequests
		overload string  // after each window: o if overloaded
	}{
		{"single windows", []int64{0, 20, 0, 20, 0, 20, 0}, "......."},
		{"two in a row", []int64{20, 20, 20}, "..o"},
		{"between both thresholds", []int64{20, 20, 6, 6, 6, 6, 6, 6}, "..oooooo"},
		{"recovered", []int64{20, 20, 4, 4, 4, 4}, "..ooo."},
		{"recovery interrupted below the threshold", []int64{20, 20, 4, 4, 6, 4, 4, 4, 4}, "..oooooo."},
		{"recovery interrupted above the threshold", []int64{20, 20, 20, 4, 4, 20, 4, 4, 4, 4}, "..ooooooo."},
		{"few requests", []int64{20, fewRequests, 20, 20}, "...o"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleetWithOverloadCheck(t)
			served, failed := int64(1), int64(0)
			f.reportCounts("r1", served, failed)
			f.advance(time.Minute)
			granted := f.request("s1", "ann", PriorityNormal)
			if granted.Stage != StageGranted {
				t.Fatalf("%+v", granted)
			}
			for i, percent := range tc.percents {
				requests := int64(1000)
				if percent == fewRequests {
					requests = loadWindowMinRequests - 1
					percent = 0
				}
				f.advance(loadWindow)
				served += requests * (100 - percent) / 100
				failed += requests * percent / 100
				f.reportCounts("r1", served, failed) // closes the previous window and opens one with these requests
				f.checkOverload(t, i, tc.overload[i] == 'o', granted.Token)
			}
		})
	}
}

// checkOverload checks whether the fleet is overloaded, and that the permit of s1 is granted
// exactly while it is not.
func (f *testFleet) checkOverload(t *testing.T, window int, isOverloaded bool, token uint64) {
	t.Helper()
	permit := f.permit(KindServer, "s1")
	isGranted := permit.Stage == StageGranted
	if f.state.Load.IsOverloaded != isOverloaded || isGranted == isOverloaded {
		t.Errorf("window %d: %+v, permit %+v", window, f.state.Load, permit)
	}
	if !isOverloaded {
		return
	}
	if !strings.Contains(permit.WaitReason, "over 10% of requests") {
		t.Errorf("window %d: the wait reason of the permit is %q", window, permit.WaitReason)
	}
	if f.applyToServer(OpBeginOutage, "s1", token, "ann").Code == CodeOK {
		t.Errorf("window %d: the outage begins", window)
	}
}

// Guards against an overload that never ends because routers have stopped reporting request counts.
// Until it ends, only emergencies get a permit.
func TestOverloadEndsWhenCountsAreNoLongerReported(t *testing.T) {
	f := newFleetWithOverloadCheck(t)
	for i := range int64(5) {
		f.reportCounts("r1", 100*i+1, 100*i)
		f.advance(loadWindow)
	}
	if !f.state.Load.IsOverloaded {
		t.Errorf("%+v", f.state.Load)
	}
	if result := f.request("s1", "ann", PriorityEmergency); result.Stage != StageGranted {
		t.Errorf("an emergency: %+v", result)
	}
	f.advance(loadMaxAge)
	if f.state.Load.IsOverloaded {
		t.Errorf("still overloaded without counts: %+v", f.state.Load)
	}
}

// An overload threshold that is not a share is rejected.
func TestInvalidOverloadShareIsRejected(t *testing.T) {
	f := newFleetWithOverloadCheck(t)
	for _, share := range []float64{-0.1, 1} {
		if result := f.set(Command{OverloadShare: share}); result.Code != CodeInvalid {
			t.Errorf("share %v: %+v", share, result)
		}
	}
}
