// Package coord is the replicated state machine of the coordinators: sessions, leases with their
// fencing tokens, the state of rollouts and the agreed documents.
//
// It is deterministic. A command changes the state and gives a response by the state and the
// command alone, without I/O and without a clock. Time enters with each command, as what has passed
// on the leader's clock since the leader's command before. Every coordinator applies the same log
// and so comes to the same state, byte for byte (State.Marshal).
//
// docs/agreement-design.md has the proof that rests on it.
package coord
