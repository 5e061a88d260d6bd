package model

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Entry is one server on the list, with the field names of the discovery protocol.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // active, leaving or left
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"` // Unix milliseconds; 0 = long ago
}

// List is an answer of discovery: the full list, or the changes to it.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// DirectoryParams describes discovery.
type DirectoryParams struct {
	LateMS    [2]float64 `toml:"late_ms"`    // range of the delay from an event to its publication, evenly distributed
	CallsPerS float64    `toml:"calls_s"`    // rate of full-list calls that it can answer, one at a time; 0 = no limit
	TimeoutMS float64    `toml:"timeout_ms"` // a call that would wait longer is rejected
	// LinesPerS replaces CallsPerS: a call costs CallLines plus one line per server in its answer.
	LinesPerS float64 `toml:"lines_s,omitempty"`
	CallLines float64 `toml:"call_lines,omitempty"`
}

type pendingChange struct {
	at       float64
	sequence int // number of the event, for a stable order
	e        Entry
}

type change struct {
	version int64
	e       Entry
}

// Directory is discovery's list of servers. It publishes changes late, and answers calls at a limited
// rate.
type Directory struct {
	p              DirectoryParams
	rng            *rand.Rand
	version        int64
	oldestVersion  int64 // changes up to it are dropped from the log; callers with an older version get the full list
	entries        map[string]Entry
	ids            []string // in the order of their first appearance
	log            []change
	pendingChanges []pendingChange
	lastSequence   int
	freeAt         float64 // time at which all accepted calls are answered
}

// maxChanges limits the log of changes.
const maxChanges = 4096

// NewDirectory returns a directory with an initial list.
func NewDirectory(p DirectoryParams, seed uint64, known []Entry) *Directory {
	d := &Directory{p: p, rng: rand.New(rand.NewPCG(seed, 3)),
		version: 1, oldestVersion: 1, entries: map[string]Entry{}}
	for _, e := range known {
		d.entries[e.ID] = e
		d.ids = append(d.ids, e.ID)
	}
	return d
}

// ScheduleChange schedules the publication of an event that happened at now. Changes of one server are
// published in the order of their events.
func (d *Directory) ScheduleChange(now float64, e Entry) {
	at := now + d.p.LateMS[0] + d.rng.Float64()*max(0, d.p.LateMS[1]-d.p.LateMS[0])
	for _, p := range d.pendingChanges {
		if p.e.ID == e.ID {
			at = max(at, p.at)
		}
	}
	d.lastSequence++
	d.pendingChanges = append(d.pendingChanges, pendingChange{at, d.lastSequence, e})
	slices.SortFunc(d.pendingChanges, func(a, b pendingChange) int {
		if a.at != b.at {
			return int(math.Copysign(1, a.at-b.at))
		}
		return a.sequence - b.sequence
	})
}

// Next returns the time of the next change of the list; +Inf if none is scheduled.
func (d *Directory) Next() float64 {
	if len(d.pendingChanges) == 0 {
		return math.Inf(1)
	}
	return d.pendingChanges[0].at
}

// Advance publishes the changes due by now, and reports whether there were any.
func (d *Directory) Advance(now float64) (changed bool) {
	for ; len(d.pendingChanges) > 0 && d.pendingChanges[0].at <= now; d.pendingChanges = d.pendingChanges[1:] {
		e := d.pendingChanges[0].e
		if d.version++; e.State == "left" {
			delete(d.entries, e.ID)
			d.ids = slices.DeleteFunc(d.ids, func(id string) bool { return id == e.ID })
		} else {
			if _, ok := d.entries[e.ID]; !ok {
				d.ids = append(d.ids, e.ID)
			}
			d.entries[e.ID] = e
		}
		if d.log = append(d.log, change{d.version, e}); len(d.log) > maxChanges {
			d.oldestVersion, d.log = d.log[0].version, d.log[1:]
		}
		changed = true
	}
	return changed
}

// Version returns the version of the list.
func (d *Directory) Version() int64 { return d.version }

// Rewind decreases the version by n, as a restore from a backup does. The list does not change, and a
// call for the changes after a version that is in the future now gets the full list.
func (d *Directory) Rewind(n int64) {
	d.version = max(1, d.version-n)
	d.oldestVersion, d.log = d.version, nil
}

// ForgetChanges drops the log of changes: a call for the changes after an earlier version gets the full list.
func (d *Directory) ForgetChanges() { d.oldestVersion, d.log = d.version, nil }

// FullList returns the full list.
func (d *Directory) FullList() List {
	l := List{Version: d.version, Full: true, Servers: []Entry{}}
	for _, id := range d.ids {
		l.Servers = append(l.Servers, d.entries[id])
	}
	return l
}

// ChangesAfter returns the last state of each server that changed after a version; the full list if the
// log does not cover that version.
func (d *Directory) ChangesAfter(version int64) List {
	if version < d.oldestVersion || version > d.version {
		return d.FullList()
	}
	l := List{Version: d.version, Servers: []Entry{}}
	seen := map[string]bool{}
	for _, c := range slices.Backward(d.log) {
		if c.version > version && !seen[c.e.ID] {
			seen[c.e.ID] = true
			l.Servers = append(l.Servers, c.e)
		}
	}
	slices.Reverse(l.Servers)
	return l
}

// Call accepts a call for the list at now. It returns the milliseconds until the answer, or false if
// the call is rejected because the wait would be too long.
func (d *Directory) Call(now float64) (wait float64, ok bool) { return d.CallFor(now, 0) }

// CallFor is Call for an answer with a number of servers.
func (d *Directory) CallFor(now float64, servers int) (wait float64, ok bool) {
	cost := d.callMillis(servers)
	if cost <= 0 {
		return 0, true
	}
	startAt := max(now, d.freeAt)
	if end := startAt + cost; d.p.TimeoutMS <= 0 || end-now <= d.p.TimeoutMS {
		d.freeAt = end
		return end - now, true
	}
	return d.p.TimeoutMS, false
}

// HasCostPerServer reports whether the cost of a call grows with the number of servers in its answer.
func (d *Directory) HasCostPerServer() bool { return d.p.LinesPerS > 0 }

// callMillis returns the time that discovery needs for a call; 0 = no cost.
func (d *Directory) callMillis(servers int) float64 {
	switch {
	case d.p.LinesPerS > 0:
		return 1000 * (d.p.CallLines + float64(servers)) / d.p.LinesPerS
	case d.p.CallsPerS > 0:
		return 1000 / d.p.CallsPerS
	}
	return 0
}
