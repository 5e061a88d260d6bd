//go:build nextversion

package coord

// Version is one above that of the normal build, so that tests can run a rolling upgrade to it.
const Version = fleetLimitsVersion + 1
