//go:build !nextversion

package coord

// Version is the latest version of commands and state that this program supports. Leaders propose
// commands at State.Version, which all coordinators support. An operator raises it with 'members
// upgrade'.
const Version = fleetLimitsVersion
