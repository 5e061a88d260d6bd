package client

import (
	"errors"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

// Errors that callers tell apart.
var (
	// ErrNoSession says that there is no session with the coordinators now; another is being opened.
	ErrNoSession = errors.New("no session with the coordinators")
	// ErrLeaseLost says that the lease's time is over or its session has ended: stop acting.
	ErrLeaseLost = errors.New("the lease's time is out")
	// ErrNotLeader says that another coordinator must be asked (Call).
	ErrNotLeader = errors.New("not the leader")
)

// RejectedError is a response of the coordinators that isn't CodeOK. With CodeNoSession it isn't
// known whether the command was carried out: an earlier sending of it may have been, and the
// responses of a session are forgotten when it ends.
type RejectedError struct{ coord.Response }

// RetryLaterError says that a coordinator has reached a limit of its own, as of connections or
// watchers, and when to come back.
type RetryLaterError struct {
	Text       string
	RetryAfter time.Duration
}

func (e *RetryLaterError) Error() string {
	return e.Text + ", retry after " + e.RetryAfter.Round(time.Millisecond).String()
}

// redirectError says that the coordinator doesn't lead.
type redirectError struct{ text string }

func (e *redirectError) Error() string { return e.text }
