package rollout

import (
	"fmt"
	"maps"
	"math"
	"path"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Reason is why a thing is out.
type Reason string

// The reasons, the first that holds counts.
const (
	In      Reason = ""
	Planned Reason = "by plan"
	Down    Reason = "down"
	Unknown Reason = "unknown" // no router that is there tells of it
	Cold    Reason = "cold"
)

// settle weighs all that depends on several things, or on time: who is up, which permits are over, what is drained, and who
// may go out. The outcome is a function of the state and the clock alone, so that weighing twice changes nothing.
func (s *State) settle(clock time.Duration, token func() uint64) {
	s.next = math.MaxInt64
	for before := s.Version - 1; before != s.Version; { // a permit that is over may let a server be forgotten
		before = s.Version
		s.look(clock)
		s.over(clock)
	}
	s.loaded(clock)
	s.drained(clock)
	s.course(clock)
	s.grant(clock, token)
}

func (s *State) wake(at time.Duration) { s.next = min(s.next, at) }

// look finds out who is up.
func (s *State) look(clock time.Duration) {
	turn := func(t *Thing, up bool) {
		if t.Up != up {
			t.Up, t.Since = up, clock
			s.Version++
		}
	}
	for _, r := range s.touched {
		turn(r, r.Session != "" && r.Ready)
	}
	s.touched = nil
	if !s.dirty && clock < s.forget { // hundreds of routers see hundreds of servers: only where something may have changed
		s.wake(s.forget)
		return
	}
	s.dirty, s.forget = false, math.MaxInt64
	s.suspect(clock)
	for name, t := range s.Servers {
		saw, against, gone := t.counts.all, t.counts.against(), t.counts.gone
		listed := gone+t.counts.leaving > 0
		// More than half of those that see it must agree: one router with a bad link neither takes a server out nor hides that it is.
		out := saw == 0 || 2*against > saw
		if failpoint.Is("evidence-of-one") {
			out = against > 0
		}
		turn(t, !out && (t.Suspect == nil || t.Suspect.Over))
		switch {
		case !listed:
			t.Listed = -1
		case t.Listed < 0:
			t.Listed = clock
		}
		if saw == 0 || gone < saw {
			continue
		}
		// By all lists it belongs to the fleet no more. It may have crashed, or be back and the news be late: it counts as down for a while.
		if at := max(t.Since, t.Listed) + ForgetAfter*s.Grace; at > clock && !failpoint.Is("gone-is-forgotten") {
			s.forget = min(s.forget, at)
		} else if !slices.ContainsFunc(s.Permits, func(p *Permit) bool { return p.Kind == Server && p.Name == name }) {
			s.forgetServer(name)
			s.Version++
		}
	}
	s.wake(s.forget)
}

// over takes away the permits that are not wanted any more, and those whose holder is gone and whose thing is back.
func (s *State) over(clock time.Duration) {
	n := len(s.Permits)
	s.drop(func(p *Permit) bool {
		t := s.things(p.Kind)[p.Name]
		switch {
		case p.Stage != Begun:
			if p.Until > 0 {
				s.wake(p.Until)
			}
			return p.Session == "" || t == nil || p.Until > 0 && p.Until <= clock
		case p.Session != "":
			return false
		}
		// Nobody says any more what became of the step. It is over once the thing runs that was started since. What is heard of its
		// start within the grace may be news from before the step.
		if at := p.Began + s.Grace; t != nil && at > clock && !failpoint.Is("late-news-believed") {
			s.wake(at)
			p.Run = t.Run
		}
		if t != nil && t.Up && t.Run != p.Run {
			t.Since = clock
			return true
		}
		p.Waits = fmt.Sprintf("its holder %s is gone: it counts as out until it is seen started anew, or until 'permit clear %s'", p.Client, key(p.Kind, p.Name))
		return false
	})
	if len(s.Permits) != n {
		s.Version++
	}
}

// drained finds out to which servers no router sends any more: each that is there has said so, and each that isn't has had the
// time to hear it from discovery's list, which must say it.
func (s *State) drained(clock time.Duration) {
	for _, p := range s.Permits {
		if p.Kind != Server || p.Stage != Begun || p.Drained {
			continue
		}
		var missing fewNames
		t := s.Servers[p.Name]
		for name, r := range s.Routers {
			switch {
			case failpoint.Is("drain-unacknowledged"):
			case r.Session != "":
				if r.Acked < p.Drain {
					missing.add(name)
				}
			case t == nil || t.Listed < 0:
				missing.add(name + " (no session, and discovery's list doesn't say that the server leaves)")
			default:
				if at := max(r.Ended, t.Listed, p.Began) + s.Grace; at > clock {
					s.wake(at)
					missing.add(name + " (no session)")
				}
			}
		}
		if missing.all == 0 {
			p.Drained, p.Waits = true, ""
			s.Version++
			continue
		}
		if p.Session != "" {
			p.Waits = fmt.Sprintf("until nothing more is sent to it by %s", missing.text())
		}
	}
}

// named is how many of many things a text names.
const named = 3

// Few names some of many.
func Few(names []string) string {
	return fewText(names[:min(len(names), named)], len(names))
}

func fewText(first []string, all int) string {
	if all > len(first) {
		return fmt.Sprintf("%s and %d more", strings.Join(first, ", "), all-len(first))
	}
	return strings.Join(first, ", ")
}

// fewNames gathers the first names of many in their order without keeping them all: thousands of routers may be asked for.
type fewNames struct {
	first []string // sorted
	all   int
}

func (f *fewNames) add(name string) {
	f.all++
	at, _ := slices.BinarySearch(f.first, name)
	if at == named {
		return
	}
	f.first = slices.Insert(f.first, at, name)
	f.first = f.first[:min(len(f.first), named)]
}

func (f *fewNames) text() string { return fewText(f.first, f.all) }

// warm is how long a thing that is back counts as out.
func (s *State) warm(k Kind, name string) (d time.Duration) {
	for i := range s.Budgets {
		if s.Budgets[i].covers(k, name) {
			d = max(d, s.Budgets[i].Warm)
		}
	}
	return d
}

// why tells whether a thing is out, and until when where that is known.
func (s *State) why(k Kind, name string, t *Thing, planned map[string]bool, clock time.Duration) (Reason, time.Duration) {
	switch warm := t.Since + s.warm(k, name); {
	case planned[key(k, name)]:
		return Planned, 0
	case !t.Up && k == Server && len(t.Saw) == 0:
		return Unknown, 0
	case !t.Up:
		return Down, 0
	case warm > clock && !failpoint.Is("cold-counts-as-in"):
		return Cold, warm
	}
	return In, 0
}

func (s *State) planned() map[string]bool {
	all := map[string]bool{}
	for _, p := range s.Permits {
		if p.Stage == Begun {
			all[key(p.Kind, p.Name)] = true
		}
	}
	return all
}

// scope is one budget in one zone, or over the fleet.
type scope struct {
	b       *Budget
	zone    string
	n       int
	out     []string        // by name, with the reason
	taken   map[string]bool // things that count against it
	allowed int
}

func (x *scope) text() string {
	if x.b.Per == "zone" {
		return fmt.Sprintf("budget %s (zone %s)", x.b.Name, x.zone)
	}
	return "budget " + x.b.Name
}

// scopes are all budgets with what counts against them now, and how many things of a kind are in, over all and by zone.
func (s *State) scopes(clock time.Duration) (all map[string]*scope, in map[string]int, reasons map[string]Reason) {
	all, in, reasons = map[string]*scope{}, map[string]int{}, map[string]Reason{}
	planned := s.planned()
	for _, k := range []Kind{Router, Server} {
		things := s.things(k)
		for _, name := range slices.Sorted(maps.Keys(things)) {
			t := things[name]
			why, until := s.why(k, name, t, planned, clock)
			if until > 0 {
				s.wake(until)
			}
			reasons[key(k, name)] = why
			in[string(k)+"\x00all"]++
			in[string(k)+"\x00all\x00"+t.Zone]++
			if why == In {
				in[string(k)]++
				in[string(k)+"\x00"+t.Zone]++
			}
			for _, x := range s.covering(all, k, name, t) {
				x.n++
				if why != In {
					x.taken[key(k, name)] = true
					x.out = append(x.out, fmt.Sprintf("%s (%s)", name, why)) // without how long: that would change with no event
				}
			}
		}
	}
	for _, x := range all {
		x.allowed = x.b.allowed(x.n)
	}
	return all, in, reasons
}

// covering are the scopes that a thing belongs to.
func (s *State) covering(all map[string]*scope, k Kind, name string, t *Thing) (of []*scope) {
	for i := range s.Budgets {
		b := &s.Budgets[i]
		if !b.covers(k, name) {
			continue
		}
		zone := ""
		if b.Per == "zone" {
			zone = t.Zone
		}
		id := b.Name + "\x00" + zone
		if all[id] == nil {
			all[id] = &scope{b: b, zone: zone, taken: map[string]bool{}}
		}
		of = append(of, all[id])
	}
	return of
}

// grant weighs the permits that have not begun, in their order. One that must wait keeps its place in all of its budgets: who
// comes later gets only what is left beside it. One that was granted and doesn't fit any more is taken back.
func (s *State) grant(clock time.Duration, token func() uint64) {
	wait := slices.DeleteFunc(slices.Clone(s.Permits), func(p *Permit) bool { return p.Stage == Begun })
	if len(wait) == 0 {
		return
	}
	slices.SortFunc(wait, order)
	all, in, reasons := s.scopes(clock)
	used := map[string]bool{} // things whose permit somebody has or will have first
	for id := range s.planned() {
		used[id] = true
	}
	for _, p := range wait {
		t := s.things(p.Kind)[p.Name]
		id := key(p.Kind, p.Name)
		why := s.fits(p, t, all, in, reasons[id], used[id], clock)
		used[id] = true
		if reasons[id] == In {
			in[string(p.Kind)]--
			in[string(p.Kind)+"\x00"+t.Zone]--
		}
		for _, x := range s.covering(all, p.Kind, p.Name, t) {
			if !x.taken[id] {
				x.taken[id] = true
				x.out = append(x.out, fmt.Sprintf("%s (permit before this one)", p.Name))
			}
		}
		switch {
		case why == "" && p.Stage == Waiting:
			p.Stage, p.Token = Granted, token()
			s.Version++
		case why != "" && p.Stage == Granted:
			p.Stage, p.Token = Waiting, 0
			s.Version++
		}
		p.Waits = why
	}
}

// fits tells why a permit can't be given now; "" where it can.
func (s *State) fits(p *Permit, t *Thing, all map[string]*scope, in map[string]int, is Reason, used bool, clock time.Duration) string {
	if used {
		return "another permit of it is given or comes first"
	}
	if s.Halted != nil && p.Priority < Emergency {
		return fmt.Sprintf("halted by %s: %s", s.Halted.By, s.Halted.Why)
	}
	if why := s.tooBusy(p); why != "" {
		return why
	}
	if p.Kind == Server && len(s.Routers) < s.Expect { // those that don't take part would go on sending to it
		return fmt.Sprintf("%d routers are expected, and %d take part", s.Expect, len(s.Routers))
	}
	scopes := s.covering(all, p.Kind, p.Name, t)
	if len(scopes) == 0 {
		return fmt.Sprintf("no budget covers %s: nothing goes out without one", key(p.Kind, p.Name))
	}
	if is == Down && p.Priority >= Emergency { // it counts already, and serves nobody
		at := t.Since + s.Grace // by then one that only the agreement had lost would be back
		if at <= clock {
			return ""
		}
		s.wake(at)
	}
	k := string(p.Kind)
	id, cost := key(p.Kind, p.Name), 1
	if is != In { // it counts already; what is left over must be there all the same, as one that is cold or unknown may well serve
		cost = 0
	}
	if cost > 0 && in[k] <= 1 && !failpoint.Is("budget-unchecked") {
		return fmt.Sprintf("it is the last %s that is in", k)
	}
	if cost > 0 && in[k+"\x00"+t.Zone] <= 1 && in[k+"\x00all\x00"+t.Zone] > 1 && !failpoint.Is("budget-unchecked") {
		return fmt.Sprintf("it is the last %s of zone %s that is in", k, t.Zone)
	}
	for _, x := range scopes {
		switch {
		case failpoint.Is("budget-unchecked"):
		case x.allowed == 0:
			return fmt.Sprintf("%s: a share of %v of %d is none: raise it, or say a number", x.text(), x.b.Share, x.n)
		case len(x.taken)+cost > x.allowed && failpoint.Is("out-is-free") && !x.taken[id], len(x.taken)+cost > x.allowed && !failpoint.Is("out-is-free"):
			return fmt.Sprintf("%s: %d of at most %d out: %s", x.text(), len(x.taken), x.allowed, Few(x.out))
		}
	}
	return ""
}

// Used is one budget as it stands.
type Used struct {
	Budget  string `json:"budget"`
	Kind    Kind   `json:"kind"`
	Zone    string `json:"zone,omitempty"`
	Things  int    `json:"things"`
	Allowed int    `json:"allowed"`
	Out     int    `json:"out"`

	Warm time.Duration `json:"warm"`
}

// Missing is one thing that is out.
type Missing struct {
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Zone   string        `json:"zone,omitempty"`
	Reason Reason        `json:"reason"`
	For    time.Duration `json:"for"`          // by the agreed clock
	By     []string      `json:"by,omitempty"` // routers whose word has all leave it out
}

// Member is one router of the fleet.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Version string `json:"version,omitempty"`
}

// Matching are the names of routers that match, in their order.
func Matching(all []Member, match string) (names []string) {
	for _, m := range all {
		if ok, _ := path.Match(match, m.Name); ok || match == "" {
			names = append(names, m.Name)
		}
	}
	return names
}

// Report is how all stands, for people and tools.
type Report struct {
	Version uint64    `json:"version"`
	Drains  uint64    `json:"drains"`
	Drained []string  `json:"drained"` // servers to which nothing new is sent
	Routers int       `json:"routers"`
	Servers int       `json:"servers"`
	Budgets []Used    `json:"budgets"`
	Out     []Missing `json:"out"`
	All     []Member  `json:"all"` // routers, zone by zone
	Permits []*Permit `json:"permits"`
	Halted  *Stop     `json:"halted,omitempty"`
	Load    Load      `json:"load,omitzero"`
	Release *Course   `json:"release,omitempty"`
	Do      []string  `json:"do,omitempty"` // routers that the release is to change now
	At      []string  `json:"at,omitempty"` // routers that are up with the version that it wants
}

// Drains is the set of servers to which nothing new is sent.
type Drains struct {
	Version uint64   `json:"version"`
	Servers []string `json:"servers"`
	Figures bool     `json:"figures,omitempty"` // routers report what they answer: a release is under way,
	Speed   bool     `json:"speed,omitempty"`   // and how fast: all coordinators understand that

	Quorum   int       `json:"quorum,omitempty"`   // of routers that find a server bad; 0 = each goes by itself
	Suspects []Suspect `json:"suspects,omitempty"` // what it found

	MaxSeen int `json:"max_seen,omitempty"` // servers in one report; 0 = EarlierMaxSeen
}

// ForRouters is what routers go by; speed tells whether all coordinators understand how fast they are.
func (s *State) ForRouters(clock time.Duration, speed bool) Drains {
	releases := s.Release != nil && s.Release.State == Running
	return Drains{Version: s.Drains, Servers: s.Drained(), Figures: releases || s.Busy > 0, Speed: releases && speed,
		Quorum: s.Quorum, Suspects: s.Suspects(clock)}
}

// Report tells how all stands at the clock, without changing it.
func (s *State) Report(clock time.Duration) Report {
	c := s.Clone()
	all, _, reasons := c.scopes(clock)
	r := Report{Version: c.Version, Drains: c.Drains, Drained: c.Drained(), Routers: len(c.Routers), Servers: len(c.Servers), Permits: c.Permits, Halted: c.Halted, Load: c.Load, Release: c.Release, Do: c.Do(), At: c.At()}
	for _, name := range c.matching("") {
		r.All = append(r.All, Member{name, c.Routers[name].Zone, c.Routers[name].Version})
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		x := all[id]
		r.Budgets = append(r.Budgets, Used{x.b.Name, x.b.Kind, x.zone, x.n, x.allowed, len(x.taken), x.b.Warm})
	}
	for _, k := range []Kind{Router, Server} {
		things := c.things(k)
		for _, name := range slices.Sorted(maps.Keys(things)) {
			if why := reasons[key(k, name)]; why != In {
				m := Missing{k, name, things[name].Zone, why, max(0, clock-things[name].Since), nil}
				if x := things[name].Suspect; x != nil && !x.Over {
					m.By = x.By
				}
				r.Out = append(r.Out, m)
			}
		}
	}
	return r
}
