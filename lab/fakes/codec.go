package fakes

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"net/http"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/lab/checker"
	"dockhinge.example/dockhinge/lab/model"
)

// request is a parsed command.
type request struct {
	kind  string // get, set, ready, load, or bad for a malformed command
	id    string
	key   string
	class string
	idem  string
	size  int // size in bytes of the value sent with the command
	hint  checker.TimeoutHint
}

// answer is a server's answer to a request.
type answer struct {
	model.Outcome
	id     string
	value  []byte
	report *model.Report
}

// codec is the protocol of a server.
type codec interface {
	read(r *bufio.Reader) (request, error)
	write(req request, a answer) []byte
}

// MaxValue is the largest value that a fake server accepts or returns, in bytes.
const MaxValue = 4 << 20

const maxLineBytes = 8 << 10

var errLineTooLong = errors.New("line too long")

var crcTable = crc64.MakeTable(crc64.ECMA)

// Checksum returns the checksum of a value that events carry.
func Checksum(value []byte) uint64 { return crc64.Checksum(value, crcTable) }

// NewValue returns a server's value for a request. Its size bytes begin with the request's id, the key
// and the producer, as far as they fit, so that the values of different requests differ.
func NewValue(producer, key, id string, size int) []byte {
	head := id + " " + key + " " + producer + " "
	v := make([]byte, max(size, 1))
	n := copy(v, head)
	for i := n; i < len(v); i++ {
		v[i] = 'a' + byte(i%23)
	}
	return v
}

// parseFacts parses a comma-separated list of name=value pairs.
func parseFacts(text string) map[string]string {
	m := map[string]string{}
	for f := range strings.SplitSeq(text, ",") {
		if k, v, ok := strings.Cut(f, "="); ok {
			m[k] = v
		}
	}
	return m
}

// parseTimeoutHint returns the time for which the router will wait; a value that is not a number counts as
// no hint.
func parseTimeoutHint(named map[string]string) checker.TimeoutHint {
	millis, err := strconv.ParseFloat(named["d"], 64)
	return checker.TimeoutHint{Millis: millis, IsPresent: err == nil}
}

func formatLoad(r *model.Report) string {
	return fmt.Sprintf("qps=%.2f,util=%.4f,x0=%.4f", r.QPS, r.Util, r.Hits)
}

// metaCodec implements the meta protocol of cache servers.
type metaCodec struct {
	probes  bool // answers `stats load`
	reports bool // adds a load report to each answer
}

func (metaCodec) readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return "", errLineTooLong
	}
	return strings.TrimRight(string(line), "\r\n"), err
}

func (m metaCodec) read(r *bufio.Reader) (request, error) {
	line, err := m.readLine(r)
	if err != nil {
		return request{}, err
	}
	w := strings.Fields(line)
	switch {
	case line == "mn":
		return request{kind: "ready"}, nil
	case line == "stats load":
		return request{kind: "load"}, nil
	case len(w) < 3 || w[0] != "mg" && w[0] != "ms":
		return request{kind: "bad"}, nil
	}
	q := request{kind: "get", key: w[1]}
	for _, f := range w[2:] {
		switch f[0] {
		case 'O':
			q.id = f[1:]
		case 'P':
			named := parseFacts(f[1:])
			q.class, q.idem, q.hint = named["c"], named["k"], parseTimeoutHint(named)
		}
	}
	if w[0] == "ms" {
		if q.size, err = strconv.Atoi(w[2]); err != nil || q.size < 0 || q.size > MaxValue {
			return request{kind: "bad"}, fmt.Errorf("invalid value length %q", w[2])
		}
		q.kind = "set"
		if _, err := io.CopyN(io.Discard, r, int64(q.size)+2); err != nil {
			return request{}, err
		}
	}
	if q.id == "" || q.class == "" {
		q.kind = "bad"
	}
	return q, nil
}

func (m metaCodec) write(q request, a answer) []byte {
	switch q.kind {
	case "bad":
		return []byte("CLIENT_ERROR bad command\r\n")
	case "ready":
		return []byte("MN\r\n")
	case "load":
		if !m.probes || a.report == nil {
			return []byte("ERROR\r\n")
		}
		return fmt.Appendf(nil, "STAT qps %.2f\r\nSTAT util %.4f\r\nSTAT x0 %.4f\r\nEND\r\n",
			a.report.QPS, a.report.Util, a.report.Hits)
	}
	flags := " O" + a.id
	note := map[model.Outcome]string{model.Served: " h1", model.Missed: " h0", model.Fetching: " h0 Z"}[a.Outcome]
	if q.kind == "set" {
		note = ""
	}
	if flags += note; m.reports && a.report != nil {
		flags += " L" + formatLoad(a.report)
	}
	switch a.Outcome {
	case model.Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case model.Failed:
		return []byte("SERVER_ERROR failed\r\n")
	case model.Missed, model.Fetching:
		return []byte("EN" + flags + "\r\n")
	}
	if q.kind == "set" {
		return []byte("HD" + flags + " c" + string(a.value) + "\r\n")
	}
	return append(append(fmt.Appendf(nil, "VA %d%s\r\n", len(a.value), flags), a.value...), "\r\n"...)
}

// originCodec implements the origin's protocol, HTTP/1.1.
type originCodec struct{}

func (originCodec) read(r *bufio.Reader) (request, error) {
	h, err := http.ReadRequest(r)
	if err != nil {
		return request{}, err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(h.Body, MaxValue+1))
	if err != nil { // the router has given the request up before its last byte, so it never runs
		return request{}, fmt.Errorf("body of %d bytes: %w", n, err)
	}
	if n > MaxValue {
		return request{kind: "bad"}, fmt.Errorf("body of over %d bytes", MaxValue)
	}
	named := parseFacts(h.Header.Get("X-Facts"))
	q := request{kind: "get", id: h.Header.Get("X-Correlation-Id"), key: strings.TrimPrefix(h.URL.Path, "/"),
		class: named["c"], idem: named["k"], hint: parseTimeoutHint(named), size: int(n)}
	switch {
	case h.Method == http.MethodPut:
		q.kind = "set"
	case h.URL.Path == "/healthz":
		q.kind = "ready"
	case h.URL.Path == "/load":
		q.kind = "load"
	}
	if (q.kind == "get" || q.kind == "set") && (q.id == "" || q.class == "") {
		q.kind = "bad"
	}
	return q, nil
}

func (originCodec) write(q request, a answer) []byte {
	resp := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	body := a.value
	switch {
	case q.kind == "bad":
		resp.StatusCode = http.StatusBadRequest
	case q.kind == "ready" || q.kind == "load":
	case a.Outcome == model.Busy:
		resp.StatusCode = http.StatusServiceUnavailable
		resp.Header.Set("X-Unprocessed", "1")
	case a.Outcome == model.Failed:
		resp.StatusCode = http.StatusInternalServerError
	}
	if a.report != nil {
		resp.Header.Set("X-Backend-Load", formatLoad(a.report))
	}
	resp.ContentLength, resp.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	if len(body) == 0 { // otherwise net/http writes no length, and the body would end with the connection
		resp.Body, resp.TransferEncoding = http.NoBody, nil
		resp.Header.Set("Content-Length", "0")
	}
	var b bytes.Buffer
	_ = resp.Write(&b) // into memory
	return b.Bytes()
}
