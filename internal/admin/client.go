package admin

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes bounds what Call reads of an answer.
const maxResponseBytes = 1 << 20

// statusClass is what a status code is divided by for its class.
const statusClass = 100

// StatusError is an answer whose status is not of the class 2xx.
type StatusError struct {
	Code int
	// Text is the body of the answer.
	Text string
}

// Error names the status and the beginning of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", e.Code, e.Text) }

// Call makes one call at the admin address of a router, over a connection of its own, and returns the
// body of the answer. The error is a *StatusError where the router answers with another status than
// 2xx.
func Call(ctx context.Context, addr, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return text, err
	}
	if response.StatusCode/statusClass != http.StatusOK/statusClass {
		return text, &StatusError{Code: response.StatusCode, Text: string(text)}
	}
	return text, nil
}
