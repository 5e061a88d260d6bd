// Package trace is a router's record of single events, for an analysis of a fleet afterwards
// (dockhinge-lab trace-summary). It is off by default. A nil *Trace takes events and does nothing.
package trace

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

const (
	// LinePrefix begins each line, wherever a collector's own prefix ends.
	LinePrefix = "trace "
	// MaxPerFlush bounds the events kept between two flushes; those beyond are counted only.
	MaxPerFlush = 4096
)

// Trace keeps the events since the last flush. Its methods may be called concurrently.
type Trace struct {
	out io.Writer

	mu  sync.Mutex
	buf bytes.Buffer
	// count is how many events buf has.
	count int
	// dropped is how many events were beyond MaxPerFlush.
	dropped int
}

// New returns a trace that writes to out.
func New(out io.Writer) *Trace { return &Trace{out: out} }

// Enabled reports whether events are kept: otherwise a caller need not put their fields together.
func (t *Trace) Enabled() bool { return t != nil }

// Event keeps one event. The format and its arguments give its fields as name=value, separated by
// spaces.
func (t *Trace) Event(unixMillis float64, name, format string, args ...any) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count >= MaxPerFlush {
		t.dropped++
		return
	}
	t.count++
	fmt.Fprintf(&t.buf, "%s%.2f %s ", LinePrefix, unixMillis, name)
	fmt.Fprintf(&t.buf, format, args...)
	t.buf.WriteByte('\n')
}

// Flush writes what is kept, in one write. What can't be written is lost.
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
		_, _ = t.out.Write(t.buf.Bytes()) // a log that can't be written stops no router
	}
	t.buf.Reset()
	t.count = 0
	t.dropped = 0
}
