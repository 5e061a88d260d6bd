package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// server waits for successor processes at a path.
type server struct {
	path string
	// socket is the listening TCP socket that successors receive.
	socket syscall.Conn
	peer   Peer
	// joins has an element for each peer that is joining or has joined.
	joins chan struct{}
	// running counts the goroutines that accept, and those of peers.
	running sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// listener listens at the path, unless another process has replaced its socket there.
	listener *net.UnixListener
	isClosed bool
}

// Serve waits for successor processes until ctx ends. Each one with the same version receives ln
// and the result of State; then RunLink runs the link to it. Serve replaces the socket at the path,
// whichever process created it, so the file of a dead process does no harm. A successor does the same;
// if it ends first, Serve takes the path back, so that the next process finds this one. Serve returns
// after all calls of RunLink have returned.
func Serve(ctx context.Context, dir, addr string, ln syscall.Conn, peer Peer) error {
	path, folder, err := socketPath(dir, addr)
	if err != nil {
		return err
	}
	defer folder.Close()
	s := &server{path: path, socket: ln, peer: peer, joins: make(chan struct{}, maxConcurrentJoins)}
	if err := s.listen(ctx); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	s.running.Wait()
	return nil
}

// close stops the listener for good.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	s.listener.Close()
}

// listen listens at the path and accepts successors there, in place of the previous listener, if any.
func (s *server) listen(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return nil
	}
	listener, err := listenAt(s.path)
	if err != nil {
		return err
	}
	if s.listener != nil {
		s.listener.Close()
	}
	s.listener = listener
	s.running.Go(func() { s.accept(ctx, listener) })
	return nil
}

// accept accepts successors until the listener is closed.
func (s *server) accept(ctx context.Context, listener *net.UnixListener) {
	for {
		conn, err := listener.AcceptUnix()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // no descriptor is free, for example
			if !sleep(ctx, acceptRetryInterval) {
				return
			}
			continue
		}
		select {
		case s.joins <- struct{}{}:
			s.running.Go(func() {
				defer func() { <-s.joins }()
				s.runPeer(ctx, conn)
			})
		default: // more successors at once than a router ever has
			conn.Close()
		}
	}
}

// runPeer hands over to a successor and runs the link to it until the link ends.
func (s *server) runPeer(ctx context.Context, conn *net.UnixConn) {
	l := newLink(conn)
	err := l.handOver(ctx, s.socket, s.peer)
	if err == nil { // otherwise the other process continues alone
		s.peer.RunLink(ctx, l)
	}
	l.Close()
	s.takePathBack(ctx)
}

// takePathBack listens at the path again if no process does any more: the successor that had replaced
// the socket has ended.
func (s *server) takePathBack(ctx context.Context) {
	for ctx.Err() == nil && s.isPathDead(ctx) {
		if s.listen(ctx) == nil || !sleep(ctx, acceptRetryInterval) {
			return
		}
	}
}

// isPathDead reports whether no process listens at the path.
func (s *server) isPathDead(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: stepTimeout}
	conn, err := dialer.DialContext(ctx, "unix", s.path)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ENOENT)
}

// sleep waits, and reports whether ctx has not ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
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
