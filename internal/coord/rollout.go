package coord

import "dockhinge.example/dockhinge/internal/rollout"

// applyRollout executes a command of internal/rollout.
func (s *State) applyRollout(c Command, session *Session) Response {
	if response, rejected := s.rejectRollout(c); rejected {
		return response
	}
	if s.Rollout == nil {
		s.Rollout = rollout.New()
	}
	result := s.Rollout.Apply(*c.Rollout, rollout.Sender{
		Time:             s.Clock,
		Session:          c.SessionID,
		Client:           session.Client,
		SessionOrder:     session.OpenedIndex,
		NextToken:        s.newToken,
		UsesLegacyLimits: s.hasLegacyLimits(),
	})
	return Response{
		Code:      Code(result.Code),
		Text:      result.Text,
		Token:     result.Token,
		Stage:     result.Stage,
		IsDrained: result.IsDrained,
	}
}

// rejectRollout returns the response to a command that is empty or that not all coordinators
// support at the version in force.
func (s *State) rejectRollout(c Command) (response Response, rejected bool) {
	if s.Version < rolloutVersion {
		return upgradeRequiredResponse(s.Version, rolloutVersion), true
	}
	if c.Rollout == nil {
		return invalidResponse("roll: empty"), true
	}
	if s.Version < rolloutSignalVersion {
		report := c.Rollout.Report
		plan := c.Rollout.Plan
		if report != nil && len(report.LatencyCounts) > 0 {
			return invalidResponse("version: %d is in force, and the speed wants 3", s.Version), true
		}
		if plan != nil && plan.LearnTime > 0 {
			return signalVersionResponse(s.Version, "learn wants"), true
		}
		if c.Rollout.EjectionQuorum > 0 || c.Rollout.OverloadShare > 0 {
			return signalVersionResponse(s.Version, "quorum and busy want"), true
		}
	}
	return s.RequiresUpgrade(c)
}

// signalVersionResponse returns the response to a command whose fields (what) require a later
// version. The text is part of the replicated state and must equal that of older coordinators.
func signalVersionResponse(inForce int, what string) Response {
	return invalidResponse(
		"version: %d is in force, and %s %d: once all coordinators run this program, 'members upgrade'",
		inForce, what, rolloutSignalVersion)
}

// RouterDrains returns the set of drained servers and the other settings that routers follow, in
// the fields that all coordinators support. It is empty until the first rollout command.
func (s *State) RouterDrains() rollout.DrainSet {
	if s.Rollout == nil {
		return rollout.DrainSet{}
	}
	drains := s.Rollout.DrainSet(s.Clock, s.Version >= rolloutSignalVersion)
	if !s.hasLegacyLimits() {
		drains.MaxReportedServers = rollout.MaxReportedServers
	}
	return drains
}

// RolloutVersions returns the versions of the rollout's state and of the set of drained servers, by
// which watchers detect changes. Both are 0 until the first rollout command.
func (s *State) RolloutVersions() (version, drains uint64) {
	if s.Rollout == nil {
		return 0, 0
	}
	return s.Rollout.Version, s.Rollout.DrainVersion
}
