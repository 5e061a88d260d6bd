package coord

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Code says how a command ended.
type Code string

// The codes.
const (
	CodeOK             Code = "ok"
	CodeHeld           Code = "held"       // another session holds the lease: Holder, Token, ExpiresIn
	CodeNotHeld        Code = "not-held"   // the session doesn't hold the lease with this token
	CodeNoSession      Code = "no-session" // the session has ended, or never was
	CodeNoClient       Code = "no-client"  // the successor has no session that is alive
	CodeLimitReached   Code = "full"       // a table is full; Text names its limit
	CodeInvalid        Code = "bad"        // the command is impossible; Text says why
	CodeSuperseded     Code = "old"        // a late duplicate: its response, or the lease, has changed since
	CodeConflict       Code = "conflict"   // the document has another revision than expected: Revision
	CodeUnknownVersion Code = "newer"      // this program doesn't know the command's version and must stop
)

// Response is what a command gave. It is part of the replicated state while the client may ask for
// it again.
type Response struct {
	Code   Code   `json:"code"`
	Text   string `json:"text,omitempty"`
	Token  uint64 `json:"token,omitempty"`
	Holder string `json:"holder,omitempty"` // the client's name

	// ExpiresIn, with CodeHeld, is when the lease is free at the latest unless it is kept alive.
	ExpiresIn time.Duration `json:"wait,omitempty"`

	// RetryAfter, with CodeLimitReached, is when to come back. The coordinator that responds sets it;
	// it is never part of the replicated state.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	// Stage is that of a permit (OpRollout); Text tells why it waits.
	Stage     rollout.Stage `json:"stage,omitempty"`
	IsDrained bool          `json:"drained,omitempty"`

	Revision uint64 `json:"revision,omitempty"` // of a document (OpPutDocument)
}

// Error is the response's code and text, for one that is returned as an error.
func (r Response) Error() string {
	text := fmt.Sprintf("%s: %s", r.Code, r.Text)
	if r.RetryAfter > 0 {
		text += ", retry after " + r.RetryAfter.Round(time.Millisecond).String()
	}
	return text
}

func invalid(format string, arguments ...any) Response {
	return Response{Code: CodeInvalid, Text: fmt.Sprintf(format, arguments...)}
}
