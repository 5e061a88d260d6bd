package coord

import (
	"time"

	"dockhinge.example/dockhinge/internal/rollout"
)

// Op says what a command does.
type Op string

// The operations. OpTick, OpSetClockRate, OpUpgrade and OpRaiseTokens are proposed by coordinators;
// all others come from a client's session.
const (
	OpTick         Op = "tick"      // only Elapsed
	OpSetClockRate Op = "configure" // ClockRateBound
	OpUpgrade      Op = "upgrade"   // raises the commands' version to TargetVersion
	OpRaiseTokens  Op = "raise"     // all later tokens lie above Token: after a majority was lost for good
	OpOpenSession  Op = "open"      // SessionID, Client, TTL
	OpKeepAlive    Op = "keep"      // keeps the session and all its leases alive
	OpCloseSession Op = "close"     // frees the session's leases too
	OpAcquire      Op = "acquire"   // Lease, TTL, Purpose; the holder gets its token again
	OpRelease      Op = "release"   // Lease, Token
	OpTransfer     Op = "handover"  // Lease, Token, Successor
	OpWriteRecord  Op = "write"     // Lease, Token, Record
	OpRollout      Op = "roll"      // Rollout, from rolloutVersion on
	OpPutDocument  Op = "put"       // Document, from DocumentVersion on
)

// IsInternal reports whether only coordinators propose the operation.
func (op Op) IsInternal() bool {
	switch op {
	case OpTick, OpSetClockRate, OpUpgrade, OpRaiseTokens:
		return true
	}
	return false
}

// Command is one entry of the replicated log. Durations are stored in nanoseconds.
type Command struct {
	// Version is that of the command's form. The leader sets it to the version in force.
	Version int `json:"v"`
	Op      Op  `json:"op"`

	// Term is that of the leader that measured Elapsed.
	Term uint64 `json:"term,omitempty"`
	// Elapsed has passed on that leader's clock since its command before.
	Elapsed time.Duration `json:"advance,omitempty"`

	SessionID string `json:"session,omitempty"`
	// Sequence numbers the session's commands from 1, but not open, keep-alive and close.
	Sequence uint64 `json:"seq,omitempty"`
	// AcknowledgedThrough says that the client has the responses through this sequence number.
	AcknowledgedThrough uint64 `json:"acked,omitempty"`

	Client    string `json:"client,omitempty"`
	Lease     string `json:"lease,omitempty"`
	Purpose   string `json:"purpose,omitempty"`
	Successor string `json:"to,omitempty"` // a client's name

	TTL   time.Duration `json:"ttl,omitempty"`
	Token uint64        `json:"token,omitempty"`

	// ClockRateBound is the share by which any clock may be fast or slow.
	ClockRateBound float64 `json:"rate,omitempty"`
	TargetVersion  int     `json:"version,omitempty"`
	Record         []byte  `json:"record,omitempty"`

	Rollout  *rollout.Command `json:"roll,omitempty"`
	Document *DocumentPut     `json:"document,omitempty"`
}
