package coord

import (
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Op is the operation that a command carries out.
type Op string

// Operations, with the fields of Command that each uses. Coordinators propose OpTick,
// OpSetClockRate, OpUpgrade and OpRaiseTokens; all other operations come from a client's session.
const (
	OpTick         Op = "tick"      // Elapsed only
	OpSetClockRate Op = "configure" // ClockRateBound
	OpUpgrade      Op = "upgrade"   // raises State.Version to TargetVersion
	OpRaiseTokens  Op = "raise"     // raises LastToken to Token; after the permanent loss of a majority
	OpOpenSession  Op = "open"      // SessionID, Client, TTL
	OpKeepAlive    Op = "keep"      // SessionID; extends the session and all its leases
	OpCloseSession Op = "close"     // SessionID; also frees the session's leases
	OpAcquire      Op = "acquire"   // Lease, TTL, Purpose; if the session already holds it, returns the same token
	OpRelease      Op = "release"   // Lease, Token
	OpTransfer     Op = "handover"  // Lease, Token, Successor
	OpWriteRecord  Op = "write"     // Lease, Token, Record
	OpRollout      Op = "roll"      // Rollout; requires rolloutVersion
	OpPutDocument  Op = "put"       // Document; requires DocumentVersion
)

// IsInternal reports whether only coordinators may propose the operation.
func (op Op) IsInternal() bool {
	switch op {
	case OpTick, OpSetClockRate, OpUpgrade, OpRaiseTokens:
		return true
	}
	return false
}

// Command is one entry of the replicated log. Durations are stored in nanoseconds.
type Command struct {
	// Version is the version of the command's format. The leader sets it to the version in force.
	Version int `json:"v"`
	Op      Op  `json:"op"`

	// Term is the term of the leader that measured Elapsed.
	Term uint64 `json:"term,omitempty"`
	// Elapsed is the time on that leader's clock since its previous command.
	Elapsed time.Duration `json:"advance,omitempty"`

	SessionID string `json:"session,omitempty"`
	// Sequence numbers the session's commands from 1. Open, keep-alive and close commands have
	// none.
	Sequence uint64 `json:"seq,omitempty"`
	// AcknowledgedThrough is the sequence number up to which the client has received all responses.
	AcknowledgedThrough uint64 `json:"acked,omitempty"`

	Client    string `json:"client,omitempty"`
	Lease     string `json:"lease,omitempty"`
	Purpose   string `json:"purpose,omitempty"`
	Successor string `json:"to,omitempty"` // client name

	TTL   time.Duration `json:"ttl,omitempty"`
	Token uint64        `json:"token,omitempty"`

	// ClockRateBound is the maximum fraction by which any clock may run fast or slow.
	ClockRateBound float64 `json:"rate,omitempty"`
	TargetVersion  int     `json:"version,omitempty"`
	Record         []byte  `json:"record,omitempty"`

	Rollout  *rollout.Command `json:"roll,omitempty"`
	Document *DocumentPut     `json:"document,omitempty"`
}
