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

// acknowledge sends the applied revision to the current observer when it changes and at least every
// maxAcknowledgeInterval, until ctx ends; Run waits for it. The client derives the age of its state
// from the responses: a line of the watch may have been in transit for any time, but a response
// can't be older than its request.
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
			c.options.Log.Debug("not acknowledged", "error", err) // another acknowledgement follows anyway
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
	_, applied := c.Revisions()
	body, err := json.Marshal(protocol.Acknowledgement{Watcher: c.options.WatcherName, Revision: applied})
	if err != nil {
		return err
	}
	sentAt := clock.Now()
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
	c.recordAge(answer, sentAt)
	return nil
}

// recordAge updates the age of the state from the response to an acknowledgement that was sent at
// sentAt.
func (c *Client) recordAge(answer protocol.AcknowledgementResponse, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.AgeMillis < 0 || c.replica.Revision() < answer.Newest {
		return
	}
	completeAt := sentAt - time.Duration(answer.AgeMillis)*time.Millisecond
	c.completeAt = max(c.completeAt, completeAt)
	c.isComplete = true
}
