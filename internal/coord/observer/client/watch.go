package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

const (
	maxLineBytes    = 16 << 20 // a snapshot of all documents in base64, twice over
	maxRefusalBytes = 4 << 10
)

// errStale tells that a watch goes on, and its observer's state is too old.
var errStale = errors.New("the observer's state is too old")

// watch watches one observer until it fails, falls silent, or what is held is older than staleAfter. It reports how many updates
// were taken.
func (c *Client) watch(ctx context.Context, address string, staleAfter time.Duration) (updates int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.open(ctx, address)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	c.setObserver(address)
	began := time.Now()
	watchdog := time.AfterFunc(silenceTimeout, cancel) // a stopped observer's connection stays open
	defer watchdog.Stop()
	lines := bufio.NewScanner(&watchdogReader{from: response.Body, watchdog: watchdog})
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var update protocol.Update
		if err := json.Unmarshal(lines.Bytes(), &update); err != nil {
			return updates, fmt.Errorf("reading an update: %w", err)
		}
		watchdog.Stop() // Apply takes as long as it takes
		if err := c.receive(ctx, update); err != nil {
			return updates, err
		}
		watchdog.Reset(silenceTimeout)
		updates++
		age, isComplete := c.Age()
		if time.Since(began) > staleAfter && (!isComplete || age > staleAfter) {
			return updates, errStale
		}
	}
	if err := lines.Err(); err != nil {
		return updates, err
	}
	return updates, io.ErrUnexpectedEOF
}

// open begins a watch from the revision that is held.
func (c *Client) open(ctx context.Context, address string) (*http.Response, error) {
	held, _ := c.Revision()
	query := url.Values{"watcher": {c.options.Watcher}, "prefix": {c.options.Prefix}, "after": {strconv.FormatUint(held, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+protocol.WatchPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readRefusal(response)
}

// readRefusal reads the error that an answer other than 200 tells.
func readRefusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err != nil {
		return err
	}
	var refusal protocol.Rejection
	if json.Unmarshal(body, &refusal) != nil || refusal.Code == "" {
		return fmt.Errorf("the observer answered %s", response.Status)
	}
	return &refusal
}

// watchdogReader puts the watchdog off with each byte: a snapshot may take longer than silence to come.
type watchdogReader struct {
	from     io.Reader
	watchdog *time.Timer
}

func (w *watchdogReader) Read(p []byte) (int, error) {
	n, err := w.from.Read(p)
	if n > 0 {
		w.watchdog.Reset(silenceTimeout)
	}
	return n, err
}
