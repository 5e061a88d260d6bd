package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// endSize is the length of the value, and endPerSecond how fast its client reads it: for some 2.6 s.
	endSize      = 1 << 20
	endPerSecond = 400 << 10
	// endTerm is when the router is told to end, and endNext when the client sends its next command.
	endTerm = 500 * time.Millisecond
	endNext = 1500 * time.Millisecond
	// endBuffer is the receive buffer of the client.
	endBuffer = 64 << 10
)

// playEnd has a client read a long value, and the answer to a write behind it, at a steady rate. The router is told to
// end meanwhile. The client goes on to send on its connection, which is open for all that it can see. Its first two
// requests came long before: their answers have to arrive whole.
func playEnd(w *world) (string, error) {
	w.holdEverywhere(longKey, endSize)
	w.holdEverywhere(fileKey, 100)
	c, err := dialClient(w.record, "a", w.router.listen)
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	if err := c.conn.(*net.TCPConn).SetReadBuffer(endBuffer); err != nil {
		return "", err
	}
	c.in.Reset(&slowReader{from: c.conn, perSecond: endPerSecond, slowFor: time.Minute})
	if err := c.send(get(longKey, "c1", "fetch", 1100) + put(tagKey, "c2", "release-tag", 1100, "v1")); err != nil {
		return "", err
	}
	if w.trouble {
		time.AfterFunc(endTerm, func() {
			w.record.event("SIGTERM to the router")
			w.router.command.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it runs
		})
	}
	time.AfterFunc(endNext, func() {
		if err := c.send(get(fileKey, "c3", "fetch", 1100)); err != nil {
			w.record.event("client a could not send its next command: %v", err)
		}
	})
	c.conn.SetReadDeadline(time.Now().Add(answerWait)) //nolint:errcheck // it is open
	broken, err := w.unanswered(c, "c1", "c2")
	if broken != "" || err != nil || w.trouble {
		return broken, err
	}
	if _, err := c.read(); err != nil {
		return "", fmt.Errorf("the next command without the disruption: %w", err)
	}
	return "", nil
}
