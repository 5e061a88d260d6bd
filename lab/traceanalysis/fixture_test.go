package traceanalysis

import (
	"bytes"
	"os"
	"testing"
)

// Logs of routers of an older version are read for the same table: the trace lines and the table's
// words are what operators and their scripts know.
func TestTraceOfOlderRouters(t *testing.T) {
	events, faults, err := ReadDir("testdata/fleet")
	if err != nil || len(faults) > 0 {
		t.Fatal(err, faults)
	}
	want, err := os.ReadFile("testdata/table.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	Count(events).Print(&got)
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.Bytes(), want)
	}
}
