package coord

import (
	"fmt"
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Code is the result of a command.
type Code string

// Result codes of commands.
const (
	CodeOK             Code = "ok"
	CodeHeld           Code = "held"       // another session holds the lease; see Holder, Token, ExpiresIn
	CodeNotHeld        Code = "not-held"   // the session doesn't hold the lease with this token
	CodeNoSession      Code = "no-session" // the session has ended or never existed
	CodeNoClient       Code = "no-client"  // the successor has no live session
	CodeLimitReached   Code = "full"       // a limit is reached; Text names it
	CodeInvalid        Code = "bad"        // the command is invalid; Text says why
	CodeSuperseded     Code = "old"        // a late duplicate, or the lease was acquired again since
	CodeConflict       Code = "conflict"   // the document's revision is not the expected one; see Revision
	CodeUnknownVersion Code = "newer"      // this program doesn't support the command's version and must stop
)

// Response is the result of a command. It stays part of the replicated state for as long as the
// client may request it again.
type Response struct {
	Code   Code   `json:"code"`
	Text   string `json:"text,omitempty"`
	Token  uint64 `json:"token,omitempty"`
	Holder string `json:"holder,omitempty"` // client name

	// ExpiresIn, with CodeHeld, is the time until the lease expires unless it is kept alive.
	ExpiresIn time.Duration `json:"wait,omitempty"`

	// RetryAfter, with CodeLimitReached, is how long the client should wait before it retries. The
	// coordinator that responds sets it; it is never part of the replicated state.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	// Stage is the stage of a permit (OpRollout); Text says why the permit waits.
	Stage     rollout.Stage `json:"stage,omitempty"`
	IsDrained bool          `json:"drained,omitempty"`

	Revision uint64 `json:"revision,omitempty"` // of a document (OpPutDocument)
}

// Error returns the code and text of a response that is used as an error.
func (r Response) Error() string {
	text := fmt.Sprintf("%s: %s", r.Code, r.Text)
	if r.RetryAfter > 0 {
		text += ", retry after " + r.RetryAfter.Round(time.Millisecond).String()
	}
	return text
}

func invalidResponse(format string, arguments ...any) Response {
	return Response{Code: CodeInvalid, Text: fmt.Sprintf(format, arguments...)}
}
