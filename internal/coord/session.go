package coord

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Session is the session of one client process. It ends when it is closed or when no command of it
// has arrived for its TTL (see ExpiryDelay); its leases end with it.
type Session struct {
	Client string        `json:"client"` // client name; several sessions may have the same
	TTL    time.Duration `json:"ttl"`
	// KeptAliveAt is the value of State.Clock when the session's most recent command was applied.
	KeptAliveAt time.Duration `json:"kept"`
	// OpenedIndex is State.AppliedCommands when the session was opened. It orders sessions by age.
	OpenedIndex uint64 `json:"opened"`
	// LastSequence is the highest sequence number that was executed.
	LastSequence uint64 `json:"top"`
	// AcknowledgedThrough is the sequence number up to which the client has received all responses.
	AcknowledgedThrough uint64 `json:"acked"`
	// Responses are the responses that the client may still request, by sequence number.
	Responses map[uint64]Response `json:"said,omitempty"`
	Leases    map[string]bool     `json:"leases,omitempty"` // names of the leases that the session holds
}

func (session *Session) clone() *Session {
	c := *session
	c.Responses = maps.Clone(session.Responses)
	c.Leases = maps.Clone(session.Leases)
	return &c
}

// ExpiryDelay returns how long, on State.Clock, the coordinators wait before a session or lease
// with this TTL expires. The holder's clock may be slow and the coordinators' clock fast by the
// bound: after this delay the TTL has passed on the holder's clock too, and the holder has stopped
// acting. With a shorter delay a slow holder and its successor could act at the same time.
func (s *State) ExpiryDelay(ttl time.Duration) time.Duration {
	if failpoint.IsInjected("rate-ignored") {
		return ttl
	}
	return time.Duration(math.Ceil(float64(ttl)*(1+s.ClockRateBound)/(1-s.ClockRateBound))) + 1
}

// expiresAt returns the instant of State.Clock at which the session, or a lease of it, with this
// TTL expires unless it is kept alive.
func (s *State) expiresAt(session *Session, ttl time.Duration) time.Duration {
	return session.KeptAliveAt + s.ExpiryDelay(ttl)
}

// RejectsSession reports whether the session table is full for a session with this id, and returns
// the response to it. It changes nothing, so a leader can reject without writing to the log.
func (s *State) RejectsSession(id string) (response Response, rejected bool) {
	limit := s.maxSessions()
	if s.Sessions[id] != nil || len(s.Sessions) < limit {
		return Response{}, false
	}
	return Response{Code: CodeLimitReached, Text: fmt.Sprintf("sessions: %d at most", limit)}, true
}

func (s *State) openSession(c Command) Response {
	if problem := checkName("session", c.SessionID); problem != "" {
		return invalidResponse("%s", problem)
	}
	if problem := checkName("client", c.Client); problem != "" {
		return invalidResponse("%s", problem)
	}
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return invalidResponse("ttl: %v is not between %v and %v", c.TTL, MinTTL, MaxTTL)
	}
	if session := s.Sessions[c.SessionID]; session != nil { // the command is a retry
		session.KeptAliveAt = s.Clock
		return Response{Code: CodeOK}
	}
	if response, rejected := s.RejectsSession(c.SessionID); rejected {
		return response
	}
	s.Sessions[c.SessionID] = &Session{
		Client:      c.Client,
		TTL:         c.TTL,
		KeptAliveAt: s.Clock,
		OpenedIndex: s.AppliedCommands,
		Leases:      map[string]bool{},
	}
	s.nextExpiry = min(s.nextExpiry, s.Clock+s.ExpiryDelay(c.TTL))
	return Response{Code: CodeOK}
}

// endSession removes an existing session and frees its leases.
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

// expire ends the sessions and leases that were not kept alive in time. It scans all sessions only
// after nextExpiry. Each keep-alive defers its session's expiry by at least a third of a TTL, so
// the number of keep-alives bounds the cost. The order is by name, as tokens and reports depend on
// it.
func (s *State) expire() {
	if s.Clock < s.nextExpiry {
		return
	}
	s.nextExpiry = math.MaxInt64
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		session := s.Sessions[id]
		expiresAt := s.expiresAt(session, session.TTL)
		if expiresAt <= s.Clock {
			s.endSession(id)
			continue
		}
		s.nextExpiry = min(s.nextExpiry, expiresAt)
		s.expireLeases(session)
	}
}

// expireLeases frees the session's expired leases: a lease may have a shorter TTL than its session.
func (s *State) expireLeases(session *Session) {
	for _, name := range slices.Sorted(maps.Keys(session.Leases)) {
		expiresAt := s.expiresAt(session, s.Leases[name].TTL)
		if expiresAt <= s.Clock {
			s.freeLease(name)
			continue
		}
		s.nextExpiry = min(s.nextExpiry, expiresAt)
	}
}

// discardAcknowledged drops the responses that the client has received.
func (session *Session) discardAcknowledged(through uint64) {
	session.AcknowledgedThrough = max(session.AcknowledgedThrough, min(through, session.LastSequence))
	maps.DeleteFunc(session.Responses, func(sequence uint64, _ Response) bool {
		return sequence <= session.AcknowledgedThrough
	})
}

// rejectDuplicate returns the response to a command that must not be executed: a retry of a command
// that was executed already, or a command beyond the window in which duplicates are recognized.
// Without this check a repeated release could free a lease that was granted later.
func (session *Session) rejectDuplicate(sequence uint64) (Response, bool) {
	if failpoint.IsInjected("command-twice") {
		return Response{}, false
	}
	if response, ok := session.Responses[sequence]; ok {
		return response, true
	}
	if sequence <= session.AcknowledgedThrough {
		text := fmt.Sprintf("command %d was answered, and the answer has come", sequence)
		return Response{Code: CodeSuperseded, Text: text}, true
	}
	if len(session.Responses) >= MaxCachedResponses || sequence > session.AcknowledgedThrough+MaxCachedResponses {
		text := fmt.Sprintf("commands of a session under way: %d at most", MaxCachedResponses)
		return Response{Code: CodeLimitReached, Text: text}, true
	}
	return Response{}, false
}

// storeResponse stores a response until the client acknowledges it.
func (session *Session) storeResponse(sequence uint64, response Response) {
	if session.Responses == nil {
		session.Responses = map[uint64]Response{}
	}
	session.Responses[sequence] = response
	session.LastSequence = max(session.LastSequence, sequence)
}
