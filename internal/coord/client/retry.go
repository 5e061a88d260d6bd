package client

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	minRetryPause = 20 * time.Millisecond // before the first retry; doubled for each further one
	maxRetryPause = time.Second

	// maxRetryAfter bounds the Retry-After that is believed.
	maxRetryAfter = 5 * time.Minute
)

// retryLater reads the body of a coordinator that has reached a limit. A body that can't be read
// leaves the header's whole seconds; 0 means to come back as after any other error.
func retryLater(header http.Header, body []byte) error {
	var rejection struct {
		Text       string        `json:"text"`
		RetryAfter time.Duration `json:"retry_after"`
	}
	if json.Unmarshal(body, &rejection) != nil || rejection.RetryAfter <= 0 {
		seconds, _ := strconv.Atoi(header.Get("Retry-After"))
		rejection.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &RetryLaterError{Text: rejection.Text, RetryAfter: rejection.RetryAfter}
}

// RetryDelay is how long to wait after an error: not less than the coordinators asked for, and up to
// half of that longer, so that clients which got the same time don't come back at once; otherwise
// where they asked for nothing.
func RetryDelay(err error, otherwise time.Duration) time.Duration {
	retryAfter := min(retryAfterOf(err), maxRetryAfter)
	if retryAfter <= 0 {
		return otherwise
	}
	return retryAfter + rand.N(retryAfter/2+1)
}

// retryAfterOf is the time to come back that an error carries, or 0.
func retryAfterOf(err error) time.Duration {
	var later *RetryLaterError
	if errors.As(err, &later) {
		return later.RetryAfter
	}
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return rejected.RetryAfter
	}
	return 0
}

// jitter spreads a pause over half of it to one and a half.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)+1))
}
