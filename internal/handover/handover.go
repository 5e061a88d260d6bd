// Package handover connects a router process with its successor process. The successor receives the
// listening socket and the state; after that, the two processes keep a link until one of them ends.
// A peer that is absent, dead or silent, or has another version, blocks neither: each step has a
// timeout, and a process that can't join a predecessor starts alone.
//
// serve.go waits for successors, link.go has the messages of a link, and socket.go the path through which
// the processes connect and the transfer of the listening socket's descriptor.
package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Version is the version of the messages and of the state. Processes of different versions don't
// join.
const Version = 1

const (
	// stepTimeout bounds each step of joining: a dead or silent peer must not delay startup by
	// much.
	stepTimeout = 500 * time.Millisecond
	// stateTimeout bounds the wait for the state. It is longer than stepTimeout because the event
	// loop of the old process may have to finish other work first.
	stateTimeout = 2 * stepTimeout
	// maxConcurrentJoins bounds the number of peers that are joining or have joined.
	maxConcurrentJoins = 4
	// acceptRetryInterval is the time between two attempts to accept when no descriptor is free, or to
	// listen when the directory can't be written.
	acceptRetryInterval = 100 * time.Millisecond
	// connectAttempts and connectRetryInterval bound how long a new process tries to connect to a path
	// at which nobody listens: its predecessor may just be taking the path back.
	connectAttempts      = 4
	connectRetryInterval = 10 * time.Millisecond
	// socketMode permits connections only from processes of the same user.
	socketMode = 0o600
)

// Peer is a process that serves and can hand over to a successor.
type Peer interface {
	// State returns the state for a successor, as JSON. Changes after it are sent over the link: such
	// messages wait until the state has been sent.
	State(ctx context.Context, l *Link) ([]byte, error)
	// RunLink runs the link to a successor until the link ends.
	RunLink(ctx context.Context, l *Link)
}

// Listen listens at addr with SO_REUSEPORT, so that it succeeds even while another process of the
// same router listens there.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
		return errors.Join(controlErr, err)
	}}
	return config.Listen(ctx, "tcp", addr)
}

// soReusePort is Linux's SO_REUSEPORT, which package syscall does not define for every
// architecture.
const soReusePort = 15

// Join receives the listening socket for addr and the state from the process that serves there. dir
// is the directory of the hand-over socket. The caller must close the link and the listener.
func Join(ctx context.Context, dir, addr string) (*Link, net.Listener, []byte, error) {
	path, folder, err := socketPath(dir, addr)
	if err != nil {
		return nil, nil, nil, err
	}
	defer folder.Close()
	conn, err := connect(ctx, path)
	if opError := (*net.OpError)(nil); errors.As(err, &opError) {
		err = opError.Err // without the path, which contains a descriptor number
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("handover: no process serves %s: %w", addr, err)
	}
	l := newLink(conn.(*net.UnixConn))
	ln, state, err := l.join()
	if err != nil {
		l.Close()
		return nil, nil, nil, err
	}
	return l, ln, state, nil
}

// connect connects to the process that listens at path. If there is a socket that nobody listens at, it
// tries a few times.
func connect(ctx context.Context, path string) (conn net.Conn, err error) {
	dialer := net.Dialer{Timeout: stepTimeout}
	for attempt := 1; ; attempt++ {
		conn, err = dialer.DialContext(ctx, "unix", path)
		if !errors.Is(err, syscall.ECONNREFUSED) || attempt == connectAttempts {
			return conn, err
		}
		time.Sleep(connectRetryInterval)
	}
}

// join sends the hello message, and receives the listening socket and the state.
func (l *Link) join() (net.Listener, []byte, error) {
	if err := l.send(Message{Kind: helloKind, Version: Version}, nil); err != nil {
		return nil, nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(stateTimeout)) // until it begins
	fd, first, err := readDescriptor(l.conn)
	if err != nil {
		return nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // net.FileListener duplicates the descriptor
	m, err := readMessage(io.MultiReader(first, progressReader{l.conn}))
	if err != nil {
		return nil, nil, err
	}
	if m.Kind != stateKind || m.Version != Version {
		return nil, nil, fmt.Errorf("handover: got a %q message of version %d, want a state message of version %d",
			m.Kind, m.Version, Version)
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	return ln, m.Body, nil
}

// handOver reads the hello message of a connected process, and sends it the listening socket and
// the state.
func (l *Link) handOver(ctx context.Context, ln syscall.Conn, peer Peer) error {
	l.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	m, err := readMessage(l.conn)
	if err != nil {
		return err
	}
	if m.Kind != helloKind || m.Version != Version {
		return fmt.Errorf("handover: got a %q message of version %d, want a hello message of version %d",
			m.Kind, m.Version, Version)
	}
	l.writeMu.Lock() // messages that the peer sends from now on follow the state
	defer l.writeMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	body, err := peer.State(ctx, l)
	if err != nil {
		return err
	}
	raw, err := ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = l.send(Message{Kind: stateKind, Version: Version, Body: body}, syscall.UnixRights(int(fd)))
	})
	return errors.Join(controlErr, err)
}
