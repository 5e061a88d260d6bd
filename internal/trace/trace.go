// Package trace is a router's record of single events, for a look at a whole fleet afterwards
// (dockhinge-lab tally). It is off by default. A nil *Trace takes events and does nothing.
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

// Trace keeps the events since the last flush. Its methods may be called from any goroutine.
type Trace struct {
	out     io.Writer
	mu      sync.Mutex
	buf     bytes.Buffer
	count   int
	dropped int
}

// New returns a trace that writes to out.
func New(out io.Writer) *Trace { return &Trace{out: out} }

// Enabled tells whether events are kept: what is dear to put together need not be.
func (t *Trace) Enabled() bool { return t != nil }

// Event keeps one event: at is Unix time in milliseconds, form and v give its fields as name=value,
// set apart by spaces.
func (t *Trace) Event(at float64, name, form string, v ...any) {
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
	fmt.Fprintf(&t.buf, "%s%.2f %s ", LinePrefix, at, name)
	fmt.Fprintf(&t.buf, form, v...)
	t.buf.WriteByte('\n')
}

// Flush writes what is kept, in one write. What can't be written is lost.
func (t *Trace) Flush(at float64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dropped > 0 {
		fmt.Fprintf(&t.buf, "%s%.2f dropped n=%d\n", LinePrefix, at, t.dropped)
	}
	if t.buf.Len() > 0 {
		_, _ = t.out.Write(t.buf.Bytes()) // a log that can't be written stops no router
	}
	t.buf.Reset()
	t.count, t.dropped = 0, 0
}
