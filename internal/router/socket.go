package router

// What the system knows of a socket, without reading from it.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// waiting reports whether there is something to read on a connection.
func waiting(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek looks for input on a connection without taking it or waiting for it.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("peeking: %w", err)
	}
	if ctl := raw.Control(func(fd uintptr) { // not Read, which fails once the time for reading is up
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); ctl != nil {
		return 0, fmt.Errorf("peeking: %w", ctl)
	}
	return n, err
}

// ended reports whether the other side of a connection has closed it or is gone, also where input stands before the end.
func ended(c net.Conn) (end bool) {
	onSocket(c, func(raw syscall.RawConn) {
		if raw.Control(func(fd uintptr) { end = endedAt(int(fd)) }) != nil {
			end = true // this side has closed it
		}
	})
	return end
}

// awaitEnd waits until ended holds, which it tells, or the time for reading is up. Up to so many bytes of input are thrown
// away meanwhile: a client that sends on can't say that it leaves once there is no room for what it sends.
func awaitEnd(c net.Conn, unwanted *int) (end bool) {
	onSocket(c, func(raw syscall.RawConn) {
		err := raw.Read(func(fd uintptr) bool {
			for *unwanted > 0 {
				var b [maxLine]byte
				n, err := syscall.Read(int(fd), b[:])
				if err != nil || n <= 0 {
					break
				}
				*unwanted -= n
			}
			end = endedAt(int(fd))
			return end
		})
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			end = true // this side has closed it
		}
	})
	return end
}

// endedAt is ended for a socket. What stands before the end hides it from a look at the input, but not from a poll.
func endedAt(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return false
	case err != nil || n == 0:
		return true
	}
	return polled(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// queued reports whether a connection stands in a listener's queue.
func queued(ln net.Listener) (stands bool) {
	onSocket(ln, func(raw syscall.RawConn) {
		raw.Control(func(fd uintptr) { stands = polled(int(fd), unix.POLLIN)&unix.POLLIN != 0 }) //nolint:errcheck // closed: none stands there
	})
	return stands
}

// polled asks a socket for events without waiting for them.
func polled(fd int, events int16) int16 {
	of := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(of, 0); err != nil || n == 0 {
		return 0
	}
	return of[0].Revents
}

// onSocket calls do with the socket of a connection or a listener, if it has one.
func onSocket(c any, do func(raw syscall.RawConn)) {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			do(raw)
		}
	}
}
