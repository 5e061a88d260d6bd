package observer

import "time"

const (
	joinBurst = 32 // watches that may start at the same time

	// maxRetryAfter bounds the Retry-After of a join. If a larger fleet needs longer, the jitter of
	// the clients spreads the retries.
	maxRetryAfter = 60 * time.Second
)

// joinLimiter admits new watches at a limited rate. It assigns each rejected join its own time to
// retry, so that rejected watchers don't all retry at the same time. It has no clock.
type joinLimiter struct {
	perSecond   float64
	tokens      float64
	tokensAt    time.Duration // when tokens was updated
	lastRetryAt time.Duration // the time to retry that was assigned last
}

func newJoinLimiter(perSecond float64) *joinLimiter {
	return &joinLimiter{perSecond: perSecond, tokens: joinBurst}
}

// admit admits a join at the instant now, or returns the time after which to retry.
func (l *joinLimiter) admit(now time.Duration) (retryAfter time.Duration, ok bool) {
	l.tokens = min(joinBurst, l.tokens+(now-l.tokensAt).Seconds()*l.perSecond)
	l.tokensAt = now
	if l.tokens >= 1 {
		l.tokens--
		return 0, true
	}
	gap := time.Duration(float64(time.Second) / l.perSecond)
	l.lastRetryAt = max(l.lastRetryAt, now) + gap
	l.lastRetryAt = min(l.lastRetryAt, now+maxRetryAfter)
	return l.lastRetryAt - now, false
}
