package handover

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"dockhinge.example/dockhinge/internal/admin"
)

const (
	// sendTimeout bounds the time for the peer to read a part of a message.
	sendTimeout = 150 * time.Millisecond
	// sendPartBytes is the size of a part.
	sendPartBytes = 64 << 10
	// maxFrameBytes bounds the size of a message.
	maxFrameBytes = 4 << 20
	// frameHeaderBytes is the size of the message length (big-endian) that precedes the text.
	frameHeaderBytes = 4
)

// ErrPeerClosed reports that the other process has ended, or no longer reads messages.
var ErrPeerClosed = errors.New("handover: the other process has closed the link")

// remoteErrors are the errors that callers distinguish although the other process returned them:
// only the text of an error is sent over the link.
var remoteErrors = []error{admin.ErrUnknownServer}

// errorFromText returns the error for the text that the peer has sent.
func errorFromText(text string) error {
	if text == "" {
		return nil
	}
	for _, err := range remoteErrors {
		if err.Error() == text {
			return err
		}
	}
	return errors.New(text)
}

// Message is a message between the two processes, sent as JSON after its length.
type Message struct {
	Kind string `json:"kind"`
	// Version is set in hello and state messages.
	Version int `json:"version,omitempty"`
	// Call is the number of a call, which the answer repeats; 0 = no answer is expected.
	Call uint64          `json:"call,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
	// Error is the text of the error in an answer; "" = no error.
	Error string `json:"error,omitempty"`
}

// The kinds of messages that this package uses itself.
const (
	helloKind  = "hello"
	stateKind  = "state"
	answerKind = "answer"
)

// Link is the connection between two processes. Its methods may be called concurrently, except Run,
// which must be called only once.
type Link struct {
	conn    *net.UnixConn
	writeMu sync.Mutex

	mu sync.Mutex
	// pendingCalls are the channels for the error texts of the answers, by the number of the call.
	pendingCalls map[uint64]chan string
	lastCall     uint64

	// closed is closed when the link is closed.
	closed    chan struct{}
	closeOnce sync.Once
}

func newLink(conn *net.UnixConn) *Link {
	return &Link{conn: conn, pendingCalls: map[uint64]chan string{}, closed: make(chan struct{})}
}

// Close closes the link. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// IsClosed reports whether the link is closed.
func (l *Link) IsClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Send sends a message. It closes the link if the peer does not read a part of it within sendTimeout.
func (l *Link) Send(m Message) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return l.send(m, nil)
}

// send sends a message, with descriptors if rights is not nil. The caller must hold writeMu, unless
// no other goroutine uses the link yet.
func (l *Link) send(m Message, rights []byte) error {
	parts, length, err := m.encode()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if length > maxFrameBytes {
		return fmt.Errorf("handover: message of %d bytes, at most %d are allowed", length, maxFrameBytes)
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(length))
	if err := l.writeFrame(append([][]byte{header}, parts...), rights); err != nil {
		l.Close() // part of the frame may have been sent, so no further message can be sent
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// writeFrame writes a frame, whose header comes first, in parts. Descriptors are sent with its first byte.
func (l *Link) writeFrame(frame [][]byte, rights []byte) error {
	if rights != nil {
		l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		if _, _, err := l.conn.WriteMsgUnix(frame[0][:1], rights, nil); err != nil {
			return err
		}
		frame[0] = frame[0][1:]
	}
	for _, text := range frame {
		for part := range slices.Chunk(text, sendPartBytes) {
			l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if _, err := l.conn.Write(part); err != nil {
				return err
			}
		}
	}
	return nil
}

// progressReader reads from a connection whose peer must send something within stepTimeout.
type progressReader struct{ conn *net.UnixConn }

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	return r.conn.Read(b)
}

// Call sends a message and waits until the peer has handled it. It returns ErrPeerClosed if the
// link is closed, the error of ctx if that ends first, and otherwise the peer's error: one of
// remoteErrors, or an error with the same text.
func (l *Link) Call(ctx context.Context, kind string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	number, answer := l.newCall()
	defer l.forgetCall(number)
	if err := l.Send(Message{Kind: kind, Call: number, Body: text}); err != nil {
		return ErrPeerClosed
	}
	select {
	case text := <-answer:
		return errorFromText(text)
	case <-l.closed:
		return ErrPeerClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newCall registers a call. The channel is buffered, so that Run never waits for the caller.
func (l *Link) newCall() (number uint64, answer chan string) {
	answer = make(chan string, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCall++
	l.pendingCalls[l.lastCall] = answer
	return l.lastCall, answer
}

func (l *Link) forgetCall(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, number)
}

// Run handles messages until the link is closed or ctx ends, and then closes the link. Each call of
// the peer is answered with the error that handle returns.
func (l *Link) Run(ctx context.Context, handle func(Message) error) {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	defer l.Close()
	l.conn.SetReadDeadline(time.Time{})
	for {
		m, err := readMessage(l.conn)
		if err != nil {
			return
		}
		if m.Kind == answerKind {
			l.deliver(m)
			continue
		}
		err = handle(m)
		if m.Call == 0 {
			continue
		}
		answer := Message{Kind: answerKind, Call: m.Call}
		if err != nil {
			answer.Error = err.Error()
		}
		if l.Send(answer) != nil {
			return
		}
	}
}

// deliver passes an answer to the call that waits for it, if it is still pending.
func (l *Link) deliver(answer Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending := l.pendingCalls[answer.Call]; pending != nil {
		pending <- answer.Error
		delete(l.pendingCalls, answer.Call)
	}
}

// readMessage reads a frame. Its memory is bounded by maxFrameBytes, whatever length the frame claims.
func readMessage(r io.Reader) (m Message, err error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return m, fmt.Errorf("handover: message of %d bytes, at most %d are allowed", length, maxFrameBytes)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	if m, err = decodeMessage(text); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	return m, nil
}
