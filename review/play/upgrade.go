package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Case 2, a slow publish over an upgrade: a client is writing a large value slowly when a new
// version takes over and the old process is told to end.

const (
	upgradeValueBytes = 96 << 10
	upgradePieces     = 24
	upgradeUpload     = 2400 * time.Millisecond // from the first to the last byte
	upgradeTermAfter  = 1400 * time.Millisecond // from the first byte to SIGTERM
	upgradeOriginTime = 2200 * time.Millisecond
	upgradeDeadline   = 2400                    // of the class's 3000 ms
	upgradeKillAfter  = 3700 * time.Millisecond // from SIGTERM to SIGKILL, at the earliest
)

// slowOrigin is an origin that has a queue.
type slowOrigin struct {
	scene *scene
	// runs counts the writes that it has carried out.
	runs atomic.Int64
}

// answer carries out a write.
func (o *slowOrigin) answer(c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		o.scene.note("origin", "got only  %s: %d bytes, %v", id, n, err)
		return
	}
	o.scene.note("origin", "received  %s: %s of %d bytes", id, r.Method, n)
	time.Sleep(upgradeOriginTime)
	o.runs.Add(1)
	receipt := "receipt-of-" + id
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(receipt), receipt)
	o.scene.note("origin", "ran       %s, receipt %s, %v", id, receipt, err)
}

// playUpgrade starts a second process of the router, ends the first, and sees how a publish that
// the first is receiving ends.
func playUpgrade(s *scene) error {
	d := &deployment{classes: []class{
		{"fetch", "repeatable", 600, 1200, 5000},
		{"publish", "by_key", 2500, 3000, 3000},
	}}
	if err := s.startSlottedServers(d, 2, 4, 50*time.Millisecond); err != nil {
		return err
	}
	origin := &slowOrigin{scene: s}
	if err := s.startOrigin(d, origin.answer); err != nil {
		return err
	}
	old, err := s.startRouter(d, "old")
	if err != nil {
		return err
	}
	c, err := s.dialAndRead(old.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	if s.trouble {
		if _, err := s.startRouter(d, "new"); err != nil {
			return err
		}
	}
	sent := make(chan error, 1)
	begun := time.Now()
	go func() { sent <- s.publishSlowly(c, "publish-1") }()
	time.Sleep(time.Until(begun.Add(upgradeTermAfter)))
	termAt := time.Now()
	if s.trouble {
		if err := old.terminate(); err != nil {
			return err
		}
	}
	if err := <-sent; err != nil {
		return fmt.Errorf("the publish could not be sent: %w", err)
	}
	err = s.awaitPublish(c, termAt)
	if s.trouble {
		time.Sleep(time.Until(termAt.Add(upgradeKillAfter)))
	}
	s.note("check", "the origin has carried out %d publishes", origin.runs.Load())
	return err
}

// dialAndRead connects a client and has it read a value, so that its connection is in use.
func (s *scene) dialAndRead(addr string) (*client, error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, readCommand("00000000000000aa", "first", "fetch", 900)); err != nil {
		return nil, err
	}
	a, err := c.readAnswer()
	s.note("client", "answer    first: %q %v", a.line, err)
	return c, err
}

// publishSlowly writes a large value in pieces.
func (s *scene) publishSlowly(c *client, id string) error {
	s.note("client", "sends     %s, %d bytes in %d pieces", id, upgradeValueBytes, upgradePieces)
	_, err := fmt.Fprintf(c, "ms 00000000000000bb %d O%s Pc=publish,d=%d,k=5c0f6e1a2b3d4c59\r\n", upgradeValueBytes, id,
		upgradeDeadline)
	piece := strings.Repeat("v", upgradeValueBytes/upgradePieces)
	for n := 0; n < upgradePieces && err == nil; n++ {
		time.Sleep(upgradeUpload / upgradePieces)
		_, err = io.WriteString(c, piece)
	}
	if err == nil {
		_, err = io.WriteString(c, "\r\n")
	}
	s.note("client", "sent      %s to its last byte, %v", id, err)
	return err
}

// awaitPublish waits for the answer to the publish.
func (s *scene) awaitPublish(c *client, termAt time.Time) error {
	takenAt := time.Now()
	a, err := c.readAnswer()
	if isTimeout(err) {
		return err
	}
	s.note("client", "answer    publish-1: %q %v", a.line, err)
	s.note("check", "its last byte came %v after SIGTERM; the answer, or the end of the connection, %v after SIGTERM; "+
		"SIGKILL is due after %v", takenAt.Sub(termAt).Round(time.Millisecond),
		time.Since(termAt).Round(time.Millisecond), upgradeKillAfter)
	if err != nil {
		return fmt.Errorf("%w: a publish was taken and never answered", errBroken)
	}
	return nil
}
