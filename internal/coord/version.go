//go:build !nextversion

package coord

// Version is the latest version of commands and state that this program supports. Leaders propose
// commands at State.Version, which all coordinators support, until an operator raises it ('members
// upgrade').
const Version = fleetLimitsVersion
