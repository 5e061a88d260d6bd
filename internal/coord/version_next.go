//go:build nextversion

package coord

// Version is one more than the program's, so that tests can play the rolling upgrade to the next one.
const Version = fleetLimitsVersion + 1
