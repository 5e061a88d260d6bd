package healthcheck

import (
	"math"
	"testing"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/coord"
)

// A shard has more servers than fit into a record, and one server reports NaN. The reports that fit
// must be decoded unchanged, only the one with NaN may be omitted before them, and the record must
// not be truncated.
func TestRecordKeepsReportsThatFit(t *testing.T) {
	var all []Report
	for i := range uint32(500) {
		all = append(all, Report{ServerID: i, AgeMillis: 1.5, Load: decide.LoadReport{
			RequestsPerSecond: float64(i),
			ErrorsPerSecond:   -1,
			Utilization:       0.25,
			Inflight:          3,
			LatencyMillis:     7,
		}})
	}
	all[1].Load.Utilization = math.NaN()
	text := Encode(all, coord.MaxRecordBytes)
	got, err := Decode(text)
	if err != nil || len(text) > coord.MaxRecordBytes || len(got) < 30 {
		t.Fatalf("%d bytes, %d reports, %v", len(text), len(got), err)
	}
	if got[0] != all[0] || got[1] != all[2] {
		t.Errorf("decoded reports %+v", got[:2])
	}
	if got, err := Decode(Encode(nil, 10)); err != nil || len(got) != 0 {
		t.Errorf("empty record: reports %v, error %v", got, err)
	}
}

// Servers must be spread evenly over the shards: a router with a crowded shard would probe most
// servers.
func TestServersAreSpreadOverShards(t *testing.T) {
	var counts [ShardCount]int
	for i := range uint32(16000) {
		counts[ShardOf(i*40503)]++
	}
	for shard, count := range counts {
		if count < 500 || count > 2000 {
			t.Errorf("shard %d has %d of 16,000 servers", shard, count)
		}
	}
}
