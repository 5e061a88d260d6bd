// Package handover joins the process that serves with the one that is to take its place. The new one
// gets the listening socket and a state; then the two keep a link for as long as both live. A peer
// that is absent, dead, silent or of another version stops nobody: each step has its deadline, and a
// process that can't join goes on alone.
//
// The messages of a link are in link.go, the Unix socket that processes meet at and the descriptor
// that crosses it in socket.go.
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

// Version is that of the messages and of the state. Peers of different versions don't join.
const Version = 1

const (
	// stepTimeout is for each step of joining: a dead or silent peer must not delay a start by much.
	stepTimeout = 500 * time.Millisecond
	// stateTimeout is for the state to arrive. It is longer than a step, as the loop of the process
	// that serves has to finish what it is at first.
	stateTimeout = 2 * stepTimeout
	// maxConcurrentJoins bounds the peers that are joining or joined.
	maxConcurrentJoins = 4
	// acceptRetryInterval is the time between two attempts to accept while no descriptor is free.
	acceptRetryInterval = 100 * time.Millisecond
	// socketMode lets only this user's processes connect.
	socketMode = 0o600
)

// Peer is the process that serves, as its successor sees it.
type Peer interface {
	// State returns what a successor is to know. From then on, changes are sent over the link: such a
	// message waits until the state has been sent.
	State(ctx context.Context, l *Link) (any, error)
	// Joined runs the link to a successor until it ends.
	Joined(ctx context.Context, l *Link)
}

// Listen listens at addr even where another process does: the two are one router, and one will end.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
		return errors.Join(controlErr, err)
	}}
	return config.Listen(ctx, "tcp", addr)
}

// soReusePort is SO_REUSEPORT on Linux, which the syscall package does not name for every processor.
const soReusePort = 15

// Join gets the listening socket for addr, and a state, from the process that serves there. dir is
// where the two meet. The caller closes the link and the listener.
func Join(ctx context.Context, dir, addr string) (*Link, net.Listener, []byte, error) {
	path, folder, err := socketPath(dir, addr)
	if err != nil {
		return nil, nil, nil, err
	}
	defer folder.Close()
	dialer := net.Dialer{Timeout: stepTimeout}
	conn, err := dialer.DialContext(ctx, "unix", path)
	if opError := (*net.OpError)(nil); errors.As(err, &opError) {
		err = opError.Err // without the path, which names a descriptor
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

// join sends the hello, and reads the socket and the state that answer it.
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
	defer file.Close() // the listener has a descriptor of its own
	m, err := readMessage(io.MultiReader(first, l.conn))
	if err != nil {
		return nil, nil, err
	}
	if m.Kind != stateKind || m.Version != Version {
		return nil, nil, fmt.Errorf("handover: %q of version %d, want a state of version %d",
			m.Kind, m.Version, Version)
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	return ln, m.Body, nil
}

// Serve waits for processes that are to take this one's place, until ctx ends. Each that speaks this
// version gets ln and what State returns, and then Joined has the link, which it runs until it ends.
// The path is this process's from then on, whoever had it before: the file of a dead process is in
// nobody's way. Serve returns once all of Joined have.
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
		if err != nil { // no descriptor is free
			select {
			case <-time.After(acceptRetryInterval):
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case slots <- struct{}{}:
		default: // no router has that many successors at once
			conn.Close()
			continue
		}
		joined.Go(func() {
			defer func() { <-slots }()
			l := newLink(conn)
			defer l.Close()
			if err := l.handOver(ctx, ln, peer); err != nil {
				return // the other process goes on alone
			}
			peer.Joined(ctx, l)
		})
	}
}

// listenAt listens at path in place of whoever did before. The socket is made beside the path and
// renamed, so that a successor finds the old or the new one at any time.
func listenAt(path string) (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary) //nolint:errcheck // of a dead process of the same number, if any
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	listener.SetUnlinkOnClose(false) // by then the path may be another process's
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

// handOver reads the hello of a process that has connected, and sends it the socket and the state.
func (l *Link) handOver(ctx context.Context, ln syscall.Conn, peer Peer) error {
	l.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	m, err := readMessage(l.conn)
	if err != nil {
		return err
	}
	if m.Kind != helloKind || m.Version != Version {
		return fmt.Errorf("handover: %q of version %d, want a hello of version %d", m.Kind, m.Version, Version)
	}
	l.writeMu.Lock() // what the peer sends from now on follows the state
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
