// Package handover connects a router process with its successor process. The successor receives the
// listening socket and the state; after that, the two processes keep a link until one of them ends.
// A peer that is absent, dead or silent, or has another version, blocks neither: each step has a
// timeout, and a process that can't join a predecessor starts alone.
//
// link.go has the messages of a link, and socket.go the Unix socket through which the processes
// connect and the transfer of the listening socket's descriptor.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
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
	// acceptRetryInterval is the time between two attempts to accept when no descriptor is free.
	acceptRetryInterval = 100 * time.Millisecond
	// socketMode permits connections only from processes of the same user.
	socketMode = 0o600
)

// Peer is a process that serves and can hand over to a successor.
type Peer interface {
	// State returns the state for a successor. Changes after it are sent over the link: such
	// messages wait until the state has been sent.
	State(ctx context.Context, l *Link) (any, error)
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
	dialer := net.Dialer{Timeout: stepTimeout}
	conn, err := dialer.DialContext(ctx, "unix", path)
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

// join sends the hello message, and receives the listening socket and the state.
func (l *Link) join() (net.Listener, []byte, error) {
	if err := l.send(Message{Kind: helloKind, Version: Version}, nil); err != nil {
		return nil, nil, err
	}
	l.conn.SetReadDeadline(time.Now().Add(stateTimeout))
	fd, first, err := readDescriptor(l.conn)
	if err != nil {
		return nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // net.FileListener duplicates the descriptor
	m, err := readMessage(io.MultiReader(first, l.conn))
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

// Serve waits for successor processes until ctx ends. Each one with the same version receives ln
// and the result of State; then RunLink runs the link to it. Serve replaces the socket at the path,
// whichever process created it, so the file of a dead process does no harm. Serve returns after all
// calls of RunLink have returned.
func Serve(ctx context.Context, dir, addr string, ln syscall.Conn, peer Peer) error {
	path, folder, err := socketPath(dir, addr)
	if err != nil {
		return err
	}
	defer folder.Close()
	listener, err := listenAt(path)
	if err != nil {
		return err
	}
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var joined sync.WaitGroup
	defer joined.Wait()
	slots := make(chan struct{}, maxConcurrentJoins)
	for {
		conn, err := listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is free, for example
			select {
			case <-time.After(acceptRetryInterval):
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case slots <- struct{}{}:
		default: // more successors at once than a router ever has
			conn.Close()
			continue
		}
		joined.Go(func() {
			defer func() { <-slots }()
			l := newLink(conn)
			defer l.Close()
			if err := l.handOver(ctx, ln, peer); err != nil {
				return // the other process continues alone
			}
			peer.RunLink(ctx, l)
		})
	}
}

// listenAt listens at path and replaces the socket of another process there. The socket is created
// next to the path and then renamed, so that a successor always finds either the old or the new
// one.
func listenAt(path string) (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary) //nolint:errcheck // left over by a dead process with the same process ID, if any
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener.SetUnlinkOnClose(false) // by then another process may have replaced the file
	if err := os.Chmod(temporary, socketMode); err != nil {
		listener.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		listener.Close()
		return nil, fmt.Errorf("handover: %s: %w", filepath.Base(path), err)
	}
	return listener, nil
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
	state, err := peer.State(ctx, l)
	if err != nil {
		return err
	}
	body, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
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
