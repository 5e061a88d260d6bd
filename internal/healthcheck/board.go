// Package healthcheck has routers probe cache servers for one another: of all routers one holds the lease of a share of the servers,
// probes these and tells the others through the agreed state. What it tells carries its age; where it is stale or missing each
// router probes by itself, as if there were nothing of all this. Only good answers are told: whether a server is bad each router
// finds out for itself.
//
// Probing twice at once does no harm, so these leases are of the kind "harmless" (docs/agreement.md).
package healthcheck

import (
	"encoding/json"
	"fmt"
	"sync"

	"dockhinge.example/dockhinge/decide"
)

// Shares is into how many leases the servers are dealt.
const Shares = 16

// Prefix begins the names of these leases.
const Prefix = "probe/"

// maxServers bounds the reports that are kept; the list of servers is bounded well below it.
const maxServers = 4096

// Share is the one that a server belongs to.
func Share(server uint32) int { return int(server * 2654435761 >> 28) } // Fibonacci hashing to four bits

// Lease names a share's lease.
func Lease(share int) string { return fmt.Sprintf("%s%d", Prefix, share) }

// Report is a good answer to a probe.
type Report struct {
	Server uint32            `json:"s"`
	AgeMS  float64           `json:"a"` // when it was told
	Load   decide.LoadReport `json:"l"`
}

// Encode writes reports as a lease's record of at most so many bytes. Those that don't fit are left out: each router probes
// these by itself.
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

// Board is what is known of servers by others' probes. It has no clock and does no I/O; it may be used from any goroutine.
type Board struct {
	staleMS float64

	mu     sync.Mutex
	known  map[uint32]dated
	used   int // times that a report took the place of a probe
	missed int // times that there was none, or a stale one
}

type dated struct {
	load decide.LoadReport
	at   float64 // when it was true at the earliest
}

// NewBoard returns a board on which a report counts until it is so old.
func NewBoard(staleMS float64) *Board {
	return &Board{staleMS: staleMS, known: map[uint32]dated{}}
}

// Tell books a report that was true ageMS before now at the earliest. An older one than is known changes nothing.
func (b *Board) Tell(now, ageMS float64, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now - ageMS
	old, ok := b.known[r.Server]
	if ok && old.at >= at || at+b.staleMS < now {
		return
	}
	if !ok && len(b.known) >= maxServers {
		for id, d := range b.known {
			if d.at+b.staleMS < now {
				delete(b.known, id)
			}
		}
		if len(b.known) >= maxServers {
			return
		}
	}
	b.known[r.Server] = dated{r.Load, at}
}

// Look tells a server's load by a report that isn't stale.
func (b *Board) Look(now float64, server uint32) (decide.LoadReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, ok := b.known[server]
	if !ok || d.at+b.staleMS < now {
		b.missed++
		return decide.NoLoadReport, false
	}
	b.used++
	return d.load, true
}

// Counts are how often a report took the place of a probe, and how often there was none.
func (b *Board) Counts() (used, missed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.missed
}
