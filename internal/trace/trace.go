// Package trace records single events of a router, for a later analysis of the whole fleet
// (dockhinge-lab trace-summary). It is disabled by default. All methods of a nil *Trace do nothing.
package trace

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

const (
	// LinePrefix is the prefix of each line. A log collector may put its own prefix before it.
	LinePrefix = "trace "
	// MaxEventsPerFlush is the number of events that are kept between two flushes; further ones are
	// only counted.
	MaxEventsPerFlush = 4096
)

// Trace keeps the events since the last flush. Its methods may be called concurrently.
type Trace struct {
	out io.Writer

	mu  sync.Mutex
	buf bytes.Buffer
	// count is the number of events in buf.
	count int
	// dropped is the number of events in excess of MaxEventsPerFlush.
	dropped int
}

// New returns a Trace that writes to out.
func New(out io.Writer) *Trace { return &Trace{out: out} }

// Enabled reports whether events are recorded. If not, callers can skip computing their fields.
func (t *Trace) Enabled() bool { return t != nil }

// Event records an event. The format and its arguments must produce its fields as name=value,
// separated by spaces.
func (t *Trace) Event(unixMillis float64, name, format string, args ...any) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count >= MaxEventsPerFlush {
		t.dropped++
		return
	}
	t.count++
	fmt.Fprintf(&t.buf, "%s%.2f %s ", LinePrefix, unixMillis, name)
	fmt.Fprintf(&t.buf, format, args...)
	t.buf.WriteByte('\n')
}

// Flush writes the recorded events, in one write. Events that can't be written are lost.
func (t *Trace) Flush(unixMillis float64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dropped > 0 {
		fmt.Fprintf(&t.buf, "%s%.2f dropped n=%d\n", LinePrefix, unixMillis, t.dropped)
	}
	if t.buf.Len() > 0 {
		_, _ = t.out.Write(t.buf.Bytes()) // a failing log must not stop the router
	}
	t.buf.Reset()
	t.count = 0
	t.dropped = 0
}
