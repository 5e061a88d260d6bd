package admin

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes bounds the part of a response that Call reads.
const maxResponseBytes = 1 << 20

// statusClass is the divisor that maps a status code to its class.
const statusClass = 100

// StatusError reports a response with a status outside the class 2xx.
type StatusError struct {
	Code int
	// Text is the body of the response.
	Text string
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", e.Code, e.Text) }

// Call makes one call at the admin address of a router, over a new connection, and returns the
// response body. The error is a *StatusError if the status is not 2xx.
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
