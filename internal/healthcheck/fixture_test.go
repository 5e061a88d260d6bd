package healthcheck

import (
	"bytes"
	"os"
	"testing"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/coord"
)

// Routers of an older version hold some of the leases and write their reports in the older
// encoding. This version must decode them with the same meaning, and encode bytes that the older
// version can decode.
func TestRecordOfOlderVersionIsDecoded(t *testing.T) {
	text, err := os.ReadFile("testdata/record.json")
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.TrimSuffix(text, []byte("\n"))
	want := []Report{
		{ServerID: 11, AgeMillis: 12.5, Load: decide.LoadReport{
			RequestsPerSecond: 310.25, ErrorsPerSecond: 0.5, Utilization: 0.62, Inflight: 3, LatencyMillis: 7.75,
		}},
		{ServerID: 99, AgeMillis: 700, Load: decide.LoadReport{
			RequestsPerSecond: 1, ErrorsPerSecond: 2, Utilization: 1, Inflight: 40, LatencyMillis: 120,
		}},
		{ServerID: 4294967295, AgeMillis: 1.5, Load: decide.NoLoadReport},
	}
	got, err := Decode(text)
	if err != nil || len(got) != len(want) {
		t.Fatalf("%d reports, %v", len(got), err)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("report %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
	if written := Encode(want, coord.MaxRecordBytes); !bytes.Equal(written, text) {
		t.Errorf("wrote %s\nwant  %s", written, text)
	}
}
