package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// client is a client's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
	// bytesPerSecond is how fast it reads; 0 = as fast as it can.
	bytesPerSecond int
}

// slowReceiveBuffer is the receive buffer of a client that reads slowly.
const slowReceiveBuffer = 32 << 10

// connect opens a connection to the router. bytesPerSecond is how fast the client reads; 0 = as fast as it can.
func (s *scene) connect(bytesPerSecond int) (*client, error) {
	var dialer net.Dialer
	if bytesPerSecond > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				//nolint:errcheck // only the size of a buffer
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
			})
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", s.clientAddr)
	if err != nil {
		return nil, err
	}
	c := &client{Conn: conn, bytesPerSecond: bytesPerSecond}
	end, _ := s.ctx.Deadline()
	c.SetDeadline(end)
	c.reader = bufio.NewReaderSize(steadyReader{c}, 4<<10)
	return c, nil
}

// steadyReader reads from a client's connection, without a break and at the client's speed.
type steadyReader struct{ c *client }

// Read reads a part, and takes the client's time for it.
func (r steadyReader) Read(b []byte) (int, error) {
	n, err := r.c.Conn.Read(b)
	if r.c.bytesPerSecond > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(r.c.bytesPerSecond))
	}
	return n, err
}

// answer is what a client has received for a request.
type answer struct {
	line  string
	value []byte
	// err is why the answer is not whole; nil if it is.
	err error
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err == nil {
		return fmt.Sprintf("%q with a value of %d bytes", a.line, len(a.value))
	}
	return fmt.Sprintf("%q and %d bytes, then %v: not a whole answer", a.line, len(a.value), a.err)
}

// isWhole reports whether the answer is whole and, if it serves a key, has the value of that key.
func (a answer) isWhole(key string) bool {
	return a.err == nil && (a.value == nil || bytes.Equal(a.value, valueOf(key, len(a.value))))
}

// readAnswer reads one answer.
func (c *client) readAnswer() (a answer) {
	var line string
	line, a.err = c.reader.ReadString('\n')
	a.line = strings.TrimSpace(line)
	parts := strings.Fields(a.line)
	if a.err != nil || len(parts) < 2 || parts[0] != "VA" {
		return a
	}
	var n int
	if n, a.err = strconv.Atoi(parts[1]); a.err != nil {
		return a
	}
	a.value = make([]byte, n)
	n, a.err = io.ReadFull(c.reader, a.value)
	a.value = a.value[:n]
	if a.err == nil {
		_, a.err = c.reader.Discard(len("\r\n"))
	}
	return a
}

// The times that clients wait, which are the deadlines of their classes.
const (
	fetchTime   = 1200 * time.Millisecond
	publishTime = 1500 * time.Millisecond
)

// read is the command of a read.
func read(key, id string) string {
	return fmt.Sprintf("mg %s v O%s Pc=fetch,d=%d\r\n", key, id, fetchTime.Milliseconds())
}

// publishHead is the first line of a write of the given length.
func publishHead(key, id string, length int) string {
	return fmt.Sprintf("ms %s %d O%s Pc=publish,d=%d,k=k%s\r\n", key, length, id, publishTime.Milliseconds(), id)
}
