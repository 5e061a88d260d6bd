package rollout

import (
	"cmp"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Priorities of permits. Permits of higher priority are evaluated first. PriorityEmergency also
// overrides a halt and an overload.
const (
	PriorityRelease   = 0
	PriorityNormal    = 5
	PriorityEmergency = 9
)

// Stage is the state of a permit.
type Stage string

// The stages.
const (
	// StageWaiting is the stage of a permit that was requested and is not granted.
	StageWaiting Stage = "waiting"
	// StageGranted lasts until OpBeginOutage. Until then the permit can be revoked, because the
	// failure of another target may use up the budget.
	StageGranted Stage = "granted"
	// StageBegun is the stage of a permit whose target is out.
	StageBegun Stage = "begun"
)

// Permit is the permission to take a target out of service, or the request for it.
type Permit struct {
	// ID is unique; later requests have larger IDs.
	ID uint64 `json:"id"`
	// Token is the fencing token that the permit got when it was granted; later tokens are larger.
	// 0 while the permit waits.
	Token uint64 `json:"token,omitempty"`
	// Kind is the kind of the target.
	Kind Kind `json:"kind"`
	// Name is the name of the target.
	Name string `json:"name"`
	// Session is the session of the holder; "" once it has ended. A permit that has begun is kept
	// without a holder.
	Session string `json:"session"`
	// Client is the client name of the holder.
	Client string `json:"client"`
	// Priority is PriorityRelease to PriorityEmergency.
	Priority int `json:"priority"`
	// Purpose is shown to operators.
	Purpose string `json:"why,omitempty"`
	// Stage is the state of the permit.
	Stage Stage `json:"stage"`
	// ExpiresAt is when the permit is dropped unless its outage has begun; 0 means never.
	ExpiresAt time.Duration `json:"until,omitempty"`
	// BegunAt is when the outage began.
	BegunAt time.Duration `json:"began,omitempty"`
	// Incarnation is the incarnation that the target had when the outage began.
	Incarnation string `json:"run,omitempty"`
	// DrainVersion is the version of the first DrainSet that contains the server.
	DrainVersion uint64 `json:"drain,omitempty"`
	// IsDrained reports that no router sends to the server any more.
	IsDrained bool `json:"drained,omitempty"`
	// WaitReason is one sentence for operators on why the permit waits; "" if it does not wait.
	WaitReason string `json:"waits,omitempty"`
}

// target returns the target of the permit.
func (p *Permit) target() targetRef { return targetRef{p.Kind, p.Name} }

// comparePermits orders permits by priority, then by age.
func comparePermits(a, b *Permit) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.ID, b.ID))
}

// permitOfSession returns the permit of a target that the sender's session holds or has requested;
// nil if there is none.
func (s *State) permitOfSession(target targetRef, sender Sender) *Permit {
	if sender.Session == "" {
		return nil
	}
	for _, p := range s.Permits {
		if p.target() == target && p.Session == sender.Session {
			return p
		}
	}
	return nil
}

// permitWithToken returns the permit of a target that the sender's session holds with the token;
// nil if there is none.
func (s *State) permitWithToken(target targetRef, token uint64, sender Sender) *Permit {
	for _, p := range s.Permits {
		if p.target() != target || p.Session != sender.Session {
			continue
		}
		if p.Token == token || failpoint.IsInjected("permit-token-unchecked") {
			return p
		}
	}
	return nil
}

// begunPermit returns the permit under which a target is out; nil if there is none.
func (s *State) begunPermit(target targetRef) *Permit {
	for _, p := range s.Permits {
		if p.target() == target && p.Stage == StageBegun {
			return p
		}
	}
	return nil
}

// removePermits removes the permits that a predicate selects. If a server is out under such a
// permit, this also ends the drain of the server.
func (s *State) removePermits(isSelected func(*Permit) bool) {
	s.Permits = slices.DeleteFunc(s.Permits, func(p *Permit) bool {
		if !isSelected(p) {
			return false
		}
		if p.DrainVersion > 0 {
			s.DrainVersion++
		}
		s.serversChanged = true // the permit may have been the only reason to keep a delisted server
		return true
	})
}

// removePermit removes one permit.
func (s *State) removePermit(permit *Permit) {
	s.removePermits(func(p *Permit) bool { return p == permit })
}

// DrainedServers returns the sorted names of the servers to which routers must send no new
// requests.
func (s *State) DrainedServers() []string {
	names := []string{}
	for _, p := range s.Permits {
		if p.Kind == KindServer && p.Stage == StageBegun {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
