package coord

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// snapshot is the stored form of a state.
type snapshot struct {
	Version  int             `json:"v"`
	Checksum uint64          `json:"sum"` // xxHash64 of State
	State    json.RawMessage `json:"state"`
}

// Marshal encodes the state. Equal states give equal bytes.
func (s *State) Marshal() ([]byte, error) {
	stored := *s
	if failpoint.IsInjected("snapshot-without-leases") {
		stored.Leases = map[string]*Lease{}
		stored.Sessions = map[string]*Session{}
	}
	if failpoint.IsInjected("token-reused") {
		stored.LastToken = 0
	}
	body, err := json.Marshal(&stored)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return json.Marshal(snapshot{Version: s.Version, Checksum: xxhash.Sum64(body), State: body})
}

// Unmarshal decodes a state of this version or an older one. It returns an error if the data is
// damaged or its version is unknown; a coordinator must not start from such a snapshot.
func Unmarshal(text []byte) (*State, error) {
	var stored snapshot
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if stored.Version < 1 || stored.Version > Version {
		return nil, fmt.Errorf("snapshot: version %d, this program supports 1 to %d", stored.Version, Version)
	}
	if sum := xxhash.Sum64(bytes.TrimSpace(stored.State)); sum != stored.Checksum {
		return nil, fmt.Errorf("snapshot: checksum %x, want %x: the file is damaged",
			sum, stored.Checksum)
	}
	s := New()
	if err := json.Unmarshal(stored.State, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if err := s.linkLeases(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.nextExpiry = 0 // unknown: the next command scans all sessions
	s.recountDocumentBytes()
	if s.Rollout != nil {
		s.Rollout.RebuildDerived()
	}
	return s, nil
}

// linkLeases checks that sessions and leases refer to each other, and counts the record bytes. A
// lease without a session would never expire.
func (s *State) linkLeases() error {
	s.recordBytes = 0
	for name, lease := range s.Leases {
		s.recordBytes += len(lease.Record)
		if s.Sessions[lease.SessionID] == nil {
			return fmt.Errorf("lease %s belongs to session %s, which does not exist", name, lease.SessionID)
		}
	}
	for id, session := range s.Sessions {
		if session.Leases == nil {
			session.Leases = map[string]bool{}
		}
		for name := range session.Leases {
			if lease := s.Leases[name]; lease == nil || lease.SessionID != id {
				return fmt.Errorf("session %s lists lease %s, which it doesn't hold", id, name)
			}
		}
	}
	return nil
}
