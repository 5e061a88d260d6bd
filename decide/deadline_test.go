package decide

import (
	"testing"
)

// Guards against an objective that restarts when a client retries with less time left: it must
// count from the client's first try, and a request that can no longer be in time must be rejected
// at once.
func TestObjectiveOfARetryCountsFromTheFirstTry(t *testing.T) {
	b, h := newTestBalancer(t, testConfig(), readyEndpoints(6))
	now := 100010.0
	try := func(id uint32, remaining float64, isRetry bool) float64 { // returns the objective, ms from now
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
			t.Errorf("%v ms remaining, retry %v: objective %v ms, want %v", c.remaining, c.retry, got, c.want)
		}
	}
	if h.rejected[5] != 1 {
		t.Error("a request that can no longer be in time was not rejected at once")
	}
}
