package observer

import "time"

const (
	joinBurst = 32 // watches that may begin at once

	// maxRetryAfter bounds the Retry-After of a join. A fleet that needs longer is spread by its clients'
	// own jitter.
	maxRetryAfter = 60 * time.Second
)

// joinLimiter admits joins at a bounded rate, and gives each that it rejects a time of its own to come
// back, so that those which were rejected together don't come back together. It has no clock.
type joinLimiter struct {
	perSecond    float64
	tokens       float64
	tokensAt     time.Duration // instant of tokens
	lastReturnAt time.Duration // given to the join that was rejected last
}

func newJoinLimiter(perSecond float64) *joinLimiter {
	return &joinLimiter{perSecond: perSecond, tokens: joinBurst}
}

// admit admits a join at an instant, or returns after what time there is capacity for it.
func (l *joinLimiter) admit(now time.Duration) (retryAfter time.Duration, ok bool) {
	l.tokens = min(joinBurst, l.tokens+(now-l.tokensAt).Seconds()*l.perSecond)
	l.tokensAt = now
	if l.tokens >= 1 {
		l.tokens--
		return 0, true
	}
	gap := time.Duration(float64(time.Second) / l.perSecond)
	l.lastReturnAt = max(l.lastReturnAt, now) + gap
	l.lastReturnAt = min(l.lastReturnAt, now+maxRetryAfter)
	return l.lastReturnAt - now, false
}
