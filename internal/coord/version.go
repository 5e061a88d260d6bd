//go:build !nextversion

package coord

// Version is the newest version of commands and state that this program understands. Commands are
// proposed at the version that all coordinators understand, State.Version, until an operator raises
// it (members upgrade).
const Version = fleetLimitsVersion
