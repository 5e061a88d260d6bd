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
	MaxBudgets = 64
	MaxRouters = 8192 // 5,100 and over half as many again
	MaxServers = 4096 // 2,500 and over half as many again
	MaxPermits = 256  // that wait or are given
	MaxSeen    = 512  // servers in one report
	// MaxSightings of a server by a router: 13 regions of 392 routers that see 192 servers each, twice. All routers that see all
	// servers would be six times as many.
	MaxSightings = 2 << 20
	MaxName      = 128 // bytes
	MaxText      = 256 // bytes of a purpose or reason
	MaxWarm      = time.Hour
	MaxWait      = 24 * time.Hour // of a deadline
	MinGrace     = time.Second

	ForgetAfter = 10 // times the grace: then a server that is on no list is forgotten
)

// Kind says what a thing is.
type Kind string

// The kinds.
const (
	Router Kind = "router"
	Server Kind = "server" // a cache server
)

// RouterClient begins the names of the routers' sessions.
const RouterClient = "router/"

// Priorities. One that is higher goes first; Emergency also passes a halt.
const (
	Release   = 0
	Normal    = 5
	Emergency = 9
)

// Op says what a command does.
type Op string

// The commands.
const (
	Set    Op = "budgets" // Budgets, Grace and Expect are in force from here on
	See    Op = "see"     // a router's View; only from the session of a router
	Ack    Op = "ack"     // a router sends nothing more to all that was drained at the version Drains; likewise
	Ask    Op = "ask"     // for the permit to take Kind/Name out; repeated it tells how it stands
	Begin  Op = "begin"   // the step, by the permit with Token: from here on the thing is out
	Back   Op = "back"    // the thing is back in service, the permit with Token is given back
	Cancel Op = "cancel"  // a permit that hasn't begun
	Clear  Op = "clear"   // an operator's word: whoever had the permit of Kind/Name, nothing happens by it any more
	Forget Op = "forget"  // an operator's word: Kind/Name, which is not in, belongs to the fleet no more
	Halt   Op = "halt"    // nothing new goes out, for the reason Why
	Resume Op = "resume"  // the halt is over

	Start   Op = "release"  // of the Plan
	WayBack Op = "way-back" // the release goes back to the version before
	End     Op = "end"      // the release ends as it stands
	Failed  Op = "failed"   // router Name can't be brought to the goal, for the reason Why
)

// Command is one of them, from a session.
type Command struct {
	Op       Op            `json:"op"`
	Budgets  []Budget      `json:"budgets,omitempty"`
	Grace    time.Duration `json:"grace,omitempty"`
	Expect   int           `json:"expect,omitempty"`
	Quorum   int           `json:"quorum,omitempty"`
	Busy     float64       `json:"busy,omitempty"`
	View     *View         `json:"view,omitempty"`
	Drains   uint64        `json:"drains,omitempty"`
	Kind     Kind          `json:"kind,omitempty"`
	Name     string        `json:"name,omitempty"`
	Token    uint64        `json:"token,omitempty"`
	Priority int           `json:"priority,omitempty"`
	Within   time.Duration `json:"within,omitempty"` // Ask: the permit is not wanted any more after it; 0 = ever
	Why      string        `json:"why,omitempty"`
	Plan     *Plan         `json:"plan,omitempty"`
}

// View is what a router tells of itself and of the cache servers. Servers has what changed since its last one.
type View struct {
	Zone    string `json:"zone,omitempty"`
	Version string `json:"version,omitempty"`
	Ready   bool   `json:"ready"`
	Servers []Seen `json:"servers,omitempty"`
	Good    int64  `json:"good,omitempty"` // requests served since the process began,
	Bad     int64  `json:"bad,omitempty"`  // and refused or failed; told while a release is under way
	// Of those served, how many took how long (SpeedBucket); told where Drains.Speed wants it.
	Speed []int64 `json:"speed,omitempty"`
}

// Sight is how a router sees a server.
type Sight string

// The sights.
const (
	Up      Sight = "up"
	Bad     Sight = "bad"     // it doesn't answer, or answers wrongly
	Leaving Sight = "leaving" // discovery's list says so
	Gone    Sight = "gone"    // from discovery's list
)

// Seen is one server as a router sees it.
type Seen struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
	Run  string `json:"run,omitempty"` // tells one start of its process from another, by discovery's list
	Is   Sight  `json:"is"`
}

// Budget bounds how many things of a kind are out at once, whatever the reason.
type Budget struct {
	Name  string        `json:"name"`
	Kind  Kind          `json:"kind"`
	Match string        `json:"match,omitempty"` // names, as path.Match has it; "" = all
	Per   string        `json:"per,omitempty"`   // "zone": it holds for each zone by itself; "" = for the fleet
	Most  int           `json:"most,omitempty"`
	Share float64       `json:"share,omitempty"` // of those that there are, rounded down; where Most is 0
	Warm  time.Duration `json:"warm,omitempty"`  // one that is back counts as out for so long
}

// Check tells what is wrong with a budget.
func (b *Budget) Check() error {
	switch {
	case b.Name == "" || len(b.Name) > MaxName:
		return fmt.Errorf("name: %q is not of 1 to %d bytes", b.Name, MaxName)
	case b.Kind != Router && b.Kind != Server:
		return fmt.Errorf("kind: %q is none of router, server", b.Kind)
	case b.Per != "" && b.Per != "zone":
		return fmt.Errorf("per: %q is not zone", b.Per)
	case b.Most < 0 || b.Most > MaxRouters:
		return fmt.Errorf("most: %d is not from 1 to %d", b.Most, MaxRouters)
	case b.Most > 0 && b.Share != 0:
		return fmt.Errorf("share: most is given too, and one of them holds")
	case b.Most == 0 && !(b.Share > 0 && b.Share < 1):
		return fmt.Errorf("most: 0, and share, %v, is not between 0 and 1: it would never let anything out", b.Share)
	case b.Warm < 0 || b.Warm > MaxWarm:
		return fmt.Errorf("warm: %v is not from 0 to %v", b.Warm, MaxWarm)
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
	if b.Most > 0 {
		return b.Most
	}
	return int(math.Floor(b.Share*float64(n) + 1e-9))
}

// Thing is a router or cache server that belongs to the fleet.
type Thing struct {
	Zone    string        `json:"zone,omitempty"`
	Version string        `json:"version,omitempty"` // a router's program
	Up      bool          `json:"up"`
	Since   time.Duration `json:"since"` // by the agreed clock, when Up became what it is or a permit was given back
	Run     string        `json:"run,omitempty"`

	// A router's.
	Session string        `json:"session,omitempty"` // "" = it has none
	Opened  uint64        `json:"opened,omitempty"`  // the order in which sessions came
	Ready   bool          `json:"ready,omitempty"`
	Ended   time.Duration `json:"ended,omitempty"` // when its last session did
	Acked   uint64        `json:"acked,omitempty"` // the newest version of the drains that it acts by
	Good    int64         `json:"good,omitempty"`  // as its View told last
	Bad     int64         `json:"bad,omitempty"`
	Speed   []int64       `json:"speed,omitempty"`

	// A server's.
	Saw     map[string]Sight         `json:"saw,omitempty"`     // by router, as long as its session lasts; changed by State.sight alone
	Listed  time.Duration            `json:"listed,omitempty"`  // since when discovery's list takes it out, by a router; -1 = it doesn't
	Found   map[string]time.Duration `json:"found,omitempty"`   // by router: since when it finds the server bad by itself
	Suspect *Suspicion               `json:"suspect,omitempty"` // the newest

	counts sightCounts // of Saw
}

// Stage is how far a permit is.
type Stage string

// The stages.
const (
	Waiting Stage = "waiting"
	Granted Stage = "granted" // until Begin it can be taken back: a failure elsewhere may need what it would use up
	Begun   Stage = "begun"
)

// Permit is one to take a thing out, or the wish for it.
type Permit struct {
	ID       uint64        `json:"id"`
	Token    uint64        `json:"token,omitempty"` // given with Granted; the larger, the later
	Kind     Kind          `json:"kind"`
	Name     string        `json:"name"`
	Session  string        `json:"session"` // "" = the holder is gone, and the permit stays used
	Client   string        `json:"client"`
	Priority int           `json:"priority"`
	Why      string        `json:"why,omitempty"`
	Stage    Stage         `json:"stage"`
	Until    time.Duration `json:"until,omitempty"` // it is not wanted after this
	Began    time.Duration `json:"began,omitempty"`
	Run      string        `json:"run,omitempty"`     // the thing's, when the step began
	Drain    uint64        `json:"drain,omitempty"`   // the version of the drains that has it
	Drained  bool          `json:"drained,omitempty"` // no router sends to it any more
	Waits    string        `json:"waits,omitempty"`   // why it doesn't go on, in one sentence
}

// Stop is a halt of all that is new.
type Stop struct {
	By  string        `json:"by"`
	Why string        `json:"why"`
	At  time.Duration `json:"at"`
}

// State is the agreed state of it.
type State struct {
	Version uint64            `json:"version"`          // grows with each change that anyone may want to know
	Drains  uint64            `json:"drains"`           // the version of the set of drained servers
	Grace   time.Duration     `json:"grace"`            // longer than routers' sessions last; one without a session has heard discovery's list by then
	Expect  int               `json:"expect,omitempty"` // so many routers must take part before a server is drained; 0 = nobody says
	Quorum  int               `json:"quorum,omitempty"` // so many routers must find a server bad for all to leave it out; 0 = each for itself
	Busy    float64           `json:"busy,omitempty"`   // where the fleet refuses or fails more than this share, nothing new goes out; 0 = whatever it does
	Load    Load              `json:"load,omitzero"`
	Budgets []Budget          `json:"budgets,omitempty"`
	Routers map[string]*Thing `json:"routers"`
	Servers map[string]*Thing `json:"servers"`
	Permits []*Permit         `json:"permits,omitempty"` // by ID
	Halted  *Stop             `json:"halted,omitempty"`
	Release *Course           `json:"release,omitempty"`
	IDs     uint64            `json:"ids"`

	next   time.Duration // nothing changes by time alone before this
	dirty  bool          // what is seen of servers may have changed since it was weighed,
	forget time.Duration // or changes by time from here on

	sightings int                     // of all servers
	touched   []*Thing                // routers that may have become up or down in this command
	sees      map[string]*sightCounts // by router, of all servers
}

// DefaultGrace is that of a new state.
const DefaultGrace = 15 * time.Second

// New returns an empty state.
func New() *State {
	return &State{Grace: DefaultGrace, Routers: map[string]*Thing{}, Servers: map[string]*Thing{}, next: math.MaxInt64, forget: math.MaxInt64,
		sees: map[string]*sightCounts{}}
}

// Code says how a command ended.
type Code string

// The ends.
const (
	OK      Code = "ok"
	NotHeld Code = "not-held"
	Full    Code = "full"
	Refused Code = "bad"
)

// Answer is what a command gave.
type Answer struct {
	Code    Code
	Text    string
	Token   uint64
	Stage   Stage // of the permit
	Drained bool

	same bool // nothing that others may want to know has changed, unless settling finds it
}

// From is who sends a command, and when.
type From struct {
	Clock   time.Duration // agreed
	Session string
	Client  string
	Opened  uint64        // the order in which sessions came
	Token   func() uint64 // a new one

	// EarlierBounds tells that a coordinator may have an older program, whose tables have lower bounds.
	EarlierBounds bool
}

func bad(form string, v ...any) Answer { return Answer{Code: Refused, Text: fmt.Sprintf(form, v...)} }

// Apply carries out a command.
func (s *State) Apply(c Command, f From) Answer {
	var a Answer
	switch c.Op {
	case Set:
		a = s.set(c)
	case See:
		a = s.see(c, f)
	case Ack:
		a = s.ack(c, f)
	case Halt:
		if c.Why == "" || len(c.Why) > MaxText {
			return bad("why: %d bytes, 1 to %d are wanted", len(c.Why), MaxText)
		}
		if s.Halted == nil { // the first reason is the one that counts
			s.Halted = &Stop{f.Client, c.Why, f.Clock}
		}
		a = Answer{Code: OK}
	case Resume:
		s.Halted = nil
		s.again(f.Clock)
		a = Answer{Code: OK}
	case Start:
		a = s.start(c, f)
	case WayBack, End, Failed:
		a = s.steer(c, f)
	case Ask, Begin, Back, Cancel, Clear, Forget:
		if c.Kind != Router && c.Kind != Server {
			return bad("kind: %q is none of router, server", c.Kind)
		}
		if c.Name == "" || len(c.Name) > MaxName {
			return bad("name: %q is not of 1 to %d bytes", c.Name, MaxName)
		}
		a = s.permit(c, f)
	default:
		return bad("op: %q is none", c.Op)
	}
	if a.Code == OK && !a.same { // who only looks wakes nobody
		s.Version++
	}
	s.settle(f.Clock, f.Token)
	if p := s.own(c, f); p != nil && a.Code == OK { // as it stands after all has been weighed
		a.Token, a.Stage, a.Text, a.Drained = p.Token, p.Stage, p.Waits, p.Drained
	}
	return a
}

// own is the permit of a session for a thing.
func (s *State) own(c Command, f From) *Permit {
	for _, p := range s.Permits {
		if p.Kind == c.Kind && p.Name == c.Name && p.Session == f.Session && f.Session != "" {
			return p
		}
	}
	return nil
}

func (s *State) set(c Command) Answer {
	if len(c.Budgets) > MaxBudgets {
		return Answer{Code: Full, Text: fmt.Sprintf("budgets: %d, %d at most", len(c.Budgets), MaxBudgets)}
	}
	names := map[string]bool{}
	for _, b := range c.Budgets {
		if err := b.Check(); err != nil {
			return bad("budget %q: %v", b.Name, err)
		}
		if names[b.Name] {
			return bad("budget %q: there are two", b.Name)
		}
		names[b.Name] = true
	}
	if c.Grace < MinGrace || c.Grace > MaxWarm {
		return bad("grace: %v is not from %v to %v", c.Grace, MinGrace, MaxWarm)
	}
	if c.Expect < 0 || c.Expect > MaxRouters {
		return bad("routers: %d is not from 0 to %d", c.Expect, MaxRouters)
	}
	if c.Quorum != 0 && (c.Quorum < LeastQuorum || c.Quorum > MostQuorum) {
		return bad("quorum: %d is neither 0 nor from %d to %d", c.Quorum, LeastQuorum, MostQuorum)
	}
	if !(c.Busy >= 0 && c.Busy < 1) {
		return bad("busy: %v is not between 0 and 1", c.Busy)
	}
	s.dirty = true // the grace may differ
	if s.Quorum != c.Quorum || s.Busy != c.Busy {
		s.Drains++ // what routers tell, and how soon, may change
	}
	s.Busy = c.Busy
	s.Budgets, s.Grace, s.Expect, s.Quorum = slices.Clone(c.Budgets), c.Grace, c.Expect, c.Quorum
	return Answer{Code: OK}
}

// router names the router whose session it is.
func router(f From) (name string, ok bool) {
	name, ok = strings.CutPrefix(f.Client, RouterClient)
	return name, ok && name != ""
}

func (s *State) see(c Command, f From) Answer {
	name, ok := router(f)
	if !ok || c.View == nil {
		return bad("see: only a router tells what it sees, in its view")
	}
	if len(c.View.Servers) > MaxSeen {
		return bad("view: %d servers, %d at most at once", len(c.View.Servers), MaxSeen)
	}
	for _, x := range c.View.Servers {
		if x.Name == "" || max(len(x.Name), len(x.Zone), len(x.Run)) > MaxName {
			return bad("view: server %.32q: its name, zone or run is empty or over %d bytes", x.Name, MaxName)
		}
	}
	if n := len(c.View.Speed); n != 0 && n != SpeedBuckets || slices.ContainsFunc(c.View.Speed, func(n int64) bool { return n < 0 }) {
		return bad("view: speed has %d counts, or some below 0; %d are wanted", n, SpeedBuckets)
	}
	if max(len(c.View.Zone), len(c.View.Version)) > MaxName {
		return bad("view: zone or version over %d bytes", MaxName)
	}
	r := s.Routers[name]
	if r == nil {
		if limit := f.bounds().routers; len(s.Routers) >= limit {
			return Answer{Code: Full, Text: fmt.Sprintf("routers: %d at most", limit)}
		}
		r = &Thing{Since: f.Clock}
		s.Routers[name] = r
	}
	if r.Session != f.Session { // a new process; what the one before saw is nobody's
		if r.Session != "" && r.Opened > f.Opened {
			return Answer{Code: OK, Text: "a newer process of this router speaks for it"}
		}
		s.blind(name)
		r.Session, r.Opened, r.Run, r.Acked = f.Session, f.Opened, f.Session, 0
		r.Good, r.Bad, r.Speed = 0, 0, nil
	}
	s.figures(r, name, c.View, f.Clock)
	same := r.Zone == c.View.Zone && r.Version == c.View.Version && r.Ready == c.View.Ready && len(c.View.Servers) == 0
	r.Zone, r.Version, r.Ready = c.View.Zone, c.View.Version, c.View.Ready
	s.touched = append(s.touched, r)
	s.dirty = s.dirty || len(c.View.Servers) > 0
	for _, x := range c.View.Servers {
		t := s.Servers[x.Name]
		if t == nil {
			if x.Is == Gone {
				continue
			}
			if limit := f.bounds().servers; len(s.Servers) >= limit {
				return Answer{Code: Full, Text: fmt.Sprintf("servers: %d at most", limit)}
			}
			t = &Thing{Since: f.Clock, Listed: -1}
			s.Servers[x.Name] = t
		}
		if _, known := t.Saw[name]; !known && s.sightings >= MaxSightings {
			return Answer{Code: Full, Text: fmt.Sprintf("sightings of servers by routers: %d at most", MaxSightings)}
		}
		if x.Is != Gone {
			t.Zone, t.Run = x.Zone, x.Run
		}
		s.sight(t, name, x.Is)
		t.found(name, x.Is, f.Clock)
	}
	return Answer{Code: OK, same: same}
}

func (s *State) ack(c Command, f From) Answer {
	name, ok := router(f)
	r := s.Routers[name]
	if ok && r != nil && r.Opened > f.Opened {
		return Answer{Code: OK, Text: "a newer process of this router speaks for it"}
	}
	if !ok || r == nil || r.Session != f.Session {
		return bad("ack: only a router that has told what it sees acknowledges")
	}
	r.Acked = max(r.Acked, min(c.Drains, s.Drains))
	return Answer{Code: OK, same: true}
}

// blind drops what a router has seen.
func (s *State) blind(name string) {
	s.dirty = true
	for _, t := range s.Servers {
		s.unsight(t, name)
		delete(t.Found, name)
	}
}

// Ended tells that a session has.
func (s *State) Ended(session, client string, clock time.Duration, token func() uint64) {
	touched := false
	if name, ok := router(From{Client: client}); ok {
		if r := s.Routers[name]; r != nil && r.Session == session {
			r.Session, r.Ready, r.Ended = "", false, clock
			s.touched = append(s.touched, r)
			s.blind(name)
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
		s.settle(clock, token)
	}
}

// Advance lets time pass up to clock.
func (s *State) Advance(clock time.Duration, token func() uint64) {
	if clock >= s.next {
		s.settle(clock, token)
	}
}

func (s *State) things(k Kind) map[string]*Thing {
	if k == Router {
		return s.Routers
	}
	return s.Servers
}

func (s *State) permit(c Command, f From) Answer {
	t := s.things(c.Kind)[c.Name]
	switch c.Op {
	case Ask:
		if t == nil {
			return bad("%s/%s: the fleet has none; %s", c.Kind, c.Name, s.known(c.Kind))
		}
		if c.Priority < Release || c.Priority > Emergency {
			return bad("priority: %d is not from %d to %d", c.Priority, Release, Emergency)
		}
		if c.Within < 0 || c.Within > MaxWait || len(c.Why) > MaxText {
			return bad("within: %v is not from 0 to %v, or the reason has over %d bytes", c.Within, MaxWait, MaxText)
		}
		// Who has the name of one that died in the step takes it over, with a token of its own.
		for _, p := range s.Permits {
			if p.Kind == c.Kind && p.Name == c.Name && p.Stage == Begun && p.Session == "" && p.Client == f.Client {
				s.drop(func(q *Permit) bool { return q == s.own(c, f) }) // the wish for it that it has had meanwhile
				p.Session, p.Token, p.Waits = f.Session, f.Token(), ""
				return Answer{Code: OK}
			}
		}
		if p := s.own(c, f); p != nil {
			same := p.Priority >= c.Priority
			p.Priority = max(p.Priority, c.Priority)
			return Answer{Code: OK, same: same}
		}
		if len(s.Permits) >= MaxPermits {
			return Answer{Code: Full, Text: fmt.Sprintf("permits: %d at most", MaxPermits)}
		}
		s.IDs++
		p := &Permit{ID: s.IDs, Kind: c.Kind, Name: c.Name, Session: f.Session, Client: f.Client, Priority: c.Priority, Why: c.Why, Stage: Waiting}
		if c.Within > 0 {
			p.Until = f.Clock + c.Within
		}
		s.Permits = append(s.Permits, p)
		return Answer{Code: OK}
	case Clear:
		n := len(s.Permits)
		s.drop(func(p *Permit) bool {
			out := p.Kind == c.Kind && p.Name == c.Name && p.Stage == Begun
			if out && t != nil {
				t.Since = f.Clock
			}
			return out
		})
		if len(s.Permits) == n {
			return bad("%s/%s: no permit of it is used", c.Kind, c.Name)
		}
		return Answer{Code: OK}
	case Forget:
		if t == nil {
			return bad("%s/%s: the fleet has none", c.Kind, c.Name)
		}
		if t.Up || t.Session != "" {
			return bad("%s/%s: it is there; only what isn't can be forgotten", c.Kind, c.Name)
		}
		if slices.ContainsFunc(s.Permits, func(p *Permit) bool { return p.Kind == c.Kind && p.Name == c.Name && p.Stage == Begun }) {
			return bad("%s/%s: a permit of it is used: clear that first", c.Kind, c.Name)
		}
		if c.Kind == Server {
			s.forgetServer(c.Name)
		} else {
			delete(s.Routers, c.Name)
		}
		s.drop(func(p *Permit) bool { return p.Kind == c.Kind && p.Name == c.Name })
		return Answer{Code: OK}
	}
	i := slices.IndexFunc(s.Permits, func(p *Permit) bool {
		return p.Kind == c.Kind && p.Name == c.Name && p.Session == f.Session && (p.Token == c.Token || c.Op == Cancel || failpoint.Is("permit-token-unchecked"))
	})
	if i < 0 {
		return Answer{Code: NotHeld, Text: fmt.Sprintf("no permit of %s/%s with token %d is held by this session", c.Kind, c.Name, c.Token)}
	}
	p := s.Permits[i]
	switch c.Op {
	case Begin:
		switch {
		case p.Stage == Begun:
			return Answer{Code: OK}
		case p.Stage != Granted && !failpoint.Is("permit-token-unchecked"):
			return Answer{Code: NotHeld, Text: "the permit was taken back: " + p.Waits}
		}
		p.Stage, p.Began, p.Waits, p.Run = Begun, f.Clock, "", t.Run
		if p.Kind == Server {
			s.Drains++
			p.Drain = s.Drains
		}
	case Back:
		if p.Stage != Begun {
			return Answer{Code: NotHeld, Text: fmt.Sprintf("the permit of %s/%s has not begun: cancel it", c.Kind, c.Name)}
		}
		if t != nil {
			t.Since = f.Clock // it counts as out until it is warm
			// A router that has the session it had before may not have been touched, or be dead and not missed yet: that shows in time.
			if p.Kind == Router && t.Session != "" && t.Run == p.Run {
				t.Since += max(0, s.Grace-s.warm(Router, p.Name))
			}
		}
		s.drop(func(q *Permit) bool { return q == p })
	case Cancel:
		if p.Stage == Begun {
			return bad("the step of %s/%s has begun: give it back", c.Kind, c.Name)
		}
		s.drop(func(q *Permit) bool { return q == p })
	}
	return Answer{Code: OK}
}

// drop takes permits away, and with one that has begun the drain of its server.
func (s *State) drop(which func(*Permit) bool) {
	s.Permits = slices.DeleteFunc(s.Permits, func(p *Permit) bool {
		if !which(p) {
			return false
		}
		if p.Drain > 0 {
			s.Drains++
		}
		s.dirty = true // a server that only its permit kept may be forgotten
		return true
	})
}

// known names a few of the things that there are.
func (s *State) known(k Kind) string {
	names := slices.Sorted(maps.Keys(s.things(k)))
	if len(names) == 0 {
		return "no router has told of any yet"
	}
	if len(names) > 5 {
		return fmt.Sprintf("it has %s and %d more", strings.Join(names[:5], ", "), len(names)-5)
	}
	return "it has " + strings.Join(names, ", ")
}

// Drained are the servers to which nothing new is sent, sorted.
func (s *State) Drained() []string {
	out := []string{}
	for _, p := range s.Permits {
		if p.Kind == Server && p.Stage == Begun {
			out = append(out, p.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// key orders things for people.
func key(k Kind, name string) string { return string(k) + "/" + name }

// Clone is a copy that shares nothing.
func (s *State) Clone() *State {
	c := *s
	c.touched = nil // each command that touches one weighs it
	c.Budgets, c.Permits = slices.Clone(s.Budgets), make([]*Permit, len(s.Permits))
	for i, p := range s.Permits {
		one := *p
		c.Permits[i] = &one
	}
	copied := func(all map[string]*Thing) map[string]*Thing {
		to := make(map[string]*Thing, len(all))
		for name, t := range all {
			one := *t
			one.Saw, one.Speed, one.Found = maps.Clone(t.Saw), slices.Clone(t.Speed), maps.Clone(t.Found)
			if t.Suspect != nil {
				x := *t.Suspect
				x.By = slices.Clone(x.By)
				one.Suspect = &x
			}
			to[name] = &one
		}
		return to
	}
	c.Release = s.Release.clone()
	c.Routers, c.Servers = copied(s.Routers), copied(s.Servers)
	c.sees = make(map[string]*sightCounts, len(s.sees))
	for name, n := range s.sees {
		one := *n
		c.sees[name] = &one
	}
	if s.Halted != nil {
		one := *s.Halted
		c.Halted = &one
	}
	return &c
}

// Restored makes a state whole that was read from a snapshot.
func (s *State) Restored() {
	s.next, s.dirty = 0, true
	for _, r := range s.Routers {
		s.touched = append(s.touched, r)
	}
	s.recount()
}

// order is that in which permits are weighed.
func order(a, b *Permit) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.ID, b.ID))
}
