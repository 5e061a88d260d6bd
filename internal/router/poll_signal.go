package router

import (
	"encoding/binary"
	"fmt"
	"os"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// pollSignal is an event of the router's own that comes through the network's poller. Whatever was
// ready at the poller before the event, such as input of clients and answers of servers, is found
// before it or with it.
type pollSignal struct {
	file *os.File
	raw  syscall.RawConn
}

// newPollSignal returns a signal, which takes one descriptor until it is closed.
func newPollSignal() (*pollSignal, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	file := os.NewFile(uintptr(fd), "eventfd")
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &pollSignal{file: file, raw: raw}, nil
}

// await waits until the poller has been asked once more, and lets what it found run first. It waits
// for the run queue only if there is no signal (nil) or the signal fails. Only one goroutine may call
// it at a time.
func (s *pollSignal) await() {
	if s == nil || s.awaitEvent() != nil {
		runtime.Gosched()
	}
}

// awaitEvent raises the event and waits for it.
func (s *pollSignal) awaitEvent() error {
	var eventErr error
	isRaised := false
	waitErr := s.raw.Read(func(fd uintptr) bool {
		var count [8]byte
		if isRaised {
			_, eventErr = ignoringInterrupt(int(fd), count[:])
			return true
		}
		isRaised = true
		binary.NativeEndian.PutUint64(count[:], 1)
		_, eventErr = unix.Write(int(fd), count[:])
		return eventErr != nil // false waits until the poller reports the event
	})
	if waitErr != nil {
		return waitErr
	}
	return eventErr
}

// close releases the descriptor.
func (s *pollSignal) close() {
	if s != nil {
		s.file.Close()
	}
}
