package node

import (
	"errors"
	"time"
)

// Errors that callers tell apart.
var (
	// ErrNotLeader says that another coordinator must be asked, or that what became of the command
	// isn't known; the command may be repeated with its sequence number.
	ErrNotLeader = errors.New("not the leader")

	// errDamaged says that what stands on the disk isn't what was written.
	errDamaged = errors.New(
		"the log is damaged; this coordinator must come back with an empty directory, as a new member")
)

// LimitError says that a limit has been reached, and when to come back.
type LimitError struct {
	Text       string
	RetryAfter time.Duration
}

func (e *LimitError) Error() string { return e.Text }
