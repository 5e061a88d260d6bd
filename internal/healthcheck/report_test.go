package healthcheck

import (
	"math"
	"testing"

	"dockhinge.example/dockhinge/decide"
	"dockhinge.example/dockhinge/internal/coord"
)

// A shard has more servers than a record holds, and one server answers with no number. The reports that
// fit are read as they were written, that one is left out alone, and none is cut.
func TestRecord(t *testing.T) {
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
		t.Errorf("read %+v", got[:2])
	}
	if got, err := Decode(Encode(nil, 10)); err != nil || len(got) != 0 {
		t.Errorf("%v, %v", got, err)
	}
}

// The servers are divided about evenly: a router that held a crowded shard would probe most of them.
func TestShards(t *testing.T) {
	var counts [Shards]int
	for i := range uint32(16000) {
		counts[ShardOf(i*40503)]++
	}
	for shard, count := range counts {
		if count < 500 || count > 2000 {
			t.Errorf("shard %d has %d of 16,000", shard, count)
		}
	}
}
