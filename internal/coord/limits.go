package coord

import (
	"fmt"
	"time"
)

// Limits of all tables and fields.
const (
	// MaxSessions allows for 5,100 routers and over half as many again: tools, and replaced
	// processes whose sessions have not expired yet.
	MaxSessions = 8192
	MaxLeases   = 8192

	// MaxCachedResponses is the number of responses kept per session for retried commands, and
	// thereby the maximum number of commands that a client has in flight.
	MaxCachedResponses = 32

	MaxNameBytes        = 128     // of the name of a session, client or lease
	MaxPurposeBytes     = 256     // of one lease
	MaxRecordBytes      = 4096    // of one lease
	MaxTotalRecordBytes = 8 << 20 // of all leases

	MinTTL = time.Second     // of sessions and leases
	MaxTTL = 5 * time.Minute // of sessions and leases

	MaxClockRateBound     = 0.1  // fraction of the rate
	DefaultClockRateBound = 0.01 // fraction of the rate
)

// legacyMaxSessions is the limit before fleetLimitsVersion is in force.
const legacyMaxSessions = 4096

// checkName returns what is wrong with the name in a command's field, or "".
func checkName(field, name string) string {
	if name == "" {
		return field + ": empty"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("%s: %d bytes, at most %d", field, len(name), MaxNameBytes)
	}
	return ""
}

// maxSessions returns the limit in force.
func (s *State) maxSessions() int {
	if s.hasLegacyLimits() {
		return legacyMaxSessions
	}
	return MaxSessions
}
