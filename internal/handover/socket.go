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

// socketPath returns the path of the Unix socket at which the process that serves addr waits for
// its successor. The path goes through the descriptor of the opened directory because the length of
// a Unix socket's path is limited and that of $TMPDIR is not; it is valid until the caller closes
// folder.
func socketPath(dir, addr string) (path string, folder *os.File, err error) {
	folder, err = os.Open(dir)
	if err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	hash := fnv.New64a()
	io.WriteString(hash, addr) //nolint:errcheck // a hash never returns an error
	return fmt.Sprintf("/proc/self/fd/%d/router-%016x.sock", folder.Fd(), hash.Sum64()), folder, nil
}

// descriptorBytes is the size of a file descriptor in a control message.
const descriptorBytes = 4

// maxDescriptors is the number of descriptors that fit into the buffer, so that a peer that sends
// more than one is detected.
const maxDescriptors = 4

// readDescriptor reads the first byte of a frame and the file descriptor that is sent with it.
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
			syscall.Close(fd) //nolint:errcheck // an unexpected descriptor, not used
		}
		return 0, nil, errors.New("handover: want a message with one descriptor, the listening socket")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], &oneByteReader{b: b[0]}, nil
}

// parseDescriptors returns the descriptors in a control message, including those before an error.
func parseDescriptors(control []byte) (fds []int, err error) {
	messages, err := syscall.ParseSocketControlMessage(control)
	for _, m := range messages {
		if rights, rightsErr := syscall.ParseUnixRights(&m); rightsErr == nil {
			fds = append(fds, rights...)
		}
	}
	return fds, err
}

// oneByteReader reads the byte that was received with the descriptor.
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
