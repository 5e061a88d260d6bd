package traceanalysis

import (
	"bytes"
	"os"
	"testing"
)

// Logs written by routers of an older version must yield the same table: operators' scripts rely on
// the trace lines and on the table's wording.
func TestTraceOfOlderRouters(t *testing.T) {
	events, lineErrors, err := ReadDir("testdata/fleet")
	if err != nil || len(lineErrors) > 0 {
		t.Fatal(err, lineErrors)
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
