package node

import (
	"errors"
	"time"
)

// Errors that callers distinguish.
var (
	// ErrNotLeader means that another coordinator must be asked, or that the outcome of the command
	// is unknown. The command may be retried with the same sequence number.
	ErrNotLeader = errors.New("not the leader")

	// errDamaged means that the stored data is not what was written.
	errDamaged = errors.New(
		"the log is damaged; restart this coordinator with an empty directory, as a new member")
)

// LimitError means that a limit has been reached. RetryAfter is how long to wait before a retry.
type LimitError struct {
	Text       string
	RetryAfter time.Duration
}

func (e *LimitError) Error() string { return e.Text }
