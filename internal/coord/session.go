package coord

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Session is what a client's process has with the coordinators. It ends when it is closed or when
// no command of it came for its TTL (see ExpiryDelay); its leases end with it.
type Session struct {
	Client string        `json:"client"` // name of the client; several sessions may have the same
	TTL    time.Duration `json:"ttl"`
	// KeptAliveAt is the instant of State.Clock at which the newest command of the session came.
	KeptAliveAt time.Duration `json:"kept"`
	// OpenedIndex is State.AppliedCommands at the opening: it tells which of two sessions is newer.
	OpenedIndex uint64 `json:"opened"`
	// LastSequence is the highest sequence number that was carried out.
	LastSequence uint64 `json:"top"`
	// AcknowledgedThrough is the sequence number through which the client has all responses.
	AcknowledgedThrough uint64 `json:"acked"`
	// Responses are those that the client may still ask for, by sequence number.
	Responses map[uint64]Response `json:"said,omitempty"`
	Leases    map[string]bool     `json:"leases,omitempty"` // names of those it holds
}

func (session *Session) clone() *Session {
	c := *session
	c.Responses = maps.Clone(session.Responses)
	c.Leases = maps.Clone(session.Leases)
	return &c
}

// ExpiryDelay is how long coordinators wait, on State.Clock, before they take back what was granted
// for ttl. On the holder's clock, which may be slow by the bound while the coordinators' is fast by
// it, ttl has passed by then, and the holder has stopped acting. With less, a slow holder and its
// successor would act at once.
func (s *State) ExpiryDelay(ttl time.Duration) time.Duration {
	if failpoint.Is("rate-ignored") {
		return ttl
	}
	return time.Duration(math.Ceil(float64(ttl)*(1+s.ClockRateBound)/(1-s.ClockRateBound))) + 1
}

// expiresAt is the instant of State.Clock at which what the session has for ttl expires, unless it
// is kept alive.
func (s *State) expiresAt(session *Session, ttl time.Duration) time.Duration {
	return session.KeptAliveAt + s.ExpiryDelay(ttl)
}

// RejectsSession reports whether a session with this id can't be opened now, as the table is full.
// It changes nothing, so that a leader can reject without writing to the log.
func (s *State) RejectsSession(id string) (response Response, rejected bool) {
	limit := s.maxSessions()
	if s.Sessions[id] != nil || len(s.Sessions) < limit {
		return Response{}, false
	}
	return Response{Code: CodeLimitReached, Text: fmt.Sprintf("sessions: %d at most", limit)}, true
}

func (s *State) openSession(c Command) Response {
	if problem := checkName("session", c.SessionID); problem != "" {
		return invalid("%s", problem)
	}
	if problem := checkName("client", c.Client); problem != "" {
		return invalid("%s", problem)
	}
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return invalid("ttl: %v is not between %v and %v", c.TTL, MinTTL, MaxTTL)
	}
	if session := s.Sessions[c.SessionID]; session != nil { // the command was sent again
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

// endSession removes a session that is there, and frees its leases.
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

// expire takes back what was not kept alive. It looks at all sessions only once nextExpiry has come,
// which a kept-alive session moves by at least a third of a TTL: the cost is bounded by the
// keep-alives. The order is that of names, as tokens and reports depend on it.
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

// expireLeases takes back the session's leases whose TTL is shorter than the session's.
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

// forgetAcknowledged drops the responses that the client has.
func (session *Session) forgetAcknowledged(through uint64) {
	session.AcknowledgedThrough = max(session.AcknowledgedThrough, min(through, session.LastSequence))
	maps.DeleteFunc(session.Responses, func(sequence uint64, _ Response) bool {
		return sequence <= session.AcknowledgedThrough
	})
}

// rejectDuplicate gives the response to a command that must not be carried out: it was carried out
// before, and a client that didn't get the response has sent it again, or it lies beyond the window
// in which duplicates are recognised. Without this a repeated release would take back a later grant.
func (session *Session) rejectDuplicate(sequence uint64) (Response, bool) {
	if failpoint.Is("command-twice") {
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

// remember keeps a response until the client acknowledges it.
func (session *Session) remember(sequence uint64, response Response) {
	if session.Responses == nil {
		session.Responses = map[uint64]Response{}
	}
	session.Responses[sequence] = response
	session.LastSequence = max(session.LastSequence, sequence)
}
