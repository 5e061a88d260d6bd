package coord

import "dockhinge.example/dockhinge/internal/rollout"

// applyRollout carries out a command of internal/rollout.
func (s *State) applyRollout(c Command, session *Session) Response {
	if response, rejected := s.rejectRollout(c); rejected {
		return response
	}
	if s.Rollout == nil {
		s.Rollout = rollout.New()
	}
	answer := s.Rollout.Apply(*c.Rollout, rollout.From{
		Clock:         s.Clock,
		Session:       c.SessionID,
		Client:        session.Client,
		Opened:        session.OpenedIndex,
		Token:         s.newToken,
		EarlierBounds: s.hasEarlierLimits(),
	})
	return Response{
		Code:      Code(answer.Code),
		Text:      answer.Text,
		Token:     answer.Token,
		Stage:     answer.Stage,
		IsDrained: answer.Drained,
	}
}

// rejectRollout gives the response to a command that is empty or that not all coordinators
// understand at the version in force.
func (s *State) rejectRollout(c Command) (response Response, rejected bool) {
	if s.Version < rolloutVersion {
		return RequiresVersion(s.Version, rolloutVersion), true
	}
	if c.Rollout == nil {
		return invalid("roll: empty"), true
	}
	if s.Version < rolloutSignalVersion {
		view, plan := c.Rollout.View, c.Rollout.Plan
		if view != nil && len(view.Speed) > 0 {
			return invalid("version: %d is in force, and the speed wants 3", s.Version), true
		}
		if plan != nil && plan.Learn > 0 {
			return requiresSignalVersion(s.Version, "learn wants"), true
		}
		if c.Rollout.Quorum > 0 || c.Rollout.Busy > 0 {
			return requiresSignalVersion(s.Version, "quorum and busy want"), true
		}
	}
	return s.AwaitsUpgrade(c)
}

// requiresSignalVersion names the fields for which the version in force is too old. The text is part
// of the replicated state, as older coordinators have it.
func requiresSignalVersion(inForce int, what string) Response {
	return invalid("version: %d is in force, and %s %d: once all coordinators run this program, 'members upgrade'",
		inForce, what, rolloutSignalVersion)
}

// RouterDrains is the set of drained servers and what else routers go by, in the fields that all
// coordinators understand; empty until the first command of internal/rollout.
func (s *State) RouterDrains() rollout.Drains {
	if s.Rollout == nil {
		return rollout.Drains{}
	}
	drains := s.Rollout.ForRouters(s.Clock, s.Version >= rolloutSignalVersion)
	if !s.hasEarlierLimits() {
		drains.MaxSeen = rollout.MaxSeen
	}
	return drains
}

// RolloutVersions are those of the rollout's state and of the set of drained servers, by which
// watchers know that there is something new; 0 until the first command of internal/rollout.
func (s *State) RolloutVersions() (version, drains uint64) {
	if s.Rollout == nil {
		return 0, 0
	}
	return s.Rollout.Version, s.Rollout.Drains
}
