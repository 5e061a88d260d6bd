package coord

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/rollout"
)

// State is all that the coordinators agree on.
type State struct {
	// Version is that of the commands which all coordinators understand.
	Version int `json:"v"`
	// ClockRateBound is the share by which the clocks of holders and coordinators may be fast or slow.
	ClockRateBound float64 `json:"rate"`
	// Clock adds up what leaders have measured. It never runs ahead of real time by more than the
	// bound, so that no lease expires early.
	Clock time.Duration `json:"clock"`

	AppliedCommands uint64 `json:"applied"`
	LastToken       uint64 `json:"token"` // fencing token that was given last; only grows

	Sessions  map[string]*Session `json:"sessions"`          // by id
	Leases    map[string]*Lease   `json:"leases"`            // those that are held, by name
	Rollout   *rollout.State      `json:"rollout,omitempty"` // nil until the first command of it
	Documents *watchlog.Log       `json:"changes,omitzero"`

	recordBytes   int           // of all leases' records
	documentBytes int           // of all documents
	nextExpiry    time.Duration // no session or lease expires before this instant of Clock
	changedLeases []string      // see ChangedLeases
}

// New returns an empty state.
func New() *State {
	return &State{
		Version:        1,
		ClockRateBound: DefaultClockRateBound,
		Sessions:       map[string]*Session{},
		Leases:         map[string]*Lease{},
		Documents:      newDocumentLog(),
		nextExpiry:     math.MaxInt64,
	}
}

// Apply carries out a command that stands in the log under a term.
func (s *State) Apply(c Command, term uint64) Response {
	s.changedLeases = s.changedLeases[:0]
	if c.Version > Version || c.Op == OpUpgrade && c.TargetVersion > Version {
		unknown := max(c.Version, c.TargetVersion)
		text := fmt.Sprintf("command of version %d, and this program knows %d", unknown, Version)
		return Response{Code: CodeUnknownVersion, Text: text}
	}
	s.AppliedCommands++
	s.advanceClock(c, term)
	s.expire()
	if s.Rollout != nil {
		s.Rollout.Advance(s.Clock, s.newToken)
	}
	response := s.execute(c)
	slices.Sort(s.changedLeases)
	s.changedLeases = slices.Compact(s.changedLeases)
	return response
}

// advanceClock adds what the leader has measured. A leader that was replaced after it measured
// proposes under one term, and its entry may come to stand under a later one: the new leader has
// counted the same time itself, and counting it twice would end leases early.
func (s *State) advanceClock(c Command, term uint64) {
	if c.Term == term && c.Elapsed > 0 {
		s.Clock += c.Elapsed
	}
}

// ChangedLeases names the leases that changed hands, became free or got a record by the command
// that was applied last, sorted. The slice is valid until the next Apply.
func (s *State) ChangedLeases() []string { return s.changedLeases }

func (s *State) execute(c Command) Response {
	switch c.Op {
	case OpTick:
		return Response{Code: CodeOK}
	case OpSetClockRate:
		return s.setClockRate(c.ClockRateBound)
	case OpUpgrade:
		return s.upgrade(c.TargetVersion)
	case OpRaiseTokens:
		return s.raiseTokens(c.Token)
	case OpOpenSession:
		return s.openSession(c)
	}
	return s.executeInSession(c)
}

func (s *State) setClockRate(bound float64) Response {
	if !(bound >= 0 && bound <= MaxClockRateBound) { // also rejects NaN
		return invalid("rate: %v is not between 0 and %v", bound, MaxClockRateBound)
	}
	s.ClockRateBound = bound
	s.nextExpiry = 0 // every ExpiryDelay has changed
	return Response{Code: CodeOK}
}

func (s *State) upgrade(target int) Response {
	if target < s.Version || target > Version {
		return invalid("version: %d is not from %d, which is in force, to %d", target, s.Version, Version)
	}
	s.Version = target
	return Response{Code: CodeOK}
}

func (s *State) raiseTokens(token uint64) Response {
	s.LastToken = max(s.LastToken, token)
	s.raiseRevision()
	return Response{Code: CodeOK, Token: s.LastToken}
}

func (s *State) newToken() uint64 {
	s.LastToken++
	return s.LastToken
}

// executeInSession carries out what only a session may do. Every command of a session keeps it alive.
func (s *State) executeInSession(c Command) Response {
	if problem := checkName("session", c.SessionID); problem != "" {
		return invalid("%s", problem)
	}
	session := s.Sessions[c.SessionID]
	if session == nil {
		return Response{Code: CodeNoSession, Text: "session " + c.SessionID + " has ended"}
	}
	session.KeptAliveAt = s.Clock
	switch c.Op {
	case OpKeepAlive:
		return Response{Code: CodeOK}
	case OpCloseSession:
		s.endSession(c.SessionID)
		return Response{Code: CodeOK}
	}
	session.forgetAcknowledged(c.AcknowledgedThrough)
	if response, ok := session.rejectDuplicate(c.Sequence); ok {
		return response
	}
	response := s.executeNumbered(c, session)
	session.remember(c.Sequence, response)
	return response
}

// executeNumbered carries out a command that has a sequence number, for the first time.
func (s *State) executeNumbered(c Command, session *Session) Response {
	switch c.Op {
	case OpRollout:
		return s.applyRollout(c, session)
	case OpPutDocument:
		return s.putDocument(c)
	}
	if problem := checkName("lease", c.Lease); problem != "" {
		return invalid("%s", problem)
	}
	switch c.Op {
	case OpAcquire:
		return s.acquire(c, session)
	case OpRelease, OpTransfer, OpWriteRecord:
		return s.executeAsHolder(c)
	}
	return invalid("op: %q is none", c.Op)
}

// Clone returns a copy that shares nothing that changes.
func (s *State) Clone() *State {
	c := *s
	c.changedLeases = slices.Clone(s.changedLeases)
	c.Sessions = make(map[string]*Session, len(s.Sessions))
	for id, session := range s.Sessions {
		c.Sessions[id] = session.clone()
	}
	c.Leases = make(map[string]*Lease, len(s.Leases))
	for name, lease := range s.Leases {
		c.Leases[name] = lease.clone()
	}
	if s.Rollout != nil {
		c.Rollout = s.Rollout.Clone()
	}
	c.Documents = s.Documents.Clone()
	return &c
}
