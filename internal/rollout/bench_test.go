package rollout

import (
	"fmt"
	"testing"
)

// Sizes of the benchmarked fleet: the routers and servers of three regions.
const (
	benchRouters       = 1000
	benchRegionRouters = 392
	benchServers       = 192
)

// BenchmarkJoin measures the cost per router when 1,000 routers register: each reports the 192
// servers of its region.
func BenchmarkJoin(b *testing.B) {
	for b.Loop() {
		newRegisteredFleet(benchRouters)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRouters, "µs/router")
}

// newRegisteredFleet returns a fleet with the given number of routers that find all servers
// serving.
func newRegisteredFleet(routers int) *testFleet {
	f := newTestFleet(Budget{Name: "servers", Kind: KindServer, MaxOut: 1})
	for r := range routers {
		client := RouterClientPrefix + fmt.Sprint("r", r)
		for from := 0; from < benchServers; from += LegacyMaxReportedServers {
			report := &RouterReport{Zone: "z", IsReady: true}
			for i := from; i < min(from+LegacyMaxReportedServers, benchServers); i++ {
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

// BenchmarkDrain measures the cost per router of a drain that 1,000 routers acknowledge.
func BenchmarkDrain(b *testing.B) {
	f := newRegisteredFleet(benchRouters)
	for b.Loop() {
		token := f.beginServer("s0-0", "ann")
		for r := range benchRouters {
			f.acknowledge(fmt.Sprint("r", r), f.state.DrainVersion)
		}
		f.endServer("s0-0", "ann", token)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/benchRouters, "µs/router")
}
