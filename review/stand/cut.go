package main

import (
	"fmt"
	"time"
)

const (
	longKey = "00000000000000b1"
	tagKey  = "00000000000000b2"
	fileKey = "00000000000000b3"

	// cutSize is the length of the value that breaks off, and cutAfter how much of it is given.
	cutSize  = 1 << 20
	cutAfter = 512 << 10
	// cutPause is how long after the commands the connections of the cache servers are reset.
	cutPause = 500 * time.Millisecond
	// answerWait bounds the wait for an answer: a multiple of the time that the rule allows.
	answerWait = 8 * time.Second
)

// playCut has a client send at once a read of a long value, a write that may not run twice, and a short read. The
// connections of the cache servers are reset in the middle of the long value, which may fail. The other two were
// forwarded too: each is owed a final answer.
func playCut(w *world) (string, error) {
	w.holdEverywhere(longKey, cutSize)
	w.holdEverywhere(fileKey, 100)
	c, err := dialClient(w.record, "a", w.router.listen)
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	if w.trouble {
		w.breakOff(longKey, cutAfter)
		time.AfterFunc(cutPause, w.resetCaches)
	}
	err = c.send(get(longKey, "c1", "fetch", 1100) + put(tagKey, "c2", "release-tag", 1100, "v1") +
		get(fileKey, "c3", "fetch", 1100))
	if err != nil {
		return "", err
	}
	c.conn.SetReadDeadline(time.Now().Add(answerWait)) //nolint:errcheck // it is open
	if _, err := c.read(); err != nil && !w.trouble {
		return "", fmt.Errorf("the long value without the disruption: %w", err)
	}
	return w.unanswered(c, "c2", "c3")
}

// unanswered reads the answers to these requests, in their order, and tells of the first that a server got and whose
// client has no whole answer. A request that no server got may be sent again by its client: it is passed over.
func (w *world) unanswered(c *client, ids ...string) (string, error) {
	for _, id := range ids {
		if _, err := c.read(); err == nil {
			continue
		}
		for _, one := range w.runs.of(id) {
			return fmt.Sprintf("request %s was forwarded to %s (carried out: %t), and its client got no whole answer",
				id, one.server, one.done), nil
		}
		w.record.event("request %s reached no server", id)
	}
	return "", nil
}
