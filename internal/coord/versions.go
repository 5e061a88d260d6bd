package coord

// The versions of commands from which on a part of the state machine exists. While a rolling upgrade
// is under way an older coordinator applies the same log: a command that it doesn't know must be
// rejected by all alike, or the states differ from there on.
const (
	rolloutVersion       = 2 // internal/rollout
	rolloutSignalVersion = 3 // response times, learning periods, ejection quorum and load limit in it
	fleetLimitsVersion   = 4 // today's limits of all tables; an older program has lower ones

	// DocumentVersion is the one from which on there are agreed documents.
	DocumentVersion = 4
)

// hasEarlierLimits reports whether the limits of an older program are in force.
func (s *State) hasEarlierLimits() bool { return s.Version < fleetLimitsVersion }

// AwaitsUpgrade reports whether a command needs a later version than the one in force, because an
// older program doesn't know it or has lower limits, and gives the response to it. A leader keeps
// such a command out of the log, as an older coordinator would reject it in other words.
func (s *State) AwaitsUpgrade(c Command) (response Response, awaits bool) {
	needed := s.neededVersion(c)
	if s.Version >= needed {
		return Response{}, false
	}
	return RequiresVersion(s.Version, needed), true
}

// neededVersion is the lowest version at which every coordinator applies the command alike.
func (s *State) neededVersion(c Command) int {
	if c.Op == OpPutDocument {
		return DocumentVersion
	}
	if c.Op != OpRollout || c.Rollout == nil {
		return 1
	}
	isRolloutKnown := s.Version >= rolloutVersion
	if isRolloutKnown && s.hasEarlierLimits() && c.Rollout.ExceedsLegacyLimits() {
		return fleetLimitsVersion
	}
	return rolloutVersion
}

// RequiresVersion is the response to a command that not all coordinators understand yet.
func RequiresVersion(inForce, needed int) Response {
	return invalid("version: %d is in force, and this wants %d: "+
		"once all coordinators run this program, 'members upgrade'", inForce, needed)
}
