package router

// The answers of cache servers in the meta protocol.

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/settings"
)

// reply is the result of an attempt.
type reply struct {
	status decide.AttemptStatus
	// body is a read's value or a write's receipt; nil if the value is streamed.
	body []byte
	// rest holds the further parts of a value of unknown length.
	rest net.Buffers
	// memory is reserved for body and rest; nil if there is no answer.
	memory *answerMemory
	// isOverMemory is set if the server has answered and there is no memory for the answer.
	isOverMemory bool
	// streamedBytes is the length of a value that is still to be streamed; 0 = none.
	streamedBytes int
	// hasLineEnd is set if a line end follows the streamed value.
	hasLineEnd bool
	// cacheResult is whether the server had the key cached.
	cacheResult decide.CacheResult
	// load is the load report in the answer.
	load decide.LoadReport
	// closesConnection is set if the connection can't carry another request.
	closesConnection bool
}

// replyWithoutAnswer returns the result of an attempt that received no answer.
func replyWithoutAnswer(status decide.AttemptStatus) reply {
	return reply{status: status, load: decide.NoLoadReport}
}

// answerKinds are the possible beginnings of a cache server's answers.
var answerKinds = [][]byte{[]byte("VA "), []byte("HD "), []byte("EN"), []byte("SERVER_ERROR ")}

// canBeAnswer reports whether an answer can begin with these bytes.
func canBeAnswer(b []byte) bool {
	return slices.ContainsFunc(answerKinds, func(kind []byte) bool {
		return bytes.HasPrefix(b, kind) || len(b) < len(kind) && bytes.HasPrefix(kind, b)
	})
}

// readAnswerLine returns an answer's first line, without line end and load report, and the load
// report. Both are valid until the next read. Input that can't become an answer is an error at
// once, because it may never contain a line end. A load report may contain any byte, as it is not
// part of the answer.
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

// readRawAnswerLine returns a line that begins like an answer, without its line end.
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
// again. Nor can it after an error line, which has no id: a server may send an answer a second time,
// and a late duplicate would be taken for the answer to the connection's next request. That request
// would count as never run, or as failed, while it is still running.
func readReply(r *bufio.Reader, c *command, memory *answerMemory) (reply, error) {
	got := reply{load: decide.NoLoadReport, memory: memory}
	line, report, err := readAnswerLine(r)
	if err != nil {
		return got, err
	}
	parts := strings.Fields(string(line))
	if len(parts) < 2 {
		return got, malformed("answer %q", parts)
	}
	got.load = readLoad(string(report)) // before the line's buffer is overwritten
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
	case kind == "SERVER_ERROR" && flags[0] == "busy":
		got.status = decide.QueueFull
		got.closesConnection = true
	case kind == "SERVER_ERROR" && flags[0] == "failed":
		got.status = decide.Failed
		got.closesConnection = true
	default:
		err = malformed("answer %q", parts)
	}
	return got, err
}

// readValueAnswer reads the rest of an answer with a value. The first flag is the value's length.
func (got *reply) readValueAnswer(r *bufio.Reader, c *command, flags []string) error {
	n, err := readLength(flags[0])
	if err != nil {
		return err
	}
	if err := checkAnswerID(c, flags[1:], n); err != nil {
		return err // the value belongs to another request and is not read
	}
	if n > maxBufferedValue {
		got.streamedBytes = n
		got.hasLineEnd = true
	} else if err = got.memory.grow(n); err == nil {
		got.body, err = readValue(r, n, false)
	}
	if err != nil {
		return err
	}
	got.status = decide.OK
	return got.setFlags(c, flags[1:])
}

// setReceipt sets the receipt and the flags of the answer to a write.
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
	if err := got.memory.grow(len(receipt)); err != nil {
		return err
	}
	got.body = []byte(receipt)
	return nil
}

// setFlags sets the results of a read that an answer's flags contain.
func (got *reply) setFlags(c *command, flags []string) error {
	if err := checkAnswerID(c, flags, noValue); err != nil {
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

// checkAnswerID returns an error for an answer with another request's id, whose value has the given
// length. Such an answer was left over on the connection and must not reach this client.
func checkAnswerID(c *command, flags []string, valueBytes int) error {
	id, err := answerID(flags)
	if err == nil && id != c.id {
		err = &foreignAnswerError{id: id, wantedID: c.id, valueBytes: valueBytes}
	}
	return err
}

// answerID returns the id among an answer's flags. An answer with two ids is malformed.
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

// readLoad parses a load report. A report with an invalid number is ignored completely.
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
