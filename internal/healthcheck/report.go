// Package healthcheck shares health checks of cache servers between routers. The servers are
// divided into shards. The router that holds the lease of a shard probes its servers and writes
// their load reports to the record of the lease. A report carries its age; if it is stale or
// missing, each router probes the server itself, as without shared health checks. Only the reports
// are shared: each router decides by itself whether a server is an outlier.
//
// It does no harm if two routers probe the same server, so these leases are of the kind "harmless"
// (docs/agreement.md).
package healthcheck

import (
	"encoding/json"
	"fmt"

	"dockhinge.example/dockhinge/decide"
)

// ShardCount is the number of shards, each with its own lease, that the cache servers are divided
// into.
const ShardCount = 16

// LeasePrefix is the prefix of the names of these leases.
const LeasePrefix = "probe/"

// Fibonacci hashing: the factor is 2^32 divided by the golden ratio, which spreads consecutive ids.
const (
	fibonacciFactor = 2654435761
	fibonacciShift  = 32 - 4 // leaves four bits, enough for the shard numbers
)

// ShardOf returns the shard that a server belongs to, from 0 to ShardCount-1.
func ShardOf(server uint32) int { return int(server * fibonacciFactor >> fibonacciShift) }

// LeaseName returns the name of a shard's lease.
func LeaseName(shard int) string { return fmt.Sprintf("%s%d", LeasePrefix, shard) }

// Report is the load that a server reported in answer to a probe, as routers share it.
type Report struct {
	ServerID uint32 `json:"s"`
	// AgeMillis is the age of the answer at the time when the record was written.
	AgeMillis float64           `json:"a"`
	Load      decide.LoadReport `json:"l"`
}

// Encode encodes reports as a lease's record of at most maxBytes. Reports that do not fit are
// omitted: each router probes their servers itself.
func Encode(reports []Report, maxBytes int) []byte {
	record := []byte{'['}
	for _, r := range reports {
		text, err := json.Marshal(r)
		if err != nil { // the server has reported a value that is not a finite number
			continue
		}
		if len(record)+len(text)+len(",]") > maxBytes {
			break
		}
		if len(record) > 1 {
			record = append(record, ',')
		}
		record = append(record, text...)
	}
	return append(record, ']')
}

// Decode decodes the reports of a record.
func Decode(record []byte) (reports []Report, err error) {
	err = json.Unmarshal(record, &reports)
	return reports, err
}
