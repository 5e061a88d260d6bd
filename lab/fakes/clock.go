// Package fakes serves the models of lab/model on real sockets: cache servers, the origin and discovery,
// the network between them, and the front that distributes clients over routers. Faults can be injected
// into each at run time. The fakes record their events in the checker's journal. The protocols are
// implemented from their public descriptions.
package fakes

import (
	"net"
	"time"
)

// Clock is the lab's clock, shared by all fakes and clients: milliseconds since its start.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now returns the time in milliseconds.
func (c *Clock) Now() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// Unix converts a time of the clock to Unix milliseconds.
func (c *Clock) Unix(at float64) float64 { return float64(c.start.UnixMilli()) + at }

// FromUnix converts Unix milliseconds to a time of the clock.
func (c *Clock) FromUnix(at float64) float64 { return at - float64(c.start.UnixMilli()) }

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// reset closes a connection with a TCP reset, as the death of a process does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails for a connection that is closed already
	}
	c.Close()
}
