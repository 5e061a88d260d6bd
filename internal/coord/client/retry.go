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
	minRetryPause = 20 * time.Millisecond // before the first retry; doubles for each further one
	maxRetryPause = time.Second

	// maxRetryAfter is the longest Retry-After that is followed.
	maxRetryAfter = 5 * time.Minute
)

// newRetryLaterError returns the error for a coordinator that has reached a limit. If the body is
// malformed, the header's whole seconds are used. A RetryAfter of 0 means the same pause as after
// any other error.
func newRetryLaterError(header http.Header, body []byte) error {
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

// RetryDelay returns how long to wait after an error: at least the coordinators' Retry-After and up
// to half of it longer, so that clients with the same Retry-After don't retry at the same time.
// Without a Retry-After it returns fallback.
func RetryDelay(err error, fallback time.Duration) time.Duration {
	retryAfter := min(retryAfterOf(err), maxRetryAfter)
	if retryAfter <= 0 {
		return fallback
	}
	return retryAfter + rand.N(retryAfter/2+1)
}

// retryAfterOf returns the Retry-After that an error carries, or 0.
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

// jitter returns a random duration between half of the pause and one and a half times the pause.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)+1))
}
