package coord

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/coord/observer/watchlog"
	"dockhinge.example/dockhinge/internal/rollout"
)

// State is the state that the coordinators replicate.
type State struct {
	// Version is the version of commands that all coordinators support.
	Version int `json:"v"`
	// ClockRateBound is the maximum fraction by which clocks of holders and coordinators run fast
	// or slow.
	ClockRateBound float64 `json:"rate"`
	// Clock is the sum of the times that leaders have measured. It never runs ahead of real time by
	// more than the bound, so no lease expires early.
	Clock time.Duration `json:"clock"`

	AppliedCommands uint64 `json:"applied"`
	LastToken       uint64 `json:"token"` // most recently issued fencing token; never decreases

	Sessions  map[string]*Session `json:"sessions"`          // by id
	Leases    map[string]*Lease   `json:"leases"`            // held leases, by name
	Rollout   *rollout.State      `json:"rollout,omitempty"` // nil until the first rollout command
	Documents *watchlog.Log       `json:"changes,omitzero"`

	recordBytes   int           // total size of the leases' records
	documentBytes int           // total size of the documents
	nextExpiry    time.Duration // no session or lease expires before this value of Clock
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

// Apply executes a command of the log. term is the term of its log entry.
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

// advanceClock adds the time that the leader has measured. A leader that is replaced after
// measuring may have its entry committed under a later term. The new leader has counted the same
// time itself, and counting it twice would end leases early.
func (s *State) advanceClock(c Command, term uint64) {
	if c.Term == term && c.Elapsed > 0 {
		s.Clock += c.Elapsed
	}
}

// ChangedLeases returns the names of the leases that were granted, transferred or freed, or whose
// record was written, by the most recently applied command, sorted. The slice is valid until the
// next Apply.
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
		return invalidResponse("rate: %v is not between 0 and %v", bound, MaxClockRateBound)
	}
	s.ClockRateBound = bound
	s.nextExpiry = 0 // every ExpiryDelay has changed
	return Response{Code: CodeOK}
}

func (s *State) upgrade(target int) Response {
	if target < s.Version || target > Version {
		return invalidResponse("version: %d is not from %d, which is in force, to %d", target, s.Version, Version)
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

// executeInSession executes a command of an existing session. Every command keeps its session
// alive.
func (s *State) executeInSession(c Command) Response {
	if problem := checkName("session", c.SessionID); problem != "" {
		return invalidResponse("%s", problem)
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
	session.discardAcknowledged(c.AcknowledgedThrough)
	if response, ok := session.rejectDuplicate(c.Sequence); ok {
		return response
	}
	response := s.executeNumbered(c, session)
	session.storeResponse(c.Sequence, response)
	return response
}

// executeNumbered executes a command that has a sequence number and is not a duplicate.
func (s *State) executeNumbered(c Command, session *Session) Response {
	switch c.Op {
	case OpRollout:
		return s.applyRollout(c, session)
	case OpPutDocument:
		return s.putDocument(c)
	}
	if problem := checkName("lease", c.Lease); problem != "" {
		return invalidResponse("%s", problem)
	}
	switch c.Op {
	case OpAcquire:
		return s.acquire(c, session)
	case OpRelease, OpTransfer, OpWriteRecord:
		return s.executeAsHolder(c)
	}
	return invalidResponse("op: %q is none", c.Op)
}

// Clone returns a copy that shares no mutable data.
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
