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

// OutageReason is why a thing is out.
type OutageReason string

// The reasons, the first that holds counts.
const (
	NotOut        OutageReason = ""
	OutPlanned    OutageReason = "by plan"
	OutDown       OutageReason = "down"
	OutUnobserved OutageReason = "unknown" // no router that is there tells of it
	OutSlowStart  OutageReason = "cold"
)

// reconcile weighs all that depends on several things, or on time: who is up, which permits are over, what is drained, and who
// may go out. The outcome is a function of the state and the clock alone, so that weighing twice changes nothing.
func (s *State) reconcile(clock time.Duration, token func() uint64) {
	s.nextReconcileAt = math.MaxInt64
	for before := s.Version - 1; before != s.Version; { // a permit that is over may let a server be forgotten
		before = s.Version
		s.updateAvailability(clock)
		s.removeFinishedPermits(clock)
	}
	s.updateOverload(clock)
	s.completeDrains(clock)
	s.advanceRelease(clock)
	s.grantPermits(clock, token)
}

func (s *State) reconcileAt(at time.Duration) { s.nextReconcileAt = min(s.nextReconcileAt, at) }

// updateAvailability finds out who is up.
func (s *State) updateAvailability(clock time.Duration) {
	turn := func(t *Target, up bool) {
		if t.IsUp != up {
			t.IsUp, t.ChangedAt = up, clock
			s.Version++
		}
	}
	for _, r := range s.changedRouters {
		turn(r, r.Session != "" && r.IsReady)
	}
	s.changedRouters = nil
	if !s.serversChanged && clock < s.nextServerChangeAt { // hundreds of routers see hundreds of servers: only where something may have changed
		s.reconcileAt(s.nextServerChangeAt)
		return
	}
	s.serversChanged, s.nextServerChangeAt = false, math.MaxInt64
	s.updateEjections(clock)
	for name, t := range s.Servers {
		saw, against, gone := t.counts.total, t.counts.notServing(), t.counts.removed
		listed := gone+t.counts.draining > 0
		// More than half of those that see it must agree: one router with a bad link neither takes a server out nor hides that it is.
		out := saw == 0 || 2*against > saw
		if failpoint.Is("evidence-of-one") {
			out = against > 0
		}
		turn(t, !out && (t.Ejection == nil || t.Ejection.IsOver))
		switch {
		case !listed:
			t.DelistedAt = -1
		case t.DelistedAt < 0:
			t.DelistedAt = clock
		}
		if saw == 0 || gone < saw {
			continue
		}
		// By all lists it belongs to the fleet no more. It may have crashed, or be back and the news be late: it counts as down for a while.
		if at := max(t.ChangedAt, t.DelistedAt) + ForgetAfterGraces*s.Grace; at > clock && !failpoint.Is("gone-is-forgotten") {
			s.nextServerChangeAt = min(s.nextServerChangeAt, at)
		} else if !slices.ContainsFunc(s.Permits, func(p *Permit) bool { return p.Kind == KindServer && p.Name == name }) {
			s.removeServer(name)
			s.Version++
		}
	}
	s.reconcileAt(s.nextServerChangeAt)
}

// removeFinishedPermits takes away the permits that are not wanted any more, and those whose holder is gone and whose thing is back.
func (s *State) removeFinishedPermits(clock time.Duration) {
	n := len(s.Permits)
	s.removePermits(func(p *Permit) bool {
		t := s.targets(p.Kind)[p.Name]
		switch {
		case p.Stage != StageBegun:
			if p.ExpiresAt > 0 {
				s.reconcileAt(p.ExpiresAt)
			}
			return p.Session == "" || t == nil || p.ExpiresAt > 0 && p.ExpiresAt <= clock
		case p.Session != "":
			return false
		}
		// Nobody says any more what became of the step. It is over once the thing runs that was started since. What is heard of its
		// start within the grace may be news from before the step.
		if at := p.BegunAt + s.Grace; t != nil && at > clock && !failpoint.Is("late-news-believed") {
			s.reconcileAt(at)
			p.Incarnation = t.Incarnation
		}
		if t != nil && t.IsUp && t.Incarnation != p.Incarnation {
			t.ChangedAt = clock
			return true
		}
		p.WaitReason = fmt.Sprintf("its holder %s is gone: it counts as out until it is seen started anew, or until 'permit clear %s'", p.Client, targetID(p.Kind, p.Name))
		return false
	})
	if len(s.Permits) != n {
		s.Version++
	}
}

// completeDrains finds out to which servers no router sends any more: each that is there has said so, and each that isn't has had the
// time to hear it from discovery's list, which must say it.
func (s *State) completeDrains(clock time.Duration) {
	for _, p := range s.Permits {
		if p.Kind != KindServer || p.Stage != StageBegun || p.IsDrained {
			continue
		}
		var missing firstNames
		t := s.Servers[p.Name]
		for name, r := range s.Routers {
			switch {
			case failpoint.Is("drain-unacknowledged"):
			case r.Session != "":
				if r.AcknowledgedDrains < p.DrainVersion {
					missing.add(name)
				}
			case t == nil || t.DelistedAt < 0:
				missing.add(name + " (no session, and discovery's list doesn't say that the server leaves)")
			default:
				if at := max(r.SessionEndedAt, t.DelistedAt, p.BegunAt) + s.Grace; at > clock {
					s.reconcileAt(at)
					missing.add(name + " (no session)")
				}
			}
		}
		if missing.all == 0 {
			p.IsDrained, p.WaitReason = true, ""
			s.Version++
			continue
		}
		if p.Session != "" {
			p.WaitReason = fmt.Sprintf("until nothing more is sent to it by %s", missing.text())
		}
	}
}

// maxListedNames is how many of many things a text names.
const maxListedNames = 3

// FirstNames names some of many.
func FirstNames(names []string) string {
	return firstNamesText(names[:min(len(names), maxListedNames)], len(names))
}

func firstNamesText(first []string, all int) string {
	if all > len(first) {
		return fmt.Sprintf("%s and %d more", strings.Join(first, ", "), all-len(first))
	}
	return strings.Join(first, ", ")
}

// firstNames gathers the first names of many in their order without keeping them all: thousands of routers may be asked for.
type firstNames struct {
	first []string // sorted
	all   int
}

func (f *firstNames) add(name string) {
	f.all++
	at, _ := slices.BinarySearch(f.first, name)
	if at == maxListedNames {
		return
	}
	f.first = slices.Insert(f.first, at, name)
	f.first = f.first[:min(len(f.first), maxListedNames)]
}

func (f *firstNames) text() string { return firstNamesText(f.first, f.all) }

// slowStart is how long a thing that is back counts as out.
func (s *State) slowStart(k Kind, name string) (d time.Duration) {
	for i := range s.Budgets {
		if s.Budgets[i].covers(k, name) {
			d = max(d, s.Budgets[i].SlowStart)
		}
	}
	return d
}

// outageReason tells whether a thing is out, and until when where that is known.
func (s *State) outageReason(k Kind, name string, t *Target, planned map[string]bool, clock time.Duration) (OutageReason, time.Duration) {
	switch warm := t.ChangedAt + s.slowStart(k, name); {
	case planned[targetID(k, name)]:
		return OutPlanned, 0
	case !t.IsUp && k == KindServer && len(t.Observations) == 0:
		return OutUnobserved, 0
	case !t.IsUp:
		return OutDown, 0
	case warm > clock && !failpoint.Is("cold-counts-as-in"):
		return OutSlowStart, warm
	}
	return NotOut, 0
}

func (s *State) plannedOutages() map[string]bool {
	all := map[string]bool{}
	for _, p := range s.Permits {
		if p.Stage == StageBegun {
			all[targetID(p.Kind, p.Name)] = true
		}
	}
	return all
}

// budgetUsage is one budget in one zone, or over the fleet.
type budgetUsage struct {
	b       *Budget
	zone    string
	n       int
	out     []string        // by name, with the reason
	taken   map[string]bool // things that count against it
	allowed int
}

func (x *budgetUsage) text() string {
	if x.b.Per == "zone" {
		return fmt.Sprintf("budget %s (zone %s)", x.b.Name, x.zone)
	}
	return "budget " + x.b.Name
}

// budgetUsages are all budgets with what counts against them now, and how many things of a kind are in, over all and by zone.
func (s *State) budgetUsages(clock time.Duration) (all map[string]*budgetUsage, in map[string]int, reasons map[string]OutageReason) {
	all, in, reasons = map[string]*budgetUsage{}, map[string]int{}, map[string]OutageReason{}
	planned := s.plannedOutages()
	for _, k := range []Kind{KindRouter, KindServer} {
		things := s.targets(k)
		for _, name := range slices.Sorted(maps.Keys(things)) {
			t := things[name]
			why, until := s.outageReason(k, name, t, planned, clock)
			if until > 0 {
				s.reconcileAt(until)
			}
			reasons[targetID(k, name)] = why
			in[string(k)+"\x00all"]++
			in[string(k)+"\x00all\x00"+t.Zone]++
			if why == NotOut {
				in[string(k)]++
				in[string(k)+"\x00"+t.Zone]++
			}
			for _, x := range s.coveringUsages(all, k, name, t) {
				x.n++
				if why != NotOut {
					x.taken[targetID(k, name)] = true
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

// coveringUsages are the scopes that a thing belongs to.
func (s *State) coveringUsages(all map[string]*budgetUsage, k Kind, name string, t *Target) (of []*budgetUsage) {
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
			all[id] = &budgetUsage{b: b, zone: zone, taken: map[string]bool{}}
		}
		of = append(of, all[id])
	}
	return of
}

// grantPermits weighs the permits that have not begun, in their order. One that must wait keeps its place in all of its budgets: who
// comes later gets only what is left beside it. One that was granted and doesn't fit any more is taken back.
func (s *State) grantPermits(clock time.Duration, token func() uint64) {
	wait := slices.DeleteFunc(slices.Clone(s.Permits), func(p *Permit) bool { return p.Stage == StageBegun })
	if len(wait) == 0 {
		return
	}
	slices.SortFunc(wait, comparePermits)
	all, in, reasons := s.budgetUsages(clock)
	used := map[string]bool{} // things whose permit somebody has or will have first
	for id := range s.plannedOutages() {
		used[id] = true
	}
	for _, p := range wait {
		t := s.targets(p.Kind)[p.Name]
		id := targetID(p.Kind, p.Name)
		why := s.waitReason(p, t, all, in, reasons[id], used[id], clock)
		used[id] = true
		if reasons[id] == NotOut {
			in[string(p.Kind)]--
			in[string(p.Kind)+"\x00"+t.Zone]--
		}
		for _, x := range s.coveringUsages(all, p.Kind, p.Name, t) {
			if !x.taken[id] {
				x.taken[id] = true
				x.out = append(x.out, fmt.Sprintf("%s (permit before this one)", p.Name))
			}
		}
		switch {
		case why == "" && p.Stage == StageWaiting:
			p.Stage, p.Token = StageGranted, token()
			s.Version++
		case why != "" && p.Stage == StageGranted:
			p.Stage, p.Token = StageWaiting, 0
			s.Version++
		}
		p.WaitReason = why
	}
}

// waitReason tells why a permit can't be given now; "" where it can.
func (s *State) waitReason(p *Permit, t *Target, all map[string]*budgetUsage, in map[string]int, is OutageReason, used bool, clock time.Duration) string {
	if used {
		return "another permit of it is given or comes first"
	}
	if s.Halt != nil && p.Priority < PriorityEmergency {
		return fmt.Sprintf("halted by %s: %s", s.Halt.By, s.Halt.Reason)
	}
	if why := s.overloadReason(p); why != "" {
		return why
	}
	if p.Kind == KindServer && len(s.Routers) < s.ExpectedRouters { // those that don't take part would go on sending to it
		return fmt.Sprintf("%d routers are expected, and %d take part", s.ExpectedRouters, len(s.Routers))
	}
	scopes := s.coveringUsages(all, p.Kind, p.Name, t)
	if len(scopes) == 0 {
		return fmt.Sprintf("no budget covers %s: nothing goes out without one", targetID(p.Kind, p.Name))
	}
	if is == OutDown && p.Priority >= PriorityEmergency { // it counts already, and serves nobody
		at := t.ChangedAt + s.Grace // by then one that only the agreement had lost would be back
		if at <= clock {
			return ""
		}
		s.reconcileAt(at)
	}
	k := string(p.Kind)
	id, cost := targetID(p.Kind, p.Name), 1
	if is != NotOut { // it counts already; what is left over must be there all the same, as one that is cold or unknown may well serve
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
			return fmt.Sprintf("%s: a share of %v of %d is none: raise it, or say a number", x.text(), x.b.MaxOutShare, x.n)
		case len(x.taken)+cost > x.allowed && failpoint.Is("out-is-free") && !x.taken[id], len(x.taken)+cost > x.allowed && !failpoint.Is("out-is-free"):
			return fmt.Sprintf("%s: %d of at most %d out: %s", x.text(), len(x.taken), x.allowed, FirstNames(x.out))
		}
	}
	return ""
}

// BudgetUsage is one budget as it stands.
type BudgetUsage struct {
	Budget  string `json:"budget"`
	Kind    Kind   `json:"kind"`
	Zone    string `json:"zone,omitempty"`
	Targets int    `json:"things"`
	Allowed int    `json:"allowed"`
	Out     int    `json:"out"`

	SlowStart time.Duration `json:"warm"`
}

// UnavailableTarget is one thing that is out.
type UnavailableTarget struct {
	Kind       Kind          `json:"kind"`
	Name       string        `json:"name"`
	Zone       string        `json:"zone,omitempty"`
	Reason     OutageReason  `json:"reason"`
	Duration   time.Duration `json:"for"`          // by the agreed clock
	ReportedBy []string      `json:"by,omitempty"` // routers whose word has all leave it out
}

// Member is one router of the fleet.
type Member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Version string `json:"version,omitempty"`
}

// MatchingMembers are the names of routers that match, in their order.
func MatchingMembers(all []Member, match string) (names []string) {
	for _, m := range all {
		if ok, _ := path.Match(match, m.Name); ok || match == "" {
			names = append(names, m.Name)
		}
	}
	return names
}

// Report is how all stands, for people and tools.
type Report struct {
	Version      uint64              `json:"version"`
	DrainVersion uint64              `json:"drains"`
	Drained      []string            `json:"drained"` // servers to which nothing new is sent
	Routers      int                 `json:"routers"`
	Servers      int                 `json:"servers"`
	Budgets      []BudgetUsage       `json:"budgets"`
	Unavailable  []UnavailableTarget `json:"out"`
	Members      []Member            `json:"all"` // routers, zone by zone
	Permits      []*Permit           `json:"permits"`
	Halt         *HaltRecord         `json:"halted,omitempty"`
	Load         Load                `json:"load,omitzero"`
	Release      *ReleaseProgress    `json:"release,omitempty"`
	Pending      []string            `json:"do,omitempty"` // routers that the release is to change now
	Updated      []string            `json:"at,omitempty"` // routers that are up with the version that it wants
}

// DrainSet is the set of servers to which nothing new is sent.
type DrainSet struct {
	Version      uint64   `json:"version"`
	Servers      []string `json:"servers"`
	WantsCounts  bool     `json:"figures,omitempty"` // routers report what they answer: a release is under way,
	WantsLatency bool     `json:"speed,omitempty"`   // and how fast: all coordinators understand that

	EjectionQuorum int             `json:"quorum,omitempty"`   // of routers that find a server bad; 0 = each goes by itself
	Ejected        []EjectedServer `json:"suspects,omitempty"` // what it found

	MaxReportedServers int `json:"max_seen,omitempty"` // servers in one report; 0 = EarlierMaxSeen
}

// DrainSet is what routers go by; speed tells whether all coordinators understand how fast they are.
func (s *State) DrainSet(clock time.Duration, speed bool) DrainSet {
	releases := s.Release != nil && s.Release.State == ReleaseRunning
	return DrainSet{Version: s.DrainVersion, Servers: s.DrainedServers(), WantsCounts: releases || s.OverloadShare > 0, WantsLatency: releases && speed,
		EjectionQuorum: s.EjectionQuorum, Ejected: s.EjectedServers(clock)}
}

// Report tells how all stands at the clock, without changing it.
func (s *State) Report(clock time.Duration) Report {
	c := s.Clone()
	all, _, reasons := c.budgetUsages(clock)
	r := Report{Version: c.Version, DrainVersion: c.DrainVersion, Drained: c.DrainedServers(), Routers: len(c.Routers), Servers: len(c.Servers), Permits: c.Permits, Halt: c.Halt, Load: c.Load, Release: c.Release, Pending: c.PendingRouters(), Updated: c.UpdatedRouters()}
	for _, name := range c.matchingRouters("") {
		r.Members = append(r.Members, Member{name, c.Routers[name].Zone, c.Routers[name].Version})
	}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		x := all[id]
		r.Budgets = append(r.Budgets, BudgetUsage{x.b.Name, x.b.Kind, x.zone, x.n, x.allowed, len(x.taken), x.b.SlowStart})
	}
	for _, k := range []Kind{KindRouter, KindServer} {
		things := c.targets(k)
		for _, name := range slices.Sorted(maps.Keys(things)) {
			if why := reasons[targetID(k, name)]; why != NotOut {
				m := UnavailableTarget{k, name, things[name].Zone, why, max(0, clock-things[name].ChangedAt), nil}
				if x := things[name].Ejection; x != nil && !x.IsOver {
					m.ReportedBy = x.ReportedBy
				}
				r.Unavailable = append(r.Unavailable, m)
			}
		}
	}
	return r
}
