package router

// Health checks, which request a server's load.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"dockhinge.example/dockhinge/decide"
)

// maxStatisticsLines limits the lines of an answer with statistics.
const maxStatisticsLines = 64

// checkHealth requests a server's load until ctx ends.
func (u *upstreams) checkHealth(ctx context.Context, t *target) (decide.AttemptStatus, decide.LoadReport) {
	conn, err := u.acquire(ctx, t, false)
	if err != nil {
		return decide.ConnectError, decide.NoLoadReport
	}
	stopWatch := context.AfterFunc(ctx, func() { conn.Close() })
	load, err := conn.requestLoad(t)
	isOpen := stopWatch()
	u.release(t, conn, isOpen && err == nil && conn.isReusable())
	switch {
	case err == nil:
		return decide.OK, load
	case !isOpen:
		return decide.Timeout, load
	}
	return decide.Reset, load
}

// requestLoad requests the load over a connection, in the target's protocol.
func (c *upstreamConn) requestLoad(t *target) (decide.LoadReport, error) {
	command := "stats load\r\n"
	read := readStatsLoad
	if t.isOrigin {
		command = "GET /load HTTP/1.1\r\nHost: " + t.addr + "\r\n\r\n"
		read = readOriginLoad
	}
	if _, err := io.WriteString(c, command); err != nil {
		return decide.NoLoadReport, err
	}
	for {
		if err := c.awaitFirstByte(); err != nil {
			return decide.NoLoadReport, err
		}
		load, err := read(c.reader)
		if err == nil {
			c.last = lastAnswer{isStatistics: !t.isOrigin}
		}
		if err == nil || !c.skipDuplicate(err) {
			return load, err
		}
	}
}

// readStatsLoad reads a cache server's statistics.
func readStatsLoad(r *bufio.Reader) (decide.LoadReport, error) {
	var fields []string
	for range maxStatisticsLines {
		line, err := readLine(r)
		if err != nil {
			return decide.NoLoadReport, err
		}
		if string(line) == "END" {
			return readLoad(strings.Join(fields, ",")), nil
		}
		var name, value string
		if err := foreignAnswer(string(line)); err != nil && len(fields) == 0 {
			return decide.NoLoadReport, err
		}
		if n, _ := fmt.Sscanf(string(line), "STAT %s %s", &name, &value); n != 2 {
			return decide.NoLoadReport, malformed("statistics line %q", line)
		}
		fields = append(fields, name+"="+value)
	}
	return decide.NoLoadReport, malformed("statistics without an end")
}
