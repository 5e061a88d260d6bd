package rollout

import (
	"fmt"
	"testing"
)

// The routers and servers of three regions.
const (
	benchRouters       = 1000
	benchRegionRouters = 392
	benchServers       = 192
)

// BenchmarkJoin is what a fleet of 1,000 routers that join costs the state: each reports the 192
// servers of its region.
func BenchmarkJoin(b *testing.B) {
	for b.Loop() {
		newJoinedFleet(benchRouters)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRouters, "µs/router")
}

// newJoinedFleet is a fleet of so many routers, all servers serving.
func newJoinedFleet(routers int) *testFleet {
	f := newTestFleet(Budget{Name: "servers", Kind: KindServer, MaxOut: 1})
	for r := range routers {
		client := RouterClientPrefix + fmt.Sprint("r", r)
		for from := 0; from < benchServers; from += EarlierMaxReportedServers {
			report := &RouterReport{Zone: "z", IsReady: true}
			for i := from; i < min(from+EarlierMaxReportedServers, benchServers); i++ {
				report.Servers = append(report.Servers, ServerObservation{
					Name:        fmt.Sprint("s", r/benchRegionRouters, "-", i),
					Zone:        "z",
					Incarnation: "1",
					Status:      StatusServing,
				})
			}
			f.mustApply(Command{Op: OpReport, Report: report}, client)
		}
	}
	return f
}

// BenchmarkDrain is what a drain and its acknowledgements by 1,000 routers cost the state.
func BenchmarkDrain(b *testing.B) {
	f := newJoinedFleet(benchRouters)
	for b.Loop() {
		token := f.beginServer("s0-0", "ann")
		for r := range benchRouters {
			f.acknowledge(fmt.Sprint("r", r), f.state.DrainVersion)
		}
		f.endServer("s0-0", "ann", token)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRouters, "µs/router")
}
