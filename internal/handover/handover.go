// Package handover joins the process that serves with the one that is to take its place. The new one gets the listening
// socket and a state; then the two keep a link for as long as both live. A peer that is absent, dead, silent or of
// another version stops nobody: every step has its deadline, and who can't join goes on alone.
package handover

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Version is that of the messages and of the state. Peers of different versions don't join.
const Version = 1

const (
	stepTimeout        = 500 * time.Millisecond // for each step of joining
	sendTimeout        = 150 * time.Millisecond // for a message to be taken by the peer
	maxFrameBytes      = 4 << 20                // bytes of a message
	maxConcurrentJoins = 4                      // peers that are joining at once
)

// Message is what one process tells the other.
type Message struct {
	Kind    string          `json:"kind"`
	Version int             `json:"version,omitempty"` // with hello and state
	Call    uint64          `json:"call,omitempty"`    // an answer with the same number is waited for
	Body    json.RawMessage `json:"body,omitempty"`
	Error   string          `json:"error,omitempty"` // of an answer
}

// The kinds of messages that this package itself uses.
const (
	helloKind  = "hello"
	stateKind  = "state"
	answerKind = "answer"
)

// Link joins two processes.
type Link struct {
	conn    *net.UnixConn
	writeMu sync.Mutex

	mu           sync.Mutex
	pendingCalls map[uint64]chan string
	lastCall     uint64
	closed       chan struct{}
	once         sync.Once
}

// ErrPeerClosed tells that the peer is gone.
var ErrPeerClosed = errors.New("handover: the other process is gone")

func newLink(c *net.UnixConn) *Link {
	return &Link{conn: c, pendingCalls: map[uint64]chan string{}, closed: make(chan struct{})}
}

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// IsClosed reports whether the peer is gone.
func (l *Link) IsClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Send tells the peer something. It does not wait for longer than a moment; a peer that does not read is given up.
func (l *Link) Send(m Message) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return l.send(m, nil)
}

func (l *Link) send(m Message, rights []byte) error {
	text, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(text) > maxFrameBytes {
		return fmt.Errorf("handover: message of %d bytes", len(text))
	}
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	l.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if rights != nil { // they travel with the first byte
		if _, _, err = l.conn.WriteMsgUnix(frame[:1], rights, nil); err == nil {
			frame = frame[1:]
		}
	}
	if err == nil {
		_, err = l.conn.Write(frame)
	}
	if err != nil { // part of a frame may be out: nothing can follow it
		l.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Call tells the peer something and waits until it has been done there. ErrEnded tells that there is no peer any more.
func (l *Link) Call(ctx context.Context, kind string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	got := make(chan string, 1)
	l.mu.Lock()
	l.lastCall++
	n := l.lastCall
	l.pendingCalls[n] = got
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingCalls, n)
		l.mu.Unlock()
	}()
	if err := l.Send(Message{Kind: kind, Call: n, Body: text}); err != nil {
		return ErrPeerClosed
	}
	select {
	case text := <-got:
		if text != "" {
			return errors.New(text)
		}
		return nil
	case <-l.closed:
		return ErrPeerClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run hears the peer until the link ends or ctx does, and closes it. Calls of the peer are answered with what handle
// returns.
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
			l.mu.Lock()
			if got := l.pendingCalls[m.Call]; got != nil {
				got <- m.Error
				delete(l.pendingCalls, m.Call)
			}
			l.mu.Unlock()
			continue
		}
		err = handle(m)
		if m.Call == 0 {
			continue
		}
		back := Message{Kind: answerKind, Call: m.Call}
		if err != nil {
			back.Error = err.Error()
		}
		if l.Send(back) != nil {
			return
		}
	}
}

// readMessage reads a frame, in bounded memory whatever its length says.
func readMessage(r io.Reader) (m Message, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return m, fmt.Errorf("handover: message of %d bytes", n)
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	if len(text) < int(n) {
		return m, fmt.Errorf("handover: %w", io.ErrUnexpectedEOF)
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	return m, nil
}

// socketPath is where the process that serves addr listens for the next one. The directory is opened first, as the length
// of a Unix socket's path is bounded and that of $TMPDIR is not.
func socketPath(dir, addr string) (path string, d *os.File, err error) {
	if d, err = os.Open(dir); err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	h := fnv.New64a()
	io.WriteString(h, addr) //nolint:errcheck // it can't fail
	return fmt.Sprintf("/proc/self/fd/%d/router-%016x.sock", d.Fd(), h.Sum64()), d, nil
}

// Join gets the listening socket for addr, and a state, from the process that serves there.
func Join(ctx context.Context, dir, addr string) (*Link, net.Listener, []byte, error) {
	path, d, err := socketPath(dir, addr)
	if err != nil {
		return nil, nil, nil, err
	}
	defer d.Close()
	dialer := net.Dialer{Timeout: stepTimeout}
	c, err := dialer.DialContext(ctx, "unix", path)
	if op := (*net.OpError)(nil); errors.As(err, &op) {
		err = op.Err // without the path, which names a descriptor
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("handover: no process serves %s: %w", addr, err)
	}
	l := newLink(c.(*net.UnixConn))
	ln, text, err := l.join()
	if err != nil {
		l.Close()
		return nil, nil, nil, err
	}
	return l, ln, text, nil
}

func (l *Link) join() (net.Listener, []byte, error) {
	if err := l.send(Message{Kind: helloKind, Version: Version}, nil); err != nil {
		return nil, nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(2 * stepTimeout)) // a loop at work has to bring the state
	fd, first, err := readSocket(l.conn)
	if err != nil {
		return nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // the listener has a descriptor of its own
	m, err := readMessage(io.MultiReader(first, l.conn))
	if err != nil {
		return nil, nil, err
	}
	if m.Kind != stateKind || m.Version != Version {
		return nil, nil, fmt.Errorf("handover: %q of version %d, want a state of version %d", m.Kind, m.Version, Version)
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	return ln, m.Body, nil
}

// readSocket reads the first byte of a frame with the descriptor that comes with it.
func readSocket(c *net.UnixConn) (fd int, first io.Reader, err error) {
	b, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4*4))
	n, oobn, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil {
		return 0, nil, fmt.Errorf("handover: %w", err)
	}
	if n == 0 {
		return 0, nil, fmt.Errorf("handover: %w", io.ErrUnexpectedEOF)
	}
	var fds []int
	msgs, err := syscall.ParseSocketControlMessage(oob[:oobn])
	for _, m := range msgs {
		if got, e := syscall.ParseUnixRights(&m); e == nil {
			fds = append(fds, got...)
		}
	}
	if err != nil || len(fds) != 1 {
		for _, fd := range fds {
			syscall.Close(fd) //nolint:errcheck // it is unwanted
		}
		return 0, nil, errors.New("handover: a message without the socket")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], &oneByte{b: b[0]}, nil
}

// oneByte reads the byte that came with the descriptor.
type oneByte struct {
	b    byte
	read bool
}

func (o *oneByte) Read(p []byte) (int, error) {
	if o.read {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	p[0], o.read = o.b, true
	return 1, nil
}

// Serve waits for processes that are to take this one's place, until ctx ends. Each that speaks this version gets ln and
// what State returns, and then Joined has the link, which it runs until it ends. The path is this process's from then
// on, whoever had it before: a dead one's file is in nobody's way.
func Serve(ctx context.Context, dir, addr string, ln syscall.Conn, peer Peer) error {
	path, d, err := socketPath(dir, addr)
	if err != nil {
		return err
	}
	defer d.Close()
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh) //nolint:errcheck // of a dead process of the same number, if any
	u, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer u.Close()
	u.SetUnlinkOnClose(false) // by then the path may be another's
	if err := os.Chmod(fresh, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return fmt.Errorf("handover: %s: %w", filepath.Base(path), err)
	}
	stop := context.AfterFunc(ctx, func() { u.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	room := make(chan struct{}, maxConcurrentJoins)
	for {
		c, err := u.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-time.After(100 * time.Millisecond): // no descriptor left
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case room <- struct{}{}:
		default: // whoever joins by fives is no successor
			c.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			l := newLink(c)
			defer l.Close()
			if err := l.handOver(ctx, ln, peer); err != nil {
				return
			}
			peer.Joined(ctx, l)
		})
	}
}

// Peer is the process that serves, as its successor sees it.
type Peer interface {
	// State is what a successor is to know. From its making on, what changes is sent over the link: such a message
	// waits until the state is out.
	State(ctx context.Context, l *Link) (any, error)
	// Joined runs the link to a successor until it ends.
	Joined(ctx context.Context, l *Link)
}

func (l *Link) handOver(ctx context.Context, ln syscall.Conn, peer Peer) error {
	l.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	m, err := readMessage(l.conn)
	if err != nil {
		return err
	}
	if m.Kind != helloKind || m.Version != Version {
		return fmt.Errorf("handover: %q of version %d, want a hello of version %d", m.Kind, m.Version, Version)
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	st, err := peer.State(ctx, l)
	if err != nil {
		return err
	}
	body, err := json.Marshal(st)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	raw, err := ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	ctl := raw.Control(func(fd uintptr) {
		err = l.send(Message{Kind: stateKind, Version: Version, Body: body}, syscall.UnixRights(int(fd)))
	})
	return errors.Join(ctl, err)
}

// Listen listens at addr even where another process does: the two are one router, and one will go.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		ctl := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
		return errors.Join(ctl, err)
	}}
	return lc.Listen(ctx, "tcp", addr)
}

const soReusePort = 15 // SO_REUSEPORT on Linux, which the syscall package does not name for every processor
