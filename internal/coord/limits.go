package coord

import (
	"fmt"
	"time"
)

// The limits of all tables and fields.
const (
	// MaxSessions has space for 5,100 routers and over half as many again, for tools and for
	// processes that were replaced and whose sessions have not expired yet.
	MaxSessions = 8192
	MaxLeases   = 8192

	// MaxCachedResponses are kept of a session, for commands that are sent again. A client has at
	// most so many in flight.
	MaxCachedResponses = 32

	MaxNameBytes        = 128     // of a session's, client's or lease's name
	MaxPurposeBytes     = 256     // of one lease
	MaxRecordBytes      = 4096    // of one lease
	MaxTotalRecordBytes = 8 << 20 // of all leases

	MinTTL = time.Second     // of sessions and leases
	MaxTTL = 5 * time.Minute // of sessions and leases

	MaxClockRateBound     = 0.1  // a share of the rate
	DefaultClockRateBound = 0.01 // a share of the rate
)

// earlierMaxSessions holds before fleetLimitsVersion is in force.
const earlierMaxSessions = 4096

// checkName says what is wrong with a name in a command's field, or "".
func checkName(field, name string) string {
	if name == "" {
		return field + ": empty"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("%s: %d bytes, at most %d", field, len(name), MaxNameBytes)
	}
	return ""
}

// maxSessions is the limit in force.
func (s *State) maxSessions() int {
	if s.hasEarlierLimits() {
		return earlierMaxSessions
	}
	return MaxSessions
}
