package rollout

import (
	"cmp"
	"slices"
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// Priorities of permits. A higher one is weighed first; PriorityEmergency also passes a halt and an
// overload.
const (
	PriorityRelease   = 0
	PriorityNormal    = 5
	PriorityEmergency = 9
)

// Stage is how far a permit is.
type Stage string

// The stages.
const (
	StageWaiting Stage = "waiting"
	// StageGranted lasts until OpBeginOutage. Until then the permit can be revoked: a failure
	// elsewhere may need its place in the budgets.
	StageGranted Stage = "granted"
	StageBegun   Stage = "begun"
)

// Permit is the permission to take a target out, or the request for it.
type Permit struct {
	// ID is unique; the larger, the later was the request.
	ID uint64 `json:"id"`
	// Token is the fencing token that came with StageGranted; the larger, the later. 0 while the
	// permit waits.
	Token uint64 `json:"token,omitempty"`
	// Kind is that of the target.
	Kind Kind `json:"kind"`
	// Name is that of the target.
	Name string `json:"name"`
	// Session is the holder's; "" once it has ended. A permit that has begun then stays in use.
	Session string `json:"session"`
	// Client is the holder's name.
	Client string `json:"client"`
	// Priority is PriorityRelease to PriorityEmergency.
	Priority int `json:"priority"`
	// Purpose is shown to operators.
	Purpose string `json:"why,omitempty"`
	// Stage is how far the permit is.
	Stage Stage `json:"stage"`
	// ExpiresAt is when a permit that has not begun is dropped; 0 is never.
	ExpiresAt time.Duration `json:"until,omitempty"`
	// BegunAt is when the outage began.
	BegunAt time.Duration `json:"began,omitempty"`
	// Incarnation is the target's when the outage began.
	Incarnation string `json:"run,omitempty"`
	// DrainVersion is the version of the DrainSet from which on the server is in it.
	DrainVersion uint64 `json:"drain,omitempty"`
	// IsDrained tells that no router sends to the server any more.
	IsDrained bool `json:"drained,omitempty"`
	// WaitReason is why the permit does not go on, in one sentence for operators; "" if it does.
	WaitReason string `json:"waits,omitempty"`
}

// target is the target that the permit takes out.
func (p *Permit) target() targetRef { return targetRef{p.Kind, p.Name} }

// comparePermits orders permits as they are weighed: by priority, then by age.
func comparePermits(a, b *Permit) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.ID, b.ID))
}

// permitOfSession is the permit that the sender's session has of a target, or nil.
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

// permitWithToken is the permit of a target that the sender's session holds with the token, or nil.
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

// begunPermit is the permit of a target that has begun, or nil.
func (s *State) begunPermit(target targetRef) *Permit {
	for _, p := range s.Permits {
		if p.target() == target && p.Stage == StageBegun {
			return p
		}
	}
	return nil
}

// removePermits removes the permits that a predicate selects, and with one that has begun the drain
// of its server.
func (s *State) removePermits(isSelected func(*Permit) bool) {
	s.Permits = slices.DeleteFunc(s.Permits, func(p *Permit) bool {
		if !isSelected(p) {
			return false
		}
		if p.DrainVersion > 0 {
			s.DrainVersion++
		}
		s.serversChanged = true // a server that only its permit kept may be removed
		return true
	})
}

// removePermit removes one permit.
func (s *State) removePermit(permit *Permit) {
	s.removePermits(func(p *Permit) bool { return p == permit })
}

// DrainedServers are the servers to which routers send nothing new, sorted.
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
