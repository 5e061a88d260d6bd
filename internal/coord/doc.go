// Package coord is the replicated state machine of the coordinators: sessions, leases with their
// fencing tokens, the state of rollouts and the agreed documents.
//
// The state machine is deterministic. The new state and the response depend on the state and the
// command alone; there is no I/O and no clock. Each command carries the time that has passed on the
// leader's clock since that leader's previous command. Every coordinator applies the same log and
// reaches the same state, byte for byte (State.Marshal).
//
// docs/agreement-design.md has the correctness proof, which depends on these properties.
package coord
