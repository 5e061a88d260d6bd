package router

// The origin's protocol, HTTP/1.1.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"

	"dockhinge.example/dockhinge/decide"
)

const (
	// maxHeadBytes limits a status line with its headers.
	maxHeadBytes = 16 << 10
	// maxProvisional limits the number of 1xx answers before the answer.
	maxProvisional = 8
)

// originRequest returns a command as it is sent to the origin, or an error if it has no valid HTTP
// form.
func originRequest(addr string, c *command, hint timeoutHint) ([]byte, error) {
	r := &http.Request{
		Method:     http.MethodGet,
		URL:        &url.URL{Scheme: "http", Host: addr, Path: "/" + c.key},
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       addr,
		Header: http.Header{
			"X-Correlation-Id": {c.id},
			"X-Facts":          {c.metadataWithHint(hint)},
			"User-Agent":       {""},
		},
	}
	if c.isWrite() {
		r.Method = http.MethodPut
		r.ContentLength = int64(len(c.value))
		r.Body = io.NopCloser(bytes.NewReader(c.value))
	}
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		return nil, fmt.Errorf("origin request: %w", err)
	}
	return b.Bytes(), nil
}

// readHead reads a status line and headers, up to maxHeadBytes. The library has no limit of its
// own.
func readHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) || len(head)+len(line) > maxHeadBytes {
			return nil, malformed("origin head too long")
		}
		if err != nil {
			return nil, fmt.Errorf("origin answer: %w", err)
		}
		if len(head) == 0 && !bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return nil, malformed("origin answer %.40q", line)
		}
		replaceControls(line[:len(line)-1])
		head = append(head, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
}

// replaceControls replaces control characters in a header line. The library would reject the
// complete answer because of one such byte in a load report; now only the report is invalid.
func replaceControls(line []byte) {
	const deleteCharacter = 0x7f
	for i, b := range line {
		if (b < ' ' || b == deleteCharacter) && b != '\t' && b != '\r' {
			line[i] = '?'
		}
	}
}

// originReader reads the origin's answers from a connection. It reads bodies itself, because Close
// in the library would read an unwanted body to its end, whatever its length.
type originReader struct {
	*bufio.Reader
	method string
	// mayStream is set if a long body may be left unread for streaming.
	mayStream bool
	// memory is what is reserved for the body.
	memory *answerMemory
}

// originBody is a body that was read. Only a body of unknown length has more than its first part.
type originBody struct {
	first []byte
	rest  net.Buffers
}

// readResponse reads an answer with its body. The body is empty if it is to be streamed.
func (r originReader) readResponse() (*http.Response, originBody, error) {
	for range maxProvisional {
		head, err := readHead(r.Reader)
		if err != nil {
			return nil, originBody{}, err
		}
		request := &http.Request{Method: r.method}
		resp, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), request)
		switch {
		case err != nil:
			return nil, originBody{}, malformed("origin answer: %v", err)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, originBody{}, malformed("origin answer: status %d", resp.StatusCode)
		case resp.StatusCode >= http.StatusOK && r.isStreamed(resp):
			return resp, originBody{}, nil
		case resp.StatusCode >= http.StatusOK:
			endsWithConnection := bytes.Contains(bytes.ToLower(head), []byte("\nconnection: close\r\n"))
			body, err := r.readBody(resp, endsWithConnection)
			return resp, body, err
		}
	}
	return nil, originBody{}, malformed("over %d provisional answers", maxProvisional)
}

// isStreamed reports whether an answer's body is to be streamed.
func (r originReader) isStreamed(resp *http.Response) bool {
	return r.mayStream && resp.StatusCode == http.StatusOK &&
		resp.ContentLength > maxBufferedValue && resp.ContentLength <= maxValueBytes
}

// readBody reads an answer's body. A body that ends with the connection is accepted only if the
// answer announced that with "Connection: close"; otherwise it can't be distinguished from an
// incomplete one.
func (r originReader) readBody(resp *http.Response, endsWithConnection bool) (body originBody, err error) {
	n := resp.ContentLength
	isChunked := slices.Contains(resp.TransferEncoding, "chunked")
	switch {
	case n > maxBufferedValue || n < 0 && !isChunked && !endsWithConnection:
		return body, malformed("origin value of %d bytes", n)
	case n < 0 && !isChunked:
		return readUnsized(r.Reader, r.memory)
	case n >= 0:
		if err := r.memory.grow(int(n)); err != nil {
			return body, err
		}
		body.first = make([]byte, n)
		if _, err := io.ReadFull(r.Reader, body.first); err != nil {
			return body, fmt.Errorf("origin answer: %w", err)
		}
		return body, nil
	}
	body, err = readUnsized(httputil.NewChunkedReader(r.Reader), r.memory)
	if err != nil {
		return body, err
	}
	for { // trailers
		line, err := readLine(r.Reader)
		if err != nil || len(line) == 0 {
			return body, err
		}
	}
}

// readUnsized reads a body whose length is known only at its end. It is read completely, as the
// answer to a client begins with the length.
func readUnsized(r io.Reader, memory *answerMemory) (body originBody, err error) {
	for size := 0; ; {
		part, err := readUnsizedPart(r, memory)
		size += len(part)
		switch {
		case size > maxValueBytes:
			return body, malformed("origin value of over %d bytes", maxValueBytes)
		case body.first == nil:
			body.first = part
		case len(part) > 0:
			body.rest = append(body.rest, part)
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, fmt.Errorf("origin answer: %w", err)
		}
	}
}

// readUnsizedPart reads a part of a body of unknown length into memory of its own. At the end of
// the body it returns the last part, which may be empty, with io.EOF.
func readUnsizedPart(r io.Reader, memory *answerMemory) ([]byte, error) {
	chunk := chunkPool.Get().(*[chunkBytes]byte)
	defer chunkPool.Put(chunk)
	size := 0
	var err error
	for size < chunkBytes && err == nil {
		var n int
		n, err = r.Read(chunk[size:])
		size += n
	}
	if err != nil && err != io.EOF {
		return nil, err
	}
	if growErr := memory.grow(size); growErr != nil {
		return nil, growErr
	}
	return slices.Clone(chunk[:size]), err
}

// readOriginReply reads the origin's answer to a command.
func readOriginReply(r *bufio.Reader, c *command, memory *answerMemory) (reply, error) {
	got := reply{load: decide.NoLoadReport, memory: memory}
	reader := originReader{Reader: r, method: http.MethodGet, mayStream: true, memory: memory}
	if c.isWrite() {
		reader.method = http.MethodPut
		reader.mayStream = false
	}
	resp, body, err := reader.readResponse()
	if err != nil {
		return got, err
	}
	got.body = body.first
	got.rest = body.rest
	got.load = readLoad(resp.Header.Get("X-Backend-Load"))
	got.closesConnection = resp.Close
	got.status = originStatus(resp)
	if got.status != decide.OK {
		// A late duplicate would prove of the next request that it never ran, or has failed.
		got.closesConnection = true
		return got, nil
	}
	if body.first == nil && resp.ContentLength > maxBufferedValue {
		got.streamedBytes = int(resp.ContentLength)
	}
	if c.isWrite() && !isReceipt(got.body) {
		return got, malformed("receipt %.40q", got.body)
	}
	return got, nil
}

// originStatus maps an answer's status to the outcome of the attempt. Only X-Unprocessed proves
// that the request has not run; after a bare 503 it may have.
func originStatus(resp *http.Response) decide.AttemptStatus {
	switch resp.StatusCode {
	case http.StatusOK:
		return decide.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Unprocessed") == "1" {
			return decide.QueueFull
		}
	}
	return decide.Failed
}

// isReceipt reports whether a receipt can be part of an answer line.
func isReceipt(b []byte) bool {
	isUnprintable := func(r rune) bool { return r == ' ' || !isPrintable(r) }
	return len(b) > 0 && len(b) < maxLineBytes/2 && !bytes.ContainsFunc(b, isUnprintable)
}

// readOriginLoad reads the origin's answer to a health check.
func readOriginLoad(r *bufio.Reader) (decide.LoadReport, error) {
	memory := new(answerBudgets).newAnswer()
	memory.budgets.buffered.limit.Store(maxBufferedValue)
	reader := originReader{Reader: r, method: http.MethodGet, memory: memory}
	resp, _, err := reader.readResponse()
	if err != nil {
		return decide.NoLoadReport, err
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return decide.NoLoadReport, malformed("origin load: status %d", resp.StatusCode)
	}
	return readLoad(resp.Header.Get("X-Backend-Load")), nil
}
