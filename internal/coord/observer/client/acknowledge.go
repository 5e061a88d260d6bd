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

// acknowledge tells the observer that is watched which revision is in force, once that changes and at each heartbeat, until ctx
// ends. By the answer the client knows how old its state is: a line of the watch may have been under way for any time, and the
// answer can't be older than the request.
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
			c.options.Log.Debug("not acknowledged", "error", err) // the next heartbeat tries again
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
	_, inForce := c.Revision()
	body, err := json.Marshal(protocol.Acknowledgement{Watcher: c.options.Watcher, Revision: inForce})
	if err != nil {
		return err
	}
	sent := clock.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+protocol.AcknowledgePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	var answer protocol.AcknowledgementResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&answer); err != nil {
		return err
	}
	c.confirmed(answer, sent)
	return nil
}

// confirmed books how old the state is, by the answer to what was sent at an instant.
func (c *Client) confirmed(answer protocol.AcknowledgementResponse, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.AgeMillis < 0 || c.replica.Revision() < answer.Newest {
		return
	}
	completeAt := sent - time.Duration(answer.AgeMillis)*time.Millisecond
	c.completeAt, c.isComplete = max(c.completeAt, completeAt), true
}
