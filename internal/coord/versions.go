package coord

// The command versions that introduced parts of the state machine. During a rolling
// upgrade, older coordinators apply the same log: all coordinators must reject a command that an
// older program doesn't support, or their states diverge.
const (
	rolloutVersion       = 2 // commands of internal/rollout
	rolloutSignalVersion = 3 // its response times, learning periods, ejection quorum and load limit
	fleetLimitsVersion   = 4 // the current limits of all tables; older programs have lower ones

	// DocumentVersion is the version that introduced agreed documents.
	DocumentVersion = 4
)

// hasLegacyLimits reports whether the limits of an older program are in force.
func (s *State) hasLegacyLimits() bool { return s.Version < fleetLimitsVersion }

// RequiresUpgrade reports whether a command requires a later version than the one in force, because
// an older program doesn't support it or has lower limits, and returns the response to it. A leader
// keeps such a command out of the log, as an older coordinator would reject it with another text.
func (s *State) RequiresUpgrade(c Command) (response Response, isRequired bool) {
	needed := s.requiredVersion(c)
	if s.Version >= needed {
		return Response{}, false
	}
	return upgradeRequiredResponse(s.Version, needed), true
}

// requiredVersion returns the lowest version at which every coordinator applies the command alike.
func (s *State) requiredVersion(c Command) int {
	if c.Op == OpPutDocument {
		return DocumentVersion
	}
	if c.Op != OpRollout || c.Rollout == nil {
		return 1
	}
	isRolloutKnown := s.Version >= rolloutVersion
	if isRolloutKnown && s.hasLegacyLimits() && c.Rollout.ExceedsLegacyLimits() {
		return fleetLimitsVersion
	}
	return rolloutVersion
}

// upgradeRequiredResponse returns the response to a command that not all coordinators support yet.
func upgradeRequiredResponse(inForce, needed int) Response {
	return invalidResponse("version: %d is in force, and this wants %d: "+
		"once all coordinators run this program, 'members upgrade'", inForce, needed)
}
