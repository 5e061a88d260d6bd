package client

import (
	"errors"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// Errors that callers distinguish.
var (
	// ErrNoSession means that the client currently has no session; it is opening another one.
	ErrNoSession = errors.New("no session with the coordinators")
	// ErrLeaseLost means that the lease has expired or its session has ended: the holder must stop.
	ErrLeaseLost = errors.New("the lease has expired or was lost")
	// ErrNotLeader means that another coordinator must be asked. Call returns it.
	ErrNotLeader = errors.New("not the leader")
)

// RejectedError is a response of the coordinators other than CodeOK. With CodeNoSession it is
// unknown whether the command was executed: an earlier attempt may have been, and the responses of
// a session are discarded when it ends.
type RejectedError struct{ coord.Response }

// RetryLaterError means that a coordinator has reached a limit, such as of connections or watchers.
// RetryAfter is how long to wait before a retry.
type RetryLaterError struct {
	Text       string
	RetryAfter time.Duration
}

func (e *RetryLaterError) Error() string {
	return e.Text + ", retry after " + e.RetryAfter.Round(time.Millisecond).String()
}

// redirectError means that the coordinator doesn't lead.
type redirectError struct{ text string }

func (e *redirectError) Error() string { return e.text }
