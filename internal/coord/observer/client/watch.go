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
	maxLineBytes      = 16 << 20 // twice the size of a snapshot of all documents in base64
	maxRejectionBytes = 4 << 10
)

// errStale means that the watch works but the observer's state is too old.
var errStale = errors.New("the observer's state is too old")

// watch watches through one observer until it fails, sends nothing for silenceTimeout, or the
// replica is older than staleAfter. It returns the number of updates received.
func (c *Client) watch(ctx context.Context, address string, staleAfter time.Duration) (updates int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := c.openWatch(ctx, address)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	c.setObserver(address)
	began := time.Now()
	watchdog := time.AfterFunc(silenceTimeout, cancel) // the connection to a paused observer stays open
	defer watchdog.Stop()
	lines := bufio.NewScanner(&watchdogReader{from: response.Body, watchdog: watchdog})
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var update protocol.Update
		if err := json.Unmarshal(lines.Bytes(), &update); err != nil {
			return updates, fmt.Errorf("read an update: %w", err)
		}
		watchdog.Stop() // the time that Apply takes doesn't count
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

// openWatch starts a watch from the replica's revision.
func (c *Client) openWatch(ctx context.Context, address string) (*http.Response, error) {
	revision, _ := c.Revisions()
	query := url.Values{
		"watcher": {c.options.WatcherName},
		"prefix":  {c.options.Prefix},
		"after":   {strconv.FormatUint(revision, 10)},
	}
	target := "http://" + address + protocol.WatchPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
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
	return nil, readRejection(response)
}

// readRejection returns the error in a response with a status other than 200.
func readRejection(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	if err != nil {
		return err
	}
	var rejection protocol.Rejection
	if json.Unmarshal(body, &rejection) != nil || rejection.Code == "" {
		return fmt.Errorf("observer responded with status %s", response.Status)
	}
	return &rejection
}

// watchdogReader resets the watchdog after each read, as a snapshot may take longer than
// silenceTimeout.
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
