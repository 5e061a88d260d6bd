// Package fakes puts the models of lab/model behind real sockets: cache servers, the origin, discovery, the network
// between them and the front that deals out clients. Faults can be set on each while it runs. What each saw goes into the
// referee's journal. The protocols are written from their public descriptions.
package fakes

import (
	"net"
	"time"
)

// Clock is the lab's clock: milliseconds since its start, the same for all parties.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now is the time in milliseconds.
func (c *Clock) Now() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// Unix is a time of the clock in Unix milliseconds.
func (c *Clock) Unix(at float64) float64 { return float64(c.start.UnixMilli()) + at }

// FromUnix is a time in Unix milliseconds on the clock.
func (c *Clock) FromUnix(at float64) float64 { return at - float64(c.start.UnixMilli()) }

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// reset ends a connection as a process that dies does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a connection that is gone already can't be reset
	}
	c.Close()
}
