package flood

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// localBlockBytes is how much of the local commands is written at once.
	localBlockBytes = 64 << 10
	// localBlockCount is the number of different blocks that a flood repeats, so that it needs little
	// time to make them.
	localBlockCount = 16
	// requestBlockBytes is how many requests, in bytes, a connection makes at once.
	requestBlockBytes = 4 << 10
	// requestBufferBytes is what the system holds of a connection's requests. With its usual megabytes a
	// flood would be busy for a second with making requests that nobody reads.
	requestBufferBytes = 32 << 10
)

// localCommands are the commands that a client can send at full speed without a server being asked.
// Each takes the number of the command, so that names are ever new.
var localCommands = []func(n int) string{
	func(int) string { return "mn\r\n" },
	func(n int) string { return fmt.Sprintf("mg k v Of%d Pc=class%d,d=500\r\n", n, n) },
	func(n int) string {
		var fields strings.Builder
		for i := range 30 {
			fmt.Fprintf(&fields, ",x%d=%d", i, n)
		}
		return fmt.Sprintf("mg k v Of%d Pc=none,d=500%s\r\n", n, fields.String())
	},
	func(n int) string {
		return fmt.Sprintf("ms k %d Of%d Pc=none,d=500\r\n%s\r\n", localBlockBytes, n,
			strings.Repeat("v", localBlockBytes))
	},
}

// LocalKinds is the number of kinds of commands for which no server is asked.
func LocalKinds() int { return len(localCommands) }

// localSource repeats blocks of local commands.
type localSource struct {
	blocks [][]byte
	sent   int
}

func (s *localSource) next() []byte {
	block := s.blocks[s.sent%len(s.blocks)]
	s.sent++
	return block
}

func (s *localSource) writeBufferBytes() int { return 0 }

// localBlocks returns blocks of commands, each of at least localBlockBytes.
func localBlocks(command func(n int) string) [][]byte {
	blocks := make([][]byte, 0, localBlockCount)
	n := 0
	for range localBlockCount {
		var block bytes.Buffer
		for block.Len() < localBlockBytes {
			block.WriteString(command(n))
			n++
		}
		blocks = append(blocks, block.Bytes())
	}
	return blocks
}

// Requests describes sound requests under ever new names.
type Requests struct {
	Class string
	// IsKeyed is set if a request carries an idempotency key.
	IsKeyed bool
	IsWrite bool
	// DeadlineMillis is how long the client says that it waits.
	DeadlineMillis float64
	// Names begins the keys and ids of the requests.
	Names string
}

// source returns the requests of one connection.
func (r Requests) source(connection int) commandSource {
	r.Names = fmt.Sprint(r.Names, connection, ".")
	return &requestSource{requests: r}
}

// requestSource makes requests, each under a name of its own.
type requestSource struct {
	requests Requests
	block    []byte
	made     int
}

func (s *requestSource) next() []byte {
	s.block = s.block[:0]
	for len(s.block) < requestBlockBytes {
		s.block = s.requests.append(s.block, fmt.Sprint(s.requests.Names, s.made))
		s.made++
	}
	return s.block
}

func (s *requestSource) writeBufferBytes() int { return requestBufferBytes }

// append appends a request with a name of its own.
func (r Requests) append(b []byte, name string) []byte {
	metadata := fmt.Sprintf("c=%s,d=%.0f", r.Class, r.DeadlineMillis)
	if r.IsKeyed {
		metadata += ",k=" + name
	}
	if r.IsWrite {
		return fmt.Appendf(b, "ms %s 3 O%s P%s\r\nabc\r\n", name, name, metadata)
	}
	return fmt.Appendf(b, "mg %s v O%s P%s\r\n", name, name, metadata)
}
