package coord

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// snapshot is what stands in a file: the state with its version and checksum.
type snapshot struct {
	V     int             `json:"v"`
	Sum   uint64          `json:"sum"` // xxHash64 of State
	State json.RawMessage `json:"state"`
}

// Marshal writes the state whole. Equal states give equal bytes.
func (s *State) Marshal() ([]byte, error) {
	kept := *s
	if failpoint.Is("snapshot-without-leases") {
		kept.Leases = map[string]*Lease{}
		kept.Sessions = map[string]*Session{}
	}
	if failpoint.Is("token-reused") {
		kept.LastToken = 0
	}
	body, err := json.Marshal(&kept)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return json.Marshal(snapshot{s.Version, xxhash.Sum64(body), body})
}

// Unmarshal reads a state of this version or an older one, and refuses a damaged one.
func Unmarshal(text []byte) (*State, error) {
	var f snapshot
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if f.V < 1 || f.V > Version {
		return nil, fmt.Errorf("snapshot: version %d, and this program knows 1 to %d", f.V, Version)
	}
	if sum := xxhash.Sum64(bytes.TrimSpace(f.State)); sum != f.Sum {
		return nil, fmt.Errorf("snapshot: its checksum is %x, and %x stands in it: the file is damaged", sum, f.Sum)
	}
	s := New()
	if err := json.Unmarshal(f.State, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.nextExpiry, s.recordBytes = 0, 0
	s.recountDocumentBytes()
	if s.Rollout != nil {
		s.Rollout.RebuildDerived()
	}
	for name, l := range s.Leases {
		s.recordBytes += len(l.Record)
		if s.Sessions[l.SessionID] == nil {
			return nil, fmt.Errorf("snapshot: lease %s is of session %s, which isn't there", name, l.SessionID)
		}
	}
	for id, se := range s.Sessions {
		if se.Leases == nil {
			se.Leases = map[string]bool{}
		}
		for name := range se.Leases {
			if l := s.Leases[name]; l == nil || l.SessionID != id {
				return nil, fmt.Errorf("snapshot: session %s lists lease %s, which it doesn't hold", id, name)
			}
		}
	}
	return s, nil
}
