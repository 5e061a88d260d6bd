package client

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter bounds the time to come back that is believed.
const maxRetryAfter = 5 * time.Minute

// RetryLaterError is what a coordinator answers that has reached a bound of its own, as of connections or watchers.
type RetryLaterError struct {
	Text       string
	RetryAfter time.Duration
}

func (e *RetryLaterError) Error() string {
	return e.Text + ", retry after " + e.RetryAfter.Round(time.Millisecond).String()
}

// retryLater reads such an answer. A body that can't be read leaves the header's whole seconds.
func retryLater(h http.Header, body []byte) error {
	var answer struct {
		Text       string        `json:"text"`
		RetryAfter time.Duration `json:"retry_after"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.RetryAfter <= 0 {
		seconds, _ := strconv.Atoi(h.Get("Retry-After")) // 0: come back as after any error
		answer.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &RetryLaterError{Text: answer.Text, RetryAfter: answer.RetryAfter}
}

// RetryDelay is how long to wait after an error: not less than the coordinators asked for, and up to half of that longer, so that
// those who were told the same don't come at once; otherwise where they asked for nothing.
func RetryDelay(err error, otherwise time.Duration) time.Duration {
	var asked time.Duration
	var refused *RejectedError
	var later *RetryLaterError
	switch {
	case errors.As(err, &later):
		asked = later.RetryAfter
	case errors.As(err, &refused):
		asked = refused.RetryAfter
	}
	asked = min(asked, maxRetryAfter)
	if asked <= 0 {
		return otherwise
	}
	return asked + rand.N(asked/2+1)
}
