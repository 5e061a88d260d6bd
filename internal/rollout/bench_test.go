package rollout

import (
	"fmt"
	"testing"
)

// benchRouters and benchServers are those of three regions.
const (
	benchRouters       = 1000
	benchRegionRouters = 392
	benchServers       = 192
)

// BenchmarkJoin is what a fleet of 1,000 routers that join costs the agreed state: each reports the
// 192 servers of its region.
func BenchmarkJoin(b *testing.B) {
	for b.Loop() {
		joined(benchRouters)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRouters, "µs/router")
}

// joined is a fleet of so many routers, all servers up.
func joined(routers int) *world {
	w := newWorld(Budget{Name: "servers", Kind: KindServer, MaxOut: 1})
	for r := range routers {
		client := RouterClientPrefix + fmt.Sprint("r", r)
		for from := 0; from < benchServers; from += EarlierMaxReportedServers {
			v := &RouterReport{Zone: "z", IsReady: true}
			for i := from; i < min(from+EarlierMaxReportedServers, benchServers); i++ {
				v.Servers = append(v.Servers, ServerObservation{Name: fmt.Sprint("s", r/benchRegionRouters, "-", i), Zone: "z", Incarnation: "1", Status: StatusServing})
			}
			w.must(Command{Op: OpReport, Report: v}, client)
		}
	}
	return w
}

// BenchmarkDrain is what a drain and its acknowledgements by 1,000 routers cost the agreed state.
func BenchmarkDrain(b *testing.B) {
	w := joined(benchRouters)
	for b.Loop() {
		a := w.must(Command{Op: OpRequestPermit, Kind: KindServer, Name: "s0-0"}, "ann")
		w.must(Command{Op: OpBeginOutage, Kind: KindServer, Name: "s0-0", Token: a.Token}, "ann")
		for r := range benchRouters {
			w.must(Command{Op: OpAcknowledgeDrains, DrainVersion: w.s.DrainVersion}, RouterClientPrefix+fmt.Sprint("r", r))
		}
		w.must(Command{Op: OpEndOutage, Kind: KindServer, Name: "s0-0", Token: a.Token}, "ann")
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRouters, "µs/router")
}
