package load

import (
	"io"
	"time"
)

const (
	// largeValueBytes is the length above which a router forwards a value while it receives it.
	largeValueBytes = 64 << 10
	// largeWriteTimeout is how long a client tries to write a large value.
	largeWriteTimeout = 30 * time.Second
	// largeWriteInterval is the time between two parts of a value that is written slowly.
	largeWriteInterval = 20 * time.Millisecond
)

// writeLarge writes a request with a large value, at once or at the rate LargeWriteBytesS. It returns
// the number of bytes written.
func (l *Load) writeLarge(conn *conn, text string) (written int, err error) {
	_ = conn.SetDeadline(time.Now().Add(largeWriteTimeout))
	if l.p.LargeWriteBytesS <= 0 || l.uniform() < 0.5 {
		return io.WriteString(conn, text)
	}
	part := max(1, int(l.p.LargeWriteBytesS*largeWriteInterval.Seconds()))
	for written < len(text) && err == nil {
		var n int
		n, err = io.WriteString(conn, text[written:min(len(text), written+part)])
		written += n
		time.Sleep(largeWriteInterval)
	}
	return written, err
}
