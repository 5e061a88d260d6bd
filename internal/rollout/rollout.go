// Package rollout decides who may be taken out of the fleet, when, and when who was out is back. It is part of what the
// coordinators agree on: a pure machine without I/O and without a clock, which goes by commands, sessions' ends and the agreed
// time alone. docs/rollout-design.md has the reasons, docs/rollout.md is for operators.
package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"slices"
	"strings"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// The bounds of all tables.
const (
	MaxBudgets         = 64
	MaxRouters         = 8192 // 5,100 and over half as many again
	MaxServers         = 4096 // 2,500 and over half as many again
	MaxPermits         = 256  // that wait or are given
	MaxReportedServers = 512  // servers in one report
	// MaxObservations of a server by a router: 13 regions of 392 routers that see 192 servers each, twice. All routers that see all
	// servers would be six times as many.
	MaxObservations = 2 << 20
	MaxName         = 128 // bytes
	MaxText         = 256 // bytes of a purpose or reason
	MaxDuration     = time.Hour
	MaxPermitWait   = 24 * time.Hour // of a deadline
	MinGrace        = time.Second

	ForgetAfterGraces = 10 // times the grace: then a server that is on no list is forgotten
)

// Kind says what a thing is.
type Kind string

// The kinds.
const (
	KindRouter Kind = "router"
	KindServer Kind = "server" // a cache server
)

// RouterClientPrefix begins the names of the routers' sessions.
const RouterClientPrefix = "router/"

// Priorities. One that is higher goes first; Emergency also passes a halt.
const (
	PriorityRelease   = 0
	PriorityNormal    = 5
	PriorityEmergency = 9
)

// Op says what a command does.
type Op string

// The commands.
const (
	OpSetBudgets        Op = "budgets" // Budgets, Grace and Expect are in force from here on
	OpReport            Op = "see"     // a router's View; only from the session of a router
	OpAcknowledgeDrains Op = "ack"     // a router sends nothing more to all that was drained at the version Drains; likewise
	OpRequestPermit     Op = "ask"     // for the permit to take Kind/Name out; repeated it tells how it stands
	OpBeginOutage       Op = "begin"   // the step, by the permit with Token: from here on the thing is out
	OpEndOutage         Op = "back"    // the thing is back in service, the permit with Token is given back
	OpCancelPermit      Op = "cancel"  // a permit that hasn't begun
	OpClearPermit       Op = "clear"   // an operator's word: whoever had the permit of Kind/Name, nothing happens by it any more
	OpForgetTarget      Op = "forget"  // an operator's word: Kind/Name, which is not in, belongs to the fleet no more
	OpHalt              Op = "halt"    // nothing new goes out, for the reason Why
	OpResume            Op = "resume"  // the halt is over

	OpStartRelease Op = "release"  // of the Plan
	OpRollBack     Op = "way-back" // the release goes back to the version before
	OpEndRelease   Op = "end"      // the release ends as it stands
	OpRouterFailed Op = "failed"   // router Name can't be brought to the goal, for the reason Why
)

// Command is one of them, from a session.
type Command struct {
	Op              Op            `json:"op"`
	Budgets         []Budget      `json:"budgets,omitempty"`
	Grace           time.Duration `json:"grace,omitempty"`
	ExpectedRouters int           `json:"expect,omitempty"`
	EjectionQuorum  int           `json:"quorum,omitempty"`
	OverloadShare   float64       `json:"busy,omitempty"`
	Report          *RouterReport `json:"view,omitempty"`
	DrainVersion    uint64        `json:"drains,omitempty"`
	Kind            Kind          `json:"kind,omitempty"`
	Name            string        `json:"name,omitempty"`
	Token           uint64        `json:"token,omitempty"`
	Priority        int           `json:"priority,omitempty"`
	ValidFor        time.Duration `json:"within,omitempty"` // Ask: the permit is not wanted any more after it; 0 = ever
	Reason          string        `json:"why,omitempty"`
	Plan            *ReleasePlan  `json:"plan,omitempty"`
}

// RouterReport is what a router tells of itself and of the cache servers. Servers has what changed since its last one.
type RouterReport struct {
	Zone    string              `json:"zone,omitempty"`
	Version string              `json:"version,omitempty"`
	IsReady bool                `json:"ready"`
	Servers []ServerObservation `json:"servers,omitempty"`
	Served  int64               `json:"good,omitempty"` // requests served since the process began,
	Failed  int64               `json:"bad,omitempty"`  // and refused or failed; told while a release is under way
	// Of those served, how many took how long (SpeedBucket); told where Drains.Speed wants it.
	LatencyCounts []int64 `json:"speed,omitempty"`
}

// ServerStatus is how a router sees a server.
type ServerStatus string

// The sights.
const (
	StatusServing  ServerStatus = "up"
	StatusFailing  ServerStatus = "bad"     // it doesn't answer, or answers wrongly
	StatusDraining ServerStatus = "leaving" // discovery's list says so
	StatusRemoved  ServerStatus = "gone"    // from discovery's list
)

// ServerObservation is one server as a router sees it.
type ServerObservation struct {
	Name        string       `json:"name"`
	Zone        string       `json:"zone,omitempty"`
	Incarnation string       `json:"run,omitempty"` // tells one start of its process from another, by discovery's list
	Status      ServerStatus `json:"is"`
}

// Budget bounds how many things of a kind are out at once, whatever the reason.
type Budget struct {
	Name        string        `json:"name"`
	Kind        Kind          `json:"kind"`
	Match       string        `json:"match,omitempty"` // names, as path.Match has it; "" = all
	Per         string        `json:"per,omitempty"`   // "zone": it holds for each zone by itself; "" = for the fleet
	MaxOut      int           `json:"most,omitempty"`
	MaxOutShare float64       `json:"share,omitempty"` // of those that there are, rounded down; where Most is 0
	SlowStart   time.Duration `json:"warm,omitempty"`  // one that is back counts as out for so long
}

// Check tells what is wrong with a budget.
func (b *Budget) Check() error {
	switch {
	case b.Name == "" || len(b.Name) > MaxName:
		return fmt.Errorf("name: %q is not of 1 to %d bytes", b.Name, MaxName)
	case b.Kind != KindRouter && b.Kind != KindServer:
		return fmt.Errorf("kind: %q is none of router, server", b.Kind)
	case b.Per != "" && b.Per != "zone":
		return fmt.Errorf("per: %q is not zone", b.Per)
	case b.MaxOut < 0 || b.MaxOut > MaxRouters:
		return fmt.Errorf("most: %d is not from 1 to %d", b.MaxOut, MaxRouters)
	case b.MaxOut > 0 && b.MaxOutShare != 0:
		return fmt.Errorf("share: most is given too, and one of them holds")
	case b.MaxOut == 0 && !(b.MaxOutShare > 0 && b.MaxOutShare < 1):
		return fmt.Errorf("most: 0, and share, %v, is not between 0 and 1: it would never let anything out", b.MaxOutShare)
	case b.SlowStart < 0 || b.SlowStart > MaxDuration:
		return fmt.Errorf("warm: %v is not from 0 to %v", b.SlowStart, MaxDuration)
	}
	if _, err := path.Match(b.Match, ""); err != nil || len(b.Match) > MaxName {
		return fmt.Errorf("match: %q is no pattern of at most %d bytes", b.Match, MaxName)
	}
	return nil
}

// covers tells whether a thing of the kind and name comes under the budget.
func (b *Budget) covers(k Kind, name string) bool {
	if b.Kind != k {
		return false
	}
	if b.Match == "" {
		return true
	}
	ok, _ := path.Match(b.Match, name) // it has been checked
	return ok
}

// allowed is how many of n things may be out at once.
func (b *Budget) allowed(n int) int {
	if b.MaxOut > 0 {
		return b.MaxOut
	}
	return int(math.Floor(b.MaxOutShare*float64(n) + 1e-9))
}

// Target is a router or cache server that belongs to the fleet.
type Target struct {
	Zone        string        `json:"zone,omitempty"`
	Version     string        `json:"version,omitempty"` // a router's program
	IsUp        bool          `json:"up"`
	ChangedAt   time.Duration `json:"since"` // by the agreed clock, when Up became what it is or a permit was given back
	Incarnation string        `json:"run,omitempty"`

	// A router's.
	Session            string        `json:"session,omitempty"` // "" = it has none
	SessionOrder       uint64        `json:"opened,omitempty"`  // the order in which sessions came
	IsReady            bool          `json:"ready,omitempty"`
	SessionEndedAt     time.Duration `json:"ended,omitempty"` // when its last session did
	AcknowledgedDrains uint64        `json:"acked,omitempty"` // the newest version of the drains that it acts by
	Served             int64         `json:"good,omitempty"`  // as its View told last
	Failed             int64         `json:"bad,omitempty"`
	LatencyCounts      []int64       `json:"speed,omitempty"`

	// A server's.
	Observations map[string]ServerStatus  `json:"saw,omitempty"`     // by router, as long as its session lasts; changed by State.sight alone
	DelistedAt   time.Duration            `json:"listed,omitempty"`  // since when discovery's list takes it out, by a router; -1 = it doesn't
	FailingSince map[string]time.Duration `json:"found,omitempty"`   // by router: since when it finds the server bad by itself
	Ejection     *Ejection                `json:"suspect,omitempty"` // the newest

	counts observationCounts // of Saw
}

// Stage is how far a permit is.
type Stage string

// The stages.
const (
	StageWaiting Stage = "waiting"
	StageGranted Stage = "granted" // until Begin it can be taken back: a failure elsewhere may need what it would use up
	StageBegun   Stage = "begun"
)

// Permit is one to take a thing out, or the wish for it.
type Permit struct {
	ID           uint64        `json:"id"`
	Token        uint64        `json:"token,omitempty"` // given with Granted; the larger, the later
	Kind         Kind          `json:"kind"`
	Name         string        `json:"name"`
	Session      string        `json:"session"` // "" = the holder is gone, and the permit stays used
	Client       string        `json:"client"`
	Priority     int           `json:"priority"`
	Purpose      string        `json:"why,omitempty"`
	Stage        Stage         `json:"stage"`
	ExpiresAt    time.Duration `json:"until,omitempty"` // it is not wanted after this
	BegunAt      time.Duration `json:"began,omitempty"`
	Incarnation  string        `json:"run,omitempty"`     // the thing's, when the step began
	DrainVersion uint64        `json:"drain,omitempty"`   // the version of the drains that has it
	IsDrained    bool          `json:"drained,omitempty"` // no router sends to it any more
	WaitReason   string        `json:"waits,omitempty"`   // why it doesn't go on, in one sentence
}

// HaltRecord is a halt of all that is new.
type HaltRecord struct {
	By     string        `json:"by"`
	Reason string        `json:"why"`
	Time   time.Duration `json:"at"`
}

// State is the agreed state of it.
type State struct {
	Version         uint64             `json:"version"`          // grows with each change that anyone may want to know
	DrainVersion    uint64             `json:"drains"`           // the version of the set of drained servers
	Grace           time.Duration      `json:"grace"`            // longer than routers' sessions last; one without a session has heard discovery's list by then
	ExpectedRouters int                `json:"expect,omitempty"` // so many routers must take part before a server is drained; 0 = nobody says
	EjectionQuorum  int                `json:"quorum,omitempty"` // so many routers must find a server bad for all to leave it out; 0 = each for itself
	OverloadShare   float64            `json:"busy,omitempty"`   // where the fleet refuses or fails more than this share, nothing new goes out; 0 = whatever it does
	Load            Load               `json:"load,omitzero"`
	Budgets         []Budget           `json:"budgets,omitempty"`
	Routers         map[string]*Target `json:"routers"`
	Servers         map[string]*Target `json:"servers"`
	Permits         []*Permit          `json:"permits,omitempty"` // by ID
	Halt            *HaltRecord        `json:"halted,omitempty"`
	Release         *ReleaseProgress   `json:"release,omitempty"`
	LastPermitID    uint64             `json:"ids"`

	nextReconcileAt    time.Duration // nothing changes by time alone before this
	serversChanged     bool          // what is seen of servers may have changed since it was weighed,
	nextServerChangeAt time.Duration // or changes by time from here on

	observationCount     int                           // of all servers
	changedRouters       []*Target                     // routers that may have become up or down in this command
	observationsByRouter map[string]*observationCounts // by router, of all servers
}

// DefaultGrace is that of a new state.
const DefaultGrace = 15 * time.Second

// New returns an empty state.
func New() *State {
	return &State{Grace: DefaultGrace, Routers: map[string]*Target{}, Servers: map[string]*Target{}, nextReconcileAt: math.MaxInt64, nextServerChangeAt: math.MaxInt64,
		observationsByRouter: map[string]*observationCounts{}}
}

// Code says how a command ended.
type Code string

// The ends.
const (
	CodeOK           Code = "ok"
	CodeNotHeld      Code = "not-held"
	CodeLimitReached Code = "full"
	CodeInvalid      Code = "bad"
)

// Result is what a command gave.
type Result struct {
	Code      Code
	Text      string
	Token     uint64
	Stage     Stage // of the permit
	IsDrained bool

	isUnchanged bool // nothing that others may want to know has changed, unless settling finds it
}

// Sender is who sends a command, and when.
type Sender struct {
	Time         time.Duration // agreed
	Session      string
	Client       string
	SessionOrder uint64        // the order in which sessions came
	NextToken    func() uint64 // a new one

	// HasEarlierLimits tells that a coordinator may have an older program, whose tables have lower bounds.
	HasEarlierLimits bool
}

func invalid(form string, v ...any) Result {
	return Result{Code: CodeInvalid, Text: fmt.Sprintf(form, v...)}
}

// Apply carries out a command.
func (s *State) Apply(c Command, f Sender) Result {
	var a Result
	switch c.Op {
	case OpSetBudgets:
		a = s.set(c)
	case OpReport:
		a = s.see(c, f)
	case OpAcknowledgeDrains:
		a = s.ack(c, f)
	case OpHalt:
		if c.Reason == "" || len(c.Reason) > MaxText {
			return invalid("why: %d bytes, 1 to %d are wanted", len(c.Reason), MaxText)
		}
		if s.Halt == nil { // the first reason is the one that counts
			s.Halt = &HaltRecord{f.Client, c.Reason, f.Time}
		}
		a = Result{Code: CodeOK}
	case OpResume:
		s.Halt = nil
		s.resumeRelease(f.Time)
		a = Result{Code: CodeOK}
	case OpStartRelease:
		a = s.startRelease(c, f)
	case OpRollBack, OpEndRelease, OpRouterFailed:
		a = s.steer(c, f)
	case OpRequestPermit, OpBeginOutage, OpEndOutage, OpCancelPermit, OpClearPermit, OpForgetTarget:
		if c.Kind != KindRouter && c.Kind != KindServer {
			return invalid("kind: %q is none of router, server", c.Kind)
		}
		if c.Name == "" || len(c.Name) > MaxName {
			return invalid("name: %q is not of 1 to %d bytes", c.Name, MaxName)
		}
		a = s.permit(c, f)
	default:
		return invalid("op: %q is none", c.Op)
	}
	if a.Code == CodeOK && !a.isUnchanged { // who only looks wakes nobody
		s.Version++
	}
	s.reconcile(f.Time, f.NextToken)
	if p := s.permitOfSession(c, f); p != nil && a.Code == CodeOK { // as it stands after all has been weighed
		a.Token, a.Stage, a.Text, a.IsDrained = p.Token, p.Stage, p.WaitReason, p.IsDrained
	}
	return a
}

// permitOfSession is the permit of a session for a thing.
func (s *State) permitOfSession(c Command, f Sender) *Permit {
	for _, p := range s.Permits {
		if p.Kind == c.Kind && p.Name == c.Name && p.Session == f.Session && f.Session != "" {
			return p
		}
	}
	return nil
}

func (s *State) set(c Command) Result {
	if len(c.Budgets) > MaxBudgets {
		return Result{Code: CodeLimitReached, Text: fmt.Sprintf("budgets: %d, %d at most", len(c.Budgets), MaxBudgets)}
	}
	names := map[string]bool{}
	for _, b := range c.Budgets {
		if err := b.Check(); err != nil {
			return invalid("budget %q: %v", b.Name, err)
		}
		if names[b.Name] {
			return invalid("budget %q: there are two", b.Name)
		}
		names[b.Name] = true
	}
	if c.Grace < MinGrace || c.Grace > MaxDuration {
		return invalid("grace: %v is not from %v to %v", c.Grace, MinGrace, MaxDuration)
	}
	if c.ExpectedRouters < 0 || c.ExpectedRouters > MaxRouters {
		return invalid("routers: %d is not from 0 to %d", c.ExpectedRouters, MaxRouters)
	}
	if c.EjectionQuorum != 0 && (c.EjectionQuorum < MinEjectionQuorum || c.EjectionQuorum > MaxEjectionQuorum) {
		return invalid("quorum: %d is neither 0 nor from %d to %d", c.EjectionQuorum, MinEjectionQuorum, MaxEjectionQuorum)
	}
	if !(c.OverloadShare >= 0 && c.OverloadShare < 1) {
		return invalid("busy: %v is not between 0 and 1", c.OverloadShare)
	}
	s.serversChanged = true // the grace may differ
	if s.EjectionQuorum != c.EjectionQuorum || s.OverloadShare != c.OverloadShare {
		s.DrainVersion++ // what routers tell, and how soon, may change
	}
	s.OverloadShare = c.OverloadShare
	s.Budgets, s.Grace, s.ExpectedRouters, s.EjectionQuorum = slices.Clone(c.Budgets), c.Grace, c.ExpectedRouters, c.EjectionQuorum
	return Result{Code: CodeOK}
}

// routerOf names the router whose session it is.
func routerOf(f Sender) (name string, ok bool) {
	name, ok = strings.CutPrefix(f.Client, RouterClientPrefix)
	return name, ok && name != ""
}

func (s *State) see(c Command, f Sender) Result {
	name, ok := routerOf(f)
	if !ok || c.Report == nil {
		return invalid("see: only a router tells what it sees, in its view")
	}
	if len(c.Report.Servers) > MaxReportedServers {
		return invalid("view: %d servers, %d at most at once", len(c.Report.Servers), MaxReportedServers)
	}
	for _, x := range c.Report.Servers {
		if x.Name == "" || max(len(x.Name), len(x.Zone), len(x.Incarnation)) > MaxName {
			return invalid("view: server %.32q: its name, zone or run is empty or over %d bytes", x.Name, MaxName)
		}
	}
	if n := len(c.Report.LatencyCounts); n != 0 && n != LatencyBuckets || slices.ContainsFunc(c.Report.LatencyCounts, func(n int64) bool { return n < 0 }) {
		return invalid("view: speed has %d counts, or some below 0; %d are wanted", n, LatencyBuckets)
	}
	if max(len(c.Report.Zone), len(c.Report.Version)) > MaxName {
		return invalid("view: zone or version over %d bytes", MaxName)
	}
	r := s.Routers[name]
	if r == nil {
		if limit := f.limits().routers; len(s.Routers) >= limit {
			return Result{Code: CodeLimitReached, Text: fmt.Sprintf("routers: %d at most", limit)}
		}
		r = &Target{ChangedAt: f.Time}
		s.Routers[name] = r
	}
	if r.Session != f.Session { // a new process; what the one before saw is nobody's
		if r.Session != "" && r.SessionOrder > f.SessionOrder {
			return Result{Code: CodeOK, Text: "a newer process of this router speaks for it"}
		}
		s.dropObservationsOf(name)
		r.Session, r.SessionOrder, r.Incarnation, r.AcknowledgedDrains = f.Session, f.SessionOrder, f.Session, 0
		r.Served, r.Failed, r.LatencyCounts = 0, 0, nil
	}
	s.recordRequestCounts(r, name, c.Report, f.Time)
	same := r.Zone == c.Report.Zone && r.Version == c.Report.Version && r.IsReady == c.Report.IsReady && len(c.Report.Servers) == 0
	r.Zone, r.Version, r.IsReady = c.Report.Zone, c.Report.Version, c.Report.IsReady
	s.changedRouters = append(s.changedRouters, r)
	s.serversChanged = s.serversChanged || len(c.Report.Servers) > 0
	for _, x := range c.Report.Servers {
		t := s.Servers[x.Name]
		if t == nil {
			if x.Status == StatusRemoved {
				continue
			}
			if limit := f.limits().servers; len(s.Servers) >= limit {
				return Result{Code: CodeLimitReached, Text: fmt.Sprintf("servers: %d at most", limit)}
			}
			t = &Target{ChangedAt: f.Time, DelistedAt: -1}
			s.Servers[x.Name] = t
		}
		if _, known := t.Observations[name]; !known && s.observationCount >= MaxObservations {
			return Result{Code: CodeLimitReached, Text: fmt.Sprintf("sightings of servers by routers: %d at most", MaxObservations)}
		}
		if x.Status != StatusRemoved {
			t.Zone, t.Incarnation = x.Zone, x.Incarnation
		}
		s.recordObservation(t, name, x.Status)
		t.recordFailing(name, x.Status, f.Time)
	}
	return Result{Code: CodeOK, isUnchanged: same}
}

func (s *State) ack(c Command, f Sender) Result {
	name, ok := routerOf(f)
	r := s.Routers[name]
	if ok && r != nil && r.SessionOrder > f.SessionOrder {
		return Result{Code: CodeOK, Text: "a newer process of this router speaks for it"}
	}
	if !ok || r == nil || r.Session != f.Session {
		return invalid("ack: only a router that has told what it sees acknowledges")
	}
	r.AcknowledgedDrains = max(r.AcknowledgedDrains, min(c.DrainVersion, s.DrainVersion))
	return Result{Code: CodeOK, isUnchanged: true}
}

// dropObservationsOf drops what a router has seen.
func (s *State) dropObservationsOf(name string) {
	s.serversChanged = true
	for _, t := range s.Servers {
		s.dropObservation(t, name)
		delete(t.FailingSince, name)
	}
}

// SessionEnded tells that a session has.
func (s *State) SessionEnded(session, client string, clock time.Duration, token func() uint64) {
	touched := false
	if name, ok := routerOf(Sender{Client: client}); ok {
		if r := s.Routers[name]; r != nil && r.Session == session {
			r.Session, r.IsReady, r.SessionEndedAt = "", false, clock
			s.changedRouters = append(s.changedRouters, r)
			s.dropObservationsOf(name)
			touched = true
		}
	}
	for _, p := range s.Permits {
		if p.Session == session {
			p.Session = "" // what hasn't begun is dropped when all is weighed
			touched = true
		}
	}
	if touched {
		s.Version++
		s.reconcile(clock, token)
	}
}

// Advance lets time pass up to clock.
func (s *State) Advance(clock time.Duration, token func() uint64) {
	if clock >= s.nextReconcileAt {
		s.reconcile(clock, token)
	}
}

func (s *State) targets(k Kind) map[string]*Target {
	if k == KindRouter {
		return s.Routers
	}
	return s.Servers
}

func (s *State) permit(c Command, f Sender) Result {
	t := s.targets(c.Kind)[c.Name]
	switch c.Op {
	case OpRequestPermit:
		if t == nil {
			return invalid("%s/%s: the fleet has none; %s", c.Kind, c.Name, s.knownNames(c.Kind))
		}
		if c.Priority < PriorityRelease || c.Priority > PriorityEmergency {
			return invalid("priority: %d is not from %d to %d", c.Priority, PriorityRelease, PriorityEmergency)
		}
		if c.ValidFor < 0 || c.ValidFor > MaxPermitWait || len(c.Reason) > MaxText {
			return invalid("within: %v is not from 0 to %v, or the reason has over %d bytes", c.ValidFor, MaxPermitWait, MaxText)
		}
		// Who has the name of one that died in the step takes it over, with a token of its own.
		for _, p := range s.Permits {
			if p.Kind == c.Kind && p.Name == c.Name && p.Stage == StageBegun && p.Session == "" && p.Client == f.Client {
				s.removePermits(func(q *Permit) bool { return q == s.permitOfSession(c, f) }) // the wish for it that it has had meanwhile
				p.Session, p.Token, p.WaitReason = f.Session, f.NextToken(), ""
				return Result{Code: CodeOK}
			}
		}
		if p := s.permitOfSession(c, f); p != nil {
			same := p.Priority >= c.Priority
			p.Priority = max(p.Priority, c.Priority)
			return Result{Code: CodeOK, isUnchanged: same}
		}
		if len(s.Permits) >= MaxPermits {
			return Result{Code: CodeLimitReached, Text: fmt.Sprintf("permits: %d at most", MaxPermits)}
		}
		s.LastPermitID++
		p := &Permit{ID: s.LastPermitID, Kind: c.Kind, Name: c.Name, Session: f.Session, Client: f.Client, Priority: c.Priority, Purpose: c.Reason, Stage: StageWaiting}
		if c.ValidFor > 0 {
			p.ExpiresAt = f.Time + c.ValidFor
		}
		s.Permits = append(s.Permits, p)
		return Result{Code: CodeOK}
	case OpClearPermit:
		n := len(s.Permits)
		s.removePermits(func(p *Permit) bool {
			out := p.Kind == c.Kind && p.Name == c.Name && p.Stage == StageBegun
			if out && t != nil {
				t.ChangedAt = f.Time
			}
			return out
		})
		if len(s.Permits) == n {
			return invalid("%s/%s: no permit of it is used", c.Kind, c.Name)
		}
		return Result{Code: CodeOK}
	case OpForgetTarget:
		if t == nil {
			return invalid("%s/%s: the fleet has none", c.Kind, c.Name)
		}
		if t.IsUp || t.Session != "" {
			return invalid("%s/%s: it is there; only what isn't can be forgotten", c.Kind, c.Name)
		}
		if slices.ContainsFunc(s.Permits, func(p *Permit) bool { return p.Kind == c.Kind && p.Name == c.Name && p.Stage == StageBegun }) {
			return invalid("%s/%s: a permit of it is used: clear that first", c.Kind, c.Name)
		}
		if c.Kind == KindServer {
			s.removeServer(c.Name)
		} else {
			delete(s.Routers, c.Name)
		}
		s.removePermits(func(p *Permit) bool { return p.Kind == c.Kind && p.Name == c.Name })
		return Result{Code: CodeOK}
	}
	i := slices.IndexFunc(s.Permits, func(p *Permit) bool {
		return p.Kind == c.Kind && p.Name == c.Name && p.Session == f.Session && (p.Token == c.Token || c.Op == OpCancelPermit || failpoint.Is("permit-token-unchecked"))
	})
	if i < 0 {
		return Result{Code: CodeNotHeld, Text: fmt.Sprintf("no permit of %s/%s with token %d is held by this session", c.Kind, c.Name, c.Token)}
	}
	p := s.Permits[i]
	switch c.Op {
	case OpBeginOutage:
		switch {
		case p.Stage == StageBegun:
			return Result{Code: CodeOK}
		case p.Stage != StageGranted && !failpoint.Is("permit-token-unchecked"):
			return Result{Code: CodeNotHeld, Text: "the permit was taken back: " + p.WaitReason}
		}
		p.Stage, p.BegunAt, p.WaitReason, p.Incarnation = StageBegun, f.Time, "", t.Incarnation
		if p.Kind == KindServer {
			s.DrainVersion++
			p.DrainVersion = s.DrainVersion
		}
	case OpEndOutage:
		if p.Stage != StageBegun {
			return Result{Code: CodeNotHeld, Text: fmt.Sprintf("the permit of %s/%s has not begun: cancel it", c.Kind, c.Name)}
		}
		if t != nil {
			t.ChangedAt = f.Time // it counts as out until it is warm
			// A router that has the session it had before may not have been touched, or be dead and not missed yet: that shows in time.
			if p.Kind == KindRouter && t.Session != "" && t.Incarnation == p.Incarnation {
				t.ChangedAt += max(0, s.Grace-s.slowStart(KindRouter, p.Name))
			}
		}
		s.removePermits(func(q *Permit) bool { return q == p })
	case OpCancelPermit:
		if p.Stage == StageBegun {
			return invalid("the step of %s/%s has begun: give it back", c.Kind, c.Name)
		}
		s.removePermits(func(q *Permit) bool { return q == p })
	}
	return Result{Code: CodeOK}
}

// removePermits takes permits away, and with one that has begun the drain of its server.
func (s *State) removePermits(which func(*Permit) bool) {
	s.Permits = slices.DeleteFunc(s.Permits, func(p *Permit) bool {
		if !which(p) {
			return false
		}
		if p.DrainVersion > 0 {
			s.DrainVersion++
		}
		s.serversChanged = true // a server that only its permit kept may be forgotten
		return true
	})
}

// knownNames names a few of the things that there are.
func (s *State) knownNames(k Kind) string {
	names := slices.Sorted(maps.Keys(s.targets(k)))
	if len(names) == 0 {
		return "no router has told of any yet"
	}
	if len(names) > 5 {
		return fmt.Sprintf("it has %s and %d more", strings.Join(names[:5], ", "), len(names)-5)
	}
	return "it has " + strings.Join(names, ", ")
}

// DrainedServers are the servers to which nothing new is sent, sorted.
func (s *State) DrainedServers() []string {
	out := []string{}
	for _, p := range s.Permits {
		if p.Kind == KindServer && p.Stage == StageBegun {
			out = append(out, p.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// targetID orders things for people.
func targetID(k Kind, name string) string { return string(k) + "/" + name }

// Clone is a copy that shares nothing.
func (s *State) Clone() *State {
	c := *s
	c.changedRouters = nil // each command that touches one weighs it
	c.Budgets, c.Permits = slices.Clone(s.Budgets), make([]*Permit, len(s.Permits))
	for i, p := range s.Permits {
		one := *p
		c.Permits[i] = &one
	}
	copied := func(all map[string]*Target) map[string]*Target {
		to := make(map[string]*Target, len(all))
		for name, t := range all {
			one := *t
			one.Observations, one.LatencyCounts, one.FailingSince = maps.Clone(t.Observations), slices.Clone(t.LatencyCounts), maps.Clone(t.FailingSince)
			if t.Ejection != nil {
				x := *t.Ejection
				x.ReportedBy = slices.Clone(x.ReportedBy)
				one.Ejection = &x
			}
			to[name] = &one
		}
		return to
	}
	c.Release = s.Release.clone()
	c.Routers, c.Servers = copied(s.Routers), copied(s.Servers)
	c.observationsByRouter = make(map[string]*observationCounts, len(s.observationsByRouter))
	for name, n := range s.observationsByRouter {
		one := *n
		c.observationsByRouter[name] = &one
	}
	if s.Halt != nil {
		one := *s.Halt
		c.Halt = &one
	}
	return &c
}

// RebuildDerived makes a state whole that was read from a snapshot.
func (s *State) RebuildDerived() {
	s.nextReconcileAt, s.serversChanged = 0, true
	for _, r := range s.Routers {
		s.changedRouters = append(s.changedRouters, r)
	}
	s.recountObservations()
}

// comparePermits is that in which permits are weighed.
func comparePermits(a, b *Permit) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.ID, b.ID))
}
