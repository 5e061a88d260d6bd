package node

import (
	"github.com/hashicorp/raft"

	"dockhinge.example/dockhinge/internal/coord"
)

// stateWaiting is the Status.State of a coordinator that belongs to no group yet.
const stateWaiting = "Waiting"

// Status describes a coordinator, for operators and metrics.
type Status struct {
	Name             string   `json:"name"`
	Identity         string   `json:"identity"`
	ListenAddress    string   `json:"listen"` // for the other coordinators
	State            string   `json:"state"`  // Leader, Follower, Candidate or Waiting
	Leader           string   `json:"leader"`
	Term             uint64   `json:"term"`
	LastLogIndex     uint64   `json:"last"`
	AppliedIndex     uint64   `json:"applied"`     // log index of the most recently applied command
	Lag              uint64   `json:"lag"`         // committed entries that are not applied yet
	CommandVersion   int      `json:"version"`     // the version in force
	SupportedVersion int      `json:"understands"` // the latest version of commands that this program supports
	Epoch            uint64   `json:"epoch"`       // of the directory
	Sessions         int      `json:"sessions"`    // open
	Leases           int      `json:"leases"`      // held
	LastToken        uint64   `json:"token"`
	Revision         uint64   `json:"revision"` // of the agreed documents
	Watchers         int      `json:"watchers"`
	Rejected         int64    `json:"refused"` // requests rejected because of a limit
	FsyncP50Millis   float64  `json:"fsync_p50_ms"`
	FsyncP99Millis   float64  `json:"fsync_p99_ms"`
	CommitP50Millis  float64  `json:"commit_p50_ms"` // of commands, from receipt to response
	CommitP99Millis  float64  `json:"commit_p99_ms"`
	Members          []Member `json:"members"`
}

// Status returns the coordinator's status as known locally.
func (n *Node) Status() Status {
	s := Status{
		Name:             n.options.Name,
		Identity:         n.identity,
		ListenAddress:    n.options.ListenAddress,
		State:            n.raft.State().String(),
		Leader:           n.Leader(),
		Term:             n.raft.CurrentTerm(),
		LastLogIndex:     n.raft.LastIndex(),
		Epoch:            n.epoch.Load(),
		SupportedVersion: coord.Version,
		Rejected:         n.rejected.Load(),
		Members:          n.listMembers(false),
	}
	if len(s.Members) == 0 {
		s.State = stateWaiting
	}
	s.FsyncP50Millis, s.FsyncP99Millis = n.store.syncLatencyMillis()
	n.latencyMu.Lock()
	s.CommitP50Millis, s.CommitP99Millis = quantilesMillis(n.commitLatency)
	n.latencyMu.Unlock()
	s.Lag = commitLag(n.raft)
	n.mu.Lock()
	defer n.mu.Unlock()
	s.CommandVersion = n.state.Version
	s.AppliedIndex = n.appliedIndex
	s.Sessions = len(n.state.Sessions)
	s.Leases = len(n.state.Leases)
	s.LastToken = n.state.LastToken
	s.Watchers = n.watchers
	s.Revision = n.state.Revision()
	return s
}

// commitLag returns how many committed entries are not applied yet.
func commitLag(r *raft.Raft) uint64 {
	committed := r.CommitIndex()
	return committed - min(committed, r.AppliedIndex())
}
