package coord

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Lease is a lease that a session holds.
type Lease struct {
	SessionID string        `json:"session"`
	Token     uint64        `json:"token"` // fencing token; higher than the token of any previous holder
	TTL       time.Duration `json:"ttl"`   // at most the session's TTL
	Purpose   string        `json:"purpose,omitempty"`
	Record    []byte        `json:"record,omitempty"`
	// RecordWrittenAt is the value of State.Clock when Record was written.
	RecordWrittenAt time.Duration `json:"written,omitempty"`
	// AcquireSequence is the sequence number of the holder's most recent acquire command.
	AcquireSequence uint64 `json:"asked"`
}

func (l *Lease) clone() *Lease {
	c := *l
	c.Record = slices.Clone(l.Record)
	return &c
}

func (s *State) acquire(c Command, session *Session) Response {
	if c.TTL < MinTTL || c.TTL > session.TTL {
		return invalidResponse("ttl: %v is not between %v and the session's %v", c.TTL, MinTTL, session.TTL)
	}
	if len(c.Purpose) > MaxPurposeBytes {
		return invalidResponse("purpose: %d bytes, at most %d", len(c.Purpose), MaxPurposeBytes)
	}
	if lease := s.Leases[c.Lease]; lease != nil {
		return s.acquireHeld(c, lease)
	}
	if len(s.Leases) >= MaxLeases {
		return Response{Code: CodeLimitReached, Text: fmt.Sprintf("leases: %d at most", MaxLeases)}
	}
	token := s.newToken()
	s.assignLease(c.Lease, &Lease{
		SessionID:       c.SessionID,
		Token:           token,
		TTL:             c.TTL,
		Purpose:         c.Purpose,
		AcquireSequence: c.Sequence,
	})
	return Response{Code: CodeOK, Token: token, Holder: session.Client}
}

// acquireHeld confirms a held lease to its holder. Any other session gets CodeHeld with the holder.
func (s *State) acquireHeld(c Command, lease *Lease) Response {
	if lease.SessionID == c.SessionID {
		lease.AcquireSequence = c.Sequence
		return Response{Code: CodeOK, Token: lease.Token, Holder: s.holderName(lease)}
	}
	response := Response{Code: CodeHeld, Token: lease.Token, Holder: s.holderName(lease)}
	if holder := s.Sessions[lease.SessionID]; holder != nil {
		response.ExpiresIn = s.expiresAt(holder, lease.TTL) - s.Clock
	}
	response.Text = fmt.Sprintf("lease %s is held by %s", c.Lease, response.Holder)
	return response
}

// holderName returns the name of the client that holds the lease, or "".
func (s *State) holderName(l *Lease) string {
	if session := s.Sessions[l.SessionID]; session != nil {
		return session.Client
	}
	return ""
}

// assignLease makes an existing session the holder of a lease.
func (s *State) assignLease(name string, lease *Lease) {
	session := s.Sessions[lease.SessionID]
	s.Leases[name] = lease
	session.Leases[name] = true
	s.nextExpiry = min(s.nextExpiry, s.expiresAt(session, lease.TTL))
	s.changedLeases = append(s.changedLeases, name)
}

// freeLease removes a lease from its holder.
func (s *State) freeLease(name string) {
	lease := s.Leases[name]
	if session := s.Sessions[lease.SessionID]; session != nil {
		delete(session.Leases, name)
	}
	s.recordBytes -= len(lease.Record)
	delete(s.Leases, name)
	s.changedLeases = append(s.changedLeases, name)
}

// executeAsHolder executes a command that requires the lease and its current token.
func (s *State) executeAsHolder(c Command) Response {
	lease := s.Leases[c.Lease]
	if lease == nil || !holds(c, lease) {
		text := fmt.Sprintf("lease %s is not held by this session with token %d", c.Lease, c.Token)
		response := Response{Code: CodeNotHeld, Text: text}
		if lease != nil {
			response.Token = lease.Token
			response.Holder = s.holderName(lease)
		}
		return response
	}
	if c.Op == OpWriteRecord {
		return s.writeRecord(c, lease)
	}
	// A release may be overtaken on the network by an acquire of the same session. It would free
	// the lease that the acquire confirmed while the client still acts on it.
	if c.Sequence < lease.AcquireSequence && !failpoint.IsInjected("release-overtaken") {
		return Response{Code: CodeSuperseded, Text: fmt.Sprintf("lease %s was asked for again since", c.Lease)}
	}
	if c.Op == OpTransfer {
		return s.transferLease(c, lease)
	}
	s.freeLease(c.Lease)
	return Response{Code: CodeOK, Token: lease.Token}
}

// holds reports whether the command's session holds the lease with the command's token.
func holds(c Command, lease *Lease) bool {
	if lease.SessionID != c.SessionID {
		return false
	}
	isTokenUnchecked := c.Op == OpWriteRecord && failpoint.IsInjected("token-unchecked")
	return lease.Token == c.Token || isTokenUnchecked
}

func (s *State) writeRecord(c Command, lease *Lease) Response {
	if len(c.Record) > MaxRecordBytes {
		return invalidResponse("record: %d bytes, at most %d", len(c.Record), MaxRecordBytes)
	}
	growth := len(c.Record) - len(lease.Record)
	if s.recordBytes+growth > MaxTotalRecordBytes {
		return Response{Code: CodeLimitReached, Text: fmt.Sprintf("records: %d bytes at most", MaxTotalRecordBytes)}
	}
	s.recordBytes += growth
	lease.Record = slices.Clone(c.Record)
	lease.RecordWrittenAt = s.Clock
	s.changedLeases = append(s.changedLeases, c.Lease)
	return Response{Code: CodeOK, Token: lease.Token}
}

// transferLease gives a lease to another client under a new token.
func (s *State) transferLease(c Command, lease *Lease) Response {
	successorID := s.newestSession(c.Successor)
	successor := s.Sessions[successorID]
	if successor == nil {
		text := fmt.Sprintf("client %s has no session: lease %s stays", c.Successor, c.Lease)
		return Response{Code: CodeNoClient, Text: text}
	}
	if lease.TTL > successor.TTL {
		return invalidResponse("ttl: the session of %s lasts %v, and lease %s %v",
			c.Successor, successor.TTL, c.Lease, lease.TTL)
	}
	if s.expiresAt(successor, lease.TTL) <= s.Clock {
		text := fmt.Sprintf("client %s has been silent for too long: lease %s stays", c.Successor, c.Lease)
		return Response{Code: CodeNoClient, Text: text}
	}
	transferred := *lease
	transferred.SessionID = successorID
	transferred.Token = s.newToken()
	transferred.AcquireSequence = 0
	delete(s.Sessions[lease.SessionID].Leases, c.Lease)
	s.assignLease(c.Lease, &transferred)
	return Response{Code: CodeOK, Token: transferred.Token, Holder: c.Successor}
}

// newestSession returns the id of the client's most recently opened session, or "".
func (s *State) newestSession(client string) string {
	newest := ""
	for id, session := range s.Sessions {
		if session.Client != client {
			continue
		}
		if newest == "" || session.OpenedIndex > s.Sessions[newest].OpenedIndex {
			newest = id
		}
	}
	return newest
}

// LeaseStatus describes one lease in a list.
type LeaseStatus struct {
	Lease  string        `json:"lease"`
	Holder string        `json:"holder"` // client name
	Token  uint64        `json:"token"`
	TTL    time.Duration `json:"ttl"`
	// Remaining is the time on the coordinators' clock until the lease expires unless it is kept
	// alive.
	Remaining time.Duration `json:"left"`
	Purpose   string        `json:"purpose,omitempty"`
	Record    []byte        `json:"record,omitempty"`
	// RecordAge is the age of Record on the coordinators' clock, which lags by the time since the
	// most recently applied command.
	RecordAge time.Duration `json:"age,omitempty"`
}

// ListLeases returns the leases whose names match, sorted by name.
func (s *State) ListLeases(match func(name string) bool) []LeaseStatus {
	list := []LeaseStatus{}
	for name, lease := range s.Leases {
		if !match(name) {
			continue
		}
		list = append(list, LeaseStatus{
			Lease:     name,
			Holder:    s.holderName(lease),
			Token:     lease.Token,
			TTL:       lease.TTL,
			Remaining: s.expiresAt(s.Sessions[lease.SessionID], lease.TTL) - s.Clock,
			Purpose:   lease.Purpose,
			Record:    lease.Record,
			RecordAge: s.Clock - lease.RecordWrittenAt,
		})
	}
	slices.SortFunc(list, func(a, b LeaseStatus) int { return cmp.Compare(a.Lease, b.Lease) })
	return list
}
