package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord"
)

const (
	maxResponseBytes = 8 << 20

	// watchDuration is how long a coordinator may delay the response to a GET until there is a
	// change, beyond the request timeout.
	watchDuration = 10 * time.Second
)

// request is an HTTP request that can be sent to any coordinator.
type request struct {
	method  string
	path    string
	body    []byte
	timeout time.Duration // for one coordinator to respond
}

// send sends a command with the base timeout.
func (c *Client) send(ctx context.Context, command coord.Command) (coord.Response, error) {
	return c.sendWithin(ctx, c.baseRequestTimeout(), command)
}

// sendWithin sends a command to the known leader, or follows redirects to it, until one coordinator
// has executed the command or all have been asked.
func (c *Client) sendWithin(ctx context.Context, timeout time.Duration, command coord.Command) (coord.Response, error) {
	var response coord.Response
	body, err := json.Marshal(command)
	if err != nil {
		return response, err
	}
	err = c.call(ctx, request{http.MethodPost, "/v1/command", body, timeout}, &response)
	return response, err
}

// get decodes the response to a GET into a value, with the base timeout.
func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, request{http.MethodGet, path, nil, c.baseRequestTimeout()}, into)
}

// call asks the coordinators one after another, the leader first, until one responds. The error
// joins their errors.
func (c *Client) call(ctx context.Context, r request, into any) error {
	c.mu.Lock()
	next := c.leader
	c.mu.Unlock()
	unasked := slices.Collect(maps.Keys(c.options.Coordinators))
	rand.Shuffle(len(unasked), func(i, j int) { unasked[i], unasked[j] = unasked[j], unasked[i] })
	var errs []error
	// A coordinator that failed to respond or has reached a limit isn't asked again, even if others
	// name it as the leader: the command may still wait there, and a retry would only lengthen the
	// queue.
	failed := map[string]bool{}
	for attempt := 0; attempt < 2*len(c.options.Coordinators) && ctx.Err() == nil; attempt++ {
		if c.options.Coordinators[next] == "" {
			if len(unasked) == 0 {
				break
			}
			next = unasked[0]
		}
		unasked = slices.DeleteFunc(unasked, func(name string) bool { return name == next })
		leader, err := c.requestOne(ctx, next, r, into)
		if err == nil {
			c.setLeader(next)
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", next, err))
		var redirect *redirectError
		failed[next] = !errors.As(err, &redirect)
		if leader != "" && failed[leader] {
			break
		}
		if leader == next {
			leader = ""
		}
		next = leader
	}
	c.setLeader("")
	return errors.Join(append(errs, ctx.Err())...)
}

func (c *Client) setLeader(name string) {
	c.mu.Lock()
	c.leader = name
	c.mu.Unlock()
}

// requestOne asks one coordinator. With a redirect error it returns the leader's name if that
// coordinator knows one.
func (c *Client) requestOne(ctx context.Context, name string, r request, into any) (leader string, err error) {
	timeout := r.timeout
	if r.method == http.MethodGet {
		timeout += watchDuration
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := "http://" + c.options.Coordinators[name] + r.path
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(r.body))
	if err != nil {
		return "", err
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return "", err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	c.transferredBytes += int64(len(r.body) + len(body))
	c.mu.Unlock()
	return readResponse(httpResponse, body, into)
}

// readResponse decodes a result, or returns the error for a redirect, a limit or any other status.
func readResponse(response *http.Response, body []byte, into any) (leader string, err error) {
	switch response.StatusCode {
	case http.StatusOK:
		return "", json.Unmarshal(body, into)
	case http.StatusMisdirectedRequest:
		var redirect struct{ Leader, Text string }
		_ = json.Unmarshal(body, &redirect) // a malformed body names no leader
		return redirect.Leader, &redirectError{redirect.Text}
	case http.StatusServiceUnavailable:
		return "", newRetryLaterError(response.Header, body)
	}
	return "", fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(body))
}

// Call asks the coordinator at an address, for operators' tools. Request and response bodies are
// JSON; body and into may be nil. The error is ErrNotLeader, or the coordinator's text.
func Call(ctx context.Context, method, address, path string, body, into any) error {
	var text []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		text = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return callError(response, got)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(got, into)
}

// callError returns the error for a response with a status other than 200.
func callError(response *http.Response, body []byte) error {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return ErrNotLeader
	}
	var rejection struct{ Text string }
	if json.Unmarshal(body, &rejection) == nil && rejection.Text != "" {
		return errors.New(rejection.Text)
	}
	return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(body))
}
