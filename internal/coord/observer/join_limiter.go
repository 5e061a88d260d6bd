package observer

import (
	"time"
)

const (
	joinBurst     = 32               // watches that may begin at once
	maxRetryAfter = 60 * time.Second // told to who joins; a fleet that needs longer spreads over its own jitter
)

// joinLimiter admits joins at a bounded rate, and tells each that it turns away a time of its own to come back, so that those
// turned away together don't come back together. It has no clock.
type joinLimiter struct {
	perSecond    float64
	tokens       float64
	tokensAt     time.Duration // tokens are as of this instant
	lastReturnAt time.Duration // given to the one that was turned away last
}

func newJoinLimiter(perSecond float64) *joinLimiter {
	return &joinLimiter{perSecond: perSecond, tokens: joinBurst}
}

// admit takes one in at an instant, or tells after what time there is room for it.
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
