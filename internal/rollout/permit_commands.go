package rollout

import (
	"time"

	"dockhinge.example/dockhinge/internal/failpoint"
)

// requestPermit is the command that requests a permit, or polls the status of an earlier request.
type requestPermit struct {
	target   targetRef
	priority int
	validFor time.Duration
	purpose  string
}

func (c requestPermit) apply(s *State, sender Sender) Result {
	if s.target(c.target) == nil {
		return invalid("%s: the fleet has none; %s", c.target, s.knownNames(c.target.kind))
	}
	if c.priority < PriorityRelease || c.priority > PriorityEmergency {
		return invalid("priority: %d is not from %d to %d", c.priority, PriorityRelease, PriorityEmergency)
	}
	if c.validFor < 0 || c.validFor > MaxPermitWait || len(c.purpose) > MaxTextBytes {
		return invalid("within: %v is not from 0 to %v, or the reason has over %d bytes",
			c.validFor, MaxPermitWait, MaxTextBytes)
	}
	if c.takeOver(s, sender) {
		return Result{Code: CodeOK}
	}
	if p := s.permitOfSession(c.target, sender); p != nil {
		isUnchanged := p.Priority >= c.priority
		p.Priority = max(p.Priority, c.priority)
		return Result{Code: CodeOK, isUnchanged: isUnchanged}
	}
	if len(s.Permits) >= MaxPermits {
		return limitReached("permits", MaxPermits)
	}
	s.LastPermitID++
	permit := &Permit{
		ID:       s.LastPermitID,
		Kind:     c.target.kind,
		Name:     c.target.name,
		Session:  sender.Session,
		Client:   sender.Client,
		Priority: c.priority,
		Purpose:  c.purpose,
		Stage:    StageWaiting,
	}
	if c.validFor > 0 {
		permit.ExpiresAt = sender.Time + c.validFor
	}
	s.Permits = append(s.Permits, permit)
	return Result{Code: CodeOK}
}

// takeOver assigns to the sender the begun permit of an earlier client of the same name whose
// session has ended. A new token fences off the earlier holder. takeOver reports whether there was
// such a permit.
func (c requestPermit) takeOver(s *State, sender Sender) bool {
	for _, p := range s.Permits {
		isOrphan := p.Stage == StageBegun && p.Session == ""
		if p.target() != c.target || !isOrphan || p.Client != sender.Client {
			continue
		}
		// The sender may have made a new request before the earlier session ended. The permit that
		// is taken over replaces it.
		if request := s.permitOfSession(c.target, sender); request != nil {
			s.removePermit(request)
		}
		p.Session = sender.Session
		p.Token = sender.NextToken()
		p.WaitReason = ""
		return true
	}
	return false
}

// beginOutage is the command that begins the outage of a granted permit.
type beginOutage struct {
	target targetRef
	token  uint64
}

func (c beginOutage) apply(s *State, sender Sender) Result {
	p := s.permitWithToken(c.target, c.token, sender)
	if p == nil {
		return noSuchPermit(c.target, c.token)
	}
	if p.Stage == StageBegun {
		return Result{Code: CodeOK}
	}
	if p.Stage != StageGranted && !failpoint.IsInjected("permit-token-unchecked") {
		return notHeld("the permit was taken back: %s", p.WaitReason)
	}
	p.Stage = StageBegun
	p.BegunAt = sender.Time
	p.WaitReason = ""
	p.Incarnation = s.target(c.target).Incarnation
	if p.Kind == KindServer {
		s.DrainVersion++
		p.DrainVersion = s.DrainVersion
	}
	return Result{Code: CodeOK}
}

// endOutage is the command that returns a permit once its target is back in service.
type endOutage struct {
	target targetRef
	token  uint64
}

func (c endOutage) apply(s *State, sender Sender) Result {
	p := s.permitWithToken(c.target, c.token, sender)
	if p == nil {
		return noSuchPermit(c.target, c.token)
	}
	if p.Stage != StageBegun {
		return notHeld("the permit of %s has not begun: cancel it", c.target)
	}
	if t := s.target(c.target); t != nil {
		t.ChangedAt = sender.Time // slow start begins now
		// A router that still has its earlier session may not have been restarted, or it may have
		// crashed and its session has not expired yet. Either is known after the grace period, so
		// until then the router counts as out.
		if p.Kind == KindRouter && t.Session != "" && t.Incarnation == p.Incarnation {
			t.ChangedAt += max(0, s.GracePeriod-s.slowStart(c.target))
		}
	}
	s.removePermit(p)
	return Result{Code: CodeOK}
}

// cancelPermit is the command that withdraws a permit whose outage has not begun.
type cancelPermit struct {
	target targetRef
	// token only appears in the error text. It is not compared, because a client that did not
	// receive the answer to its request doesn't have it.
	token uint64
}

func (c cancelPermit) apply(s *State, sender Sender) Result {
	p := s.permitOfSession(c.target, sender)
	if p == nil {
		return noSuchPermit(c.target, c.token)
	}
	if p.Stage == StageBegun {
		return invalid("the step of %s has begun: give it back", c.target)
	}
	s.removePermit(p)
	return Result{Code: CodeOK}
}

func noSuchPermit(target targetRef, token uint64) Result {
	return notHeld("no permit of %s with token %d is held by this session", target, token)
}

// clearPermit is the command with which an operator removes a begun permit, whoever holds it.
type clearPermit struct{ target targetRef }

func (c clearPermit) apply(s *State, sender Sender) Result {
	if s.begunPermit(c.target) == nil {
		return invalid("%s: no permit of it is used", c.target)
	}
	if t := s.target(c.target); t != nil {
		t.ChangedAt = sender.Time
	}
	s.removePermits(func(p *Permit) bool { return p.target() == c.target && p.Stage == StageBegun })
	return Result{Code: CodeOK}
}

// forgetTarget is the command with which an operator removes a target that is out of service from
// the fleet.
type forgetTarget struct{ target targetRef }

func (c forgetTarget) apply(s *State, _ Sender) Result {
	t := s.target(c.target)
	if t == nil {
		return invalid("%s: the fleet has none", c.target)
	}
	if t.IsUp || t.Session != "" {
		return invalid("%s: it is there; only what isn't can be forgotten", c.target)
	}
	if s.begunPermit(c.target) != nil {
		return invalid("%s: a permit of it is used: clear that first", c.target)
	}
	if c.target.kind == KindServer {
		s.removeServer(c.target.name)
	} else {
		delete(s.Routers, c.target.name)
	}
	s.removePermits(func(p *Permit) bool { return p.target() == c.target })
	return Result{Code: CodeOK}
}
