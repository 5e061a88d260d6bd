package decide

import (
	"testing"
)

// A client tries again and has less time left than at first. The objective must count from its
// first try, and what can no longer be in time must be rejected at once.
func TestTheObjectiveOfALastTryCountsFromTheFirst(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	now := 100010.0
	try := func(id uint32, remaining float64, isRetry bool) float64 { // how long its answer is in time
		b.Request(now, Request{ID: id, Class: "read", Key: uint64(id), HasKey: true,
			RemainingMillis: remaining, IsRetry: isRetry})
		if r := b.requests[id]; r != nil {
			return r.objectiveAt - now
		}
		return 0
	}
	for i, c := range []struct {
		remaining float64
		retry     bool
		want      float64
	}{{400, false, 300}, {400, true, 300}, {500, true, 200}, {350, true, 50}, {250, true, 0}} {
		if got := try(uint32(i+1), c.remaining, c.retry); got != c.want {
			t.Errorf("%v ms remaining, retry %v: an objective of %v ms, want %v", c.remaining, c.retry, got, c.want)
		}
	}
	if h.rejected[5] != 1 {
		t.Error("what can no longer be in time is not rejected at once")
	}
}
