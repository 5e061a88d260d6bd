package admission

import (
	"fmt"
	"testing"
)

// benchmark measures admission with this number of tenants and of requests per millisecond, of
// which 6.4 can be served.
func benchmark(b *testing.B, tenants int, ratePerMilli float64) {
	c := testConfig()
	c.setLimit(64)
	a, err := New(c, 1, discardingHost{})
	if err != nil {
		b.Fatal(err)
	}
	names := make([]string, tenants)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
	}
	lag := uint32(10 * ratePerMilli) // requests that arrive while one is served
	b.ReportAllocs()
	b.ResetTimer()
	for i := range uint32(b.N) {
		now := float64(i) / ratePerMilli
		a.Arrive(now, Request{ID: i, Tenant: names[int(i)%tenants], Key: uint64(i), RemainingMillis: 1000})
		if i >= lag {
			a.RequestEnded(now, Outcome{ID: i - lag, Served: true, LatencyMillis: 10, WorkMillis: 10, Attempts: 1})
		}
	}
}

// BenchmarkFreeCapacity measures the usual case: there is capacity for all requests.
func BenchmarkFreeCapacity(b *testing.B) { benchmark(b, 100, 5) }

// BenchmarkContention measures the case that half of the requests are rejected.
func BenchmarkContention(b *testing.B) { benchmark(b, 100, 12) }

// BenchmarkMoreTenantsThanFlows measures more tenants than fit into the tables, and tables that exceed the
// processor's caches.
func BenchmarkMoreTenantsThanFlows(b *testing.B) { benchmark(b, 100_000, 12) }
