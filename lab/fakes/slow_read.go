package fakes

import (
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fullSpeedBytes is how much of a request a server reads at full speed, whatever its faults.
	fullSpeedBytes = 8 << 10
	// slowReadInterval is the time between two reads of a server that reads slowly.
	slowReadInterval = 20 * time.Millisecond
	// originReceiveBytes and originSegmentBytes are the origin's receive buffer and its segments, as on an
	// ordinary network: loopback takes megabytes, which hides an origin that reads slowly.
	originReceiveBytes = 16 << 10
	originSegmentBytes = 1400
)

// limitReceiveBuffer sets the buffer and segments of a listener, which its connections inherit.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, originReceiveBytes)
		if optionErr == nil {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, originSegmentBytes)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Read reads from the connection, slowly if the server's faults say so.
func (c *serverConn) Read(b []byte) (int, error) {
	c.s.mu.Lock()
	perS := c.s.faults.ReadBytesPerS
	c.s.mu.Unlock()
	if perS > 0 && c.requestBytes >= fullSpeedBytes {
		select {
		case <-time.After(slowReadInterval):
		case <-c.closed:
			return 0, io.ErrClosedPipe
		}
		b = b[:min(len(b), max(1, int(perS*slowReadInterval.Seconds())))]
	}
	n, err := c.Conn.Read(b)
	c.requestBytes += n
	return n, err
}
