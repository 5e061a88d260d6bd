package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"syscall"
)

// socketPath is where the process that serves addr listens for the next one. The directory is opened
// first, as the length of a Unix socket's path is bounded and that of $TMPDIR is not; the path is good
// for as long as it is open.
func socketPath(dir, addr string) (path string, folder *os.File, err error) {
	folder, err = os.Open(dir)
	if err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	hash := fnv.New64a()
	io.WriteString(hash, addr) //nolint:errcheck // a hash takes every byte
	return fmt.Sprintf("/proc/self/fd/%d/router-%016x.sock", folder.Fd(), hash.Sum64()), folder, nil
}

// descriptorBytes is the size of a descriptor in a control message.
const descriptorBytes = 4

// maxDescriptors is how many are read, so that a peer that sends more is noticed.
const maxDescriptors = 4

// readDescriptor reads the first byte of a frame with the descriptor that comes with it.
func readDescriptor(c *net.UnixConn) (fd int, first io.Reader, err error) {
	b := make([]byte, 1)
	control := make([]byte, syscall.CmsgSpace(maxDescriptors*descriptorBytes))
	n, controlBytes, _, _, err := c.ReadMsgUnix(b, control)
	if err != nil {
		return 0, nil, fmt.Errorf("handover: %w", err)
	}
	if n == 0 {
		return 0, nil, fmt.Errorf("handover: %w", io.ErrUnexpectedEOF)
	}
	fds, err := parseDescriptors(control[:controlBytes])
	if err != nil || len(fds) != 1 {
		for _, fd := range fds {
			syscall.Close(fd) //nolint:errcheck // it is not wanted
		}
		return 0, nil, errors.New("handover: a message without the socket")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], &oneByteReader{b: b[0]}, nil
}

// parseDescriptors returns the descriptors of a control message, also those before an error.
func parseDescriptors(control []byte) (fds []int, err error) {
	messages, err := syscall.ParseSocketControlMessage(control)
	for _, m := range messages {
		if rights, rightsErr := syscall.ParseUnixRights(&m); rightsErr == nil {
			fds = append(fds, rights...)
		}
	}
	return fds, err
}

// oneByteReader reads the byte that came with the descriptor.
type oneByteReader struct {
	b      byte
	isRead bool
}

func (r *oneByteReader) Read(p []byte) (int, error) {
	if r.isRead {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	p[0] = r.b
	r.isRead = true
	return 1, nil
}
