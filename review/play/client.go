package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// client is a client's connection to a router.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// clientPatience is how long a client waits for an answer before the case goes on without it: far
// longer than any deadline.
const clientPatience = 40 * time.Second

// dial connects a client.
func dial(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// readCommand returns the text of a read.
func readCommand(key, id, class string, deadlineMillis int) string {
	return fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", key, id, class, deadlineMillis)
}

// answer is a router's answer.
type answer struct {
	// line is its first line.
	line string
	// value is the value of VA.
	value string
}

// isBusy reports whether the answer is a refusal.
func (a answer) isBusy() bool { return strings.HasPrefix(a.line, "SERVER_ERROR busy") }

// errNotWhole is returned for an answer that has begun and is not whole.
var errNotWhole = errors.New("the answer is not whole")

// isTimeout reports whether a client's patience has ended.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// readAnswer reads the next answer.
func (c *client) readAnswer() (answer, error) {
	c.SetReadDeadline(time.Now().Add(clientPatience))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		if line != "" {
			err = errors.Join(errNotWhole, err)
		}
		return answer{}, err
	}
	a := answer{line: strings.TrimRight(line, "\r\n")}
	fields := strings.Fields(a.line)
	if len(fields) < 2 || fields[0] != "VA" {
		return a, nil
	}
	n, err := strconv.Atoi(fields[1])
	if err != nil {
		return a, err
	}
	body := make([]byte, n+len("\r\n"))
	got, err := io.ReadFull(c.reader, body)
	if err != nil {
		a.value = string(body[:min(got, n)])
		return a, errors.Join(errNotWhole, err)
	}
	a.value = string(body[:n])
	return a, nil
}
