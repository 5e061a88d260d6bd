package model

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Entry is one server on a list, in the words of discovery.
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

// List is an answer of discovery.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// DirectoryParams describe discovery.
type DirectoryParams struct {
	LateMS    [2]float64 `toml:"late_ms"`           // news is told this much after the event, evenly spread
	CallsPerS float64    `toml:"calls_s"`           // calls for the whole list it can answer in a second, in turn; 0 = no bound
	TimeoutMS float64    `toml:"timeout_ms"`        // a call that would wait longer is turned away
	LinesPerS float64    `toml:"lines_s,omitempty"` // in place of calls_s: a call takes call_lines and a line for each server that it tells, in turn
	CallLines float64    `toml:"call_lines,omitempty"`
}

type pending struct {
	at float64
	n  int // in the order of the events
	e  Entry
}

type change struct {
	version int64
	e       Entry
}

// Directory is the list of servers as discovery has it: late, and of fixed capacity.
type Directory struct {
	p       DirectoryParams
	rng     *rand.Rand
	version int64
	floor   int64 // changes up to it are forgotten: who is behind gets the whole list
	now     map[string]Entry
	ids     []string // in the order of their first event
	log     []change
	news    []pending
	n       int
	free    float64 // when all calls that are taken are answered
}

// maxChanges bounds the changes that are remembered.
const maxChanges = 4096

// NewDirectory returns discovery with a list that holds since long ago.
func NewDirectory(p DirectoryParams, seed uint64, known []Entry) *Directory {
	d := &Directory{p: p, rng: rand.New(rand.NewPCG(seed, 3)), version: 1, floor: 1, now: map[string]Entry{}}
	for _, e := range known {
		d.now[e.ID] = e
		d.ids = append(d.ids, e.ID)
	}
	return d
}

// ScheduleChange books news at now; it is told later. News of one server is told in the order in which it happened.
func (d *Directory) ScheduleChange(now float64, e Entry) {
	at := now + d.p.LateMS[0] + d.rng.Float64()*max(0, d.p.LateMS[1]-d.p.LateMS[0])
	for _, p := range d.news {
		if p.e.ID == e.ID {
			at = max(at, p.at)
		}
	}
	d.n++
	d.news = append(d.news, pending{at, d.n, e})
	slices.SortFunc(d.news, func(a, b pending) int {
		if a.at != b.at {
			return int(math.Copysign(1, a.at-b.at))
		}
		return a.n - b.n
	})
}

// Next is when the list next changes; +Inf where it does not.
func (d *Directory) Next() float64 {
	if len(d.news) == 0 {
		return math.Inf(1)
	}
	return d.news[0].at
}

// Advance brings the list up to now, and reports whether it changed.
func (d *Directory) Advance(now float64) (changed bool) {
	for ; len(d.news) > 0 && d.news[0].at <= now; d.news = d.news[1:] {
		e := d.news[0].e
		if d.version++; e.State == "left" {
			delete(d.now, e.ID)
			d.ids = slices.DeleteFunc(d.ids, func(id string) bool { return id == e.ID })
		} else {
			if _, ok := d.now[e.ID]; !ok {
				d.ids = append(d.ids, e.ID)
			}
			d.now[e.ID] = e
		}
		if d.log = append(d.log, change{d.version, e}); len(d.log) > maxChanges {
			d.floor, d.log = d.log[0].version, d.log[1:]
		}
		changed = true
	}
	return changed
}

// Version is that of the list.
func (d *Directory) Version() int64 { return d.version }

// Rewind has the version go backwards by n, as after a restore from a backup: the list is as it was, and who asks for
// what is newer than a version that has not come yet gets the whole.
func (d *Directory) Rewind(n int64) {
	d.version = max(1, d.version-n)
	d.floor, d.log = d.version, nil
}

// FullList is the whole list.
func (d *Directory) FullList() List {
	l := List{Version: d.version, Full: true, Servers: []Entry{}}
	for _, id := range d.ids {
		l.Servers = append(l.Servers, d.now[id])
	}
	return l
}

// ChangesAfter gives what changed after a version, the last state of each server; the whole list where that is not known.
func (d *Directory) ChangesAfter(version int64) List {
	if version < d.floor || version > d.version {
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

// Call takes a call for a list at now: it is answered after wait milliseconds, or turned away where that is too long.
func (d *Directory) Call(now float64) (wait float64, ok bool) { return d.CallFor(now, 0) }

// CallFor is Call for an answer of so many servers.
func (d *Directory) CallFor(now float64, servers int) (wait float64, ok bool) {
	cost := d.callMillis(servers)
	if cost <= 0 {
		return 0, true
	}
	begin := max(now, d.free)
	if end := begin + cost; d.p.TimeoutMS <= 0 || end-now <= d.p.TimeoutMS {
		d.free = end
		return end - now, true
	}
	return d.p.TimeoutMS, false
}

// HasCostPerServer reports whether a call takes longer the more servers its answer has.
func (d *Directory) HasCostPerServer() bool { return d.p.LinesPerS > 0 }

// callMillis is the time that a call takes discovery; 0 = none.
func (d *Directory) callMillis(servers int) float64 {
	switch {
	case d.p.LinesPerS > 0:
		return 1000 * (d.p.CallLines + float64(servers)) / d.p.LinesPerS
	case d.p.CallsPerS > 0:
		return 1000 / d.p.CallsPerS
	}
	return 0
}
