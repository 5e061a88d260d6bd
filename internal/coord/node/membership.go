package node

import (
	"fmt"
	"slices"

	"github.com/hashicorp/raft"
)

// MaxMembers is the maximum number of coordinators in a group.
const MaxMembers = 9

// Member describes one coordinator of a group.
type Member struct {
	Name     string `json:"name"`
	Identity string `json:"identity"`
	Address  string `json:"address"` // host:port for the other coordinators
	IsVoter  bool   `json:"voter"`
	IsLeader bool   `json:"leader,omitempty"`

	// SupportedVersion is the latest version of commands that its program supports. It is set in a
	// request to add the coordinator.
	SupportedVersion int `json:"newest,omitempty"`
	// IsReachable reports, in a list of members, whether the coordinator that made the list reached
	// it.
	IsReachable bool `json:"answers"`
}

func (m Member) server() raft.Server {
	address := peerAddress{name: m.Name, identity: m.Identity, hostport: m.Address}
	return raft.Server{ID: raft.ServerID(m.Identity), Address: address.serverAddress()}
}

// servers returns the members of the group as the library stores them; none before the bootstrap.
func (n *Node) servers() []raft.Server {
	future := n.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// listMembers lists the group. With probe set it checks whether each member responds, which takes
// up to the timeout if one doesn't.
func (n *Node) listMembers(probe bool) []Member {
	isLeader := n.raft.State() == raft.Leader
	reachable := map[raft.ServerID]bool{}
	if probe {
		reachable = n.probeMembers(n.servers())
	}
	var members []Member
	for _, server := range n.servers() {
		address, err := parsePeerAddress(server.Address)
		if err != nil {
			continue
		}
		isSelf := address.identity == n.identity
		members = append(members, Member{
			Name:        address.name,
			Identity:    address.identity,
			Address:     address.hostport,
			IsVoter:     server.Suffrage == raft.Voter,
			IsLeader:    isLeader && isSelf,
			IsReachable: reachable[server.ID] || isSelf,
		})
	}
	return members
}

// probeMembers checks concurrently which coordinators respond.
func (n *Node) probeMembers(servers []raft.Server) map[raft.ServerID]bool {
	type probe struct {
		id          raft.ServerID
		isReachable bool
	}
	probes := make(chan probe, len(servers))
	for _, server := range servers {
		go func() { // ends within the timeout; the loop below waits for all
			connection, err := n.peers.Dial(server.Address, handshakeTimeout/4)
			if err == nil {
				connection.Close()
			}
			probes <- probe{id: server.ID, isReachable: err == nil}
		}()
	}
	reachable := map[raft.ServerID]bool{}
	for range servers {
		result := <-probes
		reachable[result.id] = result.isReachable
	}
	return reachable
}

// Bootstrap forms the first group from coordinators whose directories are all empty.
func (n *Node) Bootstrap(members []Member) error {
	if len(members) == 0 || len(members) > MaxMembers {
		return fmt.Errorf("members: %d given, want 1 to %d", len(members), MaxMembers)
	}
	if len(n.servers()) > 0 {
		return fmt.Errorf("coordinator %s belongs to a group already", n.options.Name)
	}
	var group raft.Configuration
	isMember := false
	for _, member := range members {
		isMember = isMember || member.Identity == n.identity
		group.Servers = append(group.Servers, member.server())
	}
	if !isMember {
		return fmt.Errorf("members: coordinator %s with identity %s is not among them", n.options.Name, n.identity)
	}
	return n.raft.BootstrapCluster(group).Error()
}

// AddMember adds a coordinator with an empty directory to the group. The coordinator first receives
// the log without a vote and is then made a voter. If it stops responding in between, it stays a
// member without a vote and can be added again.
func (n *Node) AddMember(m Member) error {
	if n.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	n.mu.Lock()
	version := n.state.Version
	n.mu.Unlock()
	if m.SupportedVersion < version {
		return fmt.Errorf("members: %s runs a program that knows commands up to version %d, and %d is in force",
			m.Name, m.SupportedVersion, version)
	}
	servers := n.servers()
	if len(servers) >= MaxMembers {
		return fmt.Errorf("members: %d at most", MaxMembers)
	}
	for _, server := range servers {
		address, err := parsePeerAddress(server.Address)
		if err == nil && address.name == m.Name && address.identity != m.Identity {
			return fmt.Errorf("members: %s is already a member, with another disk (%s): remove that member first",
				m.Name, address.identity)
		}
	}
	added := m.server()
	if err := n.checkAddition(added); err != nil {
		return err
	}
	if err := n.raft.AddNonvoter(added.ID, added.Address, 0, proposeTimeout).Error(); err != nil {
		return err
	}
	if err := n.checkAddition(added); err != nil {
		return err
	}
	return n.raft.AddVoter(added.ID, added.Address, 0, proposeTimeout).Error()
}

// checkAddition returns an error if the new coordinator doesn't respond, or if no majority of the
// group including it would respond.
func (n *Node) checkAddition(added raft.Server) error {
	if !n.probeMembers([]raft.Server{added})[added.ID] {
		return fmt.Errorf("members: %s does not respond or has another identity: it gets no vote",
			added.Address)
	}
	others := slices.DeleteFunc(n.servers(), func(server raft.Server) bool { return server.ID == added.ID })
	return n.checkQuorum(append(others, added))
}

// RemoveMember removes a coordinator from the group, whether it runs or not. A leader that is to
// remove itself first transfers the leadership and returns ErrNotLeader, as it couldn't report its
// own removal.
func (n *Node) RemoveMember(name string) error {
	if n.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	servers := n.servers()
	i := slices.IndexFunc(servers, func(server raft.Server) bool {
		address, err := parsePeerAddress(server.Address)
		return err == nil && address.name == name
	})
	if i < 0 {
		return fmt.Errorf("members: there is none named %s", name)
	}
	if len(servers) == 1 {
		return fmt.Errorf("members: %s is the last one and can't be removed", name)
	}
	if string(servers[i].ID) == n.identity {
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			return err
		}
		return ErrNotLeader
	}
	if err := n.checkQuorum(slices.Delete(slices.Clone(servers), i, i+1)); err != nil {
		return err
	}
	return n.raft.RemoveServer(servers[i].ID, 0, proposeTimeout).Error()
}

// checkQuorum returns an error if no majority of the voters after a change responds now: no change
// of the membership may stop the group.
func (n *Node) checkQuorum(after []raft.Server) error {
	reachable := n.probeMembers(after)
	reachable[raft.ServerID(n.identity)] = true
	voters := 0
	alive := 0
	for _, server := range after {
		if server.Suffrage != raft.Voter {
			continue
		}
		voters++
		if reachable[server.ID] {
			alive++
		}
	}
	if alive <= voters/2 {
		return fmt.Errorf("of the %d voters after the change only %d respond, which is not a majority: "+
			"nothing was changed", voters, alive)
	}
	return nil
}
