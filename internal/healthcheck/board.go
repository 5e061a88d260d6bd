// Package healthcheck has routers probe cache servers for one another: of all routers one holds the
// lease of a share of the servers, probes these and tells the others through the agreed state. What
// it tells carries its age; where it is stale or missing each router probes by itself, as if there
// were nothing of all this. Only good answers are told: whether a server is bad each router finds
// out for itself.
//
// Probing twice at once does no harm, so these leases are of the kind "harmless"
// (docs/agreement.md).
package healthcheck

import (
	"encoding/json"
	"fmt"
	"sync"

	"dockhinge.example/dockhinge/decide"
)

// Shards is into how many leases the servers are dealt.
const Shards = 16

// LeasePrefix begins the names of these leases.
const LeasePrefix = "probe/"

// maxReports bounds the reports that are kept; the list of servers is bounded well below it.
const maxReports = 4096

// ShardOf is the one that a server belongs to.
func ShardOf(server uint32) int { return int(server * 2654435761 >> 28) } // Fibonacci hashing to four bits

// LeaseName names a share's lease.
func LeaseName(share int) string { return fmt.Sprintf("%s%d", LeasePrefix, share) }

// Report is a good answer to a probe.
type Report struct {
	ServerID  uint32            `json:"s"`
	AgeMillis float64           `json:"a"` // when it was told
	Load      decide.LoadReport `json:"l"`
}

// Encode writes reports as a lease's record of at most so many bytes. Those that don't fit are left
// out: each router probes these by itself.
func Encode(reports []Report, most int) []byte {
	out := []byte{'['}
	for _, r := range reports {
		text, err := json.Marshal(r)
		if err != nil { // a figure that is no number
			continue
		}
		if len(out)+len(text)+2 > most {
			break
		}
		if len(out) > 1 {
			out = append(out, ',')
		}
		out = append(out, text...)
	}
	return append(out, ']')
}

// Decode reads a record.
func Decode(record []byte) (reports []Report, err error) {
	err = json.Unmarshal(record, &reports)
	return reports, err
}

// ReportCache is what is known of servers by others' probes. It has no clock and does no I/O; it
// may be used from any goroutine.
type ReportCache struct {
	staleMillis float64

	mu      sync.Mutex
	reports map[uint32]cachedReport
	hits    int // times that a report took the place of a probe
	misses  int // times that there was none, or a stale one
}

type cachedReport struct {
	load         decide.LoadReport
	trueAtMillis float64 // when it was true at the earliest
}

// NewReportCache returns a board on which a report counts until it is so old.
func NewReportCache(staleMS float64) *ReportCache {
	return &ReportCache{staleMillis: staleMS, reports: map[uint32]cachedReport{}}
}

// Add books a report that was true ageMS before now at the earliest. An older one than is known
// changes nothing.
func (b *ReportCache) Add(now, ageMS float64, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now - ageMS
	old, ok := b.reports[r.ServerID]
	if ok && old.trueAtMillis >= at || at+b.staleMillis < now {
		return
	}
	if !ok && len(b.reports) >= maxReports {
		for id, d := range b.reports {
			if d.trueAtMillis+b.staleMillis < now {
				delete(b.reports, id)
			}
		}
		if len(b.reports) >= maxReports {
			return
		}
	}
	b.reports[r.ServerID] = cachedReport{r.Load, at}
}

// Lookup tells a server's load by a report that isn't stale.
func (b *ReportCache) Lookup(now float64, server uint32) (decide.LoadReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, ok := b.reports[server]
	if !ok || d.trueAtMillis+b.staleMillis < now {
		b.misses++
		return decide.NoLoadReport, false
	}
	b.hits++
	return d.load, true
}

// Counts are how often a report took the place of a probe, and how often there was none.
func (b *ReportCache) Counts() (used, missed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hits, b.misses
}
