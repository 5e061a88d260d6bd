package admin

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes bounds the answer that a caller reads, in bytes.
const maxResponseBytes = 1 << 20

// StatusError is an answer that is no yes.
type StatusError struct {
	Code int
	Text string // what the router said, cut
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", e.Code, e.Text) }

// Call makes one call at the second address of a router and returns what it says. The error is a *StatusError where the
// router answered otherwise than with yes. One call goes over one connection.
func Call(ctx context.Context, addr, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	q.Close = true
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	if err == nil && a.StatusCode/100 != 2 {
		err = &StatusError{a.StatusCode, string(text)}
	}
	return text, err
}
