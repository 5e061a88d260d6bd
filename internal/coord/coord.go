// Package coord is what the coordinators agree on: sessions, leases and their tokens. It is a pure machine: a command changes
// the state and gives an answer, by the state and the command alone. It has no I/O and no clock; time enters with each command,
// as what has passed at the leader since the command before. docs/agreement-design.md has the proof that rests on it.
package coord

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/failpoint"
	"dockhinge.example/dockhinge/internal/rollout"
)

// The bounds of all tables.
const (
	MaxSessions   = 8192 // 5,100 routers and over half as many again, for tools and for processes that were replaced
	MaxLeases     = 8192
	MaxRemembered = 32              // answers kept for a session's repeated commands; a client has at most so many under way
	MaxName       = 128             // bytes of a name: session, client or lease
	MaxText       = 256             // bytes of a purpose
	MaxRecord     = 4096            // bytes of one lease's record
	MaxRecords    = 8 << 20         // bytes of all records
	MinTTL        = time.Second     // of sessions and leases
	MaxTTL        = 5 * time.Minute // likewise
	MaxRate       = 0.1             // the largest bound on clock rate that may be set
	DefaultRate   = 0.01
)

// Op says what a command does.
type Op string

// The commands. All but Tick, Configure and Raise come from a session.
const (
	Tick      Op = "tick"      // time has passed
	Configure Op = "configure" // Rate is the bound on the rate of all clocks
	Upgrade   Op = "upgrade"   // commands of Version are understood by all from here on
	Raise     Op = "raise"     // all tokens from here on lie above Token: after a majority was lost for good
	Open      Op = "open"      // a session: Session, Client, TTL
	Keep      Op = "keep"      // the session and all its leases
	Close     Op = "close"     // the session; its leases are free
	Acquire   Op = "acquire"   // Lease for TTL, with Purpose; its holder gets the same token again
	Release   Op = "release"   // Lease, held with Token
	HandOver  Op = "handover"  // Lease, held with Token, to the client To
	Write     Op = "write"     // Record of Lease, held with Token: an act that the agreed state itself checks
	Roll      Op = "roll"      // a command of internal/rollout, from version 2 on
	Put       Op = "put"       // a document of the agreed configuration, from version 4 on
)

// Command is one entry of the agreed log. Durations are in nanoseconds.
type Command struct {
	V       int           `json:"v"`
	Op      Op            `json:"op"`
	Term    uint64        `json:"term,omitempty"`    // of the leader that measured Advance
	Advance time.Duration `json:"advance,omitempty"` // passed on its clock since its command before
	Session string        `json:"session,omitempty"`
	Seq     uint64        `json:"seq,omitempty"`   // of the session's commands but Open, Keep and Close, from 1
	Acked   uint64        `json:"acked,omitempty"` // all answers up to here have come
	Client  string        `json:"client,omitempty"`
	Lease   string        `json:"lease,omitempty"`
	Purpose string        `json:"purpose,omitempty"`
	To      string        `json:"to,omitempty"`
	TTL     time.Duration `json:"ttl,omitempty"`
	Token   uint64        `json:"token,omitempty"`
	Rate    float64       `json:"rate,omitempty"`
	Version int           `json:"version,omitempty"`
	Record  []byte        `json:"record,omitempty"`

	Roll     *rollout.Command `json:"roll,omitempty"`
	Document *DocumentPut     `json:"document,omitempty"`
}

// Code says how a command ended.
type Code string

// The ends.
const (
	OK        Code = "ok"
	Held      Code = "held"       // another session holds the lease: Holder, Token, Wait
	NotHeld   Code = "not-held"   // the session doesn't hold the lease with this token
	NoSession Code = "no-session" // it has ended, or never was
	NoClient  Code = "no-client"  // the successor has no session
	Full      Code = "full"       // a table has reached its bound, which Text names
	Bad       Code = "bad"        // the command is impossible: Text says why
	Old       Code = "old"        // a repeated command whose answer was forgotten
	Conflict  Code = "conflict"   // the document's revision, Revision, isn't the one that the command expects
	Newer     Code = "newer"      // a command of a version that this program doesn't know: it must not go on
)

// Answer is what a command gave.
type Answer struct {
	Code   Code          `json:"code"`
	Text   string        `json:"text,omitempty"`
	Token  uint64        `json:"token,omitempty"`
	Holder string        `json:"holder,omitempty"` // the client's name
	Wait   time.Duration `json:"wait,omitempty"`   // Held: until it is free at the latest, unless it is kept

	// RetryAfter, with Full, is when to come back. The coordinator that answers sets it; it is no part of the agreed state.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	// Of a permit (Roll); Text tells why it waits.
	Stage   rollout.Stage `json:"stage,omitempty"`
	Drained bool          `json:"drained,omitempty"`

	Revision uint64 `json:"revision,omitempty"` // of a document (Put)
}

// Error is the answer as an error; nil where it is OK.
func (a Answer) Error() string {
	text := fmt.Sprintf("%s: %s", a.Code, a.Text)
	if a.RetryAfter > 0 {
		text += ", retry after " + a.RetryAfter.Round(time.Millisecond).String()
	}
	return text
}

// Session is one client's.
type Session struct {
	Client string            `json:"client"`
	TTL    time.Duration     `json:"ttl"`
	Kept   time.Duration     `json:"kept"`   // by the state's clock
	Opened uint64            `json:"opened"` // how many commands had come
	Top    uint64            `json:"top"`    // the highest command carried out
	Acked  uint64            `json:"acked"`
	Said   map[uint64]Answer `json:"said,omitempty"`
	Leases map[string]bool   `json:"leases,omitempty"`
}

// Lease is one that is held.
type Lease struct {
	Session string        `json:"session"`
	Token   uint64        `json:"token"`
	TTL     time.Duration `json:"ttl"`
	Purpose string        `json:"purpose,omitempty"`
	Record  []byte        `json:"record,omitempty"`
	Written time.Duration `json:"written,omitempty"` // by the state's clock, when Record was
	Asked   uint64        `json:"asked"`             // the number of the holder's newest Acquire
}

// State is all that is agreed on.
type State struct {
	V        int                 `json:"v"`     // of the commands that all coordinators understand: the oldest program's until Upgrade
	Rate     float64             `json:"rate"`  // bound on the rate of all clocks, of holders and coordinators
	Clock    time.Duration       `json:"clock"` // what leaders have measured, added up; never more than has really passed (by Rate)
	Applied  uint64              `json:"applied"`
	Token    uint64              `json:"token"` // the newest given
	Sessions map[string]*Session `json:"sessions"`
	Leases   map[string]*Lease   `json:"leases"`
	Rollout  *rollout.State      `json:"rollout,omitempty"` // nil until the first command of it
	Changes  *watchlog.Log       `json:"changes,omitzero"`  // of the agreed configuration

	bytes   int           // of all records
	docs    int           // bytes of all documents
	next    time.Duration // no session or lease ends before this
	changed []string      // leases that changed hands or became free in the last command
}

// New returns an empty state.
func New() *State {
	return &State{V: 1, Rate: DefaultRate, Sessions: map[string]*Session{}, Leases: map[string]*Lease{}, Changes: newChanges(), next: math.MaxInt64}
}

// Wait is how long coordinators wait, on their clock, before they take back what was given for ttl: on the holder's clock,
// which may be slow by the rate while theirs is fast by it, ttl has passed by then.
func (s *State) Wait(ttl time.Duration) time.Duration {
	if failpoint.Is("rate-ignored") {
		return ttl
	}
	return time.Duration(math.Ceil(float64(ttl)*(1+s.Rate)/(1-s.Rate))) + 1
}

// Changed names the leases that changed hands, became free or got a record in the last command, sorted.
func (s *State) Changed() []string { return s.changed }

// Apply carries out a command of the log, which stands there under the term, and answers it.
func (s *State) Apply(c Command, term uint64) Answer {
	s.changed = s.changed[:0]
	if c.V > Version || c.Op == Upgrade && c.Version > Version {
		return Answer{Code: Newer, Text: fmt.Sprintf("command of version %d, and this program knows %d", max(c.V, c.Version), Version)}
	}
	s.Applied++
	// A leader that was replaced after it had measured must not count a time that another has counted.
	if c.Term == term && c.Advance > 0 {
		s.Clock += c.Advance
	}
	s.expire()
	if s.Rollout != nil {
		s.Rollout.Advance(s.Clock, s.newToken)
	}
	a := s.apply(c)
	slices.Sort(s.changed)
	s.changed = slices.Compact(s.changed)
	return a
}

func bad(form string, v ...any) Answer { return Answer{Code: Bad, Text: fmt.Sprintf(form, v...)} }

func named(field, v string) string {
	switch {
	case v == "":
		return field + ": empty"
	case len(v) > MaxName:
		return fmt.Sprintf("%s: %d bytes, at most %d", field, len(v), MaxName)
	}
	return ""
}

func (s *State) apply(c Command) Answer {
	switch c.Op {
	case Tick:
		return Answer{Code: OK}
	case Configure:
		if !(c.Rate >= 0 && c.Rate <= MaxRate) {
			return bad("rate: %v is not between 0 and %v", c.Rate, MaxRate)
		}
		s.Rate, s.next = c.Rate, 0
		return Answer{Code: OK}
	case Upgrade:
		if c.Version < s.V || c.Version > Version {
			return bad("version: %d is not from %d, which is in force, to %d", c.Version, s.V, Version)
		}
		s.V = c.Version
		return Answer{Code: OK}
	case Raise:
		s.Token = max(s.Token, c.Token)
		s.raiseRevision()
		return Answer{Code: OK, Token: s.Token}
	case Open:
		return s.open(c)
	}
	if text := named("session", c.Session); text != "" {
		return bad("%s", text)
	}
	se := s.Sessions[c.Session]
	if se == nil {
		return Answer{Code: NoSession, Text: "session " + c.Session + " has ended"}
	}
	se.Kept = s.Clock
	switch c.Op {
	case Keep:
		return Answer{Code: OK}
	case Close:
		s.end(c.Session)
		return Answer{Code: OK}
	}
	// A command that may be repeated, as its answer was lost: what it was told before is told again.
	se.Acked = max(se.Acked, min(c.Acked, se.Top))
	maps.DeleteFunc(se.Said, func(q uint64, _ Answer) bool { return q <= se.Acked })
	if !failpoint.Is("command-twice") {
		if a, ok := se.Said[c.Seq]; ok {
			return a
		}
		if c.Seq <= se.Acked {
			return Answer{Code: Old, Text: fmt.Sprintf("command %d was answered, and the answer has come", c.Seq)}
		}
		if len(se.Said) >= MaxRemembered || c.Seq > se.Acked+MaxRemembered {
			return Answer{Code: Full, Text: fmt.Sprintf("commands of a session under way: %d at most", MaxRemembered)}
		}
	}
	var a Answer
	if c.Op == Roll {
		a = s.roll(c, se)
	} else if c.Op == Put {
		a = s.put(c)
	} else if text := named("lease", c.Lease); text != "" {
		a = bad("%s", text)
	} else {
		switch c.Op {
		case Acquire:
			a = s.acquire(c, se)
		case Release, HandOver, Write:
			l := s.Leases[c.Lease]
			if l == nil || (l.Session != c.Session || l.Token != c.Token) && !(c.Op == Write && failpoint.Is("token-unchecked")) {
				a = Answer{Code: NotHeld, Text: fmt.Sprintf("lease %s is not held by this session with token %d", c.Lease, c.Token)}
				if l != nil {
					a.Token, a.Holder = l.Token, s.holder(l)
				}
			} else {
				a = s.holderDoes(c, l)
			}
		default:
			a = bad("op: %q is none", c.Op)
		}
	}
	if se.Said == nil {
		se.Said = map[uint64]Answer{}
	}
	se.Said[c.Seq], se.Top = a, max(se.Top, c.Seq)
	return a
}

// roll carries out a command about who may be out.
func (s *State) roll(c Command, se *Session) Answer {
	if s.V < 2 { // a coordinator that knows nothing of it would come to another state
		return bad("version: %d is in force, and this wants 2: once all coordinators run this program, 'members upgrade'", s.V)
	}
	if c.Roll == nil {
		return bad("roll: empty")
	}
	if s.V < 3 && c.Roll.Report != nil && len(c.Roll.Report.LatencyCounts) > 0 {
		return bad("version: %d is in force, and the speed wants 3", s.V)
	}
	if s.V < 3 && c.Roll.Plan != nil && c.Roll.Plan.LearnTime > 0 {
		return bad("version: %d is in force, and learn wants 3: once all coordinators run this program, 'members upgrade'", s.V)
	}
	if s.V < 3 && (c.Roll.EjectionQuorum > 0 || c.Roll.OverloadShare > 0) {
		return bad("version: %d is in force, and quorum and busy want 3: once all coordinators run this program, 'members upgrade'", s.V)
	}
	if a, awaits := s.AwaitsUpgrade(c); awaits {
		return a
	}
	if s.Rollout == nil {
		s.Rollout = rollout.New()
	}
	a := s.Rollout.Apply(*c.Roll, rollout.Sender{Time: s.Clock, Session: c.Session, Client: se.Client, SessionOrder: se.Opened, NextToken: s.newToken, HasEarlierLimits: s.hasEarlierBounds()})
	return Answer{Code: Code(a.Code), Text: a.Text, Token: a.Token, Stage: a.Stage, Drained: a.IsDrained}
}

// RoutersDrains is what routers go by, with what all coordinators understand; empty until the first command about it.
func (s *State) RoutersDrains() rollout.DrainSet {
	if s.Rollout == nil {
		return rollout.DrainSet{}
	}
	d := s.Rollout.DrainSet(s.Clock, s.V >= 3)
	if !s.hasEarlierBounds() {
		d.MaxReportedServers = rollout.MaxReportedServers
	}
	return d
}

// RolloutVersions are those of who is out, and of the set of drained servers; 0 until the first command about it.
func (s *State) RolloutVersions() (version, drains uint64) {
	if s.Rollout == nil {
		return 0, 0
	}
	return s.Rollout.Version, s.Rollout.DrainVersion
}

func (s *State) newToken() uint64 {
	s.Token++
	return s.Token
}

func (s *State) holder(l *Lease) string {
	if se := s.Sessions[l.Session]; se != nil {
		return se.Client
	}
	return ""
}

func (s *State) open(c Command) Answer {
	for _, f := range []struct{ name, v string }{{"session", c.Session}, {"client", c.Client}} {
		if text := named(f.name, f.v); text != "" {
			return bad("%s", text)
		}
	}
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return bad("ttl: %v is not between %v and %v", c.TTL, MinTTL, MaxTTL)
	}
	if se := s.Sessions[c.Session]; se != nil { // repeated
		se.Kept = s.Clock
		return Answer{Code: OK}
	}
	if a, refused := s.RefusesSession(c.Session); refused {
		return a
	}
	s.Sessions[c.Session] = &Session{Client: c.Client, TTL: c.TTL, Kept: s.Clock, Opened: s.Applied, Leases: map[string]bool{}}
	s.next = min(s.next, s.Clock+s.Wait(c.TTL))
	return Answer{Code: OK}
}

// boundsVersion is the one from which the bounds of all tables are those of today's program; an older program has lower ones, and
// all coordinators must refuse alike.
const boundsVersion = 4

// rolloutVersion is the one from which the agreed state knows of internal/rollout.
const rolloutVersion = 2

// earlierMaxSessions is the bound before boundsVersion.
const earlierMaxSessions = 4096

func (s *State) hasEarlierBounds() bool { return s.V < boundsVersion }

// AwaitsUpgrade refuses a command that an older program doesn't know, or whose bounds don't allow it, while that one's version is in
// force. A leader keeps it out of the log, as an older coordinator would refuse it in other words.
func (s *State) AwaitsUpgrade(c Command) (a Answer, awaits bool) {
	wants := 0
	switch {
	case c.Op == Put && s.V < DocumentVersion:
		wants = DocumentVersion
	case c.Op != Roll || c.Roll == nil:
	case s.V < rolloutVersion:
		wants = rolloutVersion
	case s.hasEarlierBounds() && c.Roll.ExceedsEarlierLimits():
		wants = boundsVersion
	}
	if wants == 0 {
		return Answer{}, false
	}
	return NeedsVersion(s.V, wants), true
}

// maxSessions is the bound in force.
func (s *State) maxSessions() int {
	if s.hasEarlierBounds() {
		return earlierMaxSessions
	}
	return MaxSessions
}

// RefusesSession tells whether a session with this id can't be opened now, as the table is full. It changes nothing, so that a
// leader can refuse without writing to the log.
func (s *State) RefusesSession(id string) (a Answer, refused bool) {
	limit := s.maxSessions()
	if s.Sessions[id] != nil || len(s.Sessions) < limit {
		return Answer{}, false
	}
	return Answer{Code: Full, Text: fmt.Sprintf("sessions: %d at most", limit)}, true
}

func (s *State) acquire(c Command, se *Session) Answer {
	if c.TTL < MinTTL || c.TTL > se.TTL {
		return bad("ttl: %v is not between %v and the session's %v", c.TTL, MinTTL, se.TTL)
	}
	if len(c.Purpose) > MaxText {
		return bad("purpose: %d bytes, at most %d", len(c.Purpose), MaxText)
	}
	if l := s.Leases[c.Lease]; l != nil {
		if l.Session == c.Session {
			l.Asked = c.Seq
			return Answer{Code: OK, Token: l.Token, Holder: se.Client}
		}
		a := Answer{Code: Held, Token: l.Token, Holder: s.holder(l)}
		if h := s.Sessions[l.Session]; h != nil {
			a.Wait = h.Kept + s.Wait(l.TTL) - s.Clock
		}
		a.Text = fmt.Sprintf("lease %s is held by %s", c.Lease, a.Holder)
		return a
	}
	if len(s.Leases) >= MaxLeases {
		return Answer{Code: Full, Text: fmt.Sprintf("leases: %d at most", MaxLeases)}
	}
	s.Token++
	s.give(c.Lease, &Lease{Session: c.Session, Token: s.Token, TTL: c.TTL, Purpose: c.Purpose, Asked: c.Seq})
	return Answer{Code: OK, Token: s.Token, Holder: se.Client}
}

// give books a lease as held by a session that is there.
func (s *State) give(name string, l *Lease) {
	se := s.Sessions[l.Session]
	s.Leases[name], se.Leases[name] = l, true
	s.next = min(s.next, se.Kept+s.Wait(l.TTL))
	s.changed = append(s.changed, name)
}

// free takes a lease back.
func (s *State) free(name string) {
	l := s.Leases[name]
	if se := s.Sessions[l.Session]; se != nil {
		delete(se.Leases, name)
	}
	s.bytes -= len(l.Record)
	delete(s.Leases, name)
	s.changed = append(s.changed, name)
}

// holderDoes carries out what only the holder may do.
func (s *State) holderDoes(c Command, l *Lease) Answer {
	// A release that was overtaken on its way by an acquire of the same session would take back what that one confirmed.
	if c.Op != Write && c.Seq < l.Asked && !failpoint.Is("release-overtaken") {
		return Answer{Code: Old, Text: fmt.Sprintf("lease %s was asked for again since", c.Lease)}
	}
	switch c.Op {
	case Release:
		s.free(c.Lease)
	case Write:
		if len(c.Record) > MaxRecord {
			return bad("record: %d bytes, at most %d", len(c.Record), MaxRecord)
		}
		if s.bytes-len(l.Record)+len(c.Record) > MaxRecords {
			return Answer{Code: Full, Text: fmt.Sprintf("records: %d bytes at most", MaxRecords)}
		}
		s.bytes += len(c.Record) - len(l.Record)
		l.Record, l.Written = slices.Clone(c.Record), s.Clock
		s.changed = append(s.changed, c.Lease)
	case HandOver:
		to := "" // the newest session of that name
		for id, se := range s.Sessions {
			if se.Client == c.To && (to == "" || se.Opened > s.Sessions[to].Opened) {
				to = id
			}
		}
		if to == "" {
			return Answer{Code: NoClient, Text: fmt.Sprintf("client %s has no session: lease %s stays", c.To, c.Lease)}
		}
		next := *l
		if next.TTL > s.Sessions[to].TTL {
			return bad("ttl: the session of %s lasts %v, and lease %s %v", c.To, s.Sessions[to].TTL, c.Lease, next.TTL)
		}
		if s.Sessions[to].Kept+s.Wait(next.TTL) <= s.Clock {
			return Answer{Code: NoClient, Text: fmt.Sprintf("client %s has been silent for too long: lease %s stays", c.To, c.Lease)}
		}
		delete(s.Sessions[l.Session].Leases, c.Lease)
		s.Token++
		next.Session, next.Token, next.Asked = to, s.Token, 0
		s.give(c.Lease, &next)
		return Answer{Code: OK, Token: s.Token, Holder: c.To}
	}
	return Answer{Code: OK, Token: l.Token}
}

// end closes a session.
func (s *State) end(id string) {
	for _, name := range slices.Sorted(maps.Keys(s.Sessions[id].Leases)) {
		s.free(name)
	}
	client := s.Sessions[id].Client
	delete(s.Sessions, id)
	if s.Rollout != nil {
		s.Rollout.SessionEnded(id, client, s.Clock, s.newToken)
	}
}

// expire takes back what nobody kept. Each look at all is paid for by at least a third of a time to live without one, as who
// keeps moves an end by that much.
func (s *State) expire() {
	if s.Clock < s.next {
		return
	}
	s.next = math.MaxInt64
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		se := s.Sessions[id]
		if until := se.Kept + s.Wait(se.TTL); until <= s.Clock {
			s.end(id)
			continue
		} else {
			s.next = min(s.next, until)
		}
		for _, name := range slices.Sorted(maps.Keys(se.Leases)) {
			if until := se.Kept + s.Wait(s.Leases[name].TTL); until <= s.Clock {
				s.free(name)
			} else {
				s.next = min(s.next, until)
			}
		}
	}
}

// Clone is a copy that shares nothing.
func (s *State) Clone() *State {
	c := *s
	c.changed = slices.Clone(s.changed)
	c.Sessions, c.Leases = make(map[string]*Session, len(s.Sessions)), make(map[string]*Lease, len(s.Leases))
	for id, se := range s.Sessions {
		one := *se
		one.Said, one.Leases = maps.Clone(se.Said), maps.Clone(se.Leases)
		c.Sessions[id] = &one
	}
	for name, l := range s.Leases {
		one := *l
		one.Record = slices.Clone(l.Record)
		c.Leases[name] = &one
	}
	if s.Rollout != nil {
		c.Rollout = s.Rollout.Clone()
	}
	c.Changes = s.Changes.Clone()
	return &c
}

// Row is one lease as it is shown.
type Row struct {
	Lease   string        `json:"lease"`
	Holder  string        `json:"holder"`
	Token   uint64        `json:"token"`
	TTL     time.Duration `json:"ttl"`
	Left    time.Duration `json:"left"` // until it ends unless it is kept, on the coordinators' clock
	Purpose string        `json:"purpose,omitempty"`
	Record  []byte        `json:"record,omitempty"`
	Age     time.Duration `json:"age,omitempty"` // of Record, on the coordinators' clock, which may lag behind by what passes between two commands
}

// Rows are the leases that match, by name.
func (s *State) Rows(match func(name string) bool) []Row {
	rows := []Row{}
	for name, l := range s.Leases {
		if match(name) {
			rows = append(rows, Row{name, s.holder(l), l.Token, l.TTL, s.Sessions[l.Session].Kept + s.Wait(l.TTL) - s.Clock, l.Purpose, l.Record, s.Clock - l.Written})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Lease, b.Lease) })
	return rows
}
