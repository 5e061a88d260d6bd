package main

import (
	"net"
	"time"
)

const (
	// slowSize is the longest value that the pages name.
	slowSize = 4 << 20
	// slowPerSecond is how fast the client reads in slowFor; then it reads as fast as it can.
	slowPerSecond = 64 << 10
	slowFor       = 40 * time.Second
	// slowWait bounds the whole wait.
	slowWait = 90 * time.Second
)

// playSlow has a client send two reads of long values at once and read the answers slowly, but without a pause. The
// cache servers give both values whole and at once.
func playSlow(w *world) (string, error) {
	w.holdEverywhere(longKey, slowSize)
	return w.readSlowly(slowPerSecond, longKey, longKey)
}

const (
	// chunkedSize is the length of a value that the origin gives in chunks, and chunkedPerSecond how fast it is read.
	chunkedSize      = 3 << 20
	chunkedPerSecond = 200 << 10
)

// playChunked does the same with values that come from the origin in chunks, whole and at once. Its client is faster.
func playChunked(w *world) (string, error) {
	w.origin.give(chunkedSize, true)
	return w.readSlowly(chunkedPerSecond, longKey, fileKey)
}

// readSlowly has a client read two keys.
func (w *world) readSlowly(perSecond int, first, second string) (string, error) {
	c, err := dialClient(w.record, "a", w.router.listen)
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	if err := c.conn.(*net.TCPConn).SetReadBuffer(endBuffer); err != nil {
		return "", err
	}
	if w.trouble {
		c.in.Reset(&slowReader{from: c.conn, perSecond: perSecond, slowFor: slowFor})
	}
	if err := c.send(get(first, "c1", "fetch", 1100) + get(second, "c2", "fetch", 1100)); err != nil {
		return "", err
	}
	c.conn.SetReadDeadline(time.Now().Add(slowWait)) //nolint:errcheck // it is open
	return w.unanswered(c, "c1", "c2")
}
