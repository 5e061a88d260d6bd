package trace

import (
	"bytes"
	"strings"
	"testing"
)

// More events are recorded between two flushes than are kept. The rest must be counted, and after
// the flush events must be kept again.
func TestExcessEventsAreCounted(t *testing.T) {
	var out bytes.Buffer
	tr := New(&out)
	for i := range MaxEventsPerFlush + 7 {
		tr.Event(1000, "dial", "to=a ok=%t", i%2 == 0)
	}
	tr.Flush(1200)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	first := lines[0]
	last := lines[len(lines)-1]
	isFirst := first == "trace 1000.00 dial to=a ok=true"
	isLast := last == "trace 1200.00 dropped n=7"
	if len(lines) != MaxEventsPerFlush+1 || !isFirst || !isLast {
		t.Errorf("%d lines from %q to %q", len(lines), first, last)
	}
	out.Reset()
	tr.Event(1300, "dial", "to=b ok=true")
	tr.Flush(1400)
	tr.Flush(1500)
	if out.String() != "trace 1300.00 dial to=b ok=true\n" {
		t.Errorf("after the flush: %q", out.String())
	}
}

// A router without a trace calls the same methods on a nil *Trace, which must do nothing.
func TestNilTraceDoesNothing(t *testing.T) {
	var tr *Trace
	tr.Event(1, "dial", "to=a ok=true")
	tr.Flush(2)
	if tr.Enabled() {
		t.Error("a nil trace reports that it is enabled")
	}
}
