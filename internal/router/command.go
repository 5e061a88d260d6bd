package router

// The commands of the memcache meta text protocol, which clients send to routers and routers send
// to cache servers.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxLineBytes limits the line of a command or an answer.
	maxLineBytes = 4096
	// maxKeyBytes is memcache's limit on a key.
	maxKeyBytes = 250
	// maxBufferedValue is the length, in bytes, up to which a value is read completely before it is
	// processed.
	maxBufferedValue = 64 << 10
	// maxValueBytes is the protocol's limit on a value. Values above maxBufferedValue are streamed.
	maxValueBytes = 4 << 20
	// maxCopiedValue is the length up to which a value is copied into its answer; longer ones are
	// written from where they were read.
	maxCopiedValue = 1 << 10
	// maxIDBytes limits a request's id.
	maxIDBytes = 64
	// maxMetadataFields limits the number of fields in a command's metadata.
	maxMetadataFields = 32
	// maxNumberBytes limits the text of a number.
	maxNumberBytes = 20
)

// errMalformed is wrapped by all errors about invalid data from a peer. A client receives the text
// of the errors about its commands.
var errMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// The verbs of the protocol.
const (
	verbRead        = "mg"
	verbWrite       = "ms"
	verbNoOperation = "mn"
	verbQuit        = "quit"
)

// command is a client's command.
type command struct {
	// verb is one of the verbs above, or an unknown word.
	verb string
	key  string
	// id is the client's opaque id for the request (flag O).
	id string
	// metadata is the list of names and values as received (flag P; X-Facts at the origin).
	metadata string
	// headBytes is the length of the command's line.
	headBytes int
	// valueBytes is the length of a write's value.
	valueBytes int
	// value is a write's value, read after the rest of the command; nil for an upload.
	value []byte
	// upload is a large write that is forwarded while it is received.
	upload *upload
	// reservedBytes is how much of loop.requestBytes is reserved for the head and the value.
	reservedBytes int

	// The fields below are from the metadata.

	class          string
	tenant         string
	idempotencyKey string
	// remainingMillis is how long the client will wait for the answer.
	remainingMillis float64
	// workHintMillis is the client's estimate of the work; 0 = unknown.
	workHintMillis float64
	// sizeBytes is the client's estimate of the value's length; 0 = unknown.
	sizeBytes float64
	// isRetry is set if the client has sent the request before.
	isRetry bool
}

// isWrite reports whether the command writes a value.
func (c *command) isWrite() bool { return c.verb == verbWrite }

// isRequest reports whether the command is a request, which the loop answers.
func (c *command) isRequest() bool { return c.verb == verbRead || c.isWrite() }

// readLine returns a line without its line end. The line is limited by the reader's buffer and
// valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, malformed("line over %d bytes", r.Size())
	}
	if err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, malformed("line without its end")
	}
	line = line[:len(line)-2]
	for _, b := range line {
		if !isPrintable(rune(b)) { // parts of the line go into HTTP headers, where a line end would inject others
			return nil, malformed("byte %#x in a line", b)
		}
	}
	return line, nil
}

// isPrintable reports whether a character is printable ASCII.
func isPrintable(c rune) bool { return c >= ' ' && c <= '~' }

// readLength reads the length of a value.
func readLength(text string) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || n > maxValueBytes {
		return 0, malformed("value length %.40q", text)
	}
	return int(n), nil
}

// readValue reads a value of n bytes and the line end after it. An unwanted value is discarded.
func readValue(r *bufio.Reader, n int, isUnwanted bool) ([]byte, error) {
	var value []byte
	var err error
	if isUnwanted {
		_, err = r.Discard(n)
	} else {
		value = make([]byte, n)
		_, err = io.ReadFull(r, value)
	}
	if err != nil {
		return nil, err
	}
	end, err := r.Peek(2)
	if len(end) > 0 && end[0] != '\r' || len(end) > 1 && end[1] != '\n' {
		return nil, malformed("value without its end")
	}
	if err != nil {
		return nil, err
	}
	r.Discard(2) //nolint:errcheck // it is buffered
	return value, nil
}

// readCommand reads one command without its value. It accepts only the exact form that routers
// forward: a cache server closes the connection on a command that it can't parse, which would fail
// the other requests on it too.
func readCommand(r *bufio.Reader) (command, error) {
	line, err := readLine(r)
	if err != nil {
		return command{}, err
	}
	parts := strings.Fields(string(line))
	if len(parts) == 0 {
		return command{}, malformed("empty command")
	}
	c := command{verb: parts[0], headBytes: len(line)}
	if !c.isRequest() {
		return c, nil
	}
	if len(parts) != 5 || len(parts[1]) > maxKeyBytes {
		form := "v"
		if c.isWrite() {
			form = "a length"
		}
		return c, malformed("%s takes a key of up to %d bytes, %s, O and P", c.verb, maxKeyBytes, form)
	}
	c.key = parts[1]
	if err := c.parseForm(parts[2]); err != nil {
		return c, err
	}
	if err := c.parseFlags(parts[3:]); err != nil {
		return c, err
	}
	return c, c.parseMetadata()
}

// parseForm parses the word after the key: the value's length for a write, v for a read.
func (c *command) parseForm(text string) (err error) {
	if c.isWrite() {
		c.valueBytes, err = readLength(text)
		return err
	}
	if text != "v" {
		return malformed("mg without v")
	}
	return nil
}

// parseFlags parses the flags for id and metadata, in either order.
func (c *command) parseFlags(flags []string) error {
	for _, flag := range flags {
		switch {
		case flag[0] == 'O' && c.id == "" && len(flag) > 1 && len(flag) <= 1+maxIDBytes:
			c.id = flag[1:]
		case flag[0] == 'P' && c.metadata == "":
			c.metadata = flag[1:]
		default:
			return malformed("flag %.40q", flag)
		}
	}
	if c.id == "" {
		return malformed("no id")
	}
	return nil
}

// parseMetadata parses the list of names and values. Unknown names are ignored.
func (c *command) parseMetadata() error {
	c.remainingMillis = -1
	var names []string
	for field := range strings.SplitSeq(c.metadata, ",") {
		name, value, found := strings.Cut(field, "=")
		if !found || name == "" || value == "" || slices.Contains(names, name) || len(names) == maxMetadataFields {
			return malformed("fact %.40q", field)
		}
		names = append(names, name)
		if err := c.setMetadata(name, value); err != nil {
			return err
		}
	}
	c.workHintMillis /= 1000 // it is in microseconds on the wire
	if c.class == "" || c.remainingMillis < 0 {
		return malformed("no class or no time")
	}
	return nil
}

// setMetadata sets one field of the metadata. It maps the names on the wire to fields.
func (c *command) setMetadata(name, value string) (err error) {
	switch name {
	case "c":
		c.class = value
	case "t":
		c.tenant = value
	case "k":
		c.idempotencyKey = value
	case "r":
		c.isRetry = value == "1"
		if !c.isRetry && value != "0" {
			return malformed("fact %.40q", name+"="+value)
		}
	case "d":
		c.remainingMillis, err = parseDecimal(value)
	case "h":
		c.workHintMillis, err = parseDecimal(value)
	case "size":
		c.sizeBytes, err = parseDecimal(value)
	}
	return err
}

// parseDecimal parses a number of plain digits with an optional fraction. Other forms that the
// library accepts (signs, exponents, hexadecimal, words) are not part of the protocol.
func parseDecimal(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n > math.MaxUint32 || strings.Trim(text, "0123456789.") != "" || len(text) > maxNumberBytes {
		return 0, malformed("number %.40q", text)
	}
	return n, nil
}

// append appends the command as it is sent to a cache server: as received, except for the timeout
// hint.
func (c *command) append(b []byte, hint timeoutHint) []byte {
	b = append(b, c.verb...)
	b = append(b, ' ')
	b = append(b, c.key...)
	if c.isWrite() {
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(len(c.value)), 10)
	} else {
		b = append(b, " v"...)
	}
	b = append(b, " O"...)
	b = append(b, c.id...)
	b = append(b, " P"...)
	b = append(b, c.metadataWithHint(hint)...)
	b = append(b, "\r\n"...)
	if c.isWrite() {
		b = append(b, c.value...)
		b = append(b, "\r\n"...)
	}
	return b
}

// The answers sent to clients.

// streamedAnswerHead returns the part of an answer before a value of n bytes.
func streamedAnswerHead(c *command, n int) []byte { return fmt.Appendf(nil, "VA %d O%s\r\n", n, c.id) }

// servedAnswer returns the answer with a read's value or a write's receipt.
func servedAnswer(c *command, got reply) answerParts {
	answer := answerParts{}
	answer.memory.add(got.memory)
	if c.isWrite() {
		answer.text = fmt.Appendf(nil, "HD O%s c%s\r\n", c.id, got.body)
		return answer
	}
	valueBytes := len(got.body)
	for _, part := range got.rest {
		valueBytes += len(part)
	}
	if valueBytes > maxCopiedValue {
		answer.text = streamedAnswerHead(c, valueBytes)
		answer.value = append(net.Buffers{got.body}, got.rest...)
		return answer
	}
	const headBytes = 64 // enough for most ids
	answer.text = fmt.Appendf(make([]byte, 0, valueBytes+headBytes), "VA %d O%s\r\n", valueBytes, c.id)
	answer.text = append(answer.text, got.body...)
	answer.text = append(answer.text, "\r\n"...)
	return answer
}

// rejectedAnswer returns the answer to a rejected request, with its Retry-After if that is at least
// a millisecond. The protocol's word for it is busy.
func rejectedAnswer(retryAfterMillis float64) []byte {
	if retryAfterMillis < 1 {
		return []byte("SERVER_ERROR busy\r\n")
	}
	return fmt.Appendf(nil, "SERVER_ERROR busy %d\r\n", int64(retryAfterMillis))
}

// failedAnswer returns the answer to a request that has failed and may have run.
func failedAnswer() []byte { return []byte("SERVER_ERROR failed\r\n") }
