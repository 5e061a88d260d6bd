package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dockhinge.example/dockhinge/internal/coord/clock"
	"dockhinge.example/dockhinge/internal/coord/observer/protocol"
)

// acknowledge sends the applied revision to the observer that is watched, once it changes and every
// maxAcknowledgeInterval, until ctx ends; Run waits for it. By the answer the client knows how old its
// state is: a line of the watch may have been on its way for any time, and the answer can't be older than
// the request.
func (c *Client) acknowledge(ctx context.Context) {
	ticker := time.NewTicker(maxAcknowledgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.acknowledgeDue:
		case <-ticker.C:
		}
		if err := c.acknowledgeOnce(ctx); err != nil {
			c.options.Log.Debug("not acknowledged", "error", err) // the next one follows anyway
		}
		if !clock.Sleep(ctx, minAcknowledgeInterval) {
			return
		}
	}
}

func (c *Client) acknowledgeOnce(ctx context.Context) error {
	address := c.Observer()
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	_, applied := c.Revision()
	body, err := json.Marshal(protocol.Acknowledgement{Watcher: c.options.Watcher, Revision: applied})
	if err != nil {
		return err
	}
	sent := clock.Now()
	url := "http://" + address + protocol.AcknowledgePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRejection(response)
	}
	var answer protocol.AcknowledgementResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRejectionBytes)).Decode(&answer); err != nil {
		return err
	}
	c.confirmed(answer, sent)
	return nil
}

// confirmed records how old the state is, by the answer to what was sent at an instant.
func (c *Client) confirmed(answer protocol.AcknowledgementResponse, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.AgeMillis < 0 || c.replica.Revision() < answer.Newest {
		return
	}
	completeAt := sent - time.Duration(answer.AgeMillis)*time.Millisecond
	c.completeAt = max(c.completeAt, completeAt)
	c.isComplete = true
}
