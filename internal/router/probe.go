package router

// Load probes.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"dockhinge.example/dockhinge/decide"
)

// probe asks a target for its load.
func (u *upstreams) probe(ctx context.Context, t *target) (decide.AttemptStatus, decide.LoadReport) {
	l := decide.NoLoadReport
	conn, err := u.acquire(ctx, t, false)
	if err != nil {
		return decide.ConnectError, l
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	ask, read := "stats load\r\n", readStatsLoad
	if t.isOrigin {
		ask, read = "GET /load HTTP/1.1\r\nHost: "+t.addr+"\r\n\r\n", readOriginLoad
	}
	if _, err = io.WriteString(conn, ask); err == nil {
		err = conn.awaitFirstByte()
	}
	if err == nil {
		l, err = read(conn.reader)
	}
	reuse := stop()
	u.release(t, conn, reuse && err == nil && conn.isReusable())
	switch {
	case err == nil:
		return decide.OK, l
	case !reuse:
		return decide.Timeout, l
	}
	return decide.Reset, l
}

func readStatsLoad(r *bufio.Reader) (decide.LoadReport, error) {
	var fields []string
	for range 64 {
		line, err := readLine(r)
		if err != nil {
			return decide.NoLoadReport, err
		}
		if string(line) == "END" {
			return readLoad(strings.Join(fields, ",")), nil
		}
		var name, value string
		if n, _ := fmt.Sscanf(string(line), "STAT %s %s", &name, &value); n != 2 {
			return decide.NoLoadReport, malformed("statistics line %q", line)
		}
		fields = append(fields, name+"="+value)
	}
	return decide.NoLoadReport, malformed("statistics without an end")
}
