package observer

import (
	"testing"
	"time"
)

// A thousand routers join at the same time, as after an observer's restart. Joins are admitted at
// the rate, and a rejected router that retries at its assigned time is admitted. If all had the
// same time to retry, most would be rejected again.
func TestJoinsAreAdmittedAtTheRate(t *testing.T) {
	const joins, perSecond = 1000, 100
	limiter := newJoinLimiter(perSecond)
	retryTimes := []time.Duration{}
	admitted := 0
	for range joins {
		if retryAfter, ok := limiter.admit(0); ok {
			admitted++
		} else {
			retryTimes = append(retryTimes, retryAfter)
		}
	}
	if admitted != joinBurst {
		t.Errorf("%d admitted at once, want %d", admitted, joinBurst)
	}
	for i, at := range retryTimes {
		if i > 0 && at <= retryTimes[i-1] {
			t.Fatalf("Retry-After %v follows %v", at, retryTimes[i-1])
		}
		if retryAfter, ok := limiter.admit(at); !ok {
			t.Fatalf("join %d retried at its time %v and got another Retry-After of %v", i, at, retryAfter)
		}
	}
	if want := time.Duration(len(retryTimes)) * time.Second / perSecond; retryTimes[len(retryTimes)-1] != want {
		t.Errorf("the last Retry-After is %v, want %v", retryTimes[len(retryTimes)-1], want)
	}
}

// A hundred thousand routers join at the same time. No Retry-After may exceed the bound, so that no
// router waits for hours.
func TestRetryAfterIsBounded(t *testing.T) {
	limiter := newJoinLimiter(1)
	for range 100_000 {
		if retryAfter, ok := limiter.admit(0); !ok && (retryAfter <= 0 || retryAfter > maxRetryAfter) {
			t.Fatalf("Retry-After %v", retryAfter)
		}
	}
}
