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
	MaxSessions           = 8192 // 5,100 routers and over half as many again, for tools and for processes that were replaced
	MaxLeases             = 8192
	MaxCachedResponses    = 32              // answers kept for a session's repeated commands; a client has at most so many under way
	MaxNameBytes          = 128             // bytes of a name: session, client or lease
	MaxPurposeBytes       = 256             // bytes of a purpose
	MaxRecordBytes        = 4096            // bytes of one lease's record
	MaxTotalRecordBytes   = 8 << 20         // bytes of all records
	MinTTL                = time.Second     // of sessions and leases
	MaxTTL                = 5 * time.Minute // likewise
	MaxClockRateBound     = 0.1             // the largest bound on clock rate that may be set
	DefaultClockRateBound = 0.01
)

// Op says what a command does.
type Op string

// The commands. All but Tick, Configure and Raise come from a session.
const (
	OpTick         Op = "tick"      // time has passed
	OpSetClockRate Op = "configure" // Rate is the bound on the rate of all clocks
	OpUpgrade      Op = "upgrade"   // commands of Version are understood by all from here on
	OpRaiseTokens  Op = "raise"     // all tokens from here on lie above Token: after a majority was lost for good
	OpOpenSession  Op = "open"      // a session: Session, Client, TTL
	OpKeepAlive    Op = "keep"      // the session and all its leases
	OpCloseSession Op = "close"     // the session; its leases are free
	OpAcquire      Op = "acquire"   // Lease for TTL, with Purpose; its holder gets the same token again
	OpRelease      Op = "release"   // Lease, held with Token
	OpTransfer     Op = "handover"  // Lease, held with Token, to the client To
	OpWriteRecord  Op = "write"     // Record of Lease, held with Token: an act that the agreed state itself checks
	OpRollout      Op = "roll"      // a command of internal/rollout, from version 2 on
	OpPutDocument  Op = "put"       // a document of the agreed configuration, from version 4 on
)

// Command is one entry of the agreed log. Durations are in nanoseconds.
type Command struct {
	Version             int           `json:"v"`
	Op                  Op            `json:"op"`
	Term                uint64        `json:"term,omitempty"`    // of the leader that measured Advance
	Elapsed             time.Duration `json:"advance,omitempty"` // passed on its clock since its command before
	SessionID           string        `json:"session,omitempty"`
	Sequence            uint64        `json:"seq,omitempty"`   // of the session's commands but Open, Keep and Close, from 1
	AcknowledgedThrough uint64        `json:"acked,omitempty"` // all answers up to here have come
	Client              string        `json:"client,omitempty"`
	Lease               string        `json:"lease,omitempty"`
	Purpose             string        `json:"purpose,omitempty"`
	Successor           string        `json:"to,omitempty"`
	TTL                 time.Duration `json:"ttl,omitempty"`
	Token               uint64        `json:"token,omitempty"`
	ClockRateBound      float64       `json:"rate,omitempty"`
	TargetVersion       int           `json:"version,omitempty"`
	Record              []byte        `json:"record,omitempty"`

	Rollout  *rollout.Command `json:"roll,omitempty"`
	Document *DocumentPut     `json:"document,omitempty"`
}

// Code says how a command ended.
type Code string

// The ends.
const (
	CodeOK             Code = "ok"
	CodeHeld           Code = "held"       // another session holds the lease: Holder, Token, Wait
	CodeNotHeld        Code = "not-held"   // the session doesn't hold the lease with this token
	CodeNoSession      Code = "no-session" // it has ended, or never was
	CodeNoClient       Code = "no-client"  // the successor has no session
	CodeLimitReached   Code = "full"       // a table has reached its bound, which Text names
	CodeInvalid        Code = "bad"        // the command is impossible: Text says why
	CodeSuperseded     Code = "old"        // a repeated command whose answer was forgotten
	CodeConflict       Code = "conflict"   // the document's revision, Revision, isn't the one that the command expects
	CodeUnknownVersion Code = "newer"      // a command of a version that this program doesn't know: it must not go on
)

// Response is what a command gave.
type Response struct {
	Code      Code          `json:"code"`
	Text      string        `json:"text,omitempty"`
	Token     uint64        `json:"token,omitempty"`
	Holder    string        `json:"holder,omitempty"` // the client's name
	ExpiresIn time.Duration `json:"wait,omitempty"`   // Held: until it is free at the latest, unless it is kept

	// RetryAfter, with Full, is when to come back. The coordinator that answers sets it; it is no part of the agreed state.
	RetryAfter time.Duration `json:"retry_after,omitempty"`

	// Of a permit (Roll); Text tells why it waits.
	Stage     rollout.Stage `json:"stage,omitempty"`
	IsDrained bool          `json:"drained,omitempty"`

	Revision uint64 `json:"revision,omitempty"` // of a document (Put)
}

// Error is the answer as an error; nil where it is OK.
func (a Response) Error() string {
	text := fmt.Sprintf("%s: %s", a.Code, a.Text)
	if a.RetryAfter > 0 {
		text += ", retry after " + a.RetryAfter.Round(time.Millisecond).String()
	}
	return text
}

// Session is one client's.
type Session struct {
	Client              string              `json:"client"`
	TTL                 time.Duration       `json:"ttl"`
	KeptAliveAt         time.Duration       `json:"kept"`   // by the state's clock
	OpenedIndex         uint64              `json:"opened"` // how many commands had come
	LastSequence        uint64              `json:"top"`    // the highest command carried out
	AcknowledgedThrough uint64              `json:"acked"`
	Responses           map[uint64]Response `json:"said,omitempty"`
	Leases              map[string]bool     `json:"leases,omitempty"`
}

// Lease is one that is held.
type Lease struct {
	SessionID       string        `json:"session"`
	Token           uint64        `json:"token"`
	TTL             time.Duration `json:"ttl"`
	Purpose         string        `json:"purpose,omitempty"`
	Record          []byte        `json:"record,omitempty"`
	RecordWrittenAt time.Duration `json:"written,omitempty"` // by the state's clock, when Record was
	AcquireSequence uint64        `json:"asked"`             // the number of the holder's newest Acquire
}

// State is all that is agreed on.
type State struct {
	Version         int                 `json:"v"`     // of the commands that all coordinators understand: the oldest program's until Upgrade
	ClockRateBound  float64             `json:"rate"`  // bound on the rate of all clocks, of holders and coordinators
	Clock           time.Duration       `json:"clock"` // what leaders have measured, added up; never more than has really passed (by Rate)
	AppliedCommands uint64              `json:"applied"`
	LastToken       uint64              `json:"token"` // the newest given
	Sessions        map[string]*Session `json:"sessions"`
	Leases          map[string]*Lease   `json:"leases"`
	Rollout         *rollout.State      `json:"rollout,omitempty"` // nil until the first command of it
	Documents       *watchlog.Log       `json:"changes,omitzero"`  // of the agreed configuration

	recordBytes   int           // of all records
	documentBytes int           // bytes of all documents
	nextExpiry    time.Duration // no session or lease ends before this
	changedLeases []string      // leases that changed hands or became free in the last command
}

// New returns an empty state.
func New() *State {
	return &State{Version: 1, ClockRateBound: DefaultClockRateBound, Sessions: map[string]*Session{}, Leases: map[string]*Lease{}, Documents: newDocumentLog(), nextExpiry: math.MaxInt64}
}

// ExpiryDelay is how long coordinators wait, on their clock, before they take back what was given for ttl: on the holder's clock,
// which may be slow by the rate while theirs is fast by it, ttl has passed by then.
func (s *State) ExpiryDelay(ttl time.Duration) time.Duration {
	if failpoint.Is("rate-ignored") {
		return ttl
	}
	return time.Duration(math.Ceil(float64(ttl)*(1+s.ClockRateBound)/(1-s.ClockRateBound))) + 1
}

// ChangedLeases names the leases that changed hands, became free or got a record in the last command, sorted.
func (s *State) ChangedLeases() []string { return s.changedLeases }

// Apply carries out a command of the log, which stands there under the term, and answers it.
func (s *State) Apply(c Command, term uint64) Response {
	s.changedLeases = s.changedLeases[:0]
	if c.Version > Version || c.Op == OpUpgrade && c.TargetVersion > Version {
		return Response{Code: CodeUnknownVersion, Text: fmt.Sprintf("command of version %d, and this program knows %d", max(c.Version, c.TargetVersion), Version)}
	}
	s.AppliedCommands++
	// A leader that was replaced after it had measured must not count a time that another has counted.
	if c.Term == term && c.Elapsed > 0 {
		s.Clock += c.Elapsed
	}
	s.expire()
	if s.Rollout != nil {
		s.Rollout.Advance(s.Clock, s.newToken)
	}
	a := s.apply(c)
	slices.Sort(s.changedLeases)
	s.changedLeases = slices.Compact(s.changedLeases)
	return a
}

func invalid(form string, v ...any) Response {
	return Response{Code: CodeInvalid, Text: fmt.Sprintf(form, v...)}
}

func checkName(field, v string) string {
	switch {
	case v == "":
		return field + ": empty"
	case len(v) > MaxNameBytes:
		return fmt.Sprintf("%s: %d bytes, at most %d", field, len(v), MaxNameBytes)
	}
	return ""
}

func (s *State) apply(c Command) Response {
	switch c.Op {
	case OpTick:
		return Response{Code: CodeOK}
	case OpSetClockRate:
		if !(c.ClockRateBound >= 0 && c.ClockRateBound <= MaxClockRateBound) {
			return invalid("rate: %v is not between 0 and %v", c.ClockRateBound, MaxClockRateBound)
		}
		s.ClockRateBound, s.nextExpiry = c.ClockRateBound, 0
		return Response{Code: CodeOK}
	case OpUpgrade:
		if c.TargetVersion < s.Version || c.TargetVersion > Version {
			return invalid("version: %d is not from %d, which is in force, to %d", c.TargetVersion, s.Version, Version)
		}
		s.Version = c.TargetVersion
		return Response{Code: CodeOK}
	case OpRaiseTokens:
		s.LastToken = max(s.LastToken, c.Token)
		s.raiseRevision()
		return Response{Code: CodeOK, Token: s.LastToken}
	case OpOpenSession:
		return s.openSession(c)
	}
	if text := checkName("session", c.SessionID); text != "" {
		return invalid("%s", text)
	}
	se := s.Sessions[c.SessionID]
	if se == nil {
		return Response{Code: CodeNoSession, Text: "session " + c.SessionID + " has ended"}
	}
	se.KeptAliveAt = s.Clock
	switch c.Op {
	case OpKeepAlive:
		return Response{Code: CodeOK}
	case OpCloseSession:
		s.endSession(c.SessionID)
		return Response{Code: CodeOK}
	}
	// A command that may be repeated, as its answer was lost: what it was told before is told again.
	se.AcknowledgedThrough = max(se.AcknowledgedThrough, min(c.AcknowledgedThrough, se.LastSequence))
	maps.DeleteFunc(se.Responses, func(q uint64, _ Response) bool { return q <= se.AcknowledgedThrough })
	if !failpoint.Is("command-twice") {
		if a, ok := se.Responses[c.Sequence]; ok {
			return a
		}
		if c.Sequence <= se.AcknowledgedThrough {
			return Response{Code: CodeSuperseded, Text: fmt.Sprintf("command %d was answered, and the answer has come", c.Sequence)}
		}
		if len(se.Responses) >= MaxCachedResponses || c.Sequence > se.AcknowledgedThrough+MaxCachedResponses {
			return Response{Code: CodeLimitReached, Text: fmt.Sprintf("commands of a session under way: %d at most", MaxCachedResponses)}
		}
	}
	var a Response
	if c.Op == OpRollout {
		a = s.applyRollout(c, se)
	} else if c.Op == OpPutDocument {
		a = s.putDocument(c)
	} else if text := checkName("lease", c.Lease); text != "" {
		a = invalid("%s", text)
	} else {
		switch c.Op {
		case OpAcquire:
			a = s.acquire(c, se)
		case OpRelease, OpTransfer, OpWriteRecord:
			l := s.Leases[c.Lease]
			if l == nil || (l.SessionID != c.SessionID || l.Token != c.Token) && !(c.Op == OpWriteRecord && failpoint.Is("token-unchecked")) {
				a = Response{Code: CodeNotHeld, Text: fmt.Sprintf("lease %s is not held by this session with token %d", c.Lease, c.Token)}
				if l != nil {
					a.Token, a.Holder = l.Token, s.holderName(l)
				}
			} else {
				a = s.holderDoes(c, l)
			}
		default:
			a = invalid("op: %q is none", c.Op)
		}
	}
	if se.Responses == nil {
		se.Responses = map[uint64]Response{}
	}
	se.Responses[c.Sequence], se.LastSequence = a, max(se.LastSequence, c.Sequence)
	return a
}

// applyRollout carries out a command about who may be out.
func (s *State) applyRollout(c Command, se *Session) Response {
	if s.Version < 2 { // a coordinator that knows nothing of it would come to another state
		return invalid("version: %d is in force, and this wants 2: once all coordinators run this program, 'members upgrade'", s.Version)
	}
	if c.Rollout == nil {
		return invalid("roll: empty")
	}
	if s.Version < 3 && c.Rollout.Report != nil && len(c.Rollout.Report.LatencyCounts) > 0 {
		return invalid("version: %d is in force, and the speed wants 3", s.Version)
	}
	if s.Version < 3 && c.Rollout.Plan != nil && c.Rollout.Plan.LearnTime > 0 {
		return invalid("version: %d is in force, and learn wants 3: once all coordinators run this program, 'members upgrade'", s.Version)
	}
	if s.Version < 3 && (c.Rollout.EjectionQuorum > 0 || c.Rollout.OverloadShare > 0) {
		return invalid("version: %d is in force, and quorum and busy want 3: once all coordinators run this program, 'members upgrade'", s.Version)
	}
	if a, awaits := s.AwaitsUpgrade(c); awaits {
		return a
	}
	if s.Rollout == nil {
		s.Rollout = rollout.New()
	}
	a := s.Rollout.Apply(*c.Rollout, rollout.Sender{Time: s.Clock, Session: c.SessionID, Client: se.Client, SessionOrder: se.OpenedIndex, NextToken: s.newToken, HasEarlierLimits: s.hasEarlierBounds()})
	return Response{Code: Code(a.Code), Text: a.Text, Token: a.Token, Stage: a.Stage, IsDrained: a.IsDrained}
}

// RouterDrains is what routers go by, with what all coordinators understand; empty until the first command about it.
func (s *State) RouterDrains() rollout.DrainSet {
	if s.Rollout == nil {
		return rollout.DrainSet{}
	}
	d := s.Rollout.DrainSet(s.Clock, s.Version >= 3)
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
	s.LastToken++
	return s.LastToken
}

func (s *State) holderName(l *Lease) string {
	if se := s.Sessions[l.SessionID]; se != nil {
		return se.Client
	}
	return ""
}

func (s *State) openSession(c Command) Response {
	for _, f := range []struct{ name, v string }{{"session", c.SessionID}, {"client", c.Client}} {
		if text := checkName(f.name, f.v); text != "" {
			return invalid("%s", text)
		}
	}
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return invalid("ttl: %v is not between %v and %v", c.TTL, MinTTL, MaxTTL)
	}
	if se := s.Sessions[c.SessionID]; se != nil { // repeated
		se.KeptAliveAt = s.Clock
		return Response{Code: CodeOK}
	}
	if a, refused := s.RejectsSession(c.SessionID); refused {
		return a
	}
	s.Sessions[c.SessionID] = &Session{Client: c.Client, TTL: c.TTL, KeptAliveAt: s.Clock, OpenedIndex: s.AppliedCommands, Leases: map[string]bool{}}
	s.nextExpiry = min(s.nextExpiry, s.Clock+s.ExpiryDelay(c.TTL))
	return Response{Code: CodeOK}
}

// fleetLimitsVersion is the one from which the bounds of all tables are those of today's program; an older program has lower ones, and
// all coordinators must refuse alike.
const fleetLimitsVersion = 4

// rolloutVersion is the one from which the agreed state knows of internal/rollout.
const rolloutVersion = 2

// earlierMaxSessions is the bound before boundsVersion.
const earlierMaxSessions = 4096

func (s *State) hasEarlierBounds() bool { return s.Version < fleetLimitsVersion }

// AwaitsUpgrade refuses a command that an older program doesn't know, or whose bounds don't allow it, while that one's version is in
// force. A leader keeps it out of the log, as an older coordinator would refuse it in other words.
func (s *State) AwaitsUpgrade(c Command) (a Response, awaits bool) {
	wants := 0
	switch {
	case c.Op == OpPutDocument && s.Version < DocumentVersion:
		wants = DocumentVersion
	case c.Op != OpRollout || c.Rollout == nil:
	case s.Version < rolloutVersion:
		wants = rolloutVersion
	case s.hasEarlierBounds() && c.Rollout.ExceedsEarlierLimits():
		wants = fleetLimitsVersion
	}
	if wants == 0 {
		return Response{}, false
	}
	return RequiresVersion(s.Version, wants), true
}

// maxSessions is the bound in force.
func (s *State) maxSessions() int {
	if s.hasEarlierBounds() {
		return earlierMaxSessions
	}
	return MaxSessions
}

// RejectsSession tells whether a session with this id can't be opened now, as the table is full. It changes nothing, so that a
// leader can refuse without writing to the log.
func (s *State) RejectsSession(id string) (a Response, refused bool) {
	limit := s.maxSessions()
	if s.Sessions[id] != nil || len(s.Sessions) < limit {
		return Response{}, false
	}
	return Response{Code: CodeLimitReached, Text: fmt.Sprintf("sessions: %d at most", limit)}, true
}

func (s *State) acquire(c Command, se *Session) Response {
	if c.TTL < MinTTL || c.TTL > se.TTL {
		return invalid("ttl: %v is not between %v and the session's %v", c.TTL, MinTTL, se.TTL)
	}
	if len(c.Purpose) > MaxPurposeBytes {
		return invalid("purpose: %d bytes, at most %d", len(c.Purpose), MaxPurposeBytes)
	}
	if l := s.Leases[c.Lease]; l != nil {
		if l.SessionID == c.SessionID {
			l.AcquireSequence = c.Sequence
			return Response{Code: CodeOK, Token: l.Token, Holder: se.Client}
		}
		a := Response{Code: CodeHeld, Token: l.Token, Holder: s.holderName(l)}
		if h := s.Sessions[l.SessionID]; h != nil {
			a.ExpiresIn = h.KeptAliveAt + s.ExpiryDelay(l.TTL) - s.Clock
		}
		a.Text = fmt.Sprintf("lease %s is held by %s", c.Lease, a.Holder)
		return a
	}
	if len(s.Leases) >= MaxLeases {
		return Response{Code: CodeLimitReached, Text: fmt.Sprintf("leases: %d at most", MaxLeases)}
	}
	s.LastToken++
	s.assignLease(c.Lease, &Lease{SessionID: c.SessionID, Token: s.LastToken, TTL: c.TTL, Purpose: c.Purpose, AcquireSequence: c.Sequence})
	return Response{Code: CodeOK, Token: s.LastToken, Holder: se.Client}
}

// assignLease books a lease as held by a session that is there.
func (s *State) assignLease(name string, l *Lease) {
	se := s.Sessions[l.SessionID]
	s.Leases[name], se.Leases[name] = l, true
	s.nextExpiry = min(s.nextExpiry, se.KeptAliveAt+s.ExpiryDelay(l.TTL))
	s.changedLeases = append(s.changedLeases, name)
}

// freeLease takes a lease back.
func (s *State) freeLease(name string) {
	l := s.Leases[name]
	if se := s.Sessions[l.SessionID]; se != nil {
		delete(se.Leases, name)
	}
	s.recordBytes -= len(l.Record)
	delete(s.Leases, name)
	s.changedLeases = append(s.changedLeases, name)
}

// holderDoes carries out what only the holder may do.
func (s *State) holderDoes(c Command, l *Lease) Response {
	// A release that was overtaken on its way by an acquire of the same session would take back what that one confirmed.
	if c.Op != OpWriteRecord && c.Sequence < l.AcquireSequence && !failpoint.Is("release-overtaken") {
		return Response{Code: CodeSuperseded, Text: fmt.Sprintf("lease %s was asked for again since", c.Lease)}
	}
	switch c.Op {
	case OpRelease:
		s.freeLease(c.Lease)
	case OpWriteRecord:
		if len(c.Record) > MaxRecordBytes {
			return invalid("record: %d bytes, at most %d", len(c.Record), MaxRecordBytes)
		}
		if s.recordBytes-len(l.Record)+len(c.Record) > MaxTotalRecordBytes {
			return Response{Code: CodeLimitReached, Text: fmt.Sprintf("records: %d bytes at most", MaxTotalRecordBytes)}
		}
		s.recordBytes += len(c.Record) - len(l.Record)
		l.Record, l.RecordWrittenAt = slices.Clone(c.Record), s.Clock
		s.changedLeases = append(s.changedLeases, c.Lease)
	case OpTransfer:
		to := "" // the newest session of that name
		for id, se := range s.Sessions {
			if se.Client == c.Successor && (to == "" || se.OpenedIndex > s.Sessions[to].OpenedIndex) {
				to = id
			}
		}
		if to == "" {
			return Response{Code: CodeNoClient, Text: fmt.Sprintf("client %s has no session: lease %s stays", c.Successor, c.Lease)}
		}
		next := *l
		if next.TTL > s.Sessions[to].TTL {
			return invalid("ttl: the session of %s lasts %v, and lease %s %v", c.Successor, s.Sessions[to].TTL, c.Lease, next.TTL)
		}
		if s.Sessions[to].KeptAliveAt+s.ExpiryDelay(next.TTL) <= s.Clock {
			return Response{Code: CodeNoClient, Text: fmt.Sprintf("client %s has been silent for too long: lease %s stays", c.Successor, c.Lease)}
		}
		delete(s.Sessions[l.SessionID].Leases, c.Lease)
		s.LastToken++
		next.SessionID, next.Token, next.AcquireSequence = to, s.LastToken, 0
		s.assignLease(c.Lease, &next)
		return Response{Code: CodeOK, Token: s.LastToken, Holder: c.Successor}
	}
	return Response{Code: CodeOK, Token: l.Token}
}

// endSession closes a session.
func (s *State) endSession(id string) {
	for _, name := range slices.Sorted(maps.Keys(s.Sessions[id].Leases)) {
		s.freeLease(name)
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
	if s.Clock < s.nextExpiry {
		return
	}
	s.nextExpiry = math.MaxInt64
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		se := s.Sessions[id]
		if until := se.KeptAliveAt + s.ExpiryDelay(se.TTL); until <= s.Clock {
			s.endSession(id)
			continue
		} else {
			s.nextExpiry = min(s.nextExpiry, until)
		}
		for _, name := range slices.Sorted(maps.Keys(se.Leases)) {
			if until := se.KeptAliveAt + s.ExpiryDelay(s.Leases[name].TTL); until <= s.Clock {
				s.freeLease(name)
			} else {
				s.nextExpiry = min(s.nextExpiry, until)
			}
		}
	}
}

// Clone is a copy that shares nothing.
func (s *State) Clone() *State {
	c := *s
	c.changedLeases = slices.Clone(s.changedLeases)
	c.Sessions, c.Leases = make(map[string]*Session, len(s.Sessions)), make(map[string]*Lease, len(s.Leases))
	for id, se := range s.Sessions {
		one := *se
		one.Responses, one.Leases = maps.Clone(se.Responses), maps.Clone(se.Leases)
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
	c.Documents = s.Documents.Clone()
	return &c
}

// LeaseStatus is one lease as it is shown.
type LeaseStatus struct {
	Lease     string        `json:"lease"`
	Holder    string        `json:"holder"`
	Token     uint64        `json:"token"`
	TTL       time.Duration `json:"ttl"`
	Remaining time.Duration `json:"left"` // until it ends unless it is kept, on the coordinators' clock
	Purpose   string        `json:"purpose,omitempty"`
	Record    []byte        `json:"record,omitempty"`
	RecordAge time.Duration `json:"age,omitempty"` // of Record, on the coordinators' clock, which may lag behind by what passes between two commands
}

// ListLeases are the leases that match, by name.
func (s *State) ListLeases(match func(name string) bool) []LeaseStatus {
	rows := []LeaseStatus{}
	for name, l := range s.Leases {
		if match(name) {
			rows = append(rows, LeaseStatus{name, s.holderName(l), l.Token, l.TTL, s.Sessions[l.SessionID].KeptAliveAt + s.ExpiryDelay(l.TTL) - s.Clock, l.Purpose, l.Record, s.Clock - l.RecordWrittenAt})
		}
	}
	slices.SortFunc(rows, func(a, b LeaseStatus) int { return cmp.Compare(a.Lease, b.Lease) })
	return rows
}
