package router

// The answers of cache servers in the meta protocol.

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/settings"
)

// reply is what came back for an attempt.
type reply struct {
	status decide.AttemptStatus
	// body is a read's value or a write's receipt; nil where the value is streamed.
	body []byte
	// streamedBytes is the length of a value that is still to be streamed; 0 = none is.
	streamedBytes int
	// hasLineEnd is set where a line end comes behind a value that is streamed.
	hasLineEnd bool
	// cacheResult is what the server said of the key.
	cacheResult decide.CacheResult
	// load is the report that came with the answer.
	load decide.LoadReport
	// closesConnection is set where the connection carries no further request.
	closesConnection bool
}

// replyWithoutAnswer is the end of an attempt to which no answer came.
func replyWithoutAnswer(status decide.AttemptStatus) reply {
	return reply{status: status, load: decide.NoLoadReport}
}

// answerKinds are the beginnings of a cache server's answers.
var answerKinds = [][]byte{[]byte("VA "), []byte("HD "), []byte("EN"), []byte("SERVER_ERROR ")}

// canBeAnswer reports whether an answer may begin with these bytes.
func canBeAnswer(b []byte) bool {
	return slices.ContainsFunc(answerKinds, func(kind []byte) bool {
		return bytes.HasPrefix(b, kind) || len(b) < len(kind) && bytes.HasPrefix(kind, b)
	})
}

// readAnswerLine returns an answer's first line without its end and without the load report that may
// end it, and the report. Both are valid until the next read. What can't become an answer is an error
// as soon as it shows: noise may never have a line end. A report may hold any byte, as it is no part
// of the answer.
func readAnswerLine(r *bufio.Reader) (line, report []byte, err error) {
	line, err = readRawAnswerLine(r)
	if err != nil {
		return nil, nil, err
	}
	if i := bytes.Index(line, []byte(" L")); i >= 0 {
		report = line[i+2:]
		line = line[:i]
	}
	if bytes.ContainsFunc(line, func(c rune) bool { return !isPrintable(c) }) {
		return nil, nil, malformed("answer %.40q", line)
	}
	return line, report, nil
}

// readRawAnswerLine returns a line that begins as an answer does, without its end.
func readRawAnswerLine(r *bufio.Reader) ([]byte, error) {
	for wanted := 1; ; wanted = r.Buffered() + 1 {
		b, err := r.Peek(wanted)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, malformed("answer line over %d bytes", r.Size())
		}
		if err != nil {
			return nil, err
		}
		if !canBeAnswer(b) {
			return nil, malformed("answer %.40q", b)
		}
		b, _ = r.Peek(r.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			r.Discard(i + 1) //nolint:errcheck // it is buffered
			return bytes.TrimSuffix(b[:i], []byte("\r")), nil
		}
	}
}

// readReply reads a cache server's answer to a command. After an error the connection can't be used
// any more.
func readReply(r *bufio.Reader, c *command) (reply, error) {
	got := reply{load: decide.NoLoadReport}
	line, report, err := readAnswerLine(r)
	if err != nil {
		return got, err
	}
	parts := strings.Fields(string(line))
	if len(parts) < 2 {
		return got, malformed("answer %q", parts)
	}
	got.load = readLoad(string(report)) // before the buffer that holds the line is used again
	kind := parts[0]
	flags := parts[1:]
	switch {
	case kind == "VA" && c.verb == verbRead:
		err = got.readValueAnswer(r, c, flags)
	case kind == "HD" && c.isWrite():
		got.status = decide.OK
		err = got.setReceipt(c, flags)
	case kind == "EN":
		got.status = decide.Miss
		err = got.setFlags(c, flags)
	case kind == "SERVER_ERROR" && flags[0] == "busy": // an error line carries no id
		got.status = decide.QueueFull
	case kind == "SERVER_ERROR" && flags[0] == "failed":
		got.status = decide.Failed
	default:
		err = malformed("answer %q", parts)
	}
	return got, err
}

// readValueAnswer reads the rest of the answer with a value. flags begin with the value's length.
func (got *reply) readValueAnswer(r *bufio.Reader, c *command, flags []string) error {
	if err := checkAnswerID(c, flags[1:]); err != nil {
		return err // the value is another request's, and is not read
	}
	n, err := readLength(flags[0])
	if err != nil {
		return err
	}
	if n > maxBufferedValue {
		got.streamedBytes = n
		got.hasLineEnd = true
		_, err = r.Peek(1) // a value that does not begin is no answer
	} else {
		got.body, err = readValue(r, n, false)
	}
	if err != nil {
		return err
	}
	got.status = decide.OK
	return got.setFlags(c, flags[1:])
}

// setReceipt takes the flags of the answer to a write.
func (got *reply) setReceipt(c *command, flags []string) error {
	if err := got.setFlags(c, flags); err != nil {
		return err
	}
	receipt := ""
	for _, flag := range flags {
		if flag[0] == 'c' {
			receipt = flag[1:]
		}
	}
	if receipt == "" {
		return malformed("write without a receipt")
	}
	got.body = []byte(receipt)
	return nil
}

// setFlags takes what an answer's flags say of the read.
func (got *reply) setFlags(c *command, flags []string) error {
	if err := checkAnswerID(c, flags); err != nil {
		return err
	}
	for _, flag := range flags {
		switch flag[0] {
		case 'h':
			got.cacheResult = map[string]decide.CacheResult{"h1": decide.CacheHit, "h0": decide.CacheMiss}[flag]
		case 'Z':
			got.cacheResult = decide.CacheMissDuringFetch
		}
	}
	return nil
}

// checkAnswerID returns an error for an answer with another request's id: it was left over on the
// connection and must not reach this client.
func checkAnswerID(c *command, flags []string) error {
	id, err := answerID(flags)
	if err == nil && id != c.id {
		err = malformed("answer for id %q, want %q", id, c.id)
	}
	return err
}

// answerID finds the id among an answer's flags. An answer with two belongs to no request.
func answerID(flags []string) (id string, err error) {
	for _, flag := range flags {
		if flag[0] != 'O' {
			continue
		}
		if id != "" {
			return "", malformed("answer with two ids")
		}
		id = flag[1:]
	}
	return id, nil
}

// readLoad reads a load report. One with a figure that can't be read is absent: the rest is no
// better.
func readLoad(text string) decide.LoadReport {
	load := decide.NoLoadReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 0) || strings.ContainsAny(value, "xXpP_") { // or hexadecimal
			return decide.NoLoadReport
		}
		settings.SetLoadField(&load, name, n)
	}
	return load
}
