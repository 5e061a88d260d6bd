// Package healthcheck has routers health-check cache servers for one another: of all routers one
// holds the lease of a shard of the servers, probes these and shares their load reports as the lease's
// record. A report carries its age; where it is stale or missing, each router probes by itself, as if
// there were nothing of all this. Only answers are shared: whether a server is an outlier each router
// finds out for itself.
//
// Probing a server twice at once does no harm, so these leases are of the kind "harmless"
// (docs/agreement.md).
package healthcheck

import (
	"encoding/json"
	"fmt"

	"dockhinge.example/dockhinge/decide"
)

// Shards is how many leases the cache servers are divided among.
const Shards = 16

// LeasePrefix begins the names of these leases.
const LeasePrefix = "probe/"

// Fibonacci hashing: the factor is 2^32 over the golden ratio, which spreads consecutive ids.
const (
	fibonacciFactor = 2654435761
	fibonacciShift  = 32 - 4 // leaves the four bits that number the shards
)

// ShardOf is the shard that a server belongs to, from 0 to Shards-1.
func ShardOf(server uint32) int { return int(server * fibonacciFactor >> fibonacciShift) }

// LeaseName names a shard's lease.
func LeaseName(shard int) string { return fmt.Sprintf("%s%d", LeasePrefix, shard) }

// Report is a server's answer to a probe, as routers share it.
type Report struct {
	ServerID uint32 `json:"s"`
	// AgeMillis is the age of the answer when the record was written.
	AgeMillis float64           `json:"a"`
	Load      decide.LoadReport `json:"l"`
}

// Encode writes reports as a lease's record of at most maxBytes. Those that don't fit are left out:
// each router probes these servers by itself.
func Encode(reports []Report, maxBytes int) []byte {
	record := []byte{'['}
	for _, r := range reports {
		text, err := json.Marshal(r)
		if err != nil { // a value that is no number: the server has answered nonsense
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

// Decode reads a record.
func Decode(record []byte) (reports []Report, err error) {
	err = json.Unmarshal(record, &reports)
	return reports, err
}
