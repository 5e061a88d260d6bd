package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one command.
type answer struct {
	// line is the first line, without its end.
	line string
	// value is the value behind it.
	value string
	at    time.Time
}

// client is one connection of a client.
type client struct {
	record *record
	name   string
	conn   net.Conn
	in     *bufio.Reader
}

func dialClient(rec *record, name, addr string) (*client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{record: rec, name: name, conn: conn, in: bufio.NewReader(conn)}, nil
}

// send writes commands at once.
func (c *client) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	for line := range strings.SplitSeq(strings.TrimSpace(text), "\r\n") {
		if strings.HasPrefix(line, "m") {
			c.record.event("client %s sent %s", c.name, line)
		}
	}
	return err
}

// read reads the answer to one command. An answer that is not whole is an error.
func (c *client) read() (answer, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.record.event("client %s: no answer, the connection ended: %v", c.name, err)
		return answer{}, err
	}
	a := answer{line: strings.TrimRight(line, "\r\n")}
	if words := strings.Fields(line); len(words) > 1 && words[0] == "VA" {
		n, err := strconv.Atoi(words[1])
		if err != nil {
			return a, err
		}
		value := make([]byte, n+len("\r\n"))
		got, err := io.ReadFull(c.in, value)
		if err != nil {
			c.record.event("client %s: %s, cut after %d bytes: %v", c.name, a.line, got, err)
			return a, err
		}
		a.value = string(value[:n])
	}
	a.at = time.Now()
	c.record.event("client %s got %s", c.name, a.line)
	return a, nil
}

// get returns a read.
func get(key, id, class string, millis int) string {
	return fmt.Sprintf("mg %s v O%s Pc=%s,d=%d\r\n", key, id, class, millis)
}

// put returns a write.
func put(key, id, class string, millis int, value string) string {
	return fmt.Sprintf("ms %s %d O%s Pc=%s,d=%d\r\n%s\r\n", key, len(value), id, class, millis, value)
}
