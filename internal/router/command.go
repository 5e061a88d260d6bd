package router

// The commands of the memcache meta text protocol, as clients send them to routers and routers to
// cache servers.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxLineBytes bounds the line of a command or an answer.
	maxLineBytes = 4096
	// maxKeyBytes is memcache's own limit on a key.
	maxKeyBytes = 250
	// maxBufferedValue is the longest value, in bytes, that is read completely before anything is
	// done with it.
	maxBufferedValue = 64 << 10
	// maxValueBytes is the protocol's limit on a value; one above maxBufferedValue is streamed.
	maxValueBytes = 4 << 20
	// maxIDBytes bounds a request's id.
	maxIDBytes = 64
	// maxMetadataFields bounds the fields of a command's metadata.
	maxMetadataFields = 32
	// maxNumberBytes bounds the text of a number.
	maxNumberBytes = 20
)

// errMalformed is the root of all errors about what a peer has sent. A client gets the text of
// those about its commands.
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

// command is a command of a client.
type command struct {
	// verb is one of the verbs below, or another word.
	verb string
	key  string
	// id is the client's name for the request (flag O). It is opaque.
	id string
	// metadata is the list of names and values as it came (flag P; X-Facts at the origin).
	metadata string
	// valueBytes is the length of a write's value.
	valueBytes int
	// value is a write's value, which is read after the rest; nil where upload has it.
	value []byte
	// upload is a large write that is forwarded while it comes.
	upload *upload
	// reservedBytes is what is reserved of loop.valueBytes for the value.
	reservedBytes int

	// The fields below are from the metadata.

	class          string
	tenant         string
	idempotencyKey string
	// remainingMillis is how long the client waits for the answer.
	remainingMillis float64
	// workHintMillis is how much work the client expects; 0 = unknown.
	workHintMillis float64
	// sizeBytes is how long the client expects the value to be; 0 = unknown.
	sizeBytes float64
	// isRetry is set where the client has sent the request before.
	isRetry bool
}

// isWrite reports whether the command writes a value.
func (c *command) isWrite() bool { return c.verb == verbWrite }

// isRequest reports whether the command is a request, which the loop answers.
func (c *command) isRequest() bool { return c.verb == verbRead || c.isWrite() }

// readLine returns a line without its end, valid until the next read. The reader's buffer bounds it.
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
		if !isPrintable(rune(b)) { // a line's parts go into HTTP headers, where a line end would forge others
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

// readValue reads a value of n bytes and the line end behind it; an unwanted one is discarded.
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

// readCommand reads one command but for its value. It takes the one form that routers forward and
// nothing else: a cache server closes a connection with a command that it can't read, and with it
// all that waits there.
func readCommand(r *bufio.Reader) (command, error) {
	line, err := readLine(r)
	if err != nil {
		return command{}, err
	}
	parts := strings.Fields(string(line))
	if len(parts) == 0 {
		return command{}, malformed("empty command")
	}
	c := command{verb: parts[0]}
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

// parseForm reads what stands behind the key: the value's length for a write, v for a read.
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

// parseFlags reads the id and takes the metadata, in either order.
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

// parseMetadata reads the list of names and values; unknown names are skipped.
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

// setMetadata takes one field of the metadata. This is where the wire's letters are mapped.
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

// parseDecimal reads a number in plain digits, with or without a fraction: what the library takes
// besides (signs, exponents, hexadecimal, words) is no form of the protocol.
func parseDecimal(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n > math.MaxUint32 || strings.Trim(text, "0123456789.") != "" || len(text) > maxNumberBytes {
		return 0, malformed("number %.40q", text)
	}
	return n, nil
}

// append writes the command as a cache server gets it: as it came, but for the timeout hint.
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

// The answers that a client gets.

// streamedAnswerHead is the answer with a streamed value of n bytes, up to the value.
func streamedAnswerHead(c *command, n int) []byte { return fmt.Appendf(nil, "VA %d O%s\r\n", n, c.id) }

// servedAnswer is the answer with a read's value or a write's receipt.
func servedAnswer(c *command, body []byte) []byte {
	if c.isWrite() {
		return fmt.Appendf(nil, "HD O%s c%s\r\n", c.id, body)
	}
	const headBytes = 64 // enough for most ids
	b := fmt.Appendf(make([]byte, 0, len(body)+headBytes), "VA %d O%s\r\n", len(body), c.id)
	b = append(b, body...)
	return append(b, "\r\n"...)
}

// rejectedAnswer is the answer to a request that is rejected, with its Retry-After where that is a
// millisecond at least. The wire's word for it is busy.
func rejectedAnswer(retryAfterMillis float64) []byte {
	if retryAfterMillis < 1 {
		return []byte("SERVER_ERROR busy\r\n")
	}
	return fmt.Appendf(nil, "SERVER_ERROR busy %d\r\n", int64(retryAfterMillis))
}

// failedAnswer is the answer to a request that has failed and may have run.
func failedAnswer() []byte { return []byte("SERVER_ERROR failed\r\n") }
