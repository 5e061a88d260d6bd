package observer

import (
	"testing"
	"time"
)

// A herd that comes at once is admitted at the rate, and who comes back when told to is admitted then: each is turned away once.
func TestHerdIsAdmittedAtTheRate(t *testing.T) {
	const herd, perSecond = 1000, 100
	limiter := newJoinLimiter(perSecond)
	told := []time.Duration{}
	admitted := 0
	for range herd {
		if retryAfter, ok := limiter.admit(0); ok {
			admitted++
		} else {
			told = append(told, retryAfter)
		}
	}
	if admitted != joinBurst {
		t.Errorf("%d admitted at once, want %d", admitted, joinBurst)
	}
	for i, at := range told {
		if i > 0 && at <= told[i-1] {
			t.Fatalf("told %v after %v", at, told[i-1])
		}
		if retryAfter, ok := limiter.admit(at); !ok {
			t.Fatalf("number %d came back at %v as told, and was told %v more", i, at, retryAfter)
		}
	}
	if want := time.Duration(len(told)) * time.Second / perSecond; told[len(told)-1] != want {
		t.Errorf("the last one was told %v, want %v", told[len(told)-1], want)
	}
}

// No come-back time is beyond the bound, however many come.
func TestRetryAfterIsBounded(t *testing.T) {
	limiter := newJoinLimiter(1)
	for range 100_000 {
		if retryAfter, ok := limiter.admit(0); !ok && (retryAfter <= 0 || retryAfter > maxRetryAfter) {
			t.Fatalf("told %v", retryAfter)
		}
	}
}
